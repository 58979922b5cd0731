// The entry hosts known to this host and whether they are alive: probing,
// suspicion and gossip within the availability zone, exchanges between the
// delegates of zones. A restart loses the view; it is rebuilt from seeds, the
// host list and gossip.
#pragma once

#include "jasminecroft/core/detail/gossip.h"
#include "jasminecroft/core/detail/member_table.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jasminecroft::detail {

/// Hosts that rank first for a task, in each zone; two, so that the loss of
/// one leaves no gap.
inline constexpr std::size_t HostsPerTask = 2;
/// Rounds of rumors that tell of a change of this host itself.
inline constexpr std::uint32_t OwnRumorRounds = 4;
/// Time between probes of hosts that are believed dead.
inline constexpr core_duration DeadProbeInterval{5'000'000};

class membership {
public:
  explicit membership(core_context &Context)
      : Context(Context), Table(Context) {}

  void start();
  /// A part whose news rides on the messages; added before the first event.
  void addParticipant(gossip_participant &Part) { Parts.push_back(&Part); }
  void onHostList(const host_list &Hosts);
  /// True if the message may be heeded; false for messages of other fleets, of
  /// earlier runs and of this host's own name. Handles probes and rumors.
  bool onPeer(const peer_message &Message);
  void onUnreachable(const entry_host_id &Host);
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  /// Called first for each event: notices that this host was frozen.
  void detectPause();
  /// Tells peers that this host leaves by plan.
  void leave();

  /// Absent if the host is unknown.
  std::optional<endpoint> addressOf(const entry_host_id &Host) const;
  /// Whether this very run may still be at work: suspects, and hosts that
  /// leave by plan but may be finishing, count as alive.
  bool alive(const host_run &Run) const;
  /// Entry hosts alive in a zone, this one included in its own.
  std::uint32_t liveHostsInZone(const zone_id &Zone) const;
  /// Whether a known host of the zone is in this host's region.
  bool inOwnRegion(const zone_id &Zone) const;
  members_status status() const;

  /// Hosts of a zone, neither suspect nor gone, that rank first for a name.
  std::vector<entry_host_id> ranked(const zone_id &Zone, std::string_view Name,
                                    std::size_t Count) const;
  /// Whether this host is among the first in its zone, or in the whole fleet.
  bool isTopRankedInZone(std::string_view Name) const;
  bool isTopRankedInFleet(std::string_view Name, std::size_t Count) const;
  /// This host speaks for its zone to other zones.
  /// True also for a host that leaves: the others pass it over, so it brings
  /// and fetches news between zones itself.
  bool isDelegate() const {
    return Own.State == member_state::Left || isTopRankedInZone("delegate");
  }
  bool isDelegateOfOwnZone(const entry_host_id &Host) const;
  /// One host of each other zone, in turn the first and second delegate.
  std::vector<entry_host_id> otherZoneDelegates() const;
  /// Live hosts of the own zone for which Wanted holds, picked at random.
  std::vector<entry_host_id>
  randomPeers(std::size_t Count,
              const std::function<bool(const member_record &)> &Wanted);
  void send(const entry_host_id &Host, peer_body Body);
  /// Sends rumors to a few hosts soon.
  void scheduleRumors();

  const member_table &table() const { return Table; }
  const member_update &own() const { return Own; }
  std::uint64_t refusedMessages() const { return Refused; }
  /// When a peer was last heard; absent if none was.
  std::optional<core_time> lastMessageAt() const { return LastHeard; }
  /// The version that this host tells its peers.
  void setOwnConfigVersion(config_version Version) { Own.Config = Version; }

private:
  /// A probe whose answer is awaited.
  struct pending_probe {
    entry_host_id Target;
    core_time SentAt;
    bool Resent = false;
    bool AskedOthers = false;
  };
  /// A probe made for another host.
  struct relayed_probe {
    entry_host_id Origin;
    std::uint64_t Sequence = 0;
    core_time SentAt;
  };
  /// Dealings with another zone.
  struct zone_contact {
    std::uint64_t Turn = 0;
    /// Probes in a row without an answer.
    std::uint32_t Unanswered = 0;
  };

  /// An answer that holds while the set of live hosts stays the same.
  struct cached_rank {
    std::uint64_t Epoch = 0;
    std::vector<entry_host_id> First;
  };

  const std::vector<entry_host_id> &firstInZone(std::string_view Name) const;
  bool refuse(const peer_message &Message, std::string_view Reason);
  void heardFrom(const peer_message &Message);
  void on(const peer_message &Message, const probe &Body);
  void on(const peer_message &Message, const probe_ack &Body);
  void on(const peer_message &Message, const indirect_probe &Body);
  void on(const peer_message &Message, const indirect_ack &Body);
  void on(const peer_message &Message, const rumor &Body);
  template <typename Other> void on(const peer_message &, const Other &) {}
  void takeGossip(const peer_message &Message, const gossip_payload &Gossip);
  void refute(const member_update &Accusation);

  gossip_payload makePayload(const gossip_recipient &To, bool WithOwn);
  void addMembers(gossip_payload &Payload, const gossip_recipient &To,
                  bool WithOwn);
  gossip_recipient audienceOf(const entry_host_id &Host, bool UrgentOnly) const;
  void sendProbe(const entry_host_id &Target, std::uint64_t Sequence);
  void probeNext();
  void probeGone();
  void probeOtherZone();
  std::optional<entry_host_id> targetIn(const zone_id &Zone,
                                        zone_contact &Contact);
  void checkPending();
  void spreadRumors();
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
  /// Sequences of probes to other zones, with their zone.
  std::map<std::uint64_t, zone_id> ZoneProbes;
  std::map<zone_id, zone_contact> Contacts;
  /// Own zone's hosts in the order of probing.
  std::vector<entry_host_id> Ring;
  std::size_t NextInRing = 0;
  std::size_t NextZone = 0;
  std::uint32_t OwnRoundsLeft = 0;
  std::optional<core_time> NextProbe;
  std::optional<core_time> NextRumor;
  core_time NextGoneProbe{};
  core_time NextZoneProbe{};
  std::optional<core_time> LastHeard;
  mutable std::map<std::string, cached_rank, std::less<>> Ranks;
  mutable std::uint64_t CountedEpoch = 0;
  mutable std::uint32_t OwnZoneLive = 1;
  std::uint64_t Refused = 0;
  std::set<entry_host_id> RefusedSenders;
};

} // namespace jasminecroft::detail
