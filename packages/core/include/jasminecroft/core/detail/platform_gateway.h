// Issues all calls to the platform: numbers them, counts and limits them by
// purpose, and detects that the platform is away. A restart loses the calls in
// flight, as well as the state of their callers.
#pragma once

#include "jasminecroft/core/detail/core_context.h"

#include <array>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jasminecroft::detail {

/// Receives the results of the platform calls that it made.
class platform_result_handler {
public:
  virtual ~platform_result_handler() = default;
  virtual void onPlatformResult(platform_call_id Call,
                                const platform_result &Result) = 0;
};

inline constexpr core_duration PlatformCallTimeout = std::chrono::seconds(2);
/// Timeout of reads of large objects; a read that hangs is repeated before it.
inline constexpr core_duration PlatformReadTimeout = std::chrono::seconds(4);
/// A watch may hang undetected after an outage. Changes of the configuration
/// must still be in force within 4 s, so watches of it are short; the host list
/// lags anyway.
inline constexpr core_duration ConfigWatchTimeout = std::chrono::seconds(3);
inline constexpr core_duration HostListWatchTimeout = std::chrono::seconds(10);
inline constexpr std::uint32_t FailuresUntilAway = 3;
inline constexpr std::size_t CallPurposes = 6;

class platform_gateway {
public:
  explicit platform_gateway(core_context &Context);

  /// Issues a call and returns its number. If the purpose has exhausted its
  /// rate limit, the call is queued, or refused if the queue is full. The
  /// result goes to Caller exactly once and never from within this function.
  /// Caller is not owned and must outlive the call.
  platform_call_id call(platform_result_handler &Caller, call_purpose Purpose,
                        platform_operation Operation);
  void onReply(const platform_replied &Reply);
  void onWakeup();
  std::optional<core_time> nextWakeup() const;

  /// Returns true after FailuresUntilAway consecutive failures. Until a call
  /// succeeds, a small read is repeated with backoff, so that recovery is
  /// detected even if no component makes a call.
  bool away() const { return ConsecutiveFailures >= FailuresUntilAway; }
  /// Returns the delay before the next retry: exponential backoff with jitter.
  core_duration backoff();
  /// The same for the failures of one purpose only, and at most MaxDelay.
  core_duration backoff(call_purpose Purpose,
                        core_duration MaxDelay = core_duration::max());
  std::uint64_t callCount(call_purpose Purpose) const {
    return Purposes[static_cast<std::size_t>(Purpose)].Calls;
  }
  /// Returns the number of calls by purpose, for operators.
  std::vector<status_counter> counters() const;

private:
  struct pending_call {
    platform_result_handler *Caller = nullptr;
    call_purpose Purpose = call_purpose::Config;
    bool Watch = false;
  };
  struct queued_call {
    platform_call_id Call;
    platform_operation Operation;
  };
  /// Each purpose has its own rate limit, queue and failure count, so that no
  /// purpose blocks another.
  struct purpose_state {
    std::uint64_t Calls = 0;
    std::uint32_t ConsecutiveFailures = 0;
    /// Token bucket: calls that may be made at once, refilled over time up to
    /// the burst.
    double Tokens = 0;
    core_time RefilledAt{};
    std::deque<queued_call> Queue;
  };

  purpose_state &stateOf(call_purpose Purpose) {
    return Purposes[static_cast<std::size_t>(Purpose)];
  }
  bool takeToken(call_purpose Purpose);
  void emitCall(platform_call_id Call, call_purpose Purpose,
                platform_operation Operation);
  void deliver(platform_call_id Call, const platform_result &Result);
  void recordOutcome(const pending_call &Call, const platform_result &Result);
  void probeIfAway();
  core_duration jitteredDelay(std::uint32_t Failures, core_duration MaxDelay);

  core_context &Context;
  platform_call_id LastCall;
  std::unordered_map<platform_call_id, pending_call> Pending;
  std::array<purpose_state, CallPurposes> Purposes;
  /// Calls refused locally; the result is delivered at the next wakeup.
  std::vector<platform_call_id> Rejected;
  std::uint32_t ConsecutiveFailures = 0;
  std::optional<platform_call_id> ProbeCall;
  std::optional<core_time> NextProbe;
};

} // namespace jasminecroft::detail
