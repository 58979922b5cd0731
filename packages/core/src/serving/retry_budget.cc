// Sliding window of requests and repeats, in slices of a tenth of the window.
#include "jasminecroft/core/serving/retry_budget.h"

#include <algorithm>

namespace jasminecroft {

namespace {

/// Part of the fleet's limits that is spent; the rest covers hosts that do not
/// see each other and requests that are counted late.
constexpr double SpentPart = 0.6;

} // namespace

retry_budget::slice &retry_budget::sliceAt(const pool_id &Pool, core_time Now) {
  std::int64_t Number =
      Now.time_since_epoch() / (Limits.Window / static_cast<int>(Slices));
  slice &Slice = Windows[Pool][static_cast<std::size_t>(Number) % Slices];
  if (Slice.Number != Number)
    Slice = slice{Number, 0, 0};
  return Slice;
}

void retry_budget::onRequest(const pool_id &Pool, core_time Now) {
  ++sliceAt(Pool, Now).Requests;
}

bool retry_budget::tryAcquire(const pool_id &Pool, std::uint32_t LiveHosts,
                              core_time Now) {
  slice &Newest = sliceAt(Pool, Now);
  std::uint32_t Requests = 0;
  std::uint32_t Repeats = 0;
  std::int64_t Oldest = Newest.Number - static_cast<std::int64_t>(Slices);
  for (const slice &Slice : Windows[Pool]) {
    if (Slice.Number <= Oldest)
      continue;
    Requests += Slice.Requests;
    Repeats += Slice.Repeats;
  }
  double Allowed =
      SpentPart * (Limits.Ratio * Requests +
                   static_cast<double>(Limits.Slack) / std::max(LiveHosts, 1U));
  if (Repeats + 1 > Allowed)
    return false;
  ++Newest.Repeats;
  return true;
}

} // namespace jasminecroft
