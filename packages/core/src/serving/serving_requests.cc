// Life cycle of requests: routing, workspace keys, deadlines, and replies of
// this host.
#include "serving_state.h"

#include "jasminecroft/core/field_text.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Retry-After of a host that has no configuration yet: a few times the time
/// that reading the configuration takes.
constexpr core_duration NotReadyRetryAfter = milliseconds(400);
constexpr core_duration MinRetryAfter = milliseconds(100);
constexpr core_duration MaxRetryAfter = std::chrono::seconds(3);
constexpr core_duration DirectoryCleanup = std::chrono::seconds(10);

std::string inMs(core_duration Time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Time).count());
}

} // namespace

bool guaranteesNotRun(refusal_kind Kind) {
  switch (Kind) {
  case refusal_kind::NoRoute:
  case refusal_kind::UnknownKey:
  case refusal_kind::NotReady:
  case refusal_kind::UnusableWorkspace:
  case refusal_kind::Overloaded:
  case refusal_kind::NoBackend:
  case refusal_kind::ShuttingDown:
  case refusal_kind::Quarantined:
  case refusal_kind::Limited:
  case refusal_kind::Paused:
  case refusal_kind::TimedOutNotRun:
    return true;
  case refusal_kind::TimedOut:
  case refusal_kind::Failed:
    return false;
  }
  return false;
}

unsigned statusOf(refusal_kind Kind) {
  switch (Kind) {
  case refusal_kind::NoRoute:
    return 404;
  case refusal_kind::UnknownKey:
    return 401;
  case refusal_kind::NotReady:
  case refusal_kind::UnusableWorkspace:
  case refusal_kind::Overloaded:
  case refusal_kind::NoBackend:
  case refusal_kind::ShuttingDown:
  case refusal_kind::Quarantined:
  case refusal_kind::Limited:
  case refusal_kind::Paused:
  case refusal_kind::TimedOutNotRun:
    return 503;
  case refusal_kind::TimedOut:
    return 504;
  case refusal_kind::Failed:
    return 502;
  }
  return 502;
}

std::string_view toText(refusal_kind Kind) {
  switch (Kind) {
  case refusal_kind::NoRoute:
    return "no_route";
  case refusal_kind::UnknownKey:
    return "unknown_key";
  case refusal_kind::NotReady:
    return "not_ready";
  case refusal_kind::UnusableWorkspace:
    return "unusable_workspace";
  case refusal_kind::Overloaded:
    return "overloaded";
  case refusal_kind::NoBackend:
    return "no_backend";
  case refusal_kind::ShuttingDown:
    return "shutting_down";
  case refusal_kind::Quarantined:
    return "quarantined";
  case refusal_kind::Limited:
    return "limited";
  case refusal_kind::Paused:
    return "paused";
  case refusal_kind::TimedOutNotRun:
    return "timed_out_not_run";
  case refusal_kind::TimedOut:
    return "timed_out";
  case refusal_kind::Failed:
    return "failed";
  }
  return "failed";
}

using namespace detail;

serving_impl::serving_impl(const serving_settings &Settings,
                           serving_actions &Actions)
    : Settings(Settings), Actions(Actions),
      Hosts({Settings.Self.Host, Settings.Zone, Settings.PeerAddress,
             Settings.Capacity}),
      Rate(Hosts), Admission(Servers,
                             [this](const backend_id &Server) {
                               return Servers.limits().holdsPart(Server, Now);
                             }),
      ColdServers(Hosts), Gossip(Hosts), Following(Hosts),
      Budget(Settings.Retries), Owner(*this, Servers, Admission, Budget) {
  Servers.limits().shareBy(Rate);
  Admission.addSource(Emptied);
  Admission.addSource(ColdServers);
  Admission.addSource(BytesInProgress);
}

active_request *serving_impl::find(request_id Request) {
  auto Found = Requests.find(Request);
  return Found == Requests.end() ? nullptr : &Found->second;
}

void serving_impl::log(event_number Number, event_severity Severity,
                       std::string_view Message,
                       std::vector<event_field> Fields) {
  Actions.log({Number, Severity, Message, std::move(Fields)});
}

bool serving_impl::ready() const {
  return configConfirmed() && !Leaving && !Servers.empty();
}

