// Probes beyond the hosts of the own zone that are alive: hosts believed dead,
// and the delegates of other zones.
#include "jasminecroft/core/detail/membership.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration ZoneProbeInterval{2'000'000};
constexpr std::size_t MaxZoneProbes = 64;
constexpr std::uint32_t UnansweredUntilRandom = 2;

} // namespace

// Finds healed cuts: a host believed dead may be back.
void membership::probeGone() {
  if (NextGoneProbe > Context.now())
    return;
  NextGoneProbe = Context.now() + DeadProbeInterval;
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

std::optional<entry_host_id> membership::targetIn(const zone_id &Zone,
                                                  zone_contact &Contact) {
  std::vector<entry_host_id> First = ranked(Zone, "delegate", HostsPerTask);
  if (Contact.Unanswered < UnansweredUntilRandom && !First.empty())
    return First[Contact.Turn++ % First.size()];
  // The delegates seen from here do not answer: any host will do, also one
  // believed dead.
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
  zone_contact &Contact = Contacts[Zone];
  std::optional<entry_host_id> Target = targetIn(Zone, Contact);
  if (!Target)
    return;
  ++Contact.Unanswered;
  if (ZoneProbes.size() >= MaxZoneProbes)
    ZoneProbes.erase(ZoneProbes.begin());
  ZoneProbes.emplace(++LastSequence, Zone);
  sendProbe(*Target, LastSequence);
}

} // namespace jasminecroft::detail
