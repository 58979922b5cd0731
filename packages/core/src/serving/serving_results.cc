// Results of a request's stages: when they are no longer needed, and what is
// made again if they are lost.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

/// Times that lost results of one request are made again.
constexpr std::uint32_t MaxRestages = 2;
/// Results of a request's stage that take up less than this part of a server's
/// room are kept until its answer begins, in case later ones are lost.
constexpr double SmallResultsPart = 0.01;

} // namespace

using namespace detail;

// Has the results of Stage made again, and what it needs for them.
void serving_impl::remake(request_state &State, std::size_t Stage) {
  if (State.Call.Pieces[Stage] == 0 ||
      State.Stages[Stage].Phase == stage_phase::Waiting)
    return;
  cancelJob(State.Stages[Stage]);
  releaseStage(State.Stages[Stage]);
  zone_id Zone = State.Stages[Stage].QueueZone;
  State.Stages[Stage] = stage_state{};
  State.Stages[Stage].QueueZone = Zone;
  for (std::uint32_t Before : State.Route->Stages[Stage].DependsOn)
    if (State.Stages[Before].Released)
      remake(State, Before);
}

// Makes the lost results again, by the stages that Lost names. False: there is
// no point.
bool serving_impl::restage(request_state &State,
                           const std::vector<std::uint32_t> &Lost) {
  if (State.Restages >= MaxRestages)
    return false;
  for (std::uint32_t Stage : Lost)
    remake(State, Stage);
  core_duration Needed{0};
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    if (stageReady(State, Stage))
      Needed =
          std::max(Needed, stageTime(State, Stage) + timeAfter(State, Stage));
  if (Now + Needed > State.Deadline)
    return false;
  ++State.Restages;
  startReadyStages(State);
  return true;
}

// The stages that no other stage comes after.
std::vector<std::uint32_t>
serving_impl::lastStages(const request_state &State) const {
  std::vector<std::uint32_t> Last;
  for (std::uint32_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    if (isLastStage(State, Stage))
      Last.push_back(Stage);
  return Last;
}

// Whether the results of a stage are so small that freeing them early helps
// nobody.
bool serving_impl::smallResults(const request_state &State,
                                std::size_t Stage) const {
  const route_stage &Plan = State.Route->Stages[Stage];
  auto Pool = State.View->Config->Pools.find(Plan.Pool);
  if (Pool == State.View->Config->Pools.end() || !Pool->second.Batches)
    return false;
  double Bytes = static_cast<double>(Plan.ResultBytes) *
                 static_cast<double>(State.Call.Pieces[Stage]);
  return Bytes <
         SmallResultsPart *
             static_cast<double>(Pool->second.Batches->ResultCapacityBytes);
}

void serving_impl::releaseStage(stage_state &Stage) {
  if (Stage.Released || Stage.Results.empty())
    return;
  Stage.Released = true;
  std::vector<result_handle> Results;
  for (const made_piece &Piece : Stage.Results)
    Results.push_back(Piece.Result);
  if (Stage.Owner != Settings.Self.Host && Hosts.live(Stage.Owner))
    sendToHost(Stage.Owner, results_released{std::move(Results)});
  else
    Owner.release(Results, Now);
}

// Releases the results that every stage after them has fetched, but for small
// ones.
void serving_impl::releaseUsed(request_state &State) {
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage) {
    if (smallResults(State, Stage))
      continue;
    bool Consumed = false;
    bool Needed = false;
    for (std::size_t Next = 0; Next < State.Stages.size(); ++Next) {
      const std::vector<std::uint32_t> &DependsOn =
          State.Route->Stages[Next].DependsOn;
      if (std::find(DependsOn.begin(), DependsOn.end(), Stage) ==
          DependsOn.end())
        continue;
      Consumed = true;
      stage_phase Phase = State.Stages[Next].Phase;
      Needed = Needed || Phase == stage_phase::Waiting ||
               Phase == stage_phase::Asked;
    }
    if (Consumed && !Needed)
      releaseStage(State.Stages[Stage]);
  }
}

void serving_impl::releaseAll(request_state &State) {
  for (stage_state &Stage : State.Stages)
    releaseStage(Stage);
}

void serving_impl::cancelJobs(request_state &State) {
  for (stage_state &Stage : State.Stages)
    cancelJob(Stage);
}

void serving_impl::cancelJob(const stage_state &Stage) {
  if (Stage.Phase != stage_phase::Asked && Stage.Phase != stage_phase::Fetched)
    return;
  auto Found = JobsAsked.find(Stage.Job);
  if (Found == JobsAsked.end())
    return;
  entry_host_id Host = Found->second.Owner;
  JobsAsked.erase(Found);
  cancelAt(Host, Stage.Job);
}

void serving_impl::cancelAt(const entry_host_id &Host, piece_job_id Job) {
  if (Host == Settings.Self.Host)
    Owner.cancel(Settings.Self, Job, Now);
  else
    sendToHost(Host, pieces_cancelled{Job});
}

} // namespace jasminecroft
