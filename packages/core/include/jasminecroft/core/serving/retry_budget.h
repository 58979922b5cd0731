// This host's share of the fleet-wide retry budget.
#pragma once

#include "jasminecroft/core/types.h"

#include <array>
#include <cstdint>
#include <map>

namespace jasminecroft {

/// Retry limits of the whole fleet in any window of time.
struct retry_limits {
  /// Retries allowed per request.
  double Ratio = 0.2;
  /// Additional retries per window, for the whole fleet.
  std::uint32_t Slack = 0;
  core_duration Window = std::chrono::seconds(10);
};

/// Counts requests and retries per pool in a sliding window. Spends only a part
/// of what this host's own requests allow and an equal share of the slack, so
/// that all hosts together stay within the fleet's limits.
class retry_budget {
public:
  explicit retry_budget(const retry_limits &Limits) : Limits(Limits) {}

  /// The window stays as it is.
  void setLimits(double Ratio, std::uint32_t Slack) {
    Limits.Ratio = Ratio;
    Limits.Slack = Slack;
  }

  void onRequest(const pool_id &Pool, core_time Now);
  /// Returns true and counts a retry if one more may be sent.
  bool tryAcquire(const pool_id &Pool, std::uint32_t LiveHosts, core_time Now);

private:
  static constexpr std::size_t Buckets = 10;
  struct bucket {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Retries = 0;
  };
  using window = std::array<bucket, Buckets>;

  bucket &bucketAt(const pool_id &Pool, core_time Now);

  retry_limits Limits;
  std::map<pool_id, window> Windows;
};

} // namespace jasminecroft
