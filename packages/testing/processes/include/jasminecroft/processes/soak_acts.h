// What the soak's backend servers do with each request.
#pragma once

#include "jasminecroft/processes/serving_soak.h"
#include "jasminecroft/standins/serving_platform.h"

#include <cstdint>
#include <random>
#include <vector>

namespace jasminecroft::processes {

/// Acts of servers that run a request and answer as if they had not.
const std::vector<standins::backend_act> &contradictingActs();

/// Chooses acts at random; used on the servers' thread only.
class soak_acts {
public:
  soak_acts(std::uint64_t Seed, soak_servers Servers);

  standins::backend_act choose();
  /// All requests are run from now on.
  void calm() { Calm = true; }

private:
  std::mt19937_64 Random;
  std::vector<standins::backend_act> Acts;
  bool Calm = false;
};

} // namespace jasminecroft::processes
