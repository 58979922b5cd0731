// Text of broken promises.
#include "jasminecroft/testing/violation.h"

namespace jasminecroft::testing {

std::string toText(promise Promise) {
  switch (Promise) {
  case promise::ResultsBelong:
    return "line 1, results belong to their request";
  case promise::WholeAnswers:
    return "line 2, whole answers in time";
  case promise::TruthfulOutcomes:
    return "line 3, truthful outcomes";
  case promise::AtMostOnce:
    return "line 4, at most once";
  case promise::LeavingIsLeft:
    return "line 5, leaving backend servers get no new work";
  case promise::GracefulStop:
    return "line 6, graceful shutdown";
  case promise::ConfigInForce:
    return "line 7, accepted configuration in force";
  case promise::Recovery:
    return "recovery after faults";
  case promise::CrashesEnd:
    return "line 9, parts that crash servers stop reaching them";
  case promise::LimitsKept:
    return "line 10, limits of backend servers";
  case promise::PausesKept:
    return "line 11, pauses that backend servers ask for";
  case promise::EmptiedIsSpared:
    return "line 12, emptied zones get nothing new";
  case promise::EnginesRanked:
    return "line 13, urgency of calls to engines";
  case promise::ColdServersSpared:
    return "line 14, requests a second to cold servers";
  case promise::SharesKept:
    return "line 15, shares of workspaces";
  case promise::LongPromptsBounded:
    return "line 16, long prompts read at a time";
  }
  return "";
}

promise_set allPromises() {
  promise_set All;
  for (std::size_t I = 1; I <= PromiseCount; ++I)
    All.insert(static_cast<promise>(I));
  return All;
}

std::string toText(const violation &Violation) {
  double Seconds =
      static_cast<double>(Violation.At.time_since_epoch().count()) / 1e6;
  return toText(Violation.Promise) + " at " + std::to_string(Seconds) +
         " s: " + Violation.What;
}

} // namespace jasminecroft::testing
