// Addresses of hosts and servers, taken apart.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jasminecroft {

/// An "IP:port" taken apart; IPv6 addresses stand in brackets.
struct ip_port {
  std::string Address;
  std::uint16_t Port = 0;
};
/// Absent if the text is no address, or its port is 0 or over 65,535.
std::optional<ip_port> splitEndpoint(const endpoint &Text);

} // namespace jasminecroft
