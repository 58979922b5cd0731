// Attempts of stage calls: dispatch, answers, failures and retries.
#include "jasminecroft/core/detail/request_pipeline.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration RetryAfterFailure = std::chrono::milliseconds(500);

attempt_result resultOf(backend_error Error) {
  if (certainlyNotRun(Error))
    return attempt_result::Refused;
  return Error == backend_error::TimedOut ? attempt_result::TimedOut
                                          : attempt_result::Failed;
}

error_code codeOf(backend_error Error) {
  return certainlyNotRun(Error) ? error_code::NoBackendAvailable
                                : error_code::BackendFailed;
}

} // namespace

// Fails expired work and makes all dispatches that the scheduler decides on,
// until neither makes progress: each may free capacity for the other.
void request_pipeline::runScheduler() {
  bool Progress = true;
  while (Progress) {
    Progress = false;
    for (work_id Work : Scheduler->expired(Context.now()))
      Progress |= expireWork(Work);
    std::optional<dispatch_decision> Decision =
        Scheduler->nextDispatch(Context.now());
    if (Decision)
      Progress |= dispatch(*Decision);
  }
}

bool request_pipeline::expireWork(work_id Work) {
  auto Found = ByWork.find(Work);
  if (Found == ByWork.end()) {
    Scheduler->withdraw(Work, Context.now());
    return false;
  }
  request_state &State = Requests.at(Found->second);
  bool Overdue = State.Deadline <= Context.now();
  if (State.nonRepeatableInFlight() && !Overdue)
    return false;
  failRequest(State,
              Overdue ? error_code::DeadlinePassed
                      : error_code::DeadlineInfeasible,
              Scheduler->comeBackAfter(State.stage().Pool));
  return true;
}

// Returns false, with no request changed, if the decision can't be carried out.
bool request_pipeline::dispatch(const dispatch_decision &Decision) {
  auto Found = ByWork.find(Decision.Work);
  if (Found == ByWork.end()) {
    Scheduler->withdraw(Decision.Work, Context.now());
    return false;
  }
  request_state &State = Requests.at(Found->second);
  if (State.nonRepeatableInFlight())
    return false;
  bool Repeatable = State.stage().Repeatable;
  if (!Repeatable && !Claims->dispatch(*State.Claim)) {
    failRequest(State, error_code::DeadlinePassed, RetryAfterFailure);
    return true;
  }
  if (!Repeatable)
    State.Facts.Key = key_status::Uncertain;
  start_attempt Start = makeStartAttempt(State, Decision);
  running_attempt Running{State.Call.Request, Start.Backend, {}};
  if (Start.Streamed)
    Running.Stream =
        Start.ResumeFrom > 0 ? State.Stream.resume() : State.Stream.restart();
  Attempts.add(Start.Attempt, std::move(Running));
  State.Attempts.insert(Start.Attempt);
  ++State.AttemptsRun;
  Registry.onAttemptStarted(Start.Backend);
  Scheduler->onStarted(Decision.Work, Start.Backend, Start.Attempt,
                       Context.now());
  if (Decision.Hedge) {
    ++Hedges;
    Context.log(event_number::AttemptHedged, event_severity::Info,
                "hedged attempt started", {{"backend", Start.Backend.Value}});
  }
  Context.emit(std::move(Start));
  return true;
}

start_attempt
request_pipeline::makeStartAttempt(const request_state &State,
                                   const dispatch_decision &Decision) {
  start_attempt Start;
  Start.Attempt = Context.newAttempt();
  Start.Backend = Decision.Replica.Backend;
  Start.Address = Decision.Replica.Address;
  Start.Workspace = State.Call.Workspace;
  Start.Pipeline = State.Call.Pipeline;
  Start.Stage = State.stage().Name;
  Start.Input = State.Input;
  Start.Timeout = State.Deadline - Context.now();
  Start.Priority = Decision.Priority;
  Start.Repeatable = State.stage().Repeatable;
  Start.Streamed = State.streamsNow();
  Start.TokenLimit = State.Call.TokenLimit;
  if (!Start.Repeatable)
    Start.Timeout += NonRepeatableGrace;
  // A different backend server starts the stream from its beginning, so that
  // its text can be compared with the text already forwarded.
  if (Start.Streamed && State.ResumableBackend == Start.Backend)
    Start.ResumeFrom = State.Stream.forwardedCount();
  return Start;
}

void request_pipeline::endAttempt(attempt_id Attempt, attempt_result Result) {
  std::optional<running_attempt> Ended = Attempts.remove(Attempt);
  if (!Ended)
    return;
  Registry.onAttemptEnded(Ended->Backend);
  request_state &State = Requests.at(Ended->Request);
  State.Attempts.erase(Attempt);
  // For a detached request, the scheduler has already ended the attempt.
  if (!State.Detached)
    Scheduler->onEnded(Attempt, Result, Context.now());
}

void request_pipeline::cancelAttempts(request_state &State) {
  std::set<attempt_id> Running = State.Attempts;
  for (attempt_id Attempt : Running) {
    endAttempt(Attempt, attempt_result::Cancelled);
    Context.emit(cancel_attempt{Attempt});
  }
}

