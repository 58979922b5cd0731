// Planned changes of the soak's fleet: configurations, and backend servers
// that come, leave and pass their addresses on.
#pragma once

#include "jasminecroft/processes/users_fleet.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace jasminecroft::processes {

/// Used from one thread at a time, except version().
class soak_changes {
public:
  /// Lists the servers that the first ones of the fleet are too few for.
  soak_changes(users_fleet &Fleet, std::uint64_t Seed);

  /// Makes one change and returns what it was.
  std::string step();
  /// Ends the servers that are leaving.
  void finish();
  /// Writes a configuration with a route of its own, beside all earlier ones.
  /// Every other one splits a route between two pools.
  void changeConfig();
  /// The newest configuration.
  std::uint64_t version() const { return Version; }
  /// Name of the route that a version added.
  static std::string routeOf(std::uint64_t Number) {
    return "v" + std::to_string(Number);
  }

private:
  struct server {
    std::string Id;
    std::string Pool;
  };

  void add(const std::string &Pool);
  standins::users_backend_options options(const std::string &Pool);
  std::string retire();
  std::string passOn();
  std::string anyPool();

  users_fleet &Fleet;
  std::mt19937_64 Random;
  std::atomic<std::uint64_t> Version = 1;
  std::size_t Started = 0;
  std::vector<server> Serving;
  /// Told to leave, still running.
  std::vector<server> Leaving;
};

} // namespace jasminecroft::processes
