// Settles claims: write, read back when the answer is lost, write again.
#include "jasminecroft/core/detail/claim_record_writer.h"

#include <algorithm>

namespace jasminecroft::detail {

void claim_settler::settle(const claim_record &Record,
                           const std::optional<object_version> &Version) {
  settlement &Settlement = Settlements[Record.Attempt];
  Settlement.Key = keyOf(Record);
  ByKey.emplace(Settlement.Key, Record.Attempt);
  Settlement.Record = Record;
  if (Store.away())
    retryLater(Settlement);
  else if (Version)
    replace(Settlement, *Version);
  else
    create(Settlement);
}

const claim_record *claim_settler::pending(const object_key &Key,
                                           attempt_id Attempt) const {
  auto Found = Settlements.find(Attempt);
  if (Found == Settlements.end() || Found->second.Key != Key)
    return nullptr;
  return &Found->second.Record;
}

const claim_record *claim_settler::pendingRun(const object_key &Key) const {
  auto Found = ByKey.lower_bound(Key);
  while (Found != ByKey.end() && Found->first == Key) {
    const claim_record &Record = Settlements.at(Found->second).Record;
    if (Record.State != claim_state::NotRun)
      return &Record;
    ++Found;
  }
  return nullptr;
}

void claim_settler::create(settlement &Settlement) {
  Settlement.RetryAt.reset();
  claim_call_id Call = Store.create(*this, Settlement.Record);
  Calls.emplace(Call, Settlement.Record.Attempt);
}

void claim_settler::replace(settlement &Settlement, object_version Expected) {
  Settlement.RetryAt.reset();
  claim_call_id Call = Store.replace(*this, Settlement.Record, Expected);
  Calls.emplace(Call, Settlement.Record.Attempt);
}

void claim_settler::read(settlement &Settlement) {
  Settlement.RetryAt.reset();
  claim_call_id Call = Store.read(*this, Settlement.Key);
  Calls.emplace(Call, Settlement.Record.Attempt);
}

void claim_settler::retryLater(settlement &Settlement) {
  Settlement.RetryAt = Context.now() + Store.backoff();
}

void claim_settler::onClaimResult(claim_call_id Call,
                                  const claim_store_result &Result) {
  auto Pending = Calls.find(Call);
  if (Pending == Calls.end())
    return;
  attempt_id Attempt = Pending->second;
  Calls.erase(Pending);
  auto Entry = Settlements.find(Attempt);
  if (Entry == Settlements.end())
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

void claim_settler::onFound(settlement_map::iterator Entry,
                            const claim_found &Found) {
  const claim_record &Wanted = Entry->second.Record;
  bool Own = Found.Record.Holder == Wanted.Holder &&
             Found.Record.Attempt == Wanted.Attempt;
  if (Own && Found.Record.State == Wanted.State) {
    finish(Entry);
    return;
  }
  if (Own) {
    replace(Entry->second, Found.Version);
    return;
  }
  if (Wanted.State != claim_state::NotRun) {
    loseToOther(Entry);
    return;
  }
  if (Found.Record.State != claim_state::NotRun) {
    finish(Entry);
    return;
  }
  // A replacement of another attempt's released record may still be under
  // way; taking that record's place makes it fail. The promise that the other
  // record stands for is kept.
  std::optional<std::uint32_t> &Number = Entry->second.Record.CallNumber;
  Number = std::max(Number, Found.Record.CallNumber);
  replace(Entry->second, Found.Version);
}

void claim_settler::finish(settlement_map::iterator Entry) {
  bool Released = Entry->second.Record.State == claim_state::NotRun;
  Context.log(Released ? event_number::ClaimReleased
                       : event_number::ClaimOutcomeRecorded,
              event_severity::Info,
              Released ? "claim released" : "outcome of a claimed call stored",
              {{"claim", Entry->second.Key.Value}});
  remove(Entry);
}

void claim_settler::loseToOther(settlement_map::iterator Entry) {
  Context.log(event_number::ClaimDuplicate, event_severity::Error,
              "record of a dispatched claim was replaced by another attempt",
              {{"claim", Entry->second.Key.Value}});
  remove(Entry);
}

void claim_settler::remove(settlement_map::iterator Entry) {
  auto Found = ByKey.find(Entry->second.Key);
  while (Found->second != Entry->first)
    ++Found;
  ByKey.erase(Found);
  Settlements.erase(Entry);
}

void claim_settler::onWakeup() {
  std::size_t InFlight = Calls.size();
  for (std::pair<const attempt_id, settlement> &Entry : Settlements) {
    if (InFlight >= MaxSettlementsRetriedAtOnce)
      return;
    if (!Entry.second.RetryAt || *Entry.second.RetryAt > Context.now())
      continue;
    read(Entry.second);
    ++InFlight;
  }
}

std::optional<core_time> claim_settler::nextWakeup() const {
  // At the limit the next result brings the next wake-up.
  if (Calls.size() >= MaxSettlementsRetriedAtOnce)
    return std::nullopt;
  std::optional<core_time> Next;
  for (const std::pair<const attempt_id, settlement> &Entry : Settlements)
    if (Entry.second.RetryAt && (!Next || *Entry.second.RetryAt < *Next))
      Next = Entry.second.RetryAt;
  return Next;
}

} // namespace jasminecroft::detail
