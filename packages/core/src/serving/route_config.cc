// Route lookup by the longest matching path prefix.
#include "jasminecroft/core/serving/route_config.h"

namespace jasminecroft {

route_index::route_index(const route_config &Config) {
  for (const serving_route &Route : Config.Routes)
    ByPrefix.emplace(Route.Hostname + Route.PathPrefix, &Route);
}

const serving_route *route_index::find(std::string_view Hostname,
                                       std::string_view Path) const {
  std::string_view Plain = Path.substr(0, Path.find('?'));
  std::string Key(Hostname);
  Key += Plain;
  while (Key.size() > Hostname.size()) {
    std::size_t Slash = Key.rfind('/');
    if (Slash == std::string::npos || Slash < Hostname.size())
      return nullptr;
    Key.resize(Slash + 1);
    auto Found = ByPrefix.find(Key);
    if (Found != ByPrefix.end())
      return Found->second;
    Key.resize(Slash);
  }
  return nullptr;
}

} // namespace jasminecroft
