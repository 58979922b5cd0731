// Sockets of the C library, and as much of HTTP/1.1 as the tests need.
#include "jasminecroft/processes/http_call.h"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminecroft::processes {

namespace {

constexpr std::size_t ReadBytes = 65'536;

std::optional<std::size_t> contentLength(std::string_view Head) {
  constexpr std::string_view Name = "\r\nContent-Length: ";
  std::size_t Found = Head.find(Name);
  if (Found == std::string_view::npos)
    return std::nullopt;
  std::size_t Length = 0;
  const char *Begin = Head.data() + Found + Name.size();
  std::from_chars(Begin, Head.data() + Head.size(), Length);
  return Length;
}

// The text of a chunked body; absent while its last chunk is missing.
std::optional<std::string> unchunk(std::string_view Body) {
  std::string Text;
  while (true) {
    std::size_t LineEnd = Body.find("\r\n");
    if (LineEnd == std::string_view::npos)
      return std::nullopt;
    std::size_t Size = 0;
    std::from_chars(Body.data(), Body.data() + LineEnd, Size, 16);
    Body.remove_prefix(LineEnd + 2);
    if (Body.size() < Size + 2)
      return std::nullopt;
    if (Size == 0)
      return Text;
    Text += Body.substr(0, Size);
    Body.remove_prefix(Size + 2);
  }
}

std::optional<std::string> wholeBody(std::string_view Head,
                                     std::string_view Body) {
  if (Head.find("Transfer-Encoding: chunked") != std::string_view::npos)
    return unchunk(Body);
  std::optional<std::size_t> Length = contentLength(Head);
  if (!Length || Body.size() < *Length)
    return std::nullopt;
  return std::string(Body.substr(0, *Length));
}

std::optional<http_reply> parseReply(std::string_view Text) {
  std::size_t HeadEnd = Text.find("\r\n\r\n");
  if (HeadEnd == std::string_view::npos)
    return std::nullopt;
  http_reply Reply;
  Reply.Head = Text.substr(0, HeadEnd + 2);
  std::optional<std::string> Body =
      wholeBody(Reply.Head, Text.substr(HeadEnd + 4));
  if (!Body)
    return std::nullopt;
  Reply.Body = std::move(*Body);
  std::size_t Space = Reply.Head.find(' ');
  std::from_chars(Reply.Head.data() + Space + 1,
                  Reply.Head.data() + Reply.Head.size(), Reply.Status);
  return Reply;
}

} // namespace

http_connection::http_connection(std::uint16_t Port, int ReceiveBytes) {
  Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBytes > 0)
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof ReceiveBytes);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const sockaddr *Generic = reinterpret_cast<const sockaddr *>(&Address);
  if (connect(Socket, Generic, sizeof Address) == 0) {
    int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    return;
  }
  ::close(Socket);
  Socket = -1;
}

http_connection::~http_connection() {
  if (Socket >= 0)
    ::close(Socket);
}

bool http_connection::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

void http_connection::closeSending() const { shutdown(Socket, SHUT_WR); }

void http_connection::reset() {
  linger Hard{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
  ::close(Socket);
  Socket = -1;
}

std::string http_connection::receive(std::chrono::seconds Bound) const {
  timeval Limit{Bound.count(), 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  std::string Bytes(ReadBytes, '\0');
  ssize_t Count = recv(Socket, Bytes.data(), Bytes.size(), 0);
  Bytes.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
  return Bytes;
}

http_reply http_connection::readReply(std::chrono::seconds Bound) const {
  std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + Bound;
  std::string Text;
  while (true) {
    std::string More = receive(Bound);
    if (More.empty() || std::chrono::steady_clock::now() >= End)
      return {};
    Text += More;
    if (std::optional<http_reply> Reply = parseReply(Text))
      return *Reply;
  }
}

std::string requestText(const http_call &Call) {
  std::string Text = Call.Method + " " + Call.Target +
                     " HTTP/1.1\r\nHost: localhost\r\n" + Call.Headers;
  if (Call.Method != "GET")
    Text += "Content-Length: " + std::to_string(Call.Body.size()) + "\r\n";
  return Text + "\r\n" + Call.Body;
}

http_reply exchange(const http_call &Call, std::chrono::seconds Bound) {
  http_connection Connection(Call.Port);
  if (!Connection.connected()) {
    http_reply Reply;
    Reply.Refused = true;
    return Reply;
  }
  if (!Connection.send(requestText(Call)))
    return {};
  return Connection.readReply(Bound);
}

} // namespace jasminecroft::processes
