// Tests of the gossip about store reads: detection of stale hosts, targets of
// announcements, and replacement of dead watchers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/store_gossip.h"

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

/// Simulated hosts with instant messages. A configuration that a host requests
/// from a peer is applied with the time of the next step.
class gossip_fleet {
public:
  explicit gossip_fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Members.push_back(std::make_unique<member>(host(I)));
      for (std::size_t Other = 0; Other < Count; ++Other)
        Members[I]->Hosts.add(host(Other), Start);
      // Spreads the periodic messages over one interval.
      Members[I]->Gossip.start(Start - milliseconds(7 * (I % 140)));
    }
  }

  struct member {
    explicit member(const batching_host &Self) : Hosts(Self), Gossip(Hosts) {}
    fleet_hosts Hosts;
    store_gossip Gossip;
    bool Dead = false;
  };

  std::vector<std::size_t> watchers() const {
    std::vector<std::size_t> Result;
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (!Members[I]->Dead && Members[I]->Gossip.isWatcher())
        Result.push_back(I);
    return Result;
  }

  std::size_t staleHosts(config_version Version) const {
    return static_cast<std::size_t>(std::count_if(
        Members.begin(), Members.end(),
        [Version](const std::unique_ptr<member> &Member) {
          return !Member->Dead && Member->Gossip.progress().Config < Version;
        }));
  }

  std::size_t hostsBefore(store_era Era) const {
    return static_cast<std::size_t>(
        std::count_if(Members.begin(), Members.end(),
                      [Era](const std::unique_ptr<member> &Member) {
                        return Member->Gossip.progress().Backends.Era < Era;
                      }));
  }

  void run(core_duration Time) {
    for (core_time End = Now + Time; Now < End; Now += Step)
      for (std::size_t I = 0; I < Members.size(); ++I)
        if (!Members[I]->Dead)
          step(I);
  }

  std::vector<std::unique_ptr<member>> Members;
  core_time Now = Start;
  std::size_t Messages = 0;

private:
  std::size_t indexOf(const entry_host_id &Id) const {
    return std::stoul(Id.Value.substr(1)) - 1'000;
  }

  void deliver(std::size_t From, const entry_host_id &To) {
    ++Messages;
    member &Target = *Members[indexOf(To)];
    if (Target.Dead)
      return;
    Target.Hosts.onPeerMessage(host(From).Host, Now);
    Target.Gossip.onPeerMessage(host(From).Host,
                                Members[From]->Gossip.progress(), Now);
  }

  void step(std::size_t I) {
    member &Self = *Members[I];
    store_gossip::due_actions Due = Self.Gossip.takeDueActions(Now);
    for (const batching_host &Host : Due.AnnounceTo)
      deliver(I, Host.Host);
    for (const batching_host &Host : Due.Probe) {
      deliver(I, Host.Host);
      if (!Members[indexOf(Host.Host)]->Dead)
        deliver(indexOf(Host.Host), Self.Hosts.self().Host);
    }
    for (const entry_host_id &Host : Due.Unresponsive)
      Self.Hosts.suspect(Host, Now);
    if (Due.PullConfigFrom) {
      const member &From = *Members[indexOf(*Due.PullConfigFrom)];
      Self.Gossip.onConfig(From.Gossip.progress().Config, Now + Step);
    }
  }
};

} // namespace

TEST_CASE("a host that reads a change itself in time is not stale") {
  fleet_hosts Hosts(host(0));
  store_gossip Gossip(Hosts);
  Gossip.start(Start);
  Gossip.onPeerMessage(host(1).Host, {config_version(7), object_version(30)},
                       Start);
  CHECK(Gossip.takeDueActions(Start + milliseconds(60)).Resync.empty());
  Gossip.onConfig(config_version(7), Start + milliseconds(60));
  Gossip.onBackendsRead(object_version(31), object_version(30),
                        Start + milliseconds(60));
  store_gossip::due_actions Due =
      Gossip.takeDueActions(Start + store_gossip::PropagationTime);
  CHECK(Due.Resync.empty());
  CHECK_FALSE(Due.PullConfigFrom);
}

