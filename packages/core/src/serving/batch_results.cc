// What becomes of calls for pieces: results, failures, overdue calls, and the
// room that results take up.
#include "jasminecroft/core/serving/batch_owner.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// A call is overdue after this many times its expected time and a pause; its
/// pieces are then made elsewhere.
constexpr double OverdueFactor = 2.5;
constexpr core_duration OverduePause = milliseconds(150);
/// Pause of a server that refused a call because it is full: about the time
/// after which a call that another owner started ends.
constexpr core_duration FullPause = milliseconds(120);
/// Servers that may fail to make pieces of one job before it is given up.
constexpr std::size_t MaxFailedServers = 3;
/// Time in which what is known of a server's slowness fades by two thirds.
constexpr double SlownessFadeSeconds = 3;
constexpr double SlownessGain = 0.5;
/// A call that takes longer than this many times its expected time waited for
/// another host's call or met a slow server.
constexpr double PromptFactor = 1.3;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 8;
/// A server that works on another host's call is left alone for the time of a
/// full call divided by this: half of it is over in the mean.
constexpr int BusyPart = 2;
/// What is known of a server's room holds this long without a call: about the
/// time that unused results are kept.
constexpr core_duration KnownTime = std::chrono::seconds(4);
/// Results to be freed are collected this long into one call.
constexpr core_duration FreeDelay = milliseconds(100);
constexpr std::size_t MaxFreesPerCall = 64;
/// Results are freed at once if they and what is being made take up more than
/// this part of a server's room.
constexpr double TightRoomPart = 0.4;

// Handles begin with the address of the server that keeps the result.
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
  maker_state &Maker = Makers[Batch.Server.Id];
  if (Maker.Running == Id)
    Maker.Running.reset();
  Maker.RoomUsed -= std::min(Maker.RoomUsed, Batch.Bytes);
  bool Prompt = Now - Batch.Started <= scaled(Batch.Expected, PromptFactor);
  Maker.PromptAt = Prompt ? Now : core_time{};
  Maker.KnownUntil = Now + KnownTime;
  observe(Batch, Now);
  report(Batch, std::nullopt, Now);
  Servers.onCallSucceeded(Batch.Server.Id, 0);
  for (std::size_t I = 0; I < Results.size(); ++I)
    takeResult(Batch, Batch.Pieces[I], Results[I], Now);
  for (const batch_piece &Piece : Batch.Pieces) {
    auto Job = Jobs.find(Piece.Job);
    if (Job == Jobs.end() || Job->second.Missing > 0)
      continue;
    std::vector<made_piece> Made = std::move(Job->second.Made);
    const piece_job Ended = Job->second.Job;
    dropJob(Piece.Job, Now);
    Actions.onPiecesMade(Piece.Job.first.Host, Ended, std::move(Made));
  }
}

void batch_owner::keepResult(const batch_state &Batch,
                             const result_handle &Result, std::uint64_t Bytes,
                             core_time Now) {
  core_duration Lifetime = Pools[Batch.Queue.Pool].ResultLifetime;
  Kept[Result] = {Batch.Server.Id, Bytes, Now + Lifetime};
  Makers[Batch.Server.Id].RoomUsed += Bytes;
}

void batch_owner::takeResult(const batch_state &Batch, const batch_piece &Piece,
                             const batch_item_result &Result, core_time Now) {
  auto Found = Jobs.find(Piece.Job);
  bool Wanted =
      Found != Jobs.end() &&
      std::none_of(Found->second.Made.begin(), Found->second.Made.end(),
                   [&Piece](const made_piece &Made) {
                     return Made.Piece == Piece.Piece;
                   });
  if (!Wanted) {
    if (Result.made())
      freeAt(Batch.Server.Id, Result.Result, Now);
    return;
  }
  job_state &Job = Found->second;
  if (Result.made()) {
    // A piece of an overdue call may be waiting again.
    if (std::erase(Job.Waiting, Piece.Piece) > 0 && Job.Waiting.empty())
      std::erase(queue(Batch.Queue), Piece.Job);
    keepResult(Batch, Result.Result, Job.Job.ResultBytes, Now);
    Job.Made.push_back({Piece.Piece, Result.Result, Batch.Server.Zone});
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
  case batch_item_problem::NoRoom:
    // The server did no work for it.
    Makers[Batch.Server.Id].KnownUntil = Now;
    requeue(Piece);
    return;
  case batch_item_problem::Error:
    Job.Avoid.insert(Batch.Server.Id);
    break;
  }
  if (Budget.take(Batch.Queue.Pool, 1, Now))
    requeue(Piece);
  else
    failJob(Piece.Job, piece_failure::NotMade, Now);
}

