// One caller's connection on the serving path: requests in, answers and
// streams out.
#pragma once

#include "../io_types.h"
#include "jasminecroft/core/serving/held_memory.h"
#include "jasminecroft/core/serving/serving_core.h"
#include "platform/http_text.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jasminecroft::detail {

class caller_session;

/// Why a caller's connection is closed.
enum class close_cause {
  Answered,
  /// No request for longer than the idle limit.
  IdleTime,
  HostStops,
  CallerLeft,
  ReadFailed,
  WriteFailed,
  SlowReader,
  /// The answer's source broke off.
  AnswerBroken
};
std::string_view toText(close_cause Cause);

/// A connection that was closed beside a request without an answer.
struct cut_connection {
  /// Empty if the request's head was not handled.
  std::string_view CallerId;
  close_cause Cause = close_cause::Answered;
  /// What the session was doing.
  std::string_view Phase;
  /// Bytes that the system holds and the host has not read.
  std::size_t Unread = 0;
};

/// What a session needs of the front that owns it.
class caller_session_owner {
public:
  virtual ~caller_session_owner() = default;
  virtual caller_bounds bounds() const = 0;
  /// Whether connections are to end with the answer in progress.
  virtual bool closingAfterAnswers() const = 0;
  /// Numbers the request and hands it on; the answer may come at once.
  virtual request_id accept(serving_request Request,
                            const std::shared_ptr<caller_session> &Session) = 0;
  virtual void onCallerDisconnected(request_id Request) = 0;
  /// A request was answered before it was handed on; CallerId is empty if its
  /// head has not arrived.
  virtual void onRefusedEarly(std::string_view CallerId, unsigned Status,
                              std::string_view Why) = 0;
  virtual void onClosed(const caller_session &Session) = 0;
  virtual void onCut(const cut_connection &Cut) = 0;
  /// An answer ends before its caller has read it.
  virtual void onSlowReader(std::string_view CallerId, std::size_t Unread,
                            std::string_view Why) = 0;
  /// Counts bodies of requests in progress and answers that callers have not
  /// read yet.
  virtual held_memory &memory() = 0;
};

/// Lives as long as an operation of its socket or the owner's table holds it.
class caller_session : public std::enable_shared_from_this<caller_session>,
                       private held_memory::holder {
public:
  using clock = std::chrono::steady_clock;

  caller_session(tcp_socket Socket, caller_session_owner &Owner);
  void start();

  void refuse(const refusal &Refusal);
  void relayReply(const backend_reply_head &Head, const std::string &Body);
  void relayStreamHead(const backend_reply_head &Head);
  void relayStreamEvents(std::string_view Text);
  void relayStreamEnd();
  /// Closes so that the caller sees the answer as cut.
  void abortResponse();

  /// Ends what has run out of time.
  void checkDeadline(clock::time_point Now);
  /// Closes the connection if it waits for a request.
  void closeIfIdle();
  /// Refuses a request that is still arriving: this host ends before it could
  /// be served.
  void refuseArriving();
  bool busy() const;
  /// Bytes of the answer that the caller has not read.
  std::size_t unreadBytes() const { return Unsent.size() + Writing.size(); }

private:
  using error = boost::system::error_code;
  static constexpr std::size_t ReadBytes = 8'192;
  static constexpr std::chrono::seconds WriteTime{20};
  /// Text that the system has taken over and not sent yet. By itself it would
  /// take megabytes for a caller that does not read.
  static constexpr int UnsentSocketBytes = 32'768;
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Idle: between requests. Reading: a request is arriving. InProgress: the
  /// core has the request. Streaming: the same, and the head is out.
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

  static std::string_view toText(phase Phase);

  void awaitRequest();
  void onFirstBytes(const error &Error, std::size_t Bytes);
  void readHeader();
  void onHeader(const error &Error);
  void readBody();
  void onBody(const error &Error);
  bool reserveBody(std::size_t Bytes);
  void releaseBody();
  void dispatch();
  void refuseEarly(unsigned Status, std::string_view Why);
  void watchCaller();
  void onCallerReadable(const error &Error);
  void send(std::string_view Text);
  void writeNext();
  void onWritten(const error &Error);
  void finishAnswer(bool Close);
  void onAnswerOut();
  void linger();
  void close(close_cause Cause);
  void closeUnused(close_cause Cause);
  void tellCut(close_cause Cause);
  void giveUpAnswer() override;
  void closeUnread(close_cause Cause);
  void closeLater(close_cause Cause);
  void endSlowReader(std::string_view Why);
  void countUnread();
  bool willClose() const;
  void setDeadline(std::chrono::microseconds Time);

  tcp_socket Socket;
  caller_session_owner &Owner;
  boost::beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  /// Taken before the body is read: the parser adds trailers to the headers.
  platform::http_head Head;
  phase Phase = phase::Idle;
  /// While idle: by the longest limit that was in force since IdleSince, as the
  /// caller may go by any of them.
  std::optional<clock::time_point> Deadline;
  clock::time_point IdleSince;
  /// When the last answer was handed to the system.
  clock::time_point AnsweredAt;
  /// The caller may not have the last answer yet, so that for it the connection
  /// does not rest.
  bool AnswerOnItsWay = false;
  /// Set while the core has the request.
  std::optional<request_id> Request;
  /// Of the present request; empty until its head has arrived.
  std::string CallerId;
  /// Counted by the owner for the body of the request in progress.
  std::size_t ReservedBody = 0;
  bool KeepAlive = true;
  bool HeadOnly = false;
  bool CloseWhenWritten = false;
  bool LingerWhenWritten = false;
  bool CallerWatched = false;
  /// Set while the handler of a cancelled read is due.
  std::optional<close_cause> ClosingUnused;
  /// Text being written, and text that waits behind it.
  std::string Writing;
  std::string Unsent;
  /// The answer was given up: nothing of it is sent any more, and the
  /// connection closes.
  bool GaveUp = false;
};

} // namespace jasminecroft::detail
