// Stages of requests: assignment of jobs to queue owners, and release and
// recomputation of results.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE(
    "stages run in order with the results of the stages that they depend on") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("staged", {1, 2});
  REQUIRE(Test.Actions.Pieces.size() == 1);
  const batch_item &First = Test.Actions.Pieces.begin()->second.Items[0];
  CHECK(First.Stage == 0);
  CHECK(First.Source == piece_source(piece_key("piece-key")));
  Test.completePieces();
  REQUIRE(Test.Actions.Forwards.size() == 1);
  std::vector<result_handle> Inputs = Test.lastForward().Inputs;
  REQUIRE(Inputs.size() == 2);
  for (const result_handle &Input : Inputs)
    CHECK(Input.Value.find("/r1.1.") != std::string::npos);
  Test.Core.onStreamHead(Test.Actions.LastForward,
                         serving_fixture::successHead(), Test.Now);
  Test.advance(milliseconds(300));
  // All three results are freed once the response begins.
  CHECK(Test.Actions.Freed.size() == 3);
  CHECK(Test.Actions.Refusals[Request].empty());
}

TEST_CASE("stages without pieces are skipped") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("staged", {0, 0});
  CHECK(Test.Actions.Pieces.empty());
  CHECK(Test.Actions.Forwards.size() == 1);
}

TEST_CASE("lost results are recomputed before the request is sent again") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("staged", {1, 2});
  Test.completePieces();
  REQUIRE(Test.Actions.Forwards.size() == 1);
  backend_reply_head Gone = serving_fixture::notRunHead(409);
  Test.Core.onCompleteReply(Test.Actions.LastForward, Gone, "", Test.Now);
  CHECK(Test.Actions.Forwards.size() == 1);
  // The first stage's result was not lost.
  REQUIRE(Test.Actions.Pieces.size() == 1);
  CHECK(Test.Actions.Pieces.begin()->second.Items.front().Stage == 1);
  Test.completePieces();
  CHECK(Test.Actions.Forwards.size() == 2);
}

