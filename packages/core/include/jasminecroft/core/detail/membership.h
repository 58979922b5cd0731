// Membership and failure detection of entry hosts: probes, suspicion and gossip
// within an availability zone, and exchanges between the delegates of zones.
// The state is in memory only; after a restart it is rebuilt from the seeds,
// the host list and gossip.
#pragma once

#include "jasminecroft/core/detail/gossip.h"
#include "jasminecroft/core/detail/member_table.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jasminecroft::detail {

/// Number of hosts of each zone that are responsible for a task. With two, the
/// task continues without a gap when one of them fails.
inline constexpr std::size_t HostsPerTask = 2;
/// Number of rumor rounds that carry a change of this host's own record.
inline constexpr std::uint32_t OwnRumorRounds = 4;
/// Time between probes of hosts in state Dead.
inline constexpr core_duration DeadProbeInterval = std::chrono::seconds(5);

/// Tracks the entry hosts of the fleet and exchanges gossip with them.
class membership {
public:
  explicit membership(core_context &Context)
      : Context(Context), Table(Context) {}

  void start();
  /// Registers a component whose state is carried by gossip. Not owned; to be
  /// called before the first event.
  void addParticipant(gossip_participant &Part) { Parts.push_back(&Part); }
  void onHostList(const host_list &Hosts);
  /// Handles probes and rumors. Returns false if the message must be ignored:
  /// it belongs to another fleet, comes from an earlier run of its sender, or
  /// carries this host's own name.
  bool onPeer(const peer_message &Message);
  void onUnreachable(const entry_host_id &Host);
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  /// Detects that this process was paused, and resets the failure detector if
  /// so. Must be called first for each event.
  void detectPause();
  /// Announces a planned shutdown of this host to its peers.
  void leave();

  /// Returns the address of a host, or nullopt if the host is unknown.
  std::optional<endpoint> addressOf(const entry_host_id &Host) const;
  /// Returns whether this run of a host may still be executing work. Suspects
  /// count as alive, and so do hosts in state Left, which may be completing
  /// their last requests.
  bool alive(const host_run &Run) const;
  /// Returns the number of live entry hosts in a zone. This host is included
  /// in the count of its own zone.
  std::uint32_t liveHostsInZone(const zone_id &Zone) const;
  /// Returns whether a known host of the zone is in this host's region.
  bool inOwnRegion(const zone_id &Zone) const;
  members_status status() const;

  /// Returns up to Count hosts of a zone in state Alive, in descending order of
  /// their rendezvous hash for Name.
  std::vector<entry_host_id> ranked(const zone_id &Zone, std::string_view Name,
                                    std::size_t Count) const;
  /// Return whether this host is among the highest-ranked hosts for Name: the
  /// first HostsPerTask of its zone, or the first Count of the fleet.
  bool isTopRankedInZone(std::string_view Name) const;
  bool isTopRankedInFleet(std::string_view Name, std::size_t Count) const;
  /// Returns whether this host exchanges gossip with other zones on behalf of
  /// its own. Also true for a host that is leaving: the others no longer
  /// select it as a peer, so it exchanges gossip with other zones itself.
  bool isDelegate() const {
    return Own.State == member_state::Left || isTopRankedInZone("delegate");
  }
  bool isDelegateOfOwnZone(const entry_host_id &Host) const;
  /// Returns one delegate of each other zone; successive calls alternate
  /// between the first and the second one.
  std::vector<entry_host_id> otherZoneDelegates() const;
  /// Returns up to Count random hosts of the own zone that are in state Alive
  /// and for which Wanted returns true.
  std::vector<entry_host_id>
  randomPeers(std::size_t Count,
              const std::function<bool(const member_record &)> &Wanted);
  void send(const entry_host_id &Host, peer_body Body);
  /// Schedules a rumor round within 20 ms unless one is already scheduled.
  void scheduleRumors();

