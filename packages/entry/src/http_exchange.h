// One HTTP/1.1 request to a server and its answer, over pooled connections.
#pragma once

#include "jasminecroft/core/types.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminecroft::detail {

enum class exchange_method { Get, Post, Put, Delete };

struct exchange_request {
  endpoint Address;
  exchange_method Method = exchange_method::Get;
  std::string Target;
  std::vector<std::pair<std::string_view, std::string>> Headers;
  std::string Body;
  /// Name of the answer's header that the listener is told; empty: none.
  std::string_view AnswerHeader;
  std::chrono::microseconds Timeout{0};
  /// Time for a new connection; zero: the whole timeout.
  std::chrono::microseconds ConnectTimeout{0};
  /// False for calls that must not fail because an idle connection went stale.
  bool MayReuseConnection = true;
};

enum class exchange_failure {
  /// No byte of the request left this host.
  NotConnected,
  /// The connection broke, or the answer was cut or malformed.
  Broken,
  TimedOut,
};

/// Hears of an exchange. After onComplete or onFailed nothing follows, and
/// nothing follows after cancel.
class exchange_listener {
public:
  virtual ~exchange_listener() = default;
  /// The answer has the header that the request names. Precedes onComplete.
  virtual void onAnswerHeader(std::string_view /*Value*/) {}
  /// Text of a 200 answer of type text/event-stream. False: unreadable.
  virtual bool onStreamText(std::string_view Text) = 0;
  /// Body is empty for streams.
  virtual void onComplete(unsigned Status, std::string Body) = 0;
  virtual void onFailed(exchange_failure Failure) = 0;
};

class http_exchange {
public:
  virtual ~http_exchange() = default;
  virtual void cancel() = 0;
};

/// Counts of connections since the client's start.
struct connection_counters {
  std::uint64_t Opened = 0;
  std::uint64_t Reused = 0;
};

/// Starts exchanges and keeps idle connections; used from one thread.
class http_client {
public:
  virtual ~http_client() = default;
  /// Never calls Listener before it returns.
  virtual std::shared_ptr<http_exchange>
  start(exchange_request Request,
        std::shared_ptr<exchange_listener> Listener) = 0;
  virtual void closeIdle() = 0;
  virtual connection_counters counters() const = 0;
};

std::unique_ptr<http_client> makeHttpClient(boost::asio::io_context &Context);

} // namespace jasminecroft::detail
