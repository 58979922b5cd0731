// Beginning, change, end and use of servers' limits at one host.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/server_limits.h"

#include <doctest/doctest.h>

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
  CHECK(state(Limits, 1.0, Start, Start) == limit_change::None);
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
