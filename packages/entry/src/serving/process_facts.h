// What a host finds out about its own process when it starts.
#pragma once

#include "jasminecroft/core/types.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>

namespace jasminecroft::detail {

/// Connections that callers may hold, a share of the process's descriptors.
std::size_t maxCallers();

/// Absent if the address cannot be read.
std::optional<boost::asio::ip::tcp::endpoint> toSocket(const endpoint &Address);

/// This run of the host, by its start.
incarnation thisRun();

} // namespace jasminecroft::detail
