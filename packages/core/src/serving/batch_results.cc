// Completion of batch calls: results, failures, overdue calls, and accounting
// of the result capacity in use.
#include "jasminecroft/core/serving/batch_owner.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// A call is overdue after this multiple of its expected time plus a margin;
/// its pieces are then retried on other servers.
constexpr double OverdueFactor = 2.5;
constexpr core_duration OverdueMargin = milliseconds(150);
/// Backoff after a server refused a call because it is full: about the time
/// until a call started by another owner ends.
constexpr core_duration RefusedBackoff = milliseconds(120);
/// Number of servers that may fail to execute pieces of a job before it fails.
constexpr std::size_t MaxFailedServers = 3;
/// Time constant of the exponential decay of a server's slowness.
constexpr double SlownessDecaySeconds = 3;
constexpr double SlownessGain = 0.5;
/// A call that takes longer than this multiple of its expected time was queued
/// behind another host's call or ran on a slow server.
constexpr double UncontendedFactor = 1.3;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 8;
/// A server busy with another host's call is blocked for the time of a full
/// call divided by this: on average half of that call is over.
constexpr int BusyBlockDivisor = 2;
/// A server's free capacity is considered known for this long without a call:
/// about the lifetime of unused results.
constexpr core_duration LoadLifetime = std::chrono::seconds(4);
/// Frees are collected into one call for this long.
constexpr core_duration FreeDelay = milliseconds(100);
constexpr std::size_t MaxFreesPerCall = 64;
/// Results are freed without delay if stored results and those in production
/// use more than this fraction of a server's capacity.
constexpr double HighUsageFraction = 0.4;

// Handles begin with the address of the server that stores the result.
endpoint addressOf(const result_handle &Result) {
  return endpoint(Result.Value.substr(0, Result.Value.find('/')));
}

} // namespace

void batch_owner::onBatchAnswered(batch_id Id,
                                  const std::vector<batch_item_result> &Results,
                                  core_time Now) {
  auto Found = Batches.find(Id);
  if (Found == Batches.end())
    return;
  if (Results.size() != Found->second.Pieces.size()) {
    onBatchFailed(Id, batch_failure::Broken, Now);
    return;
  }
  batch_state Batch = std::move(Found->second);
  Batches.erase(Found);
  Changed = true;
  tracked_server &Tracked = TrackedServers[Batch.Server.Id];
  if (Tracked.Running == Id)
    Tracked.Running.reset();
  Tracked.UsedBytes -= std::min(Tracked.UsedBytes, Batch.Bytes);
  bool Uncontended =
      Now - Batch.Started <= scaled(Batch.Expected, UncontendedFactor);
  Tracked.UncontendedAt = Uncontended ? Now : core_time{};
  Tracked.LoadKnownUntil = Now + LoadLifetime;
  updateSlowness(Batch, Now);
  reportBatch(Batch, std::nullopt, Now);
  Servers.onCallSucceeded(Batch.Server.Id, 0);
  for (std::size_t I = 0; I < Results.size(); ++I)
    handleResult(Batch, Batch.Pieces[I], Results[I], Now);
  for (const batch_piece &Piece : Batch.Pieces) {
    auto Job = Jobs.find(Piece.Job);
    if (Job == Jobs.end() || Job->second.Missing > 0)
      continue;
    std::vector<completed_piece> Completed = std::move(Job->second.Completed);
    const piece_job Ended = Job->second.Job;
    removeJob(Piece.Job, Now);
    Actions.onPiecesCompleted(Piece.Job.first.Host, Ended,
                              std::move(Completed));
  }
}

void batch_owner::recordResult(const batch_state &Batch,
                               const result_handle &Result, std::uint64_t Bytes,
                               core_time Now) {
  core_duration Lifetime = Pools[Batch.Queue.Pool].ResultLifetime;
  StoredResults[Result] = {Batch.Server.Id, Bytes, Now + Lifetime};
  TrackedServers[Batch.Server.Id].UsedBytes += Bytes;
}

