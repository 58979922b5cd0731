// Queueing and dispatch of batching queues.
#include "jasminecroft/core/serving/batch_owner.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// A call times out after this multiple of its expected time plus a margin.
constexpr int TimeoutFactor = 6;
constexpr core_duration TimeoutMargin = milliseconds(500);
/// Fraction of a server's result capacity that plans use: result sizes are
/// approximate.
constexpr double UsableCapacityFraction = 0.97;
/// Upper bound of the time in which a call to an idle server fetches its
/// inputs.
constexpr core_duration FetchTime = milliseconds(60);
/// Age up to which a call answered within its expected time shows that the
/// server works for no other host: about the time of two calls.
constexpr core_duration UncontendedLifetime = std::chrono::seconds(1);
/// A server that has not reported its load after this time is used without it.
constexpr core_duration LoadQueryTimeout = milliseconds(100);
/// Results of other hosts' calls are assumed to be freed linearly over this
/// time.
constexpr core_duration ExternalBytesDecay = milliseconds(1'500);
constexpr core_duration ExpiryInterval = milliseconds(500);
/// Interval of queue scans while pieces wait: free capacity, backoffs and
/// deadlines change without an event.
constexpr core_duration ScanInterval = milliseconds(50);
constexpr double FullCallGain = 0.2;
/// Weight of the latest call in the moving average of call times.
constexpr double CallTimeGain = 0.1;
/// Time that jobs wait for a server of their queue to appear: about the time
/// that a new host needs to read the platform's list.
constexpr core_duration NoServerTimeout = milliseconds(500);

} // namespace

std::string_view toText(batch_failure Failure) {
  switch (Failure) {
  case batch_failure::NotConnected:
    return "not_connected";
  case batch_failure::Refused:
    return "refused";
  case batch_failure::Gone:
    return "gone";
  case batch_failure::Broken:
    return "broken";
  case batch_failure::TimedOut:
    return "timed_out";
  }
  return "broken";
}

void batch_owner::configure(const std::map<pool_id, serving_pool> &All) {
  for (const std::pair<const pool_id, serving_pool> &Pool : All)
    if (Pool.second.Batches)
      Pools[Pool.first] = *Pool.second.Batches;
}

batch_owner::queue_key batch_owner::queueOf(const piece_job &Job) {
  return {Job.Pool, Job.QueueZone};
}

queue_wait batch_owner::submit(const host_run &Host, const piece_job &Job,
                               core_time Now) {
  job_key Key{Host, Job.Job};
  if (!Pools.contains(Job.Pool)) {
    Actions.onJobFailed(Host.Host, Job.Job, piece_failure::NotMade);
    return {};
  }
  queue_wait Wait = expectedWait(Job.Pool, Job.QueueZone, Now);
  if (Jobs.contains(Key))
    return Wait;
  dropOtherRuns(Host, Now);
  job_state State;
  State.Arrived = Now;
  State.Job = Job;
  State.Deadline = Now + Job.DeadlineIn;
  State.StartBy = Now + Job.StartBy;
  State.Waiting.assign(Job.Pieces.begin(), Job.Pieces.end());
  State.Missing = Job.Pieces.size();
  Jobs.emplace(Key, std::move(State));
  queue(queueOf(Job)).push_back(Key);
  Changed = true;
  // The submitted pieces are no longer part of the demand forecast.
  std::uint32_t &Forecast = Queues[queueOf(Job)]
                                .Forecasts[Host.Host]
                                .Pieces[urgencyRank(Job.Priority)];
  Forecast -= std::min(Forecast, static_cast<std::uint32_t>(Job.Pieces.size()));
  for (std::size_t Piece = 0; Piece < Job.Pieces.size(); ++Piece)
    Budget.onRequest(Job.Pool, Now);
  return Wait;
}

void batch_owner::cancel(const host_run &Host, piece_job_id Job,
                         core_time Now) {
  removeJob({Host, Job}, Now);
}

// Drops jobs of other runs of a host, as no request waits for their results.
// Runs are numbered by the time of day, which may go back between two of them.
void batch_owner::dropOtherRuns(const host_run &Host, core_time Now) {
  std::vector<job_key> Others;
  for (auto It = Jobs.lower_bound({{Host.Host, incarnation()}, piece_job_id()});
       It != Jobs.end() && It->first.first.Host == Host.Host; ++It)
    if (It->first.first != Host)
      Others.push_back(It->first);
  for (const job_key &Key : Others)
    removeJob(Key, Now);
}

