// Counts recent failures of one part.
#include "jasminecroft/entry/restart_policy.h"

#include <algorithm>

namespace jasminecroft {

std::optional<std::chrono::milliseconds>
restart_policy::onFailure(clock::time_point Now) {
  while (!Failures.empty() && Now - Failures.front() > Window)
    Failures.pop_front();
  Failures.push_back(Now);
  if (Failures.size() > MaxFailures)
    return std::nullopt;
  std::chrono::milliseconds Delay = FirstDelay * (1 << (Failures.size() - 1));
  return std::min(Delay, LongestDelay);
}

} // namespace jasminecroft
