// Requests to backend servers with a limit, at one host of two.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const host_run Peer{entry_host_id("h1"), incarnation(1)};
constexpr int PlainServers = 3;

class limits_fixture : public serving_fixture {
public:
  explicit limits_fixture(bool WithPeer = true) {
    addAllPools();
    if (WithPeer)
      Core.onHost({Peer.Host, zone_id("z0"), endpoint("h1:1"), 1'000}, Now);
    // A host holds its part of a limit some time after it has read the list.
    Core.onHostsRead(Now);
    advance(seconds(20));
  }

  static server_limit_news limit(int Server, double PerSecond) {
    server_limit_news News;
    News.Server = backend_id("plain" + std::to_string(Server));
    News.Run = incarnation(1);
    News.MicrosPerSecond = static_cast<std::uint64_t>(PerSecond * 1e6);
    return News;
  }

  void limitServers(int Count, double PerSecond) {
    server_limit_list List;
    for (int I = 0; I < Count; ++I)
      List.Limits.push_back(limit(I, PerSecond));
    Core.onPeer(Peer, List, Now);
  }

  /// Permits that were asked of the peer.
  std::vector<send_permit_request> asked() const {
    std::vector<send_permit_request> Result;
    for (const std::pair<entry_host_id, peer_body> &Message : Actions.Sent)
      if (const send_permit_request *Body =
              std::get_if<send_permit_request>(&Message.second))
        Result.push_back(*Body);
    return Result;
  }

  void answer(const send_permit_request &Asked, bool Granted,
              core_duration RetryIn = core_duration{0}) {
    Core.onPeer(
        Peer,
        send_permit_reply{Asked.Limit.Server, Asked.Request, Granted, RetryIn},
        Now);
  }

  /// Sends requests until one has to ask the peer.
  request_id askUntilPeer(const char *Route = "plain",
                          const std::vector<std::uint32_t> &Pieces = {}) {
    for (int I = 0; I < 50; ++I) {
      std::size_t Before = asked().size();
      request_id Request = sendRequest(Route, Pieces);
      if (asked().size() > Before && Actions.Refusals[Request].empty())
        return Request;
    }
    FAIL("no request asked the peer");
    return {};
  }
};

} // namespace

TEST_CASE("a limit in a reply is told to all hosts, and so is its end") {
  limits_fixture Test;
  Test.sendRequest("plain");
  Test.Core.onStatedLimit(Test.Actions.LastForward, {1.3}, Test.Now);
  CHECK(Test.sentTo<server_limit_list>(Peer.Host) == 1);
  CHECK(Test.Core.counters().LimitedServers == 1);
  Test.Core.onStatedLimit(Test.Actions.LastForward, {1.3}, Test.Now);
  CHECK(Test.sentTo<server_limit_list>(Peer.Host) == 1);
  Test.Core.onStatedLimit(Test.Actions.LastForward, {}, Test.Now);
  CHECK(Test.sentTo<server_limit_list>(Peer.Host) == 2);
  CHECK(Test.Core.counters().LimitedServers == 0);
}

TEST_CASE("a limited server is left to the host that counts its requests") {
  limits_fixture Test;
  Test.limitServers(2, 1.0);
  for (int I = 0; I < 20; ++I) {
    Test.sendRequest("plain");
    CHECK(Test.lastForward().Server.Id == backend_id("plain2"));
  }
  CHECK(Test.asked().empty());
}

TEST_CASE("a permit of the host that counts lets a request go on") {
  limits_fixture Test;
  Test.limitServers(PlainServers, 1.0);
  request_id Request = Test.askUntilPeer();
  std::size_t Before = Test.Actions.Forwards.size();
  send_permit_request Asked = Test.asked().back();
  CHECK(Asked.Request == Request);
  Test.answer(Asked, true);
  REQUIRE(Test.Actions.Forwards.size() == Before + 1);
  CHECK(Test.lastForward().Server.Id == Asked.Limit.Server);
  // A second reply changes nothing.
  Test.answer(Asked, true);
  CHECK(Test.Actions.Forwards.size() == Before + 1);
}

TEST_CASE("a request without a permit is refused at once as not run, with the "
          "time to come back") {
  limits_fixture Test;
  Test.limitServers(PlainServers, 1.0);
  request_id Request = Test.askUntilPeer();
  while (Test.Actions.Refusals[Request].empty()) {
    std::size_t Before = Test.asked().size();
    Test.answer(Test.asked().back(), false, milliseconds(700));
    REQUIRE((Test.asked().size() > Before ||
             !Test.Actions.Refusals[Request].empty()));
  }
  REQUIRE(Test.Actions.Refusals[Request].size() == 1);
  CHECK(Test.Actions.Refusals[Request][0].Kind == refusal_kind::Limited);
  CHECK(guaranteesNotRun(refusal_kind::Limited));
  CHECK(Test.Actions.Refusals[Request][0].RetryAfter > core_duration{0});
  CHECK(Test.Core.counters().RefusedByLimit > 0);
}

TEST_CASE("a host that counts and does not answer holds a request up for a "
          "short time") {
  limits_fixture Test;
  Test.limitServers(PlainServers, 0.1);
  request_id Request = Test.askUntilPeer();
  Test.advance(seconds(1));
  REQUIRE(Test.Actions.Refusals[Request].size() == 1);
  CHECK(Test.Actions.Refusals[Request][0].Kind == refusal_kind::Limited);
}

TEST_CASE("a request that waits for a permit goes on when a limit has ended") {
  for (bool Answered : {false, true}) {
    CAPTURE(Answered);
    limits_fixture Test;
    Test.limitServers(PlainServers, 1.0);
    request_id Request = Test.askUntilPeer();
    send_permit_request Asked = Test.asked().back();
    std::size_t Before = Test.Actions.Forwards.size();
    server_limit_list Ended;
    for (int I = 0; I < PlainServers; ++I) {
      Ended.Limits.push_back(limits_fixture::limit(I, 0));
      Ended.Limits.back().MicrosPerSecond.reset();
    }
    Test.Now += milliseconds(10);
    Test.Core.onPeer(Peer, Ended, Test.Now);
    if (Answered)
      Test.answer(Asked, false, milliseconds(700));
    else
      Test.advance(milliseconds(250));
    CHECK(Test.Actions.Refusals[Request].empty());
    CHECK(Test.Actions.Forwards.size() == Before + 1);
  }
}

TEST_CASE("a request whose caller left while it waits for a permit is not "
          "sent") {
  limits_fixture Test;
  Test.limitServers(PlainServers, 1.0);
  request_id Request = Test.askUntilPeer();
  std::size_t Before = Test.Actions.Forwards.size();
  Test.Core.onCallerDisconnected(Request, Test.Now);
  Test.answer(Test.asked().back(), true);
  CHECK(Test.Actions.Forwards.size() == Before);
}

TEST_CASE("a host grants the permits of the servers that it counts, and no "
          "more") {
  limits_fixture Test;
  // Half of it is this host's part.
  server_limit_news Limit = limits_fixture::limit(0, 4.0);
  int Granted = 0;
  for (int I = 0; I < 400; ++I) {
    Test.Actions.Sent.clear();
    Test.Core.onPeer(Peer,
                     send_permit_request{
                         Limit, request_id(static_cast<std::uint64_t>(I) + 1)},
                     Test.Now);
    for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
      if (const send_permit_reply *Reply =
              std::get_if<send_permit_reply>(&Message.second)) {
        Granted += Reply->Granted ? 1 : 0;
        CHECK((Reply->Granted || Reply->RetryIn > core_duration{0}));
      }
    Test.Now += milliseconds(10);
    Limit.Age += milliseconds(10);
    Limit.ChangeAge += milliseconds(10);
  }
  CHECK(Granted >= 4);
  CHECK(Granted <= 9);
}

TEST_CASE("retries count against a limit") {
  limits_fixture Test(false);
  Test.limitServers(PlainServers, 0.5);
  std::size_t Sent = 0;
  for (int I = 0; I < 40; ++I) {
    Test.sendRequest("plain");
    while (Test.Actions.Forwards.size() > Sent) {
      Sent = Test.Actions.Forwards.size();
      Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::Broken,
                             Test.Now);
    }
    Test.advance(milliseconds(100));
  }
  // Three servers, 4 s, half a request a second, and one at once each.
  CHECK(Sent <= 9);
}

