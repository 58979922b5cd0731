// Writing of answers, and what happens to those that callers do not read.
#include "caller_session.h"

#include "jasminecroft/core/serving/read_pacing.h"
#include "platform/front/caller_requests.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace jasminecroft::detail {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds LingerTime{1};
/// Text of one stream that its caller has not read yet.
constexpr std::size_t MaxUnsentBytes = 2'097'152;
constexpr unsigned BadGateway = 502;
constexpr std::string_view UnwritableAnswer =
    "a text of the answer cannot stand in its head";

std::string chunk(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Size;
  for (std::size_t Rest = Text.size(); Rest > 0; Rest /= 16)
    Size.insert(Size.begin(), Digits[Rest % 16]);
  std::string Chunk = Size + "\r\n";
  Chunk += Text;
  Chunk += "\r\n";
  return Chunk;
}

} // namespace

bool caller_session::willClose() const {
  return !KeepAlive || Owner.closingAfterAnswers();
}

void caller_session::refuse(const refusal &Refusal) {
  if (Phase != phase::InProgress)
    return;
  bool Close = willClose();
  std::string Text = platform::encodeRefusal(Refusal, CallerId, Close);
  finishAnswer(Close);
  send(Text);
}

void caller_session::relayReply(const backend_reply_head &Head,
                                const std::string &Body) {
  if (Phase != phase::InProgress)
    return;
  bool Close = willClose();
  platform::written_head Written =
      platform::encodeReplyHead(Head, Body.size(), Close);
  std::string *Text = std::get_if<std::string>(&Written);
  if (!Text) {
    Owner.onRefusedEarly(CallerId, BadGateway, UnwritableAnswer);
    finishAnswer(true);
    send(platform::encodeError(BadGateway, true));
    return;
  }
  if (!HeadOnly)
    *Text += Body;
  finishAnswer(Close);
  send(*Text);
}

void caller_session::relayStreamHead(const backend_reply_head &Head) {
  if (Phase != phase::InProgress)
    return;
  CloseWhenWritten = willClose();
  platform::written_head Written =
      platform::encodeReplyHead(Head, std::nullopt, CloseWhenWritten);
  Phase = phase::Streaming;
  if (std::string *Text = std::get_if<std::string>(&Written)) {
    send(*Text);
    return;
  }
  Owner.onRefusedEarly(CallerId, BadGateway, UnwritableAnswer);
  closeLater(close_cause::AnswerBroken);
}

void caller_session::relayStreamEvents(std::string_view Text) {
  if (Phase != phase::Streaming)
    return;
  send(chunk(Text));
  if (Unsent.size() <= MaxUnsentBytes || !Request)
    return;
  // The caller reads too slowly to keep the rest in memory.
  endSlowReader("own_bound");
}

void caller_session::endSlowReader(std::string_view Why) {
  Owner.onSlowReader(CallerId, unreadBytes(), Why);
  closeUnread(close_cause::SlowReader);
}

void caller_session::closeUnread(close_cause Cause) {
  std::optional<request_id> Gone = std::exchange(Request, std::nullopt);
  close(Cause);
  if (Gone)
    Owner.onCallerDisconnected(*Gone);
}

// The owner may be in the middle of another request.
void caller_session::giveUpAnswer() {
  Owner.onSlowReader(CallerId, unreadBytes(), "memory");
  closeLater(close_cause::SlowReader);
}

void caller_session::closeLater(close_cause Cause) {
  GaveUp = true;
  Unsent.clear();
  boost::asio::post(Socket.get_executor(), [Self = shared_from_this(), Cause] {
    if (Self->Phase != phase::Closed)
      Self->closeUnread(Cause);
  });
}

void caller_session::relayStreamEnd() {
  if (Phase != phase::Streaming)
    return;
  finishAnswer(CloseWhenWritten);
  send("0\r\n\r\n");
}

void caller_session::abortResponse() { close(close_cause::AnswerBroken); }

void caller_session::finishAnswer(bool Close) {
  Phase = phase::Finishing;
  releaseBody();
  Request.reset();
  CloseWhenWritten = Close;
  LingerWhenWritten = false;
  setDeadline(WriteTime);
}

void caller_session::send(std::string_view Text) {
  if (GaveUp)
    return;
  Unsent += Text;
  if (Writing.empty())
    writeNext();
  countUnread();
}

void caller_session::countUnread() {
  std::size_t Bytes = unreadBytes();
  if (Phase == phase::Closed || GaveUp || Bytes == 0) {
    Owner.memory().release(*this);
    return;
  }
  // Sockets hold more: the caller's, and that of a stream's server, which is
  // not read meanwhile.
  if (Bytes > MaxAheadBytes)
    Bytes += UnsentSocketBytes;
  if (Phase == phase::Streaming && Bytes > MaxAheadBytes)
    Bytes += WaitingReceiveBytes;
  Owner.memory().hold(held_kind::UnreadAnswer, *this, Bytes);
}

void caller_session::writeNext() {
  if (Phase == phase::Closed || GaveUp)
    return;
  if (Unsent.empty()) {
    if (Phase == phase::Finishing)
      onAnswerOut();
    return;
  }
  Writing = std::exchange(Unsent, {});
  asio::async_write(
      Socket, asio::buffer(Writing),
      [Self = shared_from_this()](const error &Error, std::size_t) {
        Self->onWritten(Error);
      });
}

void caller_session::onWritten(const error &Error) {
  Writing = {};
  if (Error) {
    closeUnread(close_cause::WriteFailed);
    return;
  }
  writeNext();
  // What is unread now came later.
  Owner.memory().release(*this);
  countUnread();
}

void caller_session::onAnswerOut() {
  if (LingerWhenWritten)
    linger();
  else if (CloseWhenWritten)
    close(close_cause::Answered);
  else
    awaitRequest();
}

// Closing with unread input would reset the connection, and the caller might
// never see the answer.
void caller_session::linger() {
  if (Phase != phase::Lingering) {
    Phase = phase::Lingering;
    setDeadline(LingerTime);
    error Ignored;
    Socket.shutdown(tcp_socket::shutdown_send, Ignored);
  }
  Buffer.clear();
  Socket.async_read_some(
      Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](const error &Error, std::size_t) {
        if (Error)
          Self->close(close_cause::Answered);
        else if (Self->Phase == phase::Lingering)
          Self->linger();
      });
}

} // namespace jasminecroft::detail
