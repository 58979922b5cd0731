// Memory of one core against the number of members, servers and workspaces.
#include "jasminecroft/bench/fleet_bench.h"

#include "jasminecroft/core/entry_core.h"

#include <malloc.h>

namespace jasminecroft::bench {

namespace {

struct known_world {
  std::uint32_t Members = 0;
  std::uint32_t Backends = 0;
  std::uint32_t Workspaces = 0;
};

fleet_config configOf(const known_world &World) {
  fleet_config Config;
  Config.Version = config_version(1);
  Config.Fleet = fleet_id("bench");
  Config.Pools[pool_id("pool")] = {pool_id("pool"), pool_kind::PlainService, 8,
                                   false};
  for (std::uint32_t I = 0; I < World.Workspaces; ++I)
    Config.Workspaces.insert(workspace_id("workspace-" + std::to_string(I)));
  return Config;
}

host_list hostsOf(const known_world &World) {
  host_list List;
  for (std::uint32_t I = 0; I < World.Members + World.Backends; ++I) {
    bool Entry = I < World.Members;
    listed_host Host;
    Host.Kind = Entry ? host_kind::EntryHost : host_kind::BackendServer;
    Host.Name = "host-" + std::to_string(I);
    Host.Zone = zone_id("zone-" + std::to_string(I % 9));
    Host.Region = region_id("region-" + std::to_string(I % 3));
    Host.Address = endpoint("10.1." + std::to_string(I) + ".1:7000");
    if (!Entry)
      Host.Pool = pool_id("pool");
    Host.Run = incarnation(1);
    List.Hosts.push_back(std::move(Host));
  }
  return List;
}

std::uint64_t bytesInUse() { return mallinfo2().uordblks; }

// Bytes that one core holds once it knows the world.
std::uint64_t memoryOf(const known_world &World) {
  std::uint64_t Before = bytesInUse();
  core_settings Settings;
  Settings.Fleet = fleet_id("bench");
  Settings.Self = {entry_host_id("self"), incarnation(1)};
  Settings.Zone = zone_id("zone-0");
  Settings.Address = endpoint("10.0.0.1:7000");
  entry_core Core(Settings);
  core_time Now{};
  action_list Actions = Core.handle(wakeup{}, Now);
  for (const action &Action : Actions) {
    const call_platform *Call = std::get_if<call_platform>(&Action);
    if (!Call)
      continue;
    const get_object *Get = std::get_if<get_object>(&Call->Operation);
    if (!Get)
      continue;
    object_found Found{configOf(World), object_version(1)};
    if (Get->Key == hostListKey())
      Found.Value = hostsOf(World);
    Core.handle(platform_replied{Call->Call, std::move(Found)}, Now);
  }
  Actions.clear();
  Actions.shrink_to_fit();
  return bytesInUse() - Before;
}

double slope(const known_world &Small, const known_world &Large,
             std::uint32_t Step) {
  return static_cast<double>(memoryOf(Large) - memoryOf(Small)) / Step;
}

} // namespace

memory_slopes measureMemory() {
  memory_slopes Slopes;
  Slopes.PerMember = slope({100, 100, 100}, {1'100, 100, 100}, 1'000);
  Slopes.PerBackend = slope({100, 100, 100}, {100, 1'100, 100}, 1'000);
  Slopes.PerWorkspace = slope({100, 100, 100}, {100, 100, 10'100}, 10'000);
  Slopes.AtTarget = memoryOf({390, 600, 20'000});
  return Slopes;
}

} // namespace jasminecroft::bench
