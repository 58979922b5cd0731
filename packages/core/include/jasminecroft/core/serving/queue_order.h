// Order of the jobs that wait for a pool's batching servers. Pure decision:
// answers bursts in which not all jobs can be on time. As many as possible are,
// the most urgent first; the rest wait behind them.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminecroft {

/// A job as the order sees it.
struct waiting_job {
  /// Time left until it has to begin to be on time; negative: it will be late.
  core_duration StartIn{0};
  core_duration DeadlineIn{0};
  /// Pieces that wait.
  std::size_t Pieces = 0;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Work was done for it that would be lost.
  bool Begun = false;
  /// Its inputs have taken up room for so long that it goes before all others.
  bool Pressing = false;
  workspace_id Workspace;
};

/// How fast the servers of a queue work.
class queue_speed {
public:
  struct server {
    /// Time until it can begin another call.
    core_duration FreeIn{0};
    /// Time that its calls take.
    core_duration CallTime{0};
  };

  /// There must be a server. UsualCall: the time of a call that is not slowed.
  queue_speed(std::vector<server> Servers, std::size_t PiecesPerCall,
              core_duration UsualCall);

  /// Time until a piece behind Pieces others is begun; longer by as much as a
  /// slow server is expected to make it late. Remembers what it has found.
  core_duration waitBehind(std::size_t Pieces);

private:
  /// FreeIn is when the server is done with the calls in Waits.
  std::vector<server> Servers;
  std::size_t PiecesPerCall;
  core_duration UsualCall;
  /// By number of the call.
  std::vector<core_duration> Waits;
};

struct queue_order {
  /// Indexes of jobs, the first to be begun first.
  std::vector<std::size_t> Jobs;
  /// The first so many of them are expected to be on time.
  std::size_t OnTime = 0;
};

/// Jobs that can be on time are begun by their time to begin. If one cannot,
/// the least urgent of those before it is put behind all that can; among equals
/// one for which nothing was done yet, of the workspace that has most pieces
/// before it, and the one that has most time.
queue_order orderQueue(const std::vector<waiting_job> &Jobs,
                       queue_speed &Speed);

} // namespace jasminecroft
