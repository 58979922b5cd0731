// Urgency of calls to model engines. An engine runs the more urgent of its
// waiting requests first, and takes memory from the less urgent ones.
#pragma once

#include "jasminecroft/core/serving/route_config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace jasminecroft {

/// Least urgent rank that engines tell apart; 0 is the most urgent.
inline constexpr std::uint32_t MaxUrgency = 9;

/// Engine pools that requests of several priorities reach, with the most urgent
/// of these. Calls to other pools carry no urgency.
using ranked_pools = std::map<pool_id, std::uint32_t>;
ranked_pools findRankedPools(const route_config &Config);

/// Raises the urgency of requests whose class gets nothing. A class is the
/// requests of one priority in a pool. While some of them wait at engines and
/// none begins, each objective that passes makes the next call more urgent by
/// one; the first one that begins ends that.
class urgency_aging {
public:
  void onSent(const pool_id &Pool, std::uint32_t Priority, core_time Now);
  /// A waiting call has its first event.
  void onBegun(const pool_id &Pool, std::uint32_t Priority, core_time Now);
  /// A call ended before its first event.
  void onGivenUp(const pool_id &Pool, std::uint32_t Priority);
  /// Returns the urgency of a call to Pool: absent if the pool is not ranked.
  std::optional<std::uint32_t>
  urgencyOf(const ranked_pools &Ranked, const pool_id &Pool,
            std::uint32_t Priority, core_duration Goal, core_time Now) const;

private:
  struct waiting_class {
    /// Calls before their first event; positive.
    std::uint32_t Calls = 0;
    /// Since when none of the class has begun.
    core_time Since;
  };
  std::map<std::pair<pool_id, std::uint32_t>, waiting_class> Waiting;
};

} // namespace jasminecroft
