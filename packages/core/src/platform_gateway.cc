// Numbers, counts and limits platform calls and tracks the platform's
// availability.
#include "jasminecroft/core/detail/platform_gateway.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration InitialBackoff = std::chrono::milliseconds(200);
constexpr core_duration MaxBackoff = std::chrono::seconds(5);
constexpr std::uint32_t MaxBackoffDoublings = 5;

/// Token bucket and queue limit of a purpose, for one host.
struct call_rate {
  std::string_view Name;
  double PerSecond = 0;
  double Burst = 0;
  std::size_t MaxQueued = 0;
};

constexpr std::array<call_rate, CallPurposes> Rates{{
    {"config", 5, 10, 16},
    {"host_list", 5, 10, 16},
    {"claim", 200, 400, 10'000},
    {"audit", 2, 4, 64},
    {"cleanup", 5, 10, 64},
    {"probe", 5, 5, 1},
}};

const call_rate &rateOf(call_purpose Purpose) {
  return Rates[static_cast<std::size_t>(Purpose)];
}

bool isWatch(const platform_operation &Operation) {
  return std::holds_alternative<watch_object>(Operation);
}

core_duration timeoutOf(call_purpose Purpose,
                        const platform_operation &Operation) {
  if (isWatch(Operation))
    return Purpose == call_purpose::Config ? ConfigWatchTimeout
                                           : HostListWatchTimeout;
  bool Large =
      Purpose == call_purpose::Config || Purpose == call_purpose::HostList;
  return Large ? PlatformReadTimeout : PlatformCallTimeout;
}

bool isFailure(const platform_result &Result) {
  return std::holds_alternative<platform_refused>(Result) ||
         std::holds_alternative<platform_no_answer>(Result);
}

} // namespace

platform_gateway::platform_gateway(core_context &Context) : Context(Context) {
  for (std::size_t I = 0; I < CallPurposes; ++I)
    Purposes[I].Tokens = Rates[I].Burst;
}

platform_call_id platform_gateway::call(platform_result_handler &Caller,
                                        call_purpose Purpose,
                                        platform_operation Operation) {
  LastCall = LastCall.next();
  Pending.emplace(LastCall, pending_call{&Caller, Purpose, isWatch(Operation)});
  std::deque<queued_call> &Queue = stateOf(Purpose).Queue;
  if (Queue.empty() && takeToken(Purpose))
    emitCall(LastCall, Purpose, std::move(Operation));
  else if (Queue.size() < rateOf(Purpose).MaxQueued)
    Queue.push_back({LastCall, std::move(Operation)});
  else
    Rejected.push_back(LastCall);
  return LastCall;
}

bool platform_gateway::takeToken(call_purpose Purpose) {
  purpose_state &State = stateOf(Purpose);
  const call_rate &Rate = rateOf(Purpose);
  double Seconds =
      std::chrono::duration<double>(Context.now() - State.RefilledAt).count();
  State.Tokens = std::min(Rate.Burst, State.Tokens + Seconds * Rate.PerSecond);
  State.RefilledAt = Context.now();
  if (State.Tokens < 1)
    return false;
  State.Tokens -= 1;
  return true;
}

void platform_gateway::emitCall(platform_call_id Call, call_purpose Purpose,
                                platform_operation Operation) {
  ++stateOf(Purpose).Calls;
  core_duration Timeout = timeoutOf(Purpose, Operation);
  Context.emit(call_platform{Call, Purpose, std::move(Operation), Timeout});
}

void platform_gateway::onReply(const platform_replied &Reply) {
  deliver(Reply.Call, Reply.Result);
}

void platform_gateway::deliver(platform_call_id Call,
                               const platform_result &Result) {
  auto Found = Pending.find(Call);
  if (Found == Pending.end())
    return;
  pending_call Completed = Found->second;
  Pending.erase(Found);
  recordOutcome(Completed, Result);
  if (ProbeCall == Call)
    ProbeCall.reset();
  if (Completed.Caller)
    Completed.Caller->onPlatformResult(Call, Result);
}

