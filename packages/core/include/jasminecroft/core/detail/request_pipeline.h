// Requests on their way through the stages of their pipelines. A restart loses
// the requests in progress; their connections close with it.
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

/// How long a non-repeatable call that has left is waited for after its
/// request's deadline, so that its outcome can be recorded.
inline constexpr core_duration NonRepeatableGrace{5'000'000};

class request_pipeline final : public claim_listener {
public:
  request_pipeline(core_context &Context, backend_registry &Registry,
                   std::unique_ptr<work_scheduler> Scheduler);

  /// The keeper refers back to this pipeline; set once before the first event.
  void setClaimManager(claim_manager &Keeper) { Claims = &Keeper; }
  void configure(const fleet_config &NewConfig);
  void onRequest(const request_received &Event);
  void onCallerGone(const caller_gone &Event);
  void onPiece(const attempt_piece &Event);
  void onSucceeded(const attempt_succeeded &Event);
  void onFailed(const attempt_failed &Event);
  void onClaimDecided(claim_handle Claim,
                      const claim_decision &Decision) override;
  /// Refuses new requests from now on and finishes those in progress.
  void beginShutdown() { ShuttingDown = true; }
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  /// Requests in progress, those included whose caller has its answer but
  /// whose non-repeatable call is still waited for.
  std::size_t inFlight() const { return Requests.size(); }
  std::vector<status_counter> counters() const;
  std::vector<workspace_cost> costs() const { return Scheduler->costs(); }
  /// Requests in progress of each workspace.
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
  void newWork(request_state &State);
  work_item makeItem(const request_state &State) const;
  void startStage(request_state &State);
  void submit(request_state &State);
  void applyDecision(request_state &State, const claim_decision &Decision);
  void finishStage(request_state &State, std::string Output, bool Replayed);
  void complete(request_state &State, std::string Output, bool Replayed);
  void streamReplay(request_state &State, const std::string &Output);

  // Ends of requests.
  void giveUp(request_state &State, error_code Code,
              std::optional<core_duration> RetryAfter);
  void detach(request_state &State);
  void tellFailure(const request_state &State, error_code Code,
                   std::optional<core_duration> RetryAfter);
  void tell(request_id Request, final_answer Answer);
  void erase(request_state &State);
  void setCheck(request_state &State, core_time At);
  void checkDeadlines();

  // Attempts.
  void pump();
  bool expire(work_id Work);
  bool dispatch(const dispatch_decision &Decision);
  start_attempt makeStart(const request_state &State,
                          const dispatch_decision &Decision);
  void endAttempt(attempt_id Attempt, attempt_result Result);
  void cancelAttempts(request_state &State);
  void succeed(request_state &State, const attempt_succeeded &Event);
  void fail(request_state &State, const attempt_failed &Event);
  void failNonRepeatable(request_state &State, const backend_id &Backend,
                         const attempt_failed &Event);
  void retryOrGiveUp(request_state &State, const backend_id &Failed,
                     const attempt_failed &Event);
  void onDiverged(request_state &State, attempt_id Attempt);

  core_context &Context;
  backend_registry &Registry;
  std::unique_ptr<work_scheduler> Scheduler;
  claim_manager *Claims = nullptr;
  std::optional<fleet_config> Config;
  std::map<request_id, request_state> Requests;
  /// Calls that the scheduler has or will have; not those of detached requests.
  std::map<work_id, request_id> ByWork;
  std::map<claim_handle, request_id> ByClaim;
  /// CheckAt of every request.
  std::set<std::pair<core_time, request_id>> Checks;
  attempt_table Attempts;
  work_id LastWork;
  std::map<outcome_kind, std::uint64_t> Outcomes;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Diverged = 0;
  bool ShuttingDown = false;
};

} // namespace jasminecroft::detail
