// One short session per connection; connections stay open between requests.
#include "page_listener.h"

#include "jasminecroft/wire/http_framing.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <optional>

namespace jasminecroft::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using error = boost::system::error_code;

namespace {

constexpr std::size_t MaxPageRequestBytes = 16'384;

constexpr std::uint32_t MaxHeaderBytes = 8'192;

class page_session : public std::enable_shared_from_this<page_session> {
public:
  page_session(tcp_socket Socket, std::shared_ptr<page_listener::handler> Pages)
      : Socket(std::move(Socket)), Pages(std::move(Pages)) {}

  void read() {
    Parser.emplace();
    Parser->header_limit(MaxHeaderBytes);
    http::async_read(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error &Error, std::size_t) {
          if (!Error && hasClearFraming(Self->Parser->get(),
                                        Self->Parser->get().version()))
            Self->answer();
        });
  }

private:
  void answer() {
    beast::string_view Target = Parser->get().target();
    page Page = (*Pages)({Target.data(), Target.size()});
    Close = !Parser->keep_alive();
    Text = "HTTP/1.1 " + std::to_string(Page.Status) +
           (Page.Status == 200 ? " OK" : " Service Unavailable") +
           "\r\nContent-Type: text/plain\r\nContent-Length: " +
           std::to_string(Page.Body.size()) + "\r\n" +
           (Close ? "Connection: close\r\n" : "") + "\r\n" + Page.Body;
    asio::async_write(
        Socket, asio::buffer(Text),
        [Self = shared_from_this()](const error &Error, std::size_t) {
          if (!Error && !Self->Close)
            Self->read();
        });
  }

  tcp_socket Socket;
  std::shared_ptr<page_listener::handler> Pages;
  beast::flat_buffer Buffer{MaxPageRequestBytes};
  std::optional<http::request_parser<http::empty_body>> Parser;
  std::string Text;
  bool Close = false;
};

class page_listener_impl final : public page_listener {
public:
  page_listener_impl(asio::io_context &Context, handler Handler)
      : Acceptor(Context),
        Pages(std::make_shared<handler>(std::move(Handler))) {}

  bool start(const asio::ip::tcp::endpoint &Address) {
    error Error;
    Acceptor.open(Address.protocol(), Error);
    if (!Error)
      Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
    if (!Error)
      Acceptor.bind(Address, Error);
    if (!Error)
      Acceptor.listen(asio::socket_base::max_listen_connections, Error);
    if (Error)
      return false;
    accept();
    return true;
  }

private:
  void accept() {
    Acceptor.async_accept([this](const error &Error, tcp_socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (!Error)
        std::make_shared<page_session>(std::move(Socket), Pages)->read();
      accept();
    });
  }

  tcp_acceptor Acceptor;
  std::shared_ptr<handler> Pages;
};

} // namespace

std::unique_ptr<page_listener>
makePageListener(asio::io_context &Context,
                 const asio::ip::tcp::endpoint &Address,
                 page_listener::handler Handler) {
  std::unique_ptr<page_listener_impl> Listener =
      std::make_unique<page_listener_impl>(Context, std::move(Handler));
  if (!Listener->start(Address))
    return nullptr;
  return Listener;
}

} // namespace jasminecroft::detail
