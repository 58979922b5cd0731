// Tests of the batch owner: calls, freeing of results, load queries and waits.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "batch-owner-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool freed(const batch_owner_fixture &Test, const std::string &Server,
           const std::string &Handle) {
  auto Found = Test.Actions.Freed.find(backend_id(Server));
  return Found != Test.Actions.Freed.end() &&
         std::count(Found->second.begin(), Found->second.end(),
                    result_handle(Handle)) == 1;
}

} // namespace

TEST_CASE("results of a failed job are freed") {
  batch_owner_fixture Test;
  Test.submit(Test.laterJob(1, 2));
  Test.advance(milliseconds(280));
  Test.answer(Test.onlyCall(),
              {Test.pieceResult("10.0.0.0:80/a"),
               Test.pieceProblem(batch_item_problem::InputGone)});
  CHECK(Test.Actions.Failed.at(piece_job_id(1)) == piece_failure::InputGone);
  Test.advance(milliseconds(500));
  CHECK(freed(Test, "s0", "10.0.0.0:80/a"));
}

TEST_CASE("results of a cancelled job are freed") {
  batch_owner_fixture Test;
  // Two calls; the job is cancelled after the first one is answered.
  Test.submit(Test.job(1, 10));
  Test.advance(milliseconds(400));
  Test.answerAll(Test.onlyCall());
  Test.Owner.cancel(Test.Host, piece_job_id(1), Test.Now);
  Test.advance(milliseconds(500));
  CHECK(freed(Test, "s0", "10.0.0.0:80/r1.0"));
  Test.answerAll(Test.onlyCall());
  Test.advance(milliseconds(500));
  CHECK(freed(Test, "s0", "10.0.0.0:80/r1.9"));
}

TEST_CASE("results of an earlier owner are freed at the server storing them") {
  batch_owner_fixture Test(2);
  Test.Owner.release({result_handle("10.0.0.1:80/elsewhere")}, Test.Now);
  Test.advance(milliseconds(500));
  CHECK(freed(Test, "s1", "10.0.0.1:80/elsewhere"));
}

TEST_CASE("inputs are kept while another host's call may be queued ahead") {
  batch_owner_fixture Test;
  // The first call may be queued at the server behind another host's call.
  Test.submit(Test.laterJob(1, 2));
  Test.advance(milliseconds(200));
  CHECK(Test.Actions.Fetched.empty());
  SUBCASE("an answer within the expected time rules out other calls") {
    Test.advance(milliseconds(80));
    Test.answerAll(Test.onlyCall());
    Test.submit(Test.laterJob(2, 2));
    Test.advance(milliseconds(200));
    CHECK(Test.Actions.Fetched == std::vector<piece_job_id>{piece_job_id(2)});
  }
  SUBCASE("a slow answer does not") {
    Test.advance(milliseconds(500));
    Test.answerAll(Test.onlyCall());
    Test.submit(Test.laterJob(2, 2));
    Test.advance(milliseconds(200));
    CHECK(Test.Actions.Fetched.empty());
  }
  SUBCASE("an answer that is too old does not") {
    Test.advance(milliseconds(80));
    Test.answerAll(Test.onlyCall());
    Test.advance(seconds(3));
    Test.submit(Test.laterJob(2, 2));
    Test.advance(milliseconds(200));
    CHECK(Test.Actions.Fetched.empty());
  }
}

