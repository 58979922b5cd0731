// State of one request in progress.
#pragma once

#include "jasminecroft/core/detail/claim_query_client.h"
#include "jasminecroft/core/detail/outcome_rules.h"
#include "jasminecroft/core/detail/stream_assembler.h"
#include "jasminecroft/core/events.h"
#include "jasminecroft/core/policy.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace jasminecroft::detail {

/// A request and the progress of its current stage.
struct request_state {
  request_received Call;
  pipeline_definition Pipeline;
  core_time Deadline{};
  /// Index of the current stage; always valid for Pipeline.Stages.
  std::size_t Stage = 0;
  std::string Input;
  /// Scheduler's id of the current stage call.
  work_id Work;
  /// Claim of the current stage, from its acquisition until its outcome is
  /// recorded or it is released.
  std::optional<claim_handle> Claim;
  /// Attempts of the current stage that are in flight.
  std::set<attempt_id> Attempts;
  /// Number of attempts of all stages that a backend server may have run.
  std::uint32_t AttemptsRun = 0;
  request_facts Facts;
  /// Stream of the last stage, used if the caller requested one.
  stream_assembler Stream;
  /// Text of a streamed non-repeatable stage, for its claim record.
  std::string StreamedText;
  /// Backend server whose stream broke off last; only it can resume the stream.
  std::optional<backend_id> ResumableBackend;
  /// The caller no longer waits for an answer; none is sent.
  bool CallerGone = false;
  /// The caller has its answer; the request remains only until the outcome of
  /// its non-repeatable call in flight can be recorded.
  bool Detached = false;
  /// Time at which the request fails or, if Detached, is removed.
  core_time TimeoutAt{};

  const stage_definition &stage() const { return Pipeline.Stages[Stage]; }
  bool atLastStage() const { return Stage + 1 == Pipeline.Stages.size(); }
  bool streamsNow() const { return Call.Streamed && atLastStage(); }
  /// Returns whether a non-repeatable call is in flight.
  bool nonRepeatableInFlight() const {
    return !stage().Repeatable && !Attempts.empty();
  }
};

/// Returns whether an error guarantees that the call was not run.
inline bool certainlyNotRun(backend_error Error) {
  return Error == backend_error::NotConnected ||
         Error == backend_error::Refused ||
         Error == backend_error::RefusedLeaving;
}

} // namespace jasminecroft::detail
