// Which outcome a caller is told: the one place that decides it.
#pragma once

#include "jasminecroft/core/detail/claim_resolution.h"
#include "jasminecroft/core/events.h"
#include "jasminecroft/core/outcome.h"

namespace jasminecroft::detail {

/// What is known about a request that ends without its answer.
struct request_facts {
  /// No earlier call can have run anything: the caller sent no idempotency key
  /// or declared this call the first with its key.
  bool FirstCall = false;
  /// The caller declared which call with its key this is, or sent no key.
  /// Otherwise nothing can be promised about calls that are still on their way.
  bool Numbered = false;
  /// The pipeline has, or may have, a stage that must not repeat.
  bool MayHaveNonRepeatable = false;
  /// No repeatable stage comes before the first non-repeatable one.
  bool ClaimComesFirst = false;
  /// A byte of some stage of this call may have left and been run.
  bool AnythingRan = false;
  /// A non-repeatable stage is done, by this call or an earlier one.
  bool NonRepeatableDone = false;
  /// What is known of the key at the current non-repeatable stage.
  key_status Key = key_status::Unread;
};

/// Facts of a call that has not started, whose pipeline is not known.
request_facts factsOf(const request_received &Call);
/// Facts of a call that has not started.
request_facts factsOf(const request_received &Call,
                      const pipeline_definition &Pipeline);

/// The strongest statement that is certainly true. Never Complete.
outcome_kind outcomeOf(const request_facts &Facts);

} // namespace jasminecroft::detail
