// Which waiting pieces go into the next calls of a pool's batching servers.
// Pure decision: answers the load of many small jobs whose pieces only fill
// calls together, with servers that differ in speed, room and zone.
#pragma once

#include "jasminecroft/core/serving/pieces.h"
#include "jasminecroft/core/serving/route_config.h"

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

namespace jasminecroft {

/// A job with pieces that wait. The most pressing job comes first.
struct planned_job {
  const piece_job *Job = nullptr;
  std::vector<std::uint32_t> Pieces;
  /// Servers that failed to make one of its pieces.
  const std::set<backend_id> *Failed = nullptr;
};

/// A server as the plan sees it.
struct planned_server {
  backend_id Id;
  zone_id Zone;
  /// Time until it can begin another call; zero if Idle.
  core_duration FreeIn{0};
  /// Ratio of the time that its calls take to the usual time.
  double Slowness = 1;
  /// Room for results that is not taken, in bytes.
  std::uint64_t RoomLeft = 0;
  bool Idle = false;
};

/// A call to begin now: index of the server, then index of the job and number
/// of the piece.
struct planned_call {
  std::size_t Server = 0;
  std::vector<std::pair<std::size_t, std::uint32_t>> Pieces;
};

/// Each job goes to the server that is expected to have it ready first, far
/// servers counting as slower by the time that moving its bytes is worth. Jobs
/// whose server is busy wait for it. Only calls to idle servers are returned.
std::vector<planned_call> planCalls(const batch_rules &Rules,
                                    std::vector<planned_job> Jobs,
                                    std::vector<planned_server> Servers);

/// The time that a call of Pieces pieces takes at a server that is not slowed.
core_duration expectedCallTime(const batch_rules &Rules, std::size_t Pieces);
/// The waiting that is worth as much as moving results between zones.
core_duration transferDelay(std::uint64_t Bytes);
core_duration scaled(core_duration Time, double Factor);

} // namespace jasminecroft
