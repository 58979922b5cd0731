// One pass after another over the claims: list, read, delete, one call at a
// time.
#include "jasminecroft/core/detail/claim_cleanup.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {
constexpr std::string_view Task = "claim-cleanup";
} // namespace

void claim_cleanup::configure(const fleet_config &Config) {
  if (!Retention)
    NextAt = Context.now() + CleanupPause;
  Retention = std::chrono::seconds(
      settingValue(Config, setting_key::ClaimRetentionSeconds, {}));
}

void claim_cleanup::onWakeup() {
  if (!Retention || Call || NextAt > Context.now())
    return;
  NextAt = Context.now() + CleanupPause;
  if (!Gateway.away() && Members.ranksInFleet(Task, 1))
    callNext();
}

std::optional<core_time> claim_cleanup::nextWakeup() const {
  if (!Retention || Call)
    return std::nullopt;
  return NextAt;
}

void claim_cleanup::callNext() {
  platform_operation Operation =
      list_objects{std::string(ClaimKeyPrefix), Cursor, CleanupListLimit};
  if (!Unread.empty() && DeleteAt)
    Operation = delete_object{Unread.front(), *DeleteAt};
  else if (!Unread.empty())
    Operation = get_object{Unread.front()};
  Call = Gateway.call(*this, call_purpose::Cleanup, std::move(Operation));
}

void claim_cleanup::onPlatformResult(platform_call_id Done,
                                     const platform_result &Result) {
  if (Call != Done)
    return;
  Call.reset();
  bool Failed = std::holds_alternative<platform_refused>(Result) ||
                std::holds_alternative<platform_no_answer>(Result);
  if (Failed) {
    // Whatever the call did, reading the same key again shows it.
    DeleteAt.reset();
    NextAt = Context.now() + CleanupPause;
    return;
  }
  if (const objects_listed *Listed = std::get_if<objects_listed>(&Result)) {
    onListed(*Listed);
    return;
  }
  if (const object_found *Found = std::get_if<object_found>(&Result)) {
    onRead(*Found);
    return;
  }
  if (std::holds_alternative<object_written>(Result))
    ++Deleted;
  DeleteAt.reset();
  Unread.pop_front();
  callNext();
}

void claim_cleanup::onListed(const objects_listed &Listed) {
  if (Listed.Objects.empty()) {
    Cursor = object_key();
    NextAt = Context.now() + CleanupPause;
    return;
  }
  for (const listed_object &Object : Listed.Objects)
    Unread.push_back(Object.Key);
  Cursor = Unread.back();
  callNext();
}

void claim_cleanup::onRead(const object_found &Found) {
  const claim_record *Record = std::get_if<claim_record>(&Found.Value);
  if (Record && mayDelete(*Record))
    DeleteAt = Found.Version;
  else
    Unread.pop_front();
  callNext();
}

// Claims whose outcome is open are never deleted: another call could run.
bool claim_cleanup::mayDelete(const claim_record &Record) const {
  if (Record.State == claim_state::Claimed)
    return false;
  return std::max(Record.ClaimedAt, Record.Deadline) + *Retention <
         Context.wallNow();
}

} // namespace jasminecroft::detail
