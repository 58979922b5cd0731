// The entry hosts that batch together, and which of them owns which queue.
#pragma once

#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/types.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace jasminecroft {

/// Hosts are learned from the platform and from greetings. A host that leaves
/// a message unanswered is suspected and owns nothing until it is heard again.
/// A leaving host owns nothing either, but is still talked to: it finishes its
/// requests with the queues of others.
class fleet_hosts {
public:
  explicit fleet_hosts(batching_host Self) : Self(std::move(Self)) {}

  /// Adds a host or takes its new address. A host that is already known keeps
  /// its state.
  void add(const batching_host &Host, core_time Now);
  /// The host has just registered with the platform: it lives.
  void markAlive(const entry_host_id &Host);
  void setLeaving(const entry_host_id &Host, bool Leaving);
  /// This host owns nothing any more, unless it is alone.
  void setSelfLeaving() { SelfLeaving = true; }
  /// True if the host was suspected until now.
  bool onPeerMessage(const entry_host_id &Host, core_time Now);
  /// Whether anything came from the host since Time.
  bool receivedSince(const entry_host_id &Host, core_time Time) const;
  /// True if the host was not suspected yet.
  bool suspect(const entry_host_id &Host, core_time Now);
  /// Suspected hosts that are due for another greeting; counts it as sent.
  std::vector<batching_host> dueForHeartbeat(core_time Now);
  std::optional<core_time> nextHeartbeat() const;

  /// The live host that ranks first for a queue, or this host.
  entry_host_id owner(std::string_view Queue) const;
  const batching_host *find(const entry_host_id &Host) const;
  /// The live hosts that rank first for a key, best first.
  std::vector<batching_host> ranked(std::string_view Key,
                                    std::size_t Count) const;
  /// Number of live hosts that rank before this one; the greatest number while
  /// this host leaves.
  std::size_t rankOfSelf(std::string_view Key) const;
  /// Hosts that are not suspected, in the order of their names, beginning after
  /// this one's.
  std::vector<batching_host> ring() const;
  /// Every known host but this one.
  std::vector<batching_host> others() const;
  /// Live hosts, this one included.
  std::uint32_t liveCount() const;
  const batching_host &self() const { return Self; }
  bool suspected(const entry_host_id &Host) const;
  /// Whether the host is known, not suspected and not leaving.
  bool live(const entry_host_id &Host) const;

private:
  struct host_state {
    batching_host Host;
    std::optional<core_time> SuspectedSince;
    bool Leaving = false;
    core_time HeardAt;
    core_time GreetAt;
    core_duration GreetingInterval{0};
  };

  batching_host Self;
  bool SelfLeaving = false;
  std::map<entry_host_id, host_state> Hosts;
};

} // namespace jasminecroft
