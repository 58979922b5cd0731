// Estimates of queueing and service times, and load shedding based on them.
// Refuses bursts early that later stages cannot complete in time.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Expected time to the first byte before one was observed.
constexpr core_duration DefaultFirstByteTime = milliseconds(150);
/// Without an observed call time, a call is assumed to carry the maximum number
/// of pieces divided by this.
constexpr std::uint32_t TypicalBatchDivisor = 2;
/// A refused caller is not told to stay away longer: waits of that length are
/// those of a pool without servers.
constexpr core_duration MaxRoomIn = std::chrono::seconds(5);

} // namespace

using namespace detail;

// Returns the wait in a queue as last reported by its owner, scaled down
// linearly with the age of the report.
queue_wait serving_impl::estimatedWait(const pool_id &Pool,
                                       const zone_id &Zone) const {
  auto Found = Waits.find({Pool, Zone});
  if (Found == Waits.end())
    return {};
  double Part = reportWeight(Now - Found->second.At);
  queue_wait Wait = Found->second.Wait;
  for (core_duration &Time : Wait.OnTime)
    Time = scaled(Time, Part);
  for (core_duration &Time : Wait.Planned)
    Time = scaled(Time, Part);
  for (core_duration &Time : Wait.Late)
    Time = scaled(Time, Part);
  return Wait;
}

queue_wait serving_impl::estimatedWait(const active_request &State,
                                       std::size_t Stage) const {
  return estimatedWait(State.Route->Stages[Stage].Pool,
                       State.Stages[Stage].QueueZone);
}

// Announces the work that this host's requests will submit to the queues of
// later stages to their owners, which include it in the waits that they report
// to all hosts.
void serving_impl::sendDemandForecast(const active_request &State) {
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage) {
    const route_stage &Plan = State.Route->Stages[Stage];
    if (Plan.After.empty() || State.Request.Pieces[Stage] == 0)
      continue;
    demand_forecast Work;
    Work.Pool = Plan.Pool;
    Work.QueueZone = State.Stages[Stage].QueueZone;
    Work.Pieces = plannedPieces(Plan.Pool);
    entry_host_id Target = Settings.BatchAlone
                               ? Settings.Self.Host
                               : queueOwner(Work.Pool, Work.QueueZone);
    if (Target == Settings.Self.Host)
      Owner.onDemandForecast(Target, Work.Pool, Work.QueueZone, Work.Pieces,
                             Now);
    else
      sendToHost(Target, std::move(Work));
  }
}

by_urgency<std::uint32_t>
serving_impl::plannedPieces(const pool_id &Pool) const {
  by_urgency<std::uint32_t> Planned{};
  for (const request_map::value_type &Entry : Requests) {
    const active_request &State = Entry.second;
    for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
      if (State.Stages[Stage].Phase == stage_phase::Waiting &&
          State.Route->Stages[Stage].Pool == Pool)
        Planned[urgencyRank(State.Priority)] += State.Request.Pieces[Stage];
  }
  return Planned;
}

// Returns the expected duration of a stage's call, without the wait before it.
core_duration serving_impl::callTime(const active_request &State,
                                     std::size_t Stage) const {
  auto Found = State.View->Config->Pools.find(State.Route->Stages[Stage].Pool);
  if (Found == State.View->Config->Pools.end() || !Found->second.Batches)
    return core_duration{0};
  const batch_rules &Rules = *Found->second.Batches;
  std::uint32_t Own = State.Request.Pieces[Stage];
  queue_wait Known = estimatedWait(State, Stage);
  if (Known.Call.count() > 0)
    return std::max(Known.Call, expectedCallTime(Rules, Own));
  return expectedCallTime(Rules,
                          std::max(Own, Rules.MaxPieces / TypicalBatchDivisor));
}

core_duration serving_impl::stageTime(const active_request &State,
                                      std::size_t Stage) const {
  return estimatedWait(State, Stage).OnTime[urgencyRank(State.Priority)] +
         callTime(State, Stage);
}

core_duration serving_impl::firstByteTime(const active_request &State) const {
  auto Found = FirstByteMicros.find(State.Pool);
  if (Found == FirstByteMicros.end())
    return DefaultFirstByteTime;
  return core_duration(static_cast<std::int64_t>(Found->second));
}

// Returns the expected time from the first byte of the response to its end.
core_duration serving_impl::streamTime(const active_request &State) const {
  auto Found = StreamTimes.find(State.Route->Name);
  return Found == StreamTimes.end() ? core_duration{0} : Found->second.usual();
}

// Returns a time from the first byte of the response to its end that few
// responses exceed.
core_duration
serving_impl::longestStreamTime(const active_request &State) const {
  auto Found = StreamTimes.find(State.Route->Name);
  return Found == StreamTimes.end()
             ? core_duration{0}
             : Found->second.longest(State.Request.OutputTokens);
}

// Returns the expected time from the end of Stage to the first byte of the
// response.
core_duration serving_impl::remainingTimeAfter(const active_request &State,
                                               std::size_t Stage) const {
  core_duration Longest{0};
  for (std::size_t Next = Stage + 1; Next < State.Stages.size(); ++Next) {
    const std::vector<std::uint32_t> &After = State.Route->Stages[Next].After;
    bool Follows = std::find(After.begin(), After.end(), Stage) != After.end();
    if (Follows && State.Request.Pieces[Next] > 0)
      Longest = std::max(Longest, stageTime(State, Next) +
                                      remainingTimeAfter(State, Next) -
                                      firstByteTime(State));
  }
  return Longest + firstByteTime(State);
}

way_query serving_impl::wayOf(const active_request &State) const {
  way_query Query;
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage) {
    way_stage &Step = Query.Stages.emplace_back();
    Step.After = State.Route->Stages[Stage].After;
    Step.HasPieces = State.Request.Pieces[Stage] > 0;
    Step.Wait = estimatedWait(State, Stage);
    Step.Call = callTime(State, Stage);
  }
  Query.FirstByte = firstByteTime(State);
  Query.AimIn = State.GoalAt - Now;
  Query.Priority = State.Priority;
  Query.Workspace = State.Workspace;
  return Query;
}

// Refuses a request that cannot be on time if a queue ahead of it is so long
// that starting the request only takes result memory from others: its results
// would expire, or block servers, before the next stage uses them. Returns
// whether it was refused.
bool serving_impl::shedIfLate(active_request &State) {
  way_plan Plan = planWay(wayOf(State));
  State.Forecast = Plan.Needed;
  State.Way = std::move(Plan);
  if (State.Way.Decision != way_decision::Refuse)
    return false;
  core_duration RoomIn = State.Way.LateWait;
  if (State.View->Competing)
    RoomIn = spreadReturn(State.Request.CallerId, std::min(RoomIn, MaxRoomIn));
  failRequest(State, refusal_kind::Overloaded, RoomIn);
  return true;
}

} // namespace jasminecroft
