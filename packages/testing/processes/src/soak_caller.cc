// Texts of requests and the choice of their connections.
#include "jasminecroft/processes/soak_caller.h"

#include "jasminecroft/processes/raw_server.h"

#include <string>
#include <thread>

namespace jasminecroft::processes {

namespace {

/// One of so many requests is sent in chunks; one of so many callers leaves.
constexpr std::uint64_t ChunkedShare = 3;
constexpr std::uint64_t LeavingShare = 12;
constexpr std::uint64_t LongestStayMs = 20;
/// One of so many callers begins to read late, with little room.
constexpr std::uint64_t LateReaderShare = 15;
constexpr std::uint64_t LongestUnreadMs = 1'500;
constexpr int LateReceiveBytes = 4'096;

std::string chunkedText(const http_call &Call) {
  std::string Text = Call.Method + ' ' + Call.Target +
                     " HTTP/1.1\r\nHost: localhost\r\n" + Call.Headers +
                     "Transfer-Encoding: chunked\r\n\r\n";
  std::size_t Half = Call.Body.size() / 2;
  for (const std::string &Part :
       {Call.Body.substr(0, Half), Call.Body.substr(Half)})
    if (!Part.empty())
      Text += chunkOf(Part);
  return Text + "0\r\n\r\n";
}

} // namespace

std::optional<http_reply> soak_caller::send(const http_call &Call,
                                            std::mt19937_64 &Random) {
  std::string Text =
      Random() % ChunkedShare == 0 ? chunkedText(Call) : requestText(Call);
  if (Random() % LeavingShare == 0) {
    http_connection Leaving(Call.Port);
    if (Leaving.connected() && Leaving.send(Text))
      std::this_thread::sleep_for(
          std::chrono::milliseconds(Random() % LongestStayMs));
    return std::nullopt;
  }
  if (Random() % LateReaderShare == 0) {
    http_connection Late(Call.Port, LateReceiveBytes);
    if (!Late.connected() || !Late.send(Text))
      return http_reply();
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Random() % LongestUnreadMs));
    return Late.readReply(Bound);
  }
  std::unique_ptr<http_connection> &Open = Connections[Call.Port];
  if (!Open || Random() % 2 == 0)
    Open = std::make_unique<http_connection>(Call.Port);
  http_reply Reply;
  if (Open->connected() && Open->send(Text))
    Reply = Open->readReply(Bound);
  if (!Reply.whole() ||
      Reply.Head.find("Connection: close") != std::string::npos)
    Open.reset();
  return Reply;
}

} // namespace jasminecroft::processes
