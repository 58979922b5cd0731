// Interfaces of the serving policy. Each has a plain variant, kept as the
// baseline of experiments, and the variants in force.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/core/config.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace jasminecroft {

/// Number of a stage call waiting for, or running on, backend servers. One
/// work item may have several attempts (retries, hedges).
using work_id = strong_number<struct work_tag>;

/// A stage call as the policy sees it.
struct work_item {
  work_id Work;
  pool_id Pool;
  workspace_id Workspace;
  pipeline_id Pipeline;
  stage_id Stage;
  core_time Arrived;
  /// When the stage must be finished for the request to meet its deadline.
  core_time Deadline;
  std::uint64_t InputBytes = 0;
  std::optional<std::uint32_t> TokenLimit;
  /// Hash of the input's beginning, for prefix affinity.
  std::uint64_t PrefixHash = 0;
  bool Repeatable = true;
  /// Backend servers that already failed or run this work.
  std::set<backend_id> Avoid;
};

/// A backend server as the policy sees it.
struct replica_view {
  backend_id Backend;
  incarnation Run;
  endpoint Address;
  pool_id Pool;
  zone_id Zone;
  bool Leaving = false;
  std::uint32_t Slots = 1;
  /// Calls of this host in progress there.
  std::uint32_t OwnInFlight = 0;
  /// Calls of all hosts as last reported, corrected by what this host has
  /// started and ended since, and the age of that report.
  std::uint32_t ReportedInFlight = 0;
  std::uint32_t ReportedQueued = 0;
  core_duration ReportAge{0};
  bool Reported = false;
};

/// Read access to the backend servers known to this host.
class replica_directory {
public:
  virtual ~replica_directory() = default;
  /// Servers of a pool that may get new work: own zone first, never leaving.
  virtual std::vector<replica_view> replicas(const pool_id &Pool,
                                             core_time Now) const = 0;
  /// Entry hosts alive in this zone, this one included; at least 1.
  virtual std::uint32_t liveEntryHosts() const = 0;
  /// Entry hosts alive in a zone; 0 if not known.
  virtual std::uint32_t liveEntryHostsIn(const zone_id &) const { return 0; }
  /// Calls in progress of a workspace on the other entry hosts.
  virtual std::uint32_t
  demandElsewhere(const workspace_id &Workspace) const = 0;
  /// Latest summary of a pool in other zones.
  virtual std::vector<pool_summary> otherZones(const pool_id &Pool) const = 0;
};

/// How an attempt ended, for the policy's observations.
enum class attempt_result {
  Succeeded,
  Failed,
  TimedOut,
  Cancelled,
  /// It certainly did not run: not connected, or refused.
  Refused,
};

/// A dispatch that the scheduler wants done now.
struct dispatch_decision {
  work_id Work;
  replica_view Replica;
  work_priority Priority = work_priority::Interactive;
  /// True if the work already runs elsewhere and this is a second try beside.
  bool Hedge = false;
};

/// Why work is turned away, with when to come back.
struct rejection {
  error_code Code = error_code::Overloaded;
  core_duration RetryAfter{0};
};

/// Orders waiting work, limits what is in flight, chooses replicas and decides
/// on hedges and retries for all pools of one entry host.
class work_scheduler {
public:
  virtual ~work_scheduler() = default;

  virtual void configure(const fleet_config &Config) = 0;
  /// Decides whether a whole request can be met; called before its first
  /// stage. Item describes the first stage; Remaining lists the stages.
  virtual std::optional<rejection> admit(const work_item &Item,
                                         const pipeline_definition &Pipeline,
                                         core_time Deadline, core_time Now) = 0;
  /// Queues a stage call.
  virtual std::optional<rejection> submit(const work_item &Item,
                                          core_time Now) = 0;
  /// Forgets waiting work, or work whose attempts have all ended.
  virtual void withdraw(work_id Work, core_time Now) = 0;
  /// Next dispatch to make, if any; the caller makes it and asks again.
  virtual std::optional<dispatch_decision> nextDispatch(core_time Now) = 0;
  /// An attempt was started for a decision of nextDispatch.
  virtual void onStarted(work_id Work, const backend_id &Backend,
                         attempt_id Attempt, core_time Now) = 0;
  /// An attempt ended. For a failure the caller then asks mayRetry.
  virtual void onEnded(attempt_id Attempt, attempt_result Result,
                       core_time Now) = 0;
  /// Whether the retry budget allows another attempt; spends from it if so.
  /// The work is queued again by requeue.
  virtual bool mayRetry(work_id Work, core_time Now) = 0;
  virtual void requeue(work_id Work, const backend_id &Avoid,
                       core_time Now) = 0;
  /// Work that has become infeasible while waiting; the caller gives it up.
  virtual std::vector<work_id> expired(core_time Now) = 0;
  /// When nextDispatch or expired may have news without an event.
  virtual std::optional<core_time> nextWakeup() const = 0;
  /// When a caller whose work was given up should come back.
  virtual core_duration comeBackAfter(const pool_id &Pool) const {
    (void)Pool;
    return std::chrono::milliseconds(500);
  }
  /// What this host's attempts have cost, by workspace and stage.
  virtual std::vector<workspace_cost> costs() const { return {}; }
};

/// FIFO queue, round robin, no limits beyond the slots, no hedges: baseline.
std::unique_ptr<work_scheduler>
makeBaselineScheduler(const replica_directory &Replicas);
/// The policy in force.
std::unique_ptr<work_scheduler> makeScheduler(const replica_directory &Replicas,
                                              const zone_id &Zone,
                                              std::uint64_t Seed);

} // namespace jasminecroft
