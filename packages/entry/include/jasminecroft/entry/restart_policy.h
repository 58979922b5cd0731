// When a failed part may be started again.
#pragma once

#include <chrono>
#include <deque>
#include <optional>

namespace jasminecroft {

/// Backoff that doubles with each recent failure; too many of them, and the
/// part's parent fails.
class restart_policy {
public:
  using clock = std::chrono::steady_clock;
  static constexpr std::size_t MaxFailures = 6;
  static constexpr std::chrono::seconds Window{60};
  static constexpr std::chrono::milliseconds FirstDelay{100};
  static constexpr std::chrono::milliseconds LongestDelay{5'000};

  /// How long to wait before the next start; absent if the parent has to fail.
  std::optional<std::chrono::milliseconds> onFailure(clock::time_point Now);

private:
  /// Times of the failures within the window, oldest first.
  std::deque<clock::time_point> Failures;
};

} // namespace jasminecroft
