// Object API over HTTP/1.1 with Beast. Connections are kept and used again.
#include "jasminecroft/core/endpoint.h"
#include "jasminecroft/platform/object_api.h"
#include "jasminecroft/wire/answer_buffer.h"
#include "jasminecroft/wire/http_framing.h"
#include "jasminecroft/wire/json_codec.h"
#include "jasminecroft/wire/quiet_socket.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

namespace jasminecroft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t MaxIdleConnections = 8;
constexpr std::size_t MaxAnswerBytes = 4'194'304;
/// A watch ends at the server this long before the client gives up.
constexpr core_duration WatchSlack{2'000'000};
constexpr char VersionHeader[] = "X-Object-Version";

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

struct request_builder {
  core_duration Timeout;

  request make(http::verb Verb, const std::string &Target) const {
    request Request{Verb, Target, 11};
    Request.set(http::field::host, "platform");
    Request.keep_alive(true);
    return Request;
  }
  static std::string target(const object_key &Key) {
    return "/v1/objects/" + Key.Value;
  }

  request operator()(const get_object &O) const {
    return make(http::verb::get, target(O.Key));
  }
  request operator()(const create_object &O) const {
    request Request = make(http::verb::put, target(O.Key));
    Request.set(http::field::if_none_match, "*");
    Request.body() = encodeStored(O.Value);
    return Request;
  }
  request operator()(const update_object &O) const {
    request Request = make(http::verb::put, target(O.Key));
    Request.set(http::field::if_match, std::to_string(O.Expected.Value));
    Request.body() = encodeStored(O.Value);
    return Request;
  }
  request operator()(const delete_object &O) const {
    request Request = make(http::verb::delete_, target(O.Key));
    Request.set(http::field::if_match, std::to_string(O.Expected.Value));
    return Request;
  }
  request operator()(const watch_object &O) const {
    core_duration Wait = std::max(Timeout - WatchSlack, Timeout / 2);
    std::int64_t WaitMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
    return make(http::verb::get, target(O.Key) +
                                     "?after=" + std::to_string(O.After.Value) +
                                     "&wait_ms=" + std::to_string(WaitMs));
  }
  request operator()(const list_objects &O) const {
    return make(http::verb::get, "/v1/list?prefix=" + O.Prefix +
                                     "&after=" + O.After.Value +
                                     "&limit=" + std::to_string(O.Limit));
  }
};

object_version versionOf(const response &Response) {
  std::string_view Text(Response[VersionHeader].data(),
                        Response[VersionHeader].size());
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return object_version(Number);
}

platform_result foundObject(const response &Response) {
  codec_result<stored_object> Decoded = decodeStored(Response.body());
  if (stored_object *Value = std::get_if<stored_object>(&Decoded))
    return object_found{std::move(*Value), versionOf(Response)};
  return object_malformed{versionOf(Response)};
}

// A list that cannot be read tells nothing, as if there were no answer.
platform_result listedObjects(const response &Response) {
  codec_result<std::vector<listed_object>> Decoded =
      decodeObjectList(Response.body());
  if (std::vector<listed_object> *Objects =
          std::get_if<std::vector<listed_object>>(&Decoded))
    return objects_listed{std::move(*Objects)};
  return platform_no_answer{};
}

platform_result toResult(const response &Response, bool IsWrite) {
  switch (Response.result()) {
  case http::status::ok:
    if (IsWrite)
      return object_written{versionOf(Response)};
    return foundObject(Response);
  case http::status::not_modified:
    return watch_expired{};
  case http::status::not_found:
    return object_absent{};
  case http::status::precondition_failed:
    return version_conflict{};
  case http::status::too_many_requests:
  case http::status::service_unavailable:
    return platform_refused{};
  default:
    return platform_no_answer{};
  }
}

bool isWrite(const platform_operation &Operation) {
  return !std::holds_alternative<get_object>(Operation) &&
         !std::holds_alternative<watch_object>(Operation) &&
         !std::holds_alternative<list_objects>(Operation);
}

std::optional<tcp::endpoint> parseEndpoint(const endpoint &Address) {
  std::optional<ip_port> Parts = splitEndpoint(Address);
  if (!Parts)
    return std::nullopt;
  return tcp::endpoint(asio::ip::make_address(Parts->Address), Parts->Port);
}

/// Connections that wait for the next call; shared with calls in progress.
class connection_pool {
public:
  explicit connection_pool(asio::io_context &Io) : Io(Io) {}

  asio::io_context &context() { return Io; }