void serving_impl::onConfig(std::shared_ptr<const route_config> Config,
                            std::string Text, core_time) {
  log(event_number::OperatorConfigApplied, event_severity::Info,
      "operator configuration applied",
      {{"version", std::to_string(Config->Version.Value)},
       {"before", View ? std::to_string(View->Config->Version.Value) : "none"},
       {"routes", std::to_string(Config->Routes.size())},
       {"keys", std::to_string(Config->Keys.size())}});
  logUnusableWorkspaces(*Config);
  Owner.configure(Config->Pools);
  ColdServers.configure(Config->Pools);
  BytesInProgress.setBound(Config->Bounds.MaxBodyBytes);
  bool IsFirst = !View;
  View = std::make_shared<const config_view>(std::move(Config));
  ConfigText = std::move(Text);
  Gossip.onConfig(View->Config->Version, Now);
  if (IsFirst)
    onFirstConfig();
  confirmConfig();
  pushNews();
}

// Returns the route if the caller may use it; otherwise refuses the request
// and returns null.
const serving_route *serving_impl::admit(const serving_request &Request,
                                         workspace_id &Workspace,
                                         std::uint32_t &Priority) {
  if (!configConfirmed()) {
    refuseBeforeAdmission(Request, refusal_kind::NotReady, NotReadyRetryAfter);
    return nullptr;
  }
  const serving_route *Route =
      View->Routes.find(Request.Message->Hostname, Request.Message->Target);
  if (!Route) {
    refuseBeforeAdmission(Request, refusal_kind::NoRoute, core_duration{0});
    return nullptr;
  }
  Priority = Route->Priority;
  if (Route->Public || !View->Config->KeysRequired)
    return Route;
  auto Key = View->Config->Keys.find(Request.Key);
  if (Key == View->Config->Keys.end()) {
    refuseBeforeAdmission(Request, refusal_kind::UnknownKey, core_duration{0});
    return nullptr;
  }
  if (!isFieldText(Key->second.Workspace.Value)) {
    refuseBeforeAdmission(Request, refusal_kind::UnusableWorkspace,
                          MaxRetryAfter);
    return nullptr;
  }
  Workspace = Key->second.Workspace;
  Priority = Key->second.Priority.value_or(Priority);
  return Route;
}

void serving_impl::onRequest(serving_request Request, core_time) {
  ++Counters.Requests;
  workspace_id Workspace;
  std::uint32_t Priority = 0;
  const serving_route *Route = admit(Request, Workspace, Priority);
  if (!Route)
    return;
  request_id Number = Request.Number;
  active_request &State = Requests[Number];
  State.View = View;
  State.Route = Route;
  State.Pool = selectPool(*Route, Request.CallerId);
  State.Workspace = std::move(Workspace);
  State.Priority = Priority;
  State.Arrived = Now;
  State.Deadline =
      Now + std::min(Route->Timeout, Request.MaxWait.value_or(Route->Timeout));
  State.GoalAt = Now + Route->Goal;
  State.LastEvent = Request.LastEvent;
  State.Stages.resize(Route->Stages.size());
  State.Request = std::move(Request);
  State.Request.Pieces.resize(Route->Stages.size());
  Counters.InProgress = Requests.size();
  Budget.onRequest(State.Pool, Now);
  addTimer(State.Deadline, timer_kind::Deadline, Number.Value);
  if (refuseQuarantined(State))
    return;
  limitToDrain(State);
  if (arrivedTooLate(State)) {
    failRequest(State, refusal_kind::ShuttingDown, MinRetryAfter);
    return;
  }
  State.PlannedZone = Settings.Zone;
  if (!State.Stages.empty())
    if (const backend_state *Planned = chooseServer(State))
      State.PlannedZone = Planned->Entry.Zone;
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    chooseQueueZone(State, Stage);
  if (refuseEmptied(State) || shedIfLate(State) || refusePaused(State))
    return;
  if (!endsBeforeDrain(State, State.Forecast)) {
    failRequest(State, refusal_kind::ShuttingDown, MinRetryAfter);
    return;
  }
  if (!waitForPermit(State))
    continueRequest(State);
}

// Starts the stages of an admitted request, or goes on where it waited.
void serving_impl::continueRequest(active_request &State) {
  sendDemandForecast(State);
  startReadyStages(State);
}

void serving_impl::onCallerDisconnected(request_id Request, core_time) {
  active_request *State = find(Request);
  if (!State)
    return;
  ++Counters.CallerLeft;
  logOutcome(*State, "caller_left", 0);
  finish(Request);
}

void serving_impl::refuseBeforeAdmission(const serving_request &Request,
                                         refusal_kind Kind,
                                         core_duration RetryAfter) {
  ++Counters.Refused;
  log(event_number::RequestRefused, event_severity::Info, "request refused",
      {{"request", Request.CallerId.Value},
       {"reason", std::string(toText(Kind))},
       {"config", std::to_string(View ? View->Config->Version.Value : 0)},
       {"calls", "none"}});
  Actions.refuse(Request.Number, {Kind, RetryAfter});
}

