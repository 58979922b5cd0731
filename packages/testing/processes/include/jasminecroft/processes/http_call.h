// A plain blocking HTTP client for tests, which also sends malformed requests.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace jasminecroft::processes {

/// What came back; Status is 0 if no whole answer came.
struct http_reply {
  unsigned Status = 0;
  std::string Head;
  std::string Body;
  /// True if the connection could not even be made.
  bool Refused = false;

  bool whole() const { return Status != 0; }
};

struct http_call {
  std::uint16_t Port = 0;
  std::string Method = "POST";
  std::string Target;
  /// Whole lines, each ended by CR LF.
  std::string Headers;
  std::string Body;
};

/// One connection to 127.0.0.1; used from one thread.
class http_connection {
public:
  /// ReceiveBytes: room for what is received and not read; 0: the system's.
  explicit http_connection(std::uint16_t Port, int ReceiveBytes = 0);
  ~http_connection();
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;

  bool connected() const { return Socket >= 0; }
  /// False if the peer does not take it.
  bool send(std::string_view Bytes) const;
  void closeSending() const;
  /// Some bytes; empty at the end or after Bound.
  std::string receive(std::chrono::seconds Bound) const;
  /// Reads one whole answer, chunked ones included.
  http_reply readReply(std::chrono::seconds Bound) const;
  /// Closes so that the peer sees a reset.
  void reset();

private:
  int Socket = -1;
};

std::string requestText(const http_call &Call);
/// Sends one request on a connection of its own.
http_reply exchange(const http_call &Call,
                    std::chrono::seconds Bound = std::chrono::seconds(30));

} // namespace jasminecroft::processes