void batch_owner::handleResult(const batch_state &Batch,
                               const batch_piece &Piece,
                               const batch_item_result &Result, core_time Now) {
  auto Found = Jobs.find(Piece.Job);
  bool Wanted = Found != Jobs.end() &&
                std::none_of(Found->second.Completed.begin(),
                             Found->second.Completed.end(),
                             [&Piece](const completed_piece &Completed) {
                               return Completed.Piece == Piece.Piece;
                             });
  if (!Wanted) {
    if (Result.succeeded())
      queueFree(Batch.Server.Id, Result.Result, Now);
    return;
  }
  job_state &Job = Found->second;
  if (Result.succeeded()) {
    // A piece of an overdue call may have been queued again.
    if (std::erase(Job.Waiting, Piece.Piece) > 0 && Job.Waiting.empty())
      std::erase(queue(Batch.Queue), Piece.Job);
    recordResult(Batch, Result.Result, Job.Job.ResultBytes, Now);
    Job.Completed.push_back({Piece.Piece, Result.Result, Batch.Server.Zone});
    --Job.Missing;
    return;
  }
  if (Piece.Requeued)
    return;
  switch (Result.Problem) {
  case batch_item_problem::Late:
    failJob(Piece.Job, piece_failure::Late, Now);
    return;
  case batch_item_problem::InputGone:
    failJob(Piece.Job, piece_failure::InputGone, Now);
    return;
  case batch_item_problem::NoCapacity:
    // The server did no work for it, so it is not charged to the retry budget.
    TrackedServers[Batch.Server.Id].LoadKnownUntil = Now;
    requeue(Piece);
    return;
  case batch_item_problem::Error:
    Job.FailedServers.insert(Batch.Server.Id);
    break;
  }
  if (Budget.tryAcquire(Batch.Queue.Pool, 1, Now))
    requeue(Piece);
  else
    failJob(Piece.Job, piece_failure::NotMade, Now);
}

void batch_owner::onServerLoad(const backend_id &Server,
                               const std::optional<pieces_load> &Load,
                               core_time Now) {
  tracked_server &Tracked = TrackedServers[Server];
  Tracked.LoadQueriedAt.reset();
  Tracked.LoadKnownUntil = Now + LoadLifetime;
  Changed = true;
  const backend_state *State = Servers.find(Server);
  auto Rules = State ? Pools.find(State->Entry.Pool) : Pools.end();
  if (!Load || Rules == Pools.end())
    return;
  std::uint64_t Taken =
      Load->FreeBytes < Rules->second.ResultCapacityBytes
          ? Rules->second.ResultCapacityBytes - Load->FreeBytes
          : 0;
  Tracked.ExternalBytes =
      Taken > Tracked.UsedBytes ? Taken - Tracked.UsedBytes : 0;
  Tracked.ExternalBytesAt = Now;
  if (Load->Busy && !Tracked.Running)
    Tracked.BlockedUntil =
        Now + expectedCallTime(Rules->second, Rules->second.MaxPieces) /
                  BusyBlockDivisor;
}

void batch_owner::requeue(const batch_piece &Piece) {
  auto Found = Jobs.find(Piece.Job);
  if (Found == Jobs.end())
    return;
  std::deque<std::uint32_t> &Waiting = Found->second.Waiting;
  if (std::find(Waiting.begin(), Waiting.end(), Piece.Piece) != Waiting.end())
    return;
  if (Waiting.empty())
    queue(queueOf(Found->second.Job)).push_back(Piece.Job);
  Waiting.push_back(Piece.Piece);
  Changed = true;
}

void batch_owner::onBatchFailed(batch_id Id, batch_failure Failure,
                                core_time Now) {
  auto Found = Batches.find(Id);
  if (Found == Batches.end())
    return;
  batch_state Batch = std::move(Found->second);
  Batches.erase(Found);
  Changed = true;
  tracked_server &Tracked = TrackedServers[Batch.Server.Id];
  if (Tracked.Running == Id)
    Tracked.Running.reset();
  Tracked.UsedBytes -= std::min(Tracked.UsedBytes, Batch.Bytes);
  if (Failure == batch_failure::Gone)
    Servers.markLeaving(Batch.Server.Id);
  else if (Failure == batch_failure::Refused)
    Tracked.BlockedUntil = Now + RefusedBackoff;
  else
    Servers.onCallFailed(Batch.Server.Id, Now);
  reportBatch(Batch, Failure, Now);
  bool ServerFault =
      Failure == batch_failure::Broken || Failure == batch_failure::TimedOut;
  retryPieces(Batch, ServerFault, Failure != batch_failure::NotConnected, Now);
}

