// Calls to backend servers: choice, repeats, and what their answers mean.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// A call that may be repeated is tried elsewhere after this many times the
/// usual time, and not before the least time.
constexpr double TryFactor = 4;
constexpr core_duration LeastPlainTry = milliseconds(120);
constexpr core_duration LeastEngineTry = milliseconds(1'200);
/// Time below which another try makes no sense.
constexpr core_duration LeastTimeLeft = milliseconds(30);
constexpr double HeadGain = 0.1;
/// When to come back to servers that are full: about the time of a few calls.
constexpr core_duration FullRetry = milliseconds(250);
constexpr unsigned FirstFailureStatus = 500;

} // namespace

using namespace detail;

backend_state *serving_impl::chooseServer(const request_state &State) {
  placement_wish Wish;
  Wish.Pool = State.Pool;
  Wish.NearZone = zoneOfInputs(State);
  Wish.Avoid = State.Tried;
  Wish.LiveHosts = Hosts.liveCount();
  auto Pool = State.View->Config->Pools.find(State.Pool);
  if (Pool == State.View->Config->Pools.end() || !Pool->second.Engine)
    return choosePlain(Servers, Wish, Now);
  // The last part belongs to the request alone.
  Wish.Prefix = State.Call.Prefix;
  if (!Wish.Prefix.empty())
    Wish.Prefix.pop_back();
  return chooseEngine(Servers, Wish, *Pool->second.Engine, Now);
}

void serving_impl::sendCall(request_state &State) {
  backend_state *Server = chooseServer(State);
  core_duration Left = State.Deadline - Now;
  if (!Server) {
    giveUp(State, refusal_kind::NoBackend, NoBackendRetry);
    return;
  }
  if (Left < LeastTimeLeft) {
    giveUp(State, refusal_kind::TimedOutNotRun, milliseconds(0));
    return;
  }
  call_id Id(++LastCall);
  State.Current = Id;
  State.Server = Server->Entry;
  State.SentAt = Now;
  State.Tried.insert(Server->Entry.Id);
  ++State.Sends;
  Servers.onCallStarted(Server->Entry.Id);
  Calls[Id] = {call_kind::Forward, State.Call.Number, batch_id(), Server->Entry,
               Now};
  forward_call Forward;
  Forward.Server = Server->Entry;
  Forward.Message = State.Call.Message;
  Forward.CallerId = State.Call.CallerId;
  Forward.Workspace = State.Workspace;
  Forward.Left = Left;
  Forward.Inputs = finalInputs(State);
  Forward.ResumeAfter = State.LastEvent;
  Forward.Streamed = State.Route->Streamed;
  Forward.MayReuseConnection = true;
  bool Repeatable = State.Route->Repeatable || State.Route->Resumable;
  if (Repeatable && State.Sends < State.Route->MaxAttempts)
    addTimer(Now + tryTime(State, *Server), timer_kind::Try, Id.Value);
  Actions.forward(Id, Forward);
}

core_duration serving_impl::tryTime(const request_state &State,
                                    const backend_state &Server) const {
  if (!State.Route->Streamed) {
    core_duration Usual(
        static_cast<std::int64_t>(Server.CallMicros * TryFactor));
    return std::max(LeastPlainTry, Usual);
  }
  core_duration Usual(static_cast<std::int64_t>(
      static_cast<double>(answerTime(State).count()) * TryFactor));
  return std::max(LeastEngineTry, Usual);
}

request_state *serving_impl::callRequest(call_id Call) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end() || Found->second.Kind != call_kind::Forward)
    return nullptr;
  request_state *State = find(Found->second.Request);
  return State && State->Current == Call ? State : nullptr;
}

void serving_impl::endCall(call_id Call) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  if (Found->second.Kind == call_kind::Forward)
    Servers.onCallEnded(Found->second.Server.Id);
  if (request_state *State = callRequest(Call))
    State->Current.reset();
  Calls.erase(Call);
}

// Whether a request whose call has failed may be sent once more; spends from
// the budget if so.
bool serving_impl::mayRepeat(const request_state &State) {
  if (State.Sends >= State.Route->MaxAttempts ||
      State.Deadline - Now < LeastTimeLeft)
    return false;
  bool Granted = Budget.take(State.Pool, Hosts.liveCount(), Now);
  Counters.Repeats += Granted ? 1 : 0;
  return Granted;
}

void serving_impl::observeHead(const request_state &State) {
  double Micros = static_cast<double>((Now - State.SentAt).count());
  double &Known = HeadMicros[State.Pool];
  Known += (Known == 0 ? 1 : HeadGain) * (Micros - Known);
}

