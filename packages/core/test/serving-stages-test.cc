// Stages of requests: which host makes their pieces, and what becomes of the
// results.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("stages run in order, with the results of those before them") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("staged", {1, 2});
  REQUIRE(Test.Actions.Pieces.size() == 1);
  const batch_item &First = Test.Actions.Pieces.begin()->second.Items[0];
  CHECK(First.Stage == 0);
  CHECK(First.Key == "piece-key");
  CHECK(First.Inputs.empty());
  Test.makePieces();
  REQUIRE(Test.Actions.Forwards.size() == 1);
  std::vector<result_handle> Inputs = Test.lastForward().Inputs;
  REQUIRE(Inputs.size() == 2);
  for (const result_handle &Input : Inputs)
    CHECK(Input.Value.find("/r1.1.") != std::string::npos);
  Test.Core.onStreamHead(Test.Actions.LastForward, serving_fixture::good(),
                         Test.Now);
  Test.pass(milliseconds(300));
  // All three results are freed once nothing needs them.
  CHECK(Test.Actions.Freed.size() == 3);
  CHECK(Test.Actions.Refusals[Request].empty());
}

TEST_CASE("omitted stages are no work") {
  serving_fixture Test;
  Test.addAll();
  Test.ask("staged", {0, 0});
  CHECK(Test.Actions.Pieces.empty());
  CHECK(Test.Actions.Forwards.size() == 1);
}

TEST_CASE("lost results are made again before the request is sent again") {
  serving_fixture Test;
  Test.addAll();
  Test.ask("staged", {1, 2});
  Test.makePieces();
  REQUIRE(Test.Actions.Forwards.size() == 1);
  backend_reply_head Gone = serving_fixture::notRun(409);
  Gone.InputGone = true;
  Test.Core.onReplyWhole(Test.Actions.LastForward, Gone, "", Test.Now);
  CHECK(Test.Actions.Forwards.size() == 1);
  // The first stage's result is still there.
  REQUIRE(Test.Actions.Pieces.size() == 1);
  CHECK(Test.Actions.Pieces.begin()->second.Items.front().Stage == 1);
  Test.makePieces();
  CHECK(Test.Actions.Forwards.size() == 2);
}