void batch_owner::failUnownedJobs(
    const std::function<bool(const pool_id &, const zone_id &)> &IsOwn,
    core_time Now) {
  std::vector<job_key> Unowned;
  for (const std::pair<const queue_key, queue_state> &Queue : Queues)
    if (!Queue.second.Jobs.empty() &&
        !IsOwn(Queue.first.Pool, Queue.first.Zone))
      for (const job_key &Key : Queue.second.Jobs)
        if (Jobs.at(Key).Waiting.size() == Jobs.at(Key).Job.Pieces.size())
          Unowned.push_back(Key);
  for (const job_key &Key : Unowned)
    failJob(Key, piece_failure::OwnerChanged, Now);
}

void batch_owner::removeJob(const job_key &Key, core_time Now) {
  auto Found = Jobs.find(Key);
  if (Found == Jobs.end())
    return;
  for (const completed_piece &Completed : Found->second.Completed)
    release({Completed.Result}, Now);
  std::erase(queue(queueOf(Found->second.Job)), Key);
  Jobs.erase(Found);
  Changed = true;
}

void batch_owner::failJob(const job_key &Key, piece_failure Failure,
                          core_time Now) {
  removeJob(Key, Now);
  Actions.onJobFailed(Key.first.Host, Key.second, Failure);
}

void batch_owner::dispatch(core_time Now) {
  if (Now >= NextExpiry) {
    expireResults(Now);
    NextExpiry = Now + ExpiryInterval;
  }
  checkOverdue(Now);
  reportFetched(Now);
  for (std::pair<const backend_id, tracked_server> &Tracked : TrackedServers)
    if (Tracked.second.LoadQueriedAt &&
        Now >= *Tracked.second.LoadQueriedAt + LoadQueryTimeout)
      onServerLoad(Tracked.first, std::nullopt, Now);
  bool Scans = Now >= NextScan;
  if (Changed || Scans) {
    Changed = false;
    if (Scans)
      NextScan = Now + ScanInterval;
    for (const std::pair<const queue_key, queue_state> &Queue : Queues)
      if (!Queue.second.Jobs.empty())
        dispatchQueue(Queue.first, Scans, Now);
  }
  for (std::pair<const backend_id, tracked_server> &Tracked : TrackedServers)
    if (!Tracked.second.PendingFrees.empty() && Now >= Tracked.second.FlushAt)
      flushFrees(Tracked.first, Tracked.second, Now);
}

// Fails jobs that cannot be completed before their deadline. In a long queue,
// late jobs without completed work are shed too: their callers get a response
// sooner by retrying than by waiting behind the jobs that can be on time.
void batch_owner::shedLateJobs(const queue_key &Key,
                               const std::vector<waiting_job> &Waiting,
                               const queue_order &Order,
                               wait_estimator &Estimator, core_time Now) {
  core_duration Least = expectedCallTime(Pools[Key.Pool], 1);
  const std::vector<job_key> Keys = queue(Key);
  std::size_t All = 0;
  for (const waiting_job &Job : Waiting)
    All += Job.Pieces;
  bool Long = Estimator.waitBehind(All) > MaxLateQueueWait;
  for (std::size_t Place = 0; Place < Order.Jobs.size(); ++Place) {
    const waiting_job &Job = Waiting[Order.Jobs[Place]];
    bool Late = Place >= Order.OnTime;
    if (Job.DeadlineIn < Least || (Late && !Job.HasProgress && Long))
      failJob(Keys[Order.Jobs[Place]], piece_failure::Late, Now);
  }
}

std::vector<planned_server> batch_owner::planServers(const queue_key &Key,
                                                     core_time Now) {
  std::vector<planned_server> Result;
  const batch_rules &Rules = Pools[Key.Pool];
  std::uint64_t Capacity = static_cast<std::uint64_t>(
      static_cast<double>(Rules.ResultCapacityBytes) * UsableCapacityFraction);
  for (const std::pair<backend_state *, admission_answer> &Entry :
       Admission.survey(Key.Pool, {admission_purpose::Pieces}, Now)) {
    const backend_entry &Server = Entry.first->Entry;
    const admission_answer &Answer = Entry.second;
    if (!Key.Zone.empty() && Server.Zone != Key.Zone)
      continue;
    if (!Answer.admitted() && !Answer.Until)
      continue;
    tracked_server &Tracked = TrackedServers[Server.Id];
    if (Answer.Obstacle == admission_obstacle::Limited && !Tracked.Running)
      Servers.wantPermit(Server);
    Tracked.CapacityBytes = Rules.ResultCapacityBytes;
    planned_server Planned;
    Planned.Id = Server.Id;
    Planned.Zone = Server.Zone;
    core_time FreeAt = std::max(Now, Tracked.BlockedUntil);
    if (Answer.Until)
      FreeAt = std::max(FreeAt, *Answer.Until);
    bool Asked = Tracked.LoadQueriedAt &&
                 Now - *Tracked.LoadQueriedAt < LoadQueryTimeout;
    Planned.Idle =
        Answer.admitted() && !Tracked.Running && FreeAt == Now && !Asked;
    if (Tracked.Running)
      FreeAt = std::max(FreeAt, Tracked.FreeAt);
    Planned.FreeIn = FreeAt - Now;
    Planned.Slowness = slowness(Tracked, Now);
    std::uint64_t Used = Tracked.UsedBytes + externalBytes(Tracked, Now);
    Planned.FreeBytes = Capacity > Used ? Capacity - Used : 0;
    Result.push_back(std::move(Planned));
  }
  return Result;
}

