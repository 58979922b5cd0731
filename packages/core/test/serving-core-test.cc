// Replies to callers and calls to backend servers, for single requests.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

refusal_kind refusalOf(serving_fixture &Test, request_id Request) {
  REQUIRE(Test.Actions.Refusals[Request].size() == 1);
  return Test.Actions.Refusals[Request][0].Kind;
}

} // namespace

TEST_CASE("a host without a configuration refuses requests as not run") {
  serving_fixture Test;
  CHECK_FALSE(Test.Core.ready());
  request_id Request = Test.sendRequest("plain");
  CHECK(refusalOf(Test, Request) == refusal_kind::NotReady);
  CHECK(Test.Actions.Refusals[Request][0].RetryAfter > core_duration{0});
}

TEST_CASE("unknown routes and keys are refused and reach no server") {
  serving_fixture Test;
  Test.addAllPools();
  CHECK(refusalOf(Test, Test.sendRequest("nowhere")) == refusal_kind::NoRoute);
  CHECK(refusalOf(Test, Test.sendRequest("plain", {}, "wrong")) ==
        refusal_kind::UnknownKey);
  CHECK(Test.Actions.Forwards.empty());
}

TEST_CASE("an older configuration does not replace a newer one") {
  serving_fixture Test;
  Test.addAllPools();
  std::shared_ptr<route_config> Newer = serving_fixture::config(9);
  Newer->Keys.clear();
  CHECK(Test.Core.onConfig(Newer, "", Test.Now));
  CHECK_FALSE(Test.Core.onConfig(serving_fixture::config(8), "", Test.Now));
  CHECK(refusalOf(Test, Test.sendRequest("plain")) == refusal_kind::UnknownKey);
}

TEST_CASE("a server's reply is relayed unchanged") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  CHECK(Test.lastForward().Workspace == workspace_id("w"));
  CHECK(Test.lastForward().TimeLeft <= serving_fixture::Timeout);
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::successHead(404), "body",
                            Test.Now);
  REQUIRE(Test.Actions.Replies[Request].size() == 1);
  CHECK(Test.Actions.Replies[Request][0].first == 404);
  CHECK(Test.Actions.Replies[Request][0].second == "body");
}

TEST_CASE(
    "a request that is not repeatable is not retried after a broken call") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::Broken,
                         Test.Now);
  CHECK(Test.Actions.Forwards.size() == 1);
  CHECK(refusalOf(Test, Request) == refusal_kind::Failed);
  CHECK_FALSE(guaranteesNotRun(refusal_kind::Failed));
}

TEST_CASE(
    "a request that is not repeatable is retried if it certainly did not run") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  backend_id First = Test.lastForward().Server.Id;
  Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::NotConnected,
                         Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 2);
  backend_id Second = Test.lastForward().Server.Id;
  CHECK(Second != First);
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::notRunHead(), "", Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 3);
  CHECK(Test.lastForward().Server.Id != Second);
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::notRunHead(), "", Test.Now);
  // No server ran the request, so the caller may retry it.
  CHECK(refusalOf(Test, Request) == refusal_kind::Overloaded);
}

// review/3: a copy of the refusal answered the second send.
TEST_CASE("a request is sent again to a server that refused it over another "
          "connection") {
  serving_fixture Test;
  Test.addAllPools();
  // No server can be reached, then one can.
  request_id Unreached = Test.sendRequest("once");
  while (Test.Actions.Refusals[Unreached].empty())
    Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::NotConnected,
                           Test.Now);
  Test.sendRequest("once");
  backend_id Reached = Test.lastForward().Server.Id;
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::successHead(), "", Test.Now);
  Test.sendRequest("once");
  REQUIRE(Test.lastForward().Server.Id == Reached);
  CHECK(Test.lastForward().MayReuseConnection);
  std::size_t Before = Test.Actions.Forwards.size();
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::notRunHead(), "", Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == Before + 1);
  REQUIRE(Test.lastForward().Server.Id == Reached);
  CHECK_FALSE(Test.lastForward().MayReuseConnection);
}

TEST_CASE("a request that may have run is never refused as not run") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("plain");
  Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::Broken,
                         Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 2);
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::notRunHead(), "", Test.Now);
  while (Test.Actions.Refusals[Request].empty()) {
    std::size_t Before = Test.Actions.Forwards.size();
    Test.Core.onCompleteReply(Test.Actions.LastForward,
                              serving_fixture::notRunHead(), "", Test.Now);
    REQUIRE((Test.Actions.Forwards.size() > Before ||
             !Test.Actions.Refusals[Request].empty()));
  }
  CHECK_FALSE(guaranteesNotRun(refusalOf(Test, Request)));
}

