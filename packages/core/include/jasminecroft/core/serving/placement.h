// Choice of a backend server for a request's own call: plain services by load
// and speed, model engines also by where the prompt's beginning is cached.
#pragma once

#include "jasminecroft/core/serving/backend_directory.h"

#include <cstdint>
#include <set>
#include <vector>

namespace jasminecroft {

/// A part of a prompt that other requests may share.
struct prompt_block {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// What a choice is made for.
struct placement_query {
  pool_id Pool;
  /// Zone of this host, or of the inputs that the server has to fetch.
  zone_id NearZone;
  /// Shared beginning of the prompt, in order; empty for plain services.
  std::vector<prompt_block> Prefix;
  /// Servers that were tried already.
  std::set<backend_id> Avoid;
  /// Entry hosts that send to the same servers without seeing each other.
  std::uint32_t LiveHosts = 1;
};

/// The server that is expected to answer first; null if there is none. Servers
/// that failed lately or were tried come last.
backend_state *choosePlain(backend_directory &Servers,
                           const placement_query &Query, core_time Now);

/// Of the servers that rank first for the session of the prompt, the one with
/// the least load; another if these are far busier than the rest.
backend_state *chooseEngine(backend_directory &Servers,
                            const placement_query &Query,
                            const engine_rules &Rules, core_time Now);

} // namespace jasminecroft
