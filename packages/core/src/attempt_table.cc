// Attempts in flight and counters of stale answers.
#include "jasminecroft/core/detail/attempt_table.h"

namespace jasminecroft::detail {

running_attempt *attempt_table::find(attempt_id Attempt) {
  auto Found = Attempts.find(Attempt);
  return Found == Attempts.end() ? nullptr : &Found->second;
}

void attempt_table::countLateAnswer(attempt_id Attempt) {
  ++LateAnswers;
  Context.log(event_number::LateAnswerDropped, event_severity::Info,
              "dropped an answer of an ended or unknown attempt",
              {{"attempt", std::to_string(Attempt.Value)}});
}

std::optional<running_attempt> attempt_table::remove(attempt_id Attempt) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return std::nullopt;
  running_attempt Ended = std::move(Found->second);
  Attempts.erase(Found);
  return Ended;
}

} // namespace jasminecroft::detail
