// What the supervisor starts, watches and restarts.
#pragma once

#include <optional>
#include <string_view>

namespace jasminecroft {

enum class part_kind { Front, Backends, Platform, Peers };

/// Why a part cannot go on.
enum class part_problem {
  AddressInUse,
  /// The address is not one of this host's, or may not be used.
  AddressRefused,
  /// The peers' certificate files cannot be read or used.
  TlsFilesRefused,
  ListenerBroken,
  OutOfResources,
};

struct part_failure {
  part_kind Part = part_kind::Front;
  part_problem Problem = part_problem::ListenerBroken;
};

std::string_view toText(part_kind Part);
std::string_view toText(part_problem Problem);

/// Hears of failures after a successful start.
class failure_listener {
public:
  virtual ~failure_listener() = default;
  virtual void onPartFailed(part_failure Failure) = 0;
};

/// A child in the supervisor tree.
class supervised_part {
public:
  virtual ~supervised_part() = default;
  virtual std::optional<part_failure> start() = 0;
  /// Drops all work; start may follow.
  virtual void stop() = 0;
};

} // namespace jasminecroft
