// Jobs at queue owners that are silent or slow to reply.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;

TEST_CASE("a job moves from an unresponsive owner and stays with a live one") {
  serving_fixture Test;
  Test.addAllPools();
  for (int I = 1; I < 12; ++I)
    Test.Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                      endpoint("h:1"), 1'000'000},
                     Test.Now);
  auto Requested = [&Test] {
    std::vector<entry_host_id> Hosts;
    for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
      if (std::holds_alternative<piece_request>(Message.second))
        Hosts.push_back(Message.first);
    return Hosts;
  };
  Test.sendRequest("staged", {1, 0});
  REQUIRE(Requested().size() == 1);
  entry_host_id First = Requested()[0];
  SUBCASE("unresponsive") {
    Test.advance(milliseconds(400));
    REQUIRE(Requested().size() >= 2);
    CHECK(Requested().back() != First);
  }
  SUBCASE("alive") {
    Test.advance(milliseconds(100));
    Test.Core.onPeer({First, incarnation(1)}, results_released{}, Test.Now);
    Test.advance(milliseconds(300));
    REQUIRE(Requested().size() >= 2);
    CHECK(Requested().back() == First);
  }
}

TEST_CASE("an accepted job is not started elsewhere while its owner is silent "
          "for a short time") {
  serving_fixture Test;
  Test.addAllPools();
  for (int I = 1; I < 12; ++I)
    Test.Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                      endpoint("h:1"), 1'000'000},
                     Test.Now);
  Test.sendRequest("staged", {1, 0});
  REQUIRE(Test.requestedJobs().size() == 1);
  const std::pair<entry_host_id, piece_job> Job = Test.requestedJobs()[0];
  host_run Owner{Job.first, incarnation(1)};
  Test.advance(milliseconds(20));
  Test.Core.onPeer(Owner, pieces_accepted{Job.second.Job, {}}, Test.Now);
  auto StartedElsewhere = [&Test, &Job] {
    for (const std::pair<entry_host_id, piece_job> &Sent : Test.requestedJobs())
      if (Sent.first != Job.first && Sent.second.Job == Job.second.Job)
        return true;
    return false;
  };
  auto Cancelled = [&Test, &Job] {
    for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
      if (const pieces_cancelled *Body =
              std::get_if<pieces_cancelled>(&Message.second))
        if (Body->Job == Job.second.Job)
          return true;
    return false;
  };
  // The owner does not accept another job and is suspected.
  Test.advance(milliseconds(1));
  Test.sendRequest("staged", {1, 0});
  SUBCASE("short") {
    Test.advance(milliseconds(400));
    REQUIRE(Test.requestedJobs().back().first != Job.first);
    CHECK_FALSE(StartedElsewhere());
    CHECK_FALSE(Cancelled());
    Test.Core.onPeer(
        Owner,
        pieces_completed{Job.second.Job,
                         Job.second.Request,
                         {completed_piece{0, result_handle("x"), zone_id()}}},
        Test.Now);
    CHECK(Test.Actions.Forwards.size() == 1);
  }
  SUBCASE("long") {
    Test.advance(milliseconds(1'700));
    CHECK(StartedElsewhere());
  }
}

TEST_CASE("an owner that has become slow to accept jobs gets more time") {
  serving_fixture Test;
  Test.addAllPools();
  for (int I = 1; I < 12; ++I)
    Test.Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                      endpoint("h:1"), 1'000'000},
                     Test.Now);
  Test.sendRequest("staged", {1, 0});
  REQUIRE(Test.requestedJobs().size() == 1);
  const std::pair<entry_host_id, piece_job> First = Test.requestedJobs()[0];
  Test.advance(milliseconds(250));
  Test.Core.onPeer({First.first, incarnation(1)},
                   pieces_accepted{First.second.Job, {}}, Test.Now);
  Test.advance(milliseconds(1));
  Test.sendRequest("staged", {1, 0});
  auto Suspects = [&Test] {
    return std::any_of(Test.Actions.Log.begin(), Test.Actions.Log.end(),
                       [](const event_record &Record) {
                         return Record.Number == event_number::HostSuspected;
                       });
  };
  Test.advance(milliseconds(400));
  CHECK_FALSE(Suspects());
  Test.advance(milliseconds(1'000));
  CHECK(Suspects());
}
