// Watchers of the store, the hosts that follow them, and what they are told.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

batching_host host(const std::string &Name, const std::string &Zone = "z0",
                   std::uint32_t Capacity = 1'000) {
  return {entry_host_id(Name), zone_id(Zone), endpoint(Name + ":1"), Capacity};
}

/// A zone of eight hosts, seen by a weak one that is no watcher, or by a strong
/// one that is.
class following_test {
public:
  explicit following_test(std::uint32_t Capacity)
      : Hosts(host("self", "z0", Capacity)), Following(Hosts) {
    for (int I = 0; I < 8; ++I)
      Hosts.add(host("h" + std::to_string(I)), Now);
    Following.start(Now);
  }

  /// Lets Time pass and returns what was due.
  std::vector<store_following::due_actions> advance(core_duration Time) {
    std::vector<store_following::due_actions> Result;
    core_time End = Now + Time;
    for (;;) {
      std::optional<core_time> Next = Following.nextWakeup();
      if (!Next || *Next > End)
        break;
      Now = std::max(Now, *Next);
      Result.push_back(Following.takeDueActions(Now));
    }
    Now = End;
    return Result;
  }
  entry_host_id poll() {
    for (const store_following::due_actions &Due : advance(seconds(1)))
      if (Due.Poll)
        return Due.Poll->Host;
    return entry_host_id();
  }
  /// Polls until a current watcher has answered.
  entry_host_id follow() {
    entry_host_id Watcher = poll();
    REQUIRE(Watcher != entry_host_id());
    Following.onNews(Watcher, true, Now);
    Following.takeDueActions(Now);
    REQUIRE(Following.source() == store_source::Watcher);
    return Watcher;
  }

  core_time Now{seconds(100)};
  fleet_hosts Hosts;
  store_following Following;
};

constexpr std::uint32_t Weak = 1;
constexpr std::uint32_t Strong = 1'000'000;

/// A core with seven peers in its zone.
class followed_core : public serving_fixture {
public:
  followed_core() {
    for (int I = 1; I < 8; ++I)
      Core.onHost(host("p" + std::to_string(I)), Now);
    addAllPools();
  }
  void receive(const std::string &From, const peer_body &Body) {
    Core.onPeer({entry_host_id(From), incarnation(1)}, Body, Now);
  }
  void readStore() {
    Core.onStoreRead(store_kind::Config, Now);
    Core.onStoreRead(store_kind::Backends, Now);
  }
  std::optional<store_news> newsTo(const std::string &Host) const {
    std::optional<store_news> Last;
    for (const std::pair<entry_host_id, peer_body> &Message : Actions.Sent)
      if (const store_news *News = std::get_if<store_news>(&Message.second))
        if (Message.first.Value == Host)
          Last = *News;
    return Last;
  }
  static backend_entry entry(const std::string &Id, std::uint64_t Revision) {
    return entry(Id, object_version(Revision));
  }
  static backend_entry entry(const std::string &Id, object_version Revision) {
    backend_entry Entry;
    Entry.Id = backend_id(Id);
    Entry.Pool = pool_id("plain");
    Entry.Address = endpoint("10.0.1.1:80");
    Entry.Zone = zone_id("z0");
    Entry.Run = incarnation(1);
    Entry.Revision = Revision;
    return Entry;
  }
  static backend_news listed(const std::string &Id, std::uint64_t Revision) {
    return listed(Id, object_version(Revision));
  }
  static backend_news listed(const std::string &Id, object_version Revision) {
    backend_entry Entry = entry(Id, Revision);
    return {Entry.Id,      Entry.Revision, true,  Entry.Pool,
            Entry.Address, Entry.Zone,     false, Entry.Run};
  }
  static backend_news removed(const std::string &Id, std::uint64_t Revision) {
    backend_news Entry;
    Entry.Id = backend_id(Id);
    Entry.Revision = object_version(Revision);
    return Entry;
  }
  static store_news news(std::uint64_t From, std::uint64_t To,
                         std::vector<backend_news> Backends) {
    return {true,
            config_version(1),
            false,
            object_version(From),
            object_version(To),
            std::move(Backends)};
  }
  std::size_t eventCount(event_number Number) const {
    return static_cast<std::size_t>(
        std::count_if(Actions.Log.begin(), Actions.Log.end(),
                      [Number](const event_record &Event) {
                        return Event.Number == Number;
                      }));
  }
  bool isListed(const std::string &Id) const {
    const backend_state *State = Core.backends().find(backend_id(Id));
    return State && !State->UnlistedSince;
  }
};

} // namespace

