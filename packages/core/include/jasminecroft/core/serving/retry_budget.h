// The share of the fleet's budget for repeated calls that this host may spend.
#pragma once

#include "jasminecroft/core/types.h"

#include <array>
#include <cstdint>
#include <map>

namespace jasminecroft {

/// What the fleet as a whole may repeat in any window of time.
struct retry_limits {
  /// Repeats allowed for each request.
  double Ratio = 0.2;
  /// Repeats allowed besides, by the whole fleet.
  std::uint32_t Slack = 0;
  core_duration Window = std::chrono::seconds(10);
};

/// Counts requests and repeats by pool in a sliding window. Spends a part of
/// what this host's own requests allow and an equal share of the slack, so
/// that all hosts together stay inside the fleet's limits.
class retry_budget {
public:
  explicit retry_budget(const retry_limits &Limits) : Limits(Limits) {}

  void onRequest(const pool_id &Pool, core_time Now);
  /// Whether one more repeat may be sent; counts it if so.
  bool tryAcquire(const pool_id &Pool, std::uint32_t LiveHosts, core_time Now);

private:
  static constexpr std::size_t Slices = 10;
  struct slice {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Repeats = 0;
  };
  using window = std::array<slice, Slices>;

  slice &sliceAt(const pool_id &Pool, core_time Now);

  retry_limits Limits;
  std::map<pool_id, window> Windows;
};

} // namespace jasminecroft