// The server says that it has not run the request.
void serving_impl::onNotRun(request_state &State,
                            const backend_reply_head &Head) {
  if (Head.InputGone) {
    --State.Sends;
    if (!restage(State, lastStages(State)))
      giveUp(State, refusal_kind::NoBackend, FullRetry);
    return;
  }
  bool Others = false;
  for (const backend_state *Server : Servers.usable(State.Pool, Now))
    Others = Others || !State.Tried.contains(Server->Entry.Id);
  bool Again = Others && State.Deadline - Now > LeastTimeLeft &&
               State.Sends <= State.Route->MaxAttempts &&
               Budget.take(State.Pool, Hosts.liveCount(), Now);
  log(event_number::CallRefused, event_severity::Info,
      "backend server did not run a request",
      {{"request", State.Call.CallerId.Value},
       {"server", State.Server.Id.Value},
       {"status", std::to_string(Head.Status)},
       {"again", Again ? "yes" : "no"}});
  if (!Again) {
    giveUp(State, refusal_kind::Overloaded, FullRetry);
    return;
  }
  ++Counters.Repeats;
  sendCall(State);
}

// The call broke or has no answer: the request may have run.
void serving_impl::onBroken(request_state &State, bool Timed) {
  State.MayHaveRun = true;
  if (State.HeadRelayed) {
    resume(State);
    return;
  }
  bool Repeatable = State.Route->Repeatable || State.Route->Resumable;
  bool Again = Repeatable && mayRepeat(State);
  log(event_number::CallFailed, event_severity::Warning,
      "call to a backend server failed",
      {{"request", State.Call.CallerId.Value},
       {"server", State.Server.Id.Value},
       {"why", Timed ? "no answer in time" : "connection or answer broken"},
       {"again", Again ? "yes" : "no"}});
  if (Again)
    sendCall(State);
  else
    giveUp(State, refusal_kind::Failed, core_duration{0});
}

// A stream ended too early: another server goes on after the last event that
// the caller has. Its results were released, so that they are made again.
void serving_impl::resume(request_state &State) {
  bool Again = State.Route->Resumable && State.LastEvent && mayRepeat(State);
  log(event_number::StreamBroken, event_severity::Warning,
      "stream ended before its last event",
      {{"request", State.Call.CallerId.Value},
       {"server", State.Server.Id.Value},
       {"last_event", std::to_string(State.LastEvent.value_or(0))},
       {"resumed", Again ? "yes" : "no"}});
  if (!Again) {
    giveUp(State, refusal_kind::Failed, core_duration{0});
    return;
  }
  if (State.Stages.empty()) {
    sendCall(State);
    return;
  }
  if (!restage(State, lastStages(State)))
    giveUp(State, refusal_kind::Failed, core_duration{0});
}

void serving_impl::onCompleteReply(call_id Call, const backend_reply_head &Head,
                                   std::string Body, core_time) {
  request_state *State = callRequest(Call);
  backend_id Server = State ? State->Server.Id : backend_id();
  if (Head.Load)
    Servers.onLoad(Server, *Head.Load, Now);
  endCall(Call);
  if (!State)
    return;
  if (Head.WrongServer) {
    Servers.markLeaving(Server);
    onNotRun(*State, Head);
    return;
  }
  if (Head.NotRun) {
    onNotRun(*State, Head);
    return;
  }
  if (!Head.Signed) {
    Servers.onCallFailed(Server, Now);
    onBroken(*State, false);
    return;
  }
  State->MayHaveRun = true;
  bool Good = Head.Status < FirstFailureStatus;
  if (Good)
    Servers.onCallSucceeded(Server,
                            static_cast<double>((Now - State->SentAt).count()));
  if (!Good && State->Route->Repeatable && !State->HeadRelayed &&
      mayRepeat(*State)) {
    log(event_number::CallFailed, event_severity::Info,
        "backend server answered with an error",
        {{"request", State->Call.CallerId.Value},
         {"server", Server.Value},
         {"status", std::to_string(Head.Status)},
         {"again", "yes"}});
    sendCall(*State);
    return;
  }
  if (State->HeadRelayed) {
    giveUp(*State, refusal_kind::Failed, core_duration{0});
    return;
  }
  ++Counters.Complete;
  State->FirstByteAt = Now;
  logEnd(*State, Good ? "complete" : "server_error", Head.Status);
  request_id Request = State->Call.Number;
  Actions.relayReply(Request, Head, std::move(Body));
  finish(Request);
}

void serving_impl::onStreamHead(call_id Call, const backend_reply_head &Head,
                                core_time) {
  request_state *State = callRequest(Call);
  if (!State)
    return;
  if (Head.Load)
    Servers.onLoad(State->Server.Id, *Head.Load, Now);
  State->MayHaveRun = true;
  if (!Head.Signed) {
    endCall(Call);
    Actions.cancelCall(Call);
    Servers.onCallFailed(State->Server.Id, Now);
    onBroken(*State, false);
    return;
  }
  observeHead(*State);
  releaseAll(*State);
  Servers.onCallSucceeded(State->Server.Id, 0);
  if (State->HeadRelayed)
    return;
  State->HeadRelayed = true;
  State->FirstByteAt = Now;
  Actions.relayStreamHead(State->Call.Number, Head);
}

