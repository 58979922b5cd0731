// One link for each connection: two sockets, each read while the other is
// written.
#include "jasminecroft/processes/fault_proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>

namespace jasminecroft::processes {

namespace asio = boost::asio;
using asio::ip::tcp;
using error = boost::system::error_code;

class fault_proxy::link : public std::enable_shared_from_this<link> {
public:
  link(asio::io_context &Context, tcp::socket Caller,
       std::shared_ptr<settings> Settings)
      : Context(Context),
        Settings(std::move(Settings)), Sides{side{std::move(Caller)},
                                             side{tcp::socket(Context)}} {}

  void start(const tcp::endpoint &Target) {
    Sides[1].Socket.async_connect(
        Target, [Self = shared_from_this()](const error &Error) {
          if (Error) {
            Self->end(true);
            return;
          }
          Self->read(0);
          Self->read(1);
        });
  }

  void end(bool Reset) {
    for (side &Side : Sides) {
      error Ignored;
      if (Reset)
        Side.Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      Side.Socket.close(Ignored);
    }
  }

  bool open() const { return Sides[0].Socket.is_open(); }

private:
  struct side {
    explicit side(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    std::array<char, 16'384> Buffer{};
  };

  bool loses(std::size_t From) const {
    return Settings->Loss == proxy_loss::Both ||
           (Settings->Loss == proxy_loss::FromServer && From == 1);
  }

  void read(std::size_t From) {
    Sides[From].Socket.async_read_some(
        asio::buffer(Sides[From].Buffer),
        [Self = shared_from_this(), From](const error &Error,
                                          std::size_t Size) {
          Self->onRead(From, Error, Size);
        });
  }

  void onRead(std::size_t From, const error &Error, std::size_t Size) {
    if (Error) {
      if (!Silent)
        end(false);
      return;
    }
    Silent = Silent || loses(From);
    if (Silent) {
      read(From);
      return;
    }
    std::shared_ptr<std::string> Bytes =
        std::make_shared<std::string>(Sides[From].Buffer.data(), Size);
    if (Settings->Delay.count() == 0) {
      write(From, Bytes);
      return;
    }
    std::shared_ptr<asio::steady_timer> Timer =
        std::make_shared<asio::steady_timer>(Context, Settings->Delay);
    Timer->async_wait([Self = shared_from_this(), Timer, From,
                       Bytes](const error &) { Self->write(From, Bytes); });
  }

  void write(std::size_t From, const std::shared_ptr<std::string> &Bytes) {
    asio::async_write(Sides[1 - From].Socket, asio::buffer(*Bytes),
                      [Self = shared_from_this(), From,
                       Bytes](const error &Error, std::size_t) {
                        if (Error)
                          Self->end(false);
                        else
                          Self->read(From);
                      });
  }

  asio::io_context &Context;
  std::shared_ptr<settings> Settings;
  std::array<side, 2> Sides;
  /// Nothing is carried any more, either way.
  bool Silent = false;
};

fault_proxy::fault_proxy(asio::io_context &Context, std::uint16_t Target)
    : Context(Context), Target(asio::ip::address_v4::loopback(), Target),
      Acceptor(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  accept();
}

fault_proxy::~fault_proxy() {
  error Ignored;
  Acceptor.close(Ignored);
  resetAll();
}

std::uint16_t fault_proxy::port() const {
  return Acceptor.local_endpoint().port();
}

void fault_proxy::setTarget(std::uint16_t Port) {
  Target = tcp::endpoint(asio::ip::address_v4::loopback(), Port);
}

void fault_proxy::setTarget(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  Target = tcp::endpoint(
      asio::ip::make_address(Address.substr(0, Colon)),
      static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1))));
}

void fault_proxy::accept() {
  Acceptor.async_accept([this](const error &Error, tcp::socket Socket) {
    if (Error)
      return;
    std::erase_if(
        Links, [](const std::shared_ptr<link> &Link) { return !Link->open(); });
    std::shared_ptr<link> Link =
        std::make_shared<link>(Context, std::move(Socket), Settings);
    Links.insert(Link);
    Link->start(Target);
    accept();
  });
}

void fault_proxy::resetAll() {
  for (const std::shared_ptr<link> &Link : Links)
    Link->end(true);
  Links.clear();
}

} // namespace jasminecroft::processes
