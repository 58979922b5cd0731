// What the parts of one core share: identity, time, numbering and output.
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

/// Shared by reference among the parts of one core; single-threaded.
class core_context {
public:
  explicit core_context(const core_settings &Settings);

  const core_settings &settings() const { return Settings; }
  const host_run &self() const { return Settings.Self; }
  core_time now() const { return Now; }
  wall_time wallNow() const;

  /// Starts the handling of an event; Now never decreases.
  void begin(core_time EventTime);
  void observeWallClock(wall_time Wall);

  void emit(action Action) { Out.push_back(std::move(Action)); }
  void send(const entry_host_id &Host, const endpoint &Address, peer_body Body);
  /// Logs a numbered event and keeps it in the list of late decisions.
  void log(event_number Number, event_severity Severity,
           std::string_view Message, std::vector<event_field> Fields);
  action_list takeActions();

  attempt_id newAttempt() { return LastAttempt = LastAttempt.next(); }
  std::uint64_t random() { return Generator(); }
  /// Uniform in [0, Limit); Limit is at least 1.
  std::uint64_t randomBelow(std::uint64_t Limit);

  decisions_status recentDecisions() const;

private:
  struct remembered_event {
    core_time At;
    event_record Record;
  };

  core_settings Settings;
  core_time Now{};
  core_duration WallOffset{0};
  attempt_id LastAttempt;
  std::mt19937_64 Generator;
  action_list Out;
  /// At most MaxRememberedEvents, newest last.
  std::deque<remembered_event> Remembered;
};

} // namespace jasminecroft::detail