TEST_CASE("a watcher polls nobody and watches the store") {
  following_test Test(Strong);
  CHECK(Test.Following.isWatcher());
  CHECK(Test.poll() == entry_host_id());
  CHECK(Test.Following.source() == store_source::Watch);
}

TEST_CASE("a host follows a watcher of its own zone once it is current") {
  following_test Test(Weak);
  Test.Hosts.add(host("other", "z1", Strong), Test.Now);
  entry_host_id Watcher = Test.poll();
  REQUIRE(Watcher != entry_host_id());
  CHECK(Watcher != entry_host_id("other"));
  CHECK(Test.Following.source() == store_source::Watch);
  SUBCASE("current") {
    Test.Following.onNews(Watcher, true, Test.Now);
    CHECK(Test.Following.source() == store_source::Watcher);
  }
  SUBCASE("not current") {
    Test.Following.onNews(Watcher, false, Test.Now);
    CHECK(Test.Following.source() == store_source::Watch);
    CHECK(Test.poll() != Watcher);
  }
}

TEST_CASE("the only host of a zone watches the store") {
  fleet_hosts Hosts(host("self", "z9", Weak));
  Hosts.add(host("other", "z1", Strong), core_time());
  store_following Following(Hosts);
  CHECK(Following.isWatcher());
}

TEST_CASE("each zone has a host that watches the store closely") {
  serving_fixture Test;
  std::uint32_t PeerCapacity = Weak;
  bool Closely = true;
  SUBCASE("first of its zone, though others of the fleet rank before it") {}
  SUBCASE("not first of its zone") {
    PeerCapacity = Strong;
    Closely = false;
  }
  for (int I = 0; I < 4; ++I) {
    std::string Name = std::to_string(I);
    Test.Core.onHost(host("p" + Name, "z0", PeerCapacity), Test.Now);
    Test.Core.onHost(host("q" + Name, "z1", Strong), Test.Now);
  }
  Test.advance(seconds(2));
  CHECK(Test.Actions.StoreWatcher == Closely);
}

