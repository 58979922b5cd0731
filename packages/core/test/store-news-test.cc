// Hosts that tell each other how far they have read the store: who is behind,
// who is told, and who watches in place of dead watchers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/store_news.h"

#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <set>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core_time Start{seconds(100)};
constexpr core_duration Step = milliseconds(10);

batching_host host(std::size_t Index) {
  std::string Name = "h" + std::to_string(1'000 + Index);
  return {entry_host_id(Name), zone_id("z"), endpoint(Name + ":1"), 250};
}

/// Hosts whose messages arrive after one step. What a host that asks again gets
/// from the store or a peer arrives a step later.
class talking_fleet {
public:
  explicit talking_fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Members.push_back(std::make_unique<member>(host(I)));
      for (std::size_t Other = 0; Other < Count; ++Other)
        Members[I]->Hosts.add(host(Other), Start);
      // Spread over one turn.
      Members[I]->News.start(Start - milliseconds(7 * (I % 140)));
    }
  }

  struct member {
    explicit member(const batching_host &Self) : Hosts(Self), News(Hosts) {}
    fleet_hosts Hosts;
    store_news News;
    bool Dead = false;
  };

  std::vector<std::size_t> watchers() const {
    std::vector<std::size_t> Result;
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (!Members[I]->Dead && Members[I]->News.watchesClosely())
        Result.push_back(I);
    return Result;
  }

  std::size_t behind(config_version Version) const {
    return static_cast<std::size_t>(std::count_if(
        Members.begin(), Members.end(),
        [Version](const std::unique_ptr<member> &Member) {
          return !Member->Dead && Member->News.progress().Config < Version;
        }));
  }

  void run(core_duration Time) {
    for (core_time End = Now + Time; Now < End; Now += Step)
      for (std::size_t I = 0; I < Members.size(); ++I)
        if (!Members[I]->Dead)
          act(I);
  }

  std::vector<std::unique_ptr<member>> Members;
  core_time Now = Start;
  std::size_t Messages = 0;

private:
  std::size_t indexOf(const entry_host_id &Id) const {
    return std::stoul(Id.Value.substr(1)) - 1'000;
  }

  void tell(std::size_t From, const entry_host_id &To) {
    ++Messages;
    member &Target = *Members[indexOf(To)];
    if (Target.Dead)
      return;
    Target.Hosts.onHeard(host(From).Host, Now);
    Target.News.onHeard(host(From).Host, Members[From]->News.progress(), Now);
  }

  void act(std::size_t I) {
    member &Self = *Members[I];
    store_news::due Due = Self.News.take(Now);
    for (const batching_host &Host : Due.Tell)
      tell(I, Host.Host);
    for (const batching_host &Host : Due.Ask) {
      tell(I, Host.Host);
      if (!Members[indexOf(Host.Host)]->Dead)
        tell(indexOf(Host.Host), Self.Hosts.self().Host);
    }
    for (const entry_host_id &Host : Due.Silent)
      Self.Hosts.suspect(Host, Now);
    if (Due.PullConfigFrom) {
      const member &From = *Members[indexOf(*Due.PullConfigFrom)];
      Self.News.onConfig(From.News.progress().Config, Now + Step);
    }
  }
};

} // namespace

TEST_CASE("a host that reads a change itself in time is not behind") {
  fleet_hosts Hosts(host(0));
  store_news News(Hosts);
  News.start(Start);
  News.onHeard(host(1).Host, {config_version(7), object_version(30)}, Start);
  CHECK(News.take(Start + milliseconds(60)).ReadAgain.empty());
  News.onConfig(config_version(7), Start + milliseconds(60));
  News.onBackendsRead(object_version(31), object_version(30),
                      Start + milliseconds(60));
  store_news::due Due = News.take(Start + store_news::ReadTime);
  CHECK(Due.ReadAgain.empty());
  CHECK_FALSE(Due.PullConfigFrom);
}

