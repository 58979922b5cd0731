// All calls to the platform: numbering, counting and limiting by purpose, and
// whether the platform is known to be away. A restart loses the calls in
// progress; their callers lose them too.
#pragma once

#include "jasminecroft/core/detail/core_context.h"

#include <array>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jasminecroft::detail {

/// A part that makes platform calls.
class platform_result_handler {
public:
  virtual ~platform_result_handler() = default;
  virtual void onPlatformResult(platform_call_id Call,
                                const platform_result &Result) = 0;
};

inline constexpr core_duration PlatformCallTimeout{2'000'000};
/// Reads of large objects that are repeated meanwhile if they do not return.
inline constexpr core_duration PlatformReadTimeout{4'000'000};
/// A watch may hang unnoticed after an outage. Changes of the configuration
/// must be in force within 4 s all the same, so its watches are short; the
/// host list lags anyway.
inline constexpr core_duration ConfigWatchTimeout{3'000'000};
inline constexpr core_duration HostListWatchTimeout{10'000'000};
inline constexpr std::uint32_t FailuresUntilAway = 3;
inline constexpr std::size_t CallPurposes = 6;

class platform_gateway {
public:
  explicit platform_gateway(core_context &Context);

  /// Emits the call, at once unless its purpose has used up its rate; then as
  /// soon as the rate allows, or, if too many wait, it is refused. The result
  /// goes to Caller exactly once and never inside this function.
  platform_call_id call(platform_result_handler &Caller, call_purpose Purpose,
                        platform_operation Operation);
  void onReply(const platform_replied &Reply);
  void onWakeup();
  std::optional<core_time> nextWakeup() const;

  /// True after several calls in a row went without any answer. While it is,
  /// a small read is repeated with backoff, so that the return is noticed also
  /// when nobody dares to call.
  bool away() const { return FailuresInARow >= FailuresUntilAway; }
  /// Delay before the next try after failures: exponential with jitter.
  core_duration backoff();
  /// The same, by the failures of one purpose alone and at most Longest.
  core_duration backoff(call_purpose Purpose,
                        core_duration Longest = core_duration::max());
  std::uint64_t callCount(call_purpose Purpose) const {
    return Purposes[static_cast<std::size_t>(Purpose)].Calls;
  }
  /// Calls made by purpose, for operators.
  std::vector<status_counter> counters() const;

private:
  struct waiting_call {
    platform_result_handler *Caller = nullptr;
    call_purpose Purpose = call_purpose::Config;
    bool Watch = false;
  };
  struct queued_call {
    platform_call_id Call;
    platform_operation Operation;
  };
  /// Each purpose has its own rate, queue and failures, so that none waits
  /// behind another.
  struct purpose_state {
    std::uint64_t Calls = 0;
    std::uint32_t FailuresInARow = 0;
    /// Calls that may be made at once; refilled with time up to the burst.
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
  void noteOutcome(const waiting_call &Call, const platform_result &Result);
  void probeIfAway();
  core_duration delayAfter(std::uint32_t Failures, core_duration Longest);

  core_context &Context;
  platform_call_id LastCall;
  std::unordered_map<platform_call_id, waiting_call> Waiting;
  std::array<purpose_state, CallPurposes> Purposes;
  /// Calls refused here; told to their callers at the next wakeup.
  std::vector<platform_call_id> Rejected;
  std::uint32_t FailuresInARow = 0;
  std::optional<platform_call_id> ProbeCall;
  std::optional<core_time> NextProbe;
};

} // namespace jasminecroft::detail
