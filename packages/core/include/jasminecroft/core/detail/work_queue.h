// Order of the work that waits for one pool.
#pragma once

#include "jasminecroft/core/policy.h"

#include <memory>
#include <optional>

namespace jasminecroft::detail {

/// Waiting work as a queue sees it.
struct queued_work {
  work_id Work;
  workspace_id Workspace;
  /// Share of the workspace among those that wait; above 0.
  double Weight = 1;
  work_units Estimate;
  /// Latest time to start and still meet the deadline.
  core_time LatestStart;
};

/// Work waiting for one pool, in the order in which it is to start. All
/// operations take at most logarithmic time.
class work_queue {
public:
  virtual ~work_queue() = default;
  virtual void push(const queued_work &Work) = 0;
  /// The work to start next; absent if nothing waits.
  virtual std::optional<work_id> front() const = 0;
  /// Takes out the front because it starts.
  virtual void popFront() = 0;
  /// Takes out work that will not start.
  virtual void remove(work_id Work) = 0;
  virtual std::size_t size() const = 0;
  /// Work of a workspace that would start before a newcomer with this latest
  /// start.
  virtual work_units ahead(const workspace_id &Workspace,
                           core_time LatestStart) const = 0;
  /// Weight of a workspace over that of all which wait, itself included.
  virtual double share(const workspace_id &Workspace, double Weight) const = 0;
};

/// First in, first out, whatever the workspace. Baseline.
std::unique_ptr<work_queue> makeFifoQueue();
/// Weighted start-time fair queueing between workspaces on estimated work;
/// inside a workspace the least time to spare first.
std::unique_ptr<work_queue> makeFairQueue();

} // namespace jasminecroft::detail
