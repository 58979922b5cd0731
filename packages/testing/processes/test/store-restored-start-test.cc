// A host that starts while the users' store holds an older copy.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/json/parse.hpp>

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace jasminecroft::processes;
namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t HostCount = 5;
constexpr std::chrono::seconds CallBound{5};
constexpr milliseconds ConfigTime{2'000};
constexpr milliseconds StableTime{3'000};

/// Writes a configuration that has the route "lost" besides.
void addRoute(users_fleet &Fleet) {
  json::value Config = json::parse(usersConfig());
  Config.as_object()["version"] = 2;
  json::value Route = Config.at("routes").as_array()[0];
  Route.as_object()["name"] = "lost";
  Route.as_object()["path_prefix"] = "/lost/";
  Config.at("routes").as_array().push_back(Route);
  Fleet.on([&] { Fleet.Store->put("config", "main", Config); });
}

} // namespace

TEST_CASE("a host that starts does not use the older configuration of the "
          "copy") {
  users_fleet Fleet(HostCount);
  REQUIRE(Fleet.waitReady());
  jasminecroft::standins::users_store::store_copy Copy;
  Fleet.on([&] { Copy = Fleet.Store->copy(); });
  addRoute(Fleet);
  std::this_thread::sleep_for(ConfigTime);
  Fleet.on([&] { Fleet.Store->restore(Copy); });
  Fleet.Processes[0]->signal(SIGKILL);
  Fleet.Processes[0]->waitExit(std::chrono::seconds(2));
  Fleet.startHost(0);
  REQUIRE(Fleet.waitReady());
  steady::time_point End = steady::now() + StableTime;
  while (steady::now() < End) {
    CHECK(exchange(Fleet.call("lost", "r", "key-1", 0), CallBound).Status ==
          200);
    std::this_thread::sleep_for(milliseconds(200));
  }
}
