// Runs asynchronous calls to their end, with a time for all tries.
#include "blocking_access.h"

#include "jasminecroft/core/endpoint.h"
#include "jasminecroft/platform/object_api.h"
#include "jasminecroft/wire/answer_buffer.h"
#include "jasminecroft/wire/http_framing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <thread>

namespace jasminecroft::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds RetryDelay{200};
constexpr core_duration CallTimeout{2'000'000};
constexpr std::chrono::seconds StatusTimeout{3};

class blocking_object_access final : public object_access {
public:
  explicit blocking_object_access(const ctl_settings &Settings)
      : Api(makeHttpObjectApi(Io, Settings.Platform)),
        Expiry(steady::now() + Settings.Timeout) {}

  platform_result call(const platform_operation &Operation) override {
    std::optional<platform_result> Result;
    Api->call(Operation, CallTimeout,
              [&Result](platform_result R) { Result = std::move(R); });
    Io.restart();
    while (!Result)
      Io.run_one();
    return *Result;
  }

  bool waitForNextTry() override {
    if (steady::now() + RetryDelay >= Expiry)
      return false;
    std::this_thread::sleep_for(RetryDelay);
    return true;
  }

private:
  asio::io_context Io;
  std::unique_ptr<object_api> Api;
  steady::time_point Expiry;
};

class http_status_access final : public status_access {
public:
  std::optional<std::string> read(const endpoint &Host,
                                  const std::string &Topic) override {
    asio::io_context Io;
    beast::tcp_stream Stream(Io);
    std::optional<asio::ip::tcp::endpoint> Where = parse(Host);
    if (!Where)
      return std::nullopt;
    beast::error_code Error = asio::error::would_block;
    Stream.expires_after(StatusTimeout);
    Stream.async_connect(*Where, [&Error](beast::error_code E) { Error = E; });
    Io.run();
    if (Error)
      return std::nullopt;
    http::request<http::empty_body> Request{http::verb::get, "/status/" + Topic,
                                            11};
    Request.set(http::field::host, Host.Value);
    Request.keep_alive(false);
    http::response<http::string_body> Response;
    answer_buffer Buffer;
    Buffer.expectHead();
    http::async_write(
        Stream, Request, [&](beast::error_code WriteError, std::size_t) {
          Error = WriteError;
          if (Error)
            return;
          http::async_read(Stream, Buffer, Response,
                           [&Error](beast::error_code ReadError, std::size_t) {
                             Error = ReadError;
                           });
        });
    Io.restart();
    Io.run();
    if (Error || Buffer.hasFoldedLine() ||
        !hasClearFraming(Response, Response.version()) ||
        Response.result() != http::status::ok)
      return std::nullopt;
    return std::move(Response.body());
  }

private:
  static std::optional<asio::ip::tcp::endpoint> parse(const endpoint &Host) {
    std::optional<ip_port> Parts = splitEndpoint(Host);
    if (!Parts)
      return std::nullopt;
    return asio::ip::tcp::endpoint(asio::ip::make_address(Parts->Address),
                                   Parts->Port);
  }
};

class tcp_access final : public network_access {
public:
  explicit tcp_access(const ctl_settings &Settings) : Platform(Settings) {}
  object_access &platform() override { return Platform; }
  status_access &hosts() override { return Hosts; }

private:
  blocking_object_access Platform;
  http_status_access Hosts;
};

} // namespace

std::unique_ptr<network_access>
makeNetworkAccess(const ctl_settings &Settings) {
  return std::make_unique<tcp_access>(Settings);
}

} // namespace jasminecroft::ctl