TEST_CASE("only what was lost is made again") {
  serving_fixture Test;
  std::shared_ptr<route_config> Config = serving_fixture::config();
  // A stage beside the chain of two, all results of which the answer needs.
  Config->Routes[4].Stages.push_back({pool_id("beside"), {}, 100'000});
  Config->Pools[pool_id("beside")] = Config->Pools[pool_id("first")];
  Test.Core.onConfig(Config, "text", Test.Now);
  for (const char *Pool : {"plain", "engine", "first", "second", "beside"})
    Test.addServers(Pool, 3);
  auto Asked = [&Test](std::uint32_t Stage) {
    std::size_t Count = 0;
    for (const std::pair<const call_id, recorded_actions::pieces_call> &Call :
         Test.Actions.Pieces)
      for (const batch_item &Item : Call.second.Items)
        Count += Item.Stage == Stage ? 1 : 0;
    return Count;
  };
  Test.ask("staged", {1, 2, 1});
  REQUIRE(Asked(0) == 1);
  REQUIRE(Asked(2) == 1);
  // The chain's first result is lost before the second stage has it.
  Test.answerPieces(0);
  REQUIRE(Asked(1) == 2);
  Test.failPieces(1, batch_item_problem::InputGone);
  CHECK(Asked(0) == 1);
  CHECK(Asked(2) == 1);
  Test.answerPieces(0);
  Test.answerPieces(1);
  Test.answerPieces(2);
  CHECK(Test.Actions.Forwards.size() == 1);
  CHECK(Test.lastForward().Inputs.size() == 3);
}

TEST_CASE("small results stay until the answer begins, large ones do not") {
  serving_fixture Test;
  Test.addAll();
  std::shared_ptr<route_config> Config = serving_fixture::config(2);
  SUBCASE("small") {
    Test.ask("staged", {1, 2});
    Test.answerPieces(0);
    Test.answerPieces(1);
    Test.pass(milliseconds(200));
    CHECK(Test.Actions.Freed.empty());
  }
  SUBCASE("large") {
    Config->Routes[4].Stages[0].ResultBytes = 100'000;
    Test.Core.onConfig(Config, "text", Test.Now);
    Test.ask("staged", {1, 2});
    Test.answerPieces(0);
    Test.answerPieces(1);
    Test.pass(milliseconds(200));
    CHECK(Test.Actions.Freed.size() == 1);
  }
  REQUIRE(Test.Actions.Forwards.size() == 1);
  Test.Core.onStreamHead(Test.Actions.LastForward, serving_fixture::good(),
                         Test.Now);
  Test.pass(milliseconds(300));
  CHECK(Test.Actions.Freed.size() == 3);
}

TEST_CASE("hosts fill one call together through the owner of the queue") {
  serving_fixture Test;
  Test.addAll();
  batching_host Peer{entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 1};
  Test.Core.onHost(Peer, Test.Now);
  // Both servers are busy while jobs of two hosts come in.
  Test.ask("staged", {1, 0});
  Test.ask("staged", {1, 0});
  std::size_t Busy = Test.Actions.Pieces.size();
  for (std::uint64_t Job = 1; Job <= 3; ++Job) {
    piece_job Wanted;
    Wanted.Job = piece_job_id(Job);
    Wanted.Request = caller_request_id("peer" + std::to_string(Job));
    Wanted.Pool = pool_id("first");
    Wanted.Pieces = {0, 1};
    Wanted.Key = "k";
    Wanted.DeadlineIn = seconds(2);
    Wanted.StartBy = seconds(1);
    Test.Core.onPeer({Peer.Host, incarnation(1)}, piece_request{Wanted},
                     Test.Now);
  }
  REQUIRE(Busy == 2);
  CHECK(Test.Actions.Pieces.size() == 2);
  Test.makePieces();
  std::size_t Made = 0;
  for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
    if (const pieces_completed *Body =
            std::get_if<pieces_completed>(&Message.second))
      Made += Body->Pieces.size();
  CHECK(Made == 6);
  CHECK(Test.Core.counters().Batches <= 4);
}

TEST_CASE(
    "an owner that is silent is replaced, one that is heard is asked again") {
  serving_fixture Test;
  Test.addAll();
  for (int I = 1; I < 12; ++I)
    Test.Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                      endpoint("h:1"), 1'000'000},
                     Test.Now);
  auto Asked = [&Test] {
    std::vector<entry_host_id> Hosts;
    for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
      if (std::holds_alternative<piece_request>(Message.second))
        Hosts.push_back(Message.first);
    return Hosts;
  };
  Test.ask("staged", {1, 0});
  REQUIRE(Asked().size() == 1);
  entry_host_id First = Asked()[0];
  SUBCASE("silent") {
    Test.pass(milliseconds(400));
    REQUIRE(Asked().size() >= 2);
    CHECK(Asked().back() != First);
  }
  SUBCASE("heard") {
    Test.pass(milliseconds(100));
    Test.Core.onPeer({First, incarnation(1)}, results_released{}, Test.Now);
    Test.pass(milliseconds(300));
    REQUIRE(Asked().size() >= 2);
    CHECK(Asked().back() == First);
  }
}

TEST_CASE("a restarted host never gets the pieces of its earlier run") {
  serving_fixture Test;
  Test.addAll();
  batching_host Peer{entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 1};
  Test.Core.onHost(Peer, Test.Now);
  // Both servers are busy, so that the jobs wait.
  Test.ask("staged", {8, 0});
  Test.ask("staged", {8, 0});
  for (std::uint64_t Run = 1; Run <= 2; ++Run) {
    piece_job Wanted;
    Wanted.Job = piece_job_id(5);
    Wanted.Request = caller_request_id(Run == 1 ? "old" : "new");
    Wanted.Pool = pool_id("first");
    Wanted.Pieces = {0};
    Wanted.Key = "k";
    Wanted.DeadlineIn = seconds(2);
    Wanted.StartBy = seconds(1);
    Test.Core.onPeer({Peer.Host, incarnation(Run)}, piece_request{Wanted},
                     Test.Now);
  }
  Test.makePieces();
  std::size_t Answers = 0;
  for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent) {
    const pieces_completed *Body =
        std::get_if<pieces_completed>(&Message.second);
    if (!Body)
      continue;
    ++Answers;
    CHECK(Body->Request == caller_request_id("new"));
    for (const made_piece &Piece : Body->Pieces)
      CHECK(Piece.Result.Value.find("/new.") != std::string::npos);
  }
  CHECK(Answers == 1);
}

