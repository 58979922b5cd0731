// Failure detection among the entry hosts of a zone: deaths, restarts, cuts,
// frozen hosts, planned leaves, loss, and messages that must be refused.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/detail/membership.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

using namespace jasminecroft;
using namespace jasminecroft::detail;

namespace {

core_settings settingsOf(std::size_t Host, std::size_t Hosts,
                         std::uint64_t Run) {
  core_settings Settings;
  Settings.Fleet = fleet_id("f");
  Settings.Self = {entry_host_id("e" + std::to_string(Host)), incarnation(Run)};
  Settings.Zone = zone_id("z");
  Settings.Address = endpoint(std::to_string(Host));
  Settings.Seed = 100 * Run + Host;
  for (std::size_t I = 0; I < Hosts; ++I)
    if (I != Host)
      Settings.Seeds.push_back({entry_host_id("e" + std::to_string(I)),
                                zone_id("z"), endpoint(std::to_string(I))});
  return Settings;
}

struct node {
  explicit node(const core_settings &Settings)
      : Context(Settings), Members(Context) {}
  core_context Context;
  membership Members;
};

/// The hosts of one zone; messages arrive in the step after they were sent.
class zone_net {
public:
  explicit zone_net(std::size_t Hosts) : Nodes(Hosts), Frozen(Hosts) {
    for (std::size_t I = 0; I < Hosts; ++I)
      start(I, 1);
  }

  void start(std::size_t Host, std::uint64_t Run) {
    Nodes[Host] = std::make_unique<node>(settingsOf(Host, Nodes.size(), Run));
    Nodes[Host]->Context.begin(Now);
    Nodes[Host]->Members.start();
  }
  void kill(std::size_t Host) { Nodes[Host].reset(); }
  void freeze(std::size_t Host) { Frozen[Host] = true; }
  void resume(std::size_t Host) { Frozen[Host] = false; }
  void cut(std::size_t A, std::size_t B) {
    Cut.insert({std::min(A, B), std::max(A, B)});
  }
  void healAll() { Cut.clear(); }

  void run(std::int64_t Seconds) {
    core_time End = Now + std::chrono::seconds(Seconds);
    for (; Now < End; Now += Step)
      step();
  }

  membership &at(std::size_t Host) { return Nodes[Host]->Members; }
  member_state state(std::size_t Observer, std::size_t Host) {
    const member_record *Record =
        at(Observer).table().find(entry_host_id("e" + std::to_string(Host)));
    return Record ? Record->Update.State : member_state::Left;
  }
  bool allAlive() {
    for (std::size_t A = 0; A < Nodes.size(); ++A)
      for (std::size_t B = 0; B < Nodes.size(); ++B)
        if (A != B && Nodes[A] && state(A, B) != member_state::Alive)
          return false;
    return true;
  }
  /// States that were logged as reached, by any host, of any host.
  std::size_t logged(const std::string &State) const {
    return States.count(State);
  }
  void forgetLog() { States.clear(); }

