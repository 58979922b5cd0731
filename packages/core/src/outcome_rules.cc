// Derives outcomes from the facts of a request.
#include "jasminecroft/core/detail/outcome_rules.h"

namespace jasminecroft::detail {

request_facts factsOf(const request_received &Call) {
  request_facts Facts;
  Facts.Numbered = !Call.Key || Call.AttemptNumber.has_value();
  Facts.FirstCall = !Call.Key || Call.AttemptNumber == 1;
  Facts.MayHaveNonRepeatable = Call.Key.has_value();
  return Facts;
}

request_facts factsOf(const request_received &Call,
                      const pipeline_definition &Pipeline) {
  request_facts Facts = factsOf(Call);
  Facts.MayHaveNonRepeatable = false;
  for (const stage_definition &Stage : Pipeline.Stages)
    Facts.MayHaveNonRepeatable |= !Stage.Repeatable;
  Facts.ClaimComesFirst =
      !Pipeline.Stages.empty() && !Pipeline.Stages.front().Repeatable;
  return Facts;
}

outcome_kind outcomeOf(const request_facts &Facts) {
  if (Facts.Key == key_status::Uncertain)
    return outcome_kind::Unknown;
  if (Facts.NonRepeatableDone || Facts.Key == key_status::Ran)
    return outcome_kind::RanUnanswered;
  bool KeyUnread = Facts.Key == key_status::Unread && !Facts.FirstCall;
  if (Facts.MayHaveNonRepeatable && (KeyUnread || !Facts.Numbered))
    return outcome_kind::Unknown;
  if (Facts.AnythingRan)
    return outcome_kind::Failed;
  // An earlier call with this key may have run repeatable stages.
  bool EarlierMayHaveRun = !Facts.FirstCall && !Facts.ClaimComesFirst;
  return EarlierMayHaveRun ? outcome_kind::Failed : outcome_kind::NotRun;
}

} // namespace jasminecroft::detail
