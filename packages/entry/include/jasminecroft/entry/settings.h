// Settings of one entry host, read from a JSON file with comments.
#pragma once

#include "jasminecroft/core/endpoint.h"
#include "jasminecroft/core/entry_core.h"
#include "jasminecroft/core/event_log.h"
#include "jasminecroft/entry/exit_code.h"
#include "jasminecroft/wire/nng_transport.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminecroft {

/// What goes to the log.
struct log_settings {
  event_severity MinimumSeverity = event_severity::Info;
  /// Lines of one event number within one second; the rest are counted.
  std::uint32_t MaxPerSecond = 50;
};

struct daemon_settings {
  fleet_id Fleet;
  entry_host_id Host;
  zone_id Zone;
  region_id Region;
  /// Where callers, operators and the balancer reach this host.
  endpoint Callers;
  /// Where other entry hosts reach this host.
  endpoint Peers;
  endpoint Platform;
  /// Absent: messages between entry hosts travel in plain text.
  std::optional<peer_tls_files> PeerTls;
  std::vector<peer_seed> Seeds;
  /// How long the balancer may still send requests after readiness is gone.
  std::chrono::milliseconds BalancerLag{2'000};
  log_settings Log;
};

enum class settings_problem {
  FileMissing,
  Malformed,
  UnknownKey,
  KeyMissing,
  WrongType,
  InvalidValue,
  AddressInUse,
};

/// What is wrong with the settings, and where.
struct settings_error {
  settings_problem Problem = settings_problem::Malformed;
  /// Path of the key, such as "seeds[1].address"; empty for the whole file.
  std::string Key;
  /// Line in the file, from 1; 0 if no line can be named.
  std::size_t Line = 0;
  /// What is expected there.
  std::string_view Expected;
};

exit_code exitCodeOf(settings_problem Problem);
std::string_view toText(settings_problem Problem);
/// One line for operators: file, line, key and what is expected.
std::string describe(const settings_error &Error, std::string_view File);

using settings_result = std::variant<daemon_settings, settings_error>;

settings_result parseSettings(std::string_view Text);
settings_result readSettings(const std::string &File);
/// The settings in force, defaults included, as JSON.
std::string printSettings(const daemon_settings &Settings);

} // namespace jasminecroft