TEST_CASE("a server with a limit is asked at times whether it goes on") {
  limits_fixture Test(false);
  Test.limitServers(1, 1.0);
  std::size_t Limited = 0;
  for (int I = 0; I < 100; ++I) {
    Test.sendRequest("plain");
    Limited += Test.lastForward().Server.Id == backend_id("plain0") ? 1 : 0;
    Test.Core.onCompleteReply(Test.Actions.LastForward,
                              serving_fixture::successHead(), "", Test.Now);
    Test.advance(milliseconds(100));
  }
  CHECK(Limited >= 3);
  CHECK(Limited <= 11);
}

TEST_CASE("stages of a request do not start before it has a permit") {
  limits_fixture Test;
  server_limit_list List;
  for (int I = 0; I < 3; ++I) {
    server_limit_news Limit = limits_fixture::limit(I, 1.0);
    Limit.Server = backend_id("engine" + std::to_string(I));
    List.Limits.push_back(Limit);
  }
  Test.Core.onPeer(Peer, List, Test.Now);
  Test.askUntilPeer("staged", {1, 1});
  std::size_t Jobs = Test.requestedJobs().size();
  std::size_t Calls = Test.Actions.Pieces.size();
  Test.advance(milliseconds(100));
  CHECK(Test.requestedJobs().size() == Jobs);
  CHECK(Test.Actions.Pieces.size() == Calls);
  Test.answer(Test.asked().back(), true);
  Test.reportLoads();
  CHECK(Test.requestedJobs().size() + Test.Actions.Pieces.size() >
        Jobs + Calls);
}

