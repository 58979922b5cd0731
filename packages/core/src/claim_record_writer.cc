// Writes final claim records; reads a record back after a lost answer and
// writes it again if necessary.
#include "jasminecroft/core/detail/claim_record_writer.h"

#include <algorithm>

namespace jasminecroft::detail {

void claim_record_writer::write(const claim_record &Record,
                                const std::optional<object_version> &Version) {
  pending_write &Write = PendingWrites[Record.Attempt];
  Write.Key = keyOf(Record);
  ByKey.emplace(Write.Key, Record.Attempt);
  Write.Record = Record;
  if (Store.unavailable())
    retryLater(Write);
  else if (Version)
    replace(Write, *Version);
  else
    create(Write);
}

const claim_record *claim_record_writer::pending(const object_key &Key,
                                                 attempt_id Attempt) const {
  auto Found = PendingWrites.find(Attempt);
  if (Found == PendingWrites.end() || Found->second.Key != Key)
    return nullptr;
  return &Found->second.Record;
}

const claim_record *
claim_record_writer::pendingExecution(const object_key &Key) const {
  auto Found = ByKey.lower_bound(Key);
  while (Found != ByKey.end() && Found->first == Key) {
    const claim_record &Record = PendingWrites.at(Found->second).Record;
    if (Record.State != claim_state::NotRun)
      return &Record;
    ++Found;
  }
  return nullptr;
}

void claim_record_writer::create(pending_write &Write) {
  Write.RetryAt.reset();
  claim_call_id Call = Store.create(*this, Write.Record);
  Calls.emplace(Call, Write.Record.Attempt);
}

void claim_record_writer::replace(pending_write &Write,
                                  object_version Expected) {
  Write.RetryAt.reset();
  claim_call_id Call = Store.replace(*this, Write.Record, Expected);
  Calls.emplace(Call, Write.Record.Attempt);
}

void claim_record_writer::read(pending_write &Write) {
  Write.RetryAt.reset();
  claim_call_id Call = Store.read(*this, Write.Key);
  Calls.emplace(Call, Write.Record.Attempt);
}

void claim_record_writer::retryLater(pending_write &Write) {
  Write.RetryAt = Context.now() + Store.backoff();
}

void claim_record_writer::onClaimResult(claim_call_id Call,
                                        const claim_store_result &Result) {
  auto Pending = Calls.find(Call);
  if (Pending == Calls.end())
    return;
  attempt_id Attempt = Pending->second;
  Calls.erase(Pending);
  auto Entry = PendingWrites.find(Attempt);
  if (Entry == PendingWrites.end())
    return;
  if (std::holds_alternative<claim_stored>(Result))
    finish(Entry);
  else if (const claim_found *Found = std::get_if<claim_found>(&Result))
    onFound(Entry, *Found);
  else if (std::holds_alternative<claim_absent>(Result))
    create(Entry->second);
  else if (std::holds_alternative<claim_conflict>(Result))
    read(Entry->second);
  else
    retryLater(Entry->second);
}

void claim_record_writer::onFound(pending_write_map::iterator Entry,
                                  const claim_found &Found) {
  const claim_record &Desired = Entry->second.Record;
  bool Own = Found.Record.Holder == Desired.Holder &&
             Found.Record.Attempt == Desired.Attempt;
  if (Own && Found.Record.State == Desired.State) {
    finish(Entry);
    return;
  }
  if (Own) {
    replace(Entry->second, Found.Version);
    return;
  }
  if (Desired.State != claim_state::NotRun) {
    dropReplaced(Entry);
    return;
  }
  if (Found.Record.State != claim_state::NotRun) {
    finish(Entry);
    return;
  }
  // This attempt's own replacement of the other released record may still be
  // in flight; replacing that record now makes the late write fail. The higher
  // call number is kept, so that the guarantee of the other record still holds.
  std::optional<std::uint32_t> &Number = Entry->second.Record.CallNumber;
  Number = std::max(Number, Found.Record.CallNumber);
  replace(Entry->second, Found.Version);
}

void claim_record_writer::finish(pending_write_map::iterator Entry) {
  bool Released = Entry->second.Record.State == claim_state::NotRun;
  Context.log(Released ? event_number::ClaimReleased
                       : event_number::ClaimOutcomeRecorded,
              event_severity::Info,
              Released ? "claim released"
                       : "outcome of a claimed call recorded",
              {{"claim", Entry->second.Key.Value}});
  remove(Entry);
}

void claim_record_writer::dropReplaced(pending_write_map::iterator Entry) {
  Context.log(
      event_number::ClaimDuplicate, event_severity::Error,
      "claim record of a dispatched call was replaced by another attempt",
      {{"claim", Entry->second.Key.Value}});
  remove(Entry);
}

void claim_record_writer::remove(pending_write_map::iterator Entry) {
  auto Found = ByKey.find(Entry->second.Key);
  while (Found->second != Entry->first)
    ++Found;
  ByKey.erase(Found);
  PendingWrites.erase(Entry);
}

void claim_record_writer::onWakeup() {
  std::size_t InFlight = Calls.size();
  for (std::pair<const attempt_id, pending_write> &Entry : PendingWrites) {
    if (InFlight >= MaxConcurrentWriteRetries)
      return;
    if (!Entry.second.RetryAt || *Entry.second.RetryAt > Context.now())
      continue;
    read(Entry.second);
    ++InFlight;
  }
}

std::optional<core_time> claim_record_writer::nextWakeup() const {
  // At the limit, retries continue at the wakeup after the next result.
  if (Calls.size() >= MaxConcurrentWriteRetries)
    return std::nullopt;
  std::optional<core_time> Next;
  for (const std::pair<const attempt_id, pending_write> &Entry : PendingWrites)
    if (Entry.second.RetryAt && (!Next || *Entry.second.RetryAt < *Next))
      Next = Entry.second.RetryAt;
  return Next;
}

} // namespace jasminecroft::detail
