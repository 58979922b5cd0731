// Connects, writes one request, reads one answer and keeps the connection.
#include "http_exchange.h"

#include "connection_pool.h"
#include "io_types.h"
#include "jasminecroft/entry/settings.h"
#include "jasminecroft/wire/answer_buffer.h"
#include "jasminecroft/wire/http_framing.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace jasminecroft::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error = boost::system::error_code;

namespace {

constexpr std::uint64_t MaxAnswerBytes = 33'554'432;
constexpr unsigned HttpVersion11 = 11;
/// Lower ones belong to interim answers, which no exchange asks for, or to
/// none.
constexpr unsigned FirstFinalStatus = 200;

beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

http::verb verbOf(exchange_method Method) {
  switch (Method) {
  case exchange_method::Get:
    return http::verb::get;
  case exchange_method::Post:
    return http::verb::post;
  case exchange_method::Put:
    return http::verb::put;
  case exchange_method::Delete:
    return http::verb::delete_;
  }
  return http::verb::get;
}

// One buffer is written faster than the serializer's many.
std::string serialize(const http::request<http::string_body> &Request) {
  http::request_serializer<http::string_body, http::fields> Serializer(Request);
  std::string Text;
  error Error;
  while (!Serializer.is_done()) {
    Serializer.next(Error, [&](error &, const auto &Buffers) {
      Text += beast::buffers_to_string(Buffers);
      Serializer.consume(beast::buffer_bytes(Buffers));
    });
  }
  return Text;
}

class exchange_impl final : public http_exchange,
                            private held_memory::holder,
                            public std::enable_shared_from_this<exchange_impl> {
public:
  exchange_impl(asio::io_context &Context,
                std::shared_ptr<connection_pool> Pool, exchange_request Wanted,
                std::shared_ptr<exchange_listener> Listener)
      : Context(Context), Pool(std::move(Pool)), Wanted(std::move(Wanted)),
        Listener(std::move(Listener)), Socket(Context), Timer(Context) {}

  void start() {
    setTimer(Wanted.Timeout);
    prepare();
    std::optional<tcp_socket> Reused;
    if (Wanted.MayReuseConnection)
      Reused = Pool->take(Wanted.Address, answer_naming::Unnamed);
    if (!Reused) {
      connect();
      return;
    }
    Socket = std::move(*Reused);
    write();
  }

  void cancel() override { end(); }

private:
  void setTimer(std::chrono::microseconds Time) {
    Timer.expires_after(Time);
    Timer.async_wait([Self = shared_from_this()](const error &Error) {
      if (!Error)
        Self->onTimeout();
    });
  }

  void prepare() {
    http::request<http::string_body> Request;
    Request.version(HttpVersion11);
    Request.method(verbOf(Wanted.Method));
    Request.target(toBeast(Wanted.Target));
    Request.set(http::field::host, toBeast(Wanted.Address.Value));
    if (Wanted.Method == exchange_method::Post ||
        Wanted.Method == exchange_method::Put)
      Request.set(http::field::content_type, "application/json");
    for (const std::pair<std::string_view, std::string> &Header :
         Wanted.Headers)
      Request.insert(toBeast(Header.first), toBeast(Header.second));
    Request.body() = std::move(Wanted.Body);
    Request.prepare_payload();
    RequestText = serialize(Request);
  }

  void connect() {
    std::optional<ip_port> Parts = splitEndpoint(Wanted.Address);
    error Error;
    tcp::endpoint Server;
    if (Parts)
      Server = tcp::endpoint(asio::ip::make_address(Parts->Address, Error),
                             Parts->Port);
    if (!Parts || Error) {
      asio::post(Context, [Self = shared_from_this()] {
        Self->fail(exchange_failure::NotConnected);
      });
      return;
    }
    if (Wanted.ConnectTimeout.count() > 0)
      setTimer(Wanted.ConnectTimeout);
    Socket.async_connect(Server,
                         [Self = shared_from_this()](const error &Failure) {
                           Self->onConnected(Failure);
                         });
  }

  void onConnected(const error &Error) {
    if (!Listener)
      return;
    if (Error) {
      fail(exchange_failure::NotConnected);
      return;
    }
    ++Pool->Counters.Opened;
    prepareSocket(Socket);
    if (Wanted.ConnectTimeout.count() > 0)
      setTimer(Wanted.Timeout);
    write();
  }

  void write() {
    MayHaveLeft = true;
    asio::async_write(
        Socket, asio::buffer(RequestText),
        [Self = shared_from_this()](const error &Error, std::size_t) {
          if (!Self->Listener)
            return;
          if (Error)
            Self->fail(exchange_failure::Broken);
          else
            Self->readHeader();
        });
  }

  void readHeader() {
    Parser.emplace();
    Parser->body_limit(MaxAnswerBytes);
    Buffer.expectHead();
    http::async_read_header(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error &Error, std::size_t) {
          Self->onHeader(Error);
        });
  }

