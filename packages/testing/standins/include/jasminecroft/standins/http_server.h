// A small HTTP/1.1 server for stand-ins: one handler, answers now or later,
// whole or as server-sent events.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jasminecroft::standins {

/// One request and the means to answer it, once. Everything runs on the
/// server's io_context thread.
class http_exchange {
public:
  virtual ~http_exchange() = default;

  virtual std::string_view method() const = 0;
  /// Path and query.
  virtual std::string_view target() const = 0;
  /// Empty if the header is absent.
  virtual std::string_view header(std::string_view Name) const = 0;
  virtual const std::string &body() const = 0;

  /// Sends a whole answer; Headers are lines "Name: value\r\n".
  virtual void respond(int Status, std::string Body,
                       std::string Headers = {}) = 0;
  /// Begins an answer of server-sent events; Headers as for respond.
  virtual void beginEvents(std::string Headers = {}) = 0;
  /// Sends text of the stream as it is.
  virtual void sendText(std::string_view Text) = 0;
  virtual void sendEvent(std::string_view Event, std::string_view Data) = 0;
  virtual void endEvents() = 0;
  /// Sends bytes as they are, before any answer.
  virtual void sendRaw(std::string Bytes) = 0;
  /// The same for all requests of one connection, and for no other.
  virtual std::uint64_t connectionNumber() const = 0;
  /// Closes the connection without (the rest of) an answer.
  virtual void breakConnection() = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

class http_server {
public:
  virtual ~http_server() = default;
  /// Port in use, for servers that were started at port 0.
  virtual std::uint16_t port() const = 0;
};

/// Listens at "IP:port". Throws boost::system::system_error if it cannot.
std::unique_ptr<http_server> serveHttp(boost::asio::io_context &Context,
                                       std::string_view Address,
                                       http_handler Handler);

} // namespace jasminecroft::standins
