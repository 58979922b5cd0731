// Prompt parts that crash the engine that begins a reply to them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/testing/serving_world.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using namespace jasminecroft::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Bounds of the users' rules: the time after the crashes from which sound
/// requests count, and their share against that before.
constexpr core_duration BoundAfterCrashes = seconds(3);
constexpr double MinSoundShare = 0.5;

constexpr std::uint64_t CommonPart = 1;
constexpr std::uint64_t FirstSession = 100;
constexpr std::uint64_t Sessions = 40;
constexpr std::uint64_t CrashingPart = 900;
constexpr std::uint64_t OtherCrashingPart = 901;

struct crash_load {
  std::vector<std::vector<std::uint64_t>> Crashing;
  core_duration CrashingGap = milliseconds(600);
  const char *Route = world_route::Label;
};

world_options manyEngines() {
  world_options Options;
  Options.HostsPerZone = 4;
  Options.EnginesPerZone = 6;
  return Options;
}

void askSound(serving_world &World, std::size_t Number) {
  std::uint64_t Session = FirstSession + World.random().below(Sessions);
  World.ask(Number, world_route::Label, {CommonPart, Session});
}

void play(serving_world &World, const crash_load &Load, core_duration Time) {
  constexpr core_duration Gap = milliseconds(50);
  core_duration SinceCrashing{0};
  for (std::size_t Number = 0; Time > core_duration{0}; Time -= Gap) {
    askSound(World, Number++);
    if (SinceCrashing >= Load.CrashingGap) {
      SinceCrashing = core_duration{0};
      for (const std::vector<std::uint64_t> &Parts : Load.Crashing)
        World.ask(World.random().below(World.hostCount()), Load.Route, Parts);
    }
    SinceCrashing += Gap;
    World.run(Gap);
  }
}

bool isSound(const booked_request &Request) {
  return std::none_of(
      Request.Parts.begin(), Request.Parts.end(), [](std::uint64_t Part) {
        return Part == CrashingPart || Part == OtherCrashingPart;
      });
}

/// Share of the sound requests since From that were served.
double servedShare(const serving_book &Book, core_time From, core_time Until) {
  std::size_t Asked = 0;
  std::size_t Served = 0;
  for (const std::pair<const caller_request_id, booked_request> &Entry :
       Book.requests()) {
    const booked_request &Request = Entry.second;
    if (!isSound(Request) || Request.Sent < From || Request.Sent > Until)
      continue;
    ++Asked;
    Served += Request.complete() ? 1 : 0;
  }
  REQUIRE(Asked > 0);
  return static_cast<double>(Served) / static_cast<double>(Asked);
}

/// Requests since From that were refused because of a quarantined part.
std::size_t quarantined(const serving_book &Book, core_time From, bool Sound) {
  std::size_t Count = 0;
  for (const std::pair<const caller_request_id, booked_request> &Entry :
       Book.requests())
    Count += Entry.second.Sent >= From && isSound(Entry.second) == Sound &&
                     Entry.second.Refused == refusal_kind::Quarantined
                 ? 1
                 : 0;
  return Count;
}

} // namespace

TEST_CASE("requests with a part that crashes engines stop reaching them") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CAPTURE(Seed);
    for (const char *Route : {world_route::Label, world_route::Draft}) {
      CAPTURE(std::string(Route));
      serving_world World(manyEngines(), Seed);
      World.addCrashingPart(CrashingPart);
      play(World,
           {{{CommonPart, FirstSession, CrashingPart}},
            milliseconds(600),
            Route},
           seconds(20));
      CHECK(World.book().crashingSentLate() <=
            serving_book::MaxCrashingSentLate);
    }
  }
}

TEST_CASE("two parts that crash engines at once both stop reaching them") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyEngines(), Seed);
    World.addCrashingPart(CrashingPart);
    World.addCrashingPart(OtherCrashingPart);
    play(World,
         {{{CommonPart, FirstSession, CrashingPart},
           {CommonPart, OtherCrashingPart, FirstSession + 1}}},
         seconds(20));
    CHECK(World.book().crashingSentLate() <= serving_book::MaxCrashingSentLate);
  }
}

TEST_CASE("sound requests that share parts with crashing ones are served") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyEngines(), Seed);
    World.addCrashingPart(CrashingPart);
    core_time Start = World.now();
    play(World, {}, seconds(6));
    core_time Crashing = World.now();
    play(World, {{{CommonPart, FirstSession, CrashingPart}}}, seconds(20));
    core_time Bound = Crashing + 2 * BoundAfterCrashes;
    double Before = servedShare(World.book(), Start, Crashing - seconds(1));
    double During = servedShare(World.book(), Bound, World.now() - seconds(4));
    CHECK(During >= MinSoundShare * Before);
    CHECK(quarantined(World.book(), Start, true) == 0);
    CHECK(quarantined(World.book(), Start, false) > 0);
  }
}

TEST_CASE("servers that end for other reasons quarantine no part") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyEngines(), Seed);
    core_time Start = World.now();
    for (int I = 0; I < 20; ++I) {
      for (std::size_t Lost = World.random().below(4); Lost > 0; --Lost)
        World.crashServer(World.random().below(World.serverCount()));
      play(World, {}, seconds(1));
    }
    CHECK(quarantined(World.book(), Start, true) == 0);
  }
}

TEST_CASE("a part that no longer crashes engines is served again") {
  serving_world World(manyEngines(), 1);
  World.addCrashingPart(CrashingPart);
  const crash_load Load{{{CommonPart, FirstSession, CrashingPart}}};
  play(World, Load, seconds(10));
  World.removeCrashingPart(CrashingPart);
  play(World, Load, seconds(80));
  core_time Late = World.now();
  play(World, Load, seconds(10));
  CHECK(quarantined(World.book(), Late, false) == 0);
}

TEST_CASE("hosts that start again learn of quarantined parts before a crash") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyEngines(), Seed);
    World.addCrashingPart(CrashingPart);
    const crash_load Load{{{CommonPart, FirstSession, CrashingPart}}};
    play(World, Load, seconds(8));
    std::size_t Crashes = World.book().partCrashes().size();
    for (std::size_t Host = 0; Host < World.hostCount(); ++Host) {
      World.killHost(Host);
      play(World, Load, seconds(1));
      World.startHost(Host);
      play(World, Load, seconds(1));
    }
    CHECK(World.book().partCrashes().size() == Crashes);
  }
}

TEST_CASE(
    "the loss of the hosts that judge crashes does not stop the judging") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CAPTURE(Seed);
    serving_world World(manyEngines(), Seed);
    World.addCrashingPart(CrashingPart);
    const crash_load Load{{{CommonPart, FirstSession, CrashingPart}}};
    for (std::size_t Host = 0; Host < World.hostCount(); ++Host) {
      play(World, Load, milliseconds(700));
      World.killHost(Host);
      World.startHost(Host);
    }
    play(World, Load, seconds(12));
    CHECK(World.book().crashingSentLate() <= serving_book::MaxCrashingSentLate);
  }
}
