// Tests of what is learned of model engines, and of its use.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/engine_model.h"

#include "serving-fixture.h"

#include "jasminecroft/core/serving/placement.h"

#include <doctest/doctest.h>
#include <utility>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id Pool("pool");
const core_time Start{seconds(100)};
constexpr int Engines = 12;

backend_id idOf(int I) { return backend_id("s" + std::to_string(10 + I)); }

// Every fourth engine takes 2.2 times as long for each token.
bool isSlow(int I) { return I % 4 == 0; }

backend_directory servers(std::uint64_t Run = 1) {
  backend_directory Servers;
  for (int I = 0; I < Engines; ++I) {
    backend_entry Entry;
    Entry.Id = idOf(I);
    Entry.Pool = Pool;
    Entry.Zone = zone_id("z0");
    Entry.Run = incarnation(Run);
    Servers.update(Entry);
  }
  return Servers;
}

std::vector<engine_time> times(std::uint32_t Streams, std::uint64_t Run = 1) {
  std::vector<engine_time> Times;
  Times.reserve(Engines);
  for (int I = 0; I < Engines; ++I)
    Times.push_back({idOf(I), incarnation(Run),
                     milliseconds(isSlow(I) ? 66 : 30), Streams});
  return Times;
}

std::size_t slowIn(const backend_directory &Servers) {
  std::size_t Count = 0;
  for (const std::pair<const backend_id, backend_state> &Server : Servers.all())
    Count += Server.second.Slowness > 1 ? 1 : 0;
  return Count;
}

struct latency {
  core_duration P50{0};
  core_duration P95{0};
  core_duration P99{0};
  double OnTime = 0;
};

// A read of Tokens of a prompt at an engine that reads for one call after the
// other, and how many ms it takes for 1,000 tokens.
struct reader {
  core_time FreeAt;
  double MsPerThousand = 0;
};

