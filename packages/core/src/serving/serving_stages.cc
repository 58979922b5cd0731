// Stages of a request: which pieces are asked of which owner, and in what time.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// An owner that has not accepted a job by then, and of which nothing else was
/// heard, is suspected: many times the way there and back between zones, and
/// long enough for a host whose processor is slowed.
constexpr core_duration AcceptTime = milliseconds(300);
/// A job at another host is asked about at this interval: its owner may have
/// died since it accepted it.
constexpr core_duration JobCheckInterval = milliseconds(700);
/// When to come back after pieces were not made: a call of the pool later.
constexpr core_duration NotMadeRetry = milliseconds(500);
/// Pools with more servers than this have a queue for each zone.
constexpr std::size_t MaxServersPerQueue = 8;
/// Another zone's queue has to be shorter by more than this: what is known of
/// waits is some tens of milliseconds old.
constexpr core_duration OtherZoneTime = milliseconds(60);

} // namespace

using namespace detail;

bool serving_impl::stageReady(const request_state &State,
                              std::size_t Stage) const {
  if (State.Stages[Stage].Phase != stage_phase::Waiting)
    return false;
  const std::vector<std::uint32_t> &After = State.Route->Stages[Stage].After;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Before) {
    return Before < State.Stages.size() &&
           State.Stages[Before].Phase == stage_phase::Done;
  });
}

bool serving_impl::stagesDone(const request_state &State) const {
  return std::all_of(State.Stages.begin(), State.Stages.end(),
                     [](const stage_state &Stage) {
                       return Stage.Phase == stage_phase::Done;
                     });
}

// Stages without pieces are done at once, which may make others ready. The
// request is looked up again after each step: an owner's answer may end it.
void serving_impl::startReadyStages(request_state &First) {
  request_id Request = First.Call.Number;
  for (std::size_t Stage = 0; Stage < First.Stages.size(); ++Stage)
    if (First.Call.Pieces[Stage] == 0)
      First.Stages[Stage].Phase = stage_phase::Done;
  std::size_t Count = First.Stages.size();
  for (std::size_t Stage = 0; Stage < Count; ++Stage) {
    request_state *State = find(Request);
    if (!State)
      return;
    if (stageReady(*State, Stage))
      askStage(*State, Stage);
  }
  request_state *State = find(Request);
  if (!State || State->Current || !stagesDone(*State))
    return;
  State->StagesDoneAt = Now;
  sendCall(*State);
}

// All results of the stages that Stage comes after.
std::vector<result_handle> serving_impl::inputsOf(const request_state &State,
                                                  std::size_t Stage) const {
  std::vector<result_handle> Inputs;
  for (std::uint32_t Before : State.Route->Stages[Stage].After)
    for (const made_piece &Piece : State.Stages[Before].Results)
      Inputs.push_back(Piece.Result);
  return Inputs;
}

bool serving_impl::isLastStage(const request_state &State,
                               std::size_t Stage) const {
  const std::vector<route_stage> &All = State.Route->Stages;
  return std::none_of(All.begin(), All.end(), [Stage](const route_stage &Next) {
    return std::find(Next.After.begin(), Next.After.end(), Stage) !=
           Next.After.end();
  });
}

// All results of the stages that no other stage comes after.
std::vector<result_handle>
serving_impl::finalInputs(const request_state &State) const {
  std::vector<result_handle> Inputs;
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    if (isLastStage(State, Stage))
      for (const made_piece &Piece : State.Stages[Stage].Results)
        Inputs.push_back(Piece.Result);
  return Inputs;
}

// Where most bytes of the request's results lie; where they are wanted if
// there are none yet.
zone_id serving_impl::zoneOfInputs(const request_state &State) const {
  std::map<zone_id, std::uint64_t> Bytes;
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    if (!State.Stages[Stage].Released)
      for (const made_piece &Piece : State.Stages[Stage].Results)
        Bytes[Piece.Zone] += State.Route->Stages[Stage].ResultBytes + 1;
  zone_id Best = State.PlannedZone;
  std::uint64_t Most = 0;
  for (const std::pair<const zone_id, std::uint64_t> &Entry : Bytes)
    if (Entry.second > Most) {
      Most = Entry.second;
      Best = Entry.first;
    }
  return Best;
}