// Queues the pieces of a batch again as far as the retry budget allows; the
// jobs of the other pieces fail.
void batch_owner::retryPieces(batch_state &Batch, bool ServerFault,
                              bool Charged, core_time Now) {
  for (batch_piece &Piece : Batch.Pieces) {
    auto Job = Jobs.find(Piece.Job);
    if (Piece.Requeued || Job == Jobs.end())
      continue;
    if (ServerFault)
      Job->second.FailedServers.insert(Batch.Server.Id);
    Piece.Requeued = true;
    bool Exhausted = Job->second.FailedServers.size() >= MaxFailedServers ||
                     (Charged && !Budget.tryAcquire(Batch.Queue.Pool, 1, Now));
    if (Exhausted)
      failJob(Piece.Job, piece_failure::NotMade, Now);
    else
      requeue(Piece);
  }
}

core_time batch_owner::batch_state::overdueAt() const {
  return Started + scaled(Expected, OverdueFactor) + OverdueMargin;
}

// Notifies hosts of jobs whose pieces are all in calls that the inputs are no
// longer needed: the inputs use result capacity on the servers that store them.
void batch_owner::reportFetched(core_time Now) {
  for (std::pair<const batch_id, batch_state> &Entry : Batches) {
    batch_state &Batch = Entry.second;
    if (Batch.FetchReported || Now < Batch.InputsFetchedAt)
      continue;
    Batch.FetchReported = true;
    std::set<job_key> Fetched;
    for (const batch_piece &Piece : Batch.Pieces) {
      auto Job = Jobs.find(Piece.Job);
      if (Job == Jobs.end())
        continue;
      ++Job->second.Fetched;
      bool All = Job->second.Fetched == Job->second.Job.Pieces.size();
      if (All && !resultsOf(Job->second.Job.Source).empty())
        Fetched.insert(Piece.Job);
    }
    for (const job_key &Key : Fetched)
      Actions.onInputsFetched(Key.first.Host, Key.second);
  }
}

// Queues the pieces of overdue calls again, to run on other servers as well.
void batch_owner::checkOverdue(core_time Now) {
  for (std::pair<const batch_id, batch_state> &Entry : Batches) {
    batch_state &Batch = Entry.second;
    if (Batch.Overdue || Now < Batch.overdueAt())
      continue;
    Batch.Overdue = true;
    Servers.onCallFailed(Batch.Server.Id, Now);
    updateSlowness(Batch, Now);
    reportBatch(Batch, std::nullopt, Now);
    for (batch_piece &Piece : Batch.Pieces) {
      auto Job = Jobs.find(Piece.Job);
      if (Job == Jobs.end() || !Budget.tryAcquire(Batch.Queue.Pool, 1, Now))
        continue;
      Job->second.FailedServers.insert(Batch.Server.Id);
      Piece.Requeued = true;
      requeue(Piece);
    }
  }
}

void batch_owner::updateSlowness(const batch_state &Batch, core_time Now) {
  tracked_server &Tracked = TrackedServers[Batch.Server.Id];
  double Expected = static_cast<double>(
      expectedCallTime(Pools[Batch.Queue.Pool], Batch.Pieces.size()).count());
  double Ratio = static_cast<double>((Now - Batch.Started).count()) / Expected;
  double Current = slowness(Tracked, Now);
  Tracked.Slowness = std::clamp(Current + SlownessGain * (Ratio - Current),
                                MinSlowness, MaxSlowness);
  Tracked.SlownessAt = Now;
}

