// Reading of "IP:port" texts.
#include "jasminecroft/core/endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace jasminecroft {

std::optional<ip_port> splitEndpoint(const endpoint &Text) {
  std::size_t Colon = Text.Value.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  ip_port Result;
  Result.Address = Text.Value.substr(0, Colon);
  const char *PortBegin = Text.Value.data() + Colon + 1;
  const char *PortEnd = Text.Value.data() + Text.Value.size();
  std::from_chars_result Port =
      std::from_chars(PortBegin, PortEnd, Result.Port);
  if (Port.ec != std::errc() || Port.ptr != PortEnd || Result.Port == 0)
    return std::nullopt;
  in_addr Four{};
  if (inet_pton(AF_INET, Result.Address.c_str(), &Four) == 1)
    return Result;
  bool Bracketed = Result.Address.starts_with('[') &&
                   Result.Address.ends_with(']') && Result.Address.size() > 2;
  if (!Bracketed)
    return std::nullopt;
  Result.Address = Result.Address.substr(1, Result.Address.size() - 2);
  in6_addr Six{};
  if (inet_pton(AF_INET6, Result.Address.c_str(), &Six) == 1)
    return Result;
  return std::nullopt;
}

} // namespace jasminecroft
