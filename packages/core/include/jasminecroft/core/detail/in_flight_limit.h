// How many calls one entry host may have in progress at a backend server whose
// slots it shares with other entry hosts.
#pragma once

#include "jasminecroft/core/detail/replica_table.h"

#include <memory>

namespace jasminecroft::detail {

class in_flight_limit {
public:
  virtual ~in_flight_limit() = default;
  /// Whether this host may have one more call at the server. Hosts is the
  /// number of entry hosts that share the pool.
  virtual bool hasRoom(const replica_record &Replica, const pool_replicas &Pool,
                       std::uint32_t Hosts) const = 0;
};

/// All slots, whatever other hosts do. Baseline.
std::unique_ptr<in_flight_limit> makeSlotsLimit();
/// A fair share of the slots, and more while the reports leave enough free for
/// the other hosts; less on a server that is slow.
std::unique_ptr<in_flight_limit> makeSharedLimit();

} // namespace jasminecroft::detail