  const member_table &table() const { return Table; }
  const member_update &own() const { return Own; }
  std::uint64_t refusedMessages() const { return Refused; }
  /// Returns when the last message of a peer was accepted, if any.
  std::optional<core_time> lastMessageAt() const { return LastMessageAt; }
  /// Sets the configuration version that this host reports to its peers.
  void setOwnConfigVersion(config_version Version) { Own.Config = Version; }

private:
  /// A probe that has not been acknowledged yet.
  struct pending_probe {
    entry_host_id Target;
    core_time SentAt;
    bool Resent = false;
    bool IndirectSent = false;
  };
  /// A probe sent on behalf of another host.
  struct relayed_probe {
    entry_host_id Origin;
    std::uint64_t Sequence = 0;
    core_time SentAt;
  };
  /// Progress of probing another zone.
  struct zone_probe_state {
    std::uint64_t Turn = 0;
    /// Number of consecutive probes without an answer.
    std::uint32_t Unanswered = 0;
  };

  /// A ranking that is valid while the table has this epoch.
  struct cached_ranking {
    std::uint64_t Epoch = 0;
    std::vector<entry_host_id> First;
  };

  const std::vector<entry_host_id> &
  topRankedInZone(std::string_view Name) const;
  bool refuse(const peer_message &Message, std::string_view Reason);
  void recordContact(const peer_message &Message);
  void on(const peer_message &Message, const probe &Body);
  void on(const peer_message &Message, const probe_ack &Body);
  void on(const peer_message &Message, const indirect_probe &Body);
  void on(const peer_message &Message, const indirect_ack &Body);
  void on(const peer_message &Message, const rumor &Body);
  template <typename Other> void on(const peer_message &, const Other &) {}
  void applyGossip(const peer_message &Message, const gossip_payload &Gossip);
  void refute(const member_update &Suspicion);

  gossip_payload makePayload(const gossip_recipient &To, bool WithOwn);
  void addMembers(gossip_payload &Payload, const gossip_recipient &To,
                  bool WithOwn);
  gossip_recipient recipientOf(const entry_host_id &Host,
                               bool UrgentOnly) const;
  void sendProbe(const entry_host_id &Target, std::uint64_t Sequence);
  void probeNext();
  void probeDead();
  void probeOtherZone();
  std::optional<entry_host_id> chooseTargetIn(const zone_id &Zone,
                                              zone_probe_state &ProbeState);
  void checkPendingProbes();
  void sendRumors();
  void scheduleProbe();
  bool hasUrgentUpdates() const;
  std::vector<zone_id> otherZones() const;

  core_context &Context;
  member_table Table;
  /// This host's own record; not in the table.
  member_update Own;
  std::vector<gossip_participant *> Parts;
  std::uint64_t LastSequence = 0;
  std::map<std::uint64_t, pending_probe> Pending;
  /// At most MaxRelays entries.
  std::map<std::uint64_t, relayed_probe> Relays;
  /// Zone of each pending probe to another zone, by sequence number.
  std::map<std::uint64_t, zone_id> ZoneProbes;
  std::map<zone_id, zone_probe_state> ZoneProbeStates;
  /// Hosts of the own zone in the shuffled order in which they are probed.
  std::vector<entry_host_id> ProbeOrder;
  std::size_t NextInOrder = 0;
  std::size_t NextZone = 0;
  std::uint32_t OwnRoundsLeft = 0;
  std::optional<core_time> NextProbe;
  std::optional<core_time> NextRumor;
  core_time NextDeadProbe{};
  core_time NextZoneProbe{};
  std::optional<core_time> LastMessageAt;
  mutable std::map<std::string, cached_ranking, std::less<>> RankingCache;
  mutable std::uint64_t CountedEpoch = 0;
  mutable std::uint32_t OwnZoneLive = 1;
  std::uint64_t Refused = 0;
  std::set<entry_host_id> RefusedSenders;
};

} // namespace jasminecroft::detail
