// Reading of requests within the callers' bounds.
#include "caller_session.h"

#include "jasminecroft/wire/http_framing.h"
#include "platform/front/caller_requests.h"

#include <boost/beast/http/read.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace jasminecroft::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Time for a body of the largest size on a slow link.
constexpr std::chrono::seconds BodyTime{10};
/// Room beside a head for what is received and not parsed yet, such as the size
/// line of a chunk.
constexpr std::size_t MaxUnparsedBytes = 65'536;
constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned TooLarge = 413;
constexpr unsigned HeaderTooLarge = 431;
constexpr unsigned Unavailable = 503;

platform::http_head headOf(const http::request_header<> &Header) {
  platform::http_head Head;
  Head.Method = std::string(Header.method_string());
  Head.Target = std::string(Header.target());
  for (const http::fields::value_type &Field : Header)
    Head.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Head;
}

// Whether the bytes are no request, as opposed to a connection that ended.
bool isUnreadable(const boost::system::error_code &Error) {
  return Error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

/// Whether the peer has not acknowledged all that was sent to it.
bool isUnacknowledged(int Socket) {
  int Bytes = 0;
  return ::ioctl(Socket, SIOCOUTQ, &Bytes) == 0 && Bytes > 0;
}

} // namespace

std::string_view toText(close_cause Cause) {
  switch (Cause) {
  case close_cause::Answered:
    return "answered";
  case close_cause::IdleTime:
    return "idle_time";
  case close_cause::HostStops:
    return "host_stops";
  case close_cause::CallerLeft:
    return "caller_left";
  case close_cause::ReadFailed:
    return "read_failed";
  case close_cause::WriteFailed:
    return "write_failed";
  case close_cause::SlowReader:
    return "slow_reader";
  case close_cause::AnswerBroken:
    return "answer_broken";
  }
  return "unknown";
}

std::string_view caller_session::toText(phase Phase) {
  switch (Phase) {
  case phase::Idle:
    return "idle";
  case phase::Reading:
    return "reading";
  case phase::InProgress:
    return "in_progress";
  case phase::Streaming:
    return "streaming";
  case phase::Finishing:
    return "finishing";
  case phase::Lingering:
    return "lingering";
  case phase::Closed:
    return "closed";
  }
  return "unknown";
}

caller_session::caller_session(tcp_socket Socket, caller_session_owner &Owner)
    : Socket(std::move(Socket)), Owner(Owner), Buffer(MaxUnparsedBytes) {
  error Ignored;
  this->Socket.set_option(tcp::no_delay(true), Ignored);
  // Without it only more memory is taken.
  ::setsockopt(this->Socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &UnsentSocketBytes, sizeof UnsentSocketBytes);
}

void caller_session::start() { awaitRequest(); }

bool caller_session::busy() const {
  if (ClosingUnused)
    return true;
  return Phase != phase::Idle && Phase != phase::Closed;
}

void caller_session::setDeadline(std::chrono::microseconds Time) {
  Deadline = clock::now() + Time;
}

void caller_session::checkDeadline(clock::time_point Now) {
  if (Phase == phase::Idle && Deadline) {
    if (AnswerOnItsWay) {
      AnswerOnItsWay = Now < AnsweredAt + WriteTime &&
                       isUnacknowledged(Socket.native_handle());
      IdleSince = Now;
    }
    Deadline = std::max(*Deadline, IdleSince + Owner.bounds().IdleTimeout);
  }
  if (!Deadline || Now < *Deadline)
    return;
  Deadline.reset();
  if (Phase == phase::Reading)
    refuseEarly(RequestTimeout, "request did not arrive in time");
  else if (Phase == phase::Finishing)
    endSlowReader("time");
  else if (Phase == phase::Idle)
    closeUnused(close_cause::IdleTime);
  else if (Phase == phase::Lingering)
    close(close_cause::Answered);
}

void caller_session::closeIfIdle() {
  if (Phase == phase::Idle)
    closeUnused(close_cause::HostStops);
}

void caller_session::refuseArriving() {
  if (Phase == phase::Reading)
    refuseEarly(Unavailable, "host stops");
}

// A request may have been read whose handler has not run yet, and bytes may
// wait in the system: the handler of the read decides.
void caller_session::closeUnused(close_cause Cause) {
  if (ClosingUnused)
    return;
  ClosingUnused = Cause;
  error Ignored;
  Socket.cancel(Ignored);
}

void caller_session::awaitRequest() {
  Phase = phase::Idle;
  Request.reset();
  CallerId.clear();
  AnsweredAt = clock::now();
  IdleSince = AnsweredAt;
  AnswerOnItsWay = true;
  Deadline = IdleSince + Owner.bounds().IdleTimeout;
  if (Buffer.size() > 0) {
    onFirstBytes({}, 0);
    return;
  }
  Socket.async_read_some(
      Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](const error &Error, std::size_t Bytes) {
        Self->onFirstBytes(Error, Bytes);
      });
}

void caller_session::onFirstBytes(const error &Error, std::size_t Bytes) {
  if (Phase != phase::Idle)
    return;
  std::optional<close_cause> Cause = std::exchange(ClosingUnused, std::nullopt);
  error Ignored;
  if (Error && Cause && Socket.available(Ignored) > 0) {
    awaitRequest();
    return;
  }
  if (Error) {
    close(Cause.value_or(close_cause::CallerLeft));
    return;
  }
  Buffer.commit(Bytes);
  Phase = phase::Reading;
  readHeader();
}

