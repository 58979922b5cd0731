// Suspicion of hosts, and weighted rendezvous hashing of queues to live hosts.
#include "jasminecroft/core/serving/fleet_hosts.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <xxhash.h>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Delay of the first heartbeat to a suspected host; the interval then doubles
/// up to the maximum.
constexpr core_duration FirstHeartbeatDelay = milliseconds(300);
constexpr core_duration MaxHeartbeatInterval = seconds(5);
/// Time after which a suspected host is erased; it announces itself when it
/// returns.
constexpr core_duration EraseAfter = seconds(60);

// Grows with the capacity; the host with the highest score owns the queue.
double score(std::string_view Queue, const batching_host &Host) {
  std::string Text(Queue);
  Text += '\0';
  Text += Host.Host.Value;
  double Hash = static_cast<double>(XXH3_64bits(Text.data(), Text.size()));
  double Unit = (Hash + 1) / (std::ldexp(1.0, 64) + 2);
  return -static_cast<double>(std::max(Host.Capacity, 1U)) / std::log(Unit);
}

using ranked_hosts = std::vector<std::pair<double, const batching_host *>>;

std::vector<batching_host> first(ranked_hosts Hosts, std::size_t Count) {
  Count = std::min(Count, Hosts.size());
  std::partial_sort(Hosts.begin(),
                    Hosts.begin() + static_cast<std::ptrdiff_t>(Count),
                    Hosts.end(), std::greater<>());
  std::vector<batching_host> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(*Hosts[I].second);
  return Result;
}

} // namespace

void fleet_hosts::setChanged() {
  ++Generation;
  Owners.clear();
}

void fleet_hosts::setSelfLeaving() {
  SelfLeaving = true;
  setChanged();
}

void fleet_hosts::add(const batching_host &Host, core_time Now) {
  if (Host.Host == Self.Host)
    return;
  host_state &State = Hosts[Host.Host];
  if (State.Host != Host)
    setChanged();
  bool Moved = State.Host.Address != Host.Address;
  State.Host = Host;
  if (Moved && State.SuspectedSince) {
    State.SuspectedSince = Now;
    State.NextHeartbeatAt = Now;
  }
}

void fleet_hosts::markAlive(const entry_host_id &Host) {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return;
  if (Found->second.SuspectedSince || Found->second.Leaving)
    setChanged();
  Found->second.SuspectedSince.reset();
  Found->second.Leaving = false;
}

void fleet_hosts::setLeaving(const entry_host_id &Host, bool Leaving) {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end() || Found->second.Leaving == Leaving)
    return;
  Found->second.Leaving = Leaving;
  setChanged();
}

bool fleet_hosts::receivedSince(const entry_host_id &Host,
                                core_time Time) const {
  auto Found = Hosts.find(Host);
  return Found != Hosts.end() && Found->second.LastMessageAt >= Time;
}

bool fleet_hosts::onPeerMessage(const entry_host_id &Host, core_time Now) {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return false;
  Found->second.LastMessageAt = Now;
  if (!Found->second.SuspectedSince)
    return false;
  Found->second.SuspectedSince.reset();
  setChanged();
  return true;
}

bool fleet_hosts::suspect(const entry_host_id &Host, core_time Now) {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end() || Found->second.SuspectedSince)
    return false;
  Found->second.SuspectedSince = Now;
  setChanged();
  Found->second.NextHeartbeatAt = Now + FirstHeartbeatDelay;
  Found->second.HeartbeatInterval = FirstHeartbeatDelay;
  return true;
}

void fleet_hosts::addListed(const batching_host &Host, core_time Now) {
  add(Host, Now);
  if (Host.Host == Self.Host)
    return;
  listed_host &Listed = Roster[Host.Host];
  if (Listed.Host != Host)
    ++RosterGeneration;
  Listed = {Host, std::nullopt};
}

void fleet_hosts::onListRead(core_time Now) {
  if (!ListReadAt)
    ListReadAt = Now;
}

void fleet_hosts::removeListed(const entry_host_id &Host, core_time Now) {
  auto Found = Roster.find(Host);
  if (Found != Roster.end() && !Found->second.RemovedAt)
    Found->second.RemovedAt = Now;
}

std::size_t fleet_hosts::rosterRankOfSelf(std::string_view Key) const {
  double Own = score(Key, Self);
  return static_cast<std::size_t>(std::count_if(
      Roster.begin(), Roster.end(),
      [&](const std::pair<const entry_host_id, listed_host> &Entry) {
        return score(Key, Entry.second.Host) > Own;
      }));
}

std::vector<batching_host> fleet_hosts::dueForHeartbeat(core_time Now) {
  RosterGeneration += std::erase_if(
      Roster, [Now](const std::pair<const entry_host_id, listed_host> &Entry) {
        return Entry.second.RemovedAt &&
               Now - *Entry.second.RemovedAt > EraseAfter;
      });
  std::vector<batching_host> Due;
  for (auto It = Hosts.begin(); It != Hosts.end();) {
    host_state &State = It->second;
    if (!State.SuspectedSince || State.NextHeartbeatAt > Now) {
      ++It;
      continue;
    }
    if (Now - *State.SuspectedSince > EraseAfter) {
      It = Hosts.erase(It);
      continue;
    }
    Due.push_back(State.Host);
    State.NextHeartbeatAt = Now + State.HeartbeatInterval;
    State.HeartbeatInterval =
        std::min(State.HeartbeatInterval * 2, MaxHeartbeatInterval);
    ++It;
  }
  return Due;
}

