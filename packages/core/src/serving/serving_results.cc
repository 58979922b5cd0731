// Results of a request's stages: release of unused results and recomputation
// of lost ones.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

/// Limit on recomputations of lost results of one request.
constexpr std::uint32_t MaxRecomputations = 2;
/// Results of a stage that occupy less than this fraction of a server's result
/// memory are kept until the response begins, in case later results are lost.
constexpr double SmallResultFraction = 0.01;

} // namespace

using namespace detail;

// Resets Stage so that it is computed again, and the stages that it depends on
// if their results were released. Jobs that would be made from its results are
// withdrawn; those that have fetched them go on.
void serving_impl::resetStage(active_request &State, std::size_t Stage) {
  if (State.Request.Pieces[Stage] == 0 ||
      State.Stages[Stage].Phase == stage_phase::Waiting)
    return;
  clearStage(State, Stage);
  for (std::uint32_t Before : State.Route->Stages[Stage].After)
    if (State.Stages[Before].Released)
      resetStage(State, Before);
  for (std::size_t Next = 0; Next < State.Stages.size(); ++Next) {
    const std::vector<std::uint32_t> &After = State.Route->Stages[Next].After;
    bool Follows = std::find(After.begin(), After.end(), Stage) != After.end();
    if (Follows && State.Stages[Next].Phase == stage_phase::Requested)
      clearStage(State, Next);
  }
}

// Returns a stage to the phase Waiting; its job and its results are given up.
void serving_impl::clearStage(active_request &State, std::size_t Stage) {
  cancelJob(State.Stages[Stage]);
  releaseStage(State.Stages[Stage]);
  stage_state Reset;
  Reset.QueueZone = State.Stages[Stage].QueueZone;
  Reset.QueueReason = State.Stages[Stage].QueueReason;
  State.Stages[Stage] = std::move(Reset);
}

// Returns the stages before Stage that have to be made again: those whose
// results are in Source, which is lost, and those whose results are released.
// Stages that are being made again, or have been since, are not among them.
std::vector<std::uint32_t>
serving_impl::lostStages(const active_request &State, std::size_t Stage,
                         const piece_source &Source) const {
  const std::vector<result_handle> &Lost = resultsOf(Source);
  std::vector<std::uint32_t> Stages;
  for (std::uint32_t Before : State.Route->Stages[Stage].After) {
    const stage_state &Made = State.Stages[Before];
    if (Made.Phase != stage_phase::Done || Made.Results.empty())
      continue;
    bool IsSource = std::find(Lost.begin(), Lost.end(),
                              Made.Results.front().Result) != Lost.end();
    if (IsSource || Made.Released)
      Stages.push_back(Before);
  }
  return Stages;
}

// Withdraws a job whose inputs are released or made again, and lets its stage
// get another one once it has inputs; ends the request if that takes too long.
// Returns whether the job was withdrawn.
bool serving_impl::renewJob(piece_job_id Id, active_request &State) {
  const job_state Job = PendingJobs[Id];
  if (stageSource(State, Job.Stage) == Job.Source)
    return false;
  clearStage(State, Job.Stage);
  if (!recomputeResults(State, lostStages(State, Job.Stage, piece_source())))
    failRequest(State, refusal_kind::NoBackend, NoBackendRetryAfter);
  return true;
}

// Recomputes the lost results of the stages in Lost, and starts all stages that
// are ready. Returns false if the limit is reached or the deadline cannot be
// met.
bool serving_impl::recomputeResults(active_request &State,
                                    const std::vector<std::uint32_t> &Lost) {
  if (!Lost.empty() && State.Recomputations >= MaxRecomputations)
    return false;
  for (std::uint32_t Stage : Lost)
    resetStage(State, Stage);
  if (!canRestart(State))
    return false;
  if (!Lost.empty()) {
    ++State.Recomputations;
    logReset(State, Lost);
  }
  startReadyStages(State);
  return true;
}

// Recomputes the results that the call of a request needs if they are released.
// Other missing ones are being made.
void serving_impl::awaitInputs(active_request &State) {
  std::vector<std::uint32_t> Released = finalStages(State);
  std::erase_if(Released, [&State](std::uint32_t Stage) {
    return !State.Stages[Stage].Released;
  });
  if (!Released.empty() && !recomputeResults(State, Released))
    failRequest(State, refusal_kind::NoBackend, NoBackendRetryAfter);
}