void caller_session::readHeader() {
  caller_bounds Bounds = Owner.bounds();
  setDeadline(Bounds.HeaderTimeout);
  Buffer.max_size(Bounds.MaxHeaderBytes + MaxUnparsedBytes);
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Bounds.MaxHeaderBytes));
  Parser->body_limit(Bounds.MaxBodyBytes);
  http::async_read_header(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error &Error, std::size_t) {
        Self->onHeader(Error);
      });
}

void caller_session::onHeader(const error &Error) {
  if (Phase != phase::Reading)
    return;
  if (Error == http::error::header_limit) {
    refuseEarly(HeaderTooLarge, "header too large");
    return;
  }
  if (Error == http::error::body_limit) {
    refuseEarly(TooLarge, "body too large");
    return;
  }
  if (Error) {
    if (isUnreadable(Error))
      refuseEarly(BadRequest, "request cannot be read");
    else
      close(close_cause::ReadFailed);
    return;
  }
  if (!hasClearFraming(Parser->get(), Parser->get().version())) {
    refuseEarly(BadRequest, "unknown transfer coding");
    return;
  }
  Head = headOf(Parser->get().base());
  CallerId = platform::callerIdOf(Head);
  if (Parser->is_done()) {
    dispatch();
    return;
  }
  if (!reserveBody(Parser->content_length().value_or(0)))
    return;
  if (beast::iequals(Parser->get()[http::field::expect], "100-continue"))
    send("HTTP/1.1 100 Continue\r\n\r\n");
  setDeadline(BodyTime);
  readBody();
}

// Refuses the request and returns false if there is no room for Bytes of it.
bool caller_session::reserveBody(std::size_t Bytes) {
  if (Bytes <= ReservedBody)
    return true;
  if (!Owner.memory().reserveBody(ReservedBody, Bytes)) {
    refuseEarly(Unavailable, "no memory for the request's body");
    return false;
  }
  ReservedBody = Bytes;
  return true;
}

void caller_session::releaseBody() {
  Owner.memory().releaseBody(std::exchange(ReservedBody, 0));
}

void caller_session::readBody() {
  http::async_read_some(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error &Error, std::size_t) {
        Self->onBody(Error);
      });
}

void caller_session::onBody(const error &Error) {
  if (Phase != phase::Reading)
    return;
  if (!Error && Parser->is_done())
    dispatch();
  else if (!Error && reserveBody(Parser->get().body().size()))
    readBody();
  else if (!Error)
    return;
  else if (Error == http::error::body_limit)
    refuseEarly(TooLarge, "body too large");
  else if (isUnreadable(Error))
    refuseEarly(BadRequest, "body cannot be read");
  else
    close(close_cause::ReadFailed);
}

void caller_session::dispatch() {
  Phase = phase::InProgress;
  Deadline.reset();
  KeepAlive = Parser->keep_alive();
  HeadOnly = Parser->get().method() == http::verb::head;
  platform::decoded_request Decoded =
      platform::decodeRequest(std::move(Head), std::move(Parser->get().body()));
  Parser.reset();
  if (platform::request_problem *Problem =
          std::get_if<platform::request_problem>(&Decoded)) {
    refuseEarly(BadRequest, platform::toText(*Problem));
    return;
  }
  std::shared_ptr<caller_session> Self = shared_from_this();
  request_id Number =
      Owner.accept(std::move(std::get<serving_request>(Decoded)), Self);
  if (Phase == phase::InProgress || Phase == phase::Streaming) {
    Request = Number;
    watchCaller();
  }
}

// A readable connection without bytes means that the caller has closed it.
void caller_session::watchCaller() {
  if (CallerWatched || Buffer.size() > 0)
    return;
  CallerWatched = true;
  Socket.async_wait(tcp_socket::wait_read,
                    [Self = shared_from_this()](const error &Error) {
                      Self->CallerWatched = false;
                      Self->onCallerReadable(Error);
                    });
}

void caller_session::onCallerReadable(const error &Error) {
  // The end of an idle connection cancels the watch of the request before.
  if (Error == asio::error::operation_aborted && Socket.is_open() && Request)
    watchCaller();
  if (Error || !Request)
    return;
  errno = 0;
  char Byte = 0;
  ssize_t Result =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    watchCaller();
    return;
  }
  if (Result > 0)
    return;
  request_id Gone = *Request;
  Request.reset();
  close(close_cause::CallerLeft);
  Owner.onCallerDisconnected(Gone);
}

void caller_session::refuseEarly(unsigned Status, std::string_view Why) {
  Owner.onRefusedEarly(CallerId, Status, Why);
  releaseBody();
  Phase = phase::Finishing;
  CloseWhenWritten = true;
  LingerWhenWritten = true;
  setDeadline(WriteTime);
  send(platform::encodeError(Status, true));
}

void caller_session::tellCut(close_cause Cause) {
  error Ignored;
  std::size_t Unread = Socket.is_open() ? Socket.available(Ignored) : 0;
  bool Unanswered = Phase == phase::Reading || Phase == phase::InProgress ||
                    Phase == phase::Streaming;
  bool Unhandled = Phase == phase::Idle && Unread > 0;
  if (Unanswered || Unhandled)
    Owner.onCut({CallerId, Cause, toText(Phase), Unread});
}

void caller_session::close(close_cause Cause) {
  if (Phase == phase::Closed)
    return;
  tellCut(Cause);
  Phase = phase::Closed;
  Deadline.reset();
  Owner.memory().release(*this);
  releaseBody();
  error Ignored;
  Socket.close(Ignored);
  Owner.onClosed(*this);
}

} // namespace jasminecroft::detail
