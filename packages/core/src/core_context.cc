// State shared by the components of a core.
#include "jasminecroft/core/detail/core_context.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {
constexpr std::size_t MaxRecentEvents = 256;
} // namespace

core_context::core_context(const core_settings &Settings)
    : Settings(Settings), Generator(Settings.Seed) {}

wall_time core_context::wallNow() const {
  return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.time_since_epoch() + WallOffset));
}

void core_context::begin(core_time EventTime) {
  Now = std::max(Now, EventTime);
}

void core_context::observeWallClock(wall_time Wall) {
  WallOffset = Wall.time_since_epoch() - Now.time_since_epoch();
}

void core_context::send(const entry_host_id &Host, const endpoint &Address,
                        peer_body Body) {
  peer_message Message{Settings.Fleet, Settings.Self, std::move(Body)};
  emit(send_to_peer{Host, Address, std::move(Message)});
}

void core_context::log(event_number Number, event_severity Severity,
                       std::string_view Message,
                       std::vector<event_field> Fields) {
  event_record Record{Number, Severity, Message, std::move(Fields)};
  RecentEvents.push_back({Now, Record});
  if (RecentEvents.size() > MaxRecentEvents)
    RecentEvents.pop_front();
  emit(log_event{std::move(Record)});
}

action_list core_context::takeActions() {
  action_list Taken;
  Taken.swap(Out);
  return Taken;
}

std::uint64_t core_context::randomBelow(std::uint64_t Limit) {
  return random() % Limit;
}

decisions_status core_context::recentDecisions() const {
  decisions_status Status;
  for (const recent_event &Event : RecentEvents)
    Status.Decisions.push_back({Now - Event.At, Event.Record});
  return Status;
}

} // namespace jasminecroft::detail
