// Chooses a backend server for a call among those that have room.
#pragma once

#include "jasminecroft/core/detail/replica_table.h"

#include <functional>
#include <memory>

namespace jasminecroft::detail {

/// What a choice is made for.
struct choice_request {
  const work_item &Item;
  core_duration Estimate{0};
  const pool_replicas &Replicas;
  /// Servers of other zones may be taken.
  bool MaySpill = true;
  /// Prefixes are cached by the pool's servers.
  bool PrefixCached = false;
  /// Whether a server may take this call now.
  std::function<bool(const replica_record &)> HasRoom;
};

class replica_choice {
public:
  virtual ~replica_choice() = default;
  /// Absent if no server has room.
  virtual replica_record *choose(const choice_request &Request) = 0;
};

/// The next in turn with room. Baseline.
std::unique_ptr<replica_choice> makeRoundRobinChoice();
/// The better of a few random servers of the own zone by load and slowness, a
/// server with the cached prefix if it is not loaded above the others, and
/// other zones only if the own one has no room.
std::unique_ptr<replica_choice> makeSampledChoice(std::uint64_t Seed);

} // namespace jasminecroft::detail
