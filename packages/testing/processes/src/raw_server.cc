// Threads that read requests and write what the test chose.
#include "jasminecroft/processes/raw_server.h"

#include <boost/asio/write.hpp>

#include <array>
#include <sstream>

namespace jasminecroft::processes {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::string headerOf(const std::string &Head, const std::string &Name) {
  std::size_t Begin = Head.find(Name + ": ");
  if (Begin == std::string::npos)
    return {};
  Begin += Name.size() + 2;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

} // namespace

raw_server::raw_server(handler Serve)
    : Serve(std::move(Serve)),
      Acceptor(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Accepting([this] { accept(); }) {}

raw_server::~raw_server() {
  Stopped = true;
  // Wakes the thread that accepts.
  asio::io_context Own;
  tcp::socket Last(Own);
  boost::system::error_code Ignored;
  Last.connect(Acceptor.local_endpoint(), Ignored);
  Accepting.join();
  for (const std::shared_ptr<tcp::socket> &Socket : Sockets)
    Socket->shutdown(tcp::socket::shutdown_both, Ignored);
  for (std::thread &Thread : Threads)
    Thread.join();
}

std::uint16_t raw_server::port() const {
  return Acceptor.local_endpoint().port();
}

void raw_server::accept() {
  while (!Stopped) {
    std::shared_ptr<tcp::socket> Socket =
        std::make_shared<tcp::socket>(Context);
    boost::system::error_code Error;
    Acceptor.accept(*Socket, Error);
    if (Error || Stopped)
      return;
    Sockets.push_back(Socket);
    Threads.emplace_back([this, Socket] { serve(*Socket); });
  }
}

void raw_server::serve(tcp::socket &Socket) {
  std::string Bytes;
  for (int Number = 0;; ++Number) {
    std::size_t HeadEnd = 0;
    std::size_t Length = 0;
    for (;;) {
      HeadEnd = Bytes.find("\r\n\r\n");
      if (HeadEnd != std::string::npos) {
        std::string Text =
            headerOf(Bytes.substr(0, HeadEnd + 2), "Content-Length");
        Length = Text.empty() ? 0 : std::stoul(Text);
        if (Bytes.size() >= HeadEnd + 4 + Length)
          break;
      }
      std::array<char, 4'096> Part{};
      boost::system::error_code Error;
      std::size_t Read = Socket.read_some(asio::buffer(Part), Error);
      if (Error)
        return;
      Bytes.append(Part.data(), Read);
    }
    raw_request Request;
    std::string Head = Bytes.substr(0, HeadEnd + 2);
    std::size_t Target = Head.find(' ') + 1;
    Request.Target = Head.substr(Target, Head.find(' ', Target) - Target);
    Request.Id = headerOf(Head, "X-Request-Id");
    Request.Head = std::move(Head);
    Request.Body = Bytes.substr(HeadEnd + 4, Length);
    Bytes.erase(0, HeadEnd + 4 + Length);
    Reused += Number > 0 ? 1 : 0;
    Serve(Request, Number, [&Socket](const std::string &Text) {
      boost::system::error_code Error;
      if (Text.empty()) {
        Socket.shutdown(tcp::socket::shutdown_both, Error);
        return false;
      }
      asio::write(Socket, asio::buffer(Text), Error);
      return !Error;
    });
  }
}

std::string answer(const std::string &Headers, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=8\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string signature(const std::string &Id) {
  return "X-Request-Id: " + Id + "\r\nX-Replica-Stamp: raw." + Id + "\r\n";
}

std::string eventsHead(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\n" + signature(Id) +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

std::string chunkOf(const std::string &Text) {
  std::ostringstream Chunk;
  Chunk << std::hex << Text.size() << "\r\n" << Text << "\r\n";
  return Chunk.str();
}

} // namespace jasminecroft::processes
