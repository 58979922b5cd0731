// Fates of calls, and their short text in logs.
#include "jasminecroft/core/serving/call_ledger.h"

#include <algorithm>

namespace jasminecroft {

namespace {

constexpr std::size_t MaxCallsKept = 8;

std::string_view toText(call_fate Fate) {
  switch (Fate) {
  case call_fate::InFlight:
    return "in_flight";
  case call_fate::NotConnected:
    return "not_connected";
  case call_fate::Refused:
    return "refused";
  case call_fate::Answered:
    return "answered";
  case call_fate::Broken:
    return "broken";
  case call_fate::TimedOut:
    return "timed_out";
  case call_fate::GivenUp:
    return "given_up";
  }
  return "in_flight";
}

} // namespace

bool call_ledger::call::provesNotRun() const {
  return Fate == call_fate::NotConnected ||
         (Fate == call_fate::Refused &&
          jasminecroft::provesNotRun(judge(Answer)));
}

void call_ledger::begin(const backend_id &Server) {
  if (Calls.size() == MaxCallsKept) {
    DroppedMayHaveRun = DroppedMayHaveRun || !Calls.front().provesNotRun();
    Calls.pop_front();
    ++Dropped;
  }
  Calls.push_back({Server, call_fate::InFlight, {}});
}

void call_ledger::end(call_fate Fate, const answer_evidence &Answer) {
  if (Calls.empty() || Calls.back().Fate != call_fate::InFlight)
    return;
  Calls.back().Fate = Fate;
  Calls.back().Answer = Answer;
}

bool call_ledger::provesNotRun() const {
  return !DroppedMayHaveRun &&
         std::all_of(Calls.begin(), Calls.end(),
                     [](const call &Call) { return Call.provesNotRun(); });
}

std::string call_ledger::describe() const {
  if (count() == 0)
    return "none";
  std::string Text;
  if (Dropped > 0)
    Text = std::to_string(Dropped) +
           (DroppedMayHaveRun ? "_earlier_may_have_run" : "_earlier_not_run");
  for (const call &Call : Calls) {
    Text += (Text.empty() ? "" : ",") + Call.Server.Value + '=';
    Text += toText(Call.Fate);
    if (Call.Answer.Status != 0)
      Text += '_' + jasminecroft::describe(Call.Answer);
  }
  return Text;
}

} // namespace jasminecroft
