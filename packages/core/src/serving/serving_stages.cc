// Stages of a request: assignment of their jobs to queue owners, and timeouts
// of these jobs.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Time in which an owner has to accept a job. An owner that sends nothing in
/// this time is suspected. Many times the round trip between zones, and long
/// enough for a host whose processor is throttled.
constexpr core_duration JobAcceptTimeout = milliseconds(300);
/// Owners that have been slow to accept get this multiple of their usual time,
/// up to the longest one: their queue is not lost, only long.
constexpr double AcceptTimeoutFactor = 3;
constexpr core_duration MaxJobAcceptTimeout = milliseconds(1'200);
constexpr double AcceptTimeGain = 0.2;
/// An accepted job stays with a silent owner for this long, about the time of
/// a call, which may be running.
constexpr core_duration AcceptedJobPatience = milliseconds(700);
/// Interval at which an accepted job is submitted again to its remote owner,
/// which may have crashed since it accepted the job.
constexpr core_duration JobCheckInterval = milliseconds(700);

} // namespace

using namespace detail;

bool serving_impl::stageReady(const active_request &State,
                              std::size_t Stage) const {
  const std::vector<std::uint32_t> &After = State.Route->Stages[Stage].After;
  return State.Stages[Stage].Phase == stage_phase::Waiting &&
         std::all_of(After.begin(), After.end(), [&](std::uint32_t Before) {
           return holdsResults(State, Before);
         });
}

bool serving_impl::stagesDone(const active_request &State) const {
  return std::all_of(State.Stages.begin(), State.Stages.end(),
                     [](const stage_state &Stage) {
                       return Stage.Phase == stage_phase::Done;
                     });
}

// Requests all stages whose inputs are complete, and sends the call if all
// stages are done. Stages without pieces are done at once, which may make
// others ready. The request is looked up again after each step because an
// owner's reply may end it.
void serving_impl::startReadyStages(active_request &First) {
  request_id Request = First.Request.Number;
  for (std::size_t Stage = 0; Stage < First.Stages.size(); ++Stage)
    if (First.Request.Pieces[Stage] == 0)
      First.Stages[Stage].Phase = stage_phase::Done;
  std::size_t Count = First.Stages.size();
  for (std::size_t Stage = 0; Stage < Count; ++Stage) {
    active_request *State = find(Request);
    if (!State)
      return;
    if (stageReady(*State, Stage))
      requestStage(*State, Stage);
  }
  active_request *State = find(Request);
  if (!State || State->CurrentCall || !stagesDone(*State))
    return;
  State->StagesDoneAt = Now;
  sendCall(*State);
}

// Returns whether all results of a stage can be given to others.
bool serving_impl::holdsResults(const active_request &State,
                                std::size_t Stage) {
  return Stage < State.Stages.size() &&
         State.Stages[Stage].Phase == stage_phase::Done &&
         !State.Stages[Stage].Released;
}

// Returns what the pieces of a stage are made from; absent while a stage that
// it depends on is not done or its results are released.
std::optional<piece_source>
serving_impl::stageSource(const active_request &State,
                          std::size_t Stage) const {
  const std::vector<std::uint32_t> &After = State.Route->Stages[Stage].After;
  if (After.empty())
    return piece_key(State.Request.PieceKey);
  piece_inputs Inputs;
  // A route may name a stage twice.
  for (std::uint32_t Before : std::set(After.begin(), After.end())) {
    if (!holdsResults(State, Before))
      return std::nullopt;
    for (const completed_piece &Piece : State.Stages[Before].Results)
      Inputs.Results.push_back(Piece.Result);
  }
  return Inputs;
}

bool serving_impl::isFinalStage(const active_request &State,
                                std::size_t Stage) const {
  const std::vector<route_stage> &All = State.Route->Stages;
  return std::none_of(All.begin(), All.end(), [Stage](const route_stage &Next) {
    return std::find(Next.After.begin(), Next.After.end(), Stage) !=
           Next.After.end();
  });
}

// Returns all results of the stages that no other stage depends on; absent
// while such a stage is not done or its results are released.
std::optional<piece_inputs>
serving_impl::finalInputs(const active_request &State) const {
  piece_inputs Inputs;
  for (std::uint32_t Stage : finalStages(State)) {
    if (!holdsResults(State, Stage))
      return std::nullopt;
    for (const completed_piece &Piece : State.Stages[Stage].Results)
      Inputs.Results.push_back(Piece.Result);
  }
  return Inputs;
}

