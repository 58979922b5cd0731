// Broken promises as the oracles report them.
#pragma once

#include "jasminecroft/core/types.h"

#include <set>
#include <string>
#include <vector>

namespace jasminecroft::testing {

/// What must always hold, in the order of the project's list.
enum class promise {
  /// No stage result is lost, doubled or delivered to another request.
  ResultsBelong = 1,
  /// Every caller gets the whole answer to its own request, by its deadline.
  WholeAnswers,
  /// "Not run" and "failed" are true.
  TruthfulOutcomes,
  /// Calls that must not repeat run at most once.
  AtMostOnce,
  /// A leaving backend server gets no new work after a few seconds.
  LeavingIsLeft,
  /// A planned stop cuts off no request in progress, and comes to its end.
  GracefulStop,
  /// An accepted configuration is in force everywhere and never reverts.
  ConfigInForce,
  /// After faults end, everything is served again.
  Recovery,
  /// Requests with a part of a prompt that crashes servers stop reaching them.
  CrashesEnd,
  /// A server gets no more requests a second than it says that it takes.
  LimitsKept,
  /// A server that asks a host for a pause gets nothing more from it meanwhile.
  PausesKept,
  /// The servers of an emptied zone get nothing more until it is taken back.
  EmptiedIsSpared,
  /// Calls to engines that requests of several priorities reach are ranked.
  EnginesRanked,
  /// A cold server gets no more requests a second than it bears.
  ColdServersSpared,
  /// No workspace is served less than a quarter as well as another one.
  SharesKept,
  /// Engines read only a bounded part of the long prompts at a time.
  LongPromptsBounded,
};
inline constexpr std::size_t PromiseCount = 16;

std::string toText(promise Promise);

struct violation {
  promise Promise = promise::ResultsBelong;
  core_time At{};
  std::string What;
};
std::string toText(const violation &Violation);

using violation_list = std::vector<violation>;

using promise_set = std::set<promise>;
promise_set allPromises();

} // namespace jasminecroft::testing
