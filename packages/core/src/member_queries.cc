// Membership queries: live hosts, rankings and delegates.
#include "jasminecroft/core/detail/membership.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

bool isAlive(const member_record &Record) {
  return Record.Update.State == member_state::Alive;
}

struct scored_host {
  std::uint64_t Score = 0;
  entry_host_id Host;
};

std::vector<entry_host_id> highestScored(std::vector<scored_host> &Scored,
                                         std::size_t Count) {
  Count = std::min(Count, Scored.size());
  std::partial_sort(
      Scored.begin(), Scored.begin() + static_cast<std::ptrdiff_t>(Count),
      Scored.end(), [](const scored_host &A, const scored_host &B) {
        if (A.Score != B.Score)
          return A.Score > B.Score;
        return A.Host < B.Host;
      });
  std::vector<entry_host_id> Best;
  for (std::size_t I = 0; I < Count; ++I)
    Best.push_back(Scored[I].Host);
  return Best;
}

} // namespace

std::optional<endpoint> membership::addressOf(const entry_host_id &Host) const {
  const member_record *Record = Table.find(Host);
  if (!Record)
    return std::nullopt;
  return Record->Update.Address;
}

bool membership::alive(const host_run &Run) const {
  const member_record *Record = Table.find(Run.Host);
  return Record && Record->Update.Run == Run.Run &&
         Record->Update.State != member_state::Dead;
}

std::uint32_t membership::liveHostsInZone(const zone_id &Zone) const {
  bool OwnZone = Zone == Context.settings().Zone;
  if (OwnZone && CountedEpoch == Table.epoch())
    return OwnZoneLive;
  std::uint32_t Count = OwnZone ? 1 : 0;
  for (const std::pair<const entry_host_id, member_record> &Entry : Table.all())
    if (Entry.second.Update.Zone == Zone &&
        Entry.second.Update.State <= member_state::Suspect)
      ++Count;
  if (OwnZone) {
    OwnZoneLive = Count;
    CountedEpoch = Table.epoch();
  }
  return Count;
}

bool membership::inOwnRegion(const zone_id &Zone) const {
  const std::map<entry_host_id, member_record> &All = Table.all();
  return std::any_of(
      All.begin(), All.end(),
      [&](const std::pair<const entry_host_id, member_record> &Entry) {
        const member_update &Member = Entry.second.Update;
        return Member.Zone == Zone && Member.Region == Own.Region;
      });
}

members_status membership::status() const {
  members_status Status;
  Status.Members.push_back(Own);
  for (const std::pair<const entry_host_id, member_record> &Entry : Table.all())
    Status.Members.push_back(Entry.second.Update);
  return Status;
}

std::vector<entry_host_id> membership::ranked(const zone_id &Zone,
                                              std::string_view Name,
                                              std::size_t Count) const {
  std::vector<scored_host> Scored;
  if (Zone == Own.Zone && Own.State == member_state::Alive)
    Scored.push_back({rankScore(Own.Host, Name), Own.Host});
  for (const std::pair<const entry_host_id, member_record> &Entry : Table.all())
    if (Entry.second.Update.Zone == Zone && isAlive(Entry.second))
      Scored.push_back({rankScore(Entry.first, Name), Entry.first});
  return highestScored(Scored, Count);
}

const std::vector<entry_host_id> &
membership::topRankedInZone(std::string_view Name) const {
  auto Found = RankingCache.find(Name);
  if (Found == RankingCache.end())
    Found = RankingCache.emplace(std::string(Name), cached_ranking{}).first;
  if (Found->second.Epoch != Table.epoch())
    Found->second = {Table.epoch(), ranked(Own.Zone, Name, HostsPerTask)};
  return Found->second.First;
}

bool membership::isTopRankedInZone(std::string_view Name) const {
  const std::vector<entry_host_id> &First = topRankedInZone(Name);
  return std::find(First.begin(), First.end(), Own.Host) != First.end();
}

bool membership::isDelegateOfOwnZone(const entry_host_id &Host) const {
  const std::vector<entry_host_id> &First = topRankedInZone("delegate");
  return std::find(First.begin(), First.end(), Host) != First.end();
}

bool membership::isTopRankedInFleet(std::string_view Name,
                                    std::size_t Count) const {
  std::uint64_t Score = rankScore(Own.Host, Name);
  std::size_t Before = 0;
  for (const std::pair<const entry_host_id, member_record> &Entry : Table.all())
    if (isAlive(Entry.second) && rankScore(Entry.first, Name) > Score)
      ++Before;
  return Own.State == member_state::Alive && Before < Count;
}

std::vector<entry_host_id> membership::otherZoneDelegates() const {
  std::vector<entry_host_id> Hosts;
  for (const zone_id &Zone : otherZones()) {
    std::vector<entry_host_id> First = ranked(Zone, "delegate", HostsPerTask);
    if (!First.empty())
      Hosts.push_back(First[LastSequence % First.size()]);
  }
  return Hosts;
}

std::vector<entry_host_id> membership::randomPeers(
    std::size_t Count,
    const std::function<bool(const member_record &)> &Wanted) {
  std::vector<entry_host_id> Candidates;
  for (const std::pair<const entry_host_id, member_record> &Entry : Table.all())
    if (Entry.second.Update.Zone == Own.Zone && isAlive(Entry.second) &&
        Wanted(Entry.second))
      Candidates.push_back(Entry.first);
  std::size_t Taken = std::min(Count, Candidates.size());
  for (std::size_t I = 0; I < Taken; ++I)
    std::swap(Candidates[I],
              Candidates[I + Context.randomBelow(Candidates.size() - I)]);
  Candidates.resize(Taken);
  return Candidates;
}

} // namespace jasminecroft::detail
