// Merges updates about entry hosts and expires old records.
#include "jasminecroft/core/detail/member_table.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace jasminecroft::detail {

namespace {

constexpr core_duration SuspicionTime = std::chrono::seconds(4);
constexpr core_duration DeadRecordTtl = std::chrono::seconds(600);
constexpr core_duration LeftRecordTtl = std::chrono::seconds(120);
constexpr std::uint32_t RumorRounds = 4;

bool isGone(member_state State) {
  return State == member_state::Dead || State == member_state::Left;
}

bool isExpired(const member_record &Record, core_time Now) {
  if (Record.Listed)
    return false;
  core_duration Age = Now - Record.ChangedAt;
  return (Record.Update.State == member_state::Dead && Age > DeadRecordTtl) ||
         (Record.Update.State == member_state::Left && Age > LeftRecordTtl);
}

} // namespace

bool isNewer(const member_update &Offered, const member_update &Current) {
  bool OfferedLeft = Offered.State == member_state::Left;
  bool CurrentLeft = Current.State == member_state::Left;
  return std::make_tuple(Offered.Run, OfferedLeft, Offered.Refutation,
                         Offered.State) >
         std::make_tuple(Current.Run, CurrentLeft, Current.Refutation,
                         Current.State);
}

std::uint64_t rankScore(const entry_host_id &Host, std::string_view Name) {
  std::uint64_t Seed = XXH3_64bits(Name.data(), Name.size());
  return XXH3_64bits_withSeed(Host.Value.data(), Host.Value.size(), Seed);
}

bool member_table::merge(const member_update &Offered) {
  auto Found = Members.find(Offered.Host);
  if (Found == Members.end()) {
    // Does not add a removed record of a dead or departed host again.
    if (isGone(Offered.State) || Offered.Address.empty())
      return false;
    member_record &Record = Members[Offered.Host];
    Record.Update = Offered;
    Record.Confirmed = true;
    setState(Record, Offered.State);
    markChanged(Record);
    return true;
  }
  member_record &Record = Found->second;
  bool SameRun = Offered.Run == Record.Update.Run;
  if (!isNewer(Offered, Record.Update)) {
    if (SameRun) {
      Record.Confirmed = true;
      raiseConfigVersion(Offered.Host, Offered.Config);
    }
    return false;
  }
  member_update Before = Record.Update;
  Record.Update = Offered;
  if (Offered.Address.empty()) {
    Record.Update.Address = Before.Address;
    Record.Update.Zone = Before.Zone;
    Record.Update.Region = Before.Region;
  }
  if (SameRun)
    Record.Update.Config = std::max(Before.Config, Offered.Config);
  Record.Confirmed = true;
  setState(Record, Offered.State);
  markChanged(Record);
  if (Before.State != Offered.State || !SameRun)
    Context.log(event_number::MemberChanged, event_severity::Info,
                "state of an entry host has changed",
                {{"member", Offered.Host.Value},
                 {"run", std::to_string(Offered.Run.Value)},
                 {"state", std::string(toText(Offered.State))}});
  return true;
}

void member_table::mergeSeed(const member_update &Seed, bool Listed) {
  member_record &Record = Members[Seed.Host];
  Record.Listed = Record.Listed || Listed;
  bool Unknown = Record.Update.Host.empty();
  bool LaterRun = Seed.Run > Record.Update.Run;
  if (Unknown || LaterRun) {
    Record.Update = Seed;
    Record.Confirmed = false;
    Record.Seeded = !Listed;
    setState(Record, Seed.State);
    Record.ChangedAt = Context.now();
    ++Epoch;
    return;
  }
  if (Record.Confirmed)
    return;
  Record.Update.Zone = Seed.Zone;
  Record.Update.Region = Seed.Region;
  Record.Update.Address = Seed.Address;
}

void member_table::beginHostList() {
  for (std::pair<const entry_host_id, member_record> &Entry : Members)
    Entry.second.Listed = false;
}

void member_table::endHostList() {
  std::vector<entry_host_id> Gone;
  for (const std::pair<const entry_host_id, member_record> &Entry : Members)
    if (!Entry.second.Confirmed && !Entry.second.Listed && !Entry.second.Seeded)
      Gone.push_back(Entry.first);
  for (const entry_host_id &Host : Gone)
    remove(Host);
}

void member_table::remove(const entry_host_id &Host) {
  Members.erase(Host);
  Suspects.erase(Host);
  Urgent.erase(Host);
  ++Epoch;
}

void member_table::raiseConfigVersion(const entry_host_id &Host,
                                      config_version Version) {
  member_record *Record = find(Host);
  if (Record && Record->Update.Config < Version)
    Record->Update.Config = Version;
}

void member_table::suspect(const entry_host_id &Host) {
  const member_record *Record = find(Host);
  if (!Record || Record->Update.State != member_state::Alive)
    return;
  member_update Suspected = Record->Update;
  Suspected.State = member_state::Suspect;
  merge(Suspected);
}

void member_table::expire() {
  core_time Now = Context.now();
  std::set<entry_host_id> Before = Suspects;
  for (const entry_host_id &Host : Before) {
    const member_record &Record = Members.at(Host);
    if (*Record.SuspectUntil > Now)
      continue;
    member_update Dead = Record.Update;
    Dead.State = member_state::Dead;
    merge(Dead);
  }
  std::vector<entry_host_id> Old;
  for (const std::pair<const entry_host_id, member_record> &Entry : Members)
    if (isExpired(Entry.second, Now))
      Old.push_back(Entry.first);
  for (const entry_host_id &Host : Old)
    remove(Host);
}

void member_table::restartSuspicionTimers() {
  for (const entry_host_id &Host : Suspects)
    Members.at(Host).SuspectUntil = Context.now() + suspicionTime();
}

const member_record *member_table::find(const entry_host_id &Host) const {
  auto Found = Members.find(Host);
  return Found == Members.end() ? nullptr : &Found->second;
}

member_record *member_table::find(const entry_host_id &Host) {
  auto Found = Members.find(Host);
  return Found == Members.end() ? nullptr : &Found->second;
}

void member_table::onRumorsSent() {
  for (auto It = Urgent.begin(); It != Urgent.end();) {
    member_record &Record = Members.at(*It);
    if (--Record.RoundsLeft > 0)
      ++It;
    else
      It = Urgent.erase(It);
  }
}

std::optional<core_time> member_table::nextExpiry() const {
  std::optional<core_time> Next;
  for (const entry_host_id &Host : Suspects) {
    core_time Until = *Members.at(Host).SuspectUntil;
    if (!Next || Until < *Next)
      Next = Until;
  }
  return Next;
}

void member_table::markChanged(member_record &Record) {
  Record.ChangedAt = Context.now();
  Record.RoundsLeft = RumorRounds;
  Urgent.insert(Record.Update.Host);
  ++Epoch;
}

core_duration member_table::suspicionTime() const { return SuspicionTime; }

void member_table::setState(member_record &Record, member_state State) {
  Record.Update.State = State;
  Record.SuspectUntil.reset();
  Suspects.erase(Record.Update.Host);
  if (State != member_state::Suspect)
    return;
  Record.SuspectUntil = Context.now() + suspicionTime();
  Suspects.insert(Record.Update.Host);
}

} // namespace jasminecroft::detail
