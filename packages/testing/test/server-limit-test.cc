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

/// Plays on and returns the most calls that one of the servers got in ten
/// seconds.
std::size_t mostInTenSeconds(serving_world &World, const char *Route,
                             const std::vector<std::size_t> &Servers) {
  constexpr int Window = 10;
  std::vector<core_time> Begins;
  std::size_t Most = 0;
  for (int Second = 0; Second < 2 * Window; ++Second) {
    Begins.push_back(World.now());
    play(World, Route, milliseconds(5), seconds(1));
    if (Begins.size() < Window)
      continue;
    for (std::size_t Server : Servers)
      Most = std::max(Most, World.book().arrivalsSince(World.serverId(Server),
                                                       Begins.end()[-Window]));
  }
  return Most;
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

TEST_CASE("servers of pieces get no more calls than the limit that they name") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyServers(), Seed);
    limitServers(World, "first", 8, 0.5);
    play(World, world_route::Label, milliseconds(50), seconds(12));
    checkLimits(World.book());
  }
}

TEST_CASE("a limit is kept by many hosts, of which each sends little") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    world_options Options = manyServers();
    Options.HostsPerZone = 30;
    serving_world World(Options, Seed);
    limitServers(World, "plain", 8, 1.3);
    play(World, world_route::Read, milliseconds(4), seconds(12));
    checkLimits(World.book());
  }
}

TEST_CASE("a limit is kept while the hosts that count requests are lost") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyServers(), Seed);
    limitServers(World, "plain", 8, 0.5);
    for (std::size_t Host = 0; Host < World.hostCount(); ++Host) {
      play(World, world_route::Read, milliseconds(5), milliseconds(1'500));
      World.killHost(Host);
      play(World, world_route::Read, milliseconds(5), milliseconds(500));
      World.startHost(Host);
    }
    checkLimits(World.book());
  }
}

TEST_CASE("a limit that changes with every second is kept") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyServers(), Seed);
    std::vector<std::size_t> Limited = limitServers(World, "plain", 2, 2);
    play(World, world_route::Read, milliseconds(5), seconds(4));
    // Rises only: requests that were sent by a higher limit are not counted
    // against a lower one.
    for (double PerSecond : {2.5, 3.0, 4.0, 6.0, 8.0}) {
      for (std::size_t Server : Limited)
        World.limitServer(Server, PerSecond);
      play(World, world_route::Read, milliseconds(5), seconds(4));
    }
    checkLimits(World.book());
  }
}

TEST_CASE("a server without its limit is used as before") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyServers(), Seed);
    for (double PerSecond : {0.0, 1.0}) {
      CAPTURE(PerSecond);
      std::vector<std::size_t> Limited =
          limitServers(World, "plain", 2, PerSecond);
      play(World, world_route::Read, milliseconds(10), seconds(6));
      for (std::size_t Server : Limited)
        World.limitServer(Server, std::nullopt);
      play(World, world_route::Read, milliseconds(10), seconds(6));
      core_time From = World.now();
      play(World, world_route::Read, milliseconds(10), seconds(4));
      // 400 requests for eight servers.
      for (std::size_t Server : Limited)
        CHECK(World.book().arrivalsSince(World.serverId(Server), From) > 25);
    }
  }
}

TEST_CASE("a pool with limits everywhere serves what they allow and refuses "
          "the rest at once") {
  constexpr double PerSecond = 5;
  constexpr core_duration Time = seconds(10);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyServers(), Seed);
    std::size_t Servers = limitServers(World, "plain", 8, PerSecond).size();
    play(World, world_route::Read, milliseconds(5), seconds(4));
    core_time From = World.now();
    play(World, world_route::Read, milliseconds(5), Time);
    core_time Until = World.now();
    World.run(seconds(1));
    std::size_t Served = 0;
    std::size_t Refused = 0;
    std::size_t Open = 0;
    for (const std::pair<const caller_request_id, booked_request> &Entry :
         World.book().requests()) {
      const booked_request &Request = Entry.second;
      if (Request.Sent < From || Request.Sent >= Until)
        continue;
      Served += Request.complete() ? 1 : 0;
      Refused += Request.Refused == refusal_kind::Limited ? 1 : 0;
      // A second is a quarter of the time that the caller waits.
      Open += Request.answered() ? 0 : 1;
    }
    double Allowed = PerSecond * static_cast<double>(Servers) *
                     std::chrono::duration<double>(Time).count();
    CHECK(static_cast<double>(Served) > Allowed / 2);
    CHECK(Refused > 0);
    CHECK(Open == 0);
    checkLimits(World.book());
  }
}

// Load: 200 requests a second at 8 or 60 hosts, for servers that all name a
// limit.
TEST_CASE("the pieces of a cut fleet together keep a limit") {
  for (std::size_t Pieces : {std::size_t{2}, std::size_t{3}, std::size_t{60}})
    for (double PerSecond : {0.5, 2.0, 10.0}) {
      CAPTURE(Pieces);
      CAPTURE(PerSecond);
      world_options Options = manyServers();
      Options.HostsPerZone = Pieces > 8 ? 30 : 4;
      serving_world World(Options, 1);
      World.splitHosts(Pieces);
      World.run(seconds(4));
      std::vector<std::size_t> Limited =
          limitServers(World, "plain", 8, PerSecond);
      play(World, world_route::Read, milliseconds(5), seconds(8));
      std::size_t Most = mostInTenSeconds(World, world_route::Read, Limited);
      CHECK(static_cast<double>(Most) <= 10 * PerSecond);
      if (Pieces < 8)
        CHECK(static_cast<double>(Most) >= 2 * PerSecond);
      checkLimits(World.book());
    }
}

TEST_CASE("the owners of a queue in the pieces of a cut fleet together keep a "
          "limit") {
  for (std::size_t Pieces : {std::size_t{1}, std::size_t{2}, std::size_t{3}}) {
    CAPTURE(Pieces);
    serving_world World(manyServers(), 1);
    World.splitHosts(Pieces);
    World.run(seconds(4));
    std::vector<std::size_t> Limited = limitServers(World, "first", 8, 2);
    play(World, world_route::Label, milliseconds(5), seconds(8));
    std::size_t Most = mostInTenSeconds(World, world_route::Label, Limited);
    CHECK(Most <= 20);
    CHECK(Most >= 4);
    checkLimits(World.book());
  }
}
