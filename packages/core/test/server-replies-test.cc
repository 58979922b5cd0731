// What servers say of themselves in their replies, and how hosts heed it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a server that says it leaves gets no more work from this host") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  call_id Call = Test.Actions.LastForward;
  const backend_entry Server = Test.lastForward().Server;
  Test.Core.onServerLeaving(Server, Test.Now);
  CHECK(Test.Core.backends().isLeaving(Server.Id));
  // What is in progress there is finished.
  CHECK(Test.Actions.Cancelled.empty());
  Test.Core.onCompleteReply(Call, serving_fixture::successHead(), "whole",
                            Test.Now);
  CHECK(Test.Actions.Replies[Request].size() == 1);
  // A list that still calls it ready does not undo it.
  Test.Core.onBackend(Server, Test.Now);
  for (int I = 0; I < 8; ++I) {
    Test.sendRequest("once");
    CHECK(Test.lastForward().Server.Id != Server.Id);
  }
  // The same id, started later, is another server.
  backend_entry Restarted = Server;
  Restarted.Run = Server.Run.next();
  Restarted.Revision = Server.Revision.next();
  Test.Core.onBackend(Restarted, Test.Now);
  CHECK_FALSE(Test.Core.backends().isLeaving(Server.Id));
}

TEST_CASE("other hosts are told once that a server says it leaves") {
  serving_fixture Test;
  Test.addAllPools();
  entry_host_id Peer("h2");
  Test.Core.onHost({Peer, zone_id("z0"), endpoint("10.0.0.2:1"), 500},
                   Test.Now);
  Test.sendRequest("once");
  const backend_entry Server = Test.lastForward().Server;
  Test.Core.onServerLeaving(Server, Test.Now);
  Test.Core.onServerLeaving(Server, Test.Now);
  CHECK(Test.sentTo<server_leaving>(Peer) == 1);
}

TEST_CASE("what a peer says of a leaving server binds, listed here or not") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("once");
  const backend_entry Known = Test.lastForward().Server;
  host_run Peer{entry_host_id("h2"), incarnation(1)};
  Test.Core.onPeer(Peer, server_leaving{Known.Id, Known.Run}, Test.Now);
  CHECK(Test.Core.backends().isLeaving(Known.Id));
  CHECK(Test.sentTo<server_leaving>(Peer.Host) == 0);
  backend_entry Late = Known;
  Late.Id = backend_id("late");
  Test.Core.onPeer(Peer, server_leaving{Late.Id, Late.Run}, Test.Now);
  Test.Core.onBackend(Late, Test.Now);
  CHECK(Test.Core.backends().isLeaving(Late.Id));
}

TEST_CASE("a server that asks for a pause gets nothing until its end") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("once");
  const backend_entry Server = Test.lastForward().Server;
  Test.Core.onServerPause(Server, {seconds(2)}, Test.Now);
  Test.Core.onCompleteReply(Test.Actions.LastForward,
                            serving_fixture::notRunHead(), "", Test.Now);
  for (int I = 0; I < 8; ++I) {
    CHECK(Test.lastForward().Server.Id != Server.Id);
    Test.sendRequest("once");
  }
  // A shorter wish does not end an earlier one.
  Test.Core.onServerPause(Server, {milliseconds(1)}, Test.Now);
  Test.advance(milliseconds(1'990));
  Test.sendRequest("once");
  CHECK(Test.lastForward().Server.Id != Server.Id);
  Test.advance(milliseconds(20));
  bool Used = false;
  for (int I = 0; I < 8; ++I) {
    Test.sendRequest("once");
    Used = Used || Test.lastForward().Server.Id == Server.Id;
  }
  CHECK(Used);
}

TEST_CASE("a later run of a server has asked for no pause") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("once");
  backend_entry Server = Test.lastForward().Server;
  Test.Core.onServerPause(Server, {seconds(9)}, Test.Now);
  Server.Run = Server.Run.next();
  Server.Revision = Server.Revision.next();
  Test.Core.onBackend(Server, Test.Now);
  bool Used = false;
  for (int I = 0; I < 8; ++I) {
    Test.sendRequest("once");
    Used = Used || Test.lastForward().Server.Id == Server.Id;
  }
  CHECK(Used);
}

TEST_CASE(
    "a wish for a pause that cannot be read binds nobody and is counted") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("once");
  const backend_entry Server = Test.lastForward().Server;
  Test.Core.onServerPause(Server, {}, Test.Now);
  CHECK(Test.Core.counters().OddPauses == 1);
  bool Used = false;
  for (int I = 0; I < 8; ++I) {
    Test.sendRequest("once");
    Used = Used || Test.lastForward().Server.Id == Server.Id;
  }
  CHECK(Used);
}

TEST_CASE("a request is refused at once with the end of the first pause if all "
          "servers of its pool ask for one") {
  serving_fixture Test;
  Test.addAllPools();
  request_id Request = Test.sendRequest("once");
  core_duration Time = seconds(5);
  while (Test.Actions.Refusals[Request].empty()) {
    Test.Core.onServerPause(Test.lastForward().Server, {Time}, Test.Now);
    Test.Core.onCompleteReply(Test.Actions.LastForward,
                              serving_fixture::notRunHead(), "", Test.Now);
    Time += seconds(1);
  }
  // Others that were not called yet ask too.
  for (const std::pair<const backend_id, backend_state> &Server :
       Test.Core.backends().all())
    Test.Core.onServerPause(Server.second.Entry, {seconds(5)}, Test.Now);
  std::size_t Sent = Test.Actions.Forwards.size();
  Request = Test.sendRequest("once");
  REQUIRE(Test.Actions.Refusals[Request].size() == 1);
  const refusal &Refusal = Test.Actions.Refusals[Request][0];
  CHECK(Refusal.Kind == refusal_kind::Paused);
  CHECK(guaranteesNotRun(Refusal.Kind));
  CHECK(Refusal.RetryAfter >= seconds(5));
  CHECK(Refusal.RetryAfter <= milliseconds(5'500));
  CHECK(Test.Actions.Forwards.size() == Sent);
}