TEST_CASE("a host that is behind reads again and asks who is not") {
  fleet_hosts Hosts(host(0));
  store_news News(Hosts);
  News.start(Start);
  News.onBackendsRead(object_version(20), object_version(20), Start);
  News.take(Start);
  News.onHeard(host(1).Host, {config_version(7), object_version(30)}, Start);
  CHECK(News.nextWakeup() == Start + store_news::ReadTime);
  store_news::due Due = News.take(Start + store_news::ReadTime);
  CHECK(Due.ReadAgain ==
        std::vector<store_kind>{store_kind::Config, store_kind::Backends});
  CHECK(Due.PullConfigFrom == host(1).Host);
  // Once for each time that it is told.
  CHECK(News.take(Start + milliseconds(200)).ReadAgain.empty());
  News.onHeard(host(2).Host, {config_version(7), object_version(30)},
               Start + milliseconds(300));
  CHECK(News.take(Start + milliseconds(500)).ReadAgain.size() == 2);
}

TEST_CASE("what the watchers alone have read is known everywhere in a second") {
  for (std::size_t Count : {3, 6, 76, 390}) {
    talking_fleet Fleet(Count);
    Fleet.run(seconds(2));
    std::vector<std::size_t> Watchers = Fleet.watchers();
    CHECK(Watchers.size() == 2);
    Fleet.Members[Watchers[0]]->News.onConfig(config_version(5), Fleet.Now);
    Fleet.run(seconds(1));
    CHECK(Fleet.behind(config_version(5)) == 0);
  }
}

TEST_CASE("hosts that the store turns away catch up within four seconds") {
  talking_fleet Fleet(76);
  Fleet.run(seconds(2));
  // A third is turned away, the watchers among them.
  std::set<std::size_t> Away;
  for (std::size_t Watcher : Fleet.watchers())
    Away.insert(Watcher);
  for (std::size_t I = 0; I < 76; I += 3)
    Away.insert(I);
  for (std::size_t I = 0; I < 76; ++I)
    if (!Away.contains(I))
      Fleet.Members[I]->News.onConfig(config_version(5), Fleet.Now);
  Fleet.run(seconds(4));
  CHECK(Fleet.behind(config_version(5)) == 0);
}

TEST_CASE("dead watchers are replaced within four seconds") {
  talking_fleet Fleet(12);
  Fleet.run(seconds(2));
  for (std::size_t Watcher : Fleet.watchers())
    Fleet.Members[Watcher]->Dead = true;
  CHECK(Fleet.watchers().empty());
  Fleet.run(seconds(4));
  CHECK_FALSE(Fleet.watchers().empty());
}

TEST_CASE("without changes a host sends about one message a second, whatever "
          "the size of the fleet") {
  for (std::size_t Count : {6, 390}) {
    talking_fleet Fleet(Count);
    Fleet.run(seconds(2));
    Fleet.Messages = 0;
    Fleet.run(seconds(10));
    // Two hosts ask two watchers a second, which answer.
    CHECK(Fleet.Messages <= 10 * (Count + 8) + Count);
  }
}

TEST_CASE("a host that has a configuration asks a peer for a newer one") {
  serving_fixture Fixture;
  Fixture.Core.onConfig(Fixture.config(3), "old", Fixture.Now);
  host_heartbeat Greeting;
  Greeting.Self = host(1);
  Greeting.Config = config_version(7);
  host_run Sender{host(1).Host, incarnation(1)};
  Fixture.Core.onPeer(Sender, Greeting, Fixture.Now);
  Fixture.Core.onWakeup(Fixture.Now + store_news::ReadTime);
  const std::vector<std::pair<entry_host_id, peer_body>> &Sent =
      Fixture.Actions.Sent;
  CHECK(std::any_of(Sent.begin(), Sent.end(),
                    [](const std::pair<entry_host_id, peer_body> &Message) {
                      const operator_config_pull *Pull =
                          std::get_if<operator_config_pull>(&Message.second);
                      return Message.first == host(1).Host && Pull &&
                             Pull->Have == config_version(3);
                    }));
  CHECK(Fixture.Actions.ReadAgain ==
        std::vector<store_kind>{store_kind::Config});
}
