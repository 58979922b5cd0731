// Prints what crosses the edges of a fleet, one line each, and hands it on.
#pragma once

#include "jasminecroft/testing/fleet_observer.h"

#include <iosfwd>

namespace jasminecroft::testing {

/// Stands between a fleet and its observer. Gossip, load reports and status
/// readings are left out.
class fleet_trace final : public fleet_observer {
public:
  /// Prints nothing if Out is null.
  fleet_trace(fleet_observer &Next, std::ostream *Out) : Next(Next), Out(Out) {}
  /// Called once, before the fleet starts.
  void attach(const event_queue &FleetQueue) { Queue = &FleetQueue; }

  void onHostStarted(const host_run &Host, const zone_id &Zone) override;
  void onHostDied(const host_run &Host) override;
  void onHostStopped(const host_run &Host) override;
  void onHostFrozen(const host_run &Host) override;
  void onHostResumed(const host_run &Host) override;
  void onEvent(const host_run &Host, const event &Event) override;
  void onAction(const host_run &Host, const action &Action) override;
  void onWrite(const object_key &Key, const stored_object &Value) override;
  void beforeDisturbance() override;
  void onBackendReceived(const backend_id &Backend, incarnation Run,
                         const backend_call &Call) override;
  void onBackendRun(const backend_run &Run) override;

private:
  void line(const host_run &Host, const std::string &Text);
  void line(const std::string &Text);

  fleet_observer &Next;
  std::ostream *Out;
  const event_queue *Queue = nullptr;
};

} // namespace jasminecroft::testing
