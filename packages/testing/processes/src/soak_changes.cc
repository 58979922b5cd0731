// Rolling replacement of servers and configurations of growing size.
#include "jasminecroft/processes/soak_changes.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace jasminecroft::processes {

namespace json = boost::json;

namespace {

constexpr std::size_t MinPerPool = 2;
constexpr std::size_t EngineSlots = 3;
constexpr std::size_t EngineQueue = 4;
constexpr std::size_t PreemptEvery = 5;
constexpr std::chrono::milliseconds EngineStep{10};
/// The plain pool that a split sends a share of the requests to.
const std::string NextPool = "next";
const std::vector<std::string> Pools = {"plain", NextPool, "engine", "stage"};
/// Idle limits of the versions, in turn; the shortest is below the pauses of
/// hosts.
constexpr std::array<int, 3> IdleLimitsMs = {600, 15'000, 1'500};

} // namespace

soak_changes::soak_changes(users_fleet &Fleet, std::uint64_t Seed)
    : Fleet(Fleet), Random(Seed) {
  Serving = {{"plain-0", "plain"},
             {"plain-1", "plain"},
             {"engine-0", "engine"},
             {"stage-0", "stage"}};
  for (const std::string &Pool : Pools)
    add(Pool);
  add(NextPool);
  add("engine");
  changeConfig();
}

standins::users_backend_options soak_changes::options(const std::string &Pool) {
  standins::users_backend_options Options =
      Fleet.backendOptions(Pool + "-s" + std::to_string(++Started));
  if (Pool == "engine") {
    Options.Slots = EngineSlots;
    Options.Queue = EngineQueue;
    Options.PreemptEvery = PreemptEvery;
    Options.Work = EngineStep;
  }
  return Options;
}

void soak_changes::add(const std::string &Pool) {
  standins::users_backend_options Options = options(Pool);
  Serving.push_back({Options.Id, Pool});
  Fleet.add(Pool, std::move(Options));
}

std::string soak_changes::anyPool() { return Pools[Random() % Pools.size()]; }

std::string soak_changes::step() {
  constexpr std::uint64_t Changes = 4;
  switch (Random() % Changes) {
  case 0:
    changeConfig();
    return "configuration " + std::to_string(Version);
  case 1:
    return retire();
  case 2:
    return passOn();
  default: {
    std::string Pool = anyPool();
    add(Pool);
    return "new server of " + Pool;
  }
  }
}

// A server leaves; it says so in its entry, in its answers, or not at all.
std::string soak_changes::retire() {
  std::size_t Chosen = Random() % Serving.size();
  server Server = Serving[Chosen];
  std::ptrdiff_t InPool = std::count_if(
      Serving.begin(), Serving.end(),
      [&Server](const server &Other) { return Other.Pool == Server.Pool; });
  if (static_cast<std::size_t>(InPool) <= MinPerPool)
    add(Server.Pool);
  Serving.erase(Serving.begin() + static_cast<std::ptrdiff_t>(Chosen));
  Leaving.push_back(Server);
  constexpr std::uint64_t Ways = 3;
  std::uint64_t Way = Random() % Ways;
  Fleet.on([&] {
    if (Way == 0)
      Fleet.list(Server.Pool, Server.Id, "draining");
    else if (Way == 1)
      Fleet.Backends.at(Server.Id)->leave();
    else
      Fleet.Store->remove("servers", Server.Id);
  });
  const char *Said[Ways] = {" drains", " says that it leaves",
                            " is taken off the list"};
  return Server.Id + Said[Way];
}

// The server that has been leaving for longest ends. Another one gets its
// address, in half of the cases before hosts can know that it has ended.
std::string soak_changes::passOn() {
  if (Leaving.empty())
    return "nothing";
  server Server = Leaving.front();
  Leaving.erase(Leaving.begin());
  std::string Pool = anyPool();
  standins::users_backend_options Options = options(Pool);
  std::string Id = Options.Id;
  auto Unlist = [&] {
    Fleet.on([&] { Fleet.Store->remove("servers", Server.Id); });
  };
  bool Late = Random() % 2 == 0;
  if (!Late)
    Unlist();
  Fleet.reuseAddress(Server.Id, Pool, std::move(Options));
  if (Late)
    Unlist();
  Serving.push_back({Id, Pool});
  return Id + " takes the address of " + Server.Id;
}

void soak_changes::finish() {
  while (!Leaving.empty())
    passOn();
}

void soak_changes::changeConfig() {
  json::value Config = json::parse(usersConfig());
  std::uint64_t Newest = Version + 1;
  Config.as_object()["version"] = Newest;
  Config.at("limits").as_object()["idle_timeout_ms"] =
      IdleLimitsMs[Newest % IdleLimitsMs.size()];
  json::array &Routes = Config.at("routes").as_array();
  json::value Task = Routes[1];
  Task.as_object()["name"] = "task";
  Task.as_object()["path_prefix"] = "/task/";
  Task.as_object()["attempts"] = 3;
  if (Newest % 2 == 0) {
    Task.as_object().erase("service");
    Task.as_object()["split"] =
        json::array{json::object{{"service", "plain"}, {"weight", 1}},
                    json::object{{"service", NextPool}, {"weight", 1}}};
  }
  for (std::uint64_t Earlier = 2; Earlier <= Newest; ++Earlier) {
    json::value Route = Routes[0];
    Route.as_object()["name"] = routeOf(Earlier);
    Route.as_object()["path_prefix"] = "/" + routeOf(Earlier) + "/";
    Routes.push_back(std::move(Route));
  }
  Routes.push_back(std::move(Task));
  Config.at("services")
      .as_array()
      .push_back(json::object{{"name", NextPool}, {"max_conns", 48}});
  Fleet.on([&] { Fleet.Store->put("config", "main", Config); });
  Version = Newest;
}

} // namespace jasminecroft::processes
