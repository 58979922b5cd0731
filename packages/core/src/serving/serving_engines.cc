// Calls to model engines: their urgency, and what their streams show.
#include "serving_state.h"

namespace jasminecroft::detail {

// Returns the urgency of a call that is being sent, and counts it as waiting.
std::optional<std::uint32_t>
serving_impl::beginStream(const active_request &State, call_id Call) {
  std::optional<std::uint32_t> Urgency = Aging.urgencyOf(
      State.View->Ranked, State.Pool, State.Priority, State.Route->Goal, Now);
  if (!Urgency)
    return std::nullopt;
  if (*Urgency < State.Priority)
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

} // namespace jasminecroft::detail