// Ends a request with a refusal, or aborts the response if its head has been
// relayed. A kind that guarantees 'not run' is replaced unless each call of the
// request is proved not to have run: all such answers lead through here.
void serving_impl::failRequest(active_request &State, refusal_kind Kind,
                               core_duration RetryAfter) {
  if (!State.Ledger.provesNotRun() && guaranteesNotRun(Kind))
    Kind = Kind == refusal_kind::TimedOutNotRun ? refusal_kind::TimedOut
                                                : refusal_kind::Failed;
  request_id Request = State.Request.Number;
  if (State.HeadRelayed) {
    ++Counters.BrokenOff;
    logOutcome(State, "broken_off", 0);
    Actions.abortResponse(Request);
    finish(Request);
    return;
  }
  core_duration Retry = core_duration{0};
  if (guaranteesNotRun(Kind)) {
    ++Counters.Refused;
    logPromise(State, toText(Kind));
    // Of other causes, the end is a guess.
    bool EndIsKnown =
        Kind == refusal_kind::Quarantined || Kind == refusal_kind::Paused ||
        (Kind == refusal_kind::Overloaded && State.View->Competing &&
         State.Way.Decision == way_decision::Refuse);
    Retry = EndIsKnown ? std::max(RetryAfter, MinRetryAfter)
                       : std::clamp(RetryAfter, MinRetryAfter, MaxRetryAfter);
  } else {
    ++Counters.Failed;
  }
  logOutcome(State, toText(Kind), statusOf(Kind));
  Actions.refuse(Request, {Kind, Retry});
  finish(Request);
}

void serving_impl::logOutcome(const active_request &State,
                              std::string_view Outcome, unsigned Status) {
  std::optional<core_duration> FirstByte;
  if (State.FirstByteAt)
    FirstByte = *State.FirstByteAt - State.Arrived;
  Actions.onRequestFinished({State.Route->Name, Outcome, FirstByte,
                             Now - State.Arrived, State.Priority,
                             State.Route->Goal});
  bool Succeeded = Outcome == "complete";
  std::vector<event_field> Fields = {
      {"request", State.Request.CallerId.Value},
      {"outcome", std::string(Outcome)},
      {"status", std::to_string(Status)},
      {"route", State.Route->Name.Value},
      {"workspace", State.Workspace.Value},
      {"config", std::to_string(State.View->Config->Version.Value)},
      {"ms", inMs(Now - State.Arrived)},
      {"goal_ms", inMs(State.Route->Goal)},
      {"deadline_ms", inMs(State.Deadline - State.Arrived)},
      {"server", State.Server.Id.Value},
      {"sends", std::to_string(State.Attempts)},
      {"calls", State.Ledger.describe()}};
  if (Drain) {
    Fields.push_back({"after_stop_ms", inMs(State.Arrived - DrainBegan)});
    Fields.push_back({"stream_ms", inMs(streamTime(State))});
    Fields.push_back({"longest_ms", inMs(longestStreamTime(State))});
  }
  if (State.QuarantinedPart)
    Fields.push_back({"part", partName(*State.QuarantinedPart)});
  if (FirstByte)
    Fields.push_back({"first_byte_ms", inMs(*FirstByte)});
  if (!State.Stages.empty()) {
    Fields.push_back(
        {"stages_ms", State.StagesDoneAt > State.Arrived
                          ? inMs(State.StagesDoneAt - State.Arrived)
                          : "open"});
    std::string Times;
    for (const stage_state &Stage : State.Stages)
      Times += (Times.empty() ? "" : "/") + inMs(Stage.Duration);
    Fields.push_back({"stage_ms", std::move(Times)});
    Fields.push_back({"forecast_ms", inMs(State.Forecast)});
    std::string Waits;
    for (core_duration Wait : State.Way.Waits)
      Waits += (Waits.empty() ? "" : "/") + inMs(Wait);
    Fields.push_back({"queues", describeQueues(State)});
    Fields.push_back({"plan", std::string(toText(State.Way.Decision))});
    Fields.push_back({"waits_ms", std::move(Waits)});
    Fields.push_back({"late_wait_ms", inMs(State.Way.LateWait)});
    Fields.push_back({"priority", std::to_string(State.Priority)});
    Fields.push_back({"share", std::string(toText(State.Way.Standing))});
    Fields.push_back({"restages", std::to_string(State.Recomputations)});
  }
  log(Succeeded ? event_number::RequestServed : event_number::RequestEnded,
      event_severity::Info, Succeeded ? "request served" : "request ended",
      std::move(Fields));
}

