// A load of long prompts beside short ones: 80 hosts, 12 engines, and one load
// report that all hosts read and that is never renewed. Engines read prompts
// one after the other.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/prompt_room.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <string>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t HostCount = 80;
constexpr int EngineCount = 12;
constexpr std::uint64_t SessionCount = 200;
constexpr core_duration LoadTime = seconds(60);
constexpr core_duration StreamTime = milliseconds(300);
constexpr core_duration Message = milliseconds(1);
const core_time Begin{seconds(100)};
const pool_id Pool("engine");
const engine_rules Rules{16, 500'000};

/// Callers of one kind.
struct prompt_kind {
  std::string Name;
  std::uint64_t Tokens;
  core_duration Goal;
  /// Mean time between two of them.
  core_duration Pause;
};
const prompt_kind Short{"short", 300, milliseconds(600), milliseconds(10)};
const prompt_kind Long{"long", 4'000, milliseconds(3'000), milliseconds(80)};

struct outcome {
  std::vector<core_duration> FirstEvents;

  core_duration quantile(double Part) const {
    return FirstEvents[static_cast<std::size_t>(
        Part * static_cast<double>(FirstEvents.size() - 1))];
  }
  double onTime(core_duration Goal) const {
    return static_cast<double>(std::count_if(
               FirstEvents.begin(), FirstEvents.end(),
               [Goal](core_duration First) { return First <= Goal; })) /
           static_cast<double>(FirstEvents.size());
  }
};

// One engine looks far better than the others.
void addEngines(backend_directory &Servers) {
  for (int I = 0; I < EngineCount; ++I) {
    backend_entry Entry;
    Entry.Id = backend_id("e" + std::to_string(I));
    Entry.Pool = Pool;
    Servers.update(Entry);
    Servers.onLoad(Entry.Id, {I == 0 ? 0U : 3U, 0, Rules.Slots, 100}, Begin);
  }
}

struct load_host {
  backend_directory Servers;
  prompt_room Own;
};

class prompt_load {
public:
  explicit prompt_load(bool Bounded) : Bounded(Bounded) {
    for (load_host &Host : Hosts)
      addEngines(Host.Servers);
  }

  void run() {
    arrive(Short, ShortCallers);
    arrive(Long, LongCallers);
    while (!Events.empty()) {
      auto First = Events.begin();
      Now = First->first;
      std::function<void()> Action = std::move(First->second);
      Events.erase(First);
      Action();
    }
    for (outcome *Callers : {&ShortCallers, &LongCallers})
      std::sort(Callers->FirstEvents.begin(), Callers->FirstEvents.end());
  }

  outcome ShortCallers;
  outcome LongCallers;

private:
  void after(core_duration Time, std::function<void()> Action) {
    Events.emplace(Now + Time, std::move(Action));
  }

  std::uint64_t below(std::uint64_t End) { return Random() % End; }

  void arrive(const prompt_kind &Kind, outcome &Callers) {
    core_duration Pause(static_cast<std::int64_t>(
        below(2 * static_cast<std::uint64_t>(Kind.Pause.count()))));
    after(Pause, [this, &Kind, &Callers] {
      if (Now - Begin > LoadTime)
        return;
      ask(Kind, Callers);
      arrive(Kind, Callers);
    });
  }

