// A small fleet of real processes on loopback: the platform's stand-in,
// stand-ins of backend servers, and entry hosts.
#pragma once

#include "jasminecroft/processes/child_process.h"
#include "jasminecroft/processes/http_call.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jasminecroft::processes {

/// Waits until Condition holds; false after a generous bound.
/// Ports of 127.0.0.1 that are free at the moment.
std::vector<std::uint16_t> freePorts(std::size_t Count);

bool waitUntil(const std::function<bool()> &Condition);

struct fleet_options {
  std::size_t EntryHosts = 3;
  std::size_t Backends = 4;
  /// Service time of an empty call at a backend server.
  std::uint64_t BaseUs = 2'000;
  std::uint64_t BalancerLagMs = 1'000;
};

/// Workspace "w"; pipelines "part-check" (one stage), "survey" (three stages)
/// and "work-order" (a check, then "book", which must not repeat).
class local_fleet {
public:
  explicit local_fleet(const fleet_options &Options);
  ~local_fleet();
  local_fleet(const local_fleet &) = delete;
  local_fleet &operator=(const local_fleet &) = delete;

  /// Starts entry host Index, which does not run.
  void startEntryHost(std::size_t Index);
  child_process &entryHost(std::size_t Index) { return *Hosts[Index].Process; }
  std::uint16_t callerPort(std::size_t Index) const;
  std::uint16_t backendPort(std::size_t Index) const {
    return BackendPorts[Index];
  }
  std::size_t entryHosts() const { return Hosts.size(); }
  bool ready(std::size_t Index) const;
  bool waitAllReady() const;

  /// A call to a pipeline of workspace "w" through entry host Index.
  http_reply call(std::size_t Index, const std::string &Pipeline,
                  const std::string &Body,
                  const std::string &Headers = "") const;
  std::string page(std::size_t Index, const std::string &Target) const;
  void steerStore(const std::string &Body) const;
  void steerBackends(const std::string &Body) const;
  /// Body of each backend server's record of runs.
  std::vector<std::string> runRecords() const;
  /// What entry host Index has logged.
  std::string logOf(std::size_t Index) const;

private:
  struct entry_host {
    std::uint16_t Callers = 0;
    std::uint16_t Peers = 0;
    std::unique_ptr<child_process> Process;
  };
  std::string settingsText(std::size_t Index) const;
  std::string logFile(const std::string &Name) const;
  void putObjects() const;

  fleet_options Options;
  std::string Folder;
  std::uint16_t StorePort = 0;
  std::vector<std::uint16_t> BackendPorts;
  std::unique_ptr<child_process> Store;
  std::unique_ptr<child_process> Backends;
  std::vector<entry_host> Hosts;
};

} // namespace jasminecroft::processes