TEST_CASE("a refused request hears the earliest time that a host named") {
  limits_fixture Test;
  Test.limitServers(PlainServers, 0.1);
  request_id Request = Test.askUntilPeer();
  milliseconds Named(900);
  while (Test.Actions.Refusals[Request].empty()) {
    Test.answer(Test.asked().back(), false, Named);
    Named = Named == milliseconds(900) ? milliseconds(300) : milliseconds(700);
  }
  CHECK(Test.Actions.Refusals[Request][0].RetryAfter == milliseconds(300));
}

TEST_CASE("a host that counts and is silent is left for the next one") {
  limits_fixture Test;
  for (const char *Name : {"h2", "h3"})
    Test.Core.onHost({entry_host_id(Name), zone_id("z0"),
                      endpoint(std::string(Name) + ":1"), 1'000},
                     Test.Now);
  Test.limitServers(PlainServers, 2.0);
  auto AskedHosts = [&Test] {
    std::vector<entry_host_id> Result;
    for (const std::pair<entry_host_id, peer_body> &Message : Test.Actions.Sent)
      if (std::holds_alternative<send_permit_request>(Message.second))
        Result.push_back(Message.first);
    return Result;
  };
  request_id Request = Test.sendRequest("plain");
  REQUIRE(AskedHosts().size() == 1);
  Test.advance(milliseconds(250));
  REQUIRE(AskedHosts().size() == 2);
  CHECK(AskedHosts()[0] != AskedHosts()[1]);
  send_permit_request Asked = Test.asked().back();
  Test.Core.onPeer({AskedHosts()[1], incarnation(1)},
                   send_permit_reply{Asked.Limit.Server, Asked.Request, true},
                   Test.Now);
  CHECK(Test.Actions.Refusals[Request].empty());
  CHECK(Test.lastForward().Server.Id == Asked.Limit.Server);
  // Others do not wait for the silent host.
  std::size_t Before = AskedHosts().size();
  Test.sendRequest("plain");
  REQUIRE(AskedHosts().size() == Before + 1);
  CHECK(AskedHosts().back() != AskedHosts()[0]);
}

// Servers state their start by their own clock, which may go back.
TEST_CASE("what an earlier run of a server said of its limit is not taken for "
          "the present one") {
  for (std::uint64_t Next : {2, 9}) {
    CAPTURE(Next);
    limits_fixture Test;
    backend_entry Entry = Test.Core.backends().all().begin()->second.Entry;
    REQUIRE(Entry.Pool == pool_id("engine"));
    auto Update = [&](std::uint64_t Run, std::uint64_t Revision) {
      Entry.Run = incarnation(Run);
      Entry.Revision = object_version(Revision);
      Test.Core.onBackend(Entry, Test.Now);
    };
    auto Tell = [&](std::uint64_t Run, double PerSecond) {
      server_limit_news News = limits_fixture::limit(0, PerSecond);
      News.Server = Entry.Id;
      News.Run = incarnation(Run);
      Test.Core.onPeer(Peer, server_limit_list{{News}}, Test.Now);
    };
    auto Limit = [&](std::uint64_t Run) {
      return Test.Core.backends().limits().find(Entry.Id, incarnation(Run));
    };
    Update(5, 100);
    Tell(5, 7);
    CHECK(Limit(5) == 7.0);
    Update(Next, 101);
    CHECK_FALSE(Limit(Next));
    Tell(Next, 3);
    CHECK(Limit(Next) == 3.0);
    Tell(5, 9);
    CHECK(Limit(Next) == 3.0);
  }
}

TEST_CASE("a reply to a call of an earlier run says nothing of the present "
          "one's limit") {
  for (std::uint64_t Next : {0, 9}) {
    CAPTURE(Next);
    limits_fixture Test;
    Test.sendRequest("plain");
    backend_entry Entry = Test.lastForward().Server;
    Entry.Run = incarnation(Next);
    Entry.Revision = object_version(200);
    Test.Core.onBackend(Entry, Test.Now);
    Test.Core.onStatedLimit(Test.Actions.LastForward, {1.0}, Test.Now);
    CHECK(Test.Core.backends().limits().count() == 0);
  }
}
