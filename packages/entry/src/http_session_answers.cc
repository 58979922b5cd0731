// Writes whole answers and streams to a caller.
#include "http_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace jasminecroft::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds LingerTime{2'000};
constexpr std::size_t MaxBatchedWriteBytes = 262'144;

std::string chunkHead(std::size_t Size) {
  std::array<char, 24> Digits{};
  std::to_chars_result End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Size, 16);
  return std::string(Digits.data(), End.ptr) + "\r\n";
}

} // namespace

void http_session::refuse(front_refusal Refusal) {
  Owner.onRefused();
  bool Unread = Phase != phase::InProgress;
  LingerWhenWritten |= Unread;
  writeWhole(renderRefusal(Refusal), Unread);
}

std::string http_session::headText(const http_answer &Answer,
                                   bool Close) const {
  http::status Status = http::int_to_status(Answer.Status);
  beast::string_view Reason = http::obsolete_reason(Status);
  std::string Text = "HTTP/1.1 " + std::to_string(Answer.Status) + " ";
  Text.append(Reason.data(), Reason.size());
  Text += "\r\nContent-Type: ";
  Text += Answer.ContentType;
  if (Answer.RetryAfterSeconds != 0)
    Text += "\r\nRetry-After: " + std::to_string(Answer.RetryAfterSeconds);
  if (Close)
    Text += "\r\nConnection: close";
  return Text + "\r\n";
}

void http_session::writeWhole(const http_answer &Answer, bool Close) {
  Phase = phase::Finishing;
  CloseWhenWritten |= Close || Owner.closingAfterAnswers();
  std::string Text = headText(Answer, CloseWhenWritten);
  Text += "Content-Length: " + std::to_string(Answer.Body.size()) + "\r\n\r\n";
  if (!HeadOnly)
    Text += Answer.Body;
  send(std::move(Text));
}

void http_session::onAnswer(const final_answer &Answer) {
  Request.reset();
  if (Phase == phase::Closed)
    return;
  bool Complete = Answer.Outcome == outcome_kind::Complete;
  if (!Streamed || (Phase == phase::InProgress && !Complete)) {
    writeWhole(renderAnswer(Answer), false);
    return;
  }
  if (Phase == phase::InProgress)
    beginStream();
  if (!Complete) {
    endStream(renderStreamError(Answer));
    return;
  }
  // A recorded answer is repeated as one piece.
  bool Recorded = Pieces == 0 && !Answer.Body.empty();
  if (Recorded)
    onPiece(0, Answer.Body);
  bool Whole = Recorded || (Pieces == Answer.StreamCount &&
                            Digest->value() == Answer.StreamDigest);
  endStream(Whole ? renderStreamEnd(Pieces, Digest->value())
                  : renderStreamError(front_error::StreamDamaged,
                                      outcome_kind::RanUnanswered));
}

void http_session::beginStream() {
  Phase = phase::Streaming;
  Digest = std::make_unique<stream_digest>();
  CloseWhenWritten |= !Chunked || Owner.closingAfterAnswers();
  http_answer Head;
  Head.ContentType = "text/event-stream";
  std::string Text = headText(Head, CloseWhenWritten);
  Text += "Cache-Control: no-store\r\n";
  Text += Chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
  send(std::move(Text));
}

void http_session::onPiece(std::uint64_t Sequence, const std::string &Text) {
  if (Phase == phase::InProgress)
    beginStream();
  if (Phase != phase::Streaming)
    return;
  Digest->append(Text);
  ++Pieces;
  bool TooSlow = Unsent.size() > Owner.limits().MaxUnsentBytes;
  appendStreamText(renderPiece(Sequence, Text));
  if (!TooSlow)
    return;
  Owner.onSlowReader();
  if (Request)
    breakOff(front_error::SlowReader);
}

void http_session::appendStreamText(std::string_view Text) {
  if (!Chunked) {
    send(std::string(Text));
    return;
  }
  std::string Chunk = chunkHead(Text.size());
  Chunk += Text;
  Chunk += "\r\n";
  send(std::move(Chunk));
}

void http_session::endStream(std::string_view Event) {
  Phase = phase::Finishing;
  std::string Last(Event);
  appendStreamText(Last);
  if (Chunked)
    send("0\r\n\r\n");
}

void http_session::send(std::string Text) {
  if (Unsent.empty())
    Unsent = std::move(Text);
  else
    Unsent += Text;
  if (Writing.empty())
    writeNext();
}

// Writes are limited in time; a stream in progress may wait for its pieces.
void http_session::writeNext() {
  if (Unsent.size() <= MaxBatchedWriteBytes) {
    Writing = std::exchange(Unsent, {});
  } else {
    Writing = Unsent.substr(0, MaxBatchedWriteBytes);
    Unsent.erase(0, MaxBatchedWriteBytes);
  }
  setDeadline(Owner.limits().WriteTimeout);
  asio::async_write(
      Socket, asio::buffer(Writing),
      [Self = shared_from_this()](const error &Error, std::size_t) {
        Self->onWritten(Error);
      });
}

void http_session::onWritten(const error &Error) {
  Writing.clear();
  if (Phase == phase::Closed)
    return;
  if (Error) {
    close();
    return;
  }
  Deadline.reset();
  if (!Unsent.empty())
    writeNext();
  else if (Phase == phase::Finishing)
    onAnswerWritten();
}

void http_session::onAnswerWritten() {
  if (CloseWhenWritten) {
    if (LingerWhenWritten && !PeerClosed)
      linger();
    else
      close();
    return;
  }
  Phase = phase::Idle;
  setDeadline(Owner.limits().IdleTimeout);
  Parser.reset();
  if (Buffer.size() != 0)
    beginRequest();
  else if (!ReadPending)
    readMore();
}

// Closing while input is unread would reset the connection and might take
// the answer away from the caller.
void http_session::linger() {
  Phase = phase::Lingering;
  setDeadline(LingerTime);
  error Ignored;
  Socket.shutdown(tcp_socket::shutdown_send, Ignored);
  if (!ReadPending)
    readMore();
}

} // namespace jasminecroft::detail