void batch_owner::reportBatch(const batch_state &Batch,
                              std::optional<batch_failure> Failure,
                              core_time Now) {
  batch_report Report;
  Report.Server = Batch.Server.Id;
  Report.Pool = Batch.Queue.Pool;
  Report.Pieces = Batch.Pieces.size();
  Report.Expected = Batch.Expected;
  Report.Elapsed = Now - Batch.Started;
  Report.Failure = Failure;
  Report.Overdue = Batch.Overdue;
  const tracked_server &Tracked = TrackedServers[Batch.Server.Id];
  if (Tracked.CapacityBytes > 0)
    Report.CapacityPercent = static_cast<std::uint32_t>(
        Tracked.UsedBytes * 100 / Tracked.CapacityBytes);
  Report.Waiting = waitingPieces(Batch.Queue.Pool, Batch.Queue.Zone);
  Actions.onBatchEnded(Report);
}

double batch_owner::slowness(const tracked_server &Tracked,
                             core_time Now) const {
  double Age = std::chrono::duration<double>(Now - Tracked.SlownessAt).count();
  return 1 + (Tracked.Slowness - 1) * std::exp(-Age / SlownessDecaySeconds);
}

void batch_owner::release(const std::vector<result_handle> &Results,
                          core_time Now) {
  for (const result_handle &Result : Results) {
    auto Found = StoredResults.find(Result);
    if (Found != StoredResults.end())
      queueFree(Found->second.Server, Result, Now);
    else if (const backend_state *State =
                 Servers.findByAddress(addressOf(Result)))
      queueFree(State->Entry.Id, Result, Now);
  }
}

void batch_owner::queueFree(const backend_id &Server,
                            const result_handle &Result, core_time Now) {
  tracked_server &Tracked = TrackedServers[Server];
  std::uint64_t Used = Tracked.UsedBytes;
  // Kept until the end: Server and Result may be parts of it.
  result_table::node_type Stored = StoredResults.extract(Result);
  if (Stored)
    Tracked.UsedBytes -= std::min(Tracked.UsedBytes, Stored.mapped().Bytes);
  Changed = true;
  if (Tracked.PendingFrees.empty())
    Tracked.FlushAt = Now + FreeDelay;
  Tracked.PendingFrees.push_back(Result);
  bool HighUsage =
      static_cast<double>(Used) >
      HighUsageFraction * static_cast<double>(Tracked.CapacityBytes);
  if (HighUsage)
    Tracked.FlushAt = Now;
  if (Tracked.PendingFrees.size() >= MaxFreesPerCall)
    flushFrees(Server, Tracked, Now);
}

// Frees that have to wait may expire by themselves meanwhile.
void batch_owner::flushFrees(const backend_id &Id, tracked_server &Tracked,
                             core_time Now) {
  if (Tracked.PendingFrees.empty())
    return;
  const call_subject Subject{admission_purpose::FreeResults};
  const backend_state *Server = Servers.find(Id);
  admission_answer Answer;
  if (Server)
    Answer = Admission.check(*Server, Subject, Now);
  if (Answer.Until) {
    if (Answer.Obstacle == admission_obstacle::Limited)
      Servers.wantPermit(Server->Entry);
    Tracked.FlushAt = *Answer.Until;
    if (Tracked.PendingFrees.size() > MaxFreesPerCall)
      Tracked.PendingFrees.clear();
    return;
  }
  std::vector<result_handle> Results = std::move(Tracked.PendingFrees);
  Tracked.PendingFrees.clear();
  if (std::optional<call_permit> Permit = Admission.admit(Id, Subject, Now))
    Actions.freeResults(std::move(*Permit), std::move(Results));
}

void batch_owner::expireResults(core_time Now) {
  for (auto It = StoredResults.begin(); It != StoredResults.end();) {
    if (It->second.Expires > Now) {
      ++It;
      continue;
    }
    tracked_server &Tracked = TrackedServers[It->second.Server];
    Tracked.UsedBytes -= std::min(Tracked.UsedBytes, It->second.Bytes);
    It = StoredResults.erase(It);
  }
}

} // namespace jasminecroft
