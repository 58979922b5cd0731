// Probes of dead hosts of the own zone and of delegates of other zones.
#include "jasminecroft/core/detail/membership.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration ZoneProbeInterval = std::chrono::seconds(2);
constexpr std::size_t MaxZoneProbes = 64;
constexpr std::uint32_t MaxUnansweredProbes = 2;

} // namespace

// Detects the end of a network partition: a host in state Dead may answer.
void membership::probeDead() {
  if (NextDeadProbe > Context.now())
    return;
  NextDeadProbe = Context.now() + DeadProbeInterval;
  std::vector<entry_host_id> Dead;
  for (const std::pair<const entry_host_id, member_record> &Entry : Table.all())
    if (Entry.second.Update.State == member_state::Dead &&
        Entry.second.Update.Zone == Own.Zone)
      Dead.push_back(Entry.first);
  if (!Dead.empty())
    sendProbe(Dead[Context.randomBelow(Dead.size())], ++LastSequence);
}

std::vector<zone_id> membership::otherZones() const {
  std::set<zone_id> Zones;
  for (const std::pair<const entry_host_id, member_record> &Entry : Table.all())
    if (Entry.second.Update.Zone != Own.Zone)
      Zones.insert(Entry.second.Update.Zone);
  return {Zones.begin(), Zones.end()};
}

std::optional<entry_host_id>
membership::chooseTargetIn(const zone_id &Zone, zone_probe_state &ProbeState) {
  std::vector<entry_host_id> First = ranked(Zone, "delegate", HostsPerTask);
  if (ProbeState.Unanswered < MaxUnansweredProbes && !First.empty())
    return First[ProbeState.Turn++ % First.size()];
  // The known delegates do not answer: falls back to any host of the zone, even
  // one in state Dead.
  std::vector<entry_host_id> Any;
  for (const std::pair<const entry_host_id, member_record> &Entry : Table.all())
    if (Entry.second.Update.Zone == Zone &&
        Entry.second.Update.State != member_state::Left)
      Any.push_back(Entry.first);
  if (Any.empty())
    return std::nullopt;
  return Any[Context.randomBelow(Any.size())];
}

void membership::probeOtherZone() {
  if (!isDelegate() || NextZoneProbe > Context.now())
    return;
  NextZoneProbe = Context.now() + ZoneProbeInterval;
  std::vector<zone_id> Zones = otherZones();
  if (Zones.empty())
    return;
  const zone_id &Zone = Zones[NextZone++ % Zones.size()];
  zone_probe_state &ProbeState = ZoneProbeStates[Zone];
  std::optional<entry_host_id> Target = chooseTargetIn(Zone, ProbeState);
  if (!Target)
    return;
  ++ProbeState.Unanswered;
  if (ZoneProbes.size() >= MaxZoneProbes)
    ZoneProbes.erase(ZoneProbes.begin());
  ZoneProbes.emplace(++LastSequence, Zone);
  sendProbe(*Target, LastSequence);
}

} // namespace jasminecroft::detail
