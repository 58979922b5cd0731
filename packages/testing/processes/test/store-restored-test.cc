// Entry hosts while the users' store comes back from an older copy: what was
// written since is lost, and its revisions are given out again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <thread>

using namespace jasminecroft::processes;
using namespace jasminecroft::standins;
namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
using store_copy = users_store::store_copy;

namespace {

/// In one zone, more than there are watchers of the store.
constexpr std::size_t HostCount = 5;
constexpr std::size_t WatcherCount = 3;
constexpr unsigned LostWrites = 12;
constexpr std::chrono::seconds CallBound{5};
/// Bounds of the users' rules.
constexpr milliseconds StableTime{3'000};
constexpr milliseconds ConfigTime{2'000};
constexpr milliseconds DrainTime{2'000};
constexpr milliseconds OuterTime{5'000};

bool waitFollowing(const users_fleet &Fleet) {
  return Fleet.waitReady() && waitUntil([&Fleet] {
           std::size_t Following = 0;
           for (std::size_t Host = 0; Host < HostCount; ++Host) {
             std::string Log = Fleet.logOf(Host);
             std::size_t Last = Log.rfind("\"event\":706");
             if (Last != std::string::npos &&
                 Log.find("\"source\":\"watcher\"", Last) != std::string::npos)
               ++Following;
           }
           return Following == HostCount - WatcherCount;
         });
}

/// Writes a configuration that has one route more; on the stand-ins' thread.
void addRoute(users_fleet &Fleet, const std::string &Name, unsigned Version) {
  json::value Config = json::parse(usersConfig());
  Config.as_object()["version"] = Version;
  json::value Route = Config.at("routes").as_array()[0];
  Route.as_object()["name"] = Name;
  Route.as_object()["path_prefix"] = "/" + Name + "/";
  Config.at("routes").as_array().push_back(Route);
  Fleet.Store->put("config", "main", Config);
}

/// Servers write their entries; on the stand-ins' thread.
void beat(users_fleet &Fleet, unsigned Writes) {
  for (unsigned Write = 0; Write < Writes; ++Write)
    Fleet.list("plain", "plain-1", "ready");
}

store_copy copyOf(users_fleet &Fleet) {
  store_copy Copy;
  Fleet.on([&] { Copy = Fleet.Store->copy(); });
  return Copy;
}

/// Writes that every host has read and that a later restore loses.
void loseWrites(users_fleet &Fleet) {
  Fleet.on([&] {
    addRoute(Fleet, "lost", 2);
    beat(Fleet, LostWrites);
  });
  std::this_thread::sleep_for(ConfigTime);
}

void restore(users_fleet &Fleet, const store_copy &Copy) {
  Fleet.on([&] { Fleet.Store->restore(Copy); });
}

void setStoreLoss(users_fleet &Fleet, std::size_t Host, proxy_loss Loss) {
  Fleet.on([&] {
    fault_proxy &Proxy = *Fleet.Proxies[users_fleet::storeProxy(Host)];
    Proxy.setLoss(Loss);
    Proxy.resetAll();
  });
}

unsigned statusOf(const users_fleet &Fleet, const std::string &Route,
                  std::size_t Host) {
  return exchange(Fleet.call(Route, "r", "key-1", Host), CallBound).Status;
}

/// Requests of some that Host sends to Server.
std::size_t sentTo(const users_fleet &Fleet, const std::string &Server,
                   std::size_t Host) {
  constexpr int Requests = 16;
  std::size_t Sent = 0;
  for (int I = 0; I < Requests; ++I)
    if (exchange(Fleet.call("read", "s" + std::to_string(I), "key-1", Host),
                 CallBound)
            .Body.find(Server) != std::string::npos)
      ++Sent;
  return Sent;
}

void checkServed(const users_fleet &Fleet, const std::string &Route) {
  for (std::size_t Host = 0; Host < Fleet.Processes.size(); ++Host) {
    CAPTURE(Host);
    CHECK(statusOf(Fleet, Route, Host) == 200);
  }
}

void checkUsed(const users_fleet &Fleet, const std::string &Server, bool Used) {
  for (std::size_t Host = 0; Host < Fleet.Processes.size(); ++Host) {
    CAPTURE(Host);
    CHECK((sentTo(Fleet, Server, Host) > 0) == Used);
  }
}

backend_act refuseAll() { return backend_act::Refuse; }

/// A server that runs all requests but has no entry yet.
void startUnlisted(users_fleet &Fleet, const std::string &Id) {
  Fleet.on([&] {
    users_backend_options Options;
    Options.Id = Id;
    Fleet.Backends[Id] =
        std::make_unique<users_backend>(Fleet.Context, "127.0.0.1:0", Options);
  });
}

} // namespace

TEST_CASE("a configuration confirmed after the store came back is not taken "
          "for an older one") {
  unsigned Writes = 0;
  SUBCASE("below the old height") {}
  SUBCASE("beyond the old height") { Writes = 2 * LostWrites; }
  users_fleet Fleet(HostCount);
  REQUIRE(waitFollowing(Fleet));
  store_copy Copy = copyOf(Fleet);
  loseWrites(Fleet);
  Fleet.on([&] {
    Fleet.Store->restore(Copy);
    addRoute(Fleet, "kept", 3);
    beat(Fleet, Writes);
  });
  std::this_thread::sleep_for(ConfigTime);
  checkServed(Fleet, "kept");
}

TEST_CASE("a server that leaves after the store came back is not kept in use") {
  bool Removed = false;
  unsigned Writes = 0;
  SUBCASE("draining") {}
  SUBCASE("draining, beyond the old height") { Writes = 2 * LostWrites; }
  SUBCASE("removed") { Removed = true; }
  users_fleet Fleet(HostCount);
  REQUIRE(waitFollowing(Fleet));
  store_copy Copy = copyOf(Fleet);
  Fleet.on([&] { Fleet.list("plain", "plain-0", "ready"); });
  loseWrites(Fleet);
  Fleet.on([&] {
    Fleet.Store->restore(Copy);
    if (Removed)
      Fleet.Store->remove("servers", "plain-0");
    else
      Fleet.list("plain", "plain-0", "draining");
    beat(Fleet, Writes);
  });
  std::this_thread::sleep_for(DrainTime);
  checkUsed(Fleet, "plain-0", false);
}

TEST_CASE("a server that is added after the store came back is not missed") {
  unsigned Writes = 0;
  SUBCASE("below the old height") {}
  SUBCASE("beyond the old height") { Writes = 2 * LostWrites; }
  users_fleet Fleet(HostCount, false, refuseAll);
  REQUIRE(waitFollowing(Fleet));
  startUnlisted(Fleet, "plain-2");
  store_copy Copy = copyOf(Fleet);
  loseWrites(Fleet);
  Fleet.on([&] {
    Fleet.Store->restore(Copy);
    Fleet.list("plain", "plain-2", "ready");
    beat(Fleet, Writes);
  });
  std::this_thread::sleep_for(DrainTime);
  checkUsed(Fleet, "plain-2", true);
}

TEST_CASE("a host whose registration the store lost does not stay "
          "unregistered") {
  users_fleet Fleet(2);
  REQUIRE(Fleet.waitReady());
  Fleet.Processes[1]->signal(SIGTERM);
  Fleet.Processes[1]->waitExit(std::chrono::seconds(10));
  store_copy Copy = copyOf(Fleet);
  Fleet.startHost(1);
  REQUIRE(Fleet.waitReady());
  bool Before = false;
  bool After = false;
  Fleet.on([&] {
    Before = Fleet.Store->has("entry-hosts", "host-1");
    Fleet.Store->restore(Copy);
    After = Fleet.Store->has("entry-hosts", "host-1");
  });
  REQUIRE(Before);
  REQUIRE_FALSE(After);
  std::this_thread::sleep_for(StableTime);
  Fleet.on([&] { After = Fleet.Store->has("entry-hosts", "host-1"); });
  CHECK(After);
}

TEST_CASE("the older configuration of the copy does not replace a newer one "
          "at hosts that run on") {
  users_fleet Fleet(HostCount);
  REQUIRE(waitFollowing(Fleet));
  store_copy Copy = copyOf(Fleet);
  loseWrites(Fleet);
  checkServed(Fleet, "lost");
  restore(Fleet, Copy);
  steady::time_point End = steady::now() + StableTime;
  while (steady::now() < End) {
    checkServed(Fleet, "lost");
    std::this_thread::sleep_for(milliseconds(200));
  }
}

TEST_CASE("a host that the store turns away is not left behind in the new "
          "era") {
  users_fleet Fleet(HostCount, true);
  REQUIRE(waitFollowing(Fleet));
  store_copy Copy = copyOf(Fleet);
  loseWrites(Fleet);
  setStoreLoss(Fleet, 0, proxy_loss::Both);
  Fleet.on([&] {
    Fleet.Store->restore(Copy);
    addRoute(Fleet, "kept", 3);
    Fleet.list("plain", "plain-0", "draining");
  });
  std::this_thread::sleep_for(ConfigTime + OuterTime);
  checkServed(Fleet, "kept");
  checkUsed(Fleet, "plain-0", false);
}

TEST_CASE("a store that comes back twice leaves no host behind") {
  users_fleet Fleet(HostCount);
  REQUIRE(waitFollowing(Fleet));
  store_copy Copy = copyOf(Fleet);
  loseWrites(Fleet);
  Fleet.on([&] {
    Fleet.Store->restore(Copy);
    addRoute(Fleet, "first", 3);
    beat(Fleet, LostWrites);
  });
  std::this_thread::sleep_for(ConfigTime);
  checkServed(Fleet, "first");
  Fleet.on([&] {
    Fleet.Store->restore(Copy);
    addRoute(Fleet, "second", 4);
    Fleet.list("plain", "plain-0", "draining");
  });
  std::this_thread::sleep_for(ConfigTime);
  checkServed(Fleet, "second");
  checkUsed(Fleet, "plain-0", false);
}

TEST_CASE("a server that had left is not used again because the copy still "
          "has it") {
  users_fleet Fleet(HostCount);
  REQUIRE(waitFollowing(Fleet));
  store_copy Copy = copyOf(Fleet);
  Fleet.on([&] {
    Fleet.list("plain", "plain-0", "draining");
    Fleet.Store->remove("servers", "plain-0");
  });
  loseWrites(Fleet);
  checkUsed(Fleet, "plain-0", false);
  restore(Fleet, Copy);
  steady::time_point End = steady::now() + StableTime;
  while (steady::now() < End) {
    checkUsed(Fleet, "plain-0", false);
    std::this_thread::sleep_for(milliseconds(200));
  }
}

TEST_CASE("a server whose entry the store lost is not given up once it is "
          "written again") {
  users_fleet Fleet(HostCount, false, refuseAll);
  REQUIRE(waitFollowing(Fleet));
  startUnlisted(Fleet, "plain-2");
  store_copy Copy = copyOf(Fleet);
  Fleet.on([&] { Fleet.list("plain", "plain-2", "ready"); });
  loseWrites(Fleet);
  checkUsed(Fleet, "plain-2", true);
  restore(Fleet, Copy);
  std::this_thread::sleep_for(milliseconds(1'000));
  Fleet.on([&] { Fleet.list("plain", "plain-2", "ready"); });
  std::this_thread::sleep_for(DrainTime);
  checkUsed(Fleet, "plain-2", true);
}
