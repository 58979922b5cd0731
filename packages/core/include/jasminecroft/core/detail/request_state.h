// One request on its way through the stages of its pipeline.
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

struct request_state {
  request_received Call;
  pipeline_definition Pipeline;
  core_time Deadline{};
  /// Index of the current stage, always within Pipeline.Stages.
  std::size_t Stage = 0;
  std::string Input;
  /// The current stage's call, as the scheduler knows it.
  work_id Work;
  /// Claim of the current stage, from the wish to its record or release.
  std::optional<claim_handle> Claim;
  /// Attempts of the current stage that are still running.
  std::set<attempt_id> Attempts;
  /// Attempts of all stages that may have been run by a backend server.
  std::uint32_t AttemptsRun = 0;
  request_facts Facts;
  /// The last stage's stream, if the caller wants one.
  stream_assembler Stream;
  /// Text of a streamed non-repeatable stage, for its record.
  std::string StreamedText;
  /// Backend server whose stream was cut last; only it can resume.
  std::optional<backend_id> CutAt;
  /// The caller will not read an answer.
  bool CallerGone = false;
  /// The caller has its answer; only a dispatched non-repeatable call is
  /// waited for, so that its outcome can be recorded.
  bool Detached = false;
  /// When the request is given up, or no longer waited for if Detached.
  core_time CheckAt{};

  const stage_definition &stage() const { return Pipeline.Stages[Stage]; }
  bool atLastStage() const { return Stage + 1 == Pipeline.Stages.size(); }
  bool streamsNow() const { return Call.Streamed && atLastStage(); }
  /// A non-repeatable call has left and its outcome is open.
  bool nonRepeatableOut() const {
    return !stage().Repeatable && !Attempts.empty();
  }
};

/// Whether an error says that the call certainly was not run.
inline bool certainlyNotRun(backend_error Error) {
  return Error == backend_error::NotConnected ||
         Error == backend_error::Refused ||
         Error == backend_error::RefusedLeaving;
}

} // namespace jasminecroft::detail
