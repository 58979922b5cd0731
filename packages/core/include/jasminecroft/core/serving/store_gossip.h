// Gossip about how far each host has read the platform's store, so that no host
// stays stale for long if the store refuses its reads or its watch is dead.
#pragma once

#include "jasminecroft/core/serving/fleet_hosts.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jasminecroft {

/// Kinds of objects that watchers hand on. Hosts compare how far they have read
/// the first two.
enum class store_kind { Config, Backends, EmptiedZones };

/// How far a host has read the store.
struct store_progress {
  /// Version of the active configuration.
  config_version Config;
  /// Revision of the latest change of a backend server's entry; in a later era
  /// than that of the last read, zero.
  object_version Backends;
};

/// A few hosts, the watchers, watch the store closely and announce changes at
/// once. In addition, every host periodically sends its read progress to one
/// other host, in turn. A host that learns of a newer version and does not read
/// it from the store within the usual propagation delay is stale: it reads the
/// store again and requests the configuration from the sender.
class store_gossip {
public:
  /// Hosts is only read and must outlive this object.
  explicit store_gossip(const fleet_hosts &Hosts) : Hosts(Hosts) {}

  /// Actions that are due.
  struct due_actions {
    std::vector<batching_host> AnnounceTo;
    /// Watchers that may be dead and have to answer.
    std::vector<batching_host> Probe;
    /// Watchers that left the previous probe unanswered.
    std::vector<entry_host_id> Unresponsive;
    std::optional<entry_host_id> PullConfigFrom;
    std::vector<store_kind> Resync;
  };

  void start(core_time Now) { NextGossipAt = Now + GossipInterval; }
  /// The store came back from a copy. All hosts that learn of it announce it,
  /// before they have read the store again.
  void onStoreEra(store_era Era, core_time Now);
  void onConfig(config_version Version, core_time Now);
  /// All changes up to Revision are known; Newest is the last of them.
  void onBackendsRead(object_version Revision, object_version Newest,
                      core_time Now);
  void onPeerMessage(const entry_host_id &From, const store_progress &Theirs,
                     core_time Now);
  due_actions takeDueActions(core_time Now);
  std::optional<core_time> nextWakeup() const;

  const store_progress &progress() const { return Progress; }
  /// The latest era of the store that any host has seen.
  store_era era() const { return Progress.Backends.Era; }
  /// All changes of backend servers up to this revision are known.
  object_version backendsReadTo() const { return BackendsReadTo; }
  /// Returns true if this host is one of the watchers of the store.
  bool isWatcher() const;
  /// Changes reach a host that follows a watcher of its zone later.
  void setFollowing(bool Follows);

  /// Interval between two periodic messages of this host.
  static constexpr core_duration GossipInterval = std::chrono::seconds(1);
  /// Time in which a change that a peer has read reaches all other hosts.
  static constexpr core_duration PropagationTime =
      std::chrono::milliseconds(150);
  /// The same for hosts that follow a watcher: watchers gather changes of
  /// backend servers for 300 ms.
  static constexpr core_duration FollowerPropagationTime =
      std::chrono::milliseconds(600);

private:
  struct newer_version {
    core_time Deadline;
    entry_host_id Source;
  };

  std::size_t rank() const;
  core_duration propagationTime() const;
  void scheduleAnnouncement(core_time Now);
  void addWatcherProbes(due_actions &Due, core_time Now);

  const fleet_hosts &Hosts;
  store_progress Progress;
  /// All changes of backend servers up to this revision are known.
  object_version BackendsReadTo;
  /// Set until this host has read the newer version or is due to read again.
  std::optional<newer_version> NewerConfig;
  std::optional<newer_version> NewerBackends;
  /// A peer has read further than this host.
  bool ConfigStale = false;
  bool BackendsStale = false;
  core_time NextGossipAt;
  std::size_t Round = 0;
  bool Following = false;
  /// Rank of this host, and the hosts' generation that it holds for.
  mutable std::optional<std::pair<std::uint64_t, std::size_t>> Rank;
  /// Set while the announcement of a change is pending.
  std::optional<core_time> AnnounceAt;
  core_time LastAnnouncement;
  /// Watchers probed for an answer, and the time of the probe.
  std::set<entry_host_id> Probed;
  core_time ProbedAt;
};

} // namespace jasminecroft
