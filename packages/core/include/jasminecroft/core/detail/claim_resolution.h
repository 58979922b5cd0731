// Rules that decide what an existing claim record of another attempt means for
// a call with the same key.
#pragma once

#include "jasminecroft/core/outcome.h"
#include "jasminecroft/core/stored_objects.h"

#include <optional>
#include <string>
#include <variant>

namespace jasminecroft::detail {

/// What is known about executions of the non-repeatable stage for an
/// idempotency key.
enum class key_status {
  /// The record could not be read.
  Unread,
  /// No call with this key has run the stage, and what is known rules out that
  /// one will.
  NeverRan,
  /// A call with this key has run the stage.
  Ran,
  /// A call with this key may have run the stage or may still run it.
  Uncertain,
};

/// Retry delays that denied callers are given.
inline constexpr core_duration RetryAfterInProgress =
    std::chrono::milliseconds(500);
inline constexpr core_duration RetryAfterUndecided = std::chrono::seconds(1);
inline constexpr core_duration RetryAfterPlatformUnavailable =
    std::chrono::seconds(2);

/// This run holds the claim; the call may be dispatched once.
struct claim_granted {};
/// The work already ran; Output is its recorded output.
struct claim_already_done {
  std::string Output;
};
/// The call must not be dispatched.
struct claim_denied {
  error_code Code = error_code::ClaimUndecided;
  key_status Key = key_status::Unread;
  std::optional<core_duration> RetryAfter;
};
using claim_decision =
    std::variant<claim_granted, claim_already_done, claim_denied>;

/// The record may be replaced by a conditional update.
struct claim_replaceable {};
/// The record is claimed; only its holder knows the outcome of the call.
struct claim_held {};
using claim_resolution =
    std::variant<claim_decision, claim_replaceable, claim_held>;

/// Resolves a stored record of another attempt for a call with fingerprint
/// Request and declared call number CallNumber.
claim_resolution resolveRecord(const claim_record &Record, fingerprint Request,
                               std::optional<std::uint32_t> CallNumber);
/// Returns whether a call may replace a released or abandoned record. If the
/// record has a call number, only a call with a higher one may: its caller may
/// have the answer that calls up to that number never run.
bool mayReplace(const claim_record &Released,
                std::optional<std::uint32_t> CallNumber);

/// Returns the decision for work that already ran. An absent Output means that
/// the output was not kept.
claim_decision alreadyDone(const std::optional<std::string> &Output);
claim_decision inProgressElsewhere();
claim_decision outcomeUnknown();
claim_decision superseded();

} // namespace jasminecroft::detail