TEST_CASE("only lost results are recomputed") {
  serving_fixture Test;
  std::shared_ptr<route_config> Config = serving_fixture::config();
  // A stage parallel to the chain of two; its result is an input of the call.
  Config->Routes[4].Stages.push_back({pool_id("beside"), {}, 100'000});
  Config->Pools[pool_id("beside")] = Config->Pools[pool_id("first")];
  Test.Core.onConfig(Config, "text", Test.Now);
  for (const char *Pool : {"plain", "engine", "first", "second", "beside"})
    Test.addServers(Pool, 3);
  auto Requested = [&Test](std::uint32_t Stage) {
    std::size_t Count = 0;
    for (const std::pair<const call_id, recorded_actions::pieces_call> &Call :
         Test.Actions.Pieces)
      for (const batch_item &Item : Call.second.Items)
        Count += Item.Stage == Stage ? 1 : 0;
    return Count;
  };
  Test.sendRequest("staged", {1, 2, 1});
  REQUIRE(Requested(0) == 1);
  REQUIRE(Requested(2) == 1);
  // The chain's first result is lost before the second stage fetches it.
  Test.completeStage(0);
  REQUIRE(Requested(1) == 2);
  Test.failStage(1, batch_item_problem::InputGone);
  CHECK(Requested(0) == 1);
  CHECK(Requested(2) == 1);
  Test.completeStage(0);
  Test.completeStage(1);
  Test.completeStage(2);
  CHECK(Test.Actions.Forwards.size() == 1);
  CHECK(Test.lastForward().Inputs.size() == 3);
}

TEST_CASE(
    "small results are kept until the response begins, large ones are not") {
  serving_fixture Test;
  Test.addAllPools();
  std::shared_ptr<route_config> Config = serving_fixture::config(2);
  SUBCASE("small") {
    Test.sendRequest("staged", {1, 2});
    Test.completeStage(0);
    Test.completeStage(1);
    Test.advance(milliseconds(200));
    CHECK(Test.Actions.Freed.empty());
  }
  SUBCASE("large") {
    Config->Routes[4].Stages[0].ResultBytes = 100'000;
    Test.Core.onConfig(Config, "text", Test.Now);
    Test.sendRequest("staged", {1, 2});
    Test.completeStage(0);
    Test.completeStage(1);
    Test.advance(milliseconds(200));
    CHECK(Test.Actions.Freed.size() == 1);
  }
  REQUIRE(Test.Actions.Forwards.size() == 1);
  Test.Core.onStreamHead(Test.Actions.LastForward,
                         serving_fixture::successHead(), Test.Now);
  Test.advance(milliseconds(300));
  CHECK(Test.Actions.Freed.size() == 3);
}

TEST_CASE("the owner of a queue batches pieces of several hosts") {
  serving_fixture Test;
  Test.addAllPools();
  batching_host Peer{entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 1};
  Test.Core.onHost(Peer, Test.Now);
  // Both servers are busy while jobs of two hosts come in.
  Test.sendRequest("staged", {1, 0});
  Test.sendRequest("staged", {1, 0});
  std::size_t Busy = Test.Actions.Pieces.size();
  for (std::uint64_t Job = 1; Job <= 3; ++Job) {
    piece_job Wanted;
    Wanted.Job = piece_job_id(Job);
    Wanted.Request = caller_request_id("peer" + std::to_string(Job));
    Wanted.Pool = pool_id("first");
    Wanted.Pieces = {0, 1};
    Wanted.Source = piece_key("k");
    Wanted.DeadlineIn = seconds(2);
    Wanted.StartBy = seconds(1);
    Test.Core.onPeer({Peer.Host, incarnation(1)}, piece_request{Wanted},
                     Test.Now);
  }
  REQUIRE(Busy == 2);
  CHECK(Test.Actions.Pieces.size() == 2);
  Test.completePieces();
  std::size_t Made = 0;
  for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
    if (const pieces_completed *Body =
            std::get_if<pieces_completed>(&Message.second))
      Made += Body->Pieces.size();
  CHECK(Made == 6);
  CHECK(Test.Core.counters().Batches <= 4);
}

TEST_CASE("a restarted host does not get the pieces of its earlier run") {
  serving_fixture Test;
  Test.addAllPools();
  batching_host Peer{entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 1};
  Test.Core.onHost(Peer, Test.Now);
  std::pair<std::uint64_t, std::uint64_t> Runs;
  SUBCASE("") { Runs = {1, 2}; }
  SUBCASE("and its clock went back") { Runs = {2, 1}; }
  // Both servers are busy, so that the jobs wait.
  Test.sendRequest("staged", {8, 0});
  Test.sendRequest("staged", {8, 0});
  for (std::uint64_t Run : {Runs.first, Runs.second}) {
    piece_job Wanted;
    Wanted.Job = piece_job_id(5);
    Wanted.Request = caller_request_id(Run == Runs.first ? "old" : "new");
    Wanted.Pool = pool_id("first");
    Wanted.Pieces = {0};
    Wanted.Source = piece_key("k");
    Wanted.DeadlineIn = seconds(2);
    Wanted.StartBy = seconds(1);
    Test.Core.onPeer({Peer.Host, incarnation(Run)}, piece_request{Wanted},
                     Test.Now);
  }
  Test.completePieces();
  std::size_t Answers = 0;
  for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent) {
    const pieces_completed *Body =
        std::get_if<pieces_completed>(&Message.second);
    if (!Body)
      continue;
    ++Answers;
    CHECK(Body->Request == caller_request_id("new"));
    for (const completed_piece &Piece : Body->Pieces)
      CHECK(Piece.Result.Value.find("/new.") != std::string::npos);
  }
  CHECK(Answers == 1);
}

TEST_CASE("pieces of another request are rejected") {
  serving_fixture Test;
  Test.addAllPools();
  for (int I = 1; I < 12; ++I)
    Test.Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                      endpoint("h:1"), 1'000'000},
                     Test.Now);
  Test.sendRequest("staged", {1, 0});
  std::optional<piece_request> Wanted;
  entry_host_id Owner;
  for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
    if (const piece_request *Body =
            std::get_if<piece_request>(&Message.second)) {
      Wanted = *Body;
      Owner = Message.first;
    }
  REQUIRE(Wanted);
  pieces_completed Made{Wanted->Job.Job,
                        caller_request_id("another"),
                        {{0, result_handle("10.0.0.1:80/x"), zone_id("z0")}}};
  Test.Core.onPeer({Owner, incarnation(1)}, Made, Test.Now);
  CHECK(Test.Actions.Forwards.empty());
  Made.Request = Wanted->Job.Request;
  Test.Core.onPeer({Owner, incarnation(1)}, Made, Test.Now);
  CHECK(Test.Actions.Forwards.size() == 1);
}

