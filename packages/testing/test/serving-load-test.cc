// Plays load in virtual time and checks what callers get: batching together
// against each host alone, and an overload in which not all can be on time.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/testing/serving_world.h"

#include <array>
#include <doctest/doctest.h>
#include <iostream>

using namespace jasminecroft;
using namespace jasminecroft::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct load_result {
  std::size_t Asked = 0;
  std::size_t OnTime = 0;
  std::size_t Late = 0;
  std::size_t Refused = 0;

  double onTimeShare() const {
    return static_cast<double>(OnTime) / static_cast<double>(Asked);
  }
};

// Callers come at an even rate to every host for ten seconds, then all answers
// are waited for.
std::map<std::string, load_result> play(bool Alone, int DraftsPerSecond,
                                        int LabelsPerSecond) {
  world_options Options;
  Options.HostsPerZone = 4;
  Options.BatchAlone = Alone;
  Options.PieceErrorPermille = 0;
  serving_world World(Options, 7);
  constexpr core_duration LoadTime = seconds(10);
  constexpr core_duration Step = milliseconds(1);
  double Drafts = 0;
  double Labels = 0;
  for (core_time End = World.now() + LoadTime; World.now() < End;) {
    for (Drafts += DraftsPerSecond / 1e3; Drafts >= 1; Drafts -= 1)
      World.ask(World.random().below(World.hostCount()), world_route::Draft);
    for (Labels += LabelsPerSecond / 1e3; Labels >= 1; Labels -= 1)
      World.ask(World.random().below(World.hostCount()), world_route::Label);
    World.run(Step);
  }
  World.run(seconds(6));
  for (const violation &Violation : World.book().violations())
    FAIL_CHECK(toText(Violation));
  std::map<std::string, load_result> Results;
  for (const std::pair<const caller_request_id, booked_request> &Entry :
       World.book().requests()) {
    const booked_request &Request = Entry.second;
    load_result &Result = Results[Request.Route.Name.Value];
    ++Result.Asked;
    bool OnTime = Request.onTime();
    Result.OnTime += OnTime ? 1 : 0;
    Result.Late += Request.complete() && !OnTime ? 1 : 0;
    Result.Refused += Request.Refused ? 1 : 0;
  }
  for (const std::pair<const std::string, load_result> &Entry : Results)
    std::cout << (Alone ? "alone " : "together ") << Entry.first << ": asked "
              << Entry.second.Asked << ", on time " << Entry.second.OnTime
              << ", late " << Entry.second.Late << ", refused "
              << Entry.second.Refused << "\n";
  return Results;
}

} // namespace

// Answers the load of a day's bursts: 4 servers make 80 pieces of the second
// stage a second in full calls, and 63 are asked for.
TEST_CASE("hosts that batch together serve more on time than each alone") {
  load_result Together = play(false, 18, 0)[world_route::Draft];
  load_result Alone = play(true, 18, 0)[world_route::Draft];
  CHECK(Together.onTimeShare() >= 0.9);
  CHECK(2 * Alone.OnTime < Together.OnTime);
}

// Answers an overload: labels alone ask for more of the first stage than its
// servers make.
TEST_CASE("in an overload the urgent are on time before the others") {
  std::map<std::string, load_result> Results = play(false, 8, 70);
  load_result Urgent = Results[world_route::Draft];
  load_result Others = Results[world_route::Label];
  CHECK(Urgent.onTimeShare() >= 0.8);
  CHECK(Urgent.onTimeShare() > Others.onTimeShare());
  CHECK(Others.OnTime > 0);
  CHECK(Others.Refused > 0);
}

// Answers demand that moves from one of four zones to another, before 80 hosts:
// 2.5 times what the busy zone's servers of the second stage make, and 95% of
// what all make.
TEST_CASE(
    "a zone with too much demand is served by others, also when it moves") {
  world_options Options;
  Options.Zones = 4;
  Options.HostsPerZone = 20;
  Options.StageServersPerZone = 6;
  Options.EnginesPerZone = 3;
  Options.PieceErrorPermille = 0;
  serving_world World(Options, 7);
  std::array<double, 4> Due{};
  core_time Begin = World.now();
  for (; World.now() < Begin + seconds(12); World.run(milliseconds(1)))
    for (std::size_t Zone = 0; Zone < Options.Zones; ++Zone) {
      bool Busy = Zone == (World.now() < Begin + seconds(6) ? 0 : 1);
      for (Due[Zone] += (Busy ? 85 : 15) / 1e3; Due[Zone] >= 1; Due[Zone] -= 1)
        World.ask(Zone * Options.HostsPerZone +
                      World.random().below(Options.HostsPerZone),
                  world_route::Draft);
    }
  World.run(seconds(6));
  CHECK(World.book().violations().empty());
  double OnTime = 0;
  for (const std::pair<const caller_request_id, booked_request> &Entry :
       World.book().requests())
    OnTime += Entry.second.onTime();
  CHECK(OnTime >= 0.99 * static_cast<double>(World.book().requests().size()));
}
