// Runs requests through the stages of their pipelines. A restart loses the
// requests in progress; their connections close with it.
#pragma once

#include "jasminecroft/core/detail/attempt_table.h"
#include "jasminecroft/core/detail/backend_registry.h"
#include "jasminecroft/core/detail/claim_manager.h"
#include "jasminecroft/core/detail/core_context.h"
#include "jasminecroft/core/detail/request_state.h"
#include "jasminecroft/core/policy.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace jasminecroft::detail {

/// Time after its request's deadline that a non-repeatable call in flight may
/// take to return, so that its outcome can be recorded.
inline constexpr core_duration NonRepeatableGrace = std::chrono::seconds(5);

/// Admits requests, dispatches the attempts of their stages and answers the
/// callers.
class request_pipeline final : public claim_listener {
public:
  request_pipeline(core_context &Context, backend_registry &Registry,
                   std::unique_ptr<work_scheduler> Scheduler);

  /// Sets the claim manager, which calls this pipeline back. Call it once,
  /// before the first event; Manager must outlive the pipeline's use.
  void setClaimManager(claim_manager &Manager) { Claims = &Manager; }
  void configure(const fleet_config &NewConfig);
  void onRequest(const request_received &Event);
  void onCallerGone(const caller_disconnected &Event);
  void onPiece(const attempt_piece &Event);
  void onSucceeded(const attempt_succeeded &Event);
  void onFailed(const attempt_failed &Event);
  void onClaimDecided(claim_handle Claim,
                      const claim_decision &Decision) override;
  /// Refuses new requests from now on; requests in progress are finished.
  void beginShutdown() { ShuttingDown = true; }
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  /// Returns the number of requests in progress, including detached ones: those
  /// whose caller has its answer but whose non-repeatable call is in flight.
  std::size_t inFlight() const { return Requests.size(); }
  std::vector<status_counter> counters() const;
  std::vector<workspace_cost> costs() const { return Scheduler->costs(); }
  /// Returns the number of requests in progress of each workspace.
  std::map<workspace_id, std::uint32_t> demand() const;

private:
  // Admission.
  struct refusal {
    error_code Code = error_code::None;
    std::optional<core_duration> RetryAfter;
  };
  std::optional<refusal> refusalOf(const request_received &Event) const;
  void refuse(const request_received &Event, const refusal &Refusal);
  core_duration remainingOf(const request_received &Event) const;
  void accept(const request_received &Event);

  // Stages.
  void assignWork(request_state &State);
  work_item makeWorkItem(const request_state &State) const;
  void startStage(request_state &State);
  void submit(request_state &State);
  void applyDecision(request_state &State, const claim_decision &Decision);
  void finishStage(request_state &State, std::string Output, bool Replayed);
  void complete(request_state &State, std::string Output, bool Replayed);
  void streamRecordedOutput(request_state &State, const std::string &Output);

  // Completion and failure of requests.
  void failRequest(request_state &State, error_code Code,
                   std::optional<core_duration> RetryAfter);
  void detach(request_state &State);
  void sendFailure(const request_state &State, error_code Code,
                   std::optional<core_duration> RetryAfter);
  void sendAnswer(request_id Request, final_answer Answer);
  void erase(request_state &State);
  void setTimeout(request_state &State, core_time At);
  void expireRequests();

  // Attempts.
  void runScheduler();
  bool expireWork(work_id Work);
  bool dispatch(const dispatch_decision &Decision);
  start_attempt makeStartAttempt(const request_state &State,
                                 const dispatch_decision &Decision);
  void endAttempt(attempt_id Attempt, attempt_result Result);
  void cancelAttempts(request_state &State);
  void handleSuccess(request_state &State, const attempt_succeeded &Event);
  void handleFailure(request_state &State, const attempt_failed &Event);
  void handleNonRepeatableFailure(request_state &State,
                                  const backend_id &Backend,
                                  const attempt_failed &Event);
  void retryOrFail(request_state &State, const backend_id &Failed,
                   const attempt_failed &Event);
  void handleDivergence(request_state &State, attempt_id Attempt);

  core_context &Context;
  backend_registry &Registry;
  std::unique_ptr<work_scheduler> Scheduler;
  claim_manager *Claims = nullptr;
  std::optional<fleet_config> Config;
  std::map<request_id, request_state> Requests;
  /// Requests by the id of their current stage call. The scheduler has these
  /// calls or will get them; calls of detached requests are not included.
  std::map<work_id, request_id> ByWork;
  std::map<claim_handle, request_id> ByClaim;
  /// TimeoutAt of every request, in order of time.
  std::set<std::pair<core_time, request_id>> Timeouts;
  attempt_table Attempts;
  work_id LastWork;
  std::map<outcome_kind, std::uint64_t> Outcomes;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Diverged = 0;
  bool ShuttingDown = false;
};

} // namespace jasminecroft::detail
