// The operator's configuration as used by the serving path: routes, pools,
// limits and workspace keys.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminecroft {

using route_id = strong_text<struct route_tag>;
/// Credential by which a caller authenticates as a workspace.
using workspace_key = strong_text<struct workspace_key_tag>;

/// A pool that serves a weighted share of a route's requests.
struct pool_share {
  pool_id Pool;
  std::uint32_t Weight = 1;
};

/// A stage of a route: work, divided into pieces, that precedes the request's
/// own call.
struct route_stage {
  pool_id Pool;
  /// Indexes of the stages whose results are inputs of this one.
  std::vector<std::uint32_t> After;
  /// Approximate size of the result of one piece.
  std::uint64_t ResultBytes = 0;
};

struct serving_route {
  route_id Name;
  std::string Hostname;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  bool Streamed = false;
  /// True if a request may run more than once.
  bool Repeatable = false;
  /// True if another backend server can resume a stream.
  bool Resumable = false;
  /// True if no workspace key is needed.
  bool Public = false;
  core_duration Timeout{0};
  /// Latency objective: replies within this time are on time.
  core_duration Goal{0};
  /// Longest pause between events of a stream that is on time; zero: not
  /// stated.
  core_duration PauseGoal{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Maximum number of backend servers that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  std::vector<pool_share> Pools;
  std::vector<route_stage> Stages;
};

/// Limits and costs of the batches that a pool's backend servers accept.
struct batch_rules {
  std::uint32_t Slots = 1;
  std::uint32_t MaxPieces = 1;
  /// Fixed time of a call, to which PieceTime is added for each piece.
  core_duration CallTime{0};
  core_duration PieceTime{0};
  /// Memory for results on one backend server.
  std::uint64_t ResultCapacityBytes = 0;
  /// Time for which an unused result is kept.
  core_duration ResultLifetime{0};
};

/// Limits of the model engines of a pool.
struct engine_rules {
  std::uint32_t Slots = 1;
  std::uint64_t MemoryTokens = 0;
};

/// How servers of a pool that have just started are used.
struct warm_up_rules {
  /// Time for which a server is cold after its start.
  core_duration ColdTime{0};
  /// Requests a second that a cold server takes from all hosts together.
  double PerSecond = 0;
};

struct serving_pool {
  pool_id Name;
  std::uint32_t MaxConnections = 0;
  std::optional<batch_rules> Batches;
  std::optional<engine_rules> Engine;
  std::optional<warm_up_rules> WarmUp;
};

/// Limits on requests and connections of callers.
struct caller_bounds {
  std::uint64_t MaxHeaderBytes = 16'384;
  std::uint64_t MaxBodyBytes = 4'194'304;
  core_duration HeaderTimeout = std::chrono::seconds(3);
  core_duration IdleTimeout = std::chrono::seconds(15);
};

/// The workspace that a key authenticates.
struct key_owner {
  workspace_id Workspace;
  /// Overrides the route's priority.
  std::optional<std::uint32_t> Priority;
};

/// One version of the operator's configuration.
struct route_config {
  config_version Version;
  std::vector<serving_route> Routes;
  std::map<pool_id, serving_pool> Pools;
  caller_bounds Bounds;
  std::unordered_map<workspace_key, key_owner> Keys;
  /// True if routes that are not public require a key.
  bool KeysRequired = false;
};

/// Returns whether there is more than one priority or more than one workspace.
bool callersCompete(const route_config &Config);

/// Index of routes by host name and path prefix. Holds pointers into the
/// configuration, which must outlive it.
class route_index {
public:
  explicit route_index(const route_config &Config);
  /// Returns the route with the longest prefix of Path; null if there is none.
  /// A query in Path is ignored.
  const serving_route *find(std::string_view Hostname,
                            std::string_view Path) const;

private:
  using routes_by_prefix =
      std::unordered_map<std::string, const serving_route *>;
  std::unordered_map<std::string, routes_by_prefix> ByHost;
};

} // namespace jasminecroft
