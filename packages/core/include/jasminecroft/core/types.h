// Strong types for identifiers, versions, time and estimated work.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace jasminecroft {

/// A textual identifier; Tag makes each kind of identifier a distinct type.
template <typename Tag> struct strong_text {
  std::string Value;

  strong_text() = default;
  explicit strong_text(std::string Text) : Value(std::move(Text)) {}
  bool empty() const { return Value.empty(); }
  std::strong_ordering operator<=>(const strong_text &) const = default;
};

/// A numeric identifier or version; Tag makes each kind a distinct type.
template <typename Tag> struct strong_number {
  std::uint64_t Value = 0;

  strong_number() = default;
  constexpr explicit strong_number(std::uint64_t Number) : Value(Number) {}
  strong_number next() const { return strong_number(Value + 1); }
  std::strong_ordering operator<=>(const strong_number &) const = default;
};

using fleet_id = strong_text<struct fleet_tag>;
using entry_host_id = strong_text<struct entry_host_tag>;
using zone_id = strong_text<struct zone_tag>;
using region_id = strong_text<struct region_tag>;
using workspace_id = strong_text<struct workspace_tag>;
using backend_id = strong_text<struct backend_tag>;
using pool_id = strong_text<struct pool_tag>;
using pipeline_id = strong_text<struct pipeline_tag>;
using stage_id = strong_text<struct stage_tag>;
using idempotency_key = strong_text<struct idempotency_key_tag>;
using change_id = strong_text<struct change_tag>;
using exception_id = strong_text<struct exception_tag>;
using operator_name = strong_text<struct operator_tag>;
/// Key of an object in the platform's object API, such as "config/fleet".
using object_key = strong_text<struct object_key_tag>;
/// "IP:port" as written in settings and in the platform's host list.
using endpoint = strong_text<struct endpoint_tag>;

/// Identifies a request; unique within one run of an entry host.
using request_id = strong_number<struct request_tag>;
/// Identifies one attempt at a stage; unique within one run of an entry host.
using attempt_id = strong_number<struct attempt_tag>;
using platform_call_id = strong_number<struct platform_call_tag>;
using status_query_id = strong_number<struct status_query_tag>;
/// Distinguishes runs of the same host; a later run has a higher number.
using incarnation = strong_number<struct incarnation_tag>;
/// Version of the fleet configuration; grows by one with each change.
using config_version = strong_number<struct config_version_tag>;
/// Counts how often the platform's store came back from an older copy; zero if
/// it does not say.
using store_era = strong_number<struct store_era_tag>;
/// Version that the platform assigns to a stored object. A store that comes
/// back from a copy gives numbers out again, so that any version of a later era
/// is the newer one.
struct object_version {
  store_era Era;
  std::uint64_t Value = 0;

  object_version() = default;
  constexpr explicit object_version(std::uint64_t Number) : Value(Number) {}
  constexpr object_version(store_era Era, std::uint64_t Number)
      : Era(Era), Value(Number) {}
  object_version next() const { return {Era, Value + 1}; }
  std::strong_ordering operator<=>(const object_version &) const = default;
};
/// XXH3 hash of a request's pipeline, workspace and body.
using fingerprint = strong_number<struct fingerprint_tag>;

/// Monotonic clock of the core, in microseconds. Only the shell reads it.
struct core_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<core_clock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard
};
using core_duration = core_clock::duration;
using core_time = core_clock::time_point;

/// Milliseconds since the Unix epoch (UTC), for records that outlive a process.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/// Estimated work of a stage call, in milliseconds of one slot of a backend
/// server that runs at normal speed.
struct work_units {
  double Value = 0;
  std::partial_ordering operator<=>(const work_units &) const = default;
};

} // namespace jasminecroft

template <typename Tag> struct std::hash<jasminecroft::strong_text<Tag>> {
  std::size_t operator()(const jasminecroft::strong_text<Tag> &Id) const {
    return std::hash<std::string>()(Id.Value);
  }
};

template <typename Tag> struct std::hash<jasminecroft::strong_number<Tag>> {
  std::size_t operator()(const jasminecroft::strong_number<Tag> &Id) const {
    return std::hash<std::uint64_t>()(Id.Value);
  }
};
