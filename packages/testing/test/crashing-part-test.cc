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

/// Bounds of the users' rule: requests after the fifth crash and this time.
constexpr std::size_t CrashesBeforeBound = 5;
constexpr core_duration BoundAfterCrashes = seconds(3);
constexpr std::size_t MaxSentAfterBound = 3;

/// The same for sound requests, against those before the crashes.
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

std::size_t sentAfterBound(const serving_book &Book) {
  if (Book.partCrashes().size() < CrashesBeforeBound)
    return 0;
  core_time Bound =
      Book.partCrashes()[CrashesBeforeBound - 1] + BoundAfterCrashes;
  return static_cast<std::size_t>(
      std::count_if(Book.crashingSent().begin(), Book.crashingSent().end(),
                    [Bound](core_time Sent) { return Sent > Bound; }));
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
      CHECK(sentAfterBound(World.book()) <= MaxSentAfterBound);
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
    CHECK(sentAfterBound(World.book()) <= MaxSentAfterBound);
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
  }
}
