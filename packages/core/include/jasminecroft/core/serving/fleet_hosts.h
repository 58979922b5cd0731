// Entry hosts that share batching queues, and the owner of each queue.
#pragma once

#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminecroft {

/// Hosts are discovered through the platform and heartbeats. A host that
/// leaves a message unanswered is suspected and owns no queue until a message
/// arrives from it. A leaving host owns no queue either, but stays reachable:
/// it completes its requests through the queues of other hosts.
class fleet_hosts {
public:
  explicit fleet_hosts(batching_host Self) : Self(std::move(Self)) {}

  /// Adds a host or updates its address. A known host keeps its state.
  void add(const batching_host &Host, core_time Now);
  /// Clears suspicion and leaving: the host has just registered with the
  /// platform.
  void markAlive(const entry_host_id &Host);
  void setLeaving(const entry_host_id &Host, bool Leaving);
  /// Gives up ownership of all queues, unless this host is the only live one.
  void setSelfLeaving();
  /// Records a message from the host; returns true if this ends a suspicion.
  bool onPeerMessage(const entry_host_id &Host, core_time Now);
  /// Returns true if a message arrived from the host at or after Time.
  bool receivedSince(const entry_host_id &Host, core_time Time) const;
  /// Suspects the host; returns true if it was not suspected before.
  bool suspect(const entry_host_id &Host, core_time Now);
  /// Returns the suspected hosts due for another heartbeat and schedules their
  /// next one.
  std::vector<batching_host> dueForHeartbeat(core_time Now);
  std::optional<core_time> nextHeartbeat() const;

  /// Returns the owner of a queue: the highest-ranked live host, or this host.
  entry_host_id owner(std::string_view Queue) const;
  const batching_host *find(const entry_host_id &Host) const;
  /// Returns up to Count live hosts in descending rank for a key.
  std::vector<batching_host> ranked(std::string_view Key,
                                    std::size_t Count) const;
  /// The same among the hosts of a zone.
  std::vector<batching_host> rankedInZone(std::string_view Key,
                                          const zone_id &Zone,
                                          std::size_t Count) const;
  /// Returns the number of live hosts that rank before this one; the maximum of
  /// the type while this host is leaving.
  std::size_t rankOfSelf(std::string_view Key) const;
  /// Returns the hosts that are not suspected in cyclic name order, starting
  /// after this host.
  std::vector<batching_host> ring() const;
  /// Returns every known host except this one.
  std::vector<batching_host> others() const;
  /// Returns the number of live hosts, including this one.
  std::uint32_t liveCount() const;
  const batching_host &self() const { return Self; }
  /// Adds a host that the platform lists; what hosts say of each other does
  /// not count.
  void addListed(const batching_host &Host, core_time Now);
  /// The platform's whole list has been added.
  void onListRead(core_time Now);
  /// Returns since when the platform's list is known, in this run.
  std::optional<core_time> listReadAt() const { return ListReadAt; }
  /// The platform no longer lists the host.
  void removeListed(const entry_host_id &Host, core_time Now);
  /// Returns the number of listed hosts that rank before this one, and of all
  /// listed hosts with this one, whether they can be reached or not. Hosts that
  /// cannot hear each other agree about these.
  std::size_t rosterRankOfSelf(std::string_view Key) const;
  std::size_t rosterCount() const { return Roster.size() + 1; }
  /// Returns up to Count of all listed hosts in descending rank.
  std::vector<batching_host> rosterRanked(std::string_view Key,
                                          std::size_t Count) const;
  /// Increases whenever a rank among the listed hosts may have changed.
  std::uint64_t rosterGeneration() const { return RosterGeneration; }
  /// Increases whenever an owner or a rank may have changed.
  std::uint64_t generation() const { return Generation; }
  bool suspected(const entry_host_id &Host) const;
  /// Returns true if the host is known, not suspected and not leaving.
  bool live(const entry_host_id &Host) const;

private:
  struct host_state {
    batching_host Host;
    std::optional<core_time> SuspectedSince;
    bool Leaving = false;
    core_time LastMessageAt;
    core_time NextHeartbeatAt;
    core_duration HeartbeatInterval{0};
  };

  struct listed_host {
    batching_host Host;
    std::optional<core_time> RemovedAt;
  };

  std::vector<batching_host> highest(std::string_view Key, const zone_id *Zone,
                                     std::size_t Count) const;
  void setChanged();

  batching_host Self;
  bool SelfLeaving = false;
  std::map<entry_host_id, host_state> Hosts;
  std::uint64_t Generation = 0;
  /// Other hosts, also suspected and erased ones, until some time after the
  /// platform has removed them from its list.
  std::map<entry_host_id, listed_host> Roster;
  std::uint64_t RosterGeneration = 0;
  std::optional<core_time> ListReadAt;
  /// Owners of this generation. A hash over all hosts for each job would cost
  /// more processor time the larger the fleet is.
  mutable std::map<std::string, entry_host_id, std::less<>> Owners;
};

} // namespace jasminecroft
