// One caller of the soak: how it sends its requests.
#pragma once

#include "jasminecroft/processes/http_call.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace jasminecroft::processes {

/// Sends on a connection of its own or on an open one, with the body whole or
/// in chunks, and sometimes reads the answer late or leaves before it. Used
/// from one thread.
class soak_caller {
public:
  explicit soak_caller(std::chrono::seconds Bound) : Bound(Bound) {}

  /// Status 0: no answer within the bound. Absent: the caller left.
  std::optional<http_reply> send(const http_call &Call,
                                 std::mt19937_64 &Random);

private:
  std::chrono::seconds Bound;
  /// Open connections by the host's port.
  std::map<std::uint16_t, std::unique_ptr<http_connection>> Connections;
};

} // namespace jasminecroft::processes
