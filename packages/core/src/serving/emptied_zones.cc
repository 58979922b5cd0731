// Order of the operator's words on zones.
#include "jasminecroft/core/serving/emptied_zones.h"

#include "jasminecroft/core/peer_messages.h"

#include <algorithm>
#include <tuple>

namespace jasminecroft {

namespace {

// The store may report a removal under the revision of the removed entry.
bool isLater(const zone_order &Order, const zone_order &Known) {
  if (Order.Revision != Known.Revision)
    return Order.Revision > Known.Revision;
  return !Order.Emptied && Known.Emptied;
}

} // namespace

bool emptied_zones::isOutdated(const zone_order &Order) const {
  auto Known = Orders.find(Order.Zone);
  return Known != Orders.end() && isLater(Known->second, Order);
}

bool emptied_zones::isEmptied(const zone_id &Zone) const {
  auto Known = Orders.find(Zone);
  return Known != Orders.end() && Known->second.Emptied;
}

bool emptied_zones::apply(const zone_order &Order) {
  bool Before = isEmptied(Order.Zone);
  auto Known = Orders.find(Order.Zone);
  if (Known != Orders.end() && !isLater(Order, Known->second))
    return false;
  Orders[Order.Zone] = Order;
  if (Before != Order.Emptied)
    Emptied = Order.Emptied ? Emptied + 1 : Emptied - 1;
  forgetOldest(Order.Zone);
  return Before != Order.Emptied;
}

bool emptied_zones::applyTold(const zone_order &Order) {
  if (Order.Revision > ReadTo || Orders.contains(Order.Zone))
    return apply(Order);
  // The zone was not emptied when the store was read later. A store that came
  // back from a copy may have lost the order.
  if (Order.Revision.Era == ReadTo.Era)
    apply({Order.Zone, ReadTo, false});
  return false;
}

std::vector<zone_order>
emptied_zones::replaceAll(const std::vector<zone_order> &Listed,
                          object_version Revision, core_time Now) {
  if (ReadTo.Era < Revision.Era)
    SettleAt.reset();
  std::vector<zone_order> Wanted = Listed;
  for (const std::pair<const zone_id, zone_order> &Known : Orders) {
    bool IsListed = std::any_of(Listed.begin(), Listed.end(),
                                [&Known](const zone_order &Order) {
                                  return Order.Zone == Known.first;
                                });
    if (IsListed || !Known.second.Emptied)
      continue;
    if (Known.second.Revision.Era < Revision.Era)
      SettleAt = SettleAt.value_or(Now + RewriteTime);
    else
      Wanted.push_back({Known.first, Revision, false});
  }
  std::vector<zone_order> Changed;
  for (const zone_order &Order : Wanted)
    if (apply(Order))
      Changed.push_back(Order);
  onRead(Revision);
  return Changed;
}

std::vector<zone_order> emptied_zones::settleCopied(core_time Now) {
  std::vector<zone_order> Changed;
  if (!SettleAt || Now < *SettleAt)
    return Changed;
  SettleAt.reset();
  for (const zone_order &Order : orders())
    if (Order.Emptied && Order.Revision.Era < ReadTo.Era &&
        apply({Order.Zone, ReadTo, false}))
      Changed.push_back({Order.Zone, ReadTo, false});
  return Changed;
}

void emptied_zones::onRead(object_version Revision) {
  ReadTo = std::max(ReadTo, Revision);
}

std::vector<zone_order> emptied_zones::orders() const {
  std::vector<zone_order> Result;
  for (const std::pair<const zone_id, zone_order> &Known : Orders)
    Result.push_back(Known.second);
  return Result;
}

admission_answer emptied_zones::check(const backend_state &Server,
                                      const call_subject &, core_time) {
  if (isEmptied(Server.Entry.Zone))
    return {admission_obstacle::ZoneEmptied, std::nullopt};
  return {};
}

// Peers and the store may name any number of zones; a message holds so many.
// Zones that were taken back go first, but for the one that was just named.
void emptied_zones::forgetOldest(const zone_id &Added) {
  if (Orders.size() <= MaxZoneOrdersPerMessage)
    return;
  auto Rank = [&Added](const std::pair<const zone_id, zone_order> &Entry) {
    bool IsInForce = Entry.second.Emptied;
    return std::tuple(IsInForce || Entry.first == Added, Entry.second.Revision);
  };
  auto Oldest = std::min_element(
      Orders.begin(), Orders.end(),
      [&Rank](const auto &A, const auto &B) { return Rank(A) < Rank(B); });
  if (Oldest->second.Emptied) {
    --Emptied;
    Forgotten.push_back(Oldest->second);
  }
  Orders.erase(Oldest);
}

} // namespace jasminecroft
