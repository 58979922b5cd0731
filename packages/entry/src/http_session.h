// One caller's connection: reads requests, writes answers and streams.
#pragma once

#include "io_types.h"
#include "stream_digest.h"

#include "jasminecroft/entry/front.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

namespace jasminecroft::detail {

class http_session;

/// What a session needs of the front that owns it.
class session_owner {
public:
  virtual ~session_owner() = default;
  virtual const front_limits &limits() const = 0;
  virtual bool closingAfterAnswers() const = 0;
  /// Numbers the request and hands it on; its answer comes by onAnswer.
  virtual request_id accept(request_received Call,
                            const std::shared_ptr<http_session> &Session) = 0;
  virtual void onCallerGone(request_id Request) = 0;
  virtual void onRefused() = 0;
  virtual void onSlowReader() = 0;
  virtual void onOperatorGet(std::string_view Target,
                             front_handler::page_handler Done) = 0;
  virtual void onClosed(const http_session &Session) = 0;
};

/// Lives as long as an operation of its socket or the owner's table holds it.
class http_session : public std::enable_shared_from_this<http_session> {
public:
  using clock = std::chrono::steady_clock;

  http_session(tcp_socket Socket, session_owner &Owner);

  /// Begins to read requests.
  void start();
  /// Refuses the connection and closes it.
  void turnAway(front_error Error);
  void onAnswer(const final_answer &Answer);
  void onPiece(std::uint64_t Sequence, const std::string &Text);
  /// Ends what has run out of time.
  void checkDeadline(clock::time_point Now);
  /// Closes the connection if it waits for a request.
  void closeIfIdle();
  void close();
  bool busy() const;

private:
  using error = boost::system::error_code;
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Idle: between requests. Reading: a request is arriving. InProgress: the
  /// core has the request. Streaming: the same, and the answer has begun.
  /// Finishing: the last bytes of an answer are being written. Lingering: the
  /// answer is out and unread input is discarded before closing.
  enum class phase {
    Idle,
    Reading,
    InProgress,
    Streaming,
    Finishing,
    Lingering,
    Closed
  };

  void readMore();
  void onReadMore(const error &Error, std::size_t Bytes);
  void onPeerClosed();
  void breakOff(front_error Error);
  void beginRequest();
  void onHeader(const error &Error);
  void readBody();
  void onBody(const error &Error);
  void onReadFailed(const error &Error);
  void dispatch();
  void dispatchCall(request_received Call);
  void serveOperator();
  void refuse(front_refusal Refusal);
  void writeWhole(const http_answer &Answer, bool Close);
  void beginStream();
  void appendStreamText(std::string_view Text);
  void endStream(std::string_view Event);
  void send(std::string Text);
  void writeNext();
  void onWritten(const error &Error);
  void onAnswerWritten();
  void linger();
  void setDeadline(std::chrono::milliseconds Time);
  raw_request rawRequest() const;
  std::string headText(const http_answer &Answer, bool Close) const;

  tcp_socket Socket;
  session_owner &Owner;
  boost::beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  /// Taken before the body is read: the parser adds trailers to the headers.
  boost::beast::http::request_header<> Head;
  phase Phase = phase::Idle;
  /// Set only while a time limit holds.
  std::optional<clock::time_point> Deadline;
  /// Set from dispatch to the last word.
  std::optional<request_id> Request;
  bool ReadPending = false;
  bool PeerClosed = false;
  bool TimedOut = false;
  bool CloseWhenWritten = false;
  /// The request was a HEAD: its answer has no body.
  bool HeadOnly = false;
  bool LingerWhenWritten = false;

  /// Stream state; the digest covers all text handed to the caller.
  std::unique_ptr<stream_digest> Digest;
  bool Streamed = false;
  bool Chunked = true;
  /// Whether the request may hold work that must not be repeated.
  bool HasKey = false;
  std::uint64_t Pieces = 0;

  /// Text being written, and text that waits behind it.
  std::string Writing;
  std::string Unsent;
};

} // namespace jasminecroft::detail
