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
/// Age at which a reported wait has decayed to zero.
constexpr double WaitDecaySeconds = 1.5;

} // namespace

using namespace detail;

// Returns the wait in a queue as last reported by its owner, scaled down
// linearly with the age of the report.
queue_wait serving_impl::estimatedWait(const pool_id &Pool,
                                       const zone_id &Zone) const {
  auto Found = Waits.find({Pool, Zone});
  if (Found == Waits.end())
    return {};
  double Age = std::chrono::duration<double>(Now - Found->second.At).count();
  double Part = std::clamp(1 - Age / WaitDecaySeconds, 0.0, 1.0);
  queue_wait Wait = Found->second.Wait;
  for (core_duration &Time : Wait.OnTime)
    Time = scaled(Time, Part);
  for (core_duration &Time : Wait.Planned)
    Time = scaled(Time, Part);
  Wait.Late = scaled(Wait.Late, Part);
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
  auto Found = StreamMicros.find(State.Route->Name);
  if (Found == StreamMicros.end())
    return core_duration{0};
  return core_duration(static_cast<std::int64_t>(Found->second));
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

// Estimates the waits of a request that arrives now. Work that other hosts plan
// to submit to a stage adds to its queue; the time until the request reaches
// the stage, in which the servers drain the queue, is subtracted.
serving_impl::forecast
serving_impl::forecastStages(const active_request &State) const {
  forecast Result;
  std::size_t Rank = urgencyRank(State.Priority);
  std::vector<core_duration> Ends(State.Stages.size(), core_duration{0});
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage) {
    const route_stage &Plan = State.Route->Stages[Stage];
    core_duration Start{0};
    for (std::uint32_t Before : Plan.After)
      if (Before < Stage)
        Start = std::max(Start, Ends[Before]);
    Ends[Stage] = Start;
    if (State.Request.Pieces[Stage] == 0)
      continue;
    queue_wait Wait = estimatedWait(State, Stage);
    core_duration None{0};
    core_duration Planned = Plan.After.empty() ? None : Wait.Planned[Rank];
    core_duration OnTime = std::max(None, Wait.OnTime[Rank] + Planned - Start);
    core_duration Late = std::max(None, Wait.Late + Planned - Start);
    Ends[Stage] = Start + OnTime + callTime(State, Stage);
    Result.MaxLateQueueWait = std::max(Result.MaxLateQueueWait, Late);
    Result.Needed = std::max(Result.Needed, Ends[Stage]);
  }
  Result.Needed += firstByteTime(State);
  return Result;
}

// Refuses a request that cannot be on time if a queue ahead of it is so long
// that starting the request only takes result memory from others: its results
// would expire, or block servers, before the next stage uses them. Returns
// whether it was refused.
bool serving_impl::shedIfLate(active_request &State) {
  forecast Forecast = forecastStages(State);
  State.Forecast = Forecast.Needed;
  bool OnTime = Now + Forecast.Needed <= State.GoalAt;
  if (OnTime || Forecast.MaxLateQueueWait < MaxLateQueueWait)
    return false;
  failRequest(State, refusal_kind::Overloaded, Forecast.MaxLateQueueWait);
  return true;
}

} // namespace jasminecroft