// Returns the zone that holds most bytes of the request's results; the planned
// zone if there are none yet.
zone_id serving_impl::inputZone(const active_request &State) const {
  std::map<zone_id, std::uint64_t> Bytes;
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    if (!State.Stages[Stage].Released)
      for (const completed_piece &Piece : State.Stages[Stage].Results)
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

entry_host_id serving_impl::queueOwner(const pool_id &Pool,
                                       const zone_id &Zone) const {
  return Hosts.owner(Pool.Value + '/' + Zone.Value);
}

// Transfers waiting jobs of queues that this host no longer owns.
void serving_impl::transferQueues() {
  if (!Settings.BatchAlone)
    Owner.failUnownedJobs(
        [this](const pool_id &Pool, const zone_id &Zone) {
          return queueOwner(Pool, Zone) == Settings.Self.Host;
        },
        Now);
}

void serving_impl::requestStage(active_request &State, std::size_t Stage) {
  const route_stage &Plan = State.Route->Stages[Stage];
  std::optional<piece_source> Source = stageSource(State, Stage);
  if (!Source)
    return;
  if (Servers.usable(Plan.Pool, Now).empty()) {
    failRequest(State, refusal_kind::NoBackend, NoBackendRetryAfter);
    return;
  }
  piece_job_id Id(++LastJob);
  stage_state &Started = State.Stages[Stage];
  Started.Phase = stage_phase::Requested;
  Started.Job = Id;
  Started.Released = false;
  Started.RequestedAt = Now;
  job_state &Job = PendingJobs[Id];
  Job.Request = State.Request.Number;
  Job.Stage = static_cast<std::uint32_t>(Stage);
  Job.Source = std::move(*Source);
  assignJob(Id, State);
}

// Assigns a job to the present owner of its queue, also if another owner had
// it before, and submits it.
void serving_impl::assignJob(piece_job_id Id, active_request &State) {
  job_state &Pending = PendingJobs[Id];
  const pool_id &Pool = State.Route->Stages[Pending.Stage].Pool;
  if (poolEmptied(Pool)) {
    refuseForEmptiedZones(State);
    return;
  }
  chooseQueueZone(State, Pending.Stage);
  Pending.QueueZone = State.Stages[Pending.Stage].QueueZone;
  Pending.EverAccepted = false;
  Pending.Counted = false;
  Pending.Owner = Settings.BatchAlone ? Settings.Self.Host
                                      : queueOwner(Pool, Pending.QueueZone);
  submitJob(Id, State);
}

// Assigns a job to the present owner of its queue after another owner. A job
// whose call had fetched its inputs gets them made again if they are released.
void serving_impl::moveJob(piece_job_id Id, active_request &State,
                           std::string_view Why) {
  if (renewJob(Id, State))
    return;
  const job_state Before = PendingJobs[Id];
  const std::string Request = State.Request.CallerId.Value;
  assignJob(Id, State);
  auto Moved = PendingJobs.find(Id);
  if (Moved == PendingJobs.end())
    return;
  log(event_number::JobMoved, event_severity::Info,
      "job of a stage goes to another host",
      {{"request", Request},
       {"stage", std::to_string(Before.Stage)},
       {"job", std::to_string(Id.Value)},
       {"from", Before.Owner.Value},
       {"to", Moved->second.Owner.Value},
       {"why", std::string(Why)},
       {"inputs", std::to_string(resultsOf(Before.Source).size())}});
}

// Submits a job to its assigned owner. Idempotent: an owner that already has
// the job only replies with the expected wait.
void serving_impl::submitJob(piece_job_id Id, active_request &State) {
  job_state &Pending = PendingJobs[Id];
  const route_stage &Plan = State.Route->Stages[Pending.Stage];
  piece_job Job;
  Job.Job = Id;
  Job.Request = State.Request.CallerId;
  Job.Pool = Plan.Pool;
  Job.Stage = Pending.Stage;
  for (std::uint32_t Piece = 0; Piece < State.Request.Pieces[Pending.Stage];
       ++Piece)
    Job.Pieces.push_back(Piece);
  Job.Source = Pending.Source;
  Job.DeadlineIn =
      State.Deadline - Now - remainingTimeAfter(State, Pending.Stage);
  Job.StartBy = State.GoalAt - Now - callTime(State, Pending.Stage) -
                remainingTimeAfter(State, Pending.Stage);
  Job.Priority = State.Priority;
  Job.Workspace = State.Workspace;
  Job.ResultBytes = Plan.ResultBytes;
  Job.InputZone = inputZone(State);
  for (std::uint32_t Before : Plan.After)
    Job.InputBytes += State.Route->Stages[Before].ResultBytes *
                      State.Stages[Before].Results.size();
  if (isFinalStage(State, Pending.Stage))
    Job.NearZone = keptZone(State.PlannedZone);
  Job.QueueZone = Pending.QueueZone;
  Pending.Accepted = false;
  Pending.RequestedAt = Now;
  noteSent(Pending, State);
  if (Pending.Owner != Settings.Self.Host) {
    addTimer(Now + acceptTimeout(Pending.Owner), timer_kind::AcceptTimeout,
             Id.Value);
    sendToHost(Pending.Owner, piece_request{std::move(Job)});
    return;
  }
  queue_wait Wait = Owner.submit(Settings.Self, Job, Now);
  onJobAccepted(Id, Wait);
}

// Records the wait that the owner expects, and refuses the request if the
// remaining stages cannot complete before its deadline.
void serving_impl::onJobAccepted(piece_job_id Id, const queue_wait &Wait) {
  auto Found = PendingJobs.find(Id);
  if (Found == PendingJobs.end())
    return;
  job_state &Job = Found->second;
  if (Job.Owner != Settings.Self.Host && !Job.Accepted)
    observeAcceptance(Job.Owner, Now - Job.RequestedAt);
  Job.Accepted = true;
  Job.EverAccepted = true;
  active_request *State = find(Job.Request);
  if (!State)
    return;
  Waits[{State->Route->Stages[Job.Stage].Pool, Job.QueueZone}] = {
      Wait, Now, Job.SentBefore};
  core_duration Needed =
      stageTime(*State, Job.Stage) + remainingTimeAfter(*State, Job.Stage);
  if (!endsBeforeDrain(*State, Needed)) {
    failRequest(*State, refusal_kind::ShuttingDown, core_duration{0});
    return;
  }
  core_duration TimeLeft = State->Deadline - Now;
  if (Needed > TimeLeft) {
    failRequest(*State, refusal_kind::Overloaded, Needed - TimeLeft);
    return;
  }
  if (Job.Owner != Settings.Self.Host)
    addTimer(Now + JobCheckInterval, timer_kind::JobCheck, Id.Value);
}

// Submits the job again if its owner has sent anything since; otherwise
// suspects the owner and reassigns its jobs to the next in rank.
void serving_impl::onAcceptTimeout(piece_job_id Id) {
  auto Found = PendingJobs.find(Id);
  if (Found == PendingJobs.end() || Found->second.Accepted)
    return;
  const entry_host_id Unresponsive = Found->second.Owner;
  if (Hosts.receivedSince(Unresponsive, Found->second.RequestedAt)) {
    // The owner is alive; the message or its reply was lost or is late.
    if (active_request *State = find(Found->second.Request))
      submitJob(Id, *State);
    return;
  }
  if (Hosts.suspect(Unresponsive, Now)) {
    log(event_number::HostSuspected, event_severity::Warning,
        "host does not respond; its queues move to another host",
        {{"host", Unresponsive.Value}, {"job", std::to_string(Id.Value)}});
    Actions.reconnectPeer(Unresponsive);
    HeartbeatSentTo.erase(Unresponsive);
  }
  reassignJobs(Unresponsive);
  Found = PendingJobs.find(Id);
  if (Found != PendingJobs.end() && Found->second.Owner == Unresponsive)
    addTimer(Now + JobAcceptTimeout, timer_kind::JobCheck, Id.Value);
}

core_duration serving_impl::acceptTimeout(const entry_host_id &Owner) const {
  auto Found = AcceptMicros.find(Owner);
  if (Found == AcceptMicros.end())
    return JobAcceptTimeout;
  core_duration Usual(
      static_cast<std::int64_t>(Found->second * AcceptTimeoutFactor));
  return std::clamp(Usual, JobAcceptTimeout, MaxJobAcceptTimeout);
}

void serving_impl::observeAcceptance(const entry_host_id &Owner,
                                     core_duration Time) {
  double Micros = static_cast<double>(Time.count());
  double &Known = AcceptMicros[Owner];
  // Rises at once, as a queue of messages does, and falls slowly.
  Known = Micros > Known ? Micros : Known + AcceptTimeGain * (Micros - Known);
}

// Reassigns the pending jobs of a lost owner to the owners that follow in rank.
// The jobs are cancelled at the lost owner, which may still be alive. Accepted
// ones stay with an owner that has been silent for a short time only.
void serving_impl::reassignJobs(const entry_host_id &Lost) {
  std::vector<piece_job_id> Open;
  bool Patient = Hosts.receivedSince(Lost, Now - AcceptedJobPatience);
  for (const std::pair<const piece_job_id, job_state> &Job : PendingJobs)
    if (Job.second.Owner == Lost)
      Open.push_back(Job.first);
  for (piece_job_id Id : Open) {
    auto Found = PendingJobs.find(Id);
    if (Found == PendingJobs.end())
      continue;
    // It is checked again by a timer of its own.
    if (Patient && Found->second.EverAccepted)
      continue;
    cancelJobAt(Lost, Id);
    if (active_request *State = find(Found->second.Request))
      moveJob(Id, *State, "owner_lost");
  }
}

// Submits a pending job to the same owner again while that is alive, even if
// another host owns the queue by now: a call may be in progress. An owner that
// was restarted queues the job again.
void serving_impl::onJobCheck(piece_job_id Id) {
  auto Found = PendingJobs.find(Id);
  if (Found == PendingJobs.end())
    return;
  active_request *State = find(Found->second.Request);
  if (!State)
    return;
  const entry_host_id Owner = Found->second.Owner;
  if (Hosts.find(Owner) && !Hosts.suspected(Owner)) {
    submitJob(Id, *State);
  } else if (Found->second.EverAccepted &&
             Hosts.receivedSince(Owner, Now - AcceptedJobPatience)) {
    addTimer(Now + JobAcceptTimeout, timer_kind::JobCheck, Id.Value);
  } else {
    cancelJobAt(Owner, Id);
    moveJob(Id, *State, "owner_lost");
  }
}

} // namespace jasminecroft
