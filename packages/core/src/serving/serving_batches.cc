// Calls to backend servers on behalf of the queues that this host owns, and
// what owners report of the jobs of this host's requests.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Retry-After if the pieces of a stage fail: about one call of the pool.
constexpr core_duration PieceFailureRetryAfter = milliseconds(500);

} // namespace

using namespace detail;

void serving_impl::runBatch(batch_id Batch, call_permit Permit,
                            std::vector<batch_item> Items,
                            core_duration Timeout) {
  call_id Id(++LastCall);
  Calls[Id] = {call_kind::Pieces, request_id(), Batch,
               Permit.server(),   Now,          std::nullopt};
  Actions.runPieces(Id, std::move(Permit), std::move(Items), Timeout);
}

void serving_impl::onBatchEnded(const batch_report &Report) {
  auto InMs = [](core_duration Time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(Time).count());
  };
  bool Succeeded = !Report.Failure && !Report.Overdue;
  log(Report.Overdue ? event_number::BatchOverdue : event_number::BatchEnded,
      Succeeded ? event_severity::Info : event_severity::Warning,
      Report.Overdue
          ? "batch is overdue; its pieces are retried on other servers"
      : Succeeded ? "batch completed"
                  : "batch failed",
      {{"server", Report.Server.Value},
       {"pool", Report.Pool.Value},
       {"pieces", std::to_string(Report.Pieces)},
       {"expected_ms", InMs(Report.Expected)},
       {"ms", InMs(Report.Elapsed)},
       {"room_percent", std::to_string(Report.CapacityPercent)},
       {"waiting", std::to_string(Report.Waiting)},
       {"failure",
        Report.Failure ? std::string(toText(*Report.Failure)) : ""}});
}

void serving_impl::freeResults(call_permit Permit,
                               std::vector<result_handle> Results) {
  Actions.freeResults(std::move(Permit), std::move(Results));
}

void serving_impl::readServer(call_permit Permit) {
  Actions.readServer(std::move(Permit));
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

void serving_impl::onPiecesCompleted(const entry_host_id &Host,
                                     const piece_job &Job,
                                     std::vector<completed_piece> Pieces) {
  if (Host == Settings.Self.Host)
    handlePiecesCompleted(Job.Job, Job.Request, Host, std::move(Pieces));
  else
    sendToHost(Host, pieces_completed{Job.Job, Job.Request, std::move(Pieces)});
}

void serving_impl::onJobFailed(const entry_host_id &Host, piece_job_id Job,
                               piece_failure Failure) {
  if (Host == Settings.Self.Host)
    handleJobFailure(Job, Host, Failure);
  else {
    // The host chooses another queue only if it knows the same orders.
    if (Failure == piece_failure::OwnerChanged && Emptied.count() != 0)
      sendToHost(Host, zone_orders{Emptied.orders()});
    sendToHost(Host, pieces_failed{Job, Failure});
  }
}

void serving_impl::onInputsFetched(const entry_host_id &Host,
                                   piece_job_id Job) {
  if (Host == Settings.Self.Host)
    handleInputsFetched(Job, Host);
  else
    sendToHost(Host, inputs_fetched{Job});
}

// Returns whether Host is the owner that the job is assigned to. Progress and
// failures reported by earlier owners are ignored; their finished pieces are
// still accepted.
bool serving_impl::isAssignedTo(const entry_host_id &Host,
                                piece_job_id Job) const {
  auto Found = PendingJobs.find(Job);
  return Found != PendingJobs.end() && Found->second.Owner == Host;
}

void serving_impl::handleInputsFetched(piece_job_id Id,
                                       const entry_host_id &From) {
  if (!isAssignedTo(From, Id))
    return;
  auto Found = PendingJobs.find(Id);
  active_request *State = find(Found->second.Request);
  if (!State)
    return;
  stage_state &Stage = State->Stages[Found->second.Stage];
  if (Stage.Phase != stage_phase::Requested)
    return;
  Stage.Phase = stage_phase::InputsFetched;
  releaseUsed(*State);
}

void serving_impl::handlePiecesCompleted(piece_job_id Id,
                                         const caller_request_id &Request,
                                         const entry_host_id &From,
                                         std::vector<completed_piece> Pieces) {
  auto Found = PendingJobs.find(Id);
  active_request *State =
      Found == PendingJobs.end() ? nullptr : find(Found->second.Request);
  std::set<std::uint32_t> Distinct;
  for (const completed_piece &Piece : Pieces)
    Distinct.insert(Piece.Piece);
  if (!State || State->Request.CallerId != Request ||
      Distinct.size() != Pieces.size() ||
      Pieces.size() != State->Request.Pieces[Found->second.Stage]) {
    stage_state Unwanted;
    Unwanted.Results = std::move(Pieces);
    Unwanted.Owner = From;
    releaseStage(Unwanted);
    return;
  }
  std::sort(Pieces.begin(), Pieces.end(),
            [](const completed_piece &A, const completed_piece &B) {
              return A.Piece < B.Piece;
            });
  stage_state &Stage = State->Stages[Found->second.Stage];
  if (Found->second.Owner != From)
    cancelJobAt(Found->second.Owner, Id);
  PendingJobs.erase(Found);
  Stage.Phase = stage_phase::Done;
  Stage.Duration = Now - Stage.RequestedAt;
  Stage.Results = std::move(Pieces);
  Stage.Owner = From;
  releaseUsed(*State);
  startReadyStages(*State);
}

void serving_impl::handleJobFailure(piece_job_id Id, const entry_host_id &From,
                                    piece_failure Failure) {
  if (!isAssignedTo(From, Id))
    return;
  auto Found = PendingJobs.find(Id);
  active_request *State = find(Found->second.Request);
  std::uint32_t Stage = Found->second.Stage;
  if (State && Failure == piece_failure::OwnerChanged) {
    moveJob(Id, *State, "owner_changed");
    return;
  }
  const piece_source Source = std::move(Found->second.Source);
  PendingJobs.erase(Found);
  if (!State)
    return;
  State->Stages[Stage].Phase = stage_phase::Waiting;
  log(event_number::PiecesFailed, event_severity::Warning,
      "pieces of a stage failed",
      {{"request", State->Request.CallerId.Value},
       {"stage", std::to_string(Stage)},
       {"reason", Failure == piece_failure::InputGone ? "input_gone"
                  : Failure == piece_failure::Late    ? "late"
                                                      : "not_made"}});
  if (Failure == piece_failure::InputGone &&
      recomputeResults(*State, lostStages(*State, Stage, Source)))
    return;
  refusal_kind Kind = Failure == piece_failure::Late ? refusal_kind::Overloaded
                                                     : refusal_kind::NoBackend;
  core_duration RetryAfter = PieceFailureRetryAfter;
  if (Kind == refusal_kind::Overloaded && State->View->Competing)
    RetryAfter = spreadReturn(
        State->Request.CallerId,
        std::max(
            RetryAfter,
            estimatedWait(*State, Stage).Late[urgencyRank(State->Priority)]));
  failRequest(*State, Kind, RetryAfter);
}

} // namespace jasminecroft
