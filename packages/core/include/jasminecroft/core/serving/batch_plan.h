// Selection of the waiting pieces for the next calls to a pool's batching
// servers. Pure function: packs many small jobs, whose pieces only fill calls
// together, onto servers that differ in speed, free capacity and zone.
#pragma once

#include "jasminecroft/core/serving/pieces.h"
#include "jasminecroft/core/serving/route_config.h"

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

namespace jasminecroft {

/// A job with waiting pieces. Jobs are passed in descending order of urgency.
struct planned_job {
  const piece_job *Job = nullptr;
  std::vector<std::uint32_t> Pieces;
  /// Servers that failed to execute one of its pieces.
  const std::set<backend_id> *FailedServers = nullptr;
};

/// A server as input of the planner.
struct planned_server {
  backend_id Id;
  zone_id Zone;
  /// Time until the server can start another call; zero if Idle.
  core_duration FreeIn{0};
  /// Ratio of the server's call time to the nominal call time.
  double Slowness = 1;
  /// Free capacity for results, in bytes.
  std::uint64_t FreeBytes = 0;
  bool Idle = false;
};

/// A call to start now. Pieces holds pairs of a job's index and a piece number.
struct planned_call {
  std::size_t Server = 0;
  std::vector<std::pair<std::size_t, std::uint32_t>> Pieces;
};

/// Assigns each job to the server with the earliest expected completion.
/// Cross-zone servers are penalised by the cost of transferring the job's
/// bytes. Jobs whose server is busy wait for it; only calls to idle servers are
/// returned.
std::vector<planned_call> planCalls(const batch_rules &Rules,
                                    std::vector<planned_job> Jobs,
                                    std::vector<planned_server> Servers);

/// Returns the time of a call of Pieces pieces on a server of nominal speed.
core_duration expectedCallTime(const batch_rules &Rules, std::size_t Pieces);
/// Returns the delay that is worth as much as transferring Bytes across zones.
core_duration transferDelay(std::uint64_t Bytes);
core_duration scaled(core_duration Time, double Factor);

} // namespace jasminecroft
