// The soak as CI runs it: two seeds, a few seconds each.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/serving_soak.h"

#include <doctest/doctest.h>
#include <iostream>

using namespace jasminecroft::processes;

TEST_CASE("real hosts keep their promises under signals, cuts and resets") {
  for (std::uint64_t Seed : {1, 2}) {
    soak_options Options;
    Options.Seed = Seed;
    Options.FaultTime = std::chrono::seconds(5);
    soak_report Report = runSoak(Options);
    INFO("seed ", Seed);
    for (const std::string &What : Report.Broken)
      FAIL_CHECK(What);
    std::cout << "seed " << Seed << ": requests " << Report.Requests
              << ", served " << Report.Served << ", faults "
              << Report.Faults.size() << "\n";
    CHECK(Report.Served > 0);
  }
}
