// Calls to backend servers: sending, retries, and handling of replies.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using detail::call_progress;
using std::chrono::milliseconds;

/// Minimum time to the deadline for which a call is sent.
constexpr core_duration MinTimeLeft = milliseconds(30);
/// Retry-After if the servers are overloaded: about the time of a few calls.
constexpr core_duration OverloadRetryAfter = milliseconds(250);
constexpr unsigned FirstFailureStatus = 500;
/// With the statement that nothing ran: a stage result that the request needs
/// no longer exists.
constexpr unsigned StatusInputGone = 409;
/// Bound of the prompt parts in one log line.
constexpr std::size_t MaxLoggedParts = 8;

bool neverSent(call_failure Failure) {
  return Failure == call_failure::NotConnected ||
         Failure == call_failure::NotWritable;
}

std::string_view toText(call_progress Progress) {
  switch (Progress) {
  case call_progress::Sent:
    return "sent";
  case call_progress::Head:
    return "head";
  case call_progress::Events:
    return "events";
  }
  return "sent";
}

} // namespace

using namespace detail;

// Sends the request to a server if the results that it needs are there;
// otherwise that happens once they are.
void serving_impl::sendCall(active_request &State) {
  std::optional<piece_inputs> Inputs = finalInputs(State);
  if (!Inputs) {
    awaitInputs(State);
    return;
  }
  if (refuseQuarantined(State) || awaitPromptRoom(State))
    return;
  backend_state *Server = chooseServer(State);
  core_duration TimeLeft = State.Deadline - Now;
  if (!Server) {
    if (!waitForPermit(State))
      failUnserved(State, refusal_kind::NoBackend, NoBackendRetryAfter);
    return;
  }
  if (TimeLeft < MinTimeLeft) {
    failRequest(State, refusal_kind::TimedOutNotRun, milliseconds(0));
    return;
  }
  if (cutByDrain(State) && State.Ledger.provesNotRun() &&
      !endsBeforeDrain(State, expectedReplyTime(State, *Server))) {
    failRequest(State, refusal_kind::ShuttingDown, core_duration{0});
    return;
  }
  std::optional<call_permit> Permit =
      Admission.admit(Server->Entry.Id, subjectOf(State), Now);
  if (!Permit) {
    failUnserved(State, refusal_kind::NoBackend, NoBackendRetryAfter);
    return;
  }
  onLimitSpent(State, Server->Entry.Id);
  call_id Id(++LastCall);
  State.CurrentCall = Id;
  State.Server = Server->Entry;
  State.SentAt = Now;
  State.Progress = call_progress::Sent;
  bool FirstSend = State.TriedServers.insert(Server->Entry.Id).second;
  ++State.Attempts;
  State.Ledger.begin(Server->Entry.Id);
  Servers.onCallStarted(Server->Entry.Id);
  std::size_t Bytes = State.Request.Message->Body.size();
  BytesInProgress.begin(Server->Entry.Id, Bytes);
  Calls[Id] = {call_kind::Forward,
               State.Request.Number,
               batch_id(),
               Server->Entry,
               Now,
               std::nullopt,
               Bytes};
  forward_call Forward;
  Forward.Server = Server->Entry;
  Forward.Message = State.Request.Message;
  Forward.CallerId = State.Request.CallerId;
  Forward.Workspace = State.Workspace;
  Forward.TimeLeft = TimeLeft;
  Forward.Inputs = std::move(Inputs->Results);
  Forward.ResumeAfter = State.LastEvent;
  Forward.Streamed = State.Route->Streamed;
  Forward.Urgency = beginStream(State, Id);
  onPromptSent(State, *Server);
  Forward.MayReuseConnection = FirstSend;
  Forward.Request = State.Request.Number;
  bool Repeatable = State.Route->Repeatable || State.Route->Resumable;
  if (Repeatable && State.Attempts < State.Route->MaxAttempts)
    addTimer(Now + attemptTimeout(State, *Server), timer_kind::AttemptTimeout,
             Id.Value);
  Actions.forward(Id, std::move(*Permit), Forward);
}

active_request *serving_impl::callRequest(call_id Call) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end() || Found->second.Kind != call_kind::Forward)
    return nullptr;
  active_request *State = find(Found->second.Request);
  return State && State->CurrentCall == Call ? State : nullptr;
}

