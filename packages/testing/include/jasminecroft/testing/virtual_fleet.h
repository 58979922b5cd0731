// Several entry cores, backend servers, a network and a platform, all in one
// process and in virtual time. The fleet plays the shells: it carries out the
// cores' actions and brings them events. It decides nothing.
#pragma once

#include "jasminecroft/core/entry_core.h"
#include "jasminecroft/testing/fake_backend.h"
#include "jasminecroft/testing/fake_network.h"
#include "jasminecroft/testing/fake_platform.h"
#include "jasminecroft/testing/fleet_observer.h"
#include "jasminecroft/testing/virtual_time.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminecroft::testing {

struct zone_spec {
  zone_id Zone;
  region_id Region;
  std::uint32_t EntryHosts = 1;
};

struct fleet_plan {
  std::vector<zone_spec> Zones;
  std::vector<backend_spec> Backends;
  /// First configuration on the platform; its Fleet names the fleet.
  fleet_config Config;
  scheduler_kind Scheduler = scheduler_kind::Full;
  /// How late the platform's host list follows.
  core_duration HostListLag{2'000'000};
  /// How many hosts of each zone every core is given as seeds.
  std::uint32_t SeedsPerZone = 2;
  /// Time after which a dead or stopped host is replaced; none: never.
  std::optional<core_duration> ReplaceHostsAfter;
  /// Empty: the backend fake's own.
  service_time_function ServiceTime;
};

enum class host_condition { Up, Frozen, Down };

struct fleet_counts {
  std::uint64_t Events = 0;
  std::uint64_t Actions = 0;
  /// Wake-ups asked for at a time that had passed; a shell would spin.
  std::uint64_t SpinningWakeups = 0;
};

class virtual_fleet {
public:
  /// The observer outlives the fleet. Nothing happens before start.
  virtual_fleet(const fleet_plan &Plan, std::uint64_t Seed,
                fleet_observer &Observer);
  ~virtual_fleet();
  virtual_fleet(const virtual_fleet &) = delete;
  virtual_fleet &operator=(const virtual_fleet &) = delete;

  /// Writes the first objects of the platform and starts all hosts.
  void start();

  event_queue &queue() { return Queue; }
  random_source &random() { return Random; }
  fake_platform &platform() { return Platform; }
  const fake_platform &platform() const { return Platform; }
  fake_network &network() { return Network; }
  const fake_network &network() const { return Network; }
  core_time now() const { return Queue.now(); }
  const fleet_plan &plan() const { return Plan; }
  const fleet_counts &counts() const { return Counts; }

  std::size_t hostCount() const { return Hosts.size(); }
  host_run hostRun(std::size_t Host) const;
  const zone_id &hostZone(std::size_t Host) const { return Hosts[Host].Zone; }
  host_condition condition(std::size_t Host) const;
  /// Since when the host runs without having been frozen.
  core_time upSince(std::size_t Host) const { return Hosts[Host].UpSince; }
  readiness hostReadiness(std::size_t Host) const;
  bool shuttingDown(std::size_t Host) const { return Hosts[Host].ShuttingDown; }

  /// Hands a request to a host and numbers it; 0 if the host is down.
  request_id submit(std::size_t Host, request_received Call);
  void callerGone(std::size_t Host, request_id Request);
  /// Reads a host's state; absent if the host does not run.
  std::optional<status_document> status(std::size_t Host, status_topic Topic);

  void startHost(std::size_t Host);
  void killHost(std::size_t Host);
  /// No event is handled until resume; then all come late.
  void freezeHost(std::size_t Host);
  /// Freezes the host right after its core decides to start an attempt,
  /// before the call leaves.
  void freezeHostBeforeDispatch(std::size_t Host);
  void resumeHost(std::size_t Host);
  void shutDownHost(std::size_t Host);

  std::size_t backendCount() const { return Backends.size(); }
  fake_backend &backend(std::size_t Backend) { return *Backends[Backend]; }
  void killBackend(std::size_t Backend);
  /// A new run at the same address; the old one dies if it still lives.
  void replaceBackend(std::size_t Backend);
  void backendLeaves(std::size_t Backend, bool RefusesNew);
  /// The platform's host list takes the present state, after its lag.
  void publishHosts();

private:
  struct entry_host {
    entry_host_id Name;
    zone_id Zone;
    region_id Region;
    endpoint Address;
    incarnation Run;
    std::unique_ptr<entry_core> Core;
    bool Frozen = false;
    bool FreezeBeforeDispatch = false;
    bool ShuttingDown = false;
    core_time UpSince{};
    /// Each host's clock begins at another point.
    core_duration ClockOffset{0};
    core_duration WallSkew{0};
    readiness Readiness = readiness::NoConfig;
    std::vector<event> Backlog;
    action_list HeldActions;
    /// Earliest wake-up in the queue.
    std::optional<core_time> WakeupAt;
    std::unordered_map<attempt_id, backend_call_pointer> Calls;
  };

  void addHosts();
  void addBackends();
  std::unique_ptr<fake_backend> makeBackend(const backend_spec &Spec,
                                            incarnation Run);
  core_settings settingsOf(const entry_host &Host) const;
  host_list presentHosts() const;

  void deliver(std::size_t Host, incarnation Run, const event &Event);
  action_list handle(std::size_t Host, const event &Event);
  void process(std::size_t Host, const event &Event);
  void perform(std::size_t Host, const action_list &Actions);
  void scheduleWakeup(std::size_t Host, core_time NotBefore);
  void onWakeupDue(std::size_t Host, incarnation Run, core_time Due);
  void down(std::size_t Host);

  void carryOut(std::size_t Host, const answer_caller &) { (void)Host; }
  void carryOut(std::size_t Host, const stream_to_caller &) { (void)Host; }
  void carryOut(std::size_t Host, const start_attempt &Start);
  void carryOut(std::size_t Host, const cancel_attempt &Cancel);
  void carryOut(std::size_t Host, const poll_load &Poll);
  void carryOut(std::size_t Host, const call_platform &Call);
  void carryOut(std::size_t Host, const send_to_peer &Send);
  void carryOut(std::size_t Host, const set_readiness &Set);
  void carryOut(std::size_t Host, const log_event &) { (void)Host; }
  void carryOut(std::size_t Host, const reply_status &) { (void)Host; }
  void carryOut(std::size_t Host, const stop_process &);
  void connect(std::size_t Host, const backend_call_pointer &Call,
               std::size_t Backend);
  void endCall(std::size_t Host, const backend_call_pointer &Call,
               backend_error Error);
  void bringBack(std::size_t Host, const backend_call_pointer &Call,
                 const zone_id &From, const event &Event);
  void deliverAnswer(std::size_t Host, const backend_call_pointer &Call,
                     const event &Event);

  fleet_plan Plan;
  event_queue Queue;
  random_source Random;
  fake_platform Platform;
  fake_network Network;
  fleet_observer &Observer;
  std::vector<entry_host> Hosts;
  std::vector<std::unique_ptr<fake_backend>> Backends;
  /// Runs that ended; the queue may still refer to them.
  std::vector<std::unique_ptr<fake_backend>> FormerBackends;
  std::unordered_map<endpoint, std::size_t> HostByAddress;
  std::unordered_map<endpoint, std::size_t> BackendByAddress;
  request_id LastRequest;
  status_query_id LastQuery;
  fleet_counts Counts;
};

} // namespace jasminecroft::testing
