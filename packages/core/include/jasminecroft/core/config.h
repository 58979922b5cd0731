// The fleet configuration: defaults, exceptions, and the record of changes.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminecroft {

/// A tunable value with a fleet-wide default and optional exceptions. Every
/// value is an integer in the unit that its name states.
enum class setting_key {
  DeadlineMs,
  MaxBodyBytes,
  WorkspaceWeight,
  WorkspaceMaxInFlight,
  LongWorkMs,
  LongWorkSharePermille,
  HedgeQuantilePermille,
  RetryBudgetPermille,
  MaxAttempts,
  SpillAllowed,
  PoolMaxQueued,
  ClaimRetentionSeconds,
};

/// Name, unit, valid range and built-in default of a setting.
struct setting_description {
  setting_key Key;
  std::string_view Name;
  std::string_view Unit;
  std::int64_t Minimum;
  std::int64_t Maximum;
  std::int64_t Default;
  std::string_view Meaning;
};

/// Returns all settings, in the order of setting_key.
const std::vector<setting_description> &settingDescriptions();
const setting_description &describe(setting_key Key);
std::optional<setting_key> settingFromName(std::string_view Name);

/// One step of a pipeline.
struct stage_definition {
  stage_id Name;
  pool_id Pool;
  /// False for calls that must run at most once.
  bool Repeatable = true;

  bool operator==(const stage_definition &) const = default;
};

/// A named sequence of stages; each stage's output is the next one's input.
struct pipeline_definition {
  pipeline_id Name;
  std::vector<stage_definition> Stages;

  bool operator==(const pipeline_definition &) const = default;
};

enum class pool_kind { ModelEngine, PlainService };

/// A group of interchangeable backend servers.
struct pool_definition {
  pool_id Name;
  pool_kind Kind = pool_kind::PlainService;
  /// Concurrent calls that one backend server executes without queueing.
  std::uint32_t SlotsPerBackend = 1;
  /// True if its backend servers reject requests with an old fencing number.
  bool ChecksFencing = false;

  bool operator==(const pool_definition &) const = default;
};

/// Scope of an exception. Absent members match everything.
struct exception_scope {
  std::optional<workspace_id> Workspace;
  std::optional<pipeline_id> Pipeline;
  std::optional<pool_id> Pool;
  std::optional<zone_id> Zone;

  bool operator==(const exception_scope &) const = default;
};

/// A deviation from the default of a setting, with its reason for later
/// operators.
struct config_exception {
  exception_id Id;
  exception_scope Scope;
  setting_key Key = setting_key::DeadlineMs;
  std::int64_t Value = 0;
  std::string Reason;
  operator_name Author;
  wall_time MadeAt;
  wall_time ReviewBy;
  /// Version of the configuration that added the exception.
  config_version Since;

  bool operator==(const config_exception &) const = default;
};

struct default_set {
  setting_key Key = setting_key::DeadlineMs;
  std::int64_t Before = 0;
  std::int64_t After = 0;
  bool operator==(const default_set &) const = default;
};
struct exception_added {
  config_exception Exception;
  bool operator==(const exception_added &) const = default;
};
struct exception_removed {
  config_exception Exception;
  bool operator==(const exception_removed &) const = default;
};
struct pipeline_set {
  std::optional<pipeline_definition> Before;
  std::optional<pipeline_definition> After;
  bool operator==(const pipeline_set &) const = default;
};
struct pool_set {
  std::optional<pool_definition> Before;
  std::optional<pool_definition> After;
  bool operator==(const pool_set &) const = default;
};
struct workspace_added {
  workspace_id Workspace;
  bool operator==(const workspace_added &) const = default;
};
struct workspace_removed {
  workspace_id Workspace;
  bool operator==(const workspace_removed &) const = default;
};

/// One difference between two versions of the configuration.
using config_difference =
    std::variant<default_set, exception_added, exception_removed, pipeline_set,
                 pool_set, workspace_added, workspace_removed>;

/// An accepted change. The newest records are stored inside the configuration,
/// so that the configuration and its audit trail cannot diverge.
struct change_record {
  change_id Id;
  operator_name Author;
  std::string Reason;
  config_version Base;
  config_version Result;
  wall_time MadeAt;
  std::vector<config_difference> Differences;

  bool operator==(const change_record &) const = default;
};

/// The complete configuration, stored as one object.
struct fleet_config {
  config_version Version;
  fleet_id Fleet;
  /// Default of each setting; a missing key stands for the built-in default.
  std::map<setting_key, std::int64_t> Defaults;
  /// Version at which each default was last set.
  std::map<setting_key, config_version> DefaultsSince;
  std::vector<config_exception> Exceptions;
  std::map<pipeline_id, pipeline_definition> Pipelines;
  std::map<pool_id, pool_definition> Pools;
  std::set<workspace_id> Workspaces;
  /// Newest last; at most MaxChangesInConfig entries.
  std::vector<change_record> Changes;

  bool operator==(const fleet_config &) const = default;
};

inline constexpr std::size_t MaxChangesInConfig = 32;

/// Context in which a setting is resolved.
struct setting_context {
  std::optional<workspace_id> Workspace;
  std::optional<pipeline_id> Pipeline;
  std::optional<pool_id> Pool;
  std::optional<zone_id> Zone;
};

/// The value of a setting in force and its origin.
struct effective_setting {
  setting_key Key = setting_key::DeadlineMs;
  std::int64_t Value = 0;
  /// The exception that set the value; absent for the default.
  std::optional<config_exception> Exception;
  config_version Since;
};

/// Returns the value in force. Of several matching exceptions, the one with the
/// most scope members set wins; a tie goes to the newer one.
effective_setting effectiveSetting(const fleet_config &Config, setting_key Key,
                                   const setting_context &Context);

/// Returns only the value of effectiveSetting.
std::int64_t settingValue(const fleet_config &Config, setting_key Key,
                          const setting_context &Context);

} // namespace jasminecroft
