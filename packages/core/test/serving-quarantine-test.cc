// Requests with a quarantined part of their prompt at one host, and what hosts
// tell each other of such parts.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Crashing = 900;
const host_run Peer{entry_host_id("h1"), incarnation(1)};

class quarantine_fixture : public serving_fixture {
public:
  quarantine_fixture() {
    addAllPools();
    Core.onHost({Peer.Host, zone_id("z0"), endpoint("h1:1"), 1'000}, Now);
  }

  request_id ask(std::uint64_t Part, const char *Route = "stream",
                 std::vector<std::uint32_t> Pieces = {}) {
    return sendRequest(Route, std::move(Pieces), "key",
                       {{1, 100}, {Part, 100}, {10'000 + LastRequest, 100}});
  }

  void rule(part_standing Standing, std::uint32_t Round = 1,
            core_duration Time = seconds(30), std::uint64_t Part = Crashing) {
    part_ruling Ruling{prompt_part_id(Part), Round, Standing, 0, Time};
    Core.onPeer(Peer, part_rulings{{Ruling}}, Now);
  }

  std::optional<refusal> refusalOf(request_id Request) {
    const std::vector<refusal> &All = Actions.Refusals[Request];
    REQUIRE(All.size() <= 1);
    return All.empty() ? std::nullopt : std::optional(All[0]);
  }

  /// Rulings on the part that were sent to the peer.
  std::vector<part_ruling> told(std::uint64_t Part = Crashing) const {
    std::vector<part_ruling> Result;
    for (const std::pair<entry_host_id, peer_body> &Message : Actions.Sent)
      if (const part_rulings *Body = std::get_if<part_rulings>(&Message.second))
        for (const part_ruling &Ruling : Body->Rulings)
          if (Ruling.Part == prompt_part_id(Part))
            Result.push_back(Ruling);
    return Result;
  }

  void crashAfterHead() {
    Core.onStreamHead(Actions.LastForward, successHead(), Now);
    Core.onCallFailed(Actions.LastForward, call_failure::Broken, Now);
    backend_entry Restarted = lastForward().Server;
    ++Restarted.Run.Value;
    Core.onBackend(Restarted, Now);
  }
};

} // namespace

TEST_CASE("a request with a quarantined part is refused at once as not run") {
  quarantine_fixture Test;
  Test.rule(part_standing::Quarantined);
  request_id Request = Test.ask(Crashing);
  REQUIRE(Test.refusalOf(Request));
  CHECK(Test.refusalOf(Request)->Kind == refusal_kind::Quarantined);
  CHECK(guaranteesNotRun(refusal_kind::Quarantined));
  CHECK(Test.refusalOf(Request)->RetryAfter == seconds(30));
  CHECK(Test.Actions.Forwards.empty());
  CHECK(Test.Core.counters().Quarantined == 1);
  CHECK(Test.Core.counters().QuarantinedParts == 1);
}

TEST_CASE("a request with a quarantined part makes no pieces") {
  quarantine_fixture Test;
  Test.rule(part_standing::Quarantined);
  Test.ask(Crashing, "staged", {1, 1});
  CHECK(Test.Actions.Pieces.empty());
  CHECK(Test.requestedJobs().empty());
}

TEST_CASE("requests without the quarantined part are served") {
  quarantine_fixture Test;
  Test.rule(part_standing::Quarantined);
  request_id Request = Test.ask(Crashing + 1);
  CHECK_FALSE(Test.refusalOf(Request));
  CHECK(Test.Actions.Forwards.size() == 1);
}

TEST_CASE("suspected and cleared parts are served") {
  quarantine_fixture Test;
  Test.rule(part_standing::Suspected);
  CHECK_FALSE(Test.refusalOf(Test.ask(Crashing)));
  Test.rule(part_standing::Quarantined);
  Test.rule(part_standing::Cleared);
  CHECK_FALSE(Test.refusalOf(Test.ask(Crashing)));
}

TEST_CASE("a quarantine ends waiting requests, and calls without an event as "
          "failed") {
  quarantine_fixture Test;
  request_id Waiting = Test.ask(Crashing, "staged", {1, 1});
  request_id Sent = Test.ask(Crashing);
  call_id Call = Test.Actions.LastForward;
  Test.rule(part_standing::Quarantined);
  CHECK(Test.refusalOf(Waiting)->Kind == refusal_kind::Quarantined);
  CHECK(Test.refusalOf(Sent)->Kind == refusal_kind::Failed);
  CHECK(std::count(Test.Actions.Cancelled.begin(), Test.Actions.Cancelled.end(),
                   Call) == 1);
}

TEST_CASE("a quarantine leaves streams with events alone") {
  quarantine_fixture Test;
  request_id Running = Test.ask(Crashing);
  call_id Call = Test.Actions.LastForward;
  Test.Core.onStreamHead(Call, serving_fixture::successHead(), Test.Now);
  Test.Core.onStreamEvents(Call, "1", 1, 1, Test.Now);
  Test.rule(part_standing::Quarantined);
  Test.Core.onStreamEvents(Call, "2", 2, 2, Test.Now);
  Test.Core.onStreamEnd(Call, Test.Now);
  CHECK(Test.Actions.Streams[Running].Ended);
}

TEST_CASE("a retry and a resumption of a request with a quarantined part are "
          "not sent") {
  quarantine_fixture Test;
  request_id Request = Test.ask(Crashing, "resumable");
  Test.Core.onStreamHead(Test.Actions.LastForward,
                         serving_fixture::successHead(), Test.Now);
  Test.Core.onStreamEvents(Test.Actions.LastForward, "1", 1, 1, Test.Now);
  Test.rule(part_standing::Quarantined);
  Test.Core.onCallFailed(Test.Actions.LastForward, call_failure::Broken,
                         Test.Now);
  CHECK(Test.Actions.Forwards.size() == 1);
  CHECK(Test.Actions.Streams[Request].Aborted);
}

TEST_CASE("two crashes after a head quarantine a part at all hosts") {
  quarantine_fixture Test;
  for (int I = 0; I < 2; ++I) {
    Test.ask(Crashing);
    Test.crashAfterHead();
    Test.advance(seconds(1));
    // Another request shows that the common part is sound.
    Test.ask(Crashing + 1 + static_cast<std::uint64_t>(I));
    Test.Core.onStreamHead(Test.Actions.LastForward,
                           serving_fixture::successHead(), Test.Now);
    Test.Core.onStreamEvents(Test.Actions.LastForward, "1", 1, 1, Test.Now);
    Test.Core.onStreamEnd(Test.Actions.LastForward, Test.Now);
  }
  REQUIRE_FALSE(Test.told().empty());
  CHECK(Test.told().back().Standing == part_standing::Quarantined);
  CHECK(Test.refusalOf(Test.ask(Crashing)));
  CHECK_FALSE(Test.refusalOf(Test.ask(Crashing + 5)));
}

TEST_CASE("timeouts, refusals and streams with events are no crashes") {
  quarantine_fixture Test;
  for (int I = 0; I < 6; ++I) {
    Test.ask(Crashing);
    call_id Call = Test.Actions.LastForward;
    if (I % 3 == 0) {
      Test.Core.onCallFailed(Call, call_failure::TimedOut, Test.Now);
    } else if (I % 3 == 1) {
      Test.Core.onCallFailed(Call, call_failure::NotConnected, Test.Now);
    } else {
      Test.Core.onStreamHead(Call, serving_fixture::successHead(), Test.Now);
      Test.Core.onStreamEvents(Call, "1", 1, 1, Test.Now);
      Test.Core.onCallFailed(Call, call_failure::Broken, Test.Now);
    }
    Test.advance(seconds(1));
  }
  CHECK(Test.told().empty());
  CHECK_FALSE(Test.refusalOf(Test.ask(Crashing)));
}

TEST_CASE("one request is tried when the quarantine is over, and its reply "
          "clears the part") {
  quarantine_fixture Test;
  Test.rule(part_standing::Quarantined, 1, seconds(2));
  Test.advance(seconds(2));
  std::size_t Before = Test.Actions.Forwards.size();
  std::size_t Tried = 0;
  // The hosts take turns; with two of them one of two turns is this host's.
  for (int I = 0; I < 8 && Tried == 0; ++I) {
    Test.ask(Crashing);
    Test.ask(Crashing);
    Tried = Test.Actions.Forwards.size() - Before;
    if (Tried == 0)
      Test.advance(seconds(1));
  }
  REQUIRE(Tried == 1);
  CHECK(Test.told().back().Standing == part_standing::Quarantined);
  CHECK(Test.told().back().Round == 2);
  Test.Core.onStreamHead(Test.Actions.LastForward,
                         serving_fixture::successHead(), Test.Now);
  Test.Core.onStreamEvents(Test.Actions.LastForward, "1", 1, 1, Test.Now);
  CHECK(Test.told().back().Standing == part_standing::Cleared);
  CHECK_FALSE(Test.refusalOf(Test.ask(Crashing)));
}

TEST_CASE("a trial that crashes a server keeps the part in quarantine") {
  quarantine_fixture Test;
  Test.rule(part_standing::Quarantined, 1, seconds(2));
  Test.advance(seconds(2));
  for (int I = 0; I < 8 && Test.Actions.Forwards.empty(); ++I) {
    Test.ask(Crashing);
    Test.advance(seconds(1));
  }
  REQUIRE(Test.Actions.Forwards.size() == 1);
  Test.crashAfterHead();
  Test.advance(seconds(1));
  request_id Next = Test.ask(Crashing);
  REQUIRE(Test.refusalOf(Next));
  CHECK(Test.refusalOf(Next)->RetryAfter > seconds(30));
}

TEST_CASE("a reply to a request with a suspected part clears it at all hosts") {
  quarantine_fixture Test;
  Test.rule(part_standing::Suspected);
  Test.ask(Crashing);
  Test.Core.onStreamHead(Test.Actions.LastForward,
                         serving_fixture::successHead(), Test.Now);
  CHECK(Test.told().empty());
  Test.Core.onStreamEvents(Test.Actions.LastForward, "1", 1, 1, Test.Now);
  REQUIRE(Test.told().size() == 1);
  CHECK(Test.told()[0].Standing == part_standing::Cleared);
}

TEST_CASE("a host with an older ruling is told the newer one") {
  quarantine_fixture Test;
  Test.rule(part_standing::Quarantined, 3);
  Test.rule(part_standing::Cleared, 2);
  REQUIRE(Test.told().size() == 1);
  CHECK(Test.told()[0].Round == 3);
  CHECK(Test.refusalOf(Test.ask(Crashing)));
}

TEST_CASE("a host that has just started is told of quarantined parts") {
  quarantine_fixture Test;
  Test.rule(part_standing::Quarantined);
  host_heartbeat Heartbeat;
  Heartbeat.Self = {entry_host_id("new"), zone_id("z0"), endpoint("new:1"), 0};
  Heartbeat.WantsReply = true;
  Test.Core.onPeer({entry_host_id("new"), incarnation(1)}, Heartbeat, Test.Now);
  CHECK(Test.sentTo<part_rulings>(entry_host_id("new")) == 1);
}

TEST_CASE("hosts repeat quarantines to each other, for those that missed one") {
  quarantine_fixture Test;
  Test.rule(part_standing::Quarantined);
  Test.Actions.Sent.clear();
  Test.advance(seconds(3));
  CHECK(Test.sentTo<part_rulings>(Peer.Host) >= 2);
}
