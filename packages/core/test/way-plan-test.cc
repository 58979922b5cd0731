// Tests of the plan of a request's way through its stages.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/way_plan.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Three stages in a row with calls of 400 ms and an aim of 2 s.
way_query threeStages(std::uint32_t Priority) {
  way_query Query;
  for (std::uint32_t Stage = 0; Stage < 3; ++Stage) {
    way_stage &Step = Query.Stages.emplace_back();
    if (Stage > 0)
      Step.After = {Stage - 1};
    Step.Call = milliseconds(400);
  }
  Query.FirstByte = milliseconds(100);
  Query.AimIn = seconds(2);
  Query.Priority = Priority;
  return Query;
}

} // namespace

TEST_CASE("a request is planned along all its stages") {
  way_plan Plan = planWay(threeStages(0));
  CHECK(Plan.Decision == way_decision::Start);
  CHECK(Plan.Needed == milliseconds(1'300));
}

// Answers a burst of less urgent work at the last stage.
TEST_CASE("a long queue of less urgent work refuses only the less urgent") {
  std::map<std::uint32_t, way_decision> Decisions;
  for (std::uint32_t Priority : {0U, 1U, 2U}) {
    way_query Query = threeStages(Priority);
    queue_wait &Wait = Query.Stages[2].Wait;
    Wait.OnTime = {milliseconds(900), milliseconds(1'900), seconds(4)};
    Wait.Late = {milliseconds(900), milliseconds(1'700), seconds(4)};
    Decisions[Priority] = planWay(Query).Decision;
  }
  CHECK(Decisions[0] == way_decision::Start);
  CHECK(Decisions[1] == way_decision::Refuse);
  CHECK(Decisions[2] == way_decision::Refuse);
}

TEST_CASE("more urgent work that is forecast for a later stage counts") {
  way_query Query = threeStages(2);
  Query.Stages[1].Wait.Planned = {seconds(1), seconds(1), milliseconds(2'500)};
  way_plan Plan = planWay(Query);
  CHECK(Plan.Decision == way_decision::Refuse);
  CHECK(Plan.LateWait == milliseconds(2'100));
  Query.Priority = 0;
  CHECK(planWay(Query).Decision == way_decision::Start);
}

TEST_CASE("a workspace above its share is refused from a shorter wait") {
  way_query Query = threeStages(1);
  queue_wait &Wait = Query.Stages[0].Wait;
  Wait.OnTime.fill(milliseconds(750));
  Wait.Late.fill(milliseconds(750));
  Query.Workspace = workspace_id("w");
  CHECK(planWay(Query).Decision == way_decision::StartLate);
  Wait.OverShare = {{workspace_id("other"), 1}, {workspace_id("w"), 0}};
  CHECK(planWay(Query).Decision == way_decision::StartLate);
  CHECK(planWay(Query).Standing == share_standing::Within);
  Wait.OverShare.push_back({workspace_id("w"), 1});
  CHECK(planWay(Query).Decision == way_decision::Refuse);
}

TEST_CASE("refused callers return when there is room, not together") {
  std::set<core_duration> Times;
  for (int I = 0; I < 200; ++I) {
    caller_request_id Id("r" + std::to_string(I));
    core_duration Time = spreadReturn(Id, seconds(2));
    CHECK(Time >= seconds(2));
    CHECK(Time < seconds(3));
    CHECK(Time == spreadReturn(Id, seconds(2)));
    Times.insert(Time / 100'000 * 100'000);
  }
  CHECK(Times.size() == 10);
  CHECK(spreadReturn(caller_request_id("r"), core_duration{0}) ==
        core_duration{0});
}
