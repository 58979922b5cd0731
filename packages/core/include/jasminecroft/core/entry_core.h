// Control logic of an entry host: takes events, returns actions, does no I/O.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/core/events.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace jasminecroft {

/// A peer to contact before the platform's host list is known.
struct peer_seed {
  entry_host_id Host;
  zone_id Zone;
  endpoint Address;
};

enum class scheduler_kind { Full, Baseline };

/// Settings of an entry host, fixed at start.
struct core_settings {
  fleet_id Fleet;
  host_run Self;
  zone_id Zone;
  region_id Region;
  /// Address of this host's peer transport.
  endpoint Address;
  std::vector<peer_seed> Seeds;
  /// Seed of the random number generator, the only source of randomness.
  std::uint64_t Seed = 0;
  scheduler_kind Scheduler = scheduler_kind::Full;
};

/// The control logic of one entry host. The same settings and the same events
/// at the same times give the same actions. Not thread-safe.
class entry_core {
public:
  explicit entry_core(const core_settings &Settings);
  ~entry_core();
  entry_core(const entry_core &) = delete;
  entry_core &operator=(const entry_core &) = delete;

  /// Processes one event and returns the actions to execute, in order. Now must
  /// not decrease between calls.
  action_list handle(const event &Event, core_time Now);

  /// Returns when to send the next wakeup; absent if no timer is pending.
  std::optional<core_time> nextWakeup() const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace jasminecroft