TEST_CASE("pieces that name another request are not taken") {
  serving_fixture Test;
  Test.addAll();
  for (int I = 1; I < 12; ++I)
    Test.Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                      endpoint("h:1"), 1'000'000},
                     Test.Now);
  Test.ask("staged", {1, 0});
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

TEST_CASE("only the owner that was asked last speaks for a job") {
  serving_fixture Test;
  Test.addAll();
  std::shared_ptr<route_config> Config = serving_fixture::config(2);
  Config->Routes[4].Stages[0].ResultBytes = 100'000;
  Test.Core.onConfig(Config, "text", Test.Now);
  for (int I = 1; I < 12; ++I)
    Test.Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                      endpoint("h:1"), 1'000'000},
                     Test.Now);
  request_id Request = Test.ask("staged", {1, 1});
  REQUIRE(Test.asked().size() == 1);
  // The first stage is made; the owner of the second falls silent.
  Test.makeFirstStage("10.0.0.0:80/first");
  REQUIRE(Test.asked().size() == 2);
  const std::pair<entry_host_id, piece_job> Silent = Test.asked()[1];
  Test.pass(milliseconds(400));
  REQUIRE(Test.asked().size() >= 3);
  REQUIRE(Test.asked().back().first != Silent.first);
  CHECK(Test.sentTo<pieces_cancelled>(Silent.first) == 1);
  SUBCASE("inputs that an earlier owner fetched are kept") {
    Test.Core.onPeer({Silent.first, incarnation(1)},
                     inputs_fetched{Silent.second.Job}, Test.Now);
    CHECK(Test.released() == 0);
    Test.Core.onPeer({Test.asked().back().first, incarnation(1)},
                     inputs_fetched{Silent.second.Job}, Test.Now);
    CHECK(Test.released() == 1);
  }
  SUBCASE("an earlier owner's failure ends nothing") {
    Test.Core.onPeer({Silent.first, incarnation(1)},
                     pieces_failed{Silent.second.Job, piece_failure::NotMade},
                     Test.Now);
    CHECK(Test.Actions.Refusals[Request].empty());
  }
  SUBCASE("an earlier owner's pieces are taken, and the later one stops") {
    entry_host_id Later = Test.asked().back().first;
    Test.Core.onPeer(
        {Silent.first, incarnation(1)},
        pieces_completed{Silent.second.Job,
                         Silent.second.Request,
                         {made_piece{0, result_handle("10.0.0.0:80/second"),
                                     zone_id("z0")}}},
        Test.Now);
    CHECK(Test.Actions.Forwards.size() == 1);
    CHECK(Test.sentTo<pieces_cancelled>(Later) == 1);
  }
}

