// What hosts of a serving world read of the operator's orders for zones.
#include "serving_world_parts.h"

namespace jasminecroft::testing {

void world_host::readZones() {
  ZonesRead = true;
  std::vector<zone_order> Emptied;
  for (const std::pair<const zone_id, zone_order> &Order : World.EmptiedZones)
    Emptied.push_back(Order.second);
  handle([&](serving_core &Core, core_time Now) {
    Core.onZoneList(Emptied, object_version(World.LastRevision), Now);
    Core.onStoreRead(store_kind::EmptiedZones, Now);
  });
}

// A watch goes on from the list.
void world_host::hearZone(const zone_order &Order) {
  if (Source != store_source::Watch || !ZonesRead)
    return;
  handle([&](serving_core &Core, core_time Now) {
    Core.onZoneOrder(Order, Now);
    Core.onZonesRead(Order.Revision, Now);
  });
}

void world_host::judgeZone(const zone_id &Zone) const {
  World.Book.onZoneUsed(Zone, watchesStore(), World.now());
}

} // namespace jasminecroft::testing