// Logs which servers had a request that its caller is told has not run, and
// what shows that each of them did not run it.
void serving_impl::logPromise(const active_request &State,
                              std::string_view Outcome) {
  if (State.Ledger.count() == 0)
    return;
  ++Counters.PromisesAfterCalls;
  log(event_number::PromisedNotRun, event_severity::Info,
      "caller is told that a request has not run, after calls were made",
      {{"request", State.Request.CallerId.Value},
       {"outcome", std::string(Outcome)},
       {"route", State.Route->Name.Value},
       {"calls", State.Ledger.describe()}});
}

void serving_impl::finish(request_id Request) {
  auto Found = Requests.find(Request);
  if (Found == Requests.end())
    return;
  active_request &State = Found->second;
  if (State.CurrentCall) {
    call_id Call = *State.CurrentCall;
    endCall(Call);
    Actions.cancelCall(Call);
  }
  endPrompt(State);
  cancelJobs(State);
  releaseAll(State);
  Requests.erase(Found);
  Counters.InProgress = Requests.size();
}

void serving_impl::onDeadline(request_id Request) {
  active_request *State = find(Request);
  if (!State)
    return;
  bool Sent = !State->Ledger.provesNotRun();
  bool Draining = cutByDrain(*State);
  if (State->CurrentCall && !Draining)
    Servers.onCallFailed(State->Server.Id, Now);
  refusal_kind Kind = refusal_kind::TimedOutNotRun;
  if (Draining)
    Kind = Sent ? refusal_kind::Failed : refusal_kind::ShuttingDown;
  else if (Sent)
    Kind = refusal_kind::TimedOut;
  failRequest(*State, Kind, MinRetryAfter);
}

void serving_impl::addTimer(core_time Time, timer_kind Kind, std::uint64_t Id) {
  Timers.emplace(Time, timer{Kind, Id});
}

void serving_impl::onTimer(const timer &Timer) {
  switch (Timer.Kind) {
  case timer_kind::Deadline:
    onDeadline(request_id(Timer.Id));
    return;
  case timer_kind::AttemptTimeout:
    onAttemptTimeout(call_id(Timer.Id));
    return;
  case timer_kind::AcceptTimeout:
    onAcceptTimeout(piece_job_id(Timer.Id));
    return;
  case timer_kind::JobCheck:
    onJobCheck(piece_job_id(Timer.Id));
    return;
  case timer_kind::PermitTimeout:
    onPermitTimeout(request_id(Timer.Id));
    return;
  case timer_kind::PromptRoom:
    onPromptTimer(request_id(Timer.Id));
    return;
  }
}

void serving_impl::onWakeup(core_time) {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    timer Timer = Timers.begin()->second;
    Timers.erase(Timers.begin());
    onTimer(Timer);
  }
  for (const batching_host &Host : Hosts.dueForHeartbeat(Now))
    Actions.sendToPeer(Host, makeHeartbeat(true));
  if (Now >= NextSeedHeartbeat)
    sendSeedHeartbeats();
  checkStall();
  confirmConfig();
  processStoreGossip();
  processFollowing();
  processCrashes();
  processWarm();
  Servers.settleCopied(Now);
  Servers.evictUnlisted(Now);
  for (const zone_order &Order : Emptied.settleCopied(Now))
    logZone(Order, "store");
}

std::optional<core_time> serving_impl::nextWakeup(core_time Time) const {
  std::optional<core_time> Next = Owner.nextWakeup();
  auto Consider = [&Next](core_time Candidate) {
    if (!Next || Candidate < *Next)
      Next = Candidate;
  };
  if (!Timers.empty())
    Consider(Timers.begin()->first);
  if (std::optional<core_time> Heartbeat = Hosts.nextHeartbeat())
    Consider(*Heartbeat);
  if (std::optional<core_time> NextGossip = Gossip.nextWakeup())
    Consider(*NextGossip);
  if (std::optional<core_time> NextPoll = Following.nextWakeup())
    Consider(*NextPoll);
  if (std::optional<core_time> NextCrash = Crashes.nextWakeup())
    Consider(*NextCrash);
  if (std::optional<core_time> NextWarm = ColdServers.nextWakeup())
    Consider(*NextWarm);
  if (PushAt)
    Consider(*PushAt);
  if (ConfirmBy)
    Consider(*ConfirmBy);
  if (std::optional<core_time> NextSettling = Servers.nextSettling())
    Consider(*NextSettling);
  if (std::optional<core_time> NextSettling = Emptied.nextSettling())
    Consider(*NextSettling);
  Consider(std::min(NextSeedHeartbeat, Time + DirectoryCleanup));
  return Next;
}

} // namespace jasminecroft
