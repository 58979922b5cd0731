// Calls to the platform: counting and limits by purpose, backoff, and detection
// of the beginning and end of an outage.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/detail/platform_gateway.h"

#include <doctest/doctest.h>

#include <set>

using namespace jasminecroft;
using namespace jasminecroft::detail;

namespace {

core_settings settings(std::uint64_t Seed) {
  core_settings Settings;
  Settings.Fleet = fleet_id("f");
  Settings.Self = {entry_host_id("e1"), incarnation(1)};
  Settings.Seed = Seed;
  return Settings;
}

struct caller final : platform_result_handler {
  void onPlatformResult(platform_call_id Call,
                        const platform_result &Result) override {
    Answered.insert(Call);
    LastWasRefusal = std::holds_alternative<platform_refused>(Result);
  }
  std::multiset<platform_call_id> Answered;
  bool LastWasRefusal = false;
};

struct fixture {
  explicit fixture(std::uint64_t Seed = 1)
      : Context(settings(Seed)), Gateway(Context) {
    Context.begin(Now);
  }
  void advance(core_duration Later) {
    Now += Later;
    Context.begin(Now);
  }
  platform_call_id call(call_purpose Purpose) {
    return Gateway.call(Caller, Purpose, get_object{object_key("k")});
  }
  std::vector<call_platform> emitted() {
    std::vector<call_platform> Calls;
    for (const action &Action : Context.takeActions())
      if (const call_platform *Call = std::get_if<call_platform>(&Action))
        Calls.push_back(*Call);
    return Calls;
  }
  void fail(std::uint32_t Times) {
    for (std::uint32_t I = 0; I < Times; ++I)
      Gateway.onReply({call(call_purpose::Claim), platform_no_answer{}});
  }
  core_time Now{std::chrono::seconds(10)};
  core_context Context;
  platform_gateway Gateway;
  caller Caller;
};

} // namespace

TEST_CASE("a purpose over its rate limit is queued without delaying others") {
  fixture F;
  for (int I = 0; I < 20; ++I)
    F.call(call_purpose::Config);
  CHECK(F.emitted().size() == 10);
  F.call(call_purpose::Claim);
  CHECK(F.emitted().size() == 1);
  REQUIRE(F.Gateway.nextWakeup());
  F.advance(*F.Gateway.nextWakeup() - F.Now);
  F.Gateway.onWakeup();
  CHECK(F.emitted().size() == 1);
  F.advance(std::chrono::seconds(10));
  F.Gateway.onWakeup();
  CHECK(F.emitted().size() == 9);
  CHECK(F.Gateway.callCount(call_purpose::Config) == 20);
}

TEST_CASE("a call to a full queue is refused asynchronously and exactly once") {
  fixture F;
  platform_call_id Last;
  for (int I = 0; I < 27; ++I)
    Last = F.call(call_purpose::Config);
  CHECK(F.Caller.Answered.empty());
  CHECK(F.Gateway.nextWakeup() == F.Now);
  F.Gateway.onWakeup();
  CHECK(F.Caller.Answered.count(Last) == 1);
  CHECK(F.Caller.LastWasRefusal);
  F.Gateway.onWakeup();
  CHECK(F.Caller.Answered.count(Last) == 1);
}

TEST_CASE("the end of an outage is detected without other calls") {
  fixture F;
  F.fail(FailuresUntilAway);
  REQUIRE(F.Gateway.away());
  F.emitted();
  core_time Begun = F.Now;
  std::size_t Probes = 0;
  while (F.Now - Begun < std::chrono::seconds(60)) {
    F.advance(*F.Gateway.nextWakeup() - F.Now);
    F.Gateway.onWakeup();
    for (const call_platform &Call : F.emitted()) {
      CHECK(Call.Purpose == call_purpose::Probe);
      F.Gateway.onReply({Call.Call, platform_no_answer{}});
      ++Probes;
    }
  }
  CHECK(Probes >= 10);
  CHECK(Probes <= 30);
  F.advance(*F.Gateway.nextWakeup() - F.Now);
  F.Gateway.onWakeup();
  std::vector<call_platform> Calls = F.emitted();
  REQUIRE(Calls.size() == 1);
  F.Gateway.onReply({Calls[0].Call, object_absent{}});
  CHECK_FALSE(F.Gateway.away());
  CHECK_FALSE(F.Gateway.nextWakeup());
}

TEST_CASE("retries of many hosts are spread by jitter") {
  std::set<std::int64_t> Tenths;
  for (std::uint64_t Seed = 0; Seed < 390; ++Seed) {
    fixture F(Seed);
    F.fail(10);
    core_duration Delay = F.Gateway.backoff();
    CHECK(Delay >= std::chrono::milliseconds(2500));
    CHECK(Delay <= std::chrono::seconds(5));
    Tenths.insert(Delay.count() / 250'000);
  }
  CHECK(Tenths.size() >= 10);
}

TEST_CASE("failures of one purpose do not increase the backoff of another") {
  fixture F;
  F.fail(10);
  CHECK(F.Gateway.backoff(call_purpose::Claim) > std::chrono::seconds(2));
  CHECK(F.Gateway.backoff(call_purpose::Config) <=
        std::chrono::milliseconds(200));
}