  /// Null if no connection is idle.
  std::unique_ptr<beast::tcp_stream> take() {
    while (!Idle.empty()) {
      std::unique_ptr<beast::tcp_stream> Stream = std::move(Idle.back());
      Idle.pop_back();
      if (isQuiet(Stream->socket().native_handle()))
        return Stream;
    }
    return nullptr;
  }

  void give(std::unique_ptr<beast::tcp_stream> Stream) {
    if (Idle.size() < MaxIdleConnections)
      Idle.push_back(std::move(Stream));
  }

private:
  asio::io_context &Io;
  std::vector<std::unique_ptr<beast::tcp_stream>> Idle;
};

/// One call. A kept connection that turns out closed before any byte of an
/// answer is replaced by a fresh one for reads only; for writes nobody can
/// tell whether the call took effect.
class object_call : public std::enable_shared_from_this<object_call> {
public:
  object_call(std::shared_ptr<connection_pool> Pool, tcp::endpoint Server,
              const platform_operation &Operation, core_duration Timeout,
              object_api::result_handler Done)
      : Pool(std::move(Pool)), Server(std::move(Server)),
        Request(std::visit(request_builder{Timeout}, Operation)),
        IsWrite(isWrite(Operation)),
        IsList(std::holds_alternative<list_objects>(Operation)),
        Expiry(std::chrono::steady_clock::now() + Timeout),
        Done(std::move(Done)) {
    Request.prepare_payload();
  }

  void start() {
    // Writes use fresh connections so that a failed send is never ambiguous
    // because of a connection that the server closed while it was idle.
    if (!IsWrite)
      Stream = Pool->take();
    Reused = Stream != nullptr;
    if (Reused)
      write();
    else
      connect();
  }

private:
  void connect() {
    Stream = std::make_unique<beast::tcp_stream>(Pool->context());
    Stream->expires_at(Expiry);
    Stream->async_connect(Server,
                          [Self = shared_from_this()](beast::error_code Error) {
                            if (Error)
                              Self->finish(platform_refused{});
                            else
                              Self->write();
                          });
  }

  void write() {
    Stream->expires_at(Expiry);
    http::async_write(
        *Stream, Request,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            Self->onBroken();
          else
            Self->read();
        });
  }

  void read() {
    Parser.emplace();
    Parser->body_limit(MaxAnswerBytes);
    Buffer.expectHead();
    http::async_read(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error || Self->Buffer.hasFoldedLine() ||
              !hasClearFraming(Self->Parser->get(),
                               Self->Parser->get().version()))
            Self->onBroken();
          else
            Self->onResponse();
        });
  }

  void onBroken() {
    bool HasTime = std::chrono::steady_clock::now() < Expiry;
    if (!Reused || !HasTime) {
      finish(platform_no_answer{});
      return;
    }
    Reused = false;
    Buffer.clear();
    connect();
  }

  void onResponse() {
    const response &Response = Parser->get();
    platform_result Result = toResult(Response, IsWrite);
    if (IsList && Response.result() == http::status::ok)
      Result = listedObjects(Response);
    if (Response.keep_alive() && Buffer.size() == 0) {
      Stream->expires_never();
      Pool->give(std::move(Stream));
    }
    finish(std::move(Result));
  }

  void finish(platform_result Result) {
    object_api::result_handler Handler = std::exchange(Done, nullptr);
    if (Handler)
      Handler(std::move(Result));
  }

  std::shared_ptr<connection_pool> Pool;
  tcp::endpoint Server;
  request Request;
  bool IsWrite;
  bool IsList;
  bool Reused = false;
  std::chrono::steady_clock::time_point Expiry;
  object_api::result_handler Done;
  std::unique_ptr<beast::tcp_stream> Stream;
  answer_buffer Buffer;
  std::optional<http::response_parser<http::string_body>> Parser;
};

class http_object_api final : public object_api {
public:
  http_object_api(asio::io_context &Io, const endpoint &Address)
      : Pool(std::make_shared<connection_pool>(Io)),
        Server(parseEndpoint(Address)) {}

  void call(platform_operation Operation, core_duration Timeout,
            result_handler Done) override {
    if (!Server) {
      asio::post(Pool->context(),
                 [Done = std::move(Done)] { Done(platform_refused{}); });
      return;
    }
    std::shared_ptr<object_call> Call = std::make_shared<object_call>(
        Pool, *Server, Operation, Timeout, std::move(Done));
    asio::post(Pool->context(), [Call] { Call->start(); });
  }

private:
  std::shared_ptr<connection_pool> Pool;
  std::optional<tcp::endpoint> Server;
};

} // namespace

std::unique_ptr<object_api> makeHttpObjectApi(asio::io_context &Context,
                                              const endpoint &Address) {
  return std::make_unique<http_object_api>(Context, Address);
}

} // namespace jasminecroft
