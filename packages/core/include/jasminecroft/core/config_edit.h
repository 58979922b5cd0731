// Pure functions on the fleet configuration: applying and replaying changes,
// validation, and differences and digests of configurations.
#pragma once

#include "jasminecroft/core/config.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminecroft {

enum class edit_problem {
  /// A change without differences.
  NothingChanged,
  /// A change, exception, pipeline, stage, pool or workspace without a name.
  EmptyName,
  MissingReason,
  MissingAuthor,
  MissingReviewDate,
  /// The review date is not after the date of the exception.
  ReviewDateInPast,
  /// A setting's value is outside its range.
  ValueOutOfRange,
  DuplicateException,
  UnknownException,
  /// An exception's scope names something that the configuration does not
  /// contain, or that a change removes.
  UnknownScope,
  EmptyPipeline,
  DuplicateStage,
  /// A stage names a pool that does not exist.
  UnknownPool,
  /// A pool to be removed is still named by a stage.
  PoolInUse,
  DuplicateWorkspace,
  UnknownWorkspace,
  /// The previous value stated by a difference is not the current value.
  BeforeMismatch,
  /// The key of a map entry and the name inside its value differ.
  NameMismatch,
  /// A text or a list exceeds its maximum size.
  TooLarge,
  /// A replayed record is not based on the current version.
  VersionGap,
};

/// Returns the stable name of a problem, such as "unknown_pool".
std::string_view toText(edit_problem Problem);

/// A problem and its location, a path such as "pipelines.check.stages.a".
struct edit_error {
  edit_problem Problem = edit_problem::NothingChanged;
  std::string Where;
  bool operator==(const edit_error &) const = default;
};

/// A change as requested by an operator.
struct change_request {
  change_id Id;
  operator_name Author;
  std::string Reason;
  wall_time MadeAt;
  std::vector<config_difference> Differences;
  bool operator==(const change_request &) const = default;
};

/// The configuration after a change.
struct edited_config {
  fleet_config Config;
  /// Oldest records, evicted beyond MaxChangesInConfig; to be archived.
  std::vector<change_record> Archived;
  bool operator==(const edited_config &) const = default;
};

inline constexpr std::size_t MaxNameBytes = 200;
inline constexpr std::size_t MaxReasonBytes = 1'000;
inline constexpr std::size_t MaxDifferencesPerChange = 5'000;
inline constexpr std::size_t MaxExceptions = 2'000;
inline constexpr std::size_t MaxStagesPerPipeline = 32;

/// Applies a change, validates the result and returns it with the next version
/// and the change's record appended. The record holds the differences as
/// applied (exceptions with their Since).
std::variant<edited_config, edit_error>
applyChange(const fleet_config &Config, const change_request &Change);

/// Applies a record made by applyChange to its base version. Returns exactly
/// the configuration that applyChange returned.
std::variant<edited_config, edit_error>
replayChange(const fleet_config &Config, const change_record &Record);

/// Validates a whole configuration and returns the first error, if any.
std::optional<edit_error> validate(const fleet_config &Config);

/// Returns the differences that turn Before into After, in an order that
/// applyChange accepts. Versions, Since fields and change records are not
/// compared.
std::vector<config_difference> difference(const fleet_config &Before,
                                          const fleet_config &After);

/// Returns the XXH3 hash of a configuration; the same on every host. Of the
/// differences in change records, only their number is hashed.
std::uint64_t configDigest(const fleet_config &Config);

} // namespace jasminecroft