void serving_impl::endCall(call_id Call) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  if (Found->second.Kind == call_kind::Forward) {
    Servers.onCallEnded(Found->second.Server.Id);
    BytesInProgress.end(Found->second.Server.Id, Found->second.RequestBytes);
  }
  if (Found->second.WaitsAs)
    Aging.onGivenUp(Found->second.Server.Pool, *Found->second.WaitsAs);
  if (active_request *State = callRequest(Call)) {
    endPrompt(*State);
    State->CurrentCall.reset();
  }
  Calls.erase(Call);
}

// Returns whether a request whose call failed may be retried; if so, charges
// the retry budget.
bool serving_impl::reserveRetry(const active_request &State) {
  if (State.Attempts >= State.Route->MaxAttempts ||
      State.Deadline - Now < MinTimeLeft)
    return false;
  bool Granted = Budget.tryAcquire(State.Pool, Hosts.liveCount(), Now);
  Counters.Repeats += Granted ? 1 : 0;
  return Granted;
}

// Handles a reply that claims without proof that the server did not run the
// request: it may have run.
void serving_impl::handleUnproven(active_request &State,
                                  const backend_reply_head &Head) {
  State.Ledger.end(call_fate::Refused, Head.Evidence);
  bool Repeatable = State.Route->Repeatable || State.Route->Resumable;
  bool WillRetry = Repeatable && reserveRetry(State);
  log(event_number::CallFailed, event_severity::Warning,
      "refusal does not prove that the request has not run",
      {{"request", State.Request.CallerId.Value},
       {"server", State.Server.Id.Value},
       {"status", std::to_string(Head.Status)},
       {"evidence", describe(Head.Evidence)},
       {"again", WillRetry ? "yes" : "no"}});
  if (WillRetry)
    sendCall(State);
  else
    failRequest(State, refusal_kind::Failed, core_duration{0});
}

// Handles a reply that proves that the server did not run the request.
void serving_impl::handleNotRun(active_request &State,
                                const backend_reply_head &Head) {
  State.Ledger.end(call_fate::Refused, Head.Evidence);
  if (Head.Status == StatusInputGone) {
    --State.Attempts;
    if (!recomputeResults(State, finalStages(State)))
      failRequest(State, refusal_kind::NoBackend, OverloadRetryAfter);
    return;
  }
  bool WillRetry = hasUntriedServer(State) &&
                   State.Deadline - Now > MinTimeLeft &&
                   State.Attempts <= State.Route->MaxAttempts &&
                   Budget.tryAcquire(State.Pool, Hosts.liveCount(), Now);
  log(event_number::CallRefused, event_severity::Info,
      "backend server did not run a request",
      {{"request", State.Request.CallerId.Value},
       {"server", State.Server.Id.Value},
       {"status", std::to_string(Head.Status)},
       {"again", WillRetry ? "yes" : "no"}});
  if (!WillRetry) {
    failUnserved(State, refusal_kind::Overloaded, OverloadRetryAfter);
    return;
  }
  ++Counters.Repeats;
  sendCall(State);
}

// Adds what had arrived of the call's reply, and the shared parts of the
// prompt.
void serving_impl::addPartFields(const active_request &State,
                                 std::vector<event_field> &Fields) const {
  Fields.push_back({"progress", std::string(toText(State.Progress))});
  const std::vector<prompt_block> &Prefix = State.Request.Prefix;
  std::string Parts;
  for (std::size_t I = 0; I + 1 < std::min(Prefix.size(), MaxLoggedParts + 1);
       ++I)
    Parts += (I == 0 ? "" : ",") + partName(prompt_part_id(Prefix[I].Id));
  if (!Parts.empty())
    Fields.push_back({"parts", std::move(Parts)});
}

// Handles a call that broke or timed out: the request may have run.
void serving_impl::handleBrokenCall(active_request &State, bool Timed) {
  State.Ledger.end(Timed ? call_fate::TimedOut : call_fate::Broken);
  if (State.HeadRelayed) {
    resumeStream(State);
    return;
  }
  bool Repeatable = State.Route->Repeatable || State.Route->Resumable;
  bool WillRetry = Repeatable && reserveRetry(State);
  std::vector<event_field> Fields = {
      {"request", State.Request.CallerId.Value},
      {"server", State.Server.Id.Value},
      {"why", Timed ? "no answer in time" : "connection or answer broken"},
      {"again", WillRetry ? "yes" : "no"}};
  addPartFields(State, Fields);
  log(event_number::CallFailed, event_severity::Warning,
      "call to a backend server failed", std::move(Fields));
  if (WillRetry)
    sendCall(State);
  else
    failRequest(State, refusal_kind::Failed, core_duration{0});
}