// Small pools have one queue. In large ones each zone has its own, so that an
// owner's work and what its loss affects do not grow with the fleet. Of these
// the one is taken that is expected to begin first; far ones count as slower by
// what moving the results is worth.
zone_id serving_impl::queueZone(const request_state &State, std::size_t Stage) {
  const route_stage &Plan = State.Route->Stages[Stage];
  std::vector<backend_state *> Usable = Servers.usable(Plan.Pool, Now);
  if (Usable.size() <= MaxServersPerQueue)
    return zone_id();
  std::set<zone_id> Zones;
  for (const backend_state *Server : Usable)
    Zones.insert(Server->Entry.Zone);
  zone_id Near = zoneOfInputs(State);
  std::uint64_t Bytes = Plan.ResultBytes * State.Call.Pieces[Stage];
  for (std::uint32_t Before : Plan.After)
    Bytes +=
        State.Route->Stages[Before].ResultBytes * State.Call.Pieces[Before];
  const zone_id *Best = nullptr;
  core_duration BestTime{0};
  for (const zone_id &Zone : Zones) {
    core_duration Time =
        knownWait(Plan.Pool, Zone).OnTime[urgencyRank(State.Priority)];
    if (Zone != Near)
      Time += movingTime(Bytes) + OtherZoneTime;
    if (!Best || Time < BestTime) {
      Best = &Zone;
      BestTime = Time;
    }
  }
  return *Best;
}

entry_host_id serving_impl::ownerOf(const pool_id &Pool,
                                    const zone_id &Zone) const {
  return Hosts.owner(Pool.Value + '/' + Zone.Value);
}

// Lets the hosts that own queues now have the jobs that wait here.
void serving_impl::handOverQueues() {
  if (!Settings.BatchAlone)
    Owner.handOver(
        [this](const pool_id &Pool, const zone_id &Zone) {
          return ownerOf(Pool, Zone) == Settings.Self.Host;
        },
        Now);
}

void serving_impl::askStage(request_state &State, std::size_t Stage) {
  const route_stage &Plan = State.Route->Stages[Stage];
  if (Servers.usable(Plan.Pool, Now).empty()) {
    giveUp(State, refusal_kind::NoBackend, NoBackendRetry);
    return;
  }
  piece_job_id Id(++LastJob);
  stage_state &Asked = State.Stages[Stage];
  Asked.Phase = stage_phase::Asked;
  Asked.Job = Id;
  Asked.Released = false;
  Asked.AskedAt = Now;
  job_state &Job = JobsAsked[Id];
  Job.Request = State.Call.Number;
  Job.Stage = static_cast<std::uint32_t>(Stage);
  sendJob(Id, State);
}

// Asks the present owner of the queue, whoever was asked before.
void serving_impl::sendJob(piece_job_id Id, request_state &State) {
  job_state &Asked = JobsAsked[Id];
  const pool_id &Pool = State.Route->Stages[Asked.Stage].Pool;
  Asked.QueueZone = queueZone(State, Asked.Stage);
  State.Stages[Asked.Stage].QueueZone = Asked.QueueZone;
  Asked.Owner =
      Settings.BatchAlone ? Settings.Self.Host : ownerOf(Pool, Asked.QueueZone);
  askOwner(Id, State);
}

