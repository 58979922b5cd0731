// Text forms of outcomes, error codes and states, as displayed and stored.
#include "jasminecroft/core/outcome.h"
#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/stored_objects.h"

namespace jasminecroft {

std::string_view toText(outcome_kind Outcome) {
  switch (Outcome) {
  case outcome_kind::Complete:
    return "complete";
  case outcome_kind::NotRun:
    return "not_run";
  case outcome_kind::Failed:
    return "failed";
  case outcome_kind::RanUnanswered:
    return "ran_unanswered";
  case outcome_kind::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view toText(error_code Code) {
  switch (Code) {
  case error_code::None:
    return "none";
  case error_code::MalformedRequest:
    return "malformed_request";
  case error_code::UnknownWorkspace:
    return "unknown_workspace";
  case error_code::UnknownPipeline:
    return "unknown_pipeline";
  case error_code::BodyTooLarge:
    return "body_too_large";
  case error_code::MissingIdempotencyKey:
    return "missing_idempotency_key";
  case error_code::KeyReusedWithOtherBody:
    return "key_reused_with_other_body";
  case error_code::KeyInProgress:
    return "key_in_progress";
  case error_code::DeadlinePassed:
    return "deadline_passed";
  case error_code::DeadlineInfeasible:
    return "deadline_infeasible";
  case error_code::Overloaded:
    return "overloaded";
  case error_code::WorkspaceLimitReached:
    return "workspace_limit_reached";
  case error_code::NotReady:
    return "not_ready";
  case error_code::ShuttingDown:
    return "shutting_down";
  case error_code::NoBackendAvailable:
    return "no_backend_available";
  case error_code::BackendFailed:
    return "backend_failed";
  case error_code::PlatformUnavailable:
    return "platform_unavailable";
  case error_code::ClaimUndecided:
    return "claim_undecided";
  case error_code::OutcomeUnknown:
    return "outcome_unknown";
  case error_code::AnswerNotKept:
    return "answer_not_kept";
  case error_code::StreamDiverged:
    return "stream_diverged";
  case error_code::SupersededByLaterCall:
    return "superseded_by_later_call";
  }
  return "outcome_unknown";
}

std::string_view toText(member_state State) {
  switch (State) {
  case member_state::Alive:
    return "alive";
  case member_state::Suspect:
    return "suspect";
  case member_state::Dead:
    return "dead";
  case member_state::Left:
    return "left";
  }
  return "dead";
}

std::string_view toText(claim_state State) {
  switch (State) {
  case claim_state::Claimed:
    return "claimed";
  case claim_state::Done:
    return "done";
  case claim_state::NotRun:
    return "not_run";
  case claim_state::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace jasminecroft
