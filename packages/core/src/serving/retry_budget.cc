// Sliding window of requests and retries, in buckets of a tenth of the window.
#include "jasminecroft/core/serving/retry_budget.h"

#include <algorithm>

namespace jasminecroft {

namespace {

/// Fraction of the fleet's limits that is spent; the rest covers hosts that do
/// not know of each other and requests that are counted late.
constexpr double SpendableFraction = 0.6;

} // namespace

retry_budget::bucket &retry_budget::bucketAt(const pool_id &Pool,
                                             core_time Now) {
  std::int64_t Number =
      Now.time_since_epoch() / (Limits.Window / static_cast<int>(Buckets));
  bucket &Bucket = Windows[Pool][static_cast<std::size_t>(Number) % Buckets];
  if (Bucket.Number != Number)
    Bucket = bucket{Number, 0, 0};
  return Bucket;
}

void retry_budget::onRequest(const pool_id &Pool, core_time Now) {
  ++bucketAt(Pool, Now).Requests;
}

bool retry_budget::tryAcquire(const pool_id &Pool, std::uint32_t LiveHosts,
                              core_time Now) {
  bucket &Newest = bucketAt(Pool, Now);
  std::uint32_t Requests = 0;
  std::uint32_t Retries = 0;
  std::int64_t Oldest = Newest.Number - static_cast<std::int64_t>(Buckets);
  for (const bucket &Bucket : Windows[Pool]) {
    if (Bucket.Number <= Oldest)
      continue;
    Requests += Bucket.Requests;
    Retries += Bucket.Retries;
  }
  double Allowed = SpendableFraction * (Limits.Ratio * Requests +
                                        static_cast<double>(Limits.Slack) /
                                            std::max(LiveHosts, 1U));
  if (Retries + 1 > Allowed)
    return false;
  ++Newest.Retries;
  return true;
}

} // namespace jasminecroft
