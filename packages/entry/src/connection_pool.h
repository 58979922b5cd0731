// Idle connections to servers, kept for reuse.
#pragma once

#include "http_exchange.h"
#include "io_types.h"
#include "jasminecroft/core/serving/held_memory.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace jasminecroft::detail {

/// Sets what every connection to a server needs: no delay of small writes,
/// and probes that end a connection whose peer has gone silent.
void prepareSocket(tcp_socket &Socket);

/// Bytes of answers that may be read and not whole at one time, in a process
/// without an account of its own.
inline constexpr std::size_t MaxAnswersBytes = 33'554'432;
/// Room for what is received and not decoded yet, of one answer.
inline constexpr std::size_t MaxUndecodedBytes = 131'072;
/// Interim answers, and leftovers of other requests, that may come before the
/// answer to a call.
inline constexpr unsigned MaxEarlierAnswers = 8;

/// Whether all answers on a connection so far have named their request. A late
/// copy of one that did not could be taken for the answer to any later call.
enum class answer_naming { Named, Unnamed };

/// Used from one thread. Connections that are not used again are closed in
/// time, and so are those on which a server sends what nobody asked for.
class connection_pool : public std::enable_shared_from_this<connection_pool> {
public:
  using clock = std::chrono::steady_clock;

  /// The servers that calls may go to.
  using server_list = std::function<std::set<endpoint>()>;

  /// Listed: idle connections to servers that it has not had for a while are
  /// closed; absent if servers do not leave. Account: of what the process
  /// holds, must outlive the pool; null: the pool has its own.
  explicit connection_pool(boost::asio::io_context &Context,
                           server_list Listed = nullptr,
                           held_memory *Account = nullptr)
      : Memory(Account ? *Account : OwnMemory), Listed(std::move(Listed)),
        Timer(Context) {}

  /// The connection used last that is neither closed nor about to be closed by
  /// its server.
  std::optional<tcp_socket> take(const endpoint &Address, answer_naming Naming);
  /// Lifetime: how long the server keeps idle connections, if it is known.
  void give(const endpoint &Address, answer_naming Naming, tcp_socket Socket,
            std::optional<std::chrono::milliseconds> Lifetime);
  /// A server answered without naming the request: until UsedOnceTime has
  /// passed, no connection to it serves two calls that have to be named.
  void onUnnamedAnswer(const endpoint &Address);
  /// Closes what is idle towards one server, or towards all.
  void drop(const endpoint &Address);
  void clear() { Idle.clear(); }

  connection_counters Counters;
  held_memory &Memory;

private:
  struct idle_connection {
    tcp_socket Socket;
    clock::time_point UsableUntil;

    bool usable(clock::time_point Now);
  };

  bool isUsedOnce(const endpoint &Address) const;
  /// Whether the server has been off the list for so long that it is gone.
  bool hasLeft(const endpoint &Address, const std::set<endpoint> &Servers,
               clock::time_point Now);
  void startTimer();
  void closeUnusable();

  held_memory OwnMemory{memory_shares{0, MaxAnswersBytes, 0, MaxAnswersBytes}};
  server_list Listed;
  std::map<std::pair<endpoint, answer_naming>, std::deque<idle_connection>>
      Idle;
  /// Servers with idle connections that are off the list.
  std::map<endpoint, clock::time_point> UnlistedSince;
  /// Servers that answered without naming the request, and until when that
  /// counts; at most MaxUsedOnce.
  std::map<endpoint, clock::time_point> UsedOnceUntil;
  io_timer Timer;
  bool TimerRuns = false;
};

} // namespace jasminecroft::detail
