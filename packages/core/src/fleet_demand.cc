// Sums the workspaces' demand over the other entry hosts.
#include "jasminecroft/core/detail/fleet_demand.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration RefreshInterval{100'000};
/// Time in which each pair of hosts talks once, for each host of the zone.
constexpr core_duration FreshnessPerHost{750'000};
constexpr core_duration ShortestFreshness{3'000'000};
constexpr core_duration ZoneTotalKept{15'000'000};
constexpr core_duration SequenceRules{5'000'000};
constexpr std::size_t AlwaysTold = 4;
constexpr std::size_t DemandsTold = 6;
static_assert(DemandsTold <= MaxDemandsPerMessage);
constexpr std::size_t ZoneTotalsPerMessage = 3;
constexpr std::uint32_t TimesRelayed = 6;

using demand_map = std::map<workspace_id, std::uint32_t>;

std::vector<workspace_demand> byDemand(const demand_map &Demand) {
  std::vector<workspace_demand> Sorted;
  for (const std::pair<const workspace_id, std::uint32_t> &Entry : Demand)
    if (Entry.second > 0)
      Sorted.push_back({Entry.first, Entry.second});
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const workspace_demand &A, const workspace_demand &B) {
                     return A.InFlight > B.InFlight;
                   });
  return Sorted;
}

std::uint32_t valueIn(const demand_map &Demand, const workspace_id &Workspace) {
  auto Found = Demand.find(Workspace);
  return Found == Demand.end() ? 0 : Found->second;
}

} // namespace

core_duration fleet_demand::freshness() const {
  std::uint32_t Hosts = Members.liveHostsInZone(Context.settings().Zone);
  return std::max(ShortestFreshness, FreshnessPerHost * Hosts);
}

void fleet_demand::refresh() const {
  if (RefreshedAt && Context.now() - *RefreshedAt < RefreshInterval)
    return;
  RefreshedAt = Context.now();
  InZone.clear();
  Outside.clear();
  core_duration Fresh = freshness();
  std::uint64_t Heard = 0;
  for (const std::pair<const entry_host_id, peer_demand> &Peer : Peers) {
    const member_record *Record = Members.table().find(Peer.first);
    if (!Record || Record->Update.State > member_state::Suspect ||
        Context.now() - Peer.second.At > Fresh)
      continue;
    ++Heard;
    for (const std::pair<const workspace_id, std::uint32_t> &Entry :
         Peer.second.InFlight)
      InZone[Entry.first] += Entry.second;
  }
  std::uint64_t Others = Members.liveHostsInZone(Context.settings().Zone) - 1;
  if (Heard > 0 && Others > Heard)
    for (std::pair<const workspace_id, std::uint32_t> &Entry : InZone)
      Entry.second = static_cast<std::uint32_t>(Entry.second * Others / Heard);
  for (const std::pair<const zone_key, zone_total> &Entry : Zones)
    if (Context.now() - Entry.second.At <= ZoneTotalKept)
      Outside[Entry.first.Workspace] += Entry.second.InFlight;
}

std::uint32_t fleet_demand::elsewhere(const workspace_id &Workspace) const {
  refresh();
  return valueIn(InZone, Workspace) + valueIn(Outside, Workspace);
}

void fleet_demand::appendGossip(gossip_payload &Payload,
                                const gossip_recipient &To) {
  if (To.UrgentOnly)
    return;
  if (To.SameZone)
    addOwn(Payload);
  addZoneTotals(Payload, To);
}

void fleet_demand::addOwn(gossip_payload &Payload) {
  if (!Source)
    return;
  std::vector<workspace_demand> Sorted = byDemand(Source->demand());
  Payload.DemandsComplete = Sorted.size() <= DemandsTold;
  if (Payload.DemandsComplete) {
    Payload.Demands = std::move(Sorted);
    return;
  }
  // The largest always, the others in turn.
  Payload.Demands.assign(Sorted.begin(), Sorted.begin() + AlwaysTold);
  std::size_t Rest = Sorted.size() - AlwaysTold;
  while (Payload.Demands.size() < DemandsTold)
    Payload.Demands.push_back(Sorted[AlwaysTold + Rotation++ % Rest]);
}

