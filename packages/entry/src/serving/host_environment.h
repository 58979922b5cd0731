// What an entry host takes from its settings and its process before it starts.
#pragma once

#include "jasminecroft/core/serving/serving_core.h"
#include "jasminecroft/entry/serving_settings.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace jasminecroft::detail {

serving_settings coreSettings(const serving_host_settings &Settings,
                              const host_run &Self);
/// Connections that callers may hold, by the process's limit of descriptors.
std::size_t maxCallers();
std::optional<boost::asio::ip::tcp::endpoint> toSocket(const endpoint &Address);
/// Key: the setting whose address cannot be listened on.
settings_error cannotListen(std::string Key);
/// Wall-clock milliseconds: later runs have higher numbers.
incarnation thisRun();

} // namespace jasminecroft::detail
