// What callers get, and what backend servers are sent, request by request.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

refusal_kind refusedAs(serving_fixture &Test, request_id Request) {
  REQUIRE(Test.Actions.Refusals[Request].size() == 1);
  return Test.Actions.Refusals[Request][0].Kind;
}

} // namespace

TEST_CASE("a host without a configuration promises that nothing ran") {
  serving_fixture Test;
  CHECK_FALSE(Test.Core.ready());
  request_id Request = Test.ask("plain");
  CHECK(refusedAs(Test, Request) == refusal_kind::NotReady);
  CHECK(Test.Actions.Refusals[Request][0].RetryAfter > core_duration{0});
}

TEST_CASE("unknown routes and keys are refused and reach no server") {
  serving_fixture Test;
  Test.addAll();
  CHECK(refusedAs(Test, Test.ask("nowhere")) == refusal_kind::NoRoute);
  CHECK(refusedAs(Test, Test.ask("plain", {}, "wrong")) ==
        refusal_kind::UnknownKey);
  CHECK(Test.Actions.Forwards.empty());
}

TEST_CASE("an older configuration never comes back") {
  serving_fixture Test;
  Test.addAll();
  std::shared_ptr<route_config> Newer = serving_fixture::config(9);
  Newer->Keys.clear();
  CHECK(Test.Core.onConfig(Newer, "", Test.Now));
  CHECK_FALSE(Test.Core.onConfig(serving_fixture::config(8), "", Test.Now));
  CHECK(refusedAs(Test, Test.ask("plain")) == refusal_kind::UnknownKey);
}

TEST_CASE("a server's answer is passed on as it is") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("once");
  CHECK(Test.lastForward().Workspace == workspace_id("w"));
  CHECK(Test.lastForward().Left <= serving_fixture::Timeout);
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::good(404), "body", Test.Now);
  REQUIRE(Test.Actions.Whole[Request].size() == 1);
  CHECK(Test.Actions.Whole[Request][0].first == 404);
  CHECK(Test.Actions.Whole[Request][0].second == "body");
}

TEST_CASE("what may run once is never sent again after a broken call") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("once");
  Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::Broken,
                         Test.Now);
  CHECK(Test.Actions.Forwards.size() == 1);
  CHECK(refusedAs(Test, Request) == refusal_kind::Failed);
  CHECK_FALSE(guaranteesNotRun(refusal_kind::Failed));
}

TEST_CASE(
    "what may run once goes elsewhere if no byte left or it was refused") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("once");
  backend_id First = Test.lastForward().Server.Id;
  Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::NotConnected,
                         Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 2);
  backend_id Second = Test.lastForward().Server.Id;
  CHECK(Second != First);
  Test.Core.onCompleteReply(Test.Actions.LastForward, serving_fixture::notRun(),
                            "", Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 3);
  CHECK(Test.lastForward().Server.Id != Second);
  Test.Core.onCompleteReply(Test.Actions.LastForward, serving_fixture::notRun(),
                            "", Test.Now);
  // All three have refused: it has not run, and the caller may come back.
  CHECK(refusedAs(Test, Request) == refusal_kind::Overloaded);
}

TEST_CASE("after a call that may have run no promise is given") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("plain");
  Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::Broken,
                         Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 2);
  Test.Core.onCompleteReply(Test.Actions.LastForward, serving_fixture::notRun(),
                            "", Test.Now);
  while (Test.Actions.Refusals[Request].empty()) {
    std::size_t Before = Test.Actions.Forwards.size();
    Test.Core.onCompleteReply(Test.Actions.LastForward,
                              serving_fixture::notRun(), "", Test.Now);
    REQUIRE((Test.Actions.Forwards.size() > Before ||
             !Test.Actions.Refusals[Request].empty()));
  }
  CHECK_FALSE(guaranteesNotRun(refusedAs(Test, Request)));
}

TEST_CASE("an answer without signature is no answer") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("once");
  backend_reply_head Unsigned = serving_fixture::good();
  Unsigned.Signed = false;
  Test.Core.onCompleteReply(Test.Actions.LastForward, Unsigned, "spoilt",
                            Test.Now);
  CHECK(Test.Actions.Whole[Request].empty());
  CHECK(refusedAs(Test, Request) == refusal_kind::Failed);
}

