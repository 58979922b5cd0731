// Tests of servers that are cold: the rate that all hosts keep together, the
// end of the cold time, and what entries, replies and hosts say of it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/cold_servers.h"

#include "serving-fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id Pool("engine");
constexpr double PerSecond = 11;
constexpr core_duration ColdTime = seconds(3);
/// Hosts that hold a share may each send one call more than it.
constexpr std::size_t MostCold = 15;
constexpr core_duration CallTime = seconds(1);
constexpr std::size_t HostCount = 80;
constexpr int WarmCount = 40;
constexpr int ColdCount = 20;

std::map<pool_id, serving_pool> pools() {
  std::map<pool_id, serving_pool> Pools;
  Pools[Pool].Name = Pool;
  Pools[Pool].WarmUp = warm_up_rules{ColdTime, PerSecond};
  return Pools;
}

backend_entry entry(int Number, std::uint64_t Run) {
  backend_entry Entry;
  Entry.Id = backend_id("s" + std::to_string(Number));
  Entry.Pool = Pool;
  Entry.Run = incarnation(Run);
  Entry.Revision = object_version(Run);
  return Entry;
}

batching_host host(std::size_t Number) {
  std::string Name = "h" + std::to_string(Number);
  return {entry_host_id(Name), zone_id("z"), endpoint(Name + ":1"), 250};
}

/// What one host needs to decide about calls.
struct deciding_host {
  deciding_host(std::size_t Self, core_time Now)
      : Hosts(host(Self)), Cold(Hosts) {
    for (std::size_t I = 0; I < HostCount; ++I)
      Hosts.addListed(host(I), Now);
    Hosts.onListRead(Now - seconds(60));
    Cold.configure(pools());
    Admission.addSource(Cold);
  }
  void list(const backend_entry &Entry, core_time Now) {
    Cold.onEntry(Entry, Servers.find(Entry.Id), Now);
    Servers.update(Entry);
  }

  fleet_hosts Hosts;
  backend_directory Servers;
  cold_servers Cold;
  call_admission Admission{Servers, [](const backend_id &) { return true; }};
};

/// Hosts that send calls to warm servers and to some that return together.
class fleet {
public:
  fleet() {
    for (std::size_t I = 0; I < HostCount; ++I) {
      Hosts.push_back(std::make_unique<deciding_host>(I, Now));
      for (int Server = 0; Server < WarmCount; ++Server)
        Hosts.back()->list(entry(Server, 1), Now);
      Hosts.back()->Cold.onListRead();
    }
  }

  /// Hosts of a piece suspect all others.
  void split(const std::vector<std::size_t> &PieceOf) {
    for (std::size_t I = 0; I < HostCount; ++I)
      for (std::size_t Other = 0; Other < HostCount; ++Other)
        if (PieceOf[I] != PieceOf[Other])
          Hosts[I]->Hosts.suspect(host(Other).Host, Now);
  }

  void returnServers() {
    for (const std::unique_ptr<deciding_host> &Host : Hosts)
      for (int I = 0; I < ColdCount; ++I)
        Host->list(entry(WarmCount + I, 7), Now);
  }

  /// Each host sends a call each Pause to the server that is idlest, as it sees
  /// it, and that may get one.
  void run(core_duration Time, core_duration Pause) {
    for (core_time End = Now + Time; Now < End; Now += milliseconds(1)) {
      while (!Ends.empty() && Ends.begin()->first <= Now)
        --*Ends.extract(Ends.begin()).mapped();
      for (std::size_t I = 0; I < HostCount; ++I)
        if ((Now.time_since_epoch() + milliseconds(I * 7)) % Pause ==
            core_duration{0})
          sendOne(*Hosts[I]);
    }
  }

  /// Most calls that a returned server got in a second that ends by Until.
  std::size_t most(core_time From, core_time Until) const {
    std::size_t Most = 0;
    for (const std::pair<const backend_id, std::vector<core_time>> &Server :
         Sent)
      for (core_time Last : Server.second) {
        auto InWindow = [Last, From](core_time Time) {
          return Time >= From && Time > Last - seconds(1) && Time <= Last;
        };
        if (Last < Until)
          Most = std::max(
              Most, static_cast<std::size_t>(std::count_if(
                        Server.second.begin(), Server.second.end(), InWindow)));
      }
    return Most;
  }
  std::size_t sent() const {
    std::size_t Sum = 0;
    for (const std::pair<const backend_id, std::vector<core_time>> &Server :
         Sent)
      Sum += Server.second.size();
    return Sum;
  }

