// Estimates of waits and times on a request's way, and who is turned away
// because of them. Answers bursts that later stages cannot take in time.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Time to the first event before any was seen.
constexpr core_duration FirstHeadTime = milliseconds(150);
/// Calls of which nothing is known are expected to be filled to this part.
constexpr std::uint32_t TypicalBatchDivisor = 2;
/// What an owner said of its queue counts for nothing after this time.
constexpr double WaitFadeSeconds = 1.5;

} // namespace

using namespace detail;

// The wait in a queue as its owner last said it; it counts less as it gets
// older.
queue_wait serving_impl::knownWait(const pool_id &Pool,
                                   const zone_id &Zone) const {
  auto Found = Waits.find({Pool, Zone});
  if (Found == Waits.end())
    return {};
  double Age = std::chrono::duration<double>(Now - Found->second.At).count();
  double Part = std::clamp(1 - Age / WaitFadeSeconds, 0.0, 1.0);
  queue_wait Wait = Found->second.Wait;
  for (core_duration &Time : Wait.OnTime)
    Time = scaled(Time, Part);
  for (core_duration &Time : Wait.Planned)
    Time = scaled(Time, Part);
  Wait.Late = scaled(Wait.Late, Part);
  return Wait;
}

queue_wait serving_impl::knownWait(const request_state &State,
                                   std::size_t Stage) const {
  return knownWait(State.Route->Stages[Stage].Pool,
                   State.Stages[Stage].QueueZone);
}

// Tells the owners of later stages' queues what this host's requests will ask
// of them, so that others see it too.
void serving_impl::tellPlans(const request_state &State) {
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage) {
    const route_stage &Plan = State.Route->Stages[Stage];
    if (Plan.After.empty() || State.Call.Pieces[Stage] == 0)
      continue;
    demand_forecast Work;
    Work.Pool = Plan.Pool;
    Work.QueueZone = State.Stages[Stage].QueueZone;
    Work.Pieces = plannedPieces(Plan.Pool);
    entry_host_id Target = Settings.BatchAlone
                               ? Settings.Self.Host
                               : ownerOf(Work.Pool, Work.QueueZone);
    if (Target == Settings.Self.Host)
      Owner.onPlanned(Target, Work.Pool, Work.QueueZone, Work.Pieces, Now);
    else
      sendToHost(Target, std::move(Work));
  }
}

by_urgency<std::uint32_t>
serving_impl::plannedPieces(const pool_id &Pool) const {
  by_urgency<std::uint32_t> Planned{};
  for (const request_map::value_type &Entry : Requests) {
    const request_state &State = Entry.second;
    for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
      if (State.Stages[Stage].Phase == stage_phase::Waiting &&
          State.Route->Stages[Stage].Pool == Pool)
        Planned[urgencyRank(State.Priority)] += State.Call.Pieces[Stage];
  }
  return Planned;
}

// The time that the pieces of a stage take once their call has begun.
core_duration serving_impl::callTime(const request_state &State,
                                     std::size_t Stage) const {
  auto Found = State.View->Config->Pools.find(State.Route->Stages[Stage].Pool);
  if (Found == State.View->Config->Pools.end() || !Found->second.Batches)
    return core_duration{0};
  const batch_rules &Rules = *Found->second.Batches;
  std::uint32_t Own = State.Call.Pieces[Stage];
  queue_wait Known = knownWait(State, Stage);
  if (Known.Call.count() > 0)
    return std::max(Known.Call, expectedCallTime(Rules, Own));
  return expectedCallTime(Rules,
                          std::max(Own, Rules.MaxPieces / TypicalBatchDivisor));
}

core_duration serving_impl::stageTime(const request_state &State,
                                      std::size_t Stage) const {
  return knownWait(State, Stage).OnTime[urgencyRank(State.Priority)] +
         callTime(State, Stage);
}

core_duration serving_impl::answerTime(const request_state &State) const {
  auto Found = HeadMicros.find(State.Pool);
  if (Found == HeadMicros.end())
    return FirstHeadTime;
  return core_duration(static_cast<std::int64_t>(Found->second));
}

// Expected time from the end of Stage to the answer's first byte.
core_duration serving_impl::timeAfter(const request_state &State,
                                      std::size_t Stage) const {
  core_duration Longest{0};
  for (std::size_t Next = Stage + 1; Next < State.Stages.size(); ++Next) {
    const std::vector<std::uint32_t> &After = State.Route->Stages[Next].After;
    bool Follows = std::find(After.begin(), After.end(), Stage) != After.end();
    if (Follows && State.Call.Pieces[Next] > 0)
      Longest =
          std::max(Longest, stageTime(State, Next) + timeAfter(State, Next) -
                                answerTime(State));
  }
  return Longest + answerTime(State);
}

// What a request that comes now will meet on its way through the stages. The
// work that others are about to ask of a stage adds to its queue, and what its
// servers do until the request gets there takes from it.
serving_impl::forecast
serving_impl::forecastStages(const request_state &State) const {
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
    if (State.Call.Pieces[Stage] == 0)
      continue;
    queue_wait Wait = knownWait(State, Stage);
    core_duration None{0};
    core_duration Planned = Plan.After.empty() ? None : Wait.Planned[Rank];
    core_duration OnTime = std::max(None, Wait.OnTime[Rank] + Planned - Start);
    core_duration Late = std::max(None, Wait.Late + Planned - Start);
    Ends[Stage] = Start + OnTime + callTime(State, Stage);
    Result.LongestLateWait = std::max(Result.LongestLateWait, Late);
    Result.Needed = std::max(Result.Needed, Ends[Stage]);
  }
  Result.Needed += answerTime(State);
  return Result;
}

// Whether the request can't be on time and a queue on its way is so long that
// beginning it would only take room from others: its results would expire, or
// block servers, before the next stage comes to them.
bool serving_impl::turnedAway(request_state &State) {
  forecast Forecast = forecastStages(State);
  State.Forecast = Forecast.Needed;
  bool OnTime = Now + Forecast.Needed <= State.GoalAt;
  if (OnTime || Forecast.LongestLateWait < LongestLateWait)
    return false;
  giveUp(State, refusal_kind::Overloaded, Forecast.LongestLateWait);
  return true;
}

} // namespace jasminecroft
