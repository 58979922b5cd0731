// Reads a caller's requests one at a time; http_session_answers.cc answers.
#include "http_session.h"

#include "jasminecroft/wire/http_framing.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <array>

namespace jasminecroft::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadChunkBytes = 16'384;
constexpr std::size_t MaxBufferBytes = 131'072;

std::optional<std::string_view> toOptional(const http::fields &Fields,
                                           std::string_view Name) {
  auto Found = Fields.find(beast::string_view(Name.data(), Name.size()));
  if (Found == Fields.end())
    return std::nullopt;
  return std::string_view(Found->value().data(), Found->value().size());
}

constexpr std::array<std::string_view, 4> SingleHeaders = {
    "Jasminecroft-Deadline-Ms", "Idempotency-Key", "Jasminecroft-Attempt",
    "Jasminecroft-Token-Limit"};

// A header that came twice has no one meaning.
std::optional<front_refusal> findRepeatedHeader(const http::fields &Fields) {
  for (std::string_view Name : SingleHeaders)
    if (Fields.count(beast::string_view(Name.data(), Name.size())) > 1)
      return front_refusal{front_error::MalformedRequest, Name};
  return std::nullopt;
}

front_refusal refusalFor(const boost::system::error_code &Error) {
  if (Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return {front_error::HeaderTooLarge, "header"};
  if (Error == http::error::body_limit)
    return {front_error::BodyTooLarge, "body"};
  if (Error == http::error::partial_message ||
      Error == http::error::end_of_stream || Error == asio::error::eof)
    return {front_error::MalformedRequest, "end of request"};
  return {front_error::MalformedRequest, "header"};
}

} // namespace

http_session::http_session(tcp_socket Socket, session_owner &Owner)
    : Socket(std::move(Socket)), Owner(Owner), Buffer(MaxBufferBytes) {}

void http_session::start() {
  error Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  setDeadline(Owner.limits().IdleTimeout);
  readMore();
}

void http_session::turnAway(front_error Error) {
  refuse({Error, "connection"});
}

bool http_session::busy() const {
  return Phase != phase::Idle && Phase != phase::Closed &&
         Phase != phase::Lingering;
}

void http_session::closeIfIdle() {
  if (Phase == phase::Idle)
    close();
}

void http_session::close() {
  if (Phase == phase::Closed)
    return;
  Phase = phase::Closed;
  Deadline.reset();
  error Ignored;
  Socket.close(Ignored);
  if (Request)
    Owner.onCallerGone(*Request);
  Owner.onClosed(*this);
}

void http_session::setDeadline(std::chrono::milliseconds Time) {
  Deadline = clock::now() + Time;
}

void http_session::checkDeadline(clock::time_point Now) {
  if (!Deadline || Now < *Deadline)
    return;
  Deadline.reset();
  if (Phase != phase::Reading) {
    close();
    return;
  }
  TimedOut = true;
  error Ignored;
  Socket.cancel(Ignored);
}

// While a request is in progress this read waits for the next one, or for
// the caller to go away.
void http_session::readMore() {
  ReadPending = true;
  Socket.async_read_some(
      Buffer.prepare(ReadChunkBytes),
      [Self = shared_from_this()](const error &Error, std::size_t Bytes) {
        Self->onReadMore(Error, Bytes);
      });
}

void http_session::onReadMore(const error &Error, std::size_t Bytes) {
  ReadPending = false;
  if (Phase == phase::Closed)
    return;
  if (Error) {
    onPeerClosed();
    return;
  }
  if (Phase == phase::Lingering) {
    readMore();
    return;
  }
  Buffer.commit(Bytes);
  if (Phase == phase::Idle)
    beginRequest();
}

// The caller is taken to be gone. Should it only have closed its sending
// side, then it reads that this broke its request off.
void http_session::onPeerClosed() {
  PeerClosed = true;
  CloseWhenWritten = true;
  if (Phase == phase::Idle || Phase == phase::Lingering) {
    close();
    return;
  }
  if (Request)
    breakOff(front_error::HalfClosed);
}

// Gives a request up that the core may have begun; without a key it holds
// nothing that must not be repeated.
void http_session::breakOff(front_error Error) {
  Owner.onCallerGone(*Request);
  Request.reset();
  outcome_kind Outcome = HasKey ? outcome_kind::Unknown : outcome_kind::Failed;
  CloseWhenWritten = true;
  if (Phase == phase::Streaming)
    endStream(renderStreamError(Error, Outcome));
  else
    writeWhole(renderRefusal({Error, "connection", Outcome}), true);
}