void serving_impl::onStreamEvents(call_id Call, std::string Text,
                                  std::uint64_t First, std::uint64_t Last,
                                  core_time) {
  request_state *State = callRequest(Call);
  if (!State)
    return;
  if (State->LastEvent && First != *State->LastEvent + 1) {
    log(event_number::StreamBroken, event_severity::Warning,
        "stream goes on at the wrong event",
        {{"request", State->Call.CallerId.Value},
         {"server", State->Server.Id.Value},
         {"expected", std::to_string(*State->LastEvent + 1)},
         {"got", std::to_string(First)}});
    endCall(Call);
    Actions.cancelCall(Call);
    giveUp(*State, refusal_kind::Failed, core_duration{0});
    return;
  }
  State->LastEvent = Last;
  Actions.relayStreamEvents(State->Call.Number, std::move(Text));
}

void serving_impl::onStreamEnd(call_id Call, core_time) {
  request_state *State = callRequest(Call);
  if (!State)
    return;
  endCall(Call);
  ++Counters.Complete;
  logEnd(*State, "complete", 200);
  request_id Request = State->Call.Number;
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
    batch_failure Why =
        Failure == call_failure::NotConnected ? batch_failure::NotConnected
        : Failure == call_failure::TimedOut   ? batch_failure::TimedOut
                                              : batch_failure::Broken;
    Owner.onBatchFailed(Batch, Why, Now);
    return;
  }
  request_state *State = callRequest(Call);
  backend_id Server = Found->second.Server.Id;
  endCall(Call);
  Servers.onCallFailed(Server, Now);
  if (!State)
    return;
  if (Failure == call_failure::NotConnected && !State->HeadRelayed) {
    --State->Sends;
    bool Others = false;
    for (const backend_state *Other : Servers.usable(State->Pool, Now))
      Others = Others || !State->Tried.contains(Other->Entry.Id);
    if (Others)
      sendCall(*State);
    else
      giveUp(*State, refusal_kind::NoBackend, NoBackendRetry);
    return;
  }
  onBroken(*State, Failure == call_failure::TimedOut);
}

// Nothing was heard of a call that may be repeated.
void serving_impl::onTryTimeout(call_id Call) {
  request_state *State = callRequest(Call);
  if (!State || State->HeadRelayed || !mayRepeat(*State))
    return;
  log(event_number::CallFailed, event_severity::Warning,
      "no answer yet; another backend server is tried",
      {{"request", State->Call.CallerId.Value},
       {"server", State->Server.Id.Value}});
  Servers.onCallFailed(State->Server.Id, Now);
  State->MayHaveRun = true;
  endCall(Call);
  Actions.cancelCall(Call);
  sendCall(*State);
}

void serving_impl::runBatch(batch_id Batch, const backend_entry &Server,
                            std::vector<batch_item> Items,
                            core_duration Timeout) {
  call_id Id(++LastCall);
  Calls[Id] = {call_kind::Pieces, request_id(), Batch, Server, Now};
  Actions.runPieces(Id, Server, std::move(Items), Timeout);
}

void serving_impl::onBatchEnded(const batch_report &Report) {
  auto InMs = [](core_duration Time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(Time).count());
  };
  bool Good = !Report.Failure && !Report.Overdue;
  log(Report.Overdue ? event_number::BatchOverdue : event_number::BatchEnded,
      Good ? event_severity::Info : event_severity::Warning,
      Report.Overdue ? "batch is overdue; its pieces are made elsewhere too"
      : Good         ? "batch answered"
                     : "batch failed",
      {{"server", Report.Server.Value},
       {"pool", Report.Pool.Value},
       {"pieces", std::to_string(Report.Pieces)},
       {"expected_ms", InMs(Report.Expected)},
       {"ms", InMs(Report.Took)},
       {"room_percent", std::to_string(Report.RoomPercent)},
       {"waiting", std::to_string(Report.Waiting)},
       {"failure",
        Report.Failure ? std::string(toText(*Report.Failure)) : ""}});
}

void serving_impl::freeResults(const backend_entry &Server,
                               std::vector<result_handle> Results) {
  Actions.freeResults(Server, std::move(Results));
}

void serving_impl::readServer(const backend_entry &Server) {
  Actions.readServer(Server);
}

void serving_impl::onPiecesAnswered(
    call_id Call, const std::vector<batch_item_result> &Results,
    const std::optional<backend_load> &Load, core_time) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end() || Found->second.Kind != call_kind::Pieces)
    return;
  batch_id Batch = Found->second.Batch;
  if (Load)
    Servers.onLoad(Found->second.Server.Id, *Load, Now);
  Calls.erase(Found);
  Owner.onBatchAnswered(Batch, Results, Now);
}

void serving_impl::onPiecesRefused(call_id Call, bool WrongServer, core_time) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end() || Found->second.Kind != call_kind::Pieces)
    return;
  batch_id Batch = Found->second.Batch;
  Calls.erase(Found);
  Owner.onBatchFailed(
      Batch, WrongServer ? batch_failure::Gone : batch_failure::Refused, Now);
}

} // namespace jasminecroft