TEST_CASE("only the assigned owner reports progress and failure of a job") {
  serving_fixture Test;
  Test.addAllPools();
  std::shared_ptr<route_config> Config = serving_fixture::config(2);
  Config->Routes[4].Stages[0].ResultBytes = 100'000;
  Test.Core.onConfig(Config, "text", Test.Now);
  for (int I = 1; I < 12; ++I)
    Test.Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                      endpoint("h:1"), 1'000'000},
                     Test.Now);
  request_id Request = Test.sendRequest("staged", {1, 1});
  REQUIRE(Test.requestedJobs().size() == 1);
  // The first stage completes; the owner of the second becomes unresponsive.
  Test.completeFirstStage("10.0.0.0:80/first");
  REQUIRE(Test.requestedJobs().size() == 2);
  const std::pair<entry_host_id, piece_job> Unresponsive =
      Test.requestedJobs()[1];
  Test.advance(milliseconds(400));
  REQUIRE(Test.requestedJobs().size() >= 3);
  REQUIRE(Test.requestedJobs().back().first != Unresponsive.first);
  CHECK(Test.sentTo<pieces_cancelled>(Unresponsive.first) == 1);
  SUBCASE("inputs fetched by an earlier owner are kept") {
    Test.Core.onPeer({Unresponsive.first, incarnation(1)},
                     inputs_fetched{Unresponsive.second.Job}, Test.Now);
    CHECK(Test.released() == 0);
    Test.Core.onPeer({Test.requestedJobs().back().first, incarnation(1)},
                     inputs_fetched{Unresponsive.second.Job}, Test.Now);
    CHECK(Test.released() == 1);
  }
  SUBCASE("a failure at an earlier owner is ignored") {
    Test.Core.onPeer(
        {Unresponsive.first, incarnation(1)},
        pieces_failed{Unresponsive.second.Job, piece_failure::NotMade},
        Test.Now);
    CHECK(Test.Actions.Refusals[Request].empty());
  }
  SUBCASE("pieces of an earlier owner are accepted and the later job is "
          "cancelled") {
    entry_host_id Later = Test.requestedJobs().back().first;
    Test.Core.onPeer(
        {Unresponsive.first, incarnation(1)},
        pieces_completed{
            Unresponsive.second.Job,
            Unresponsive.second.Request,
            {completed_piece{0, result_handle("10.0.0.0:80/second"),
                             zone_id("z0")}}},
        Test.Now);
    CHECK(Test.Actions.Forwards.size() == 1);
    CHECK(Test.sentTo<pieces_cancelled>(Later) == 1);
  }
}

