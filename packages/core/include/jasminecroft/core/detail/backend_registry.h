// The backend servers known to this host: from the platform's host list, from
// load reports and from refusals. A restart may lose the load views; they come
// back with the next reports. Leaving facts are re-learnt from peers.
#pragma once

#include "jasminecroft/core/detail/fleet_demand.h"
#include "jasminecroft/core/detail/membership.h"
#include "jasminecroft/core/detail/zone_views.h"
#include "jasminecroft/core/policy.h"

#include <deque>
#include <map>
#include <set>

namespace jasminecroft::detail {

/// Shortest time between two reads of a backend server's load by one host.
inline constexpr core_duration LoadPollInterval{250'000};

class backend_registry final : public replica_directory,
                               public gossip_participant,
                               public pool_summary_source {
public:
  backend_registry(core_context &Context, membership &Members)
      : Context(Context), Members(Members), Demand(Context, Members),
        Zones(Context, Members, *this) {}

  std::vector<replica_view> replicas(const pool_id &Pool,
                                     core_time Now) const override;
  std::uint32_t liveEntryHosts() const override;
  std::uint32_t liveEntryHostsIn(const zone_id &Zone) const override;
  std::uint32_t demandElsewhere(const workspace_id &Workspace) const override;
  std::vector<pool_summary> otherZones(const pool_id &Pool) const override;
  std::vector<pool_summary> ownZoneSummaries() const override;

  void setDemandSource(const demand_source &Source) {
    Demand.setSource(Source);
  }
  void configure(const fleet_config &Config);
  void onHostList(const host_list &Hosts);
  void onLoadReport(const load_reported &Report);
  void onLoadPollFailed(const load_poll_failed &Failure);
  /// A backend server refused a call because it is leaving.
  void onLeavingRefusal(const backend_id &Backend);
  void onAttemptStarted(const backend_id &Backend);
  void onAttemptEnded(const backend_id &Backend);
  void onWakeup();
  std::optional<core_time> nextWakeup() const { return NextPoll; }
  bool hasBackends() const { return !Backends.empty(); }
  backends_status status() const;
  std::vector<zone_report> zoneReports() const { return Zones.reports(); }

  void appendGossip(gossip_payload &Payload,
                    const gossip_recipient &To) override;
  void onGossip(const gossip_payload &Payload, const host_run &Sender,
                const zone_id &SenderZone) override;
  bool hasUrgentUpdates() const override;
  void onRumorsSent() override;

private:
  /// A start (+1) or end (-1) of a call of this host.
  struct own_change {
    core_time At;
    std::int32_t Delta = 0;
  };
  enum class reader_rank { None, First, Second };
  struct entry {
    replica_view View;
    core_time ReportedAt{};
    std::uint64_t ReportSequence = 0;
    /// What this host, as reader, last gave to be passed on, and when.
    std::uint32_t ToldInFlight = 0;
    bool ToldQueued = false;
    std::optional<core_time> ToldAt;
    /// Messages that have carried the latest report, and when the last did.
    std::uint32_t Sent = 0;
    core_time SentAt{};
    /// Own starts and ends after ReportedAt; Unseen is their sum.
    std::deque<own_change> OwnChanges;
    std::int32_t Unseen = 0;
    /// False once the host list has lost it; kept while calls are in progress.
    bool Listed = true;
    reader_rank Rank = reader_rank::None;
    core_time PollDue{};
  };
  struct leaving_state {
    std::uint32_t RoundsLeft = 0;
  };

  bool worthTelling(const entry &Entry, const load_reported &Report) const;
  void takeReport(entry &Entry, const load_delta &Report, core_time At);
  void learnLeaving(const leaving_fact &Fact, std::string_view Source);
  void applyRun(entry &Entry, incarnation Run);
  void recordOwn(const backend_id &Backend, std::int32_t Delta);
  bool readsForgotten(const entry &Entry) const;
  void rebuildIndex();
  void assignReaders();
  core_duration pollInterval() const;
  std::uint32_t reportRelays() const;
  void addLoads(gossip_payload &Payload, const entry_host_id &To);
  void addLeaving(gossip_payload &Payload, bool UrgentOnly);

  core_context &Context;
  membership &Members;
  fleet_demand Demand;
  zone_views Zones;
  std::map<backend_id, entry> Backends;
  /// Servers of each pool, own zone first; rebuilt when the list changes.
  std::map<pool_id, std::vector<backend_id>> ByPool;
  std::map<pool_id, std::uint32_t> SlotsByPool;
  /// Grow-only per run: a run in it never gets new work again. Runs that a
  /// later run of the same server has replaced are dropped.
  std::map<leaving_fact, leaving_state> Leaving;
  std::size_t LeavingRotation = 0;
  std::uint64_t AssignedEpoch = 0;
  std::size_t Assigned = 0;
  std::optional<core_time> NextPoll;
};

} // namespace jasminecroft::detail
