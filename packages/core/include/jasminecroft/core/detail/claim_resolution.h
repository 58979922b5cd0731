// What a claim record of another attempt means for a call with the same key.
#pragma once

#include "jasminecroft/core/outcome.h"
#include "jasminecroft/core/stored_objects.h"

#include <optional>
#include <string>
#include <variant>

namespace jasminecroft::detail {

/// What is known of the non-repeatable stage under an idempotency key.
enum class key_status {
  /// The record could not be read.
  Unread,
  /// No call with this key has run the stage, or will because of what is known.
  Clean,
  /// A call with this key ran the stage.
  Ran,
  /// A call with this key may have run the stage, or may yet run it.
  Uncertain,
};

inline constexpr core_duration RetryAfterInProgress{500'000};
inline constexpr core_duration RetryAfterUndecided{1'000'000};
inline constexpr core_duration RetryAfterPlatformAway{2'000'000};

/// The claim is this run's; the call may be dispatched once.
struct claim_granted {};
/// The work ran before; Output is what was recorded.
struct claim_done_before {
  std::string Output;
};
/// The call may not be dispatched.
struct claim_denied {
  error_code Code = error_code::ClaimUndecided;
  key_status Key = key_status::Unread;
  std::optional<core_duration> RetryAfter;
};
using claim_decision =
    std::variant<claim_granted, claim_done_before, claim_denied>;

/// The record's place may be taken by conditional update.
struct claim_replaceable {};
/// Only the record's holder can say what became of the call.
struct claim_held {};
using claim_resolution =
    std::variant<claim_decision, claim_replaceable, claim_held>;

/// Resolves a stored record of another attempt for a call whose fingerprint
/// is Request and whose declared number is CallNumber.
claim_resolution resolveRecord(const claim_record &Record, fingerprint Request,
                               std::optional<std::uint32_t> CallNumber);
/// Whether a call may replace a released, or abandoned, record. The caller of
/// the record may have been told that calls up to its number never run.
bool mayReplace(const claim_record &Released,
                std::optional<std::uint32_t> CallNumber);

/// The decision for work that was done and whose output is, or isn't, kept.
claim_decision doneBefore(const std::optional<std::string> &Output);
claim_decision inProgressElsewhere();
claim_decision outcomeUnknown();
claim_decision superseded();

} // namespace jasminecroft::detail
