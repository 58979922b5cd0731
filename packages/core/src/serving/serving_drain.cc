// The planned stop of this host: which requests it still takes, and when they
// end.
#include "serving_state.h"

namespace jasminecroft {

using namespace detail;

void serving_impl::beginDraining(const drain_plan &Plan) {
  Leaving = true;
  Drain = Plan;
  DrainBegan = Now;
  for (request_map::value_type &Entry : Requests)
    limitToDrain(Entry.second);
  Hosts.setSelfLeaving();
  for (const batching_host &Host : Hosts.others())
    if (!Hosts.suspected(Host.Host))
      Actions.sendToPeer(Host, makeHeartbeat(false));
  transferQueues();
}

// Ends a request that would outlast this host when the host stops.
void serving_impl::limitToDrain(active_request &State) {
  if (!Drain || State.Deadline <= Drain->End)
    return;
  State.Deadline = Drain->End;
  addTimer(State.Deadline, timer_kind::Deadline, State.Request.Number.Value);
}

// Returns whether the stop of this host ends the request earlier than its
// caller or route would.
bool serving_impl::cutByDrain(const active_request &State) const {
  return Drain && State.Deadline == Drain->End;
}

// Returns whether the request came on a connection from before the stop and
// could outlast it. No forecast is sure, and its caller leaves this host with
// the answer anyway: refused at once, it has its whole time at another host.
bool serving_impl::arrivedTooLate(const active_request &State) const {
  return cutByDrain(State) && State.Arrived > Drain->LastConnection;
}

// Returns whether the reply is almost sure to be complete before this host
// stops if its first byte takes FirstByte from now on.
bool serving_impl::endsBeforeDrain(const active_request &State,
                                   core_duration FirstByte) const {
  return !cutByDrain(State) ||
         Now + FirstByte + longestStreamTime(State) <= State.Deadline;
}

} // namespace jasminecroft
