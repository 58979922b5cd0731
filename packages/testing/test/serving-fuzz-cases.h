// The cases of the fuzz of the serving path that CI runs.
#pragma once

#include "jasminecroft/testing/serving_fuzz.h"

#include <doctest/doctest.h>
#include <iostream>

namespace jasminecroft::testing {

inline constexpr std::uint64_t Cases = 60;
inline constexpr std::size_t CommandsPerCase = 250;

inline void playCases(const serving_fuzz_world &World) {
  serving_fuzz_report Total;
  for (std::uint64_t Seed = 1; Seed <= Cases; ++Seed) {
    serving_fuzz_report Report = runServingCase(Seed, CommandsPerCase, World);
    INFO("seed ", Seed);
    for (const violation &Violation : Report.Violations)
      FAIL_CHECK(toText(Violation));
    Total.add(Report);
  }
  std::cout << Total;
  // The faults leave enough to be served that the promises were tried.
  CHECK(Total.Complete * 2 > Total.Requests);
}

} // namespace jasminecroft::testing
