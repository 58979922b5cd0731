// Judges a whole fleet from outside: requests by the request_oracle, and here
// leaving backend servers, planned stops and the configuration in force.
#pragma once

#include "jasminecroft/testing/request_oracle.h"
#include "jasminecroft/testing/virtual_fleet.h"

#include <map>
#include <set>

namespace jasminecroft::testing {

struct oracle_tally {
  std::uint64_t ConfigsAccepted = 0;
  std::uint64_t ConfigReadings = 0;
  std::uint64_t LeavingFacts = 0;
  std::uint64_t StopsAsked = 0;
  std::uint64_t StopsDone = 0;
  std::uint64_t Kills = 0;
  std::uint64_t Freezes = 0;
  std::uint64_t ReceivedWhileLeaving = 0;
};

class oracle final : public fleet_observer {
public:
  explicit oracle(const fleet_config &Config) : Config(Config) {}

  /// Called once, after the fleet was made and before it starts.
  void attach(virtual_fleet &NewFleet);
  /// Reads hosts and looks for what is overdue; call it every TickInterval.
  void tick();
  /// An operator is about to offer this change.
  void expectChange(const change_id &Change) { Offered.insert(Change); }
  /// Reports something that the test itself has found.
  void report(promise Promise, const std::string &What);

  const violation_list &violations() const { return Violations; }
  request_oracle &requests() { return *Requests; }
  const oracle_tally &tally() const { return Tally; }
  config_version newestAccepted() const;

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
  /// When a host learnt of a leaving server, and from when it must act on it.
  struct leaving_knowledge {
    core_time Learnt{};
    core_time MustActFrom{};
  };
  using knowledge_map = std::map<host_run, leaving_knowledge>;
  struct accepted_config {
    fleet_config Config;
    core_time At{};
  };
  struct config_reading {
    config_version Version;
    /// When the host was first seen with each version or a higher one.
    std::map<config_version, core_time> SeenAt;
    config_version Complained;
  };

  void learnLeaving(const host_run &Host, const leaving_fact &Fact);
  void learnFromList(const host_run &Host, const host_list &Hosts);
  void spreadLeaving();
  void spreadFact(knowledge_map &Known);
  bool isLeaving(const leaving_fact &Fact);
  /// Since when two running hosts can talk without loss, if they can.
  std::optional<core_time> joinedSince(std::size_t A, std::size_t B) const;
  std::optional<core_time> platformSince(std::size_t Host) const;
  void checkConfigs();
  void readConfig(std::size_t Host);
  void judgeReading(std::size_t Host, const fleet_config &Found);
  void checkConfigOverdue(std::size_t Host);
  std::optional<core_time> couldHaveSince(std::size_t Host,
                                          config_version Wanted,
                                          core_time Accepted) const;
  void checkStops();

  const fleet_config Config;
  virtual_fleet *Fleet = nullptr;
  std::unique_ptr<request_oracle> Requests;
  violation_list Violations;
  std::set<change_id> Offered;
  std::map<config_version, accepted_config> Accepted;
  std::map<host_run, config_reading> Readings;
  std::map<leaving_fact, knowledge_map> Leaving;
  std::map<std::pair<host_run, attempt_id>, backend_id> AttemptBackends;
  std::set<host_run> Frozen;
  std::map<host_run, core_time> StopAsked;
  std::set<host_run> StopComplained;
  oracle_tally Tally;
};

inline constexpr core_duration TickInterval{200'000};

} // namespace jasminecroft::testing
