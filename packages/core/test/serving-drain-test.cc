// Requests of a host that drains: each gets its final reply before the end.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Below the timeout of the fixture's routes.
constexpr milliseconds DrainTime{1'000};
constexpr milliseconds LastConnection{700};

refusal_kind refusalOf(serving_fixture &Test, request_id Request) {
  REQUIRE(Test.Actions.Refusals[Request].size() == 1);
  return Test.Actions.Refusals[Request][0].Kind;
}

void drain(serving_fixture &Test) {
  Test.Core.beginDraining({Test.Now + LastConnection, Test.Now + DrainTime},
                          Test.Now);
}

/// Lets a stream of a route take Time from its first event to its end.
void observeStream(serving_fixture &Test, const std::string &Route,
                   core_duration Time) {
  Test.sendRequest(Route);
  call_id Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::successHead(), Test.Now);
  Test.advance(Time);
  Test.Core.onStreamEvents(Call, "1", 1, 1, Test.Now);
  Test.Core.onStreamEnd(Call, Test.Now);
}

} // namespace

TEST_CASE("a request that waits for its stages when the drain ends is refused "
          "as not run") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("staged", {1, 2});
  Test.advance(milliseconds(300));
  drain(Test);
  Test.advance(DrainTime + milliseconds(10));
  CHECK(refusalOf(Test, Request) == refusal_kind::ShuttingDown);
  CHECK(guaranteesNotRun(refusal_kind::ShuttingDown));
  CHECK(Test.Core.counters().InProgress == 0);
  CHECK(Test.Actions.Forwards.empty());
}

TEST_CASE("a request at a server when the drain ends is not said not to have "
          "run") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Plain = Test.sendRequest("plain");
  request_id Once = Test.sendRequest("once");
  call_id Call = Test.Actions.LastForward;
  drain(Test);
  Test.advance(DrainTime + milliseconds(10));
  CHECK(refusalOf(Test, Plain) == refusal_kind::Failed);
  CHECK(refusalOf(Test, Once) == refusal_kind::Failed);
  CHECK(std::find(Test.Actions.Cancelled.begin(), Test.Actions.Cancelled.end(),
                  Call) != Test.Actions.Cancelled.end());
  CHECK(Test.Core.counters().InProgress == 0);
}

TEST_CASE("a stream in progress when the drain ends is aborted") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("stream");
  Test.Core.onStreamHead(Test.Actions.LastForward,
                         serving_fixture::successHead(), Test.Now);
  drain(Test);
  Test.advance(DrainTime + milliseconds(10));
  CHECK(Test.Actions.Streams[Request].Aborted);
  CHECK_FALSE(Test.Actions.Streams[Request].Ended);
}

TEST_CASE("a server is not blamed for a call that the drain cuts off") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("once");
  backend_id Server = Test.lastForward().Server.Id;
  drain(Test);
  Test.advance(DrainTime + milliseconds(10));
  const backend_state *State = Test.Core.backends().find(Server);
  REQUIRE(State);
  CHECK(State->Failures == 0);
}

TEST_CASE("a draining host takes a request that can end in time") {
  serving_fixture Test;
  Test.addAllPools();
  observeStream(Test, "stream", milliseconds(300));
  drain(Test);
  request_id Request = Test.sendRequest("stream");
  CHECK(Test.Actions.Refusals[Request].empty());
  CHECK(Test.lastForward().TimeLeft <= DrainTime);
}

