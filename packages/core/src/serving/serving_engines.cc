// Calls to model engines: their urgency, and what their streams show.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

/// Events after the first from which a stream's mean time between them counts.
constexpr std::uint64_t MinEvents = 4;

std::string inPercent(double Factor) {
  constexpr double Percent = 100;
  return std::to_string(static_cast<std::int64_t>(Factor * Percent));
}

} // namespace

// Returns the urgency of a call that is being sent, and counts it as waiting.
std::optional<std::uint32_t>
serving_impl::beginStream(const active_request &State, call_id Call) {
  std::optional<std::uint32_t> Urgency = Aging.urgencyOf(
      State.View->Ranked, State.Pool, State.Priority, State.Route->Goal, Now);
  if (!Urgency)
    return std::nullopt;
  if (*Urgency < std::min(State.Priority, MaxUrgency))
    ++Counters.RaisedUrgencies;
  if (State.Route->Streamed) {
    Calls.at(Call).WaitsAs = State.Priority;
    Aging.onSent(State.Pool, State.Priority, Now);
  }
  return Urgency;
}

void serving_impl::onFirstEvent(call_id Call) {
  std::optional<std::uint32_t> &WaitsAs = Calls.at(Call).WaitsAs;
  if (WaitsAs)
    Aging.onBegun(Calls.at(Call).Server.Pool, *WaitsAs, Now);
  WaitsAs.reset();
}

void serving_impl::observePause(const active_request &State) {
  core_duration Goal = State.Route->PauseGoal;
  if (Goal > core_duration{0} && Now - State.LastEventAt > Goal)
    ++Counters.LatePauses[urgencyRank(State.Priority)];
}

// Learns from a whole stream. Engines say nothing of their speed.
void serving_impl::observeEngine(const active_request &State) {
  auto Pool = State.View->Config->Pools.find(State.Pool);
  if (Pool == State.View->Config->Pools.end() || !Pool->second.Engine ||
      !State.LastEvent || *State.LastEvent < State.CallEvent + MinEvents)
    return;
  core_duration Mean =
      (State.LastEventAt - State.CallEventAt) /
      static_cast<std::int64_t>(*State.LastEvent - State.CallEvent);
  if (!Servers.isPresentRun(State.Server.Id, State.Server.Run))
    return;
  Engines.observe(State.Server.Id, State.Server.Run, Mean,
                  !Following.isWatcher(), Now);
  applyEngineModel();
}

void serving_impl::applyEngineModel() {
  for (const engine_change &Change : Engines.apply(Servers, Now))
    log(Change.Slow ? event_number::EngineSlow : event_number::EngineUsual,
        event_severity::Info,
        Change.Slow ? "model engine is slower than its pool"
                    : "model engine is as fast as its pool",
        {{"server", Change.Server.Value},
         {"factor_percent", inPercent(Change.Factor)},
         {"source", std::string(Change.Source)}});
  Counters.SlowEngines = Engines.slowCount();
}

void serving_impl::on(const host_run &, const engine_times &Body) {
  auto OfPresentRuns = [this](std::vector<engine_time> Times) {
    std::erase_if(Times, [this](const engine_time &Time) {
      return !Servers.isPresentRun(Time.Server, Time.Run);
    });
    return Times;
  };
  Engines.onSeen(OfPresentRuns(Body.Seen), Now);
  Engines.onKnown(OfPresentRuns(Body.Known), Now);
  applyEngineModel();
}

} // namespace jasminecroft::detail