std::optional<core_time> fleet_hosts::nextHeartbeat() const {
  std::optional<core_time> Next;
  for (const std::pair<const entry_host_id, host_state> &Entry : Hosts)
    if (Entry.second.SuspectedSince &&
        (!Next || Entry.second.NextHeartbeatAt < *Next))
      Next = Entry.second.NextHeartbeatAt;
  return Next;
}

entry_host_id fleet_hosts::owner(std::string_view Queue) const {
  auto Known = Owners.find(Queue);
  if (Known != Owners.end())
    return Known->second;
  const batching_host *Best = &Self;
  double BestScore = SelfLeaving ? 0 : score(Queue, Self);
  for (const std::pair<const entry_host_id, host_state> &Entry : Hosts) {
    if (Entry.second.SuspectedSince || Entry.second.Leaving)
      continue;
    double Score = score(Queue, Entry.second.Host);
    if (Score > BestScore) {
      Best = &Entry.second.Host;
      BestScore = Score;
    }
  }
  return Owners.emplace(Queue, Best->Host).first->second;
}

std::vector<batching_host> fleet_hosts::ranked(std::string_view Key,
                                               std::size_t Count) const {
  return highest(Key, nullptr, Count);
}

std::vector<batching_host> fleet_hosts::rankedInZone(std::string_view Key,
                                                     const zone_id &Zone,
                                                     std::size_t Count) const {
  return highest(Key, &Zone, Count);
}

std::vector<batching_host> fleet_hosts::rosterRanked(std::string_view Key,
                                                     std::size_t Count) const {
  ranked_hosts Listed{{score(Key, Self), &Self}};
  for (const std::pair<const entry_host_id, listed_host> &Entry : Roster)
    Listed.emplace_back(score(Key, Entry.second.Host), &Entry.second.Host);
  return first(std::move(Listed), Count);
}

std::vector<batching_host> fleet_hosts::highest(std::string_view Key,
                                                const zone_id *Zone,
                                                std::size_t Count) const {
  ranked_hosts Live;
  if (!SelfLeaving && (!Zone || Self.Zone == *Zone))
    Live.emplace_back(score(Key, Self), &Self);
  for (const std::pair<const entry_host_id, host_state> &Entry : Hosts)
    if (!Entry.second.SuspectedSince && !Entry.second.Leaving &&
        (!Zone || Entry.second.Host.Zone == *Zone))
      Live.emplace_back(score(Key, Entry.second.Host), &Entry.second.Host);
  return first(std::move(Live), Count);
}

std::size_t fleet_hosts::rankOfSelf(std::string_view Key) const {
  if (SelfLeaving)
    return std::numeric_limits<std::size_t>::max();
  double Own = score(Key, Self);
  std::size_t Rank = 0;
  for (const std::pair<const entry_host_id, host_state> &Entry : Hosts)
    if (!Entry.second.SuspectedSince && !Entry.second.Leaving &&
        score(Key, Entry.second.Host) > Own)
      ++Rank;
  return Rank;
}

std::vector<batching_host> fleet_hosts::ring() const {
  std::vector<batching_host> Before;
  std::vector<batching_host> Result;
  for (const std::pair<const entry_host_id, host_state> &Entry : Hosts)
    if (!Entry.second.SuspectedSince)
      (Entry.first < Self.Host ? Before : Result).push_back(Entry.second.Host);
  Result.insert(Result.end(), Before.begin(), Before.end());
  return Result;
}

const batching_host *fleet_hosts::find(const entry_host_id &Host) const {
  if (Host == Self.Host)
    return &Self;
  auto Found = Hosts.find(Host);
  return Found == Hosts.end() ? nullptr : &Found->second.Host;
}

std::vector<batching_host> fleet_hosts::others() const {
  std::vector<batching_host> Result;
  for (const std::pair<const entry_host_id, host_state> &Entry : Hosts)
    Result.push_back(Entry.second.Host);
  return Result;
}

std::uint32_t fleet_hosts::liveCount() const {
  std::uint32_t Count = 1;
  for (const std::pair<const entry_host_id, host_state> &Entry : Hosts)
    Count += Entry.second.SuspectedSince || Entry.second.Leaving ? 0 : 1;
  return Count;
}

bool fleet_hosts::suspected(const entry_host_id &Host) const {
  auto Found = Hosts.find(Host);
  return Found != Hosts.end() && Found->second.SuspectedSince.has_value();
}

bool fleet_hosts::live(const entry_host_id &Host) const {
  if (Host == Self.Host)
    return true;
  auto Found = Hosts.find(Host);
  return Found != Hosts.end() && !Found->second.SuspectedSince &&
         !Found->second.Leaving;
}

} // namespace jasminecroft