TEST_CASE("a draining host refuses a stream that cannot end in time at once") {
  serving_fixture Test;
  Test.addAllPools();
  observeStream(Test, "stream", milliseconds(1'100));
  std::size_t Before = Test.Actions.Forwards.size();
  drain(Test);
  request_id Request = Test.sendRequest("stream");
  CHECK(refusalOf(Test, Request) == refusal_kind::ShuttingDown);
  CHECK(Test.Actions.Refusals[Request][0].RetryAfter > core_duration{0});
  CHECK(Test.Actions.Forwards.size() == Before);
}

// A report of other operators: such requests were passed on and cut.
TEST_CASE("a draining host refuses a plain request whose server's replies take "
          "too long") {
  serving_fixture Test;
  Test.addAllPools();
  std::vector<call_id> Calls;
  for (int I = 0; I < 3; ++I) {
    Test.sendRequest("once");
    Calls.push_back(Test.Actions.LastForward);
  }
  SUBCASE("as those before show") {
    Test.advance(milliseconds(700));
    for (call_id Call : Calls)
      Test.Core.onCompleteReply(Call, serving_fixture::successHead(), "",
                                Test.Now);
    drain(Test);
  }
  SUBCASE("as calls without a reply show") {
    drain(Test);
    Test.advance(milliseconds(400));
  }
  request_id Late = Test.sendRequest("once");
  CHECK(refusalOf(Test, Late) == refusal_kind::ShuttingDown);
  CHECK(Test.Actions.Forwards.size() == Calls.size());
}

TEST_CASE("a draining host takes a plain request that can end in time") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("once");
  call_id First = Test.Actions.LastForward;
  Test.advance(milliseconds(30));
  Test.Core.onCompleteReply(First, serving_fixture::successHead(), "",
                            Test.Now);
  drain(Test);
  Test.advance(DrainTime - milliseconds(350));
  request_id Late = Test.sendRequest("once");
  CHECK(Test.Actions.Refusals[Late].empty());
  CHECK(Test.Actions.Forwards.size() == 2);
}

TEST_CASE("results lost during a drain are not recomputed if the request "
          "cannot end in time") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("staged", {1, 2});
  Test.completePieces();
  REQUIRE(Test.Actions.Forwards.size() == 1);
  drain(Test);
  Test.advance(milliseconds(700));
  backend_reply_head Gone = serving_fixture::notRunHead(409);
  Test.Core.onCompleteReply(Test.Actions.LastForward, Gone, "", Test.Now);
  CHECK(guaranteesNotRun(refusalOf(Test, Request)));
  CHECK(Test.Actions.Pieces.empty());
}

TEST_CASE("a request whose own deadline comes before the end of the drain is "
          "not shortened") {
  serving_fixture Test;
  Test.addAllPools();
  Test.Core.beginDraining({Test.Now + seconds(2), Test.Now + seconds(7)},
                          Test.Now);
  request_id Request = Test.sendRequest("once");
  CHECK(Test.lastForward().TimeLeft == serving_fixture::Timeout);
  Test.advance(serving_fixture::Timeout + milliseconds(10));
  CHECK(refusalOf(Test, Request) == refusal_kind::TimedOut);
}

// review/11: streams on connections from before the stop were passed on 3 s
// into it and cut.
TEST_CASE("a request that comes after the last new connection is refused if it "
          "could outlast the stop") {
  serving_fixture Test;
  Test.addAllPools();
  observeStream(Test, "stream", milliseconds(10));
  drain(Test);
  Test.advance(LastConnection + milliseconds(10));
  std::size_t Forwarded = Test.Actions.Forwards.size();
  for (const char *Route : {"stream", "resumable", "plain", "once"})
    CHECK(refusalOf(Test, Test.sendRequest(Route)) ==
          refusal_kind::ShuttingDown);
  CHECK(refusalOf(Test, Test.sendRequest("staged", {1, 2})) ==
        refusal_kind::ShuttingDown);
  CHECK(Test.Actions.Forwards.size() == Forwarded);
  CHECK(Test.Actions.Pieces.empty());
}

TEST_CASE("a request that comes after the last new connection is taken if its "
          "own deadline is before the end of the stop") {
  serving_fixture Test;
  Test.addAllPools();
  drain(Test);
  Test.advance(LastConnection + milliseconds(10));
  Test.MaxWait = milliseconds(200);
  std::size_t Forwarded = Test.Actions.Forwards.size();
  for (const char *Route : {"stream", "plain", "once"})
    CHECK(Test.Actions.Refusals[Test.sendRequest(Route)].empty());
  CHECK(Test.Actions.Forwards.size() == Forwarded + 3);
}

TEST_CASE("a draining host tells a stream that may outlast it by the tokens "
          "that its caller wants") {
  serving_fixture Test;
  Test.addAllPools();
  Test.OutputTokens = 100;
  for (int I = 0; I < 30; ++I)
    observeStream(Test, "stream", milliseconds(100));
  drain(Test);
  Test.OutputTokens = 2'000;
  CHECK(refusalOf(Test, Test.sendRequest("stream")) ==
        refusal_kind::ShuttingDown);
  Test.OutputTokens = 400;
  CHECK(Test.Actions.Refusals[Test.sendRequest("stream")].empty());
}

TEST_CASE("a draining host refuses a stream of a route whose streams vary too "
          "much to be sure of its end") {
  serving_fixture Test;
  Test.addAllPools();
  for (int I = 0; I < 30; ++I)
    observeStream(Test, "stream", milliseconds(I % 4 == 0 ? 1'000 : 20));
  drain(Test);
  // Their mean would end in time.
  CHECK(refusalOf(Test, Test.sendRequest("stream")) ==
        refusal_kind::ShuttingDown);
}
