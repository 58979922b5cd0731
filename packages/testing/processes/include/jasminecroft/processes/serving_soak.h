// Randomized faults against real entry hosts while callers use them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminecroft::processes {

/// What backend servers do besides running requests.
enum class soak_servers {
  /// They run all.
  Sound,
  /// Refusals, closed connections, cut answers, silence, second copies; every
  /// refusal names its request.
  Troubled,
  /// The same, and half of the refusals name none.
  Unnamed,
  /// As Troubled, and servers name limits and pauses.
  Wishing,
  /// As Troubled, and servers answer with statuses of a refusal what they ran.
  Contradicting,
};

struct soak_options {
  std::uint64_t Seed = 1;
  std::size_t Hosts = 4;
  std::size_t Zones = 1;
  std::size_t Callers = 8;
  std::chrono::milliseconds FaultTime{6'000};
  soak_servers Servers = soak_servers::Sound;
};

struct soak_report {
  std::size_t Requests = 0;
  std::size_t Served = 0;
  std::size_t Refused = 0;
  std::size_t Unanswered = 0;
  /// Requests that may not be repeated; of these, answered with a promise of
  /// 'not run' though they ran, and run more than once.
  std::size_t AtMostOnce = 0;
  std::size_t RefusedAndRan = 0;
  std::size_t RanTwice = 0;
  /// What was done to the fleet, in order.
  std::vector<std::string> Faults;
  /// Promises that were broken; empty if all were kept.
  std::vector<std::string> Broken;
};

/// Signals, proxies and new configurations in series and overlapping; then
/// calm, in which every host has to serve again.
soak_report runSoak(const soak_options &Options);

} // namespace jasminecroft::processes
