// Sequences of commands against a virtual fleet, judged by the oracle: asking,
// faults of every kind, operators, planned stops. A sequence and its seed say
// everything, so that a failing one can be shortened and run again.
#pragma once

#include "jasminecroft/testing/fleet_trace.h"
#include "jasminecroft/testing/operator_driver.h"
#include "jasminecroft/testing/oracle.h"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <vector>

namespace jasminecroft::testing {

enum class command_kind {
  Ask,
  AskAgain,
  AskOtherBody,
  CallerGone,
  Wait,
  KillHost,
  FreezeHost,
  FreezeBeforeDispatch,
  StopHost,
  CutZones,
  CutPlatform,
  PlatformFault,
  NetworkFault,
  BackendLeaves,
  BackendDies,
  BackendSlows,
  BackendErrs,
  ChangeConfig,
  RaceOperators,
  EndFaults,
};
inline constexpr std::size_t CommandKindCount = 20;

std::string_view toText(command_kind Kind);

/// One step. What the numbers choose depends on the kind.
struct fuzz_command {
  command_kind Kind = command_kind::Wait;
  std::uint32_t Target = 0;
  std::uint32_t Variant = 0;
  /// Length of a fault or a wait, or the deadline of a request.
  std::uint32_t Milliseconds = 0;
};
std::ostream &operator<<(std::ostream &Out, const fuzz_command &Command);

struct fuzz_case {
  std::uint64_t Seed = 0;
  std::uint32_t Zones = 2;
  std::uint32_t HostsPerZone = 1;
  std::vector<fuzz_command> Commands;
};
std::ostream &operator<<(std::ostream &Out, const fuzz_case &Case);

/// Reads a case in the printed form; a form that is none gives no commands.
fuzz_case readCase(std::istream &In);

/// Draws a case; the same seed and length give the same case.
fuzz_case makeCase(std::uint64_t Seed, std::size_t Length);

/// What one or many cases reached and found.
struct fuzz_report {
  std::uint64_t Cases = 0;
  std::uint64_t Commands = 0;
  std::array<std::uint64_t, CommandKindCount> ByKind{};
  violation_list Violations;
  request_tally Requests;
  oracle_tally Fleet;
  operator_tally Operators;
  platform_counts Platform;
  network_counts Network;
  fleet_counts Counts;

  void add(const fuzz_report &Other);
};
std::ostream &operator<<(std::ostream &Out, const fuzz_report &Report);

/// Runs a case to its end, or to the first violation of a judged promise; the
/// report holds no others. Trace, if given, gets what happens in the fleet.
fuzz_report runCase(const fuzz_case &Case, const promise_set &Judged,
                    std::ostream *Trace = nullptr);

/// The fleet that a case runs on.
fleet_plan makePlan(std::uint32_t Zones, std::uint32_t HostsPerZone);

} // namespace jasminecroft::testing