void batch_owner::onServerLoad(const backend_id &Server,
                               const std::optional<pieces_load> &Load,
                               core_time Now) {
  maker_state &Maker = Makers[Server];
  Maker.AskedAt.reset();
  Maker.KnownUntil = Now + KnownTime;
  Changed = true;
  const backend_state *State = Servers.find(Server);
  auto Rules = State ? Pools.find(State->Entry.Pool) : Pools.end();
  if (!Load || Rules == Pools.end())
    return;
  std::uint64_t Taken =
      Load->FreeBytes < Rules->second.ResultCapacityBytes
          ? Rules->second.ResultCapacityBytes - Load->FreeBytes
          : 0;
  Maker.OthersBytes = Taken > Maker.RoomUsed ? Taken - Maker.RoomUsed : 0;
  Maker.OthersAt = Now;
  if (Load->Busy && !Maker.Running)
    Maker.BlockedUntil =
        Now +
        expectedCallTime(Rules->second, Rules->second.MaxPieces) / BusyPart;
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
  maker_state &Maker = Makers[Batch.Server.Id];
  if (Maker.Running == Id)
    Maker.Running.reset();
  Maker.RoomUsed -= std::min(Maker.RoomUsed, Batch.Bytes);
  if (Failure == batch_failure::Gone)
    Servers.markLeaving(Batch.Server.Id);
  else if (Failure == batch_failure::Refused)
    Maker.BlockedUntil = Now + FullPause;
  else
    Servers.onCallFailed(Batch.Server.Id, Now);
  report(Batch, Failure, Now);
  bool AtFault =
      Failure == batch_failure::Broken || Failure == batch_failure::TimedOut;
  repeatPieces(Batch, AtFault, Failure != batch_failure::NotConnected, Now);
}

// Queues the pieces of a batch again as far as the budget for repeats allows;
// the jobs of the others fail.
void batch_owner::repeatPieces(batch_state &Batch, bool AtFault, bool Charged,
                               core_time Now) {
  for (batch_piece &Piece : Batch.Pieces) {
    auto Job = Jobs.find(Piece.Job);
    if (Piece.Requeued || Job == Jobs.end())
      continue;
    if (AtFault)
      Job->second.Avoid.insert(Batch.Server.Id);
    Piece.Requeued = true;
    bool GivenUp = Job->second.Avoid.size() >= MaxFailedServers ||
                   (Charged && !Budget.take(Batch.Queue.Pool, 1, Now));
    if (GivenUp)
      failJob(Piece.Job, piece_failure::NotMade, Now);
    else
      requeue(Piece);
  }
}

core_time batch_owner::batch_state::overdueAt() const {
  return Started + scaled(Expected, OverdueFactor) + OverduePause;
}

// Tells hosts of jobs whose pieces are all being made that the inputs are no
// longer needed: results take up room where they were made.
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
      if (All && !Job->second.Job.Inputs.empty())
        Fetched.insert(Piece.Job);
    }
    for (const job_key &Key : Fetched)
      Actions.onInputsFetched(Key.first.Host, Key.second);
  }
}

// Has the pieces of a call that takes far too long made elsewhere as well.
void batch_owner::checkOverdue(core_time Now) {
  for (std::pair<const batch_id, batch_state> &Entry : Batches) {
    batch_state &Batch = Entry.second;
    if (Batch.Overdue || Now < Batch.overdueAt())
      continue;
    Batch.Overdue = true;
    Servers.onCallFailed(Batch.Server.Id, Now);
    observe(Batch, Now);
    report(Batch, std::nullopt, Now);
    for (batch_piece &Piece : Batch.Pieces) {
      auto Job = Jobs.find(Piece.Job);
      if (Job == Jobs.end() || !Budget.take(Batch.Queue.Pool, 1, Now))
        continue;
      Job->second.Avoid.insert(Batch.Server.Id);
      Piece.Requeued = true;
      requeue(Piece);
    }
  }
}