  void ask(const prompt_kind &Kind, outcome &Callers) {
    load_host &Host = Hosts[below(HostCount)];
    prompt_key Key{
        {entry_host_id("h"), incarnation(1)}, request_id(++LastRequest), 1};
    placement_query Query;
    Query.LiveHosts = HostCount;
    Query.Prefix = {{1 + below(SessionCount), 1'000}};
    if (Bounded)
      for (const std::pair<const backend_id, core_duration> &Reading :
           Host.Own.readings(Now))
        Query.Reading[Reading.first] =
            static_cast<double>(Reading.second.count()) /
            static_cast<double>(bound().count());
    std::vector<backend_state *> Ranked =
        rankEngines(Host.Servers.usable(Pool, Now), Query, Rules, Now);
    core_duration Reading = Speed.timeFor(Pool, Kind.Tokens, Now);
    prompt_offer Offer{Ranked.front()->Entry.Id, Reading};
    core_duration Wait{0};
    if (Bounded && prompt_bound{bound(), true}.isLong(Reading)) {
      std::vector<prompt_offer> Offers;
      for (std::size_t I = 0; I < 4; ++I)
        Offers.push_back({Ranked[I]->Entry.Id, Reading});
      prompt_grant Grant =
          Book.book(Key, Offers, bound(), Kind.Goal - Reading, Now + Message);
      Offer.Server = Grant.Server;
      Wait = 2 * Message + Grant.In;
    }
    after(Wait, [this, &Host, &Callers, Key, Offer, Asked = Now] {
      send(Host, Callers, Key, Offer, Asked);
    });
  }

  void send(load_host &Host, outcome &Callers, const prompt_key &Key,
            const prompt_offer &Offer, core_time Asked) {
    Host.Servers.onCallStarted(Offer.Server);
    if (prompt_bound{bound(), true}.isLong(Offer.Reading))
      Host.Own.add(Key, Offer, Now);
    core_time &Free = FreeAt[Offer.Server];
    Free = std::max(Free, Now) + Offer.Reading;
    Callers.FirstEvents.push_back(Free - Asked);
    after(Free - Now, [this, &Host, Key] {
      Host.Own.end(Key);
      after(Message, [this, Key] { Book.end(Key); });
    });
    after(Free - Now + StreamTime,
          [&Host, Offer] { Host.Servers.onCallEnded(Offer.Server); });
  }

  static core_duration bound() { return Short.Goal / 4; }

  bool Bounded;
  std::mt19937 Random{1};
  core_time Now = Begin;
  std::multimap<core_time, std::function<void()>> Events;
  std::vector<load_host> Hosts{HostCount};
  prompt_room Book;
  reading_speed Speed;
  std::map<backend_id, core_time> FreeAt;
  std::uint64_t LastRequest = 0;
};

void print(const std::string &When, const prompt_kind &Kind,
           const outcome &Callers) {
  auto InMs = [](core_duration Time) {
    return std::chrono::duration_cast<milliseconds>(Time).count();
  };
  MESSAGE(When, ": ", Kind.Name, " prompts, first event p50 ",
          InMs(Callers.quantile(0.5)), " ms, p95 ",
          InMs(Callers.quantile(0.95)), " ms, p99 ",
          InMs(Callers.quantile(0.99)), " ms, on time ",
          Callers.onTime(Kind.Goal));
}

} // namespace

TEST_CASE("short prompts are on time beside long ones, and these as well") {
  prompt_load Before(false);
  Before.run();
  prompt_load After(true);
  After.run();
  print("before", Short, Before.ShortCallers);
  print("before", Long, Before.LongCallers);
  print("after", Short, After.ShortCallers);
  print("after", Long, After.LongCallers);
  CHECK(After.ShortCallers.quantile(0.95) <= Short.Goal);
  CHECK(After.LongCallers.quantile(0.95) <= Long.Goal);
  CHECK(After.ShortCallers.onTime(Short.Goal) >
        Before.ShortCallers.onTime(Short.Goal));
}

TEST_CASE("80 hosts with one report do not all choose one engine") {
  std::map<backend_id, std::size_t> Chosen;
  prompt_room Book;
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    backend_directory Servers;
    addEngines(Servers);
    placement_query Query;
    Query.LiveHosts = HostCount;
    Query.Prefix = {{1 + Host, 1'000}};
    std::vector<backend_state *> Ranked =
        rankEngines(Servers.usable(Pool, Begin), Query, Rules, Begin);
    std::vector<prompt_offer> Offers;
    for (std::size_t I = 0; I < 4; ++I)
      Offers.push_back({Ranked[I]->Entry.Id, milliseconds(400)});
    prompt_key Key{{entry_host_id("h"), incarnation(1)}, request_id(Host), 1};
    ++Chosen[Book.book(Key, Offers, milliseconds(150), seconds(60), Begin)
                 .Server];
  }
  CHECK(Chosen.size() == EngineCount);
  for (const std::pair<const backend_id, std::size_t> &Engine : Chosen)
    CHECK(Engine.second <= 2 * HostCount / EngineCount);
}