TEST_CASE("a reply without a signature is not relayed") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  backend_reply_head Unsigned = serving_fixture::successHead();
  Unsigned.Evidence.Signed = false;
  Test.Core.onCompleteReply(Test.Actions.LastForward, Unsigned, "spoilt",
                            Test.Now);
  CHECK(Test.Actions.Replies[Request].empty());
  CHECK(refusalOf(Test, Request) == refusal_kind::Failed);
}

// The users' REFUSED: the caller was told that the request had not run.
TEST_CASE("a server's status that promises 'not run' is not relayed unless it "
          "stated that") {
  serving_fixture Test;
  Test.addAllPools();
  for (unsigned Status : {408U, 429U, 503U})
    for (const char *Route : {"once", "stream", "resumable"}) {
      CAPTURE(Status);
      CAPTURE(Route);
      request_id Request = Test.sendRequest(Route);
      backend_reply_head Busy = serving_fixture::successHead(Status);
      Test.Core.onCompleteReply(Test.Actions.LastForward, Busy, "busy",
                                Test.Now);
      CHECK(Test.Actions.Replies[Request].empty());
      CHECK(refusalOf(Test, Request) == refusal_kind::Failed);
    }
}

TEST_CASE("a repeatable request goes on after a status that promises 'not run' "
          "without a statement, and is never refused as not run") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("plain");
  backend_reply_head Busy = serving_fixture::successHead(429);
  Test.Core.onCompleteReply(Test.Actions.LastForward, Busy, "busy", Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 2);
  Test.Core.onCompleteReply(Test.Actions.LastForward, Busy, "busy", Test.Now);
  CHECK(Test.Actions.Replies[Request].empty());
  CHECK(refusalOf(Test, Request) == refusal_kind::Failed);
}

TEST_CASE("a server with an unexpected identity gets no more calls") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("once");
  backend_id First = Test.lastForward().Server.Id;
  backend_reply_head Wrong = serving_fixture::notRunHead(421);
  Wrong.Evidence.Source = answer_source::OtherServer;
  Test.Core.onCompleteReply(Test.Actions.LastForward, Wrong, "", Test.Now);
  CHECK(Test.lastForward().Server.Id != First);
  CHECK(Test.Core.backends().isLeaving(First));
}

TEST_CASE("a refusal without proof takes one of the request's attempts") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("plain");
  backend_reply_head Unproven = serving_fixture::successHead(503);
  Unproven.Evidence.Statement = not_run_statement::Plain;
  Test.Core.onCompleteReply(Test.Actions.LastForward, Unproven, "", Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 2);
  Test.Core.onCompleteReply(Test.Actions.LastForward, Unproven, "", Test.Now);
  CHECK(Test.Actions.Forwards.size() == 2);
  CHECK(refusalOf(Test, Request) == refusal_kind::Failed);
  request_id Once = Test.sendRequest("once");
  Test.Core.onCompleteReply(Test.Actions.LastForward, Unproven, "", Test.Now);
  CHECK(Test.Actions.Forwards.size() == 3);
  CHECK(refusalOf(Test, Once) == refusal_kind::Failed);
  // It is no news of the server either.
  CHECK_FALSE(Test.Core.backends().isLeaving(Test.lastForward().Server.Id));
}

TEST_CASE("a request without a reply ends at the route's timeout") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  Test.advance(serving_fixture::Timeout - milliseconds(10));
  CHECK(Test.Actions.Refusals[Request].empty());
  Test.advance(milliseconds(50));
  CHECK(refusalOf(Test, Request) == refusal_kind::TimedOut);
  CHECK(Test.Actions.Cancelled.size() == 1);
}

TEST_CASE("a disconnected caller's call is cancelled and its reply discarded") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  call_id Call = Test.Actions.LastForward;
  Test.Core.onCallerDisconnected(Request, Test.Now);
  CHECK(Test.Actions.Cancelled == std::vector<call_id>{Call});
  // The reply to the cancelled call arrives late.
  Test.Core.onCompleteReply(Call, serving_fixture::successHead(), "late",
                            Test.Now);
  CHECK(Test.Actions.Replies[Request].empty());
  CHECK(Test.Core.counters().InProgress == 0);
}