void platform_gateway::recordOutcome(const pending_call &Call,
                                     const platform_result &Result) {
  bool WasAway = away();
  purpose_state &State = stateOf(Call.Purpose);
  if (isFailure(Result)) {
    ++ConsecutiveFailures;
    ++State.ConsecutiveFailures;
  } else {
    ConsecutiveFailures = 0;
    State.ConsecutiveFailures = 0;
  }
  if (!WasAway && away()) {
    Context.log(event_number::PlatformAway, event_severity::Warning,
                "platform does not answer", {});
    NextProbe = Context.now() + backoff();
  }
  if (WasAway && !away()) {
    Context.log(event_number::PlatformBack, event_severity::Info,
                "platform answers again", {});
    NextProbe.reset();
  }
}

void platform_gateway::probeIfAway() {
  if (!away() || !NextProbe || *NextProbe > Context.now())
    return;
  NextProbe = Context.now() + backoff();
  if (ProbeCall)
    return;
  LastCall = LastCall.next();
  ProbeCall = LastCall;
  Pending.emplace(LastCall, pending_call{nullptr, call_purpose::Probe, false});
  emitCall(LastCall, call_purpose::Probe, get_object{probeKey()});
}

void platform_gateway::onWakeup() {
  std::vector<platform_call_id> Refused;
  Refused.swap(Rejected);
  for (platform_call_id Call : Refused)
    deliver(Call, platform_refused{});
  for (std::size_t I = 0; I < CallPurposes; ++I) {
    call_purpose Purpose = static_cast<call_purpose>(I);
    std::deque<queued_call> &Queue = stateOf(Purpose).Queue;
    while (!Queue.empty() && takeToken(Purpose)) {
      queued_call Next = std::move(Queue.front());
      Queue.pop_front();
      emitCall(Next.Call, Purpose, std::move(Next.Operation));
    }
  }
  probeIfAway();
}

std::optional<core_time> platform_gateway::nextWakeup() const {
  if (!Rejected.empty())
    return Context.now();
  std::optional<core_time> Next = NextProbe;
  for (std::size_t I = 0; I < CallPurposes; ++I) {
    if (Purposes[I].Queue.empty())
      continue;
    double Missing = std::max(0.0, 1 - Purposes[I].Tokens);
    core_time Due =
        Purposes[I].RefilledAt +
        core_duration(
            static_cast<std::int64_t>(Missing / Rates[I].PerSecond * 1e6) + 1);
    if (!Next || Due < *Next)
      Next = Due;
  }
  return Next;
}

core_duration platform_gateway::jitteredDelay(std::uint32_t Failures,
                                              core_duration MaxDelay) {
  std::uint32_t Doublings = std::min(Failures, MaxBackoffDoublings);
  core_duration Whole =
      std::min({InitialBackoff * (1 << Doublings), MaxBackoff, MaxDelay});
  core_duration Half = Whole / 2;
  std::uint64_t Range = static_cast<std::uint64_t>(Half.count()) + 1;
  return Half +
         core_duration(static_cast<std::int64_t>(Context.randomBelow(Range)));
}

core_duration platform_gateway::backoff() {
  return jitteredDelay(ConsecutiveFailures, MaxBackoff);
}

core_duration platform_gateway::backoff(call_purpose Purpose,
                                        core_duration MaxDelay) {
  return jitteredDelay(stateOf(Purpose).ConsecutiveFailures, MaxDelay);
}

std::vector<status_counter> platform_gateway::counters() const {
  std::vector<status_counter> Out;
  for (std::size_t I = 0; I < CallPurposes; ++I)
    Out.push_back({Rates[I].Name, Purposes[I].Calls});
  return Out;
}

} // namespace jasminecroft::detail