TEST_CASE("a stale host reads the store again and asks the sender") {
  fleet_hosts Hosts(host(0));
  store_gossip Gossip(Hosts);
  Gossip.start(Start);
  Gossip.onBackendsRead(object_version(20), object_version(20), Start);
  Gossip.takeDueActions(Start);
  Gossip.onPeerMessage(host(1).Host, {config_version(7), object_version(30)},
                       Start);
  CHECK(Gossip.nextWakeup() == Start + store_gossip::PropagationTime);
  store_gossip::due_actions Due =
      Gossip.takeDueActions(Start + store_gossip::PropagationTime);
  CHECK(Due.Resync ==
        std::vector<store_kind>{store_kind::Config, store_kind::Backends});
  CHECK(Due.PullConfigFrom == host(1).Host);
  // Once per message that reveals a newer version.
  CHECK(Gossip.takeDueActions(Start + milliseconds(200)).Resync.empty());
  Gossip.onPeerMessage(host(2).Host, {config_version(7), object_version(30)},
                       Start + milliseconds(300));
  CHECK(Gossip.takeDueActions(Start + milliseconds(500)).Resync.size() == 2);
}

TEST_CASE("a change read only by the watchers reaches all hosts in a second") {
  for (std::size_t Count : {3, 6, 76, 390}) {
    gossip_fleet Fleet(Count);
    Fleet.run(seconds(2));
    std::vector<std::size_t> Watchers = Fleet.watchers();
    CHECK(Watchers.size() == 2);
    Fleet.Members[Watchers[0]]->Gossip.onConfig(config_version(5), Fleet.Now);
    Fleet.run(seconds(1));
    CHECK(Fleet.staleHosts(config_version(5)) == 0);
  }
}

TEST_CASE("hosts refused by the store catch up within four seconds") {
  gossip_fleet Fleet(76);
  Fleet.run(seconds(2));
  // A third of the hosts is refused, including the watchers.
  std::set<std::size_t> Refused;
  for (std::size_t Watcher : Fleet.watchers())
    Refused.insert(Watcher);
  for (std::size_t I = 0; I < 76; I += 3)
    Refused.insert(I);
  for (std::size_t I = 0; I < 76; ++I)
    if (!Refused.contains(I))
      Fleet.Members[I]->Gossip.onConfig(config_version(5), Fleet.Now);
  Fleet.run(seconds(4));
  CHECK(Fleet.staleHosts(config_version(5)) == 0);
}

TEST_CASE("dead watchers are replaced within four seconds") {
  gossip_fleet Fleet(12);
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
    gossip_fleet Fleet(Count);
    Fleet.run(seconds(2));
    Fleet.Messages = 0;
    Fleet.run(seconds(10));
    // Two hosts probe two watchers per second, which answer.
    CHECK(Fleet.Messages <= 10 * (Count + 8) + Count);
  }
}

TEST_CASE("a stale host requests the newer configuration from the sender") {
  serving_fixture Fixture;
  Fixture.Core.onConfig(Fixture.config(3), "old", Fixture.Now);
  host_heartbeat Greeting;
  Greeting.Self = host(1);
  Greeting.Config = config_version(7);
  host_run Sender{host(1).Host, incarnation(1)};
  Fixture.Core.onPeer(Sender, Greeting, Fixture.Now);
  Fixture.Core.onWakeup(Fixture.Now + store_gossip::PropagationTime);
  const std::vector<std::pair<entry_host_id, peer_body>> &Sent =
      Fixture.Actions.Sent;
  CHECK(std::any_of(Sent.begin(), Sent.end(),
                    [](const std::pair<entry_host_id, peer_body> &Message) {
                      const operator_config_pull *Pull =
                          std::get_if<operator_config_pull>(&Message.second);
                      return Message.first == host(1).Host && Pull &&
                             Pull->Have == config_version(3);
                    }));
  CHECK(Fixture.Actions.Resync == std::vector<store_kind>{store_kind::Config});
}

