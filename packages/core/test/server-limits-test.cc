// Beginning, change, end and use of servers' limits at one host.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/server_limits.h"

#include "jasminecroft/core/serving/shared_rate.h"

#include <doctest/doctest.h>

#include <memory>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const backend_id Server("s");
const incarnation Run(1);
const core_time Start{seconds(1'000)};

limit_change state(server_limits &Limits, std::optional<double> PerSecond,
                   core_time SentAt, core_time Now) {
  return Limits.onReply(Server, Run, {PerSecond}, SentAt, Now);
}

/// Number of requests that may be sent in a time.
int acquired(server_limits &Limits, core_time From, core_duration Time) {
  int Count = 0;
  for (core_duration After{0}; After < Time; After += milliseconds(1))
    Count += Limits.tryAcquire(Server, From + After) ? 1 : 0;
  return Count;
}

batching_host host(std::size_t Number) {
  std::string Name = "h" + std::to_string(Number);
  return {entry_host_id(Name), zone_id("z"), endpoint(Name + ":1"), 250};
}

/// One of many hosts, each of which suspects some others.
struct sharing_host {
  sharing_host(std::size_t Self, std::size_t Count) : Hosts(host(Self)) {
    for (std::size_t I = 0; I < Count; ++I)
      Hosts.addListed(host(I), Start);
    Hosts.onListRead(Start - seconds(60));
    for (std::size_t I = Self % 3; I < Count; I += 2)
      Hosts.suspect(host(I).Host, Start);
    Limits.shareBy(Rate);
  }
  fleet_hosts Hosts;
  shared_rate Rate{Hosts};
  server_limits Limits;
};

} // namespace

TEST_CASE("a limit begins, changes and ends with what replies say") {
  server_limits Limits;
  CHECK(state(Limits, std::nullopt, Start, Start) == limit_change::None);
  CHECK(state(Limits, 1.3, Start, Start) == limit_change::Began);
  CHECK(state(Limits, 1.3, Start, Start) == limit_change::None);
  CHECK(state(Limits, 2.0, Start, Start) == limit_change::Changed);
  CHECK(Limits.find(Server, Run) == 2.0);
  CHECK(Limits.count() == 1);
  CHECK(state(Limits, std::nullopt, Start + seconds(1), Start + seconds(2)) ==
        limit_change::Ended);
  CHECK_FALSE(Limits.find(Server, Run));
  CHECK(Limits.count() == 0);
}

TEST_CASE("a reply to an earlier call does not end a limit") {
  server_limits Limits;
  state(Limits, 1.0, Start, Start + seconds(1));
  CHECK(state(Limits, std::nullopt, Start, Start + seconds(2)) ==
        limit_change::None);
  CHECK(Limits.find(Server, Run) == 1.0);
}

TEST_CASE("a limit ends with the run of its server") {
  server_limits Limits;
  state(Limits, 1.0, Start, Start);
  CHECK_FALSE(Limits.find(Server, incarnation(2)));
  Limits.onReply(Server, incarnation(2), {3.0}, Start, Start);
  CHECK(Limits.find(Server, incarnation(2)) == 3.0);
  CHECK_FALSE(Limits.find(Server, Run));
  CHECK(Limits.count() == 1);
}

TEST_CASE("no more requests are sent than a limit allows in any time") {
  for (double PerSecond : {0.5, 1.3, 10.0, 200.0}) {
    CAPTURE(PerSecond);
    server_limits Limits;
    state(Limits, PerSecond, Start, Start);
    int InFourSeconds = acquired(Limits, Start + seconds(60), seconds(4));
    CHECK(InFourSeconds <= 4 * PerSecond + 1);
    // Two hosts that both count stay within the users' rule.
    CHECK(2 * InFourSeconds <= 1.5 * 4 * PerSecond + 5);
    CHECK(InFourSeconds >= 2 * PerSecond);
  }
}

TEST_CASE("a server with a limit of zero still gets a request now and then") {
  server_limits Limits;
  state(Limits, 0.0, Start, Start);
  int InFourSeconds = acquired(Limits, Start, seconds(4));
  CHECK(InFourSeconds <= 5);
  CHECK(acquired(Limits, Start + seconds(4), seconds(20)) >= 4);
}

TEST_CASE("a huge limit is no limit in effect") {
  server_limits Limits;
  state(Limits, 1e300, Start, Start);
  CHECK(acquired(Limits, Start + seconds(1), seconds(1)) == 1'000);
}

TEST_CASE("the time to the next request is exact") {
  server_limits Limits;
  CHECK(Limits.timeToNext(Server, Start) == core_duration{0});
  state(Limits, 1.0, Start, Start);
  core_duration Wait = Limits.timeToNext(Server, Start);
  CHECK(Wait > seconds(1));
  CHECK_FALSE(Limits.tryAcquire(Server, Start + Wait - milliseconds(1)));
  CHECK(Limits.tryAcquire(Server, Start + Wait));
}

TEST_CASE("refused requests are told to come back one after the other") {
  server_limits Limits;
  state(Limits, 2.0, Start, Start);
  core_duration First = Limits.suggestRetry(Server, Start);
  core_duration Second = Limits.suggestRetry(Server, Start);
  CHECK(First >= Limits.timeToNext(Server, Start));
  CHECK(Second > First);
  for (int I = 0; I < 100; ++I)
    CHECK(Limits.suggestRetry(Server, Start) <= seconds(3));
}

TEST_CASE("news of another host count if they are newer") {
  server_limits One;
  server_limits Other;
  state(One, 1.5, Start, Start);
  server_limit_news Began = *One.news(Server, Start + milliseconds(10));
  CHECK(Other.apply(Began, Start + milliseconds(10)) == limit_change::Began);
  CHECK(Other.find(Server, Run) == 1.5);
  CHECK(Other.apply(Began, Start + milliseconds(10)) == limit_change::None);
  state(Other, std::nullopt, Start + seconds(1), Start + seconds(2));
  server_limit_news Ended = *Other.news(Server, Start + seconds(3));
  CHECK(One.apply(Ended, Start + seconds(3)) == limit_change::Ended);
  CHECK(Other.apply(*One.news(Server, Start + seconds(3)),
                    Start + seconds(3)) == limit_change::None);
  CHECK(One.inForce(Start + seconds(3)).empty());
}

TEST_CASE("the limits of ten thousand servers take bounded memory") {
  server_limits Limits;
  for (int I = 0; I < 10'000; ++I)
    Limits.onReply(backend_id(std::to_string(I)), Run, {1.0}, Start, Start);
  CHECK(Limits.count() < 5'000);
}

TEST_CASE("the parts of all hosts add up to a limit, whoever suspects whom") {
  for (std::size_t Count = 1; Count <= 80; ++Count)
    for (std::size_t Most : {std::size_t{2}, shared_rate::Holders}) {
      CAPTURE(Count);
      double Sum = 0;
      for (std::size_t I = 0; I < Count; ++I)
        Sum += sharing_host(I, Count).Rate.fraction("limit", Start, Most);
      CHECK(Sum == doctest::Approx(1));
    }
}

TEST_CASE("all hosts together keep a limit in any ten seconds") {
  for (std::size_t Count : {1, 2, 3, 4, 80})
    for (double PerSecond : {0.5, 1.3, 2.0, 10.0, 200.0}) {
      CAPTURE(Count);
      CAPTURE(PerSecond);
      std::vector<std::unique_ptr<sharing_host>> Hosts;
      for (std::size_t I = 0; I < Count; ++I) {
        Hosts.push_back(std::make_unique<sharing_host>(I, Count));
        state(Hosts.back()->Limits, PerSecond, Start, Start);
      }
      // Nobody asks for a while, so that each host has saved up what it may.
      int Sent = 0;
      for (std::unique_ptr<sharing_host> &Host : Hosts)
        Sent += acquired(Host->Limits, Start + seconds(60), seconds(10));
      CHECK(Sent <= 10 * PerSecond);
      CHECK(Sent >= 5 * PerSecond);
    }
}

TEST_CASE("a slow limit that nobody uses has a call for the first who asks") {
  std::vector<std::unique_ptr<sharing_host>> Hosts;
  for (std::size_t I = 0; I < 80; ++I) {
    Hosts.push_back(std::make_unique<sharing_host>(I, 80));
    state(Hosts.back()->Limits, 0.0, Start, Start);
  }
  core_duration First = seconds(100);
  std::size_t Holding = 0;
  for (std::unique_ptr<sharing_host> &Host : Hosts)
    if (Host->Limits.holdsPart(Server, Start)) {
      ++Holding;
      First = std::min(First, Host->Limits.timeToNext(Server, Start));
    }
  CHECK(Holding == 2);
  CHECK(First <= seconds(5));
}

TEST_CASE("a call of a queue that another host counted is sent soon or not at "
          "all") {
  sharing_host Other(0, 80);
  state(Other.Limits, 1.0, Start, Start);
  server_limits &Limits = Other.Limits;
  REQUIRE_FALSE(Limits.holdsPart(Server, Start));
  CHECK(Limits.timeToNextForQueue(Server, Start) > core_duration{0});
  Limits.hold(Server, Start);
  CHECK(Limits.timeToNextForQueue(Server, Start) == core_duration{0});
  CHECK(Limits.timeToNext(Server, Start) > core_duration{0});
  Limits.acquireForQueue(Server, Start);
  CHECK(Limits.timeToNextForQueue(Server, Start) > core_duration{0});
  Limits.hold(Server, Start);
  CHECK(Limits.timeToNextForQueue(Server, Start + seconds(1)) >
        core_duration{0});
}
