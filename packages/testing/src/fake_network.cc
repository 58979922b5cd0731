// Delivers messages between zones with faults drawn from the fleet's generator.
#include "jasminecroft/testing/fake_network.h"

#include <algorithm>

namespace jasminecroft::testing {

void fake_network::setLatency(core_duration NewInZone,
                              core_duration NewBetweenZones) {
  InZone = NewInZone;
  BetweenZones = NewBetweenZones;
}

void fake_network::setQuality(const network_quality &NewQuality) {
  bool WasPerfect = perfect();
  Quality = NewQuality;
  if (!WasPerfect && perfect())
    PerfectSince = Queue.now();
}

fake_network::zone_pair fake_network::pairOf(const zone_id &A,
                                             const zone_id &B) {
  return A < B ? zone_pair(A, B) : zone_pair(B, A);
}

void fake_network::cut(const zone_id &A, const zone_id &B) {
  if (A != B)
    Links[pairOf(A, B)].Cut = true;
}

void fake_network::heal(const zone_id &A, const zone_id &B) {
  auto Found = Links.find(pairOf(A, B));
  if (Found != Links.end() && Found->second.Cut)
    Found->second = {false, Queue.now()};
}

void fake_network::healAll() {
  for (std::pair<const zone_pair, link_state> &Entry : Links)
    if (Entry.second.Cut)
      Entry.second = {false, Queue.now()};
}

bool fake_network::linked(const zone_id &A, const zone_id &B) const {
  if (Links.empty())
    return true;
  auto Found = Links.find(pairOf(A, B));
  return Found == Links.end() || !Found->second.Cut;
}

core_time fake_network::linkedSince(const zone_id &A, const zone_id &B) const {
  auto Found = Links.find(pairOf(A, B));
  return Found == Links.end() ? core_time{} : Found->second.Since;
}

core_duration fake_network::latency(const zone_id &A, const zone_id &B) {
  core_duration Base = A == B ? InZone : BetweenZones;
  return Random.between(Base, Base + Base / 4);
}

bool fake_network::send(const zone_id &From, const zone_id &To,
                        const event_queue::callback &Deliver) {
  ++Counts.Sent;
  if (!linked(From, To)) {
    ++Counts.Dropped;
    return false;
  }
  sendOnce(From, To, Deliver);
  if (Random.chance(Quality.DuplicatePermille)) {
    ++Counts.Duplicated;
    sendOnce(From, To, Deliver);
  }
  return true;
}

void fake_network::sendOnce(const zone_id &From, const zone_id &To,
                            const event_queue::callback &Deliver) {
  if (Random.chance(Quality.DropPermille)) {
    ++Counts.Dropped;
    return;
  }
  core_duration Delay = latency(From, To);
  if (Random.chance(Quality.DelayPermille)) {
    ++Counts.Delayed;
    Delay += Random.between(core_duration(0), Quality.LongestDelay);
  }
  Queue.after(Delay, Deliver);
}

} // namespace jasminecroft::testing
