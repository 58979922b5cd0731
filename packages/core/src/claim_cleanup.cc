// Passes over all claim records that list, read and delete, with one call in
// flight at a time.
#include "jasminecroft/core/detail/claim_cleanup.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {
constexpr std::string_view Task = "claim-cleanup";
} // namespace

void claim_cleanup::configure(const fleet_config &Config) {
  if (!Retention)
    NextCallAt = Context.now() + CleanupPause;
  Retention = std::chrono::seconds(
      settingValue(Config, setting_key::ClaimRetentionSeconds, {}));
}

void claim_cleanup::onWakeup() {
  if (!Retention || Call || NextCallAt > Context.now())
    return;
  NextCallAt = Context.now() + CleanupPause;
  if (!Gateway.away() && Members.isTopRankedInFleet(Task, 1))
    issueNextCall();
}

std::optional<core_time> claim_cleanup::nextWakeup() const {
  if (!Retention || Call)
    return std::nullopt;
  return NextCallAt;
}

void claim_cleanup::issueNextCall() {
  platform_operation Operation =
      list_objects{std::string(ClaimKeyPrefix), Cursor, CleanupListLimit};
  if (!PendingKeys.empty() && DeleteVersion)
    Operation = delete_object{PendingKeys.front(), *DeleteVersion};
  else if (!PendingKeys.empty())
    Operation = get_object{PendingKeys.front()};
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
    // The effect of the call is unknown; the same key is read again later.
    DeleteVersion.reset();
    NextCallAt = Context.now() + CleanupPause;
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
  DeleteVersion.reset();
  PendingKeys.pop_front();
  issueNextCall();
}

void claim_cleanup::onListed(const objects_listed &Listed) {
  if (Listed.Objects.empty()) {
    Cursor = object_key();
    NextCallAt = Context.now() + CleanupPause;
    return;
  }
  for (const listed_object &Object : Listed.Objects)
    PendingKeys.push_back(Object.Key);
  Cursor = PendingKeys.back();
  issueNextCall();
}

void claim_cleanup::onRead(const object_found &Found) {
  const claim_record *Record = std::get_if<claim_record>(&Found.Value);
  if (Record && isExpired(*Record))
    DeleteVersion = Found.Version;
  else
    PendingKeys.pop_front();
  issueNextCall();
}

// Claims without a final outcome never expire: without their record, another
// call with the same key could run.
bool claim_cleanup::isExpired(const claim_record &Record) const {
  if (Record.State == claim_state::Claimed)
    return false;
  return std::max(Record.ClaimedAt, Record.Deadline) + *Retention <
         Context.wallNow();
}

} // namespace jasminecroft::detail