  void onHeader(const error &Error) {
    if (!Listener)
      return;
    if (Error || Buffer.hasFoldedLine() ||
        Parser->get().result_int() < FirstFinalStatus ||
        !hasClearFraming(Parser->get(), Parser->get().version())) {
      fail(exchange_failure::Broken);
      return;
    }
    beast::string_view Type = Parser->get()[http::field::content_type];
    Streamed = Parser->get().result_int() == 200 &&
               Type.starts_with("text/event-stream");
    if (Streamed)
      Parser->body_limit(boost::none);
    if (Parser->is_done())
      complete();
    else if (Streamed)
      readStream();
    else
      readBody();
  }

  void readBody() {
    http::async_read_some(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error &Error, std::size_t) {
          Self->onBody(Error);
        });
  }

  void onBody(const error &Error) {
    if (!Listener)
      return;
    if (Error) {
      fail(exchange_failure::Broken);
      return;
    }
    if (Parser->is_done()) {
      complete();
      return;
    }
    Pool->Memory.hold(held_kind::ArrivingAnswer, *this,
                      Parser->get().body().capacity());
    // It may have given up.
    if (Listener)
      readBody();
  }

  void giveUpAnswer() override { fail(exchange_failure::Broken); }

  void readStream() {
    http::async_read_some(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error &Error, std::size_t) {
          Self->onStream(Error);
        });
  }

  // The listener may cancel this exchange while it takes the text.
  void onStream(const error &Error) {
    if (!Listener)
      return;
    std::string Text = std::exchange(Parser->get().body(), {});
    std::shared_ptr<exchange_listener> Current = Listener;
    bool Readable = Text.empty() || Current->onStreamText(Text);
    if (!Listener)
      return;
    if (Error || !Readable)
      fail(exchange_failure::Broken);
    else if (Parser->is_done())
      complete();
    else
      readStream();
  }

  void complete() {
    unsigned Status = Parser->get().result_int();
    std::string Body = std::move(Parser->get().body());
    tellHeader();
    if (Parser->get().keep_alive() && Buffer.size() == 0)
      Pool->give(Wanted.Address, answer_naming::Unnamed, std::move(Socket),
                 std::nullopt);
    std::shared_ptr<exchange_listener> Last = Listener;
    end();
    Last->onComplete(Status, std::move(Body));
  }

  void tellHeader() {
    if (Wanted.AnswerHeader.empty())
      return;
    http::fields::const_iterator Found =
        Parser->get().find(toBeast(Wanted.AnswerHeader));
    if (Found != Parser->get().end())
      Listener->onAnswerHeader({Found->value().data(), Found->value().size()});
  }

  void onTimeout() {
    if (Listener)
      fail(MayHaveLeft ? exchange_failure::TimedOut
                       : exchange_failure::NotConnected);
  }

  void fail(exchange_failure Failure) {
    if (!Listener)
      return;
    std::shared_ptr<exchange_listener> Last = Listener;
    end();
    Last->onFailed(Failure);
  }

  void end() {
    Listener.reset();
    Pool->Memory.release(*this);
    Timer.cancel();
    error Ignored;
    Socket.close(Ignored);
  }

  asio::io_context &Context;
  std::shared_ptr<connection_pool> Pool;
  exchange_request Wanted;
  /// Absent once the exchange has ended.
  std::shared_ptr<exchange_listener> Listener;
  tcp_socket Socket;
  io_timer Timer;
  std::string RequestText;
  std::optional<http::response_parser<http::string_body>> Parser;
  answer_buffer Buffer{MaxUndecodedBytes};
  /// True from just before the first byte is written.
  bool MayHaveLeft = false;
  bool Streamed = false;
};

class http_client_impl final : public http_client {
public:
  explicit http_client_impl(asio::io_context &Context)
      : Context(Context), Pool(std::make_shared<connection_pool>(Context)) {}

  std::shared_ptr<http_exchange>
  start(exchange_request Request,
        std::shared_ptr<exchange_listener> Listener) override {
    std::shared_ptr<exchange_impl> Exchange = std::make_shared<exchange_impl>(
        Context, Pool, std::move(Request), std::move(Listener));
    Exchange->start();
    return Exchange;
  }

  void closeIdle() override { Pool->clear(); }
  connection_counters counters() const override { return Pool->Counters; }

private:
  asio::io_context &Context;
  std::shared_ptr<connection_pool> Pool;
};

} // namespace

std::unique_ptr<http_client> makeHttpClient(asio::io_context &Context) {
  return std::make_unique<http_client_impl>(Context);
}

} // namespace jasminecroft::detail
