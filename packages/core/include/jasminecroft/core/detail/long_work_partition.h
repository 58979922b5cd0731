// Keeps slots for short work: where long work may start.
#pragma once

#include "jasminecroft/core/detail/replica_table.h"

#include <memory>

namespace jasminecroft::detail {

/// Long work of this host in a pool, and the state of the pool.
struct long_work_view {
  const pool_replicas &Replicas;
  std::uint32_t OwnLong = 0;
  std::uint32_t Hosts = 1;
  bool ShortWaits = false;
  /// Short work has come within the last seconds.
  bool ShortLately = false;
  /// Share of the slots that long work may hold; in (0, 1].
  double Share = 1;
};

class long_work_partition {
public:
  virtual ~long_work_partition() = default;
  /// Whether a call that takes this long counts as long.
  virtual bool isLong(core_duration Estimate, core_duration From) const = 0;
  virtual bool mayStart(const replica_record &Replica,
                        const long_work_view &View) const = 0;
};

/// No call is long. Baseline.
std::unique_ptr<long_work_partition> makeNoPartition();
/// Long calls hold at most a share of the pool and of each server; more only
/// while no short call waits and slots stay free for those to come.
std::unique_ptr<long_work_partition> makeBoundedPartition();

} // namespace jasminecroft::detail
