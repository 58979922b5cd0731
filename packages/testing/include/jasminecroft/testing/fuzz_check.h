// Runs fuzz cases under rapidcheck, which shortens a failing one.
#pragma once

#include "jasminecroft/testing/fleet_fuzz.h"

#include <cstdint>
#include <string>

namespace jasminecroft::testing {

struct fuzz_plan {
  std::uint64_t FirstSeed = 1;
  std::uint64_t Cases = 1;
  std::size_t CommandsPerCase = 400;
  bool Shrink = true;
  promise_set Judged = allPromises();
  /// Longest time for shortening a failing case.
  std::chrono::seconds ShrinkTime{60};
};

struct fuzz_result {
  /// Sum over the cases as drawn, the shortening left out.
  fuzz_report Report;
  /// Empty if nothing was found; else the seed, the shortest sequence and
  /// what it breaks.
  std::string Failure;
};

/// Runs the cases of seeds FirstSeed, FirstSeed + 1 and so on, up to the
/// first that breaks a promise.
fuzz_result checkFleet(const fuzz_plan &Plan);

/// The value of JASMINECROFT_FUZZ_SCALE, 1 if it is not set.
double fuzzScale();

} // namespace jasminecroft::testing
