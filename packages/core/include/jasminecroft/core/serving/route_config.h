// The routes, pools, limits and workspaces that an operator keeps on the
// platform, as the serving path uses them.
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
/// What a caller proves its workspace with.
using workspace_key = strong_text<struct workspace_key_tag>;

/// One of the pools that share a route's requests.
struct pool_share {
  pool_id Pool;
  std::uint32_t Weight = 1;
};

/// Work that has to be done, in pieces, before a request can run.
struct route_stage {
  pool_id Pool;
  /// Indexes of the stages whose results this one needs.
  std::vector<std::uint32_t> DependsOn;
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
  /// True if another backend server can go on with a stream.
  bool Resumable = false;
  /// True if no workspace key is needed.
  bool Public = false;
  core_duration Timeout{0};
  /// Answers within it are on time.
  core_duration Goal{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Backend servers that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  std::vector<pool_share> Pools;
  std::vector<route_stage> Stages;
};

/// How the backend servers of a pool take pieces of stages.
struct batch_rules {
  std::uint32_t Slots = 1;
  std::uint32_t MaxPieces = 1;
  /// Time of a call without its pieces.
  core_duration CallTime{0};
  core_duration PieceTime{0};
  /// Memory for results at one backend server.
  std::uint64_t ResultCapacityBytes = 0;
  /// How long an unused result is kept.
  core_duration ResultLifetime{0};
};

/// How the model engines of a pool batch requests.
struct engine_rules {
  std::uint32_t Slots = 1;
  std::uint64_t MemoryTokens = 0;
};

struct serving_pool {
  pool_id Name;
  std::uint32_t MaxConnections = 0;
  std::optional<batch_rules> Batches;
  std::optional<engine_rules> Engine;
};

/// What a caller may send.
struct caller_bounds {
  std::uint64_t MaxHeaderBytes = 16'384;
  std::uint64_t MaxBodyBytes = 4'194'304;
  core_duration HeaderTimeout = std::chrono::seconds(3);
  core_duration IdleTimeout = std::chrono::seconds(15);
};

struct key_owner {
  workspace_id Workspace;
  /// Goes before the route's priority.
  std::optional<std::uint32_t> Priority;
};

/// One version of the operator's configuration.
struct route_config {
  config_version Version;
  std::vector<serving_route> Routes;
  std::map<pool_id, serving_pool> Pools;
  caller_bounds Bounds;
  std::unordered_map<workspace_key, key_owner> Keys;
  /// True if routes that are not public need a key.
  bool KeysRequired = false;
};

/// Finds routes by host name and longest path prefix. Refers to the
/// configuration, which must outlive it.
class route_index {
public:
  explicit route_index(const route_config &Config);
  /// Path may carry a query, which is ignored. Null: no route.
  const serving_route *find(std::string_view Hostname,
                            std::string_view Path) const;

private:
  /// Key: host name, then the prefix.
  std::unordered_map<std::string, const serving_route *> ByPrefix;
};

} // namespace jasminecroft