void batch_owner::observe(const batch_state &Batch, core_time Now) {
  maker_state &Maker = Makers[Batch.Server.Id];
  double Expected = static_cast<double>(
      expectedCallTime(Pools[Batch.Queue.Pool], Batch.Pieces.size()).count());
  double Ratio = static_cast<double>((Now - Batch.Started).count()) / Expected;
  double Current = slowness(Maker, Now);
  Maker.Slowness = std::clamp(Current + SlownessGain * (Ratio - Current),
                              MinSlowness, MaxSlowness);
  Maker.SlownessAt = Now;
}

void batch_owner::report(const batch_state &Batch,
                         std::optional<batch_failure> Failure, core_time Now) {
  batch_report Report;
  Report.Server = Batch.Server.Id;
  Report.Pool = Batch.Queue.Pool;
  Report.Pieces = Batch.Pieces.size();
  Report.Expected = Batch.Expected;
  Report.Took = Now - Batch.Started;
  Report.Failure = Failure;
  Report.Overdue = Batch.Overdue;
  const maker_state &Maker = Makers[Batch.Server.Id];
  if (Maker.ResultCapacityBytes > 0)
    Report.RoomPercent = static_cast<std::uint32_t>(Maker.RoomUsed * 100 /
                                                    Maker.ResultCapacityBytes);
  Report.Waiting = waitingPieces(Batch.Queue.Pool, Batch.Queue.Zone);
  Actions.onBatchEnded(Report);
}

double batch_owner::slowness(const maker_state &Maker, core_time Now) const {
  double Age = std::chrono::duration<double>(Now - Maker.SlownessAt).count();
  return 1 + (Maker.Slowness - 1) * std::exp(-Age / SlownessFadeSeconds);
}

void batch_owner::release(const std::vector<result_handle> &Results,
                          core_time Now) {
  for (const result_handle &Result : Results) {
    auto Found = Kept.find(Result);
    if (Found != Kept.end())
      freeAt(Found->second.Server, Result, Now);
    else if (const backend_state *Maker =
                 Servers.findByAddress(addressOf(Result)))
      freeAt(Maker->Entry.Id, Result, Now);
  }
}

void batch_owner::freeAt(const backend_id &Server, const result_handle &Result,
                         core_time Now) {
  maker_state &Maker = Makers[Server];
  auto Found = Kept.find(Result);
  std::uint64_t Used = Maker.RoomUsed;
  if (Found != Kept.end()) {
    Maker.RoomUsed -= std::min(Maker.RoomUsed, Found->second.Bytes);
    Kept.erase(Found);
  }
  Changed = true;
  if (Maker.ToFree.empty())
    Maker.FreeBy = Now + FreeDelay;
  Maker.ToFree.push_back(Result);
  bool Tight = static_cast<double>(Used) >
               TightRoomPart * static_cast<double>(Maker.ResultCapacityBytes);
  if (Tight)
    Maker.FreeBy = Now;
  if (Maker.ToFree.size() >= MaxFreesPerCall)
    flushFrees(Server, Maker);
}

void batch_owner::flushFrees(const backend_id &Id, maker_state &Maker) {
  const backend_state *Server = Servers.find(Id);
  std::vector<result_handle> Results = std::move(Maker.ToFree);
  Maker.ToFree.clear();
  if (Server && !Results.empty() && !Server->MissingSince)
    Actions.freeResults(Server->Entry, std::move(Results));
}

void batch_owner::expireResults(core_time Now) {
  for (auto It = Kept.begin(); It != Kept.end();) {
    if (It->second.Expires > Now) {
      ++It;
      continue;
    }
    maker_state &Maker = Makers[It->second.Server];
    Maker.RoomUsed -= std::min(Maker.RoomUsed, It->second.Bytes);
    It = Kept.erase(It);
  }
}

} // namespace jasminecroft
