// What a test can see of a virtual fleet from outside.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/core/events.h"
#include "jasminecroft/testing/fake_backend.h"

namespace jasminecroft::testing {

/// Hears of everything that crosses an edge of the fleet, at the time of the
/// fleet's event queue.
class fleet_observer : public backend_observer {
public:
  virtual void onHostStarted(const host_run &, const zone_id &) {}
  /// Killed: what it had in progress is gone.
  virtual void onHostDied(const host_run &) {}
  /// Stopped by its own decision after a shutdown was requested.
  virtual void onHostStopped(const host_run &) {}
  virtual void onHostFrozen(const host_run &) {}
  virtual void onHostResumed(const host_run &) {}
  /// An event is about to be handled by the host's core.
  virtual void onEvent(const host_run &, const event &) {}
  virtual void onAction(const host_run &, const action &) {}
  /// A write took effect on the platform.
  virtual void onWrite(const object_key &, const stored_object &) {}
  /// Called before zones are cut or healed, or a fault begins or ends.
  virtual void beforeDisturbance() {}
  void onBackendReceived(const backend_id &, incarnation,
                         const backend_call &) override {}
  void onBackendRun(const backend_run &) override {}
};

} // namespace jasminecroft::testing
