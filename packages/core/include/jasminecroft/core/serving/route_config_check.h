// Checks of a configuration of the operator before it is put in force, and the
// differences of two versions. Pure functions.
#pragma once

#include "jasminecroft/core/serving/route_config.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminecroft {

struct declared_workspace {
  workspace_id Name;
  std::optional<std::uint32_t> Priority;
  std::vector<workspace_key> Keys;
};

/// A configuration with what its operator wrote and route_config has no place
/// for, such as a second entry of the same name.
struct declared_config {
  route_config Config;
  /// In the order of the text.
  std::vector<pool_id> Pools;
  std::vector<declared_workspace> Workspaces;
};

enum class finding_kind {
  // Faults.
  RouteWithoutPool,
  UnknownPool,
  UnknownStage,
  StageCycle,
  StageWithoutBatches,
  NoAttempts,
  NoTimeout,
  AllWeightsZero,
  NoCapacity,
  PriorityOutOfRange,
  KeyOfTwoWorkspaces,
  EmptyKey,
  /// It cannot be told to a backend server: its requests are refused.
  UnusableWorkspaceName,
  // Entries that can never match.
  HiddenRoute,
  PrefixNeverMatches,
  HostnameNeverMatches,
  ShareNeverChosen,
  HiddenPool,
  UnusedPool,
  HiddenWorkspace,
  WorkspaceWithoutKeys,
  // Limits that contradict each other.
  GoalAboveTimeout,
  HeaderLimitAboveBodyLimit,
  IdleTimeoutBelowHeaderTimeout,
  ResultAboveCapacity,
};

enum class finding_class { Fault, NeverMatches, Contradiction };
finding_class classOf(finding_kind Kind);
std::string_view toText(finding_class Class);
/// Returns the stable name of a kind, such as "unknown_pool".
std::string_view toText(finding_kind Kind);

struct config_finding {
  finding_kind Kind = finding_kind::UnknownPool;
  /// The entry, such as "route read, stage 1".
  std::string Where;
  /// Values that explain it; empty if Kind says all.
  std::string Detail;
  bool operator==(const config_finding &) const = default;
};

/// The least urgent priority.
inline constexpr std::uint32_t MaxPriority = 9;

/// Returns the findings in the order of the configuration; empty: it can be put
/// in force.
std::vector<config_finding> checkConfig(const declared_config &Declared);

/// Names a key without telling it.
std::string maskKey(const workspace_key &Key);

struct config_change {
  /// The entry and the field of it, such as "route read, timeout_ms".
  std::string Where;
  /// Absent if the entry is new, or is not there any more.
  std::optional<std::string> Before;
  std::optional<std::string> After;
  bool operator==(const config_change &) const = default;
};

/// Returns what differs, by route, pool, limits, workspace and key, ordered by
/// kind of entry and name. Keys are masked.
std::vector<config_change> compareConfigs(const declared_config &Before,
                                          const declared_config &After);

} // namespace jasminecroft
