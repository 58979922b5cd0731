// Outcomes and error codes that are reported to callers; both sets are closed.
#pragma once

#include "jasminecroft/core/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminecroft {

/// What is known about the effects of a request.
enum class outcome_kind {
  /// The whole answer was delivered.
  Complete,
  /// No byte of any stage was ever sent for this key, and none ever will be.
  NotRun,
  /// Repeatable work ran or may have run, but no non-repeatable work.
  Failed,
  /// Non-repeatable work ran, but its answer is not available.
  RanUnanswered,
  /// It is not known at present whether non-repeatable work ran.
  Unknown,
};

/// Stable code of an error answer. docs/ERRORS.md lists the codes with their
/// HTTP status.
enum class error_code {
  None,
  MalformedRequest,
  UnknownWorkspace,
  UnknownPipeline,
  BodyTooLarge,
  MissingIdempotencyKey,
  KeyReusedWithOtherBody,
  KeyInProgress,
  DeadlinePassed,
  DeadlineInfeasible,
  Overloaded,
  WorkspaceLimitReached,
  NotReady,
  ShuttingDown,
  NoBackendAvailable,
  BackendFailed,
  PlatformUnavailable,
  ClaimUndecided,
  OutcomeUnknown,
  AnswerNotKept,
  StreamDiverged,
  SupersededByLaterCall,
};

/// The final answer to a request.
struct final_answer {
  outcome_kind Outcome = outcome_kind::Complete;
  error_code Code = error_code::None;
  /// Whole output of the last stage; empty unless Outcome is Complete. Empty
  /// for a streamed answer, whose text was sent in pieces.
  std::string Body;
  /// Number of pieces and XXH3-64 digest of their text, for a streamed answer.
  std::uint64_t StreamCount = 0;
  std::uint64_t StreamDigest = 0;
  /// Delay before a retry; absent where a retry can't help.
  std::optional<core_duration> RetryAfter;
  /// True if this answer repeats one recorded for the same idempotency key.
  bool Replayed = false;

  bool operator==(const final_answer &) const = default;
};

std::string_view toText(outcome_kind Outcome);
std::string_view toText(error_code Code);

} // namespace jasminecroft
