// Route lookup by the longest matching path prefix.
#include "jasminecroft/core/serving/route_config.h"

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

} // namespace jasminecroft