std::uint64_t batch_owner::externalBytes(const tracked_server &Tracked,
                                         core_time Now) const {
  double Age =
      std::chrono::duration<double>(Now - Tracked.ExternalBytesAt).count();
  double Fade = std::chrono::duration<double>(ExternalBytesDecay).count();
  return static_cast<std::uint64_t>(static_cast<double>(Tracked.ExternalBytes) *
                                    std::clamp(1 - Age / Fade, 0.0, 1.0));
}

// Queries the load of a queue's idle servers whose free capacity is unknown:
// this host has just become the owner, or a piece found no capacity.
void batch_owner::queryLoads(const queue_key &Key, core_time Now) {
  for (const backend_state *Server : Servers.usable(Key.Pool, Now)) {
    if (!Key.Zone.empty() && Server->Entry.Zone != Key.Zone)
      continue;
    tracked_server &Tracked = TrackedServers[Server->Entry.Id];
    if (Tracked.Running || Tracked.LoadQueriedAt ||
        Now < Tracked.LoadKnownUntil)
      continue;
    // Queries count against its limit: only the first one is worth a call.
    if (Servers.isLimited(Server->Entry) &&
        Tracked.LoadKnownUntil != core_time{})
      continue;
    std::optional<call_permit> Permit =
        Admission.admit(Server->Entry.Id, {admission_purpose::LoadQuery}, Now);
    if (!Permit) {
      Servers.wantPermit(Server->Entry);
      continue;
    }
    Tracked.LoadQueriedAt = Now;
    Actions.readServer(std::move(*Permit));
  }
}

// Returns whether all servers of a queue are in zones that the operator
// emptied.
bool batch_owner::isEmptied(const queue_key &Key, core_time Now) {
  bool Any = false;
  for (const std::pair<backend_state *, admission_answer> &Entry :
       Admission.survey(Key.Pool, {admission_purpose::Pieces}, Now)) {
    if (!Key.Zone.empty() && Entry.first->Entry.Zone != Key.Zone)
      continue;
    if (Entry.second.Obstacle != admission_obstacle::ZoneEmptied)
      return false;
    Any = true;
  }
  return Any;
}

// Fails jobs that have waited for a server longer than the platform's list
// takes to show a new one. Jobs in the queue of an emptied zone go to that of
// another zone as soon as none of their pieces is in a call.
void batch_owner::failUnservedJobs(const queue_key &Key, core_time Now) {
  bool Emptied = isEmptied(Key, Now);
  piece_failure Failure = Emptied && !Key.Zone.empty()
                              ? piece_failure::OwnerChanged
                              : piece_failure::NotMade;
  const std::vector<job_key> Keys = queue(Key);
  for (const job_key &Id : Keys) {
    auto Job = Jobs.find(Id);
    if (Job == Jobs.end())
      continue;
    bool Running = Job->second.Waiting.size() < Job->second.Missing;
    bool Waited = Now - Job->second.Arrived > NoServerTimeout;
    if (Emptied ? !Running : Waited)
      failJob(Id, Failure, Now);
  }
}

// Starts calls on idle servers. Without one, a long queue is only ordered when
// it is scanned: ordering it for each job would take more processor time the
// longer it is.
void batch_owner::dispatchQueue(const queue_key &Key, bool Scans,
                                core_time Now) {
  queryLoads(Key, Now);
  std::vector<planned_server> Planned = planServers(Key, Now);
  if (Planned.empty()) {
    failUnservedJobs(Key, Now);
    return;
  }
  bool AnyIdle =
      std::any_of(Planned.begin(), Planned.end(),
                  [](const planned_server &Server) { return Server.Idle; });
  if (!AnyIdle && !Scans && queue(Key).size() >= LongQueue)
    return;
  wait_estimator Estimator = makeWaitEstimator(Key, Planned);
  const std::vector<waiting_job> Waiting = waitingJobs(Key, Now);
  queue_order Order = orderQueue(Waiting, Estimator);
  const std::vector<job_key> Keys = queue(Key);
  shedLateJobs(Key, Waiting, Order, Estimator, Now);
  if (!AnyIdle)
    return;
  std::vector<job_key> Chosen;
  std::vector<planned_job> Ready;
  for (std::size_t Place : Order.Jobs) {
    auto Job = Jobs.find(Keys[Place]);
    if (Job == Jobs.end())
      continue;
    Chosen.push_back(Keys[Place]);
    Ready.push_back({&Job->second.Job,
                     {Job->second.Waiting.begin(), Job->second.Waiting.end()},
                     &Job->second.FailedServers});
  }
  for (const planned_call &Call :
       planCalls(Pools[Key.Pool], std::move(Ready), Planned)) {
    std::vector<batch_piece> Started;
    for (const std::pair<std::size_t, std::uint32_t> &Piece : Call.Pieces)
      Started.push_back({Chosen[Piece.first], Piece.second, false});
    const planned_server &Server = Planned[Call.Server];
    std::optional<call_permit> Permit =
        Admission.admit(Server.Id, {admission_purpose::Pieces}, Now);
    if (Permit)
      startBatch(Key, std::move(*Permit), Server.Slowness, std::move(Started),
                 Now);
  }
}

