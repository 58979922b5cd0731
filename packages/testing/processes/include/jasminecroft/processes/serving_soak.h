// Randomized faults against real entry hosts while callers use them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminecroft::processes {

struct soak_options {
  std::uint64_t Seed = 1;
  std::size_t Hosts = 4;
  std::size_t Callers = 8;
  std::chrono::milliseconds FaultTime{6'000};
};

struct soak_report {
  std::size_t Requests = 0;
  std::size_t Served = 0;
  std::size_t Refused = 0;
  std::size_t Unanswered = 0;
  /// What was done to the fleet, in order.
  std::vector<std::string> Faults;
  /// Promises that were broken; empty if all were kept.
  std::vector<std::string> Broken;
};

/// Signals, proxies and new configurations in series and overlapping; then
/// calm, in which every host has to serve again.
soak_report runSoak(const soak_options &Options);

} // namespace jasminecroft::processes