void http_session::beginRequest() {
  Phase = phase::Reading;
  HeadOnly = false;
  setDeadline(Owner.limits().HeaderTimeout);
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(
      std::min(Owner.limits().MaxHeaderBytes, MaxBufferBytes)));
  Parser->body_limit(Owner.limits().MaxBodyBytes);
  http::async_read_header(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error &Error, std::size_t) {
        Self->onHeader(Error);
      });
}

void http_session::onHeader(const error &Error) {
  if (Phase == phase::Closed)
    return;
  if (Error) {
    onReadFailed(Error);
    return;
  }
  if (!hasClearFraming(Parser->get(), Parser->get().version())) {
    refuse({front_error::MalformedRequest, "transfer coding"});
    return;
  }
  Head = Parser->get().base();
  std::optional<std::string_view> Expect = toOptional(Head, "Expect");
  setDeadline(Owner.limits().BodyTimeout);
  if (!Expect || Parser->is_done()) {
    readBody();
    return;
  }
  Writing = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(
      Socket, asio::buffer(Writing),
      [Self = shared_from_this()](const error &WriteError, std::size_t) {
        Self->Writing.clear();
        if (WriteError)
          Self->close();
        else
          Self->readBody();
      });
}

void http_session::readBody() {
  if (Parser->is_done()) {
    onBody(error());
    return;
  }
  http::async_read(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error &Error, std::size_t) {
        Self->onBody(Error);
      });
}

void http_session::onBody(const error &Error) {
  if (Phase == phase::Closed)
    return;
  if (Error)
    onReadFailed(Error);
  else
    dispatch();
}

void http_session::onReadFailed(const error &Error) {
  LingerWhenWritten = true;
  if (TimedOut) {
    refuse({front_error::RequestTimeout, "request"});
    return;
  }
  bool Reset = Error == asio::error::connection_reset ||
               Error == asio::error::operation_aborted;
  if (Reset)
    close();
  else
    refuse(refusalFor(Error));
}

raw_request http_session::rawRequest() const {
  raw_request Raw;
  beast::string_view Method = Head.method_string();
  beast::string_view Target = Head.target();
  Raw.Method = std::string_view(Method.data(), Method.size());
  Raw.Target = std::string_view(Target.data(), Target.size());
  Raw.DeadlineMs = toOptional(Head, "Jasminecroft-Deadline-Ms");
  Raw.IdempotencyKey = toOptional(Head, "Idempotency-Key");
  Raw.Attempt = toOptional(Head, "Jasminecroft-Attempt");
  Raw.TokenLimit = toOptional(Head, "Jasminecroft-Token-Limit");
  Raw.Accept = toOptional(Head, "Accept");
  return Raw;
}

void http_session::dispatch() {
  Phase = phase::InProgress;
  Deadline.reset();
  CloseWhenWritten = !Parser->get().keep_alive();
  Chunked = Parser->get().version() >= 11;
  raw_request Raw = rawRequest();
  HeadOnly = Raw.Method == "HEAD";
  if (!isCallerPath(Raw.Target)) {
    serveOperator();
    return;
  }
  if (std::optional<front_refusal> Refusal = findRepeatedHeader(Head)) {
    refuse(*Refusal);
    return;
  }
  interpreted_request Interpreted = interpretRequest(Raw);
  if (front_refusal *Refusal = std::get_if<front_refusal>(&Interpreted)) {
    refuse(*Refusal);
    return;
  }
  request_received &Call = std::get<request_received>(Interpreted);
  Call.Body = std::move(Parser->get().body());
  if (!isWellFormedJson(Call.Body)) {
    refuse({front_error::MalformedRequest, "body"});
    return;
  }
  dispatchCall(std::move(Call));
}

void http_session::dispatchCall(request_received Call) {
  Streamed = Call.Streamed;
  Pieces = 0;
  HasKey = Call.Key.has_value();
  Digest.reset();
  // Input that already waits behind this request is looked at after it.
  if (Buffer.size() == 0 && !PeerClosed)
    readMore();
  Request = Owner.accept(std::move(Call), shared_from_this());
}

void http_session::serveOperator() {
  raw_request Raw = rawRequest();
  if (!isOperatorPath(Raw.Target)) {
    refuse({front_error::UnknownPath, "target"});
    return;
  }
  if (Raw.Method != "GET" && !HeadOnly) {
    refuse({front_error::MethodNotAllowed, "method"});
    return;
  }
  Owner.onOperatorGet(Raw.Target,
                      [Self = shared_from_this()](const http_answer &Answer) {
                        if (Self->Phase == phase::InProgress)
                          Self->writeWhole(Answer, Self->CloseWhenWritten);
                      });
}

} // namespace jasminecroft::detail