// Returns whether the stages that are ready, and what follows them, can end
// before the deadline.
bool serving_impl::canRestart(const active_request &State) const {
  core_duration Needed{0};
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    if (stageReady(State, Stage))
      Needed = std::max(Needed, stageTime(State, Stage) +
                                    remainingTimeAfter(State, Stage));
  return Now + Needed <= State.Deadline && endsBeforeDrain(State, Needed);
}

void serving_impl::logReset(const active_request &State,
                            const std::vector<std::uint32_t> &Lost) {
  std::string LostText;
  for (std::uint32_t Stage : Lost)
    LostText += (LostText.empty() ? "" : ",") + std::to_string(Stage);
  std::string Waiting;
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    if (State.Stages[Stage].Phase == stage_phase::Waiting)
      Waiting += (Waiting.empty() ? "" : ",") + std::to_string(Stage);
  log(event_number::StagesReset, event_severity::Info,
      "results of stages are lost; they are made again",
      {{"request", State.Request.CallerId.Value},
       {"lost", LostText},
       {"waiting", Waiting},
       {"count", std::to_string(State.Recomputations)}});
}

// Returns the stages that no other stage depends on.
std::vector<std::uint32_t>
serving_impl::finalStages(const active_request &State) const {
  std::vector<std::uint32_t> Last;
  for (std::uint32_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    if (isFinalStage(State, Stage))
      Last.push_back(Stage);
  return Last;
}

// Returns whether the results of a stage are too small for an early release to
// matter.
bool serving_impl::hasSmallResults(const active_request &State,
                                   std::size_t Stage) const {
  const route_stage &Plan = State.Route->Stages[Stage];
  auto Pool = State.View->Config->Pools.find(Plan.Pool);
  if (Pool == State.View->Config->Pools.end() || !Pool->second.Batches)
    return false;
  double Bytes = static_cast<double>(Plan.ResultBytes) *
                 static_cast<double>(State.Request.Pieces[Stage]);
  return Bytes <
         SmallResultFraction *
             static_cast<double>(Pool->second.Batches->ResultCapacityBytes);
}

void serving_impl::releaseStage(stage_state &Stage) {
  if (Stage.Released || Stage.Results.empty())
    return;
  Stage.Released = true;
  std::vector<result_handle> Results;
  for (const completed_piece &Piece : Stage.Results)
    Results.push_back(Piece.Result);
  if (Stage.Owner != Settings.Self.Host && Hosts.live(Stage.Owner))
    sendToHost(Stage.Owner, results_released{std::move(Results)});
  else
    Owner.release(Results, Now);
}

// Releases the results that all dependent stages have fetched, except small
// ones.
void serving_impl::releaseUsed(active_request &State) {
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage) {
    if (hasSmallResults(State, Stage))
      continue;
    bool Consumed = false;
    bool Needed = false;
    for (std::size_t Next = 0; Next < State.Stages.size(); ++Next) {
      const std::vector<std::uint32_t> &After = State.Route->Stages[Next].After;
      if (std::find(After.begin(), After.end(), Stage) == After.end())
        continue;
      Consumed = true;
      stage_phase Phase = State.Stages[Next].Phase;
      Needed = Needed || Phase == stage_phase::Waiting ||
               Phase == stage_phase::Requested;
    }
    if (Consumed && !Needed)
      releaseStage(State.Stages[Stage]);
  }
}

void serving_impl::releaseAll(active_request &State) {
  for (stage_state &Stage : State.Stages)
    releaseStage(Stage);
}

void serving_impl::cancelJobs(active_request &State) {
  for (stage_state &Stage : State.Stages)
    cancelJob(Stage);
}

void serving_impl::cancelJob(const stage_state &Stage) {
  if (Stage.Phase != stage_phase::Requested &&
      Stage.Phase != stage_phase::InputsFetched)
    return;
  auto Found = PendingJobs.find(Stage.Job);
  if (Found == PendingJobs.end())
    return;
  entry_host_id Host = Found->second.Owner;
  PendingJobs.erase(Found);
  cancelJobAt(Host, Stage.Job);
}

void serving_impl::cancelJobAt(const entry_host_id &Host, piece_job_id Job) {
  if (Host == Settings.Self.Host)
    Owner.cancel(Settings.Self, Job, Now);
  else
    sendToHost(Host, pieces_cancelled{Job});
}

} // namespace jasminecroft
