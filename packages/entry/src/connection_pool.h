// Idle connections to servers, kept for reuse.
#pragma once

#include "http_exchange.h"
#include "io_types.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace jasminecroft::detail {

/// Sets what every connection to a server needs: no delay of small writes,
/// and probes that end a connection whose peer has gone silent.
void prepareSocket(tcp_socket &Socket);

/// Used from one thread.
class connection_pool {
public:
  using clock = std::chrono::steady_clock;

  /// The connection used last that is neither closed nor about to be closed by
  /// its server.
  std::optional<tcp_socket> take(const endpoint &Address);
  /// Lifetime: how long the server keeps idle connections, if it is known.
  void give(const endpoint &Address, tcp_socket Socket,
            std::optional<std::chrono::milliseconds> Lifetime);
  /// Closes what is idle towards one server, or towards all.
  void drop(const endpoint &Address) { Idle.erase(Address); }
  void clear() { Idle.clear(); }

  connection_counters Counters;

private:
  struct idle_connection {
    tcp_socket Socket;
    std::optional<clock::time_point> UsableUntil;
  };
  std::map<endpoint, std::deque<idle_connection>> Idle;
};

} // namespace jasminecroft::detail
