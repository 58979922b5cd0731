// Socket options, and checks of idle connections before they are used again.
#include "connection_pool.h"

#include "jasminecroft/wire/quiet_socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminecroft::detail {

namespace {

constexpr std::size_t MaxIdlePerServer = 64;
/// Probes begin after a second of silence; with two lost, the connection ends.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
/// Longest time that written bytes may go unacknowledged.
constexpr int UserTimeoutMs = 3'000;

void setOption(int Socket, int Level, int Name, int Value) {
  ::setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

} // namespace

void prepareSocket(tcp_socket &Socket) {
  int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

std::optional<tcp_socket> connection_pool::take(const endpoint &Address,
                                                answer_naming Naming) {
  auto Found = Idle.find({Address, Naming});
  if (Found == Idle.end())
    return std::nullopt;
  std::deque<idle_connection> &Connections = Found->second;
  while (!Connections.empty()) {
    idle_connection Connection = std::move(Connections.back());
    Connections.pop_back();
    bool InTime =
        !Connection.UsableUntil || clock::now() < *Connection.UsableUntil;
    if (InTime && isQuiet(Connection.Socket.native_handle())) {
      ++Counters.Reused;
      return std::move(Connection.Socket);
    }
  }
  return std::nullopt;
}

void connection_pool::give(const endpoint &Address, answer_naming Naming,
                           tcp_socket Socket,
                           std::optional<std::chrono::milliseconds> Lifetime) {
  std::deque<idle_connection> &Connections = Idle[{Address, Naming}];
  // The oldest is the first that its server closes.
  if (Connections.size() >= MaxIdlePerServer)
    Connections.pop_front();
  std::optional<clock::time_point> Until;
  if (Lifetime)
    Until = clock::now() + *Lifetime;
  Connections.push_back({std::move(Socket), Until});
}

void connection_pool::drop(const endpoint &Address) {
  Idle.erase({Address, answer_naming::Named});
  Idle.erase({Address, answer_naming::Unnamed});
}

} // namespace jasminecroft::detail
