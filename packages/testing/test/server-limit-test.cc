// Limits of requests a second that backend servers name for all hosts together.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/testing/serving_world.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using namespace jasminecroft::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Seeds = 5;

world_options manyServers() {
  world_options Options;
  Options.HostsPerZone = 4;
  Options.EnginesPerZone = 6;
  Options.PlainServersPerZone = 4;
  Options.StageServersPerZone = 4;
  return Options;
}

void play(serving_world &World, const char *Route, core_duration Gap,
          core_duration Time) {
  for (; Time > core_duration{0}; Time -= Gap) {
    World.ask(World.random().below(World.hostCount()), Route);
    World.run(Gap);
  }
}

std::vector<std::size_t> limitServers(serving_world &World, const char *Pool,
                                      std::size_t Count, double PerSecond) {
  std::vector<std::size_t> Limited = World.serversOf(Pool);
  Limited.resize(std::min(Count, Limited.size()));
  for (std::size_t Server : Limited)
    World.limitServer(Server, PerSecond);
  return Limited;
}

void checkLimits(const serving_book &Book) {
  for (const violation &Violation : Book.violations())
    if (Violation.Promise == promise::LimitsKept)
      FAIL_CHECK(toText(Violation));
}

} // namespace

TEST_CASE("servers get no more requests than the limit that they name") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    for (double PerSecond : {0.5, 1.3, 10.0}) {
      CAPTURE(Seed);
      CAPTURE(PerSecond);
      serving_world World(manyServers(), Seed);
      play(World, world_route::Read, milliseconds(5), seconds(2));
      limitServers(World, "plain", 2, PerSecond);
      play(World, world_route::Read, milliseconds(5), seconds(12));
      checkLimits(World.book());
    }
}

TEST_CASE("engines get no more requests than the limit that they name") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyServers(), Seed);
    limitServers(World, "engine", 3, 0.5);
    play(World, world_route::Label, milliseconds(20), seconds(12));
    checkLimits(World.book());
  }
}
