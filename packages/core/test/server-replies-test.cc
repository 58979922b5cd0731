// What servers say of themselves in their replies, and how hosts heed it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <doctest/doctest.h>

using namespace jasminecroft;

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