TEST_CASE("an accepted job stays with a live owner when ownership of its queue "
          "moves") {
  serving_fixture Test;
  Test.addAllPools();
  entry_host_id First("h1");
  Test.Core.onHost({First, zone_id("z0"), endpoint("h1:1"), 1'000'000},
                   Test.Now);
  Test.sendRequest("staged", {1, 1});
  REQUIRE(Test.requestedJobs().size() == 1);
  REQUIRE(Test.requestedJobs()[0].first == First);
  Test.Core.onPeer({First, incarnation(1)},
                   pieces_accepted{Test.requestedJobs()[0].second.Job, {}},
                   Test.Now);
  Test.Core.onHost(
      {entry_host_id("h2"), zone_id("z0"), endpoint("h2:1"), 4'000'000'000},
      Test.Now);
  Test.advance(milliseconds(750));
  REQUIRE(Test.requestedJobs().size() == 2);
  CHECK(Test.requestedJobs()[1].first == First);
}

TEST_CASE("results of a departed owner are freed by the requesting host") {
  serving_fixture Test;
  Test.addAllPools();
  entry_host_id Owner("h1");
  Test.Core.onHost({Owner, zone_id("z0"), endpoint("h1:1"), 1'000'000'000},
                   Test.Now);
  request_id Request = Test.sendRequest("staged", {1, 1});
  const piece_request *Wanted = nullptr;
  for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
    if (const piece_request *Body = std::get_if<piece_request>(&Message.second))
      Wanted = Body;
  REQUIRE(Wanted);
  result_handle Result("10.0.0.0:80/made");
  Test.Core.onPeer(
      {Owner, incarnation(1)},
      pieces_completed{Wanted->Job.Job,
                       Wanted->Job.Request,
                       {completed_piece{0, Result, zone_id("z0")}}},
      Test.Now);
  Test.Core.onHostRemoved(Owner, Test.Now);
  Test.Core.onCallerDisconnected(Request, Test.Now);
  Test.advance(milliseconds(500));
  REQUIRE(Test.Actions.Freed.size() == 1);
  CHECK(Test.Actions.Freed[0] == Result);
}

TEST_CASE("a draining host returns its queued jobs and still serves departing "
          "peers") {
  serving_fixture Test;
  Test.addAllPools();
  batching_host Peer{entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 1};
  Test.Core.onHost(Peer, Test.Now);
  Test.sendRequest("staged", {8, 0});
  Test.sendRequest("staged", {8, 0});
  piece_job Wanted;
  Wanted.Job = piece_job_id(5);
  Wanted.Request = caller_request_id("peer");
  Wanted.Pool = pool_id("first");
  Wanted.Pieces = {0};
  Wanted.Source = piece_key("k");
  Wanted.DeadlineIn = seconds(2);
  Wanted.StartBy = seconds(1);
  Test.Core.onPeer({Peer.Host, incarnation(1)}, piece_request{Wanted},
                   Test.Now);
  Test.Core.beginDraining({Test.Now + seconds(2), Test.Now + seconds(7)},
                          Test.Now);
  CHECK_FALSE(Test.Core.ready());
  bool Returned =
      std::any_of(Test.Actions.Sent.begin(), Test.Actions.Sent.end(),
                  [](const std::pair<entry_host_id, peer_body> &Message) {
                    const pieces_failed *Body =
                        std::get_if<pieces_failed>(&Message.second);
                    return Body && Body->Failure == piece_failure::OwnerChanged;
                  });
  CHECK(Returned);
  // A peer that leaves as well still gets replies about its jobs.
  Test.Actions.Sent.clear();
  host_heartbeat Departure;
  Departure.Self = Peer;
  Departure.Leaving = true;
  Test.Core.onPeer({Peer.Host, incarnation(1)}, Departure, Test.Now);
  Wanted.Job = piece_job_id(6);
  Test.Core.onPeer({Peer.Host, incarnation(1)}, piece_request{Wanted},
                   Test.Now);
  bool Answered = std::any_of(
      Test.Actions.Sent.begin(), Test.Actions.Sent.end(),
      [](const std::pair<entry_host_id, peer_body> &Message) {
        return std::holds_alternative<pieces_accepted>(Message.second);
      });
  CHECK(Answered);
}

namespace {

// Adds twelve servers in three zones, which have a queue each. Another host
// owns them.
void addZones(serving_fixture &Test) {
  Test.addServers("engine", 3);
  for (int I = 0; I < 12; ++I) {
    backend_entry Entry;
    Entry.Id = backend_id("first" + std::to_string(I));
    Entry.Pool = pool_id("first");
    Entry.Address = endpoint("10.0.1." + std::to_string(I) + ":80");
    Entry.Zone = zone_id("z" + std::to_string(I % 3));
    Entry.Run = incarnation(1);
    Test.Core.onBackend(Entry, Test.Now);
  }
  Test.Core.onHost(
      {entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 1'000'000'000},
      Test.Now);
}

void reportWait(serving_fixture &Test, piece_job_id Job, core_duration Time) {
  queue_wait Wait;
  Wait.OnTime.fill(Time);
  Wait.Late.fill(Time);
  Test.Core.onPeer({entry_host_id("h1"), incarnation(1)},
                   pieces_accepted{Job, Wait}, Test.Now);
}

} // namespace

TEST_CASE("jobs of a large pool go to the queue with the shortest wait") {
  serving_fixture Test;
  Test.configure();
  addZones(Test);
  Test.sendRequest("staged", {1, 0});
  REQUIRE(Test.requestedJobs().size() == 1);
  CHECK(Test.requestedJobs()[0].second.QueueZone == zone_id("z0"));
  reportWait(Test, Test.requestedJobs()[0].second.Job, milliseconds(400));
  Test.sendRequest("staged", {1, 0});
  REQUIRE(Test.requestedJobs().size() == 2);
  CHECK(Test.requestedJobs()[1].second.QueueZone != zone_id("z0"));
}

// Answers a zone that is busier than others, before many hosts.
TEST_CASE(
    "where callers compete, a part of the jobs of many bytes leaves a long "
    "queue") {
  serving_fixture Test;
  std::shared_ptr<route_config> Config = serving_fixture::config();
  for (serving_route &Route : Config->Routes)
    for (route_stage &Stage : Route.Stages)
      Stage.ResultBytes = 1'240'000;
  Config->Keys[workspace_key("other")] = {workspace_id("v"), std::nullopt};
  Test.Core.onConfig(Config, "text", Test.Now);
  addZones(Test);
  Test.sendRequest("staged", {1, 0});
  REQUIRE(Test.requestedJobs().size() == 1);
  reportWait(Test, Test.requestedJobs()[0].second.Job, milliseconds(400));
  std::map<zone_id, int> Chosen;
  for (int I = 0; I < 40; ++I)
    Test.sendRequest("staged", {1, 0});
  for (const std::pair<entry_host_id, piece_job> &Job : Test.requestedJobs())
    ++Chosen[Job.second.QueueZone];
  for (const char *Zone : {"z0", "z1", "z2"})
    CHECK(Chosen[zone_id(Zone)] >= 5);
}

TEST_CASE("a request that cannot complete in time is refused on arrival") {
  serving_fixture Test;
  Test.configure();
  Test.addServers("engine", 1);
  Test.addServers("first", 1);
  Test.addServers("second", 1);
  for (int I = 0; I < 40; ++I)
    Test.sendRequest("staged", {8, 1});
  std::size_t Refused = 0;
  for (const std::pair<const request_id, std::vector<refusal>> &Entry :
       Test.Actions.Refusals)
    for (const refusal &Refusal : Entry.second) {
      ++Refused;
      CHECK(guaranteesNotRun(Refusal.Kind));
      CHECK(Refusal.RetryAfter > core_duration{0});
    }
  CHECK(Refused > 20);
}

// Answers a burst of 40 requests at once to one server.
TEST_CASE("refused callers return spread only where callers compete") {
  for (bool Competing : {false, true}) {
    serving_fixture Test;
    std::shared_ptr<route_config> Config = serving_fixture::config();
    if (Competing)
      Config->Keys[workspace_key("other")] = {workspace_id("v"), std::nullopt};
    Test.Core.onConfig(Config, "text", Test.Now);
    for (const char *Pool : {"engine", "first", "second"})
      Test.addServers(Pool, 1);
    for (int I = 0; I < 40; ++I)
      Test.sendRequest("staged", {8, 1});
    std::size_t Refused = 0;
    std::set<core_duration> Times;
    for (const std::pair<const request_id, std::vector<refusal>> &Entry :
         Test.Actions.Refusals)
      for (const refusal &Refusal : Entry.second) {
        ++Refused;
        Times.insert(Refusal.RetryAfter);
      }
    REQUIRE(Refused > 20);
    CAPTURE(Competing);
    CHECK((Times.size() > Refused / 2) == Competing);
  }
}