TEST_CASE("a silent watcher is replaced, and the store is read meanwhile") {
  following_test Test(Weak);
  entry_host_id First = Test.follow();
  std::vector<entry_host_id> Polled;
  bool Read = false;
  for (const store_following::due_actions &Due :
       Test.advance(milliseconds(1'500))) {
    if (Due.Poll)
      Polled.push_back(Due.Poll->Host);
    Read = Read || Due.ReadStore;
  }
  REQUIRE(Polled.size() >= 2);
  CHECK(Polled[0] == First);
  CHECK(Polled[1] != First);
  CHECK(Read);
}

TEST_CASE("without news for the bound a host watches the store itself") {
  following_test Test(Weak);
  Test.follow();
  Test.advance(store_following::MaxAge + milliseconds(10));
  CHECK(Test.Following.source() == store_source::Watch);
}

TEST_CASE("a watcher pushes changes to those who polled it") {
  followed_core Test;
  Test.readStore();
  Test.Core.onBackendList({followed_core::entry("a", 5)}, object_version(10),
                          Test.Now);
  Test.receive("p1", store_poll{config_version(1), object_version(10)});
  REQUIRE(Test.newsTo("p1"));
  CHECK(Test.newsTo("p1")->Current);
  CHECK(Test.newsTo("p1")->Backends.empty());
  Test.Core.onBackend(followed_core::entry("b", 12), Test.Now);
  Test.Core.onBackendsRead(object_version(12), Test.Now);
  Test.advance(milliseconds(100));
  CHECK(Test.newsTo("p1")->To == object_version(12));
  REQUIRE(Test.newsTo("p1")->Backends.size() == 1);
  CHECK(Test.newsTo("p1")->Backends[0].Id == backend_id("b"));
  CHECK_FALSE(Test.newsTo("p2"));
}

TEST_CASE("a removal that the store reports under an old revision is told") {
  followed_core Test;
  Test.readStore();
  Test.Core.onBackendList({followed_core::entry("a", 5)}, object_version(10),
                          Test.Now);
  Test.receive("p1", store_poll{config_version(1), object_version(15)});
  Test.Core.onBackendRemoved(backend_id("a"), object_version(5), Test.Now);
  Test.Core.onBackendsRead(object_version(20), Test.Now);
  Test.advance(milliseconds(100));
  REQUIRE(Test.newsTo("p1"));
  CHECK(Test.newsTo("p1")->To == object_version(20));
  REQUIRE(Test.newsTo("p1")->Backends.size() == 1);
  CHECK_FALSE(Test.newsTo("p1")->Backends[0].Listed);
}

TEST_CASE("a host whose store is away does not claim to be current") {
  followed_core Test;
  Test.readStore();
  Test.Core.onStoreLost(store_kind::Backends, Test.Now);
  Test.receive("p1", store_poll{config_version(1), object_version(1)});
  REQUIRE(Test.newsTo("p1"));
  CHECK_FALSE(Test.newsTo("p1")->Current);
}

TEST_CASE("a process that was paused does not hand on what it knew before it "
          "has read the store again") {
  followed_core Test;
  Test.readStore();
  Test.advance(milliseconds(500));
  Test.Now += seconds(5);
  Test.Core.onWakeup(Test.Now);
  CHECK(Test.Actions.Resync.size() == 2);
  Test.receive("p1", store_poll{config_version(1), object_version(1)});
  CHECK_FALSE(Test.newsTo("p1")->Current);
  Test.readStore();
  Test.receive("p1", store_poll{config_version(1), object_version(1)});
  CHECK(Test.newsTo("p1")->Current);
}

TEST_CASE("a follower applies what it is told") {
  followed_core Test;
  Test.Core.onBackendList({followed_core::entry("a", 5)}, object_version(10),
                          Test.Now);
  Test.receive("p1", followed_core::news(10, 14,
                                         {followed_core::listed("b", 12),
                                          followed_core::removed("a", 14)}));
  CHECK(Test.isListed("b"));
  CHECK_FALSE(Test.isListed("a"));
  CHECK(Test.Actions.ToldTo == object_version(14));
}

TEST_CASE("news older than what a host has read bring no server back") {
  followed_core Test;
  Test.Core.onBackendList({followed_core::entry("a", 5)}, object_version(10),
                          Test.Now);
  Test.Core.onBackendRemoved(backend_id("a"), object_version(20), Test.Now);
  Test.Core.onBackendsRead(object_version(20), Test.Now);
  SUBCASE("as a whole") {
    Test.receive("p1",
                 followed_core::news(4, 19, {followed_core::listed("a", 18)}));
  }
  SUBCASE("as one entry") {
    Test.receive("p1",
                 followed_core::news(15, 25, {followed_core::listed("a", 18)}));
  }
  CHECK_FALSE(Test.isListed("a"));
}

TEST_CASE("news that do not join what is known are asked for again") {
  followed_core Test;
  Test.Core.onBackendList({followed_core::entry("a", 5)}, object_version(10),
                          Test.Now);
  Test.receive("p1",
               followed_core::news(15, 25, {followed_core::listed("b", 20)}));
  CHECK_FALSE(Test.isListed("b"));
  CHECK(Test.Core.backends().find(backend_id("b")) == nullptr);
}

TEST_CASE("a newer configuration that a watcher names is asked for at once") {
  followed_core Test;
  store_news News = followed_core::news(0, 0, {});
  News.Config = config_version(9);
  Test.receive("p1", News);
  CHECK(Test.sentTo<operator_config_pull>(entry_host_id("p1")) == 1);
}

TEST_CASE("a host that knows nothing is told the whole list") {
  followed_core Test;
  Test.readStore();
  Test.Core.onBackendList(
      {followed_core::entry("a", 5), followed_core::entry("b", 6)},
      object_version(10), Test.Now);
  Test.receive("p1", store_poll{});
  REQUIRE(Test.newsTo("p1"));
  CHECK(Test.newsTo("p1")->Complete);
  CHECK(Test.newsTo("p1")->Backends.size() == 2);
}

TEST_CASE("after the return of the store from a copy a host reads it again "
          "before it hands on what it knows") {
  followed_core Test;
  Test.readStore();
  Test.Core.onStoreEra(store_era(1), Test.Now);
  CHECK(Test.Actions.Resync.empty());
  Test.readStore();
  Test.Core.onBackendList({followed_core::entry("a", {store_era(1), 90})},
                          {store_era(1), 100}, Test.Now);
  Test.Actions.Sent.clear();
  SUBCASE("seen itself") { Test.Core.onStoreEra(store_era(2), Test.Now); }
  SUBCASE("told by a heartbeat") {
    host_heartbeat Heartbeat;
    Heartbeat.Self = host("p1");
    Heartbeat.Backends = {store_era(2), 0};
    Test.receive("p1", Heartbeat);
    Test.receive("p1", Heartbeat);
  }
  SUBCASE("told by a poll") {
    Test.receive("p1", store_poll{config_version(), {store_era(2), 7}});
  }
  SUBCASE("told by news") {
    store_news News = followed_core::news(0, 0, {});
    News.From = News.To = {store_era(2), 7};
    Test.receive("p1", News);
  }
  CHECK(Test.Actions.Resync ==
        std::vector<store_kind>{store_kind::Config, store_kind::Backends});
  CHECK(Test.eventCount(event_number::StoreCameBack) == 1);
  Test.receive("p2", store_poll{config_version(1), {store_era(1), 100}});
  CHECK_FALSE(Test.newsTo("p2")->Current);
  Test.readStore();
  Test.receive("p2", store_poll{config_version(1), {store_era(1), 100}});
  CHECK_FALSE(Test.newsTo("p2")->Current);
  Test.Core.onBackendList({followed_core::entry("a", {store_era(2), 90})},
                          {store_era(2), 95}, Test.Now);
  Test.receive("p2", store_poll{config_version(1), {store_era(1), 100}});
  CHECK(Test.newsTo("p2")->Current);
  CHECK(Test.newsTo("p2")->Complete);
  CHECK(Test.newsTo("p2")->Backends.size() == 1);
  Test.Core.onStoreEra(store_era(2), Test.Now);
  CHECK(Test.eventCount(event_number::StoreCameBack) == 1);
}

TEST_CASE("the return of the store from a copy is told before it is read") {
  followed_core Test;
  Test.Core.onBackendList({followed_core::entry("a", {store_era(1), 90})},
                          {store_era(1), 100}, Test.Now);
  Test.advance(seconds(2));
  Test.Actions.Sent.clear();
  Test.Core.onStoreEra(store_era(2), Test.Now);
  Test.advance(milliseconds(10));
  CHECK(std::any_of(Test.Actions.Sent.begin(), Test.Actions.Sent.end(),
                    [](const std::pair<entry_host_id, peer_body> &Message) {
                      const host_heartbeat *Heartbeat =
                          std::get_if<host_heartbeat>(&Message.second);
                      return Heartbeat &&
                             Heartbeat->Backends.Era == store_era(2);
                    }));
}

TEST_CASE("a watcher that does not know of the return of the store is not "
          "followed, and its news are not applied") {
  followed_core Test;
  for (int I = 1; I < 8; ++I)
    Test.Core.onHost(host("p" + std::to_string(I), "z0", Strong), Test.Now);
  Test.Core.onBackendList({followed_core::entry("a", {store_era(1), 90})},
                          {store_era(1), 100}, Test.Now);
  store_news News = followed_core::news(0, 0, {});
  News.From = {store_era(1), 100};
  News.To = {store_era(1), 120};
  News.Backends = {followed_core::listed("b", {store_era(1), 120})};
  store_source Expected = store_source::Watch;
  SUBCASE("of a later era") {
    Test.Core.onStoreEra(store_era(2), Test.Now);
    Test.Core.onBackendList({followed_core::entry("a", {store_era(2), 90})},
                            {store_era(2), 95}, Test.Now);
  }
  SUBCASE("of the same era") { Expected = store_source::Watcher; }
  Test.receive("p1", News);
  Test.advance(milliseconds(10));
  CHECK(Test.Actions.Source == Expected);
  CHECK(Test.isListed("b") == (Expected == store_source::Watcher));
}

TEST_CASE("a follower of an earlier era takes the whole list of a later one, "
          "whatever the numbers") {
  followed_core Test;
  Test.Core.onBackendList({followed_core::entry("a", {store_era(1), 90})},
                          {store_era(1), 500}, Test.Now);
  store_news News = followed_core::news(0, 0, {});
  News.Complete = true;
  News.From = {store_era(1), 500};
  News.To = {store_era(2), 95};
  News.Backends = {followed_core::listed("b", {store_era(2), 80})};
  Test.receive("p1", News);
  CHECK(Test.isListed("b"));
  CHECK(Test.Actions.ToldTo == object_version(store_era(2), 95));
  Test.advance(backend_directory::RewriteTime + milliseconds(10));
  CHECK_FALSE(Test.isListed("a"));
}

TEST_CASE("late answers of an earlier era change nothing") {
  followed_core Test;
  Test.Core.onBackendList({followed_core::entry("a", {store_era(2), 90})},
                          {store_era(2), 95}, Test.Now);
  Test.Core.onBackendRemoved(backend_id("a"), {store_era(1), 121}, Test.Now);
  Test.Core.onBackendList({}, {store_era(1), 122}, Test.Now);
  Test.Core.onBackend(followed_core::entry("b", {store_era(1), 123}), Test.Now);
  Test.advance(seconds(3));
  CHECK(Test.isListed("a"));
  CHECK_FALSE(Test.isListed("b"));
}

TEST_CASE("a configuration that a copy of the store holds does not replace a "
          "newer one") {
  followed_core Test;
  Test.Core.onConfig(Test.config(7), "seven", Test.Now);
  Test.Core.onStoreEra(store_era(1), Test.Now);
  Test.readStore();
  Test.Core.onStoreEra(store_era(2), Test.Now);
  CHECK_FALSE(Test.Core.onConfig(Test.config(5), "five", Test.Now));
  CHECK(Test.Core.configVersion() == config_version(7));
  Test.receive("p1", operator_config_pull{config_version(5)});
  CHECK(Test.sentTo<operator_config_push>(entry_host_id("p1")) == 1);
  CHECK(Test.Core.onConfig(Test.config(8), "eight", Test.Now));
}

TEST_CASE("a watcher that has read the store again after its return tells its "
          "followers at once") {
  followed_core Test;
  Test.readStore();
  Test.Core.onBackendList({followed_core::entry("a", {store_era(1), 90})},
                          {store_era(1), 100}, Test.Now);
  Test.receive("p1", store_poll{config_version(1), {store_era(1), 100}});
  Test.Core.onStoreEra(store_era(2), Test.Now);
  Test.Core.onBackendList({followed_core::entry("a", {store_era(2), 90})},
                          {store_era(2), 95}, Test.Now);
  Test.advance(milliseconds(50));
  CHECK(Test.newsTo("p1")->To == object_version(store_era(1), 100));
  Test.readStore();
  Test.advance(milliseconds(50));
  CHECK(Test.newsTo("p1")->To == object_version(store_era(2), 95));
  CHECK(Test.newsTo("p1")->Complete);
}