// Asks the owner that the job has; one that knows the job already only says
// how long it will take.
void serving_impl::askOwner(piece_job_id Id, request_state &State) {
  job_state &Asked = JobsAsked[Id];
  const route_stage &Plan = State.Route->Stages[Asked.Stage];
  piece_job Job;
  Job.Job = Id;
  Job.Request = State.Call.CallerId;
  Job.Pool = Plan.Pool;
  Job.Stage = Asked.Stage;
  for (std::uint32_t Piece = 0; Piece < State.Call.Pieces[Asked.Stage]; ++Piece)
    Job.Pieces.push_back(Piece);
  Job.Inputs = inputsOf(State, Asked.Stage);
  if (Plan.After.empty())
    Job.Key = State.Call.PieceKey;
  Job.DeadlineIn = State.Deadline - Now - timeAfter(State, Asked.Stage);
  Job.StartBy = State.GoalAt - Now - callTime(State, Asked.Stage) -
                timeAfter(State, Asked.Stage);
  Job.Priority = State.Priority;
  Job.Workspace = State.Workspace;
  Job.ResultBytes = Plan.ResultBytes;
  Job.InputZone = zoneOfInputs(State);
  for (std::uint32_t Before : Plan.After)
    Job.InputBytes += State.Route->Stages[Before].ResultBytes *
                      State.Stages[Before].Results.size();
  if (isLastStage(State, Asked.Stage))
    Job.NearZone = State.PlannedZone;
  Job.QueueZone = Asked.QueueZone;
  Asked.Accepted = false;
  Asked.AskedAt = Now;
  if (Asked.Owner != Settings.Self.Host) {
    addTimer(Now + AcceptTime, timer_kind::JobAccepted, Id.Value);
    sendToHost(Asked.Owner, piece_request{std::move(Job)});
    return;
  }
  queue_wait Wait = Owner.submit(Settings.Self, Job, Now);
  onJobAccepted(Id, Wait);
}

// With the owner's view of the queue it is known whether the whole chain can
// be done in time. If not, the caller hears it now.
void serving_impl::onJobAccepted(piece_job_id Id, const queue_wait &Wait) {
  auto Found = JobsAsked.find(Id);
  if (Found == JobsAsked.end())
    return;
  job_state &Job = Found->second;
  Job.Accepted = true;
  request_state *State = find(Job.Request);
  if (!State)
    return;
  Waits[{State->Route->Stages[Job.Stage].Pool, Job.QueueZone}] = {Wait, Now};
  core_duration Needed =
      stageTime(*State, Job.Stage) + timeAfter(*State, Job.Stage);
  core_duration Left = State->Deadline - Now;
  if (Needed > Left) {
    giveUp(*State, refusal_kind::Overloaded, Needed - Left);
    return;
  }
  if (Job.Owner != Settings.Self.Host)
    addTimer(Now + JobCheckInterval, timer_kind::JobCheck, Id.Value);
}

// The owner is not heard of: the next in rank takes over.
void serving_impl::onJobUnanswered(piece_job_id Id) {
  auto Found = JobsAsked.find(Id);
  if (Found == JobsAsked.end() || Found->second.Accepted)
    return;
  const entry_host_id Silent = Found->second.Owner;
  if (Hosts.heardSince(Silent, Found->second.AskedAt)) {
    // The owner lives; the message or its answer was lost or is late.
    if (request_state *State = find(Found->second.Request))
      askOwner(Id, *State);
    return;
  }
  if (Hosts.suspect(Silent, Now)) {
    log(event_number::HostSuspected, event_severity::Warning,
        "host does not answer; another owns its queues",
        {{"host", Silent.Value}, {"job", std::to_string(Id.Value)}});
    Actions.reconnectPeer(Silent);
    Greeted.erase(Silent);
  }
  askElsewhere(Silent);
}

// Asks the owners that follow in rank for all that a lost owner has not made.
// If that one lives after all, it need not make it.
void serving_impl::askElsewhere(const entry_host_id &Lost) {
  std::vector<piece_job_id> Open;
  for (const std::pair<const piece_job_id, job_state> &Job : JobsAsked)
    if (Job.second.Owner == Lost)
      Open.push_back(Job.first);
  for (piece_job_id Id : Open) {
    auto Found = JobsAsked.find(Id);
    if (Found == JobsAsked.end())
      continue;
    cancelAt(Lost, Id);
    if (request_state *State = find(Found->second.Request))
      sendJob(Id, *State);
  }
}

// Asks the same owner again while it lives, also if another one owns the queue
// by now: it may have begun. One that was restarted takes the job anew.
void serving_impl::onJobCheck(piece_job_id Id) {
  auto Found = JobsAsked.find(Id);
  if (Found == JobsAsked.end())
    return;
  request_state *State = find(Found->second.Request);
  if (!State)
    return;
  const entry_host_id &Owner = Found->second.Owner;
  if (Hosts.find(Owner) && !Hosts.suspected(Owner))
    askOwner(Id, *State);
  else
    sendJob(Id, *State);
}

