// Merges the platform's list with the outcomes of calls.
#include "jasminecroft/core/serving/backend_directory.h"

#include <algorithm>
#include <utility>

namespace jasminecroft {

namespace {

/// Time during which an unlisted server is used if its pool has no other one;
/// well below the time for which servers that shut down keep serving (2 s).
constexpr core_duration UnlistedGrace = std::chrono::milliseconds(900);
/// Retention of unlisted entries, so that late updates still find them.
constexpr core_duration UnlistedRetention = std::chrono::seconds(60);
/// Backoff after the first failed call; doubles with each further failure.
constexpr core_duration FirstBackoff = std::chrono::milliseconds(400);
/// Maximum backoff, about the length of a short server outage.
constexpr core_duration MaxBackoff = std::chrono::seconds(3);
/// Weight of the latest call in the moving average of call times.
constexpr double CallTimeGain = 0.2;
constexpr std::uint32_t MaxDoublings = 3;

} // namespace

void backend_directory::update(const backend_entry &Entry) {
  UsableByPool.clear();
  auto Found = Servers.find(Entry.Id);
  if (Entry.Draining)
    LeavingRuns.insert({Entry.Id, Entry.Run});
  if (Found == Servers.end()) {
    backend_state &Added = Servers[Entry.Id];
    Added.Entry = Entry;
    Added.ChangedAt = Entry.Revision;
    return;
  }
  backend_state &State = Found->second;
  bool Removed = State.UnlistedSince && Entry.Revision < State.ChangedAt;
  if (Entry.Revision < State.Entry.Revision || Removed)
    return;
  if (State.Entry.Run != Entry.Run) {
    std::uint32_t InFlight = State.InFlight;
    State = backend_state{};
    State.InFlight = InFlight;
  }
  State.Entry = Entry;
  State.ChangedAt = std::max(State.ChangedAt, Entry.Revision);
  State.UnlistedSince.reset();
  State.MissingSince.reset();
  State.Returned.reset();
}

std::set<endpoint> backend_directory::listedAddresses() const {
  std::set<endpoint> Addresses;
  for (const std::pair<const backend_id, backend_state> &Server : Servers)
    if (!Server.second.UnlistedSince)
      Addresses.insert(Server.second.Entry.Address);
  return Addresses;
}

void backend_directory::remove(const backend_id &Id, object_version Revision,
                               core_time Now) {
  auto Found = Servers.find(Id);
  if (Found == Servers.end() || Revision < Found->second.Entry.Revision)
    return;
  backend_state &State = Found->second;
  if (State.Returned && State.Returned->first.Revision <= Revision)
    State.Returned.reset();
  if (State.UnlistedSince)
    return;
  UsableByPool.clear();
  State.UnlistedSince = Now;
  State.MissingSince.reset();
  State.ChangedAt = Revision;
}

void backend_directory::setRemovedBy(const backend_id &Id,
                                     object_version Revision) {
  backend_state *State = find(Id);
  if (State && State->UnlistedSince)
    State->ChangedAt = std::max(State->ChangedAt, Revision);
}

void backend_directory::replaceAll(const std::vector<backend_entry> &Entries,
                                   object_version Revision, core_time Now) {
  bool IsNewEra = ErasedUpTo.Era < Revision.Era;
  ErasedUpTo = std::max(ErasedUpTo, object_version(Revision.Era, 0));
  std::set<backend_id> Listed;
  for (const backend_entry &Entry : Entries) {
    Listed.insert(Entry.Id);
    backend_state *Known = find(Entry.Id);
    bool Waits = Known && Known->Returned &&
                 Known->Returned->first.Revision == Entry.Revision;
    if (!Waits && !mayBeCopied(Entry)) {
      update(Entry);
    } else if (IsNewEra || !Known->Returned) {
      Known->Returned = {Entry, Now};
      scheduleSettling(Now + ReturnTime);
    }
  }
  for (std::pair<const backend_id, backend_state> &Server : Servers) {
    backend_state &State = Server.second;
    // Listed if the entry may be a copy of another run's.
    bool IsUnread = State.Entry.Revision.Era < Revision.Era;
    if (IsUnread && !State.UnlistedSince) {
      if (IsNewEra || !State.MissingSince)
        State.MissingSince = Now;
      scheduleSettling(*State.MissingSince + RewriteTime);
    } else if (!Listed.contains(Server.first)) {
      remove(Server.first, Revision, Now);
    }
  }
}

// The numbers of two eras are the same up to the copy: an entry with a higher
// number than the last one known was written after the copy.
bool backend_directory::mayBeCopied(const backend_entry &Entry) const {
  const backend_state *State = find(Entry.Id);
  return State && (State->UnlistedSince || State->Entry.Run != Entry.Run) &&
         State->ChangedAt.Era < Entry.Revision.Era &&
         Entry.Revision.Value <= State->Entry.Revision.Value;
}

void backend_directory::scheduleSettling(core_time At) {
  SettleAt = SettleAt ? std::min(*SettleAt, At) : At;
}

void backend_directory::settleCopied(core_time Now) {
  if (!SettleAt || Now < *SettleAt)
    return;
  SettleAt.reset();
  UsableByPool.clear();
  for (std::pair<const backend_id, backend_state> &Server : Servers) {
    backend_state &State = Server.second;
    if (State.MissingSince && Now < *State.MissingSince + RewriteTime) {
      scheduleSettling(*State.MissingSince + RewriteTime);
    } else if (State.MissingSince) {
      State.UnlistedSince = std::exchange(State.MissingSince, std::nullopt);
      State.ChangedAt = {ErasedUpTo.Era, 0};
    }
    if (State.Returned && Now < State.Returned->second + ReturnTime)
      scheduleSettling(State.Returned->second + ReturnTime);
    else if (State.Returned)
      update(backend_entry(State.Returned->first));
  }
}

backend_changes backend_directory::changesSince(object_version Since) const {
  backend_changes Changes;
  Changes.Complete = Since < ErasedUpTo || Since == object_version();
  for (const std::pair<const backend_id, backend_state> &Server : Servers) {
    const backend_state &State = Server.second;
    if (!Changes.Complete && State.ChangedAt <= Since)
      continue;
    // Receivers decide by themselves on what a copy lacked or brought back.
    if (State.Returned)
      Changes.Listed.push_back(State.Returned->first);
    else if (State.MissingSince)
      continue;
    else if (!State.UnlistedSince)
      Changes.Listed.push_back(State.Entry);
    else if (!Changes.Complete)
      Changes.Unlisted.emplace_back(Server.first, State.ChangedAt);
  }
  return Changes;
}

void backend_directory::markLeaving(const backend_id &Id) {
  if (const backend_state *State = find(Id))
    markLeaving(Id, State->Entry.Run);
}

bool backend_directory::markLeaving(const backend_id &Id, incarnation Run) {
  UsableByPool.clear();
  return LeavingRuns.insert({Id, Run}).second;
}

void backend_directory::evictUnlisted(core_time Now) {
  for (auto It = Servers.begin(); It != Servers.end();) {
    const backend_state &State = It->second;
    bool Old =
        State.UnlistedSince && Now - *State.UnlistedSince > UnlistedRetention;
    if (!Old || State.Returned || State.InFlight != 0) {
      ++It;
      continue;
    }
    UsableByPool.clear();
    ErasedUpTo = std::max(ErasedUpTo, State.ChangedAt);
    It = Servers.erase(It);
  }
}

backend_state *backend_directory::find(const backend_id &Id) {
  auto Found = Servers.find(Id);
  return Found == Servers.end() ? nullptr : &Found->second;
}

const backend_state *backend_directory::find(const backend_id &Id) const {
  auto Found = Servers.find(Id);
  return Found == Servers.end() ? nullptr : &Found->second;
}

bool backend_directory::isPresentRun(const backend_id &Id,
                                     incarnation Run) const {
  const backend_state *State = find(Id);
  return !State || State->Entry.Run == Run;
}

const backend_state *
backend_directory::findByAddress(const endpoint &Address) const {
  const backend_state *Best = nullptr;
  for (const std::pair<const backend_id, backend_state> &Server : Servers) {
    const backend_state &State = Server.second;
    if (State.Entry.Address != Address)
      continue;
    if (!Best || Best->Entry.Revision < State.Entry.Revision)
      Best = &State;
  }
  return Best;
}

bool backend_directory::isLeaving(const backend_id &Id) const {
  const backend_state *State = find(Id);
  return !State || State->Entry.Draining ||
         LeavingRuns.contains({Id, State->Entry.Run});
}

std::vector<backend_state *> backend_directory::usable(const pool_id &Pool,
                                                       core_time Now) {
  auto Known = UsableByPool.find(Pool);
  if (Known != UsableByPool.end())
    return Known->second;
  std::vector<backend_state *> Listed;
  std::vector<backend_state *> RecentlyUnlisted;
  for (std::pair<const backend_id, backend_state> &Server : Servers) {
    backend_state &State = Server.second;
    if (State.Entry.Pool != Pool || isLeaving(Server.first))
      continue;
    if (!State.UnlistedSince)
      Listed.push_back(&State);
    else if (Now - *State.UnlistedSince < UnlistedGrace)
      RecentlyUnlisted.push_back(&State);
  }
  if (Listed.empty())
    return RecentlyUnlisted;
  UsableByPool.emplace(Pool, Listed);
  return Listed;
}

bool backend_directory::pause(const backend_entry &Server, core_time Until,
                              core_time Now) {
  backend_state *State = find(Server.Id);
  if (!State || State->Entry.Run != Server.Run || Until <= Now ||
      Until <= State->PausedUntil)
    return false;
  bool Began = State->PausedUntil <= Now;
  State->PausedUntil = Until;
  LastPauseEnd = std::max(LastPauseEnd, Until);
  return Began;
}

void backend_directory::onCallStarted(const backend_id &Id) {
  if (backend_state *State = find(Id))
    ++State->InFlight;
}

void backend_directory::onCallSucceeded(const backend_id &Id, double Micros) {
  backend_state *State = find(Id);
  if (!State)
    return;
  State->Failures = 0;
  State->AvoidUntil = core_time{};
  if (Micros > 0)
    State->CallMicros += (State->CallMicros == 0 ? 1 : CallTimeGain) *
                         (Micros - State->CallMicros);
}

void backend_directory::onCallEnded(const backend_id &Id) {
  backend_state *State = find(Id);
  if (State && State->InFlight > 0)
    --State->InFlight;
}

void backend_directory::onCallFailed(const backend_id &Id, core_time Now) {
  backend_state *State = find(Id);
  if (!State)
    return;
  std::uint32_t Doublings = std::min(State->Failures, MaxDoublings);
  core_duration Pause = std::min(FirstBackoff * (1 << Doublings), MaxBackoff);
  ++State->Failures;
  State->AvoidUntil = Now + Pause;
}

void backend_directory::onLoad(const backend_id &Id, const backend_load &Load,
                               core_time Now) {
  if (backend_state *State = find(Id)) {
    State->Load = Load;
    State->LoadAt = Now;
  }
}

} // namespace jasminecroft
