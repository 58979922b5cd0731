// Failure detection among the entry hosts of a zone: failures, restarts,
// network partitions, paused hosts, planned shutdown, message loss, and
// messages that must be rejected.
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

/// Simulates the hosts of one zone. Messages arrive in the step after the one
/// in which they were sent.
class simulated_zone {
public:
  explicit simulated_zone(std::size_t Hosts) : Nodes(Hosts), Frozen(Hosts) {
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
  /// Returns how often any host logged that another one has reached State.
  std::size_t logged(const std::string &State) const {
    return States.count(State);
  }
  void clearLog() { States.clear(); }

  std::uint32_t LossPermille = 0;

private:
  static constexpr core_duration Step = std::chrono::milliseconds(10);
  struct in_flight {
    std::size_t From;
    std::size_t To;
    peer_message Message;
  };

  void step() {
    std::vector<in_flight> Arriving;
    Arriving.swap(Queue);
    for (in_flight &Sent : Arriving) {
      Random = Random * 6364136223846793005U + 1;
      bool Lost = (Random >> 33U) % 1000 < LossPermille;
      bool Partitioned = Cut.contains(
          {std::min(Sent.From, Sent.To), std::max(Sent.From, Sent.To)});
      if (Lost || Partitioned || !Nodes[Sent.To])
        continue;
      if (Frozen[Sent.To]) {
        Queue.push_back(std::move(Sent));
        continue;
      }
      node &Node = *Nodes[Sent.To];
      Node.Context.begin(Now);
      Node.Members.detectPause();
      Node.Members.onPeer(Sent.Message);
      collect(Sent.To);
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

TEST_CASE("hosts discover each other and stay alive despite message loss") {
  simulated_zone Net(8);
  Net.LossPermille = 20;
  Net.run(120);
  CHECK(Net.allAlive());
  CHECK(Net.logged("dead") == 0);
  CHECK(Net.at(0).liveHostsInZone(zone_id("z")) == 8);
}

TEST_CASE("all hosts detect a killed host as dead and its next run as alive") {
  simulated_zone Net(5);
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

TEST_CASE("a resumed host suspects no other host and is alive again") {
  simulated_zone Net(6);
  Net.run(5);
  Net.freeze(3);
  Net.run(20);
  CHECK(Net.state(0, 3) == member_state::Dead);
  Net.clearLog();
  Net.resume(3);
  Net.run(8);
  CHECK(Net.allAlive());
  CHECK(Net.logged("suspect") == 0);
  CHECK(Net.logged("dead") == 0);
}

TEST_CASE("two halves of a zone rejoin after a long network partition") {
  simulated_zone Net(6);
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

TEST_CASE("a host that a single other host cannot reach is not declared dead") {
  simulated_zone Net(6);
  Net.run(5);
  Net.clearLog();
  Net.cut(0, 1);
  Net.run(60);
  CHECK(Net.allAlive());
  CHECK(Net.logged("dead") == 0);
}

TEST_CASE("a host that leaves is marked as left and not counted as live") {
  simulated_zone Net(4);
  Net.run(5);
  Net.at(1).leave();
  Net.run(3);
  for (std::size_t I : {0, 2, 3})
    CHECK(Net.state(I, 1) == member_state::Left);
  CHECK(Net.at(0).liveHostsInZone(zone_id("z")) == 3);
  // It may still be completing claimed requests.
  CHECK(Net.at(0).alive({entry_host_id("e1"), incarnation(1)}));
  CHECK(Net.at(0).ranked(zone_id("z"), "task", 4).size() == 3);
}

TEST_CASE("the host list adds hosts but does not override gossip or probes") {
  simulated_zone Net(3);
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
    "messages of other fleets, earlier runs and the own name are rejected") {
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

TEST_CASE("the newer update wins regardless of the order of arrival") {
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

TEST_CASE("a host list without entry hosts does not remove the seeds") {
  simulated_zone Net(3);
  for (std::size_t Host = 0; Host < 3; ++Host)
    Net.at(Host).onHostList(host_list{});
  Net.run(5);
  CHECK(Net.allAlive());
}
