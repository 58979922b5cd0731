// Chooses the zone in whose queue a stage of a request waits, for pools with a
// queue in each zone. Pure functions.
#pragma once

#include "jasminecroft/core/serving/pieces.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace jasminecroft {

/// What the owner of a queue reported last.
struct queue_report {
  core_duration Age{0};
  /// Wait of the request's own class.
  core_duration Wait{0};
  /// The same for the least urgent: behind all work that can be on time.
  core_duration AllWait{0};
  /// Time that the zone's servers need for what this host has sent there since.
  core_duration OwnWork{0};
};

/// A zone with servers of the pool.
struct zone_option {
  zone_id Zone;
  std::optional<queue_report> Report;
};

struct zone_query {
  /// Not empty.
  std::vector<zone_option> Zones;
  /// Zone of the inputs.
  zone_id Near;
  /// Inputs and results, which cross zones if the stage runs elsewhere.
  std::uint64_t Bytes = 0;
  /// Time left to start the stage; negative if the request will be late.
  core_duration StartIn{0};
  /// Hash of the request's id and stage.
  std::uint64_t Spread = 0;
};

enum class zone_reason {
  /// One queue for all servers, or servers in one zone only.
  OnlyQueue,
  /// No other queue is so much shorter that leaving pays.
  Near,
  /// Leaving would pay, but this is not one of the requests that leave.
  Kept,
  /// The wait elsewhere is shorter.
  Left,
  /// There is no server in the zone of the inputs.
  NoneNear,
};

std::string_view toText(zone_reason Reason);

struct zone_decision {
  zone_id Zone;
  zone_reason Reason = zone_reason::OnlyQueue;
};

/// Returns the part of a report of this age that still counts, from 1 to 0.
double reportWeight(core_duration Age);

/// Returns the zone with the shortest wait; what crosses zones counts as wait.
/// A queue of which nothing is known counts as empty.
zone_decision chooseShortestZone(const zone_query &Query);

/// Returns the zone of the inputs, or for a part of the requests another one.
/// The part grows with the difference of the waits; it begins at a larger
/// difference the more bytes cross zones, but before the difference costs much
/// of the time left. Which requests leave, and to which of the zones that pay,
/// follows from Spread. A queue of which nothing is known counts as half as
/// long as the near one.
zone_decision chooseZoneTogether(const zone_query &Query);

} // namespace jasminecroft
