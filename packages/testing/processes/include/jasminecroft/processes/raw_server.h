// A server that answers with bytes chosen by its test, and the texts of
// answers as the users' backend servers write them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jasminecroft::processes {

struct raw_request {
  /// Request line and headers.
  std::string Head;
  std::string Target;
  std::string Id;
  std::string Body;
};

/// Serves each connection on a thread of its own with what Serve writes.
class raw_server {
public:
  /// Writes a text; an empty one ends the connection.
  using writer = std::function<bool(const std::string &)>;
  /// Called for each request; Number counts those of the connection from 0.
  using handler = std::function<void(const raw_request &Request, int Number,
                                     const writer &Write)>;

  explicit raw_server(handler Serve);
  ~raw_server();
  raw_server(const raw_server &) = delete;
  raw_server &operator=(const raw_server &) = delete;

  std::uint16_t port() const;
  /// Requests that came on a connection that had served one before.
  int reused() const { return Reused; }

private:
  void accept();
  void serve(boost::asio::ip::tcp::socket &Socket);

  handler Serve;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stopped = false;
  std::atomic<int> Reused = 0;
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> Sockets;
  std::vector<std::thread> Threads;
  std::thread Accepting;
};

/// A 200 with a length; Headers are whole lines.
std::string answer(const std::string &Headers, const std::string &Body);
/// Header lines that sign an answer to a request.
std::string signature(const std::string &Id);
/// Head of a stream in chunks.
std::string eventsHead(const std::string &Id);
std::string chunkOf(const std::string &Text);

} // namespace jasminecroft::processes
