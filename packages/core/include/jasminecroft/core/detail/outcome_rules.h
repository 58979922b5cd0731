// Determines the outcome that is reported to a caller.
#pragma once

#include "jasminecroft/core/detail/claim_resolution.h"
#include "jasminecroft/core/events.h"
#include "jasminecroft/core/outcome.h"

namespace jasminecroft::detail {

/// What is known about a request that ends without a complete answer.
struct request_facts {
  /// No earlier call can have run anything: the caller sent no idempotency key
  /// or declared this call to be the first with its key.
  bool FirstCall = false;
  /// The caller declared the number of this call for its key, or sent no key.
  /// Without a number, nothing can be guaranteed about calls still in transit.
  bool Numbered = false;
  /// The pipeline has, or may have, a non-repeatable stage.
  bool MayHaveNonRepeatable = false;
  /// The first stage of the pipeline is non-repeatable, so a claim precedes all
  /// work.
  bool ClaimComesFirst = false;
  /// Some stage of this call may have been sent and run.
  bool AnythingRan = false;
  /// A non-repeatable stage has completed, in this call or an earlier one.
  bool NonRepeatableDone = false;
  /// What is known about the key at the current non-repeatable stage.
  key_status Key = key_status::Unread;
};

/// Returns the facts of a call that has not started and whose pipeline is not
/// known.
request_facts factsOf(const request_received &Call);
/// Returns the facts of a call that has not started.
request_facts factsOf(const request_received &Call,
                      const pipeline_definition &Pipeline);

/// Returns the strongest outcome that the facts guarantee; never Complete.
outcome_kind outcomeOf(const request_facts &Facts);

} // namespace jasminecroft::detail