// Resumes a stream that ended early on another server, after the last event
// that the caller has. Stage results are recomputed because they are released
// when the stream begins.
void serving_impl::resumeStream(active_request &State) {
  bool WillRetry =
      State.Route->Resumable && State.LastEvent && reserveRetry(State);
  std::vector<event_field> Fields = {
      {"request", State.Request.CallerId.Value},
      {"server", State.Server.Id.Value},
      {"last_event", std::to_string(State.LastEvent.value_or(0))},
      {"resumed", WillRetry ? "yes" : "no"}};
  addPartFields(State, Fields);
  log(event_number::StreamBroken, event_severity::Warning,
      "stream ended before its last event", std::move(Fields));
  if (!WillRetry) {
    failRequest(State, refusal_kind::Failed, core_duration{0});
    return;
  }
  if (State.Stages.empty()) {
    sendCall(State);
    return;
  }
  if (!recomputeResults(State, finalStages(State)))
    failRequest(State, refusal_kind::Failed, core_duration{0});
}

void serving_impl::onCompleteReply(call_id Call, const backend_reply_head &Head,
                                   std::string Body, core_time) {
  active_request *State = callRequest(Call);
  backend_id Server = State ? State->Server.Id : backend_id();
  if (Head.Load)
    Servers.onLoad(Server, *Head.Load, Now);
  endCall(Call);
  if (!State)
    return;
  switch (Head.verdict()) {
  case answer_verdict::WrongServer:
    Servers.markLeaving(Server);
    handleNotRun(*State, Head);
    return;
  case answer_verdict::NotRun:
    handleNotRun(*State, Head);
    return;
  case answer_verdict::Unproven:
    handleUnproven(*State, Head);
    return;
  case answer_verdict::Unusable:
    Servers.onCallFailed(Server, Now);
    handleBrokenCall(*State, false);
    return;
  case answer_verdict::Answered:
    break;
  }
  State->Ledger.end(call_fate::Answered, Head.Evidence);
  bool Promises = promisesNotRun(Head.Status);
  bool Succeeded = Head.Status < FirstFailureStatus && !Promises;
  if (Succeeded)
    Servers.onCallSucceeded(Server,
                            static_cast<double>((Now - State->SentAt).count()));
  if (!Succeeded && State->Route->Repeatable && !State->HeadRelayed &&
      reserveRetry(*State)) {
    log(event_number::CallFailed, event_severity::Info,
        "backend server replied with an error",
        {{"request", State->Request.CallerId.Value},
         {"server", Server.Value},
         {"status", std::to_string(Head.Status)},
         {"again", "yes"}});
    sendCall(*State);
    return;
  }
  // The server has not stated that it did not run the request, but its status
  // would tell the caller so.
  if (State->HeadRelayed || Promises) {
    failRequest(*State, refusal_kind::Failed, core_duration{0});
    return;
  }
  if (Succeeded)
    onPartsServed(*State);
  ++Counters.Complete;
  State->FirstByteAt = Now;
  logOutcome(*State, Succeeded ? "complete" : "server_error", Head.Status);
  request_id Request = State->Request.Number;
  Actions.relayReply(Request, Head, std::move(Body));
  finish(Request);
}

void serving_impl::onStreamHead(call_id Call, const backend_reply_head &Head,
                                core_time) {
  active_request *State = callRequest(Call);
  if (!State)
    return;
  if (Head.Load)
    Servers.onLoad(State->Server.Id, *Head.Load, Now);
  if (Head.verdict() != answer_verdict::Answered) {
    endCall(Call);
    Actions.cancelCall(Call);
    Servers.onCallFailed(State->Server.Id, Now);
    handleBrokenCall(*State, false);
    return;
  }
  State->Progress = call_progress::Head;
  observeFirstByte(*State);
  releaseAll(*State);
  Servers.onCallSucceeded(State->Server.Id, 0);
  if (State->HeadRelayed)
    return;
  State->HeadRelayed = true;
  State->FirstByteAt = Now;
  Actions.relayStreamHead(State->Request.Number, Head);
}

