// Order of the jobs that wait for a pool's batching servers. Pure function:
// under overload it keeps as many jobs as possible on time, the most urgent
// first, and places the others behind them.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminecroft {

/// A waiting job as input of the ordering.
struct waiting_job {
  /// Time left to start the job on time; negative if it will be late.
  core_duration StartIn{0};
  core_duration DeadlineIn{0};
  /// Number of waiting pieces.
  std::size_t Pieces = 0;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Completed work for the job would be lost if it were dropped.
  bool HasProgress = false;
  /// Its inputs have held result capacity for so long that it goes before all
  /// other jobs.
  bool Expedited = false;
  workspace_id Workspace;
  /// Pieces of equally urgent jobs recently started for the workspace, and the
  /// weight of its share; positive.
  double RecentPieces = 0;
  double Weight = 1;
};

/// Estimates queue waits from the speed of the servers.
class wait_estimator {
public:
  struct server {
    /// Time until the server can start another call.
    core_duration FreeIn{0};
    /// Time of the server's calls.
    core_duration CallTime{0};
  };

  /// Servers must not be empty. NominalCallTime is the call time at nominal
  /// speed.
  wait_estimator(std::vector<server> Servers, std::size_t PiecesPerCall,
                 core_duration NominalCallTime);

  /// Returns the wait of a piece with Pieces others ahead of it, plus the extra
  /// time that the call takes on a slow server. Results are cached.
  core_duration waitBehind(std::size_t Pieces);

private:
  /// FreeIn is the time until the server completes the calls counted in Waits.
  std::vector<server> Servers;
  std::size_t PiecesPerCall;
  core_duration NominalCallTime;
  /// Indexed by call number.
  std::vector<core_duration> Waits;
};

struct queue_order {
  /// Indexes of jobs in start order.
  std::vector<std::size_t> Jobs;
  /// The first OnTime entries of Jobs are expected to be on time.
  std::size_t OnTime = 0;
};

/// Orders the jobs that can be on time: the more urgent first as long as the
/// others remain on time, equally urgent ones by their latest start time. If a
/// job would start too late, the least urgent of those up to it is demoted
/// behind all jobs that can be on time; among equally urgent ones a job without
/// completed work, then of the workspace with the most recent pieces and pieces
/// ahead for its weight, then the one with the latest start time. Late jobs are
/// ordered by urgency, then those with completed work come first, then
/// workspaces take turns by their shares, then by deadline.
queue_order orderQueue(const std::vector<waiting_job> &Jobs,
                       wait_estimator &Estimator);

} // namespace jasminecroft
