// Queue order, batches and what becomes of their pieces.
#include "jasminecroft/core/serving/batch_owner.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// A call is given up after this many times its expected time.
constexpr int TimeoutFactor = 6;
constexpr core_duration TimeoutPause = milliseconds(500);
/// Part of a server's room that is planned with: sizes of results are
/// approximate.
constexpr double PlannedRoomPart = 0.97;
/// A call that goes to an idle server has fetched its inputs by then.
constexpr core_duration FetchTime = milliseconds(60);
/// A server that answered promptly this long ago is taken to work for no other
/// host: about the time of two calls.
constexpr core_duration PromptLifetime = std::chrono::seconds(1);
/// A server that has not said its load by then is used without knowing it.
constexpr core_duration LoadAnswerTime = milliseconds(100);
/// Results that were made for other hosts are used up in about this time.
constexpr core_duration OthersFade = milliseconds(1'500);
constexpr core_duration ExpiryInterval = milliseconds(500);
/// While pieces wait, what may have become possible is looked at this often:
/// room, servers that were avoided, deadlines.
constexpr core_duration WaitingInterval = milliseconds(50);
/// Inputs that have waited longer go before all others: about a third of the
/// time that results are kept.
constexpr core_duration InputPatience = milliseconds(1'200);
constexpr double FullCallGain = 0.2;
/// Weight of the newest call in the smoothed time of calls.
constexpr double CallTimeGain = 0.1;
/// What a host said of its plans holds this long: about the time that the
/// earlier stages of its requests take.
constexpr core_duration PlannedLifetime = milliseconds(1'500);
/// Jobs wait this long for a server of their queue: about the time that a new
/// host needs for the platform's list.
constexpr core_duration NoServerPatience = milliseconds(500);
/// Said when no server of the pool is known.
constexpr core_duration NoServerWait = std::chrono::hours(1);

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
  dropEarlierRuns(Host, Now);
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
  // What the host had planned has come.
  std::uint32_t &Planned =
      Queues[queueOf(Job)].Planned[Host.Host].Pieces[urgencyRank(Job.Priority)];
  Planned -= std::min(Planned, static_cast<std::uint32_t>(Job.Pieces.size()));
  for (std::size_t Piece = 0; Piece < Job.Pieces.size(); ++Piece)
    Budget.onRequest(Job.Pool, Now);
  return Wait;
}

void batch_owner::cancel(const host_run &Host, piece_job_id Job,
                         core_time Now) {
  dropJob({Host, Job}, Now);
}

// Nobody waits for what an earlier run of a host has asked for.
void batch_owner::dropEarlierRuns(const host_run &Host, core_time Now) {
  std::vector<job_key> Earlier;
  for (auto It = Jobs.lower_bound({{Host.Host, incarnation()}, piece_job_id()});
       It != Jobs.end() && It->first.first < Host; ++It)
    Earlier.push_back(It->first);
  for (const job_key &Key : Earlier)
    dropJob(Key, Now);
}

void batch_owner::handOver(
    const std::function<bool(const pool_id &, const zone_id &)> &IsOwn,
    core_time Now) {
  std::vector<job_key> Given;
  for (const std::pair<const queue_key, queue_state> &Queue : Queues)
    if (!Queue.second.Jobs.empty() &&
        !IsOwn(Queue.first.Pool, Queue.first.Zone))
      for (const job_key &Key : Queue.second.Jobs)
        if (Jobs.at(Key).Waiting.size() == Jobs.at(Key).Job.Pieces.size())
          Given.push_back(Key);
  for (const job_key &Key : Given)
    failJob(Key, piece_failure::OwnerChanged, Now);
}

void batch_owner::dropJob(const job_key &Key, core_time Now) {
  auto Found = Jobs.find(Key);
  if (Found == Jobs.end())
    return;
  for (const made_piece &Made : Found->second.Made)
    release({Made.Result}, Now);
  std::erase(queue(queueOf(Found->second.Job)), Key);
  Jobs.erase(Found);
  Changed = true;
}

void batch_owner::failJob(const job_key &Key, piece_failure Failure,
                          core_time Now) {
  dropJob(Key, Now);
  Actions.onJobFailed(Key.first.Host, Key.second, Failure);
}

void batch_owner::pump(core_time Now) {
  if (Now >= NextExpiry) {
    expireResults(Now);
    NextExpiry = Now + ExpiryInterval;
  }
  checkOverdue(Now);
  reportFetched(Now);
  for (std::pair<const backend_id, maker_state> &Maker : Makers)
    if (Maker.second.AskedAt && Now >= *Maker.second.AskedAt + LoadAnswerTime)
      onServerLoad(Maker.first, std::nullopt, Now);
  if (Changed || Now >= LookAt) {
    Changed = false;
    LookAt = Now + WaitingInterval;
    for (const std::pair<const queue_key, queue_state> &Queue : Queues)
      if (!Queue.second.Jobs.empty())
        pumpQueue(Queue.first, Now);
  }
  for (std::pair<const backend_id, maker_state> &Maker : Makers)
    if (!Maker.second.ToFree.empty() && Now >= Maker.second.FreeBy)
      flushFrees(Maker.first, Maker.second);
}

queue_speed batch_owner::speedOf(const queue_key &Key,
                                 const std::vector<planned_server> &Servers) {
  const batch_rules &Rules = Pools[Key.Pool];
  double Full = Queues[Key].FullCall;
  std::size_t PerCall =
      Full > 0 ? static_cast<std::size_t>(std::lround(Full)) : Rules.MaxPieces;
  core_duration Call =
      expectedCallTime(Rules, std::max<std::size_t>(PerCall, 1));
  std::vector<queue_speed::server> Speeds;
  Speeds.reserve(Servers.size());
  for (const planned_server &Server : Servers)
    Speeds.push_back({Server.FreeIn, scaled(Call, Server.Slowness)});
  return {std::move(Speeds), PerCall, Call};
}

// The jobs of a queue as the order sees them.
std::vector<waiting_job> batch_owner::waitingJobs(const queue_key &Key,
                                                  core_time Now) {
  std::vector<waiting_job> Result;
  for (const job_key &Id : queue(Key)) {
    const job_state &Job = Jobs.at(Id);
    waiting_job Waiting;
    Waiting.StartIn = Job.StartBy - Now;
    Waiting.DeadlineIn = Job.Deadline - Now;
    Waiting.Pieces = Job.Waiting.size();
    Waiting.Priority = Job.Job.Priority;
    Waiting.Begun =
        !Job.Job.Inputs.empty() || Job.Missing < Job.Job.Pieces.size();
    Waiting.Pressing =
        !Job.Job.Inputs.empty() && Now - Job.Arrived > InputPatience;
    Waiting.Workspace = Job.Job.Workspace;
    Result.push_back(std::move(Waiting));
  }
  return Result;
}

// Tells the hosts of jobs that cannot be made before their deadline. Jobs for
// which nothing was made yet are also turned away if they will be late and the
// queue is long: their callers do better to come back than to wait behind
// those that can be on time.
void batch_owner::dropHopeless(const queue_key &Key,
                               const std::vector<waiting_job> &Waiting,
                               const queue_order &Order, bool Long,
                               core_time Now) {
  core_duration Least = expectedCallTime(Pools[Key.Pool], 1);
  const std::vector<job_key> Ids = queue(Key);
  for (std::size_t Place = 0; Place < Order.Jobs.size(); ++Place) {
    const waiting_job &Job = Waiting[Order.Jobs[Place]];
    bool Late = Place >= Order.OnTime;
    if (Job.DeadlineIn < Least || (Late && !Job.Begun && Long))
      failJob(Ids[Order.Jobs[Place]], piece_failure::Late, Now);
  }
}

std::vector<planned_server> batch_owner::planServers(const queue_key &Key,
                                                     core_time Now) {
  std::vector<planned_server> Result;
  const batch_rules &Rules = Pools[Key.Pool];
  std::uint64_t Room = static_cast<std::uint64_t>(
      static_cast<double>(Rules.ResultCapacityBytes) * PlannedRoomPart);
  for (const backend_state *Server : Servers.usable(Key.Pool, Now)) {
    if (!Key.Zone.empty() && Server->Entry.Zone != Key.Zone)
      continue;
    maker_state &Maker = Makers[Server->Entry.Id];
    Maker.ResultCapacityBytes = Rules.ResultCapacityBytes;
    planned_server Planned;
    Planned.Id = Server->Entry.Id;
    Planned.Zone = Server->Entry.Zone;
    core_time FreeAt = std::max({Now, Maker.BlockedUntil, Server->AvoidUntil});
    bool Asked = Maker.AskedAt && Now - *Maker.AskedAt < LoadAnswerTime;
    Planned.Idle = !Maker.Running && FreeAt == Now && !Asked;
    if (Maker.Running)
      FreeAt = std::max(FreeAt, Maker.FreeAt);
    Planned.FreeIn = FreeAt - Now;
    Planned.Slowness = slowness(Maker, Now);
    std::uint64_t Taken = Maker.RoomUsed + othersBytes(Maker, Now);
    Planned.RoomLeft = Room > Taken ? Room - Taken : 0;
    Result.push_back(std::move(Planned));
  }
  return Result;
}

std::uint64_t batch_owner::othersBytes(const maker_state &Maker,
                                       core_time Now) const {
  double Age = std::chrono::duration<double>(Now - Maker.OthersAt).count();
  double Fade = std::chrono::duration<double>(OthersFade).count();
  return static_cast<std::uint64_t>(static_cast<double>(Maker.OthersBytes) *
                                    std::clamp(1 - Age / Fade, 0.0, 1.0));
}

// Asks the idle servers of a queue of which it is not known what room they
// have: this host has just become the owner, or a piece found no room.
void batch_owner::askServers(const queue_key &Key, core_time Now) {
  for (const backend_state *Server : Servers.usable(Key.Pool, Now)) {
    if (!Key.Zone.empty() && Server->Entry.Zone != Key.Zone)
      continue;
    maker_state &Maker = Makers[Server->Entry.Id];
    if (Maker.Running || Maker.AskedAt || Now < Maker.KnownUntil ||
        Now < Server->AvoidUntil)
      continue;
    Maker.AskedAt = Now;
    Actions.readServer(Server->Entry);
  }
}

// Without servers jobs wait only as long as news of one may take.
void batch_owner::giveBackUnserved(const queue_key &Key, core_time Now) {
  const std::vector<job_key> Ids = queue(Key);
  for (const job_key &Id : Ids)
    if (Now - Jobs.at(Id).Arrived > NoServerPatience)
      failJob(Id, piece_failure::NotMade, Now);
}

void batch_owner::pumpQueue(const queue_key &Key, core_time Now) {
  askServers(Key, Now);
  std::vector<planned_server> Planned = planServers(Key, Now);
  if (Planned.empty()) {
    giveBackUnserved(Key, Now);
    return;
  }
  queue_speed Speed = speedOf(Key, Planned);
  const std::vector<waiting_job> Waiting = waitingJobs(Key, Now);
  queue_order Order = orderQueue(Waiting, Speed);
  const std::vector<job_key> Ids = queue(Key);
  std::size_t All = 0;
  for (const waiting_job &Job : Waiting)
    All += Job.Pieces;
  dropHopeless(Key, Waiting, Order, Speed.waitBehind(All) > LongestLateWait,
               Now);
  bool AnyIdle =
      std::any_of(Planned.begin(), Planned.end(),
                  [](const planned_server &Server) { return Server.Idle; });
  if (!AnyIdle)
    return;
  std::vector<job_key> Chosen;
  std::vector<planned_job> Ready;
  for (std::size_t Place : Order.Jobs) {
    auto Job = Jobs.find(Ids[Place]);
    if (Job == Jobs.end())
      continue;
    Chosen.push_back(Ids[Place]);
    Ready.push_back({&Job->second.Job,
                     {Job->second.Waiting.begin(), Job->second.Waiting.end()},
                     &Job->second.Avoid});
  }
  for (const planned_call &Call :
       planCalls(Pools[Key.Pool], std::move(Ready), Planned)) {
    std::vector<batch_piece> Started;
    for (const std::pair<std::size_t, std::uint32_t> &Piece : Call.Pieces)
      Started.push_back({Chosen[Piece.first], Piece.second, false});
    const planned_server &Server = Planned[Call.Server];
    if (const backend_state *State = Servers.find(Server.Id))
      startBatch(Key, State->Entry, Server.Slowness, std::move(Started), Now);
  }
}

void batch_owner::startBatch(const queue_key &Key, const backend_entry &Entry,
                             double Slowness, std::vector<batch_piece> Started,
                             core_time Now) {
  const backend_entry Server = Entry;
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
    Items.push_back({Job.Job.Request, Job.Job.Stage, Piece.Piece, Job.Job.Key,
                     Job.Job.Inputs, Job.Deadline - Now});
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
  maker_state &Known = Makers[Server.Id];
  flushFrees(Server.Id, Known);
  Known.Running = Id;
  Known.FreeAt = Now + Batch.Expected;
  Known.RoomUsed += Batch.Bytes;
  core_duration Timeout = Batch.Expected * TimeoutFactor + TimeoutPause;
  Batch.InputsFetchedAt = Now + FetchTime;
  Batch.FetchReported = Now - Known.PromptAt > PromptLifetime;
  Batches.emplace(Id, std::move(Batch));
  Actions.runBatch(Id, Server, std::move(Items), Timeout);
}

queue_wait batch_owner::expectedWait(const pool_id &Pool, const zone_id &Zone,
                                     core_time Now) {
  if (!Pools.contains(Pool))
    return {};
  queue_key Key{Pool, Zone};
  queue_wait Result;
  std::vector<planned_server> Planned = planServers(Key, Now);
  if (Planned.empty()) {
    Result.OnTime.fill(NoServerWait);
    Result.Late = NoServerWait;
    return Result;
  }
  queue_speed Speed = speedOf(Key, Planned);
  const std::vector<waiting_job> Waiting = waitingJobs(Key, Now);
  queue_order Order = orderQueue(Waiting, Speed);
  std::size_t All = 0;
  by_urgency<std::size_t> Before{};
  for (std::size_t Place = 0; Place < Order.Jobs.size(); ++Place) {
    const waiting_job &Job = Waiting[Order.Jobs[Place]];
    All += Job.Pieces;
    if (Place < Order.OnTime)
      Before[urgencyRank(Job.Priority)] += Job.Pieces;
  }
  std::size_t Ahead = 0;
  std::size_t Coming = 0;
  for (std::size_t Rank = 0; Rank < UrgencyRanks; ++Rank) {
    Ahead += Before[Rank];
    for (const std::pair<const entry_host_id, queue_state::planned> &Host :
         Queues[Key].Planned)
      if (Now - Host.second.At < PlannedLifetime)
        Coming += Host.second.Pieces[Rank];
    Result.OnTime[Rank] = Speed.waitBehind(Ahead);
    Result.Planned[Rank] =
        Speed.waitBehind(Ahead + Coming) - Result.OnTime[Rank];
  }
  Result.Late = Speed.waitBehind(All);
  Result.Call =
      core_duration(static_cast<std::int64_t>(Queues[Key].CallMicros));
  return Result;
}

void batch_owner::onPlanned(const entry_host_id &Host, const pool_id &Pool,
                            const zone_id &Zone,
                            const by_urgency<std::uint32_t> &Pieces,
                            core_time Now) {
  if (Pools.contains(Pool))
    Queues[{Pool, Zone}].Planned[Host] = {Pieces, Now};
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
  for (const std::pair<const backend_id, maker_state> &Maker : Makers) {
    if (!Maker.second.ToFree.empty())
      Consider(Maker.second.FreeBy);
    if (Maker.second.AskedAt)
      Consider(*Maker.second.AskedAt + LoadAnswerTime);
  }
  for (const std::pair<const queue_key, queue_state> &Queue : Queues)
    if (!Queue.second.Jobs.empty())
      Consider(LookAt);
  return Next;
}

} // namespace jasminecroft