void serving_impl::onStreamEvents(call_id Call, std::string Text,
                                  std::uint64_t First, std::uint64_t Last,
                                  core_time) {
  active_request *State = callRequest(Call);
  if (!State)
    return;
  if (State->LastEvent && First != *State->LastEvent + 1) {
    log(event_number::StreamBroken, event_severity::Warning,
        "stream continues at an unexpected event",
        {{"request", State->Request.CallerId.Value},
         {"server", State->Server.Id.Value},
         {"expected", std::to_string(*State->LastEvent + 1)},
         {"got", std::to_string(First)}});
    State->Ledger.end(call_fate::Broken);
    endCall(Call);
    Actions.cancelCall(Call);
    failRequest(*State, refusal_kind::Failed, core_duration{0});
    return;
  }
  State->LastEvent = Last;
  if (State->Progress != call_progress::Events) {
    onPartsServed(*State);
    onFirstEvent(Call);
    onPromptRead(*State);
  } else {
    observePause(*State);
  }
  if (State->Progress != call_progress::Events) {
    State->CallEvent = Last;
    State->CallEventAt = Now;
  }
  State->LastEventAt = Now;
  State->Progress = call_progress::Events;
  Actions.relayStreamEvents(State->Request.Number, std::move(Text));
}

void serving_impl::onStreamEnd(call_id Call, core_time) {
  active_request *State = callRequest(Call);
  if (!State)
    return;
  // A reply without a length ends in the same way if its server crashed.
  if (!State->LastEvent) {
    onCallFailed(Call, call_failure::Broken, Now);
    return;
  }
  State->Ledger.end(call_fate::Answered);
  endCall(Call);
  observeStream(*State);
  observeEngine(*State);
  ++Counters.Complete;
  logOutcome(*State, "complete", 200);
  request_id Request = State->Request.Number;
  Actions.relayStreamEnd(Request);
  finish(Request);
}

void serving_impl::onCallFailed(call_id Call, call_failure Failure, core_time) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  if (Found->second.Kind == call_kind::Pieces) {
    batch_id Batch = Found->second.Batch;
    Calls.erase(Found);
    batch_failure Reason = neverSent(Failure) ? batch_failure::NotConnected
                           : Failure == call_failure::TimedOut
                               ? batch_failure::TimedOut
                               : batch_failure::Broken;
    Owner.onBatchFailed(Batch, Reason, Now);
    return;
  }
  active_request *State = callRequest(Call);
  backend_id Server = Found->second.Server.Id;
  endCall(Call);
  if (Failure != call_failure::NotWritable)
    Servers.onCallFailed(Server, Now);
  if (!State)
    return;
  // Another server would get the same text.
  if (Failure == call_failure::NotWritable) {
    State->Ledger.end(call_fate::NotConnected);
    failRequest(*State, refusal_kind::NoBackend, NoBackendRetryAfter);
    return;
  }
  if (Failure == call_failure::Broken)
    reportCrash(*State);
  if (Failure == call_failure::NotConnected && !State->HeadRelayed) {
    --State->Attempts;
    State->Ledger.end(call_fate::NotConnected);
    if (hasUntriedServer(*State))
      sendCall(*State);
    else
      failUnserved(*State, refusal_kind::NoBackend, NoBackendRetryAfter);
    return;
  }
  handleBrokenCall(*State, Failure == call_failure::TimedOut);
}

// Retries a retryable call that has not begun to respond in time.
void serving_impl::onAttemptTimeout(call_id Call) {
  active_request *State = callRequest(Call);
  if (!State || State->HeadRelayed || openServers(*State).empty() ||
      !reserveRetry(*State))
    return;
  log(event_number::CallFailed, event_severity::Warning,
      "no answer yet; retrying on another backend server",
      {{"request", State->Request.CallerId.Value},
       {"server", State->Server.Id.Value}});
  Servers.onCallFailed(State->Server.Id, Now);
  State->Ledger.end(call_fate::GivenUp);
  endCall(Call);
  Actions.cancelCall(Call);
  sendCall(*State);
}

} // namespace jasminecroft
