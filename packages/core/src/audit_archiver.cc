// Writes change records to audit objects, one call at a time.
#include "jasminecroft/core/detail/audit_archiver.h"

namespace jasminecroft::detail {

namespace {
constexpr std::string_view Task = "audit";
/// Archiving is not urgent: the calls that put a change in force go first.
constexpr core_duration MinDelay = std::chrono::seconds(1);
constexpr std::uint64_t DelayJitterUs = 1'500'000;
} // namespace

void audit_archiver::onConfig(const fleet_config &Config) {
  if (!Members.isTopRankedInFleet(Task, HostsPerTask))
    return;
  for (const change_record &Record : Config.Changes) {
    if (Record.Result <= QueuedThrough)
      continue;
    QueuedThrough = Record.Result;
    Queue.push_back(Record);
  }
  if (Queue.empty() || Call || RetryAt)
    return;
  RetryAt = Context.now() + MinDelay +
            core_duration(
                static_cast<std::int64_t>(Context.randomBelow(DelayJitterUs)));
}

void audit_archiver::archiveNext() {
  if (Call || RetryAt || Queue.empty())
    return;
  const change_record &Record = Queue.front();
  Call = Gateway.call(
      *this, call_purpose::Audit,
      create_object{auditKey(Record.Result), archived_change{Record}});
}

void audit_archiver::onPlatformResult(platform_call_id Completed,
                                      const platform_result &Result) {
  if (Call != Completed)
    return;
  Call.reset();
  bool Archived = std::holds_alternative<object_written>(Result) ||
                  std::holds_alternative<version_conflict>(Result);
  if (!Archived) {
    RetryAt = Context.now() + Gateway.backoff(call_purpose::Audit);
    return;
  }
  Queue.pop_front();
  archiveNext();
}

void audit_archiver::onWakeup() {
  if (!RetryAt || *RetryAt > Context.now())
    return;
  RetryAt.reset();
  archiveNext();
}

} // namespace jasminecroft::detail
