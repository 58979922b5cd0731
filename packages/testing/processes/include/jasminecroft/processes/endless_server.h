// A backend server in trouble: it answers each request with bytes that do not
// end until the caller closes the connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jasminecroft::processes {

/// What does not end.
enum class endless_part {
  /// Bytes without a line's end.
  Line,
  /// Header after header.
  Head,
  /// One header, a byte at a time.
  SlowHead,
  /// A signed answer without a length.
  Body,
  /// A signed answer in chunks.
  Chunks,
  /// A signed answer in chunks, of which one has a size line without end.
  ChunkLine,
  /// A signed answer in chunks with trailer after trailer.
  Trailer,
  /// A stream without the end of an event.
  Event,
  /// Interim answers.
  Interim,
  /// Whole answers to a request that nobody sent.
  Foreign,
};

/// Used on the thread of its context only. Listens on a loopback address of
/// this process, which no other process can call by a port that was used again.
class endless_server {
public:
  /// Only: requests for other targets are refused as not run; empty: none.
  endless_server(boost::asio::io_context &Context, endless_part Part,
                 std::string Only = {});
  ~endless_server();
  endless_server(const endless_server &) = delete;
  endless_server &operator=(const endless_server &) = delete;

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// "IP:port".
  std::string address() const;
  /// Connections on which it is still sending.
  std::size_t sending() const { return State->Sending.size(); }
  /// Heads of the requests that these connections brought.
  std::vector<std::string> sendingTo() const;
  std::size_t requests() const { return State->Requests; }

private:
  struct state {
    endless_part Part = endless_part::Line;
    std::string Only;
    /// Head of its request by connection.
    std::map<const void *, std::string> Sending;
    std::size_t Requests = 0;
    bool Stopped = false;
  };
  class link;

  void accept();

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<state> State;
};

} // namespace jasminecroft::processes
