// Route lookup by the longest matching path prefix.
#include "jasminecroft/core/serving/route_config.h"

#include <set>

namespace jasminecroft {

route_index::route_index(const route_config &Config) {
  for (const serving_route &Route : Config.Routes)
    ByHost[Route.Hostname].emplace(Route.PathPrefix, &Route);
}

const serving_route *route_index::find(std::string_view Hostname,
                                       std::string_view Path) const {
  auto Host = ByHost.find(std::string(Hostname));
  if (Host == ByHost.end())
    return nullptr;
  std::string Prefix(Path.substr(0, Path.find('?')));
  std::size_t Slash = Prefix.rfind('/');
  while (Slash != std::string::npos) {
    Prefix.resize(Slash + 1);
    auto Found = Host->second.find(Prefix);
    if (Found != Host->second.end())
      return Found->second;
    Prefix.resize(Slash);
    Slash = Prefix.rfind('/');
  }
  return nullptr;
}

bool callersCompete(const route_config &Config) {
  std::set<std::uint32_t> Priorities;
  for (const serving_route &Route : Config.Routes)
    Priorities.insert(Route.Priority);
  std::set<workspace_id> Workspaces;
  for (const std::pair<const workspace_key, key_owner> &Key : Config.Keys) {
    Workspaces.insert(Key.second.Workspace);
    if (Key.second.Priority)
      Priorities.insert(*Key.second.Priority);
  }
  return Priorities.size() > 1 || Workspaces.size() > 1;
}

} // namespace jasminecroft
