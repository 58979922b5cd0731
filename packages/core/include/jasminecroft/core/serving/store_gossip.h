// What hosts tell each other about the platform's store, so that none stays
// behind for long if the store turns it away or a watch of its own is dead.
#pragma once

#include "jasminecroft/core/serving/fleet_hosts.h"

#include <optional>
#include <set>
#include <vector>

namespace jasminecroft {

/// Kinds of objects of which hosts compare what they have read.
enum class store_kind { Config, Backends };

/// How far a host has read the store.
struct store_progress {
  /// The configuration in force.
  config_version Config;
  /// The newest change of a backend server's entry.
  object_version Backends;
};

/// A few hosts watch the store closely. They tell the others of changes at
/// once; besides, every host tells one other, in turn, how far it has read. A
/// host that hears of something newer, and does not get it from the store in
/// the time that changes take anyway, is behind: it reads the store again and
/// asks the sender for the configuration.
class store_gossip {
public:
  /// Hosts is read only, and has to outlive this object.
  explicit store_gossip(const fleet_hosts &Hosts) : Hosts(Hosts) {}

  /// What is to be done now.
  struct due_actions {
    std::vector<batching_host> AnnounceTo;
    /// Watchers that may be dead: they are asked for an answer.
    std::vector<batching_host> Probe;
    /// Watchers that left such questions unanswered.
    std::vector<entry_host_id> Unresponsive;
    std::optional<entry_host_id> PullConfigFrom;
    std::vector<store_kind> Resync;
  };

  void start(core_time Now) { TellAt = Now + GossipInterval; }
  void onConfig(config_version Version, core_time Now);
  /// All changes up to Revision are known, of which Newest is the last.
  void onBackendsRead(object_version Revision, object_version Newest,
                      core_time Now);
  void onPeerMessage(const entry_host_id &From, const store_progress &Theirs,
                     core_time Now);
  due_actions takeDueActions(core_time Now);
  std::optional<core_time> nextWakeup() const;

  const store_progress &progress() const { return Progress; }
  /// Whether this host is one of those that watch the store closely.
  bool isWatcher() const;

  /// Time between two hosts that this host tells how far it has read.
  static constexpr core_duration GossipInterval = std::chrono::seconds(1);
  /// Time in which a change that a peer knows is read by all others, too.
  static constexpr core_duration PropagationTime =
      std::chrono::milliseconds(150);

private:
  struct newer {
    core_time ReadBy;
    entry_host_id Heard;
  };

  std::size_t rank() const;
  void tellSoon(core_time Now);
  void addWatcherChecks(due_actions &Due, core_time Now);

  const fleet_hosts &Hosts;
  store_progress Progress;
  /// All changes of backend servers up to this one are known.
  object_version BackendsReadTo;
  /// Set until this host has read on or is told to read again.
  std::optional<newer> NewerConfig;
  std::optional<newer> NewerBackends;
  /// A peer has read further than this host.
  bool ConfigBehind = false;
  bool BackendsBehind = false;
  core_time TellAt;
  std::size_t Turn = 0;
  /// Set while many hosts are to be told of a change.
  std::optional<core_time> SpreadAt;
  core_time LastSpread;
  /// Watchers that were asked for an answer, and when.
  std::set<entry_host_id> Asked;
  core_time AskedAt;
};

} // namespace jasminecroft
