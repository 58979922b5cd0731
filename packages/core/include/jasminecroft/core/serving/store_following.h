// Decides from where a host learns of changes in the platform's store: from its
// own watches, or from a watcher of its zone, so that the calls to the store do
// not grow with the number of hosts.
#pragma once

#include "jasminecroft/core/serving/fleet_hosts.h"

#include <optional>
#include <vector>

namespace jasminecroft {

enum class store_source {
  /// Own watches.
  Watch,
  /// A watcher of the zone; the store is read on demand only.
  Watcher,
};

/// The hosts that rank first in each zone are its watchers. All others poll one
/// of them, which also pushes each change. A watcher that does not answer or is
/// not current itself is replaced by the next one, and the store is read once.
/// Without a current watcher a host watches the store itself.
class store_following {
public:
  /// Hosts is only read and must outlive this object.
  explicit store_following(const fleet_hosts &Hosts) : Hosts(Hosts) {}

  struct due_actions {
    std::optional<batching_host> Poll;
    /// What this host was told may be too old.
    bool ReadStore = false;
  };

  void start(core_time Now) { NextPollAt = Now + PollInterval; }
  /// A host answered a poll or pushed changes. Current: it watches the store,
  /// and the store answers it.
  void onNews(const entry_host_id &From, bool Current, core_time Now);
  /// A peer knows of changes that have not arrived here.
  void pollNow(core_time Now);
  due_actions takeDueActions(core_time Now);
  std::optional<core_time> nextWakeup() const;

  store_source source() const { return Source; }
  bool isWatcher() const;
  /// Returns true if this host ranks first among the watchers of its zone.
  bool isFirstWatcher() const;

  static constexpr std::size_t WatchersPerZone = 3;
  static constexpr core_duration PollInterval = std::chrono::seconds(1);
  /// A watcher that has not answered a poll after this time is replaced.
  static constexpr core_duration AnswerTime = std::chrono::milliseconds(400);
  /// Age of the last news at which a host watches the store itself.
  static constexpr core_duration MaxAge = std::chrono::milliseconds(1'700);

private:
  const std::vector<batching_host> &watchers() const;
  void setSource(core_time Now);

  const fleet_hosts &Hosts;
  store_source Source = store_source::Watch;
  core_time NextPollAt;
  /// Set while a poll is unanswered.
  std::optional<core_time> AnswerDueAt;
  entry_host_id Polled;
  /// Number of watchers that were skipped since the first choice.
  std::size_t Skipped = 0;
  /// Time of the last news of a current watcher.
  std::optional<core_time> CurrentAt;
  /// Watchers of the zone in the generation of Hosts that they hold for.
  mutable std::vector<batching_host> Watchers;
  mutable std::optional<std::uint64_t> WatchersOf;
};

} // namespace jasminecroft
