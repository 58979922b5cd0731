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
constexpr double PlannedRoomPart = 0.88;
/// A call that goes to an idle server has fetched its inputs by then.
constexpr core_duration FetchTime = milliseconds(60);
/// A server that answered promptly this long ago is taken to work for no other
/// host: about the time of two calls.
constexpr core_duration PromptLifetime = std::chrono::seconds(1);
constexpr core_duration ExpiryInterval = milliseconds(500);
/// While pieces wait, what may have become possible is looked at this often:
/// room, servers that were avoided, deadlines.
constexpr core_duration WaitingInterval = milliseconds(50);
/// Inputs that have waited longer go before all others: about a third of the
/// time that results are kept.
constexpr core_duration InputPatience = milliseconds(1'200);
constexpr double FullCallGain = 0.2;
/// What a host said of its plans holds this long: about the time that the
/// earlier stages of its requests take.
constexpr core_duration PlannedLifetime = milliseconds(1'500);
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

queue_wait batch_owner::submit(const entry_host_id &Host, const piece_job &Job,
                               core_time Now) {
  job_key Key{Host, Job.Job};
  if (!Pools.contains(Job.Pool)) {
    Actions.onJobFailed(Host, Job.Job, piece_failure::NotMade);
    return {};
  }
  queue_wait Wait = expectedWait(Job.Pool, Job.QueueZone, Now);
  auto Known = Jobs.find(Key);
  if (Known != Jobs.end() && Known->second.Job.Request == Job.Request &&
      Known->second.Job.Stage == Job.Stage)
    return Wait;
  // The same number for other work comes from a later run of the host.
  dropJob(Key, Now);
  job_state State;
  State.Host = Host;
  State.Arrived = Now;
  State.Job = Job;
  State.Deadline = Now + Job.DeadlineIn;
  State.StartBy = Now + Job.StartBy;
  State.Waiting.assign(Job.Pieces.begin(), Job.Pieces.end());
  State.Missing = Job.Pieces.size();
  Jobs.emplace(Key, std::move(State));
  queue(queueOf(Job)).push_back(Key);
  for (std::size_t Piece = 0; Piece < Job.Pieces.size(); ++Piece)
    Budget.onRequest(Job.Pool, Now);
  return Wait;
}

void batch_owner::cancel(const entry_host_id &Host, piece_job_id Job,
                         core_time Now) {
  dropJob({Host, Job}, Now);
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
}

void batch_owner::failJob(const job_key &Key, piece_failure Failure,
                          core_time Now) {
  dropJob(Key, Now);
  Actions.onJobFailed(Key.first, Key.second, Failure);
}

void batch_owner::pump(core_time Now) {
  if (Now >= NextExpiry) {
    expireResults(Now);
    NextExpiry = Now + ExpiryInterval;
  }
  checkOverdue(Now);
  reportFetched(Now);
  for (const std::pair<const queue_key, queue_state> &Queue : Queues)
    if (!Queue.second.Jobs.empty())
      pumpQueue(Queue.first, Now);
  for (std::pair<const backend_id, maker_state> &Maker : Makers)
    if (!Maker.second.ToFree.empty() && Now >= Maker.second.FreeBy)
      flushFrees(Maker.first, Maker.second);
}

// First come jobs whose inputs have waited long, because these take up room
// and expire. Then jobs that can still be on time, the most pressing one before
// the others; late ones follow in the order of their deadlines.
void batch_owner::sortQueue(std::vector<job_key> &Queue, core_time Now) const {
  auto Rank = [Now](const job_state &Job) {
    if (!Job.Job.Inputs.empty() && Now - Job.Arrived > InputPatience)
      return 0;
    return Job.StartBy < Now ? 2 : 1;
  };
  std::sort(
      Queue.begin(), Queue.end(), [&](const job_key &A, const job_key &B) {
        const job_state &Left = Jobs.at(A);
        const job_state &Right = Jobs.at(B);
        int LeftRank = Rank(Left);
        int RightRank = Rank(Right);
        if (LeftRank != RightRank)
          return LeftRank < RightRank;
        core_time LeftTime = LeftRank == 2 ? Left.Deadline : Left.StartBy;
        core_time RightTime = RightRank == 2 ? Right.Deadline : Right.StartBy;
        if (LeftTime != RightTime)
          return LeftTime < RightTime;
        return A < B;
      });
}

// Tells the hosts of jobs that cannot be made before their deadline. Jobs for
// which nothing was made yet are also turned away once they are late and the
// queue is long: their callers do better to come back than to wait behind
// those that can be on time.
void batch_owner::dropHopeless(const queue_key &Key, core_time Now) {
  core_duration Least = expectedCallTime(Pools[Key.Pool], 1);
  bool Long = expectedWait(Key.Pool, Key.Zone, Now).Late > LongestLateWait;
  std::vector<job_key> Hopeless;
  for (const job_key &Id : queue(Key)) {
    const job_state &Job = Jobs.at(Id);
    bool Untouched =
        Job.Job.Inputs.empty() && Job.Waiting.size() == Job.Job.Pieces.size();
    bool Late = Job.StartBy < Now;
    if (Job.Deadline < Now + Least || (Untouched && Late && Long))
      Hopeless.push_back(Id);
  }
  for (const job_key &Id : Hopeless)
    failJob(Id, piece_failure::Late, Now);
}

std::vector<planned_server> batch_owner::planServers(const queue_key &Key,
                                                     core_time Now) {
  std::vector<planned_server> Result;
  const batch_rules &Rules = Pools[Key.Pool];
  std::uint64_t Room = static_cast<std::uint64_t>(
      static_cast<double>(Rules.RoomBytes) * PlannedRoomPart);
  for (const backend_state *Server : Servers.usable(Key.Pool, Now)) {
    if (!Key.Zone.empty() && Server->Entry.Zone != Key.Zone)
      continue;
    maker_state &Maker = Makers[Server->Entry.Id];
    Maker.RoomBytes = Rules.RoomBytes;
    planned_server Planned;
    Planned.Id = Server->Entry.Id;
    Planned.Zone = Server->Entry.Zone;
    core_time FreeAt = std::max({Now, Maker.BlockedUntil, Server->AvoidUntil});
    Planned.Idle = !Maker.Running && FreeAt == Now;
    if (Maker.Running)
      FreeAt = std::max(FreeAt, Maker.FreeAt);
    Planned.FreeIn = FreeAt - Now;
    Planned.Slowness = slowness(Maker, Now);
    Planned.RoomLeft = Room > Maker.RoomUsed ? Room - Maker.RoomUsed : 0;
    Result.push_back(std::move(Planned));
  }
  return Result;
}

void batch_owner::pumpQueue(const queue_key &Key, core_time Now) {
  dropHopeless(Key, Now);
  std::vector<planned_server> Planned = planServers(Key, Now);
  bool AnyIdle =
      std::any_of(Planned.begin(), Planned.end(),
                  [](const planned_server &Server) { return Server.Idle; });
  if (!AnyIdle || queue(Key).empty())
    return;
  sortQueue(queue(Key), Now);
  const std::vector<job_key> Order = queue(Key);
  std::vector<planned_job> Waiting;
  for (const job_key &Id : Order) {
    const job_state &Job = Jobs.at(Id);
    Waiting.push_back(
        {&Job.Job, {Job.Waiting.begin(), Job.Waiting.end()}, &Job.Avoid});
  }
  for (const planned_call &Call :
       planCalls(Pools[Key.Pool], std::move(Waiting), Planned)) {
    std::vector<batch_piece> Started;
    for (const std::pair<std::size_t, std::uint32_t> &Piece : Call.Pieces)
      Started.push_back({Order[Piece.first], Piece.second, false});
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
  auto Found = Pools.find(Pool);
  if (Found == Pools.end())
    return {};
  const batch_rules &Rules = Found->second;
  std::vector<core_duration> Busy;
  for (const planned_server &Server : planServers({Pool, Zone}, Now))
    Busy.push_back(Server.FreeIn);
  if (Busy.empty())
    return {NoServerWait, NoServerWait, 0, core_duration{0}};
  std::sort(Busy.begin(), Busy.end());
  const queue_state &Queue = Queues[{Pool, Zone}];
  std::size_t Full = Rules.MaxPieces;
  if (Queue.FullCall > 0)
    Full = static_cast<std::size_t>(std::lround(Queue.FullCall));
  Full = std::max<std::size_t>(Full, 1);
  std::size_t OnTime = 0;
  std::size_t All = 0;
  for (const job_key &Key : Queue.Jobs) {
    const job_state &Job = Jobs.at(Key);
    All += Job.Waiting.size();
    OnTime += Job.StartBy < Now ? 0 : Job.Waiting.size();
  }
  auto WaitBehind = [&](std::size_t Pieces) {
    std::size_t Call = Pieces / Full;
    return Busy[Call % Busy.size()] +
           expectedCallTime(Rules, Full) *
               static_cast<std::int64_t>(Call / Busy.size());
  };
  double Call =
      std::chrono::duration<double>(expectedCallTime(Rules, Full)).count();
  double Rate = static_cast<double>(Busy.size() * Full) / std::max(Call, 1e-3);
  std::uint64_t Planned = 0;
  for (const std::pair<const entry_host_id, queue_state::planned> &Host :
       Queue.Planned)
    if (Now - Host.second.At < PlannedLifetime)
      Planned += Host.second.Pieces;
  core_duration PlannedTime(
      static_cast<std::int64_t>(static_cast<double>(Planned) / Rate * 1e6));
  return {WaitBehind(OnTime), WaitBehind(All), static_cast<std::uint32_t>(Rate),
          PlannedTime};
}

void batch_owner::onPlanned(const entry_host_id &Host, const pool_id &Pool,
                            const zone_id &Zone, std::uint32_t Pieces,
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

std::optional<core_time> batch_owner::nextWakeup(core_time Now) const {
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
  for (const std::pair<const backend_id, maker_state> &Maker : Makers)
    if (!Maker.second.ToFree.empty())
      Consider(Maker.second.FreeBy);
  for (const std::pair<const queue_key, queue_state> &Queue : Queues)
    if (!Queue.second.Jobs.empty())
      Consider(Now + WaitingInterval);
  return Next;
}

} // namespace jasminecroft
