// Admission, stages, claims and final answers of requests.
#include "jasminecroft/core/detail/request_pipeline.h"

#include <algorithm>

#include <xxhash.h>

namespace jasminecroft::detail {

namespace {

/// Number of input bytes that the prefix hash covers.
constexpr std::size_t PrefixBytes = 256;
constexpr core_duration RetryAfterNotReady = std::chrono::seconds(1);
constexpr core_duration RetryAfterDeadline = std::chrono::milliseconds(500);
/// Fraction of the remaining time within which a claim must be decided; the
/// rest is reserved for the work itself.
constexpr std::int64_t ClaimShareNumerator = 3;
constexpr std::int64_t ClaimShareDenominator = 4;

fingerprint fingerprintOf(const request_received &Call) {
  std::string Text = Call.Workspace.Value;
  Text += '\0';
  Text += Call.Pipeline.Value;
  Text += '\0';
  Text += Call.Body;
  return fingerprint(XXH3_64bits(Text.data(), Text.size()));
}

} // namespace

request_pipeline::request_pipeline(core_context &Context,
                                   backend_registry &Registry,
                                   std::unique_ptr<work_scheduler> Scheduler)
    : Context(Context), Registry(Registry), Scheduler(std::move(Scheduler)),
      Attempts(Context) {}

void request_pipeline::configure(const fleet_config &NewConfig) {
  Config = NewConfig;
  Scheduler->configure(NewConfig);
  runScheduler();
}

void request_pipeline::onRequest(const request_received &Event) {
  if (Requests.contains(Event.Request))
    return;
  std::optional<refusal> Refusal = refusalOf(Event);
  if (Refusal)
    refuse(Event, *Refusal);
  else
    accept(Event);
  runScheduler();
}

core_duration
request_pipeline::remainingOf(const request_received &Event) const {
  setting_context Scope{Event.Workspace, Event.Pipeline, {}, {}};
  return Event.Remaining.value_or(std::chrono::milliseconds(
      settingValue(*Config, setting_key::DeadlineMs, Scope)));
}

std::optional<request_pipeline::refusal>
request_pipeline::refusalOf(const request_received &Event) const {
  if (ShuttingDown)
    return refusal{error_code::ShuttingDown, RetryAfterNotReady};
  if (!Config)
    return refusal{error_code::NotReady, RetryAfterNotReady};
  if (!Config->Workspaces.contains(Event.Workspace))
    return refusal{error_code::UnknownWorkspace, {}};
  auto Pipeline = Config->Pipelines.find(Event.Pipeline);
  if (Pipeline == Config->Pipelines.end() || Pipeline->second.Stages.empty())
    return refusal{error_code::UnknownPipeline, {}};
  setting_context Scope{Event.Workspace, Event.Pipeline, {}, {}};
  std::int64_t MaxBytes =
      settingValue(*Config, setting_key::MaxBodyBytes, Scope);
  if (Event.Body.size() > static_cast<std::size_t>(MaxBytes))
    return refusal{error_code::BodyTooLarge, {}};
  if (factsOf(Event, Pipeline->second).MayHaveNonRepeatable && !Event.Key)
    return refusal{error_code::MissingIdempotencyKey, {}};
  if (remainingOf(Event) <= core_duration::zero())
    return refusal{error_code::DeadlinePassed, {}};
  return std::nullopt;
}

void request_pipeline::refuse(const request_received &Event,
                              const refusal &Refusal) {
  request_facts Facts = factsOf(Event);
  if (Config) {
    auto Pipeline = Config->Pipelines.find(Event.Pipeline);
    if (Pipeline != Config->Pipelines.end())
      Facts = factsOf(Event, Pipeline->second);
  }
  final_answer Answer;
  Answer.Outcome = outcomeOf(Facts);
  Answer.Code = Refusal.Code;
  Answer.RetryAfter = Refusal.RetryAfter;
  if (Answer.Outcome == outcome_kind::Unknown && !Answer.RetryAfter)
    Answer.RetryAfter = RetryAfterUndecided;
  Context.log(event_number::RequestRejected, event_severity::Info,
              "request rejected",
              {{"workspace", Event.Workspace.Value},
               {"code", std::string(toText(Refusal.Code))}});
  sendAnswer(Event.Request, std::move(Answer));
}

void request_pipeline::accept(const request_received &Event) {
  request_state &State = Requests[Event.Request];
  State.Call = Event;
  State.Pipeline = Config->Pipelines.at(Event.Pipeline);
  State.Deadline = Context.now() + remainingOf(Event);
  State.Input = Event.Body;
  State.Facts = factsOf(Event, State.Pipeline);
  setTimeout(State, State.Deadline);
  assignWork(State);
  std::optional<rejection> Rejected = Scheduler->admit(
      makeWorkItem(State), State.Pipeline, State.Deadline, Context.now());
  if (Rejected)
    failRequest(State, Rejected->Code, Rejected->RetryAfter);
  else
    startStage(State);
}

void request_pipeline::assignWork(request_state &State) {
  LastWork = LastWork.next();
  State.Work = LastWork;
  ByWork.emplace(State.Work, State.Call.Request);
}

work_item request_pipeline::makeWorkItem(const request_state &State) const {
  const stage_definition &Stage = State.stage();
  work_item Item;
  Item.Work = State.Work;
  Item.Pool = Stage.Pool;
  Item.Workspace = State.Call.Workspace;
  Item.Pipeline = State.Call.Pipeline;
  Item.Stage = Stage.Name;
  Item.Arrived = Context.now();
  Item.Deadline = State.Deadline;
  Item.InputBytes = State.Input.size();
  Item.TokenLimit = State.Call.TokenLimit;
  Item.PrefixHash = XXH3_64bits(State.Input.data(),
                                std::min(State.Input.size(), PrefixBytes));
  Item.Repeatable = Stage.Repeatable;
  return Item;
}

void request_pipeline::startStage(request_state &State) {
  const stage_definition &Stage = State.stage();
  if (Stage.Repeatable) {
    submit(State);
    return;
  }
  core_duration Left = State.Deadline - Context.now();
  claim_params Params;
  Params.Request = State.Call.Request;
  Params.Workspace = State.Call.Workspace;
  Params.Key = *State.Call.Key;
  Params.Stage = Stage.Name;
  Params.Fingerprint = fingerprintOf(State.Call);
  Params.CallNumber = State.Call.AttemptNumber;
  Params.DecideBy =
      Context.now() + Left * ClaimShareNumerator / ClaimShareDenominator;
  Params.Deadline = State.Deadline;
  State.Facts.Key = key_status::Unread;
  acquire_result Start = Claims->acquire(Params);
  if (const claim_decision *Decision = std::get_if<claim_decision>(&Start)) {
    applyDecision(State, *Decision);
    return;
  }
  State.Claim = std::get<claim_handle>(Start);
  ByClaim.emplace(*State.Claim, State.Call.Request);
}

void request_pipeline::submit(request_state &State) {
  std::optional<rejection> Rejected =
      Scheduler->submit(makeWorkItem(State), Context.now());
  if (Rejected)
    failRequest(State, Rejected->Code, Rejected->RetryAfter);
}

void request_pipeline::onClaimDecided(claim_handle Claim,
                                      const claim_decision &Decision) {
  auto Found = ByClaim.find(Claim);
  if (Found == ByClaim.end())
    return;
  request_state &State = Requests.at(Found->second);
  if (!std::holds_alternative<claim_granted>(Decision)) {
    ByClaim.erase(Found);
    State.Claim.reset();
  }
  applyDecision(State, Decision);
  runScheduler();
}

void request_pipeline::applyDecision(request_state &State,
                                     const claim_decision &Decision) {
  if (std::holds_alternative<claim_granted>(Decision)) {
    State.Facts.Key = key_status::NeverRan;
    submit(State);
    return;
  }
  if (const claim_already_done *Done =
          std::get_if<claim_already_done>(&Decision)) {
    finishStage(State, Done->Output, true);
    return;
  }
  const claim_denied &Denied = std::get<claim_denied>(Decision);
  State.Facts.Key = Denied.Key;
  failRequest(State, Denied.Code, Denied.RetryAfter);
}

void request_pipeline::finishStage(request_state &State, std::string Output,
                                   bool Replayed) {
  cancelAttempts(State);
  Scheduler->withdraw(State.Work, Context.now());
  ByWork.erase(State.Work);
  if (State.Claim) {
    Claims->recordDone(*State.Claim, Output);
    ByClaim.erase(*State.Claim);
    State.Claim.reset();
  }
  if (State.CallerGone || State.Detached) {
    erase(State);
    return;
  }
  if (!State.stage().Repeatable) {
    State.Facts.NonRepeatableDone = true;
    State.Facts.Key = key_status::Unread;
  }
  if (State.atLastStage()) {
    complete(State, std::move(Output), Replayed);
    return;
  }
  ++State.Stage;
  State.Input = std::move(Output);
  assignWork(State);
  startStage(State);
}

void request_pipeline::complete(request_state &State, std::string Output,
                                bool Replayed) {
  final_answer Answer;
  Answer.Replayed = Replayed;
  if (!State.Call.Streamed) {
    Answer.Body = std::move(Output);
  } else {
    if (Replayed)
      streamRecordedOutput(State, Output);
    Answer.StreamCount = State.Stream.forwardedCount();
    Answer.StreamDigest = State.Stream.digest();
  }
  sendAnswer(State.Call.Request, std::move(Answer));
  erase(State);
}

// Sends a recorded output as a stream of at most one piece.
void request_pipeline::streamRecordedOutput(request_state &State,
                                            const std::string &Output) {
  if (Output.empty())
    return;
  stream_source Source = State.Stream.restart();
  std::vector<std::string> Pieces;
  State.Stream.onPiece(Source, 0, Output, Pieces);
  for (const std::string &Piece : Pieces)
    Context.emit(stream_to_caller{State.Call.Request, 0, Piece});
}

void request_pipeline::onCallerGone(const caller_disconnected &Event) {
  auto Found = Requests.find(Event.Request);
  if (Found == Requests.end())
    return;
  request_state &State = Found->second;
  State.CallerGone = true;
  if (!State.nonRepeatableInFlight())
    failRequest(State, error_code::DeadlinePassed, {});
  runScheduler();
}

void request_pipeline::failRequest(request_state &State, error_code Code,
                                   std::optional<core_duration> RetryAfter) {
  if (State.nonRepeatableInFlight()) {
    detach(State);
    return;
  }
  if (State.Claim) {
    Claims->abandon(*State.Claim);
    ByClaim.erase(*State.Claim);
    State.Claim.reset();
  }
  sendFailure(State, Code, RetryAfter);
  erase(State);
}

// Answers the caller now and keeps the request until its call in flight
// returns, so that a retry can get the recorded outcome.
void request_pipeline::detach(request_state &State) {
  if (State.Detached)
    return;
  State.Facts.Key = key_status::Uncertain;
  sendFailure(State, error_code::OutcomeUnknown, RetryAfterInProgress);
  State.Detached = true;
  for (attempt_id Attempt : State.Attempts)
    Scheduler->onEnded(Attempt, attempt_result::TimedOut, Context.now());
  Scheduler->withdraw(State.Work, Context.now());
  ByWork.erase(State.Work);
  setTimeout(State, State.Deadline + NonRepeatableGrace);
}

void request_pipeline::sendFailure(const request_state &State, error_code Code,
                                   std::optional<core_duration> RetryAfter) {
  if (State.CallerGone || State.Detached)
    return;
  request_facts Facts = State.Facts;
  Facts.AnythingRan = State.AttemptsRun > 0;
  final_answer Answer;
  Answer.Outcome = outcomeOf(Facts);
  Answer.Code = Code;
  Answer.RetryAfter = RetryAfter;
  Context.log(event_number::RequestFailed, event_severity::Info,
              "request failed",
              {{"workspace", State.Call.Workspace.Value},
               {"pipeline", State.Call.Pipeline.Value},
               {"stage", State.stage().Name.Value},
               {"code", std::string(toText(Code))},
               {"outcome", std::string(toText(Answer.Outcome))}});
  sendAnswer(State.Call.Request, std::move(Answer));
}

void request_pipeline::sendAnswer(request_id Request, final_answer Answer) {
  ++Outcomes[Answer.Outcome];
  Context.emit(answer_caller{Request, std::move(Answer)});
}

void request_pipeline::erase(request_state &State) {
  cancelAttempts(State);
  Scheduler->withdraw(State.Work, Context.now());
  ByWork.erase(State.Work);
  request_id Request = State.Call.Request;
  Timeouts.erase({State.TimeoutAt, Request});
  Requests.erase(Request);
}

void request_pipeline::setTimeout(request_state &State, core_time At) {
  Timeouts.erase({State.TimeoutAt, State.Call.Request});
  State.TimeoutAt = At;
  Timeouts.emplace(At, State.Call.Request);
}

void request_pipeline::expireRequests() {
  while (!Timeouts.empty() && Timeouts.begin()->first <= Context.now()) {
    request_state &State = Requests.at(Timeouts.begin()->second);
    if (!State.Detached) {
      failRequest(State, error_code::DeadlinePassed, RetryAfterDeadline);
      continue;
    }
    Claims->recordUnknown(*State.Claim);
    ByClaim.erase(*State.Claim);
    erase(State);
  }
}

void request_pipeline::onWakeup() {
  expireRequests();
  runScheduler();
}

std::optional<core_time> request_pipeline::nextWakeup() const {
  std::optional<core_time> Next = Scheduler->nextWakeup();
  if (!Timeouts.empty() && (!Next || Timeouts.begin()->first < *Next))
    Next = Timeouts.begin()->first;
  return Next;
}

std::map<workspace_id, std::uint32_t> request_pipeline::demand() const {
  std::map<workspace_id, std::uint32_t> Demand;
  for (const std::pair<const request_id, request_state> &Entry : Requests)
    ++Demand[Entry.second.Call.Workspace];
  return Demand;
}

std::vector<status_counter> request_pipeline::counters() const {
  std::vector<status_counter> Counters;
  for (const std::pair<const outcome_kind, std::uint64_t> &Entry : Outcomes)
    Counters.push_back({toText(Entry.first), Entry.second});
  Counters.push_back({"late_answers", Attempts.lateAnswers()});
  Counters.push_back({"stale_pieces", Attempts.stalePieces()});
  Counters.push_back({"retries", Retries});
  Counters.push_back({"hedges", Hedges});
  Counters.push_back({"diverged_streams", Diverged});
  return Counters;
}

} // namespace jasminecroft::detail