TEST_CASE("a repeatable call without a reply is retried once") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("plain");
  call_id First = Test.Actions.LastForward;
  Test.advance(milliseconds(600));
  REQUIRE(Test.Actions.Forwards.size() == 2);
  CHECK(Test.Actions.Cancelled == std::vector<call_id>{First});
  Test.advance(milliseconds(600));
  CHECK(Test.Actions.Forwards.size() == 2);
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::successHead(), "answer", Test.Now);
  CHECK(Test.Actions.Replies[Request].size() == 1);
}

TEST_CASE("a stream is relayed event by event to its end") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("stream");
  call_id Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::successHead(), Test.Now);
  Test.Core.onStreamEvents(Call, "one", 1, 1, Test.Now);
  Test.Core.onStreamEvents(Call, "two", 2, 2, Test.Now);
  Test.Core.onStreamEnd(Call, Test.Now);
  CHECK(Test.Actions.Streams[Request].Text == "onetwo");
  CHECK(Test.Actions.Streams[Request].Ended);
}

TEST_CASE(
    "a truncated stream that cannot be resumed is aborted for the caller") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("stream");
  call_id Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::successHead(), Test.Now);
  Test.Core.onStreamEvents(Call, "one", 1, 1, Test.Now);
  Test.Core.onCallFailed(Call, call_failure::Broken, Test.Now);
  CHECK(Test.Actions.Streams[Request].Aborted);
  CHECK_FALSE(Test.Actions.Streams[Request].Ended);
  CHECK(Test.Actions.Forwards.size() == 1);
}

TEST_CASE(
    "a resumable stream is resumed on another server after its last event") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("resumable");
  call_id Call = Test.Actions.LastForward;
  backend_id First = Test.lastForward().Server.Id;
  Test.Core.onStreamHead(Call, serving_fixture::successHead(), Test.Now);
  Test.Core.onStreamEvents(Call, "12", 1, 2, Test.Now);
  Test.Core.onCallFailed(Call, call_failure::Broken, Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 2);
  CHECK(Test.lastForward().Server.Id != First);
  CHECK(Test.lastForward().ResumeAfter == 2);
  Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::successHead(), Test.Now);
  SUBCASE("at the next event") {
    Test.Core.onStreamEvents(Call, "3", 3, 3, Test.Now);
    Test.Core.onStreamEnd(Call, Test.Now);
    CHECK(Test.Actions.Streams[Request].Text == "123");
    CHECK(Test.Actions.Streams[Request].Ended);
  }
  SUBCASE("not with a missing or duplicate event") {
    Test.Core.onStreamEvents(Call, "x", 2, 2, Test.Now);
    CHECK(Test.Actions.Streams[Request].Text == "12");
    CHECK(Test.Actions.Streams[Request].Aborted);
  }
}

TEST_CASE("a workspace whose name cannot stand in a head is refused, and no "
          "other") {
  for (const std::string &Name :
       {std::string("w\r\n"), std::string("w\n"), std::string(" w"),
        std::string(), std::string(300, 'w')}) {
    serving_fixture Test;
    Test.addAllPools();
    std::shared_ptr<route_config> Config = serving_fixture::config(2);
    Config->Keys[workspace_key("bad")] = {workspace_id(Name), std::nullopt};
    Config->Keys[workspace_key("long")] = {
        workspace_id("S\xc3\xa3o Jo\xc3\xa3o"), std::nullopt};
    REQUIRE(Test.Core.onConfig(Config, "", Test.Now));
    CHECK(refusalOf(Test, Test.sendRequest("once", {}, "bad")) ==
          refusal_kind::UnusableWorkspace);
    CHECK(Test.Actions.Forwards.empty());
    Test.sendRequest("once");
    Test.sendRequest("once", {}, "long");
    CHECK(Test.Actions.Forwards.size() == 2);
    auto Told = std::find_if(Test.Actions.Log.begin(), Test.Actions.Log.end(),
                             [](const event_record &Record) {
                               return Record.Number ==
                                      event_number::WorkspaceNameUnusable;
                             });
    CHECK(Told != Test.Actions.Log.end());
  }
}

TEST_CASE("a call that cannot be written ends its request as not run, and "
          "blames no server") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  backend_id Server = Test.lastForward().Server.Id;
  Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::NotWritable,
                         Test.Now);
  CHECK(guaranteesNotRun(refusalOf(Test, Request)));
  CHECK(Test.Actions.Forwards.size() == 1);
  CHECK(Test.Core.backends().find(Server)->AvoidUntil <= Test.Now);
}