TEST_CASE("a new owner queries the load of servers before it uses them") {
  batch_owner_fixture Test;
  piece_job Job = Test.job(1, 8);
  Job.ResultBytes = 200'000;
  SUBCASE("calls fit into the free capacity") {
    Test.Load = {false, 0, 700'000};
    Test.submit(Job);
    REQUIRE(Test.Actions.Calls.size() == 1);
    CHECK(Test.Actions.Calls.begin()->second.Items.size() <= 3);
  }
  SUBCASE("a busy server is blocked for a while") {
    Test.Load = {true, 0, 1'500'000};
    Test.submit(Job);
    CHECK(Test.Actions.Calls.empty());
    Test.advance(milliseconds(300));
    CHECK(Test.Actions.Calls.size() == 1);
  }
  SUBCASE("a server that does not answer is used without its load") {
    Test.Owner.submit(Test.Host, Job, Test.Now);
    Test.Owner.dispatch(Test.Now);
    REQUIRE(Test.Actions.LoadQueries.size() == 1);
    Test.Actions.LoadQueries.clear();
    CHECK(Test.Actions.Calls.empty());
    Test.advance(milliseconds(120));
    CHECK(Test.Actions.Calls.size() == 1);
  }
}

TEST_CASE("a piece that found no capacity is retried after a load query") {
  batch_owner_fixture Test;
  Test.submit(Test.job(1, 2));
  Test.advance(milliseconds(280));
  Test.Load = {false, 0, 0};
  Test.answer(Test.onlyCall(),
              {Test.pieceResult("10.0.0.0:80/a"),
               Test.pieceProblem(batch_item_problem::NoCapacity)});
  CHECK(Test.Actions.Failed.empty());
  CHECK(Test.Actions.Calls.empty());
  // Results of other hosts' calls are assumed to be freed over time.
  Test.advance(seconds(2));
  REQUIRE(Test.Actions.Calls.size() == 1);
  Test.answerAll(Test.onlyCall());
  CHECK(Test.Actions.Completed.size() == 1);
}

TEST_CASE("a server in steady use is not queried for its load") {
  batch_owner_fixture Test;
  Test.submit(Test.job(1, 2));
  for (std::uint64_t Job = 2; Job < 20; ++Job) {
    Test.advance(milliseconds(280));
    Test.answerAll(Test.onlyCall());
    Test.Owner.submit(Test.Host, Test.job(Job, 2), Test.Now);
    Test.Owner.dispatch(Test.Now);
    CHECK(Test.Actions.LoadQueries.empty());
  }
}

TEST_CASE("forecast pieces count until they are submitted") {
  batch_owner_fixture Test;
  auto Planned = [&Test] {
    return Test.Owner.expectedWait(pool_id("pool"), zone_id(), Test.Now)
        .Planned[0];
  };
  Test.Owner.onDemandForecast(Test.Host.Host, pool_id("pool"), zone_id(),
                              {24, 0, 0}, Test.Now);
  core_duration Before = Planned();
  CHECK(Before > core_duration{0});
  Test.Owner.submit(Test.Host, Test.laterJob(1, 16), Test.Now);
  CHECK(Planned() < Before);
  Test.Owner.submit(Test.Host, Test.laterJob(2, 8), Test.Now);
  CHECK(Planned() == core_duration{0});
}

TEST_CASE("jobs fail after a while if there is no server for them") {
  batch_owner_fixture Test(0);
  Test.Owner.submit(Test.Host, Test.job(1, 2), Test.Now);
  Test.Owner.dispatch(Test.Now);
  CHECK(Test.Actions.Failed.empty());
  Test.advance(milliseconds(700));
  REQUIRE(Test.Actions.Failed.size() == 1);
  CHECK(Test.Actions.Failed.at(piece_job_id(1)) == piece_failure::NotMade);
  CHECK(Test.Owner.idle());
}

TEST_CASE("results of a host's earlier run are not given to its later run") {
  batch_owner_fixture Test;
  Test.submit(Test.job(1, 2));
  REQUIRE(Test.Actions.Calls.size() == 1);
  batch_id Earlier = Test.onlyCall();
  // The restarted host numbers its jobs from one again.
  Test.Host.Run = incarnation(2);
  piece_job Later = Test.laterJob(1, 2);
  Later.Request = caller_request_id("later");
  Test.submit(Later);
  Test.advance(milliseconds(280));
  Test.answerAll(Earlier);
  CHECK(Test.Actions.Completed.empty());
  Test.advance(milliseconds(500));
  CHECK(freed(Test, "s0", "10.0.0.0:80/r1.0"));
  REQUIRE(Test.Actions.Calls.size() == 1);
  CHECK(Test.Actions.Calls.begin()->second.Items[0].Request ==
        caller_request_id("later"));
}

TEST_CASE("an owner is idle while calls without a job are in flight") {
  batch_owner_fixture Test;
  Test.submit(Test.job(1, 2));
  CHECK_FALSE(Test.Owner.idle());
  Test.Owner.cancel(Test.Host, piece_job_id(1), Test.Now);
  REQUIRE(Test.Actions.Calls.size() == 1);
  CHECK(Test.Owner.idle());
}

// freed-id: the id of the server was read from a result's record after it was
// erased, and the frees were dropped.
TEST_CASE(
    "frees that fill a call are sent to the server that has the results") {
  batch_owner_fixture Test(0);
  backend_entry Server = batch_owner_fixture::server(0);
  // Not kept within the text's own object.
  Server.Id = backend_id("server-with-a-name-of-more-than-fifteen-bytes");
  Test.Servers.update(Server);
  constexpr std::uint64_t Jobs = 8;
  constexpr std::uint32_t PiecesPerJob = 8;
  std::vector<result_handle> Results;
  for (std::uint64_t Job = 1; Job <= Jobs; ++Job) {
    Test.submit(Test.job(Job, PiecesPerJob));
    REQUIRE(Test.Actions.Calls.size() == 1);
    Test.advance(milliseconds(300));
    Test.answerAll(Test.onlyCall());
    for (const completed_piece &Piece :
         Test.Actions.Completed[piece_job_id(Job)])
      Results.push_back(Piece.Result);
  }
  REQUIRE(Results.size() == Jobs * PiecesPerJob);
  Test.Owner.release(Results, Test.Now);
  CHECK(Test.Actions.Freed[Server.Id] == Results);
}
