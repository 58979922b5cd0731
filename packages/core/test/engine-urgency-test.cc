// Tests of the urgency of calls to model engines.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/engine_urgency.h"

#include "serving-fixture.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id Engines("engine");
const core_time Start{seconds(100)};
constexpr core_duration Goal = seconds(2);

route_config config(std::uint32_t First, std::uint32_t Second) {
  route_config Config = *serving_fixture::config();
  Config.Routes[2].Priority = First;
  Config.Routes[3].Priority = Second;
  Config.Routes[4].Priority = Second;
  return Config;
}

// A route of one priority waits behind another for longer than its timeout: the
// engines begin only requests that are as urgent as the most urgent ones.
std::size_t begunWithin(core_duration Time, bool Ages) {
  urgency_aging Aging;
  ranked_pools Ranked = {{Engines, 0}};
  std::size_t Begun = 0;
  for (core_duration Since{0}; Since < Time; Since += milliseconds(250)) {
    core_time Now = Start + Since;
    std::optional<std::uint32_t> Urgency =
        Ages ? Aging.urgencyOf(Ranked, Engines, 2, Goal, Now)
             : std::optional<std::uint32_t>(2);
    Aging.onSent(Engines, 2, Now);
    if (Urgency != 0)
      continue;
    ++Begun;
    Aging.onBegun(Engines, 2, Now);
  }
  return Begun;
}

} // namespace

TEST_CASE("only engine pools that several priorities reach are ranked") {
  CHECK(findRankedPools(config(1, 1)).empty());
  CHECK(findRankedPools(config(2, 1)) == ranked_pools{{Engines, 1}});
  route_config Plain = config(1, 1);
  Plain.Routes[0].Priority = 5;
  CHECK(findRankedPools(Plain).empty());
}

TEST_CASE("a workspace's priority ranks a pool, but not one of public routes") {
  route_config Config = config(1, 1);
  Config.Keys[workspace_key("other")] = {workspace_id("x"), 0};
  CHECK(findRankedPools(Config) == ranked_pools{{Engines, 0}});
  for (serving_route &Route : Config.Routes)
    Route.Public = true;
  CHECK(findRankedPools(Config).empty());
}

TEST_CASE("a class becomes more urgent only while it waits and none begins") {
  urgency_aging Aging;
  ranked_pools Ranked = {{Engines, 1}};
  auto At = [&](core_duration Since) {
    return Aging.urgencyOf(Ranked, Engines, 3, Goal, Start + Since);
  };
  CHECK_FALSE(Aging.urgencyOf({}, Engines, 3, Goal, Start));
  CHECK(At(seconds(60)) == 3);
  Aging.onSent(Engines, 3, Start);
  Aging.onSent(Engines, 3, Start + seconds(1));
  CHECK(At(milliseconds(1'999)) == 3);
  CHECK(At(seconds(2)) == 2);
  CHECK(At(seconds(60)) == 1);
  Aging.onBegun(Engines, 3, Start + seconds(60));
  CHECK(At(seconds(61)) == 3);
  Aging.onGivenUp(Engines, 3);
  CHECK(At(seconds(90)) == 3);
  CHECK(Aging.urgencyOf(Ranked, Engines, 12, Goal, Start) == 9);
}

TEST_CASE("load: engines that always have more urgent work begin some of the "
          "less urgent requests") {
  CHECK(begunWithin(seconds(60), false) == 0);
  CHECK(begunWithin(seconds(60), true) >= 12);
}

TEST_CASE("calls carry the priority where several reach the pool") {
  serving_fixture Fixture;
  Fixture.addAllPools();
  Fixture.sendRequest("stream");
  CHECK_FALSE(Fixture.lastForward().Urgency);
  std::shared_ptr<route_config> Ranked =
      std::make_shared<route_config>(config(2, 0));
  Ranked->Version = config_version(2);
  Ranked->Keys[workspace_key("first")] = {workspace_id("f"), 1};
  Fixture.Core.onConfig(Ranked, "text", Fixture.Now);
  Fixture.sendRequest("stream");
  CHECK(Fixture.lastForward().Urgency == 2);
  Fixture.sendRequest("resumable");
  CHECK(Fixture.lastForward().Urgency == 0);
  Fixture.sendRequest("stream", {}, "first");
  CHECK(Fixture.lastForward().Urgency == 1);
  Fixture.sendRequest("plain");
  CHECK_FALSE(Fixture.lastForward().Urgency);
}

TEST_CASE("a pause above the aim within a stream is counted by urgency") {
  serving_fixture Fixture;
  Fixture.addAllPools();
  std::shared_ptr<route_config> Ranked =
      std::make_shared<route_config>(config(1, 0));
  Ranked->Version = config_version(2);
  Ranked->Routes[2].PauseGoal = milliseconds(400);
  Fixture.Core.onConfig(Ranked, "text", Fixture.Now);
  Fixture.sendRequest("stream");
  call_id Call = Fixture.Actions.LastForward;
  Fixture.advance(milliseconds(900));
  Fixture.Core.onStreamHead(Call, serving_fixture::successHead(), Fixture.Now);
  for (std::uint64_t Event = 1; Event <= 4; ++Event) {
    Fixture.Core.onStreamEvents(Call, "e", Event, Event, Fixture.Now);
    Fixture.advance(milliseconds(Event == 2 ? 401 : 100));
  }
  CHECK(Fixture.Core.counters().LatePauses ==
        by_urgency<std::uint64_t>{0, 1, 0});
}