void fleet_demand::addZoneTotals(gossip_payload &Payload,
                                 const gossip_recipient &To) {
  const zone_id &OwnZone = Context.settings().Zone;
  if (!To.SameZone && Source && Members.isDelegate()) {
    refresh();
    demand_map Total = InZone;
    for (const std::pair<const workspace_id, std::uint32_t> &Entry :
         Source->demand())
      Total[Entry.first] += Entry.second;
    std::vector<workspace_demand> Sorted = byDemand(Total);
    // What has ended is told once more, as zero, by the rotation of totals.
    for (std::size_t I = 0; I < Sorted.size() && I < ZoneTotalsPerMessage;
         ++I) {
      std::size_t Pick = I;
      if (Sorted.size() > ZoneTotalsPerMessage && I >= AlwaysTold / 2)
        Pick = AlwaysTold / 2 + Rotation++ % (Sorted.size() - AlwaysTold / 2);
      zone_total &Held = Zones[{OwnZone, Sorted[Pick].Workspace}];
      Held.Sequence += 1;
      Payload.ZoneDemands.push_back({OwnZone, Sorted[Pick].Workspace,
                                     Sorted[Pick].InFlight, Held.Sequence});
    }
    return;
  }
  if (!To.SameZone)
    return;
  std::vector<std::map<zone_key, zone_total>::iterator> Candidates;
  for (auto It = Zones.begin(); It != Zones.end(); ++It)
    if (It->first.Zone != OwnZone && It->second.Sent < TimesRelayed &&
        Context.now() - It->second.At <= SequenceRules)
      Candidates.push_back(It);
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](std::map<zone_key, zone_total>::iterator A,
                      std::map<zone_key, zone_total>::iterator B) {
                     return A->second.Sent < B->second.Sent;
                   });
  for (std::size_t I = 0; I < Candidates.size() && I < ZoneTotalsPerMessage;
       ++I) {
    zone_total &Total = Candidates[I]->second;
    ++Total.Sent;
    const zone_key &Key = Candidates[I]->first;
    Payload.ZoneDemands.push_back(
        {Key.Zone, Key.Workspace, Total.InFlight, Total.Sequence});
  }
}

void fleet_demand::onGossip(const gossip_payload &Payload,
                            const host_run &Sender, const zone_id &SenderZone) {
  if (SenderZone == Context.settings().Zone &&
      (Payload.DemandsComplete || !Payload.Demands.empty())) {
    peer_demand &Peer = Peers[Sender.Host];
    Peer.At = Context.now();
    if (Payload.DemandsComplete)
      Peer.InFlight.clear();
    for (const workspace_demand &Demand : Payload.Demands)
      Peer.InFlight[Demand.Workspace] = Demand.InFlight;
  }
  for (const zone_demand &Demand : Payload.ZoneDemands) {
    if (Demand.Zone == Context.settings().Zone)
      continue;
    zone_total &Held = Zones[{Demand.Zone, Demand.Workspace}];
    bool Young = Context.now() - Held.At <= SequenceRules;
    if (Held.At != core_time{} && Young && Demand.Sequence <= Held.Sequence)
      continue;
    Held = {Demand.InFlight, Demand.Sequence, Context.now(), 0};
  }
  std::erase_if(Zones,
                [this](const std::pair<const zone_key, zone_total> &Entry) {
                  return Entry.first.Zone != Context.settings().Zone &&
                         Context.now() - Entry.second.At > ZoneTotalKept;
                });
  core_time Oldest = Context.now() - 2 * freshness();
  std::erase_if(
      Peers,
      [Oldest](const std::pair<const entry_host_id, peer_demand> &Entry) {
        return Entry.second.At < Oldest;
      });
}

} // namespace jasminecroft::detail