namespace {

constexpr std::size_t LargeConfigBytes = 450'000;

std::size_t pushes(const serving_fixture &Fixture) {
  return static_cast<std::size_t>(std::count_if(
      Fixture.Actions.Sent.begin(), Fixture.Actions.Sent.end(),
      [](const std::pair<entry_host_id, peer_body> &Message) {
        return std::holds_alternative<operator_config_push>(Message.second);
      }));
}

} // namespace

TEST_CASE("a follower reads a large configuration from the store") {
  serving_fixture Fixture;
  Fixture.Core.onConfig(Fixture.config(3), std::string(LargeConfigBytes, ' '),
                        Fixture.Now);
  Fixture.Core.onHost(host(1), Fixture.Now);
  store_news News;
  News.Current = true;
  News.Config = config_version(4);
  Fixture.Core.onPeer({host(1).Host, incarnation(1)}, News, Fixture.Now);
  CHECK(Fixture.Actions.Resync == std::vector<store_kind>{store_kind::Config});
  CHECK(std::none_of(Fixture.Actions.Sent.begin(), Fixture.Actions.Sent.end(),
                     [](const std::pair<entry_host_id, peer_body> &Message) {
                       return std::holds_alternative<operator_config_pull>(
                           Message.second);
                     }));
}

TEST_CASE("a large configuration goes to hosts that do not get on without it") {
  serving_fixture Fixture;
  Fixture.Core.onConfig(Fixture.config(3), std::string(LargeConfigBytes, ' '),
                        Fixture.Now);
  Fixture.Core.onHost(host(1), Fixture.Now);
  host_run Asking{host(1).Host, incarnation(1)};
  Fixture.Core.onPeer(Asking, operator_config_pull{config_version(1)},
                      Fixture.Now);
  CHECK(pushes(Fixture) == 0);
  Fixture.Core.onPeer(Asking, operator_config_pull{config_version(2)},
                      Fixture.Now);
  CHECK(pushes(Fixture) == 0);
  Fixture.Core.onPeer(Asking, operator_config_pull{config_version(2)},
                      Fixture.Now);
  CHECK(pushes(Fixture) == 1);
  // A host without any configuration cannot wait.
  Fixture.Core.onPeer(Asking, operator_config_pull{}, Fixture.Now);
  CHECK(pushes(Fixture) == 2);
}

TEST_CASE("a host that learns of the return of the store from a copy tells the "
          "others at once") {
  for (std::size_t Count : {3, 76, 390}) {
    gossip_fleet Fleet(Count);
    Fleet.run(seconds(2));
    for (const std::unique_ptr<gossip_fleet::member> &Member : Fleet.Members)
      Member->Gossip.onBackendsRead({store_era(1), 500}, {store_era(1), 500},
                                    Fleet.Now);
    Fleet.run(seconds(2));
    core_duration Worst{0};
    for (std::size_t First = 0; First < Count; First += Count / 3) {
      store_era Era = Fleet.Members[0]->Gossip.progress().Backends.Era.next();
      core_time SeenAt = Fleet.Now;
      Fleet.Members[First]->Gossip.onStoreEra(Era, Fleet.Now);
      while (Fleet.hostsBefore(Era) != 0 && Fleet.Now - SeenAt < seconds(5))
        Fleet.run(Step);
      Worst = std::max(Worst, Fleet.Now - SeenAt);
      Fleet.run(seconds(2));
    }
    MESSAGE(Count, " hosts know of it after at most ", Worst.count() / 1'000,
            " ms");
    CHECK(Worst <= store_gossip::PropagationTime);
  }
}

TEST_CASE("a host that knows a higher number of an earlier era is behind") {
  fleet_hosts Hosts(host(0));
  store_gossip Gossip(Hosts);
  Gossip.start(Start);
  Gossip.onBackendsRead({store_era(1), 500}, {store_era(1), 500}, Start);
  Gossip.takeDueActions(Start);
  Gossip.onPeerMessage(host(1).Host, {config_version(), {store_era(2), 30}},
                       Start);
  CHECK(Gossip.takeDueActions(Start + store_gossip::PropagationTime).Resync ==
        std::vector<store_kind>{store_kind::Backends});
}
