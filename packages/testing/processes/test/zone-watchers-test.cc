// Real entry hosts of one zone, more than there are watchers of the store.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/json/parse.hpp>

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace jasminecroft::processes;
using namespace jasminecroft::standins;
namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t HostCount = 5;
constexpr std::size_t WatcherCount = 3;
constexpr std::chrono::seconds CallBound{5};
/// Bounds of the users' rules.
constexpr milliseconds DrainTime{2'000};
constexpr milliseconds ConfigTime{2'000};

bool follows(const users_fleet &Fleet, std::size_t Host) {
  std::string Log = Fleet.logOf(Host);
  std::size_t Last = Log.rfind("\"event\":706");
  return Last != std::string::npos &&
         Log.find("\"source\":\"watcher\"", Last) != std::string::npos;
}

std::vector<std::size_t> followers(const users_fleet &Fleet) {
  std::vector<std::size_t> Result;
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (follows(Fleet, Host))
      Result.push_back(Host);
  return Result;
}

bool waitFollowing(const users_fleet &Fleet) {
  return Fleet.waitReady() && waitUntil([&Fleet] {
           return followers(Fleet).size() == HostCount - WatcherCount;
         });
}

/// Calls for backend servers: every host reads the list of entry hosts.
std::size_t storeCalls(users_fleet &Fleet) {
  std::size_t Calls = 0;
  Fleet.on([&] { Calls = Fleet.Store->calls("servers"); });
  return Calls;
}

void addRoute(users_fleet &Fleet) {
  Fleet.on([&Fleet] {
    json::value Config = json::parse(usersConfig());
    Config.as_object()["version"] = 4;
    json::value Route = Config.at("routes").as_array()[0];
    Route.as_object()["name"] = "added";
    Route.as_object()["path_prefix"] = "/added/";
    Config.at("routes").as_array().push_back(Route);
    Fleet.Store->put("config", "main", Config);
  });
}

/// Whether requests through Host no longer reach plain-0.
bool avoids(users_fleet &Fleet, std::size_t Host, const std::string &Prefix) {
  for (int I = 0; I < 12; ++I) {
    std::string Id = Prefix + std::to_string(I);
    if (exchange(Fleet.call("read", Id, "key-1", Host), CallBound)
            .Body.find("plain-0") != std::string::npos)
      return false;
  }
  return true;
}

} // namespace

TEST_CASE("a change costs one call for each watcher, however many hosts there "
          "are") {
  users_fleet Fleet(HostCount);
  REQUIRE(waitFollowing(Fleet));
  constexpr std::size_t Changes = 6;
  std::size_t Before = storeCalls(Fleet);
  for (std::size_t Change = 0; Change < Changes; ++Change) {
    Fleet.on([&Fleet, Change] {
      Fleet.list("plain", "plain-1", Change % 2 == 0 ? "draining" : "ready");
    });
    std::this_thread::sleep_for(milliseconds(500));
  }
  std::size_t Calls = storeCalls(Fleet) - Before;
  CHECK(Calls <= WatcherCount * Changes);
  CHECK(Calls >= Changes);
}

TEST_CASE("a leaving server and a new configuration reach hosts that follow a "
          "watcher in time") {
  users_fleet Fleet(HostCount);
  REQUIRE(waitFollowing(Fleet));
  std::size_t Follower = followers(Fleet).front();
  Fleet.on([&Fleet] { Fleet.list("plain", "plain-0", "draining"); });
  addRoute(Fleet);
  std::this_thread::sleep_for(std::min(DrainTime, ConfigTime));
  CHECK(avoids(Fleet, Follower, "l"));
  CHECK(
      exchange(Fleet.call("added", "a", "key-1", Follower), CallBound).Status ==
      200);
  CHECK(follows(Fleet, Follower));
}

TEST_CASE("hosts whose watchers are killed or paused learn of a leaving server "
          "in time") {
  int Signal = SIGKILL;
  SUBCASE("killed") {}
  SUBCASE("paused") { Signal = SIGSTOP; }
  users_fleet Fleet(HostCount);
  REQUIRE(waitFollowing(Fleet));
  std::vector<std::size_t> Left = followers(Fleet);
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (std::find(Left.begin(), Left.end(), Host) == Left.end())
      Fleet.Processes[Host]->signal(Signal);
  steady::time_point Written = steady::now();
  Fleet.on([&Fleet] { Fleet.list("plain", "plain-0", "draining"); });
  addRoute(Fleet);
  std::this_thread::sleep_until(Written + DrainTime);
  for (std::size_t Host : Left) {
    CHECK(avoids(Fleet, Host, "k" + std::to_string(Host) + "-"));
    CHECK(exchange(Fleet.call("added", "c", "key-1", Host), CallBound).Status ==
          200);
  }
  if (Signal == SIGSTOP)
    for (const std::unique_ptr<child_process> &Process : Fleet.Processes)
      Process->signal(SIGCONT);
}

TEST_CASE("a host that the store turns away is told by its watchers") {
  users_fleet Fleet(HostCount, true);
  REQUIRE(waitFollowing(Fleet));
  std::size_t Follower = followers(Fleet).front();
  Fleet.on([&] {
    fault_proxy &Proxy = *Fleet.Proxies[users_fleet::storeProxy(Follower)];
    Proxy.setLoss(proxy_loss::Both);
    Proxy.resetAll();
  });
  Fleet.on([&Fleet] { Fleet.list("plain", "plain-0", "draining"); });
  addRoute(Fleet);
  std::this_thread::sleep_for(DrainTime);
  CHECK(avoids(Fleet, Follower, "t"));
  CHECK(
      exchange(Fleet.call("added", "t", "key-1", Follower), CallBound).Status ==
      200);
}

TEST_CASE("a host that starts again uses neither a withdrawn key nor a server "
          "that left") {
  users_fleet Fleet(2);
  REQUIRE(Fleet.waitReady());
  Fleet.on([&Fleet] {
    json::value Config = json::parse(usersConfig());
    Config.as_object()["version"] = 4;
    Config.at("tenants").as_array()[1].as_object()["api_keys"] = json::array{};
    Fleet.Store->put("config", "main", Config);
    Fleet.list("plain", "plain-0", "draining");
    Fleet.Store->remove("servers", "plain-0");
  });
  std::this_thread::sleep_for(std::max(DrainTime, ConfigTime));
  Fleet.Processes[1]->signal(SIGKILL);
  Fleet.startHost(1);
  // From the first answer on, whoever told the host what it knows.
  CHECK(waitUntil([&Fleet] {
    unsigned Status =
        exchange(Fleet.call("read", "k", "key-2", 1), CallBound).Status;
    CHECK(Status != 200);
    return Status == 401;
  }));
  REQUIRE(Fleet.waitReady());
  CHECK(avoids(Fleet, 1, "r"));
}
