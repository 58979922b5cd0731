// Socket options, and checks of idle connections before they are used again.
#include "connection_pool.h"

#include "jasminecroft/wire/quiet_socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminecroft::detail {

namespace {

constexpr std::size_t MaxIdlePerServer = 64;
/// Idle connections are looked at this often.
constexpr std::chrono::seconds CheckInterval{1};
/// For servers that do not say how long they keep idle connections.
constexpr std::chrono::seconds UnstatedLifetime{30};
constexpr std::chrono::seconds UsedOnceTime{60};
constexpr std::size_t MaxUsedOnce = 1'024;
/// Entries may be missing while the store is in trouble, and come back.
constexpr std::chrono::seconds UnlistedTime{10};
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
  if (Found == Idle.end() ||
      (Naming == answer_naming::Named && isUsedOnce(Address)))
    return std::nullopt;
  std::deque<idle_connection> &Connections = Found->second;
  while (!Connections.empty()) {
    idle_connection Connection = std::move(Connections.back());
    Connections.pop_back();
    if (Connection.usable(clock::now())) {
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
  Connections.push_back(
      {std::move(Socket), clock::now() + Lifetime.value_or(UnstatedLifetime)});
  startTimer();
}

bool connection_pool::idle_connection::usable(clock::time_point Now) {
  return Now < UsableUntil && isQuiet(Socket.native_handle());
}

void connection_pool::startTimer() {
  if (TimerRuns)
    return;
  TimerRuns = true;
  Timer.expires_after(CheckInterval);
  Timer.async_wait(
      [Self = weak_from_this()](const boost::system::error_code &Error) {
        std::shared_ptr<connection_pool> Pool = Self.lock();
        if (!Error && Pool)
          Pool->closeUnusable();
      });
}

bool connection_pool::hasLeft(const endpoint &Address,
                              const std::set<endpoint> &Servers,
                              clock::time_point Now) {
  if (Servers.contains(Address)) {
    UnlistedSince.erase(Address);
    return false;
  }
  return Now - UnlistedSince.try_emplace(Address, Now).first->second >=
         UnlistedTime;
}

void connection_pool::closeUnusable() {
  clock::time_point Now = clock::now();
  std::set<endpoint> Servers = Listed ? Listed() : std::set<endpoint>();
  for (auto It = Idle.begin(); It != Idle.end();) {
    bool Left = Listed && hasLeft(It->first.first, Servers, Now);
    std::erase_if(It->second, [Now, Left](idle_connection &Connection) {
      return Left || !Connection.usable(Now);
    });
    It = It->second.empty() ? Idle.erase(It) : std::next(It);
  }
  std::erase_if(
      UnlistedSince,
      [Now](const std::pair<const endpoint, clock::time_point> &Server) {
        return Now - Server.second >= 2 * UnlistedTime;
      });
  TimerRuns = false;
  if (!Idle.empty())
    startTimer();
}

void connection_pool::onUnnamedAnswer(const endpoint &Address) {
  clock::time_point Now = clock::now();
  if (UsedOnceUntil.size() >= MaxUsedOnce)
    std::erase_if(
        UsedOnceUntil,
        [Now](const std::pair<const endpoint, clock::time_point> &Server) {
          return Server.second <= Now;
        });
  if (UsedOnceUntil.size() >= MaxUsedOnce)
    UsedOnceUntil.erase(UsedOnceUntil.begin());
  UsedOnceUntil[Address] = Now + UsedOnceTime;
  Idle.erase({Address, answer_naming::Named});
}

bool connection_pool::isUsedOnce(const endpoint &Address) const {
  auto Found = UsedOnceUntil.find(Address);
  return Found != UsedOnceUntil.end() && clock::now() < Found->second;
}

void connection_pool::drop(const endpoint &Address) {
  Idle.erase({Address, answer_naming::Named});
  Idle.erase({Address, answer_naming::Unnamed});
}

} // namespace jasminecroft::detail