void serving_impl::onPiecesMade(const entry_host_id &Host, const piece_job &Job,
                                std::vector<made_piece> Pieces) {
  if (Host == Settings.Self.Host)
    takePieces(Job.Job, Job.Request, Host, std::move(Pieces));
  else
    sendToHost(Host, pieces_completed{Job.Job, Job.Request, std::move(Pieces)});
}

void serving_impl::onJobFailed(const entry_host_id &Host, piece_job_id Job,
                               piece_failure Failure) {
  if (Host == Settings.Self.Host)
    takeJobFailure(Job, Host, Failure);
  else
    sendToHost(Host, pieces_failed{Job, Failure});
}

void serving_impl::onInputsFetched(const entry_host_id &Host,
                                   piece_job_id Job) {
  if (Host == Settings.Self.Host)
    takeInputsFetched(Job, Host);
  else
    sendToHost(Host, inputs_fetched{Job});
}

// Whether Host is the owner that was asked last. What an earlier owner says of
// a job counts no more: the job is another's now.
bool serving_impl::askedOf(const entry_host_id &Host, piece_job_id Job) const {
  auto Found = JobsAsked.find(Job);
  return Found != JobsAsked.end() && Found->second.Owner == Host;
}

void serving_impl::takeInputsFetched(piece_job_id Id,
                                     const entry_host_id &From) {
  if (!askedOf(From, Id))
    return;
  auto Found = JobsAsked.find(Id);
  request_state *State = find(Found->second.Request);
  if (!State)
    return;
  stage_state &Stage = State->Stages[Found->second.Stage];
  if (Stage.Phase != stage_phase::Asked)
    return;
  Stage.Phase = stage_phase::Fetched;
  releaseUsed(*State);
}

void serving_impl::takePieces(piece_job_id Id, const caller_request_id &Request,
                              const entry_host_id &From,
                              std::vector<made_piece> Pieces) {
  auto Found = JobsAsked.find(Id);
  request_state *State =
      Found == JobsAsked.end() ? nullptr : find(Found->second.Request);
  std::set<std::uint32_t> Distinct;
  for (const made_piece &Piece : Pieces)
    Distinct.insert(Piece.Piece);
  if (!State || State->Call.CallerId != Request ||
      Distinct.size() != Pieces.size() ||
      Pieces.size() != State->Call.Pieces[Found->second.Stage]) {
    stage_state Unwanted;
    Unwanted.Results = std::move(Pieces);
    Unwanted.Owner = From;
    releaseStage(Unwanted);
    return;
  }
  std::sort(Pieces.begin(), Pieces.end(),
            [](const made_piece &A, const made_piece &B) {
              return A.Piece < B.Piece;
            });
  stage_state &Stage = State->Stages[Found->second.Stage];
  if (Found->second.Owner != From)
    cancelAt(Found->second.Owner, Id);
  JobsAsked.erase(Found);
  Stage.Phase = stage_phase::Done;
  Stage.Took = Now - Stage.AskedAt;
  Stage.Results = std::move(Pieces);
  Stage.Owner = From;
  releaseUsed(*State);
  startReadyStages(*State);
}

void serving_impl::takeJobFailure(piece_job_id Id, const entry_host_id &From,
                                  piece_failure Failure) {
  if (!askedOf(From, Id))
    return;
  auto Found = JobsAsked.find(Id);
  request_state *State = find(Found->second.Request);
  std::uint32_t Stage = Found->second.Stage;
  if (State && Failure == piece_failure::OwnerChanged) {
    sendJob(Id, *State);
    return;
  }
  JobsAsked.erase(Found);
  if (!State)
    return;
  State->Stages[Stage].Phase = stage_phase::Waiting;
  log(event_number::PiecesFailed, event_severity::Warning,
      "pieces of a stage were not made",
      {{"request", State->Call.CallerId.Value},
       {"stage", std::to_string(Stage)},
       {"reason", Failure == piece_failure::InputGone ? "input_gone"
                  : Failure == piece_failure::Late    ? "late"
                                                      : "not_made"}});
  if (Failure == piece_failure::InputGone &&
      restage(*State, State->Route->Stages[Stage].After))
    return;
  refusal_kind Kind = Failure == piece_failure::Late ? refusal_kind::Overloaded
                                                     : refusal_kind::NoBackend;
  giveUp(*State, Kind, NotMadeRetry);
}

} // namespace jasminecroft
