// Settings of an entry host on the serving path, read from the file that the
// platform fills in from platform/settings/entry-host.json.
#pragma once

#include "jasminecroft/core/serving/serving_core.h"
#include "jasminecroft/entry/settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jasminecroft {

struct serving_host_settings {
  fleet_id Fleet;
  entry_host_id Host;
  zone_id Zone;
  region_id Region;
  /// Where callers reach this host, through the balancer.
  endpoint Callers;
  /// Where the balancer asks for readiness.
  endpoint Readiness;
  /// Where other entry hosts reach this host.
  endpoint Peers;
  /// Where it listens for them; the same unless a proxy or an address
  /// translation stands between.
  endpoint PeersListen;
  endpoint Store;
  std::vector<endpoint> Seeds;
  /// Thousandths of a core.
  std::uint32_t Capacity = 1000;
  /// Memory of the machine.
  std::size_t MemoryBytes = 0;
  retry_limits Retries;
  /// Time between the signal to stop and the end by force.
  std::chrono::milliseconds Grace{8'000};
  /// Port of the metrics page; 0: none.
  std::uint16_t MetricsPort = 0;
  bool BatchAlone = false;
  /// The operator may empty zones.
  bool EmptiedZones = false;
  log_settings Log;
};

using serving_settings_result =
    std::variant<serving_host_settings, settings_error>;

serving_settings_result parseServingSettings(std::string_view Text);
serving_settings_result readServingSettings(const std::string &File);

/// Keys whose values differ in a settings file that was read again.
struct settings_changes {
  /// Taken over.
  std::vector<std::string> Applied;
  /// In force from the next start on.
  std::vector<std::string> AtRestart;
};

/// Takes over into Running what a running process can change.
settings_changes takeOver(serving_host_settings &Running,
                          const serving_host_settings &Read);

/// Keys as one text for logs; "none" without any.
std::string listKeys(const std::vector<std::string> &Keys);

/// Runs one entry host on the serving path until it is told to stop.
std::variant<exit_code, settings_error>
runServingHost(const serving_host_settings &Settings, const std::string &File);

} // namespace jasminecroft
