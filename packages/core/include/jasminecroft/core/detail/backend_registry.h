// The backend servers known to this host from the platform's host list, load
// reports and rejected calls. The state is in memory only; after a restart,
// loads are known again with the next reports and leaving facts are received
// from peers.
#pragma once

#include "jasminecroft/core/detail/fleet_demand.h"
#include "jasminecroft/core/detail/membership.h"
#include "jasminecroft/core/detail/zone_views.h"
#include "jasminecroft/core/policy.h"

#include <deque>
#include <map>
#include <set>

namespace jasminecroft::detail {

/// Minimum time between two polls of a backend server's load by one host.
inline constexpr core_duration LoadPollInterval =
    std::chrono::milliseconds(250);

/// Tracks the state and load of the backend servers, and shares it by gossip.
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
  /// Called when a backend server rejects a call because it is leaving.
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
  /// A start (+1) or end (-1) of a call made by this host.
  struct own_call_change {
    core_time At;
    std::int32_t Delta = 0;
  };
  enum class poller_rank { None, First, Second };
  struct entry {
    replica_view View;
    core_time ReportedAt{};
    std::uint64_t ReportSequence = 0;
    /// Load that this host, as poller, last shared with its peers, and when.
    std::uint32_t SharedInFlight = 0;
    bool SharedQueued = false;
    std::optional<core_time> SharedAt;
    /// Number of messages that have carried the latest report, and the time of
    /// the last one.
    std::uint32_t Sent = 0;
    core_time SentAt{};
    /// Own starts and ends after ReportedAt, which the report does not include.
    /// UnreportedCalls is their sum.
    std::deque<own_call_change> OwnCallChanges;
    std::int32_t UnreportedCalls = 0;
    /// False if the newest host list does not contain the server. The entry is
    /// kept while calls are in progress.
    bool Listed = true;
    poller_rank Rank = poller_rank::None;
    core_time PollDue{};
  };
  struct leaving_state {
    std::uint32_t RoundsLeft = 0;
  };

  bool shouldShare(const entry &Entry, const load_reported &Report) const;
  void applyReport(entry &Entry, const load_delta &Report, core_time At);
  void markLeaving(const leaving_fact &Fact, std::string_view Source);
  void applyRun(entry &Entry, incarnation Run);
  void recordOwnCall(const backend_id &Backend, std::int32_t Delta);
  bool needsFallbackPoll(const entry &Entry) const;
  void rebuildIndex();
  void assignPollers();
  core_duration pollInterval() const;
  std::uint32_t maxReportRelays() const;
  void addLoads(gossip_payload &Payload, const entry_host_id &To);
  void addLeaving(gossip_payload &Payload, bool UrgentOnly);

  core_context &Context;
  membership &Members;
  fleet_demand Demand;
  zone_views Zones;
  std::map<backend_id, entry> Backends;
  /// Servers of each pool, own zone first. Rebuilt when the host list changes.
  std::map<pool_id, std::vector<backend_id>> ByPool;
  std::map<pool_id, std::uint32_t> SlotsByPool;
  /// Runs that are leaving and never receive new work again. A run is removed
  /// only when a later run of the same server replaces it.
  std::map<leaving_fact, leaving_state> Leaving;
  std::size_t LeavingRotation = 0;
  std::uint64_t AssignedEpoch = 0;
  std::size_t AssignedBackends = 0;
  std::optional<core_time> NextPoll;
};

} // namespace jasminecroft::detail