TEST_CASE("a job stays with the owner that has it while that lives") {
  serving_fixture Test;
  Test.addAll();
  entry_host_id First("h1");
  Test.Core.onHost({First, zone_id("z0"), endpoint("h1:1"), 1'000'000},
                   Test.Now);
  Test.ask("staged", {1, 1});
  REQUIRE(Test.asked().size() == 1);
  REQUIRE(Test.asked()[0].first == First);
  Test.Core.onPeer({First, incarnation(1)},
                   pieces_accepted{Test.asked()[0].second.Job, {}}, Test.Now);
  Test.Core.onHost(
      {entry_host_id("h2"), zone_id("z0"), endpoint("h2:1"), 4'000'000'000},
      Test.Now);
  Test.pass(milliseconds(750));
  REQUIRE(Test.asked().size() == 2);
  CHECK(Test.asked()[1].first == First);
}

TEST_CASE("results of an owner that left are freed by the host that asked") {
  serving_fixture Test;
  Test.addAll();
  entry_host_id Owner("h1");
  Test.Core.onHost({Owner, zone_id("z0"), endpoint("h1:1"), 1'000'000'000},
                   Test.Now);
  request_id Request = Test.ask("staged", {1, 1});
  const piece_request *Wanted = nullptr;
  for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
    if (const piece_request *Body = std::get_if<piece_request>(&Message.second))
      Wanted = Body;
  REQUIRE(Wanted);
  result_handle Result("10.0.0.0:80/made");
  Test.Core.onPeer({Owner, incarnation(1)},
                   pieces_completed{Wanted->Job.Job,
                                    Wanted->Job.Request,
                                    {made_piece{0, Result, zone_id("z0")}}},
                   Test.Now);
  Test.Core.onHostRemoved(Owner, Test.Now);
  Test.Core.onCallerLeft(Request, Test.Now);
  Test.pass(milliseconds(500));
  REQUIRE(Test.Actions.Freed.size() == 1);
  CHECK(Test.Actions.Freed[0] == Result);
}

TEST_CASE("a leaving host gives its queue back and is still answered") {
  serving_fixture Test;
  Test.addAll();
  batching_host Peer{entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 1};
  Test.Core.onHost(Peer, Test.Now);
  Test.ask("staged", {8, 0});
  Test.ask("staged", {8, 0});
  piece_job Wanted;
  Wanted.Job = piece_job_id(5);
  Wanted.Request = caller_request_id("peer");
  Wanted.Pool = pool_id("first");
  Wanted.Pieces = {0};
  Wanted.Key = "k";
  Wanted.DeadlineIn = seconds(2);
  Wanted.StartBy = seconds(1);
  Test.Core.onPeer({Peer.Host, incarnation(1)}, piece_request{Wanted},
                   Test.Now);
  Test.Core.beginLeaving(Test.Now);
  CHECK_FALSE(Test.Core.ready());
  bool GivenBack =
      std::any_of(Test.Actions.Sent.begin(), Test.Actions.Sent.end(),
                  [](const std::pair<entry_host_id, peer_body> &Message) {
                    const pieces_failed *Body =
                        std::get_if<pieces_failed>(&Message.second);
                    return Body && Body->Failure == piece_failure::OwnerChanged;
                  });
  CHECK(GivenBack);
  // The peer that leaves in turn is still told what became of its jobs.
  Test.Actions.Sent.clear();
  host_heartbeat Goodbye;
  Goodbye.Self = Peer;
  Goodbye.Leaving = true;
  Test.Core.onPeer({Peer.Host, incarnation(1)}, Goodbye, Test.Now);
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

TEST_CASE("of a large pool's queues the one that begins first is asked") {
  serving_fixture Test;
  Test.configure();
  Test.addServers("engine", 3);
  // Twelve servers in three zones: each zone has a queue.
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
  Test.ask("staged", {1, 0});
  REQUIRE(Test.asked().size() == 1);
  CHECK(Test.asked()[0].second.QueueZone == zone_id("z0"));
  queue_wait Wait;
  Wait.OnTime.fill(milliseconds(400));
  Wait.Late = milliseconds(400);
  Test.Core.onPeer({entry_host_id("h1"), incarnation(1)},
                   pieces_accepted{Test.asked()[0].second.Job, Wait}, Test.Now);
  Test.ask("staged", {1, 0});
  REQUIRE(Test.asked().size() == 2);
  CHECK(Test.asked()[1].second.QueueZone != zone_id("z0"));
}

TEST_CASE("a request that cannot be done in time is refused at once") {
  serving_fixture Test;
  Test.configure();
  Test.addServers("engine", 1);
  Test.addServers("first", 1);
  Test.addServers("second", 1);
  for (int I = 0; I < 40; ++I)
    Test.ask("staged", {8, 1});
  std::size_t Refused = 0;
  for (const std::pair<const request_id, std::vector<refusal>> &Entry :
       Test.Actions.Refusals)
    for (const refusal &Refusal : Entry.second) {
      ++Refused;
      CHECK(promisesNotRun(Refusal.Kind));
      CHECK(Refusal.RetryAfter > core_duration{0});
    }
  CHECK(Refused > 20);
}