  std::uint32_t LossPermille = 0;

private:
  static constexpr core_duration Step{10'000};
  struct in_flight {
    std::size_t From;
    std::size_t To;
    peer_message Message;
  };

  void step() {
    std::vector<in_flight> Arriving;
    Arriving.swap(Queue);
    for (in_flight &Flying : Arriving) {
      Random = Random * 6364136223846793005U + 1;
      bool Lost = (Random >> 33U) % 1000 < LossPermille;
      bool Apart = Cut.contains(
          {std::min(Flying.From, Flying.To), std::max(Flying.From, Flying.To)});
      if (Lost || Apart || !Nodes[Flying.To])
        continue;
      if (Frozen[Flying.To]) {
        Queue.push_back(std::move(Flying));
        continue;
      }
      node &Node = *Nodes[Flying.To];
      Node.Context.begin(Now);
      Node.Members.detectPause();
      Node.Members.onPeer(Flying.Message);
      collect(Flying.To);
    }
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (Nodes[I] && !Frozen[I])
        wake(I);
  }

  void wake(std::size_t Host) {
    node &Node = *Nodes[Host];
    std::optional<core_time> Due = Node.Members.nextWakeup();
    if (!Due || *Due > Now)
      return;
    Node.Context.begin(Now);
    Node.Members.detectPause();
    Node.Members.onWakeup();
    collect(Host);
  }

  void collect(std::size_t Host) {
    for (action &Action : Nodes[Host]->Context.takeActions()) {
      if (send_to_peer *Send = std::get_if<send_to_peer>(&Action))
        Queue.push_back(
            {Host, std::stoul(Send->Address.Value), std::move(Send->Message)});
      const log_event *Log = std::get_if<log_event>(&Action);
      if (Log && Log->Record.Number == event_number::MemberChanged)
        States.insert(Log->Record.Fields.at(2).Value);
    }
  }

  core_time Now{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<node>> Nodes;
  std::vector<bool> Frozen;
  std::set<std::pair<std::size_t, std::size_t>> Cut;
  std::vector<in_flight> Queue;
  std::multiset<std::string> States;
  std::uint64_t Random = 7;
};

peer_message rumorFrom(const std::string &Host, std::uint64_t Run,
                       const std::string &Fleet = "f") {
  return {fleet_id(Fleet), {entry_host_id(Host), incarnation(Run)}, rumor{}};
}

} // namespace

TEST_CASE("hosts find each other and stay alive in spite of loss") {
  zone_net Net(8);
  Net.LossPermille = 20;
  Net.run(120);
  CHECK(Net.allAlive());
  CHECK(Net.logged("dead") == 0);
  CHECK(Net.at(0).liveHostsInZone(zone_id("z")) == 8);
}

TEST_CASE("a killed host becomes dead everywhere and its next run is alive") {
  zone_net Net(5);
  Net.run(5);
  Net.kill(2);
  Net.run(12);
  for (std::size_t I : {0, 1, 3, 4})
    CHECK(Net.state(I, 2) == member_state::Dead);
  CHECK_FALSE(Net.at(0).alive({entry_host_id("e2"), incarnation(1)}));
  Net.start(2, 2);
  Net.run(5);
  CHECK(Net.allAlive());
  CHECK(Net.at(0).alive({entry_host_id("e2"), incarnation(2)}));
  CHECK_FALSE(Net.at(0).alive({entry_host_id("e2"), incarnation(1)}));
}

TEST_CASE("a frozen host that comes back suspects nobody and is alive again") {
  zone_net Net(6);
  Net.run(5);
  Net.freeze(3);
  Net.run(20);
  CHECK(Net.state(0, 3) == member_state::Dead);
  Net.forgetLog();
  Net.resume(3);
  Net.run(8);
  CHECK(Net.allAlive());
  CHECK(Net.logged("suspect") == 0);
  CHECK(Net.logged("dead") == 0);
}

TEST_CASE("two halves of a zone find each other after a long cut") {
  zone_net Net(6);
  Net.run(5);
  for (std::size_t A : {0, 1, 2})
    for (std::size_t B : {3, 4, 5})
      Net.cut(A, B);
  Net.run(60);
  CHECK(Net.state(0, 5) == member_state::Dead);
  CHECK(Net.state(5, 0) == member_state::Dead);
  CHECK(Net.state(0, 1) == member_state::Alive);
  Net.healAll();
  Net.run(15);
  CHECK(Net.allAlive());
}

TEST_CASE("a host that one other cannot reach is not suspected for long") {
  zone_net Net(6);
  Net.run(5);
  Net.forgetLog();
  Net.cut(0, 1);
  Net.run(60);
  CHECK(Net.allAlive());
  CHECK(Net.logged("dead") == 0);
}

TEST_CASE("a host that leaves by plan is known as left and counts no more") {
  zone_net Net(4);
  Net.run(5);
  Net.at(1).leave();
  Net.run(3);
  for (std::size_t I : {0, 2, 3})
    CHECK(Net.state(I, 1) == member_state::Left);
  CHECK(Net.at(0).liveHostsInZone(zone_id("z")) == 3);
  // It may still be finishing what it has claimed.
  CHECK(Net.at(0).alive({entry_host_id("e1"), incarnation(1)}));
  CHECK(Net.at(0).ranked(zone_id("z"), "task", 4).size() == 3);
}

TEST_CASE("the host list adds hosts but overrules no evidence") {
  zone_net Net(3);
  Net.run(5);
  Net.kill(2);
  Net.run(12);
  REQUIRE(Net.state(0, 2) == member_state::Dead);
  listed_host Stale{
      host_kind::EntryHost, "e2",      zone_id("z"),   region_id(),
      endpoint("2"),        pool_id(), incarnation(1), host_state::Live};
  Net.at(0).onHostList({{Stale}});
  CHECK(Net.state(0, 2) == member_state::Dead);
  Stale.Run = incarnation(2);
  Net.at(0).onHostList({{Stale}});
  CHECK(Net.state(0, 2) == member_state::Alive);
  Net.at(0).onHostList({});
  CHECK_FALSE(Net.at(0).addressOf(entry_host_id("e2")));
  CHECK(Net.state(0, 1) == member_state::Alive);
}

TEST_CASE(
    "messages of other fleets, earlier runs and the own name are refused") {
  node Node(settingsOf(0, 3, 5));
  Node.Members.start();
  CHECK(Node.Members.onPeer(rumorFrom("e1", 4)));
  CHECK_FALSE(Node.Members.onPeer(rumorFrom("e1", 3)));
  CHECK_FALSE(Node.Members.onPeer(rumorFrom("e1", 3)));
  CHECK_FALSE(Node.Members.onPeer(rumorFrom("e2", 1, "other")));
  CHECK_FALSE(Node.Members.onPeer(rumorFrom("e0", 9)));
  CHECK(Node.Members.refusedMessages() == 4);
  std::size_t Logged = 0;
  for (const action &Action : Node.Context.takeActions())
    if (const log_event *Log = std::get_if<log_event>(&Action))
      Logged += Log->Record.Number == event_number::PeerMessageRefused;
  CHECK(Logged == 3);
}

TEST_CASE("later evidence wins, whatever order it comes in") {
  member_update Alive{entry_host_id("e1"), incarnation(2),  0,
                      member_state::Alive, zone_id("z"),    region_id(),
                      endpoint("1"),       config_version()};
  member_update Suspect = Alive;
  Suspect.State = member_state::Suspect;
  member_update Refuted = Alive;
  Refuted.Refutation = 1;
  member_update Left = Alive;
  Left.State = member_state::Left;
  member_update Next = Alive;
  Next.Run = incarnation(3);
  std::vector<member_update> Ordered{Alive, Suspect, Refuted, Left, Next};
  for (std::size_t A = 0; A < Ordered.size(); ++A)
    for (std::size_t B = 0; B < Ordered.size(); ++B)
      CHECK(isNewer(Ordered[A], Ordered[B]) == (A > B));
}

TEST_CASE("a host list that names no entry hosts does not drop the seeds") {
  zone_net Net(3);
  for (std::size_t Host = 0; Host < 3; ++Host)
    Net.at(Host).onHostList(host_list{});
  Net.run(5);
  CHECK(Net.allAlive());
}