void batch_owner::startBatch(const queue_key &Key, call_permit Permit,
                             double Slowness, std::vector<batch_piece> Started,
                             core_time Now) {
  const backend_entry Server = Permit.server();
  batch_id Id(++LastBatch);
  batch_state Batch;
  Batch.Queue = Key;
  Batch.Server = Server;
  Batch.Started = Now;
  Batch.Expected =
      scaled(expectedCallTime(Pools[Key.Pool], Started.size()), Slowness);
  std::vector<batch_item> Items;
  for (const batch_piece &Piece : Started) {
    job_state &Job = Jobs.at(Piece.Job);
    std::erase(Job.Waiting, Piece.Piece);
    if (Job.Waiting.empty())
      std::erase(queue(Key), Piece.Job);
    Batch.Bytes += Job.Job.ResultBytes;
    Queues[Key].Shares[urgencyRank(Job.Job.Priority)].onStarted(
        Job.Job.Workspace, 1, Now);
    Items.push_back({Job.Job.Request, Job.Job.Stage, Piece.Piece,
                     Job.Job.Source, Job.Deadline - Now});
  }
  if (!queue(Key).empty()) {
    double Size = static_cast<double>(Started.size());
    double &FullCall = Queues[Key].FullCall;
    FullCall += (FullCall == 0 ? 1 : FullCallGain) * (Size - FullCall);
  }
  double Micros = static_cast<double>(Batch.Expected.count());
  double &CallMicros = Queues[Key].CallMicros;
  CallMicros += (CallMicros == 0 ? 1 : CallTimeGain) * (Micros - CallMicros);
  Pieces += Started.size();
  Batch.Pieces = std::move(Started);
  tracked_server &Tracked = TrackedServers[Server.Id];
  flushFrees(Server.Id, Tracked, Now);
  Tracked.Running = Id;
  Tracked.FreeAt = Now + Batch.Expected;
  Tracked.UsedBytes += Batch.Bytes;
  core_duration Timeout = Batch.Expected * TimeoutFactor + TimeoutMargin;
  Batch.InputsFetchedAt = Now + FetchTime;
  Batch.FetchReported = Now - Tracked.UncontendedAt > UncontendedLifetime;
  Batches.emplace(Id, std::move(Batch));
  Actions.runBatch(Id, std::move(Permit), std::move(Items), Timeout);
}

std::size_t batch_owner::waitingPieces(const pool_id &Pool,
                                       const zone_id &Zone) const {
  auto Found = Queues.find({Pool, Zone});
  std::size_t Count = 0;
  if (Found != Queues.end())
    for (const job_key &Key : Found->second.Jobs)
      Count += Jobs.at(Key).Waiting.size();
  return Count;
}

std::optional<core_time> batch_owner::nextWakeup() const {
  std::optional<core_time> Next;
  auto Consider = [&Next](core_time Time) {
    if (!Next || Time < *Next)
      Next = Time;
  };
  for (const std::pair<const batch_id, batch_state> &Entry : Batches) {
    if (!Entry.second.Overdue)
      Consider(Entry.second.overdueAt());
    if (!Entry.second.FetchReported)
      Consider(Entry.second.InputsFetchedAt);
  }
  for (const std::pair<const backend_id, tracked_server> &Tracked :
       TrackedServers) {
    if (!Tracked.second.PendingFrees.empty())
      Consider(Tracked.second.FlushAt);
    if (Tracked.second.LoadQueriedAt)
      Consider(*Tracked.second.LoadQueriedAt + LoadQueryTimeout);
  }
  for (const std::pair<const queue_key, queue_state> &Queue : Queues)
    if (!Queue.second.Jobs.empty())
      Consider(NextScan);
  return Next;
}

} // namespace jasminecroft
