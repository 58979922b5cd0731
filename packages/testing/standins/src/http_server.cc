// HTTP server of the stand-ins, with Beast's parser and plain writes.
#include "jasminecroft/standins/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>

namespace jasminecroft::standins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::uint64_t MaxBodyBytes = 32'000'000;

/// One connection; serves its requests one after the other.
class connection final : public std::enable_shared_from_this<connection> {
public:
  connection(tcp::socket Socket, const http_handler &Handler,
             std::uint64_t Number)
      : Stream(std::move(Socket)), Handler(Handler), Number(Number) {}

  std::uint64_t number() const { return Number; }

  void read();
  void send(std::string Bytes, bool Last);
  void close();
  const http::request<http::string_body> &request() const {
    return Parser->get();
  }

private:
  void writeNext();

  struct pending_write {
    std::string Bytes;
    /// The answer is whole after it; the next request may be read.
    bool Last;
  };

  beast::tcp_stream Stream;
  const http_handler &Handler;
  std::uint64_t Number;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::deque<pending_write> Writes;
  bool Closed = false;
};

class exchange final : public http_exchange {
public:
  exchange(std::shared_ptr<connection> Link,
           http::request<http::string_body> Request)
      : Link(std::move(Link)), Request(std::move(Request)) {}

  std::string_view method() const override {
    return {Request.method_string().data(), Request.method_string().size()};
  }
  std::string_view target() const override {
    return {Request.target().data(), Request.target().size()};
  }
  std::string_view header(std::string_view Name) const override {
    beast::string_view Value = Request[beast::string_view(Name)];
    return {Value.data(), Value.size()};
  }
  const std::string &body() const override { return Request.body(); }

  void respond(int Status, std::string Body, std::string Headers) override {
    std::string Text = "HTTP/1.1 " + std::to_string(Status) + " \r\n";
    Text += "Content-Type: application/json\r\n";
    Text += Headers;
    if (Status != 304)
      Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    Text += "\r\n";
    Text += Body;
    Link->send(std::move(Text), true);
  }
  void beginEvents(std::string Headers) override {
    Link->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n" +
                   Headers + "\r\n",
               false);
  }
  void sendRaw(std::string Bytes) override {
    Link->send(std::move(Bytes), false);
  }
  std::uint64_t connectionNumber() const override { return Link->number(); }
  void sendText(std::string_view Text) override {
    char Size[20];
    std::snprintf(Size, sizeof Size, "%zx\r\n", Text.size());
    Link->send(Size + std::string(Text) + "\r\n", false);
  }
  void sendEvent(std::string_view Event, std::string_view Data) override {
    std::string Text;
    if (!Event.empty())
      Text += "event: " + std::string(Event) + "\n";
    Text += "data: " + std::string(Data) + "\n\n";
    sendText(Text);
  }
  void endEvents() override { Link->send("0\r\n\r\n", true); }
  void breakConnection() override { Link->close(); }

private:
  std::shared_ptr<connection> Link;
  http::request<http::string_body> Request;
};

void connection::read() {
  Parser.emplace();
  Parser->body_limit(MaxBodyBytes);
  http::async_read(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](beast::error_code Error, std::size_t) {
        if (Error) {
          Self->close();
          return;
        }
        Self->Handler(
            std::make_shared<exchange>(Self, Self->Parser->release()));
      });
}

void connection::send(std::string Bytes, bool Last) {
  if (Closed)
    return;
  Writes.push_back({std::move(Bytes), Last});
  if (Writes.size() == 1)
    writeNext();
}

void connection::writeNext() {
  asio::async_write(
      Stream, asio::buffer(Writes.front().Bytes),
      [Self = shared_from_this()](beast::error_code Error, std::size_t) {
        if (Error || Self->Closed) {
          Self->close();
          return;
        }
        bool Last = Self->Writes.front().Last;
        Self->Writes.pop_front();
        if (!Self->Writes.empty())
          Self->writeNext();
        else if (Last)
          Self->read();
      });
}

void connection::close() {
  Closed = true;
  beast::error_code Ignored;
  Stream.socket().close(Ignored);
}

class server final : public http_server {
public:
  server(asio::io_context &Io, const tcp::endpoint &Where, http_handler Handler)
      : Acceptor(Io, Where), Handler(std::move(Handler)) {
    accept();
  }

  std::uint16_t port() const override {
    return Acceptor.local_endpoint().port();
  }

private:
  void accept() {
    Acceptor.async_accept([this](beast::error_code Error, tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (!Error) {
        beast::error_code Ignored;
        Socket.set_option(tcp::no_delay(true), Ignored);
        std::make_shared<connection>(std::move(Socket), Handler, ++Connections)
            ->read();
      }
      accept();
    });
  }

  tcp::acceptor Acceptor;
  http_handler Handler;
  std::uint64_t Connections = 0;
};

} // namespace

std::unique_ptr<http_server> serveHttp(asio::io_context &Context,
                                       std::string_view Address,
                                       http_handler Handler) {
  std::size_t Colon = Address.rfind(':');
  asio::ip::address Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)));
  int Port = std::stoi(std::string(Address.substr(Colon + 1)));
  tcp::endpoint Where(Ip, static_cast<std::uint16_t>(Port));
  return std::make_unique<server>(Context, Where, std::move(Handler));
}

} // namespace jasminecroft::standins