// 2,400 calls of 400 sessions in a minute, one in ten with 30,000 tokens that
// are not cached, the others with 1,000. Returns the times to the first event
// of the long or the short ones.
latency play(bool Learned, bool Long) {
  backend_directory Servers = servers();
  engine_model Model;
  if (Learned) {
    Model.onKnown(times(8), Start);
    Model.apply(Servers, Start);
  }
  std::map<backend_id, reader> Readers;
  for (int I = 0; I < Engines; ++I)
    Readers[idOf(I)] = {Start, isSlow(I) ? 32.0 : 14.6};
  engine_rules Rules;
  Rules.Slots = 48;
  std::vector<core_duration> Times;
  for (std::uint64_t I = 0; I < 2'400; ++I) {
    core_time Now = Start + milliseconds(25) * static_cast<std::int64_t>(I);
    placement_query Query;
    Query.NearZone = zone_id("z0");
    Query.Prefix = {{1, 500}, {(I * 7'919) % 400 + 2, 1'000}};
    std::vector<backend_state *> Usable = Servers.usable(Pool, Now);
    backend_id Server = chooseEngine(Usable, Query, Rules, Now)->Entry.Id;
    bool IsLong = I % 10 == 0;
    reader &Reader = Readers[Server];
    Reader.FreeAt = std::max(Reader.FreeAt, Now) +
                    core_duration(static_cast<std::int64_t>(
                        Reader.MsPerThousand * 1'000 * (IsLong ? 30 : 1)));
    if (IsLong == Long)
      Times.push_back(Reader.FreeAt - Now);
  }
  std::sort(Times.begin(), Times.end());
  auto At = [&Times](std::size_t Percent) {
    return Times[Times.size() * Percent / 100];
  };
  auto Late = std::upper_bound(Times.begin(), Times.end(),
                               core_duration(milliseconds(800)));
  return {At(50), At(95), At(99),
          static_cast<double>(Late - Times.begin()) /
              static_cast<double>(Times.size())};
}

void show(const std::string &Callers, const latency &Before,
          const latency &After) {
  auto Ms = [](core_duration Time) { return Time.count() / 1'000; };
  MESSAGE(Callers, ": first event p50 ", Ms(Before.P50), " -> ", Ms(After.P50),
          " ms, p95 ", Ms(Before.P95), " -> ", Ms(After.P95), " ms, p99 ",
          Ms(Before.P99), " -> ", Ms(After.P99), " ms, on time ", Before.OnTime,
          " -> ", After.OnTime);
}

} // namespace

TEST_CASE("engines are slow against the median of their pool") {
  backend_directory Servers = servers();
  engine_model Model;
  Model.onSeen(times(3), Start);
  CHECK(Model.apply(Servers, Start).empty());
  Model.onSeen(times(3), Start + seconds(1));
  std::vector<engine_change> Changes = Model.apply(Servers, Start + seconds(1));
  REQUIRE(Changes.size() == 3);
  CHECK(Changes[0].Slow);
  CHECK(Changes[0].Factor == doctest::Approx(2.2));
  CHECK(slowIn(Servers) == 3);
  CHECK(Model.slowCount() == 3);
  // Nothing is heard of them for long: they are as usual again.
  CHECK(Model.apply(Servers, Start + seconds(90)).size() == 3);
  CHECK(slowIn(Servers) == 0);
}

TEST_CASE("a new run of an engine starts as usual") {
  backend_directory Servers = servers();
  engine_model Model;
  Model.onKnown(times(8), Start);
  Model.apply(Servers, Start);
  CHECK(slowIn(Servers) == 3);
  for (int I = 0; I < Engines; ++I) {
    backend_entry Entry = Servers.find(idOf(I))->Entry;
    Entry.Run = incarnation(2);
    Entry.Revision = object_version(2);
    Servers.update(Entry);
  }
  CHECK(slowIn(Servers) == 0);
  Model.apply(Servers, Start + seconds(1));
  CHECK(slowIn(Servers) == 0);
  Model.onKnown(times(8), Start + seconds(2));
  Model.apply(Servers, Start + seconds(2));
  CHECK(slowIn(Servers) == 0);
}

TEST_CASE("a host learns of engines that it has never sent to") {
  engine_model Watcher;
  std::vector<engine_model> Followers(8);
  for (int Stream = 0; Stream < 60; ++Stream)
    Followers[static_cast<std::size_t>(Stream) % 7].observe(
        idOf(Stream % Engines), incarnation(1),
        milliseconds(isSlow(Stream % Engines) ? 66 : 30), true, Start);
  for (engine_model &Follower : Followers)
    Watcher.onSeen(Follower.takeSeen(), Start);
  CHECK(Followers[0].takeSeen().empty());
  Followers[7].onKnown(Watcher.known(Start), Start);
  backend_directory Servers = servers();
  std::vector<engine_change> Changes = Followers[7].apply(Servers, Start);
  REQUIRE(Changes.size() == 3);
  CHECK(Changes[0].Source == "peer");
}

TEST_CASE("load: a quarter of the engines is slow, long prompts beside short") {
  latency LongBefore = play(false, true);
  latency LongAfter = play(true, true);
  show("long", LongBefore, LongAfter);
  CHECK(LongAfter.P95 < LongBefore.P95);
  CHECK(LongAfter.OnTime > LongBefore.OnTime);
  latency ShortBefore = play(false, false);
  latency ShortAfter = play(true, false);
  show("short", ShortBefore, ShortAfter);
  CHECK(ShortAfter.P95 < ShortBefore.P95);
  CHECK(ShortAfter.OnTime > ShortBefore.OnTime);
}

TEST_CASE("load: 80 hosts with the same reports do not send to one engine") {
  backend_directory Servers = servers();
  for (int I = 0; I < Engines; ++I)
    Servers.onLoad(idOf(I), {4, 0, 48, 100}, Start);
  engine_rules Rules;
  Rules.Slots = 48;
  std::map<backend_id, int> Chosen;
  for (std::uint64_t Host = 0; Host < 80; ++Host) {
    placement_query Query;
    Query.NearZone = zone_id("z0");
    Query.LiveHosts = 80;
    Query.Spread = Host * 7'919;
    ++Chosen[chooseEngine(Servers.usable(Pool, Start), Query, Rules, Start)
                 ->Entry.Id];
  }
  for (const std::pair<const backend_id, int> &Entry : Chosen)
    CHECK(Entry.second < 20);
}

TEST_CASE("whole streams show a slow engine, which then gets fewer requests") {
  serving_fixture Fixture;
  Fixture.configure();
  Fixture.addServers("engine", 5);
  const backend_id SlowOne("engine2");
  std::size_t ToSlow = 0;
  std::size_t Before = 0;
  for (int Request = 0; Request < 400; ++Request) {
    Before = Request == 200 ? std::exchange(ToSlow, 0) : Before;
    Fixture.sendRequest("stream");
    call_id Call = Fixture.Actions.LastForward;
    bool Slow = Fixture.lastForward().Server.Id == SlowOne;
    ToSlow += Slow ? 1 : 0;
    Fixture.Core.onStreamHead(Call, serving_fixture::successHead(),
                              Fixture.Now);
    for (std::uint64_t Event = 1; Event <= 6; ++Event) {
      Fixture.advance(milliseconds(Slow ? 66 : 30));
      Fixture.Core.onStreamEvents(Call, "e", Event, Event, Fixture.Now);
    }
    Fixture.Core.onStreamEnd(Call, Fixture.Now);
  }
  CHECK(ToSlow < Before);
  std::size_t Told = 0;
  for (const event_record &Record : Fixture.Actions.Log)
    if (Record.Number == event_number::EngineSlow) {
      ++Told;
      CHECK(Record.Fields[0] == event_field{"server", SlowOne.Value});
      CHECK(Record.Fields[2] == event_field{"source", "streams"});
    }
  CHECK(Told >= 1);
}
