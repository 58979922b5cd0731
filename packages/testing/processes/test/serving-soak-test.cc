// The soak as CI runs it: a few seeds, a few seconds each.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/serving_soak.h"

#include <doctest/doctest.h>
#include <iostream>

using namespace jasminecroft::processes;

namespace {

void soak(std::uint64_t Seed, soak_servers Servers, std::size_t Zones = 1) {
  soak_options Options;
  Options.Zones = Zones;
  Options.Seed = Seed;
  Options.Servers = Servers;
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

} // namespace

TEST_CASE("real hosts keep their promises under signals, cuts and resets") {
  soak(1, soak_servers::Sound);
  soak(2, soak_servers::Sound);
}

TEST_CASE("requests that ran are not refused, whatever servers answer") {
  soak(3, soak_servers::Contradicting);
  soak(4, soak_servers::Unnamed);
}

TEST_CASE("promises hold over three zones while servers name limits and "
          "pauses") {
  soak(5, soak_servers::Wishing, 3);
}