TEST_CASE("a server that is another one gets nothing more") {
  serving_fixture Test;
  Test.addAll();
  Test.ask("once");
  backend_id First = Test.lastForward().Server.Id;
  backend_reply_head Wrong = serving_fixture::notRun(421);
  Wrong.WrongServer = true;
  Test.Core.onCompleteReply(Test.Actions.LastForward, Wrong, "", Test.Now);
  CHECK(Test.lastForward().Server.Id != First);
  CHECK(Test.Core.backends().isLeaving(First));
}

TEST_CASE("the final answer comes at the route's timeout") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("once");
  Test.pass(serving_fixture::Timeout - milliseconds(10));
  CHECK(Test.Actions.Refusals[Request].empty());
  Test.pass(milliseconds(50));
  CHECK(refusedAs(Test, Request) == refusal_kind::TimedOut);
  CHECK(Test.Actions.Cancelled.size() == 1);
}

TEST_CASE("a caller that leaves takes its call with it") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("once");
  call_id Call = Test.Actions.LastForward;
  Test.Core.onCallerDisconnected(Request, Test.Now);
  CHECK(Test.Actions.Cancelled == std::vector<call_id>{Call});
  // What still comes belongs to nobody.
  Test.Core.onCompleteReply(Call, serving_fixture::good(), "late", Test.Now);
  CHECK(Test.Actions.Whole[Request].empty());
  CHECK(Test.Core.counters().InProgress == 0);
}

TEST_CASE("a silent call that may be repeated is tried elsewhere, once") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("plain");
  call_id First = Test.Actions.LastForward;
  Test.pass(milliseconds(600));
  REQUIRE(Test.Actions.Forwards.size() == 2);
  CHECK(Test.Actions.Cancelled == std::vector<call_id>{First});
  Test.pass(milliseconds(600));
  CHECK(Test.Actions.Forwards.size() == 2);
  Test.Core.onCompleteReply(Test.Actions.LastForward, serving_fixture::good(),
                            "answer", Test.Now);
  CHECK(Test.Actions.Whole[Request].size() == 1);
}

TEST_CASE("a stream is passed on event by event and ends as its server's") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("stream");
  call_id Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::good(), Test.Now);
  Test.Core.onStreamEvents(Call, "one", 1, 1, Test.Now);
  Test.Core.onStreamEvents(Call, "two", 2, 2, Test.Now);
  Test.Core.onStreamEnd(Call, Test.Now);
  CHECK(Test.Actions.Streams[Request].Text == "onetwo");
  CHECK(Test.Actions.Streams[Request].Ended);
}

TEST_CASE("a cut stream that can't be resumed is cut for its caller too") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("stream");
  call_id Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::good(), Test.Now);
  Test.Core.onStreamEvents(Call, "one", 1, 1, Test.Now);
  Test.Core.onCallFailed(Call, call_failure::Broken, Test.Now);
  CHECK(Test.Actions.Streams[Request].BrokenOff);
  CHECK_FALSE(Test.Actions.Streams[Request].Ended);
  CHECK(Test.Actions.Forwards.size() == 1);
}

TEST_CASE("a resumable stream goes on elsewhere after its last event") {
  serving_fixture Test;
  Test.addAll();
  request_id Request = Test.ask("resumable");
  call_id Call = Test.Actions.LastForward;
  backend_id First = Test.lastForward().Server.Id;
  Test.Core.onStreamHead(Call, serving_fixture::good(), Test.Now);
  Test.Core.onStreamEvents(Call, "12", 1, 2, Test.Now);
  Test.Core.onCallFailed(Call, call_failure::Broken, Test.Now);
  REQUIRE(Test.Actions.Forwards.size() == 2);
  CHECK(Test.lastForward().Server.Id != First);
  CHECK(Test.lastForward().ResumeAfter == 2);
  Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::good(), Test.Now);
  SUBCASE("at the next event") {
    Test.Core.onStreamEvents(Call, "3", 3, 3, Test.Now);
    Test.Core.onStreamEnd(Call, Test.Now);
    CHECK(Test.Actions.Streams[Request].Text == "123");
    CHECK(Test.Actions.Streams[Request].Ended);
  }
  SUBCASE("never with a hole or an event twice") {
    Test.Core.onStreamEvents(Call, "x", 2, 2, Test.Now);
    CHECK(Test.Actions.Streams[Request].Text == "12");
    CHECK(Test.Actions.Streams[Request].BrokenOff);
  }
}