  core_time Now{seconds(1'000)};
  std::size_t Unserved = 0;
  std::vector<std::unique_ptr<deciding_host>> Hosts;

private:
  void sendOne(deciding_host &Host) {
    std::vector<backend_state *> Open =
        Host.Admission.candidates(Pool, {}, Now);
    // Hosts break ties in different orders.
    if (!Open.empty())
      std::rotate(Open.begin(), Open.begin() + ++Calls % std::ssize(Open),
                  Open.end());
    backend_state *Idlest = nullptr;
    for (backend_state *Server : Open)
      if (!Idlest || score(Host, *Server) < score(Host, *Idlest))
        Idlest = Server;
    if (!Idlest || !Host.Admission.admit(Idlest->Entry.Id, {}, Now)) {
      ++Unserved;
      return;
    }
    ++Idlest->InFlight;
    Ends.emplace(Now + CallTime, &Idlest->InFlight);
    if (Idlest->Entry.Run == incarnation(7))
      Sent[Idlest->Entry.Id].push_back(Now);
  }

  // Calls go to cold servers first.
  int score(const deciding_host &Host, const backend_state &Server) const {
    bool IsCold = Host.Cold.timeLeft(Server.Entry, Now) > core_duration{0};
    return IsCold ? -1 : static_cast<int>(Server.InFlight);
  }

  std::map<backend_id, std::vector<core_time>> Sent;
  std::multimap<core_time, std::uint32_t *> Ends;
  std::ptrdiff_t Calls = 0;
};

backend_entry plainEntry(const char *Id, std::uint64_t Run) {
  backend_entry Entry;
  Entry.Id = backend_id(Id);
  Entry.Pool = pool_id("plain");
  Entry.Address = endpoint("10.0.0.9:80");
  Entry.Zone = zone_id("z0");
  Entry.Run = incarnation(Run);
  Entry.Revision = object_version(Run);
  return Entry;
}

/// A serving core whose plain pool has rules for cold servers.
class warm_up_fixture : public serving_fixture {
public:
  warm_up_fixture() {
    std::shared_ptr<route_config> Config = config();
    Config->Pools[pool_id("plain")].WarmUp = warm_up_rules{ColdTime, PerSecond};
    Core.onConfig(Config, "text", Now);
  }
  std::size_t logged(event_number Number) const {
    return static_cast<std::size_t>(
        std::count_if(Actions.Log.begin(), Actions.Log.end(),
                      [Number](const event_record &Record) {
                        return Record.Number == Number;
                      }));
  }
};

} // namespace

// Load: 80 hosts send 800 calls a second to a pool in which 40 servers are warm
// and 20 return together.
TEST_CASE("all hosts together keep the rate of each cold server") {
  fleet Fleet;
  std::vector<std::size_t> PieceOf(HostCount, 0);
  SUBCASE("and hear each other") {}
  SUBCASE("in three pieces that cannot hear each other") {
    for (std::size_t I = 0; I < HostCount; ++I)
      PieceOf[I] = I % 3;
  }
  SUBCASE("with single hosts cut off") {
    for (std::size_t I = 0; I < HostCount; I += 8)
      PieceOf[I] = 1 + I;
  }
  Fleet.split(PieceOf);
  Fleet.run(seconds(1), milliseconds(100));
  Fleet.returnServers();
  core_time From = Fleet.Now;
  Fleet.run(ColdTime, milliseconds(100));
  CHECK(Fleet.Unserved == 0);
  CHECK(Fleet.most(From, Fleet.Now) <= MostCold);
  // They are warmed with real work, most of what they may get.
  CHECK(static_cast<double>(Fleet.sent()) > 0.5 * PerSecond * 3 * ColdCount);
}

// Load: the same; the usual load of a warm server is 14 calls a second.
TEST_CASE("the end of the cold time brings no burst") {
  fleet Fleet;
  Fleet.run(seconds(1), milliseconds(100));
  Fleet.returnServers();
  Fleet.run(ColdTime, milliseconds(100));
  core_time End = Fleet.Now;
  Fleet.run(seconds(1), milliseconds(100));
  CHECK(Fleet.most(End - seconds(1), Fleet.Now) <= 2 * MostCold);
  Fleet.run(2 * ColdTime, milliseconds(100));
  CHECK(Fleet.most(End, Fleet.Now) <= 4 * MostCold);
  CHECK(Fleet.Unserved == 0);
  CHECK(Fleet.sent() > 0);
}

// Load: one host that holds a share asks without a pause, for every purpose.
TEST_CASE("calls of every purpose count") {
  core_time Now{seconds(1'000)};
  std::size_t Sent = 0;
  for (std::size_t I = 0; I < HostCount; ++I) {
    deciding_host Host(I, Now);
    Host.Cold.onListRead();
    Host.list(entry(0, 7), Now);
    for (int Ms = 0; Ms < 1'000; ++Ms)
      for (admission_purpose Purpose :
           {admission_purpose::Request, admission_purpose::Pieces,
            admission_purpose::FreeResults, admission_purpose::LoadQuery})
        if (Host.Admission.admit(entry(0, 7).Id, {Purpose},
                                 Now + milliseconds(Ms)))
          ++Sent;
  }
  CHECK(Sent > 0);
  CHECK(Sent <= MostCold);
}

TEST_CASE("without cold servers there is nothing to ask") {
  core_time Now{seconds(1'000)};
  deciding_host Host(0, Now);
  backend_entry Stated = entry(1, 7);
  Stated.ColdLeft = core_duration{0};
  Host.list(entry(0, 1), Now);
  Host.Cold.onListRead();
  Host.list(Stated, Now);
  CHECK_FALSE(Host.Cold.active(Now));
  backend_entry Other = entry(2, 7);
  Other.Pool = pool_id("other");
  Host.list(Other, Now);
  CHECK_FALSE(Host.Cold.onStated(Other, ColdTime, Now));
  CHECK_FALSE(Host.Cold.active(Now));
}

TEST_CASE("hosts that repeat each other's news do not keep a server cold") {
  core_time Now{seconds(1'000)};
  deciding_host First(0, Now);
  deciding_host Second(1, Now);
  backend_entry Server = entry(1, 5);
  for (deciding_host *Host : {&First, &Second})
    Host->list(Server, Now);
  First.Cold.onStated(Server, ColdTime, Now);
  core_time End = Now + ColdTime + seconds(1);
  for (; Now < End; Now += milliseconds(50)) {
    for (const cold_server_news &News : First.Cold.all(Now))
      Second.Cold.onTold(Server, News.Left, Now + milliseconds(20));
    for (const cold_server_news &News : Second.Cold.all(Now))
      First.Cold.onTold(Server, News.Left, Now + milliseconds(20));
  }
  CHECK(First.Cold.count(End) == 0);
  CHECK(Second.Cold.count(End) == 0);
}

TEST_CASE("a host that has just started takes no share") {
  core_time Now{seconds(1'000)};
  fleet_hosts Hosts(host(0));
  shared_rate Rate(Hosts);
  // What hosts say of each other is no list.
  Hosts.add(host(2), Now);
  CHECK(Rate.fraction("server", Now + seconds(60)) == 0);
  Hosts.onListRead(Now);
  CHECK(Rate.fraction("server", Now + seconds(4)) == 0);
  Hosts.addListed(host(1), Now);
  CHECK(Rate.fraction("server", Now) == 0);
  CHECK(Rate.fraction("server", Now + seconds(4)) == 0.25);
  CHECK(Rate.fraction("server", Now + seconds(15)) == 0.5);
}

TEST_CASE(
    "a server becomes cold again by its reply, and all hosts hear of it") {
  warm_up_fixture Test;
  const host_run Peer{entry_host_id("h1"), incarnation(1)};
  Test.Core.onHost({Peer.Host, zone_id("z0"), endpoint("h1:1"), 0}, Test.Now);
  backend_entry Server = plainEntry("p", 5);
  Test.Core.onBackendList({Server}, Server.Revision, Test.Now);
  CHECK(Test.Core.counters().ColdServers == 0);
  Test.Core.onServerCold(Server, seconds(2), Test.Now);
  Test.Core.onServerCold(Server, seconds(2), Test.Now);
  CHECK(Test.sentTo<cold_server_list>(Peer.Host) == 1);
  CHECK(Test.Core.counters().ColdServers == 1);
  CHECK(Test.logged(event_number::ServerCold) == 1);
  Test.advance(seconds(3));
  CHECK(Test.Core.counters().ColdServers == 0);
  CHECK(Test.logged(event_number::ServerWarm) == 1);
  std::size_t Told = Test.sentTo<cold_server_list>(Peer.Host);
  Test.Core.onPeer(
      Peer, cold_server_list{{{Server.Id, Server.Run, seconds(1)}}}, Test.Now);
  CHECK(Test.Core.counters().ColdServers == 1);
  CHECK(Test.sentTo<cold_server_list>(Peer.Host) == Told);
}

// Servers state their start by their own clock, which may go back.
TEST_CASE(
    "a server that starts again is cold, and its earlier run says nothing "
    "of it") {
  for (std::uint64_t Next : {2, 9}) {
    CAPTURE(Next);
    warm_up_fixture Test;
    const backend_entry First = plainEntry("p", 5);
    Test.Core.onBackendList({First}, First.Revision, Test.Now);
    REQUIRE(Test.Core.counters().ColdServers == 0);
    backend_entry Again = plainEntry("p", Next);
    Again.Revision = object_version(10);
    Test.Core.onBackend(Again, Test.Now);
    CHECK(Test.Core.counters().ColdServers == 1);
    Test.advance(seconds(20));
    REQUIRE(Test.Core.counters().ColdServers == 0);
    Test.Core.onServerCold(First, seconds(2), Test.Now);
    CHECK(Test.Core.counters().ColdServers == 0);
    Test.Core.onServerCold(Again, seconds(2), Test.Now);
    CHECK(Test.Core.counters().ColdServers == 1);
  }
}

// Load: one request while the only server of its pool is cold and this host has
// no share of it.
TEST_CASE("a request that no server may get is told when to come back") {
  warm_up_fixture Test;
  backend_entry First = plainEntry("p", 5);
  Test.Core.onBackendList({First}, First.Revision, Test.Now);
  backend_entry Second = plainEntry("p", 6);
  Test.Core.onBackend(Second, Test.Now);
  CHECK(Test.Core.counters().ColdServers == 1);
  request_id Request = Test.sendRequest("plain");
  REQUIRE(Test.Actions.Refusals[Request].size() == 1);
  CHECK(Test.Actions.Refusals[Request].front().Kind == refusal_kind::NoBackend);
  CHECK(Test.Actions.Refusals[Request].front().RetryAfter >= seconds(1));
  CHECK(Test.Actions.Forwards.empty());
}

// Load: requests with much time to their goal, two warm servers and a cold one.
TEST_CASE("requests with time to their goal warm a server") {
  warm_up_fixture Test;
  Test.Core.onHost({entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 0},
                   Test.Now);
  Test.Core.onHostsRead(Test.Now);
  Test.addServers("plain", 2);
  Test.Core.onBackendList({plainEntry("plain0", 1), plainEntry("plain1", 1)},
                          object_version(1), Test.Now);
  Test.advance(seconds(20));
  Test.Core.onBackend(plainEntry("p", 6), Test.Now);
  Test.advance(seconds(1));
  Test.sendRequest("plain");
  CHECK(Test.lastForward().Server.Id == backend_id("p"));
  Test.sendRequest("plain");
  CHECK(Test.lastForward().Server.Id != backend_id("p"));
}

TEST_CASE("what another host told of a cold server is not told on") {
  warm_up_fixture Test;
  const host_run Peer{entry_host_id("h1"), incarnation(1)};
  Test.Core.onHost({Peer.Host, zone_id("z0"), endpoint("h1:1"), 0}, Test.Now);
  backend_entry Server = plainEntry("p", 5);
  Test.Core.onBackendList({Server}, Server.Revision, Test.Now);
  Test.Core.onPeer(
      Peer, cold_server_list{{{Server.Id, Server.Run, seconds(5)}}}, Test.Now);
  CHECK(Test.Core.counters().ColdServers == 1);
  host_heartbeat Question;
  Question.Self = {Peer.Host, zone_id("z0"), endpoint("h1:1"), 0};
  Question.WantsReply = true;
  Test.Core.onPeer(Peer, Question, Test.Now);
  CHECK(Test.sentTo<host_heartbeat>(Peer.Host) > 0);
  CHECK(Test.sentTo<cold_server_list>(Peer.Host) == 0);
  Test.Core.onServerCold(Server, seconds(6), Test.Now);
  Test.Core.onPeer(Peer, Question, Test.Now);
  CHECK(Test.sentTo<cold_server_list>(Peer.Host) == 1);
}

TEST_CASE("a follower hears from a watcher whether a server is cold") {
  warm_up_fixture Test;
  const host_run Peer{entry_host_id("h1"), incarnation(1)};
  Test.Core.onHost({Peer.Host, zone_id("z0"), endpoint("h1:1"), 0}, Test.Now);
  backend_entry First = plainEntry("a", 5);
  Test.Core.onBackendList({First}, First.Revision, Test.Now);
  store_news News;
  News.Current = true;
  News.From = object_version(5);
  News.To = object_version(9);
  for (const char *Id : {"b", "c"}) {
    backend_entry Entry = plainEntry(Id, 9);
    News.Backends.push_back({Entry.Id, Entry.Revision, true, Entry.Pool,
                             Entry.Address, Entry.Zone, false, Entry.Run,
                             core_duration{0}});
  }
  News.Backends.back().ColdLeft = seconds(1);
  Test.Core.onPeer(Peer, News, Test.Now);
  CHECK(Test.Core.counters().ColdServers == 1);
}
