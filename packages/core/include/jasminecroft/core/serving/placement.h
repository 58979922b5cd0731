// Choice among the backend servers that admit a request's own call: plain
// services by load and speed, model engines also by prefix cache affinity.
#pragma once

#include "jasminecroft/core/serving/backend_directory.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace jasminecroft {

/// A block of a prompt that other requests may share.
struct prompt_block {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// Input of a placement decision.
struct placement_query {
  /// Zone of this host, or of the inputs that the server has to fetch.
  zone_id NearZone;
  /// Shared prefix of the prompt, in order; empty for plain services.
  std::vector<prompt_block> Prefix;
  /// Servers that the request has already tried.
  std::set<backend_id> Avoid;
  /// Number of entry hosts that send to the same servers independently.
  std::uint32_t LiveHosts = 1;
  /// Of the request: ranks engines for prompts without shared parts.
  std::uint64_t Spread = 0;
  /// Long prompts that engines are known to be reading, as parts of the bound
  /// of their pool.
  std::map<backend_id, double> Reading;
};

/// Returns the server with the lowest expected response time of those that
/// admit the call, or null if there is none. Servers that failed recently or
/// were already tried come last.
backend_state *choosePlain(const std::vector<backend_state *> &Admitted,
                           const placement_query &Query, core_time Now);

/// Returns the least loaded of the servers that rank first for the prompt's
/// session, or another one if these are far busier than the rest. Returns null
/// if there is none.
backend_state *chooseEngine(const std::vector<backend_state *> &Admitted,
                            const placement_query &Query,
                            const engine_rules &Rules, core_time Now);

/// Returns all of them, the one that chooseEngine() returns first.
std::vector<backend_state *>
rankEngines(const std::vector<backend_state *> &Admitted,
            const placement_query &Query, const engine_rules &Rules,
            core_time Now);

} // namespace jasminecroft
