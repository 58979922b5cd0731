// Resolves claim records of other attempts.
#include "jasminecroft/core/detail/claim_resolution.h"

namespace jasminecroft::detail {

claim_decision alreadyDone(const std::optional<std::string> &Output) {
  if (Output)
    return claim_already_done{*Output};
  return claim_denied{error_code::AnswerNotKept, key_status::Ran, {}};
}

claim_decision inProgressElsewhere() {
  return claim_denied{error_code::KeyInProgress, key_status::Uncertain,
                      RetryAfterInProgress};
}

claim_decision outcomeUnknown() {
  return claim_denied{error_code::OutcomeUnknown, key_status::Uncertain, {}};
}

claim_decision superseded() {
  return claim_denied{
      error_code::SupersededByLaterCall, key_status::NeverRan, {}};
}

bool mayReplace(const claim_record &Released,
                std::optional<std::uint32_t> CallNumber) {
  return !Released.CallNumber || CallNumber > Released.CallNumber;
}

claim_resolution resolveRecord(const claim_record &Record, fingerprint Request,
                               std::optional<std::uint32_t> CallNumber) {
  if (Record.Request != Request)
    return claim_decision(claim_denied{
        error_code::KeyReusedWithOtherBody, key_status::Uncertain, {}});
  switch (Record.State) {
  case claim_state::Done:
    return alreadyDone(Record.Output);
  case claim_state::NotRun:
    if (mayReplace(Record, CallNumber))
      return claim_replaceable{};
    return superseded();
  case claim_state::Unknown:
    return outcomeUnknown();
  case claim_state::Claimed:
    return claim_held{};
  }
  return outcomeUnknown();
}

} // namespace jasminecroft::detail
