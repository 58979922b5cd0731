// State shared by the components of a core: identity, time, attempt numbers,
// random numbers and output.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/core/entry_core.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <random>
#include <string_view>

namespace jasminecroft::detail {

/// Shared by reference among the components of one core. Not thread-safe.
class core_context {
public:
  explicit core_context(const core_settings &Settings);

  const core_settings &settings() const { return Settings; }
  const host_run &self() const { return Settings.Self; }
  core_time now() const { return Now; }
  wall_time wallNow() const;

  /// Begins the processing of an event. now() never decreases, even if
  /// EventTime does.
  void begin(core_time EventTime);
  /// Sets the offset by which wallNow() follows now().
  void observeWallClock(wall_time Wall);

  void emit(action Action) { Out.push_back(std::move(Action)); }
  void send(const entry_host_id &Host, const endpoint &Address, peer_body Body);
  /// Logs a numbered event and adds it to recentDecisions().
  void log(event_number Number, event_severity Severity,
           std::string_view Message, std::vector<event_field> Fields);
  /// Returns the actions emitted since the last call.
  action_list takeActions();

  attempt_id newAttempt() { return LastAttempt = LastAttempt.next(); }
  std::uint64_t random() { return Generator(); }
  /// Returns a random number in [0, Limit); Limit must be at least 1.
  std::uint64_t randomBelow(std::uint64_t Limit);

  /// Returns the last events logged, with their age.
  decisions_status recentDecisions() const;

private:
  struct recent_event {
    core_time At;
    event_record Record;
  };

  core_settings Settings;
  core_time Now{};
  core_duration WallOffset{0};
  attempt_id LastAttempt;
  std::mt19937_64 Generator;
  action_list Out;
  /// At most MaxRecentEvents, newest last.
  std::deque<recent_event> RecentEvents;
};

} // namespace jasminecroft::detail