void request_pipeline::onPiece(const attempt_piece &Event) {
  running_attempt *Running = Attempts.find(Event.Attempt);
  if (!Running || !Running->Stream) {
    Attempts.countStalePiece();
    return;
  }
  request_state &State = Requests.at(Running->Request);
  std::uint64_t Position = State.Stream.forwardedCount();
  std::vector<std::string> NewPieces;
  stream_status Status = State.Stream.onPiece(*Running->Stream, Event.Sequence,
                                              Event.Text, NewPieces);
  for (std::string &Piece : NewPieces) {
    if (!State.stage().Repeatable)
      State.StreamedText += Piece;
    if (!State.CallerGone && !State.Detached)
      Context.emit(
          stream_to_caller{State.Call.Request, Position++, std::move(Piece)});
  }
  if (Status == stream_status::Stale)
    Attempts.countStalePiece();
  if (Status != stream_status::Broken && Status != stream_status::Diverged)
    return;
  Context.emit(cancel_attempt{Event.Attempt});
  if (Status == stream_status::Broken)
    handleFailure(State, {Event.Attempt, backend_error::Broken, {}});
  else
    handleDivergence(State, Event.Attempt);
  runScheduler();
}

void request_pipeline::onSucceeded(const attempt_succeeded &Event) {
  running_attempt *Running = Attempts.find(Event.Attempt);
  if (!Running) {
    Attempts.countLateAnswer(Event.Attempt);
    return;
  }
  request_state &State = Requests.at(Running->Request);
  stream_status Status = stream_status::Ok;
  if (Running->Stream)
    Status = State.Stream.onEnd(*Running->Stream, Event.Count, Event.Digest);
  if (Status == stream_status::Broken)
    handleFailure(State, {Event.Attempt, backend_error::Broken, {}});
  else if (Status == stream_status::Diverged)
    handleDivergence(State, Event.Attempt);
  else
    handleSuccess(State, Event);
  runScheduler();
}

void request_pipeline::handleSuccess(request_state &State,
                                     const attempt_succeeded &Event) {
  bool Streamed = State.streamsNow();
  endAttempt(Event.Attempt, attempt_result::Succeeded);
  finishStage(State, Streamed ? State.StreamedText : Event.Output, false);
}

// Ends an attempt whose text differs from the text already forwarded: the two
// must not be mixed in one answer.
void request_pipeline::handleDivergence(request_state &State,
                                        attempt_id Attempt) {
  ++Diverged;
  bool Repeatable = State.stage().Repeatable;
  if (!Repeatable) {
    handleFailure(State, {Attempt, backend_error::Broken, {}});
    return;
  }
  endAttempt(Attempt, attempt_result::Failed);
  if (State.Attempts.empty())
    failRequest(State, error_code::StreamDiverged, RetryAfterFailure);
}

void request_pipeline::onFailed(const attempt_failed &Event) {
  running_attempt *Running = Attempts.find(Event.Attempt);
  if (!Running) {
    Attempts.countLateAnswer(Event.Attempt);
    return;
  }
  handleFailure(Requests.at(Running->Request), Event);
  runScheduler();
}

void request_pipeline::handleFailure(request_state &State,
                                     const attempt_failed &Event) {
  backend_id Backend = Attempts.find(Event.Attempt)->Backend;
  if (Event.Error == backend_error::RefusedLeaving)
    Registry.onLeavingRefusal(Backend);
  endAttempt(Event.Attempt, resultOf(Event.Error));
  if (certainlyNotRun(Event.Error))
    --State.AttemptsRun;
  else if (State.streamsNow())
    State.ResumableBackend = Backend;
  if (!State.stage().Repeatable)
    handleNonRepeatableFailure(State, Backend, Event);
  else if (State.Attempts.empty())
    retryOrFail(State, Backend, Event);
}

void request_pipeline::handleNonRepeatableFailure(request_state &State,
                                                  const backend_id &Backend,
                                                  const attempt_failed &Event) {
  if (certainlyNotRun(Event.Error)) {
    Claims->revertDispatch(*State.Claim);
    State.Facts.Key = key_status::NeverRan;
    retryOrFail(State, Backend, Event);
    return;
  }
  Claims->recordUnknown(*State.Claim);
  ByClaim.erase(*State.Claim);
  State.Claim.reset();
  bool Answered = Event.Error == backend_error::ExecutionFailed;
  failRequest(State,
              Answered ? error_code::BackendFailed : error_code::OutcomeUnknown,
              RetryAfterFailure);
}

void request_pipeline::retryOrFail(request_state &State,
                                   const backend_id &Failed,
                                   const attempt_failed &Event) {
  bool CallerWaiting = !State.CallerGone && !State.Detached;
  if (CallerWaiting && Scheduler->mayRetry(State.Work, Context.now())) {
    ++Retries;
    Context.log(
        event_number::AttemptRetried, event_severity::Info,
        "retrying stage call",
        {{"stage", State.stage().Name.Value}, {"failed_at", Failed.Value}});
    Scheduler->requeue(State.Work, Failed, Context.now());
    return;
  }
  core_duration RetryAfter =
      std::max(RetryAfterFailure, Event.RetryAfter.value_or(RetryAfterFailure));
  failRequest(State, codeOf(Event.Error), RetryAfter);
}

} // namespace jasminecroft::detail
