// Connects, writes one call, reads its answer and keeps the connection.
#include "backend_call.h"

#include "../steady_time.h"
#include "jasminecroft/core/serving/read_pacing.h"
#include "jasminecroft/entry/settings.h"
#include "jasminecroft/wire/answer_buffer.h"
#include "jasminecroft/wire/http_framing.h"
#include "platform/replica/replica_calls.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <optional>

namespace jasminecroft::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error = boost::system::error_code;

namespace {

constexpr std::uint64_t MaxAnswerBytes = 16'777'216;
/// A server that has not accepted a connection by then is taken as away.
constexpr std::chrono::milliseconds ConnectTime{500};
/// Idle connections are given up this long before their server closes them.
constexpr std::chrono::milliseconds CloseMargin{700};
/// Kept this long if the server does not say how long it keeps them.
constexpr std::chrono::milliseconds UnsaidLifetime{400};
/// While a stream is not read, its reader is looked at this often.
constexpr std::chrono::milliseconds PacingInterval{50};
constexpr unsigned StatusOk = 200;

platform::http_head headOf(const http::response_header<> &Header) {
  platform::http_head Head;
  Head.Status = Header.result_int();
  for (const http::fields::value_type &Field : Header)
    Head.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Head;
}

class backend_call_impl final
    : public backend_call,
      private held_memory::holder,
      public std::enable_shared_from_this<backend_call_impl> {
public:
  backend_call_impl(asio::io_context &Context,
                    std::shared_ptr<connection_pool> Pool,
                    backend_call_request Wanted,
                    std::shared_ptr<backend_call_listener> Listener)
      : Context(Context), Pool(std::move(Pool)), Wanted(std::move(Wanted)),
        Listener(std::move(Listener)), Socket(Context), Timer(Context),
        PacingTimer(Context) {}

  void start() {
    std::optional<tcp_socket> Reused;
    if (Wanted.MayReuseConnection)
      Reused = Pool->take(Wanted.Address, naming());
    if (!Reused) {
      connect();
      return;
    }
    Socket = std::move(*Reused);
    Connection.Reused = true;
    write();
  }

  void cancel() override { end(); }

private:
  answer_naming naming() const {
    return Wanted.CallerId.empty() ? answer_naming::Unnamed
                                   : answer_naming::Named;
  }

  void setTimer(std::chrono::microseconds Time) {
    Timer.expires_after(Time);
    Timer.async_wait([Self = shared_from_this()](const error &Error) {
      if (!Error)
        Self->onTimeout();
    });
  }

  void connect() {
    std::optional<ip_port> Parts = splitEndpoint(Wanted.Address);
    error Error;
    tcp::endpoint Server;
    if (Parts)
      Server = tcp::endpoint(asio::ip::make_address(Parts->Address, Error),
                             Parts->Port);
    if (!Parts || Error) {
      asio::post(Context, [Self = shared_from_this()] {
        Self->fail(call_failure::NotConnected);
      });
      return;
    }
    setTimer(std::min<std::chrono::microseconds>(ConnectTime, Wanted.Timeout));
    Socket.async_connect(Server,
                         [Self = shared_from_this()](const error &Failure) {
                           Self->onConnected(Failure);
                         });
  }

  void onConnected(const error &Error) {
    if (!Listener)
      return;
    if (Error) {
      fail(call_failure::NotConnected);
      return;
    }
    ++Pool->Counters.Opened;
    prepareSocket(Socket);
    write();
  }

  void write() {
    MayHaveLeft = true;
    setTimer(Wanted.Timeout);
    std::array<asio::const_buffer, 2> Buffers = {asio::buffer(Wanted.Text)};
    if (Wanted.Message)
      Buffers[1] = asio::buffer(Wanted.Message->Body);
    asio::async_write(
        Socket, Buffers,
        [Self = shared_from_this()](const error &Error, std::size_t) {
          Self->onWritten(Error);
        });
  }

  // A server may answer before it has read all and then close: what it said
  // is still read, and counts if it says by itself that it is whole.
  void onWritten(const error &Error) {
    if (!Listener)
      return;
    WriteFailed = Error.failed();
    readHeader();
  }

  void readHeader() {
    Parser.emplace();
    Parser->body_limit(MaxAnswerBytes);
    Parser->skip(Wanted.HeadOnly);
    Buffer.expectHead();
    http::async_read_header(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error &Error, std::size_t) {
          Self->onHeader(Error);
        });
  }

  void onHeader(const error &Error) {
    if (!Listener)
      return;
    if (Error || Buffer.hasFoldedLine() ||
        !hasClearFraming(Parser->get(), Parser->get().version())) {
      fail(call_failure::Broken);
      return;
    }
    Head = headOf(Parser->get());
    // An answer that names another request is a leftover of that request, and
    // one below 200 announces another.
    bool Interim = Head.Status < StatusOk;
    platform::reply_subject Subject =
        platform::subjectOf(Head, Wanted.CallerId);
    Foreign = Interim || (naming() == answer_naming::Named &&
                          Subject == platform::reply_subject::OtherRequest);
    Connection.OtherAnswers |= Foreign && !Interim;
    Connection.InterimSpoke |= Interim && platform::speaksOfRun(Head);
    bool Nameless = Subject == platform::reply_subject::Unnamed ||
                    Subject == platform::reply_subject::Unclear;
    if (!Interim && Nameless) {
      AllNamed = false;
      if (naming() == answer_naming::Named)
        Pool->onUnnamedAnswer(Wanted.Address);
    }
    if (Foreign && ++EarlierAnswers > MaxEarlierAnswers) {
      fail(call_failure::Broken);
      return;
    }
    beast::string_view Type = Parser->get()[http::field::content_type];
    Streaming = !Foreign && Wanted.Streamed && Head.Status == StatusOk &&
                Type.starts_with("text/event-stream");
    if (Streaming) {
      Parser->body_limit(boost::none);
      std::shared_ptr<backend_call_listener> Current = Listener;
      Current->onStreamHead(Head);
      if (!Listener)
        return;
    }
    if (Parser->is_done())
      complete();
    else if (Streaming)
      readStream();
    else
      readBody();
  }

  void readBody() {
    http::async_read_some(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error &Error, std::size_t) {
          Self->onBody(Error);
        });
  }

  void onBody(const error &Error) {
    if (!Listener)
      return;
    if (Error) {
      fail(call_failure::Broken);
      return;
    }
    if (Parser->is_done()) {
      complete();
      return;
    }
    Pool->Memory.hold(held_kind::ArrivingAnswer, *this,
                      Parser->get().body().capacity());
    // It may have given up.
    if (Listener)
      readBody();
  }

  void giveUpAnswer() override { fail(call_failure::Broken); }

  void readStream() {
    http::async_read_some(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error &Error, std::size_t) {
          Self->onStream(Error);
        });
  }

  // The listener may cancel this call while it takes the text.
  void onStream(const error &Error) {
    if (!Listener)
      return;
    std::string Text = std::exchange(Parser->get().body(), {});
    std::shared_ptr<backend_call_listener> Current = Listener;
    if (!Text.empty())
      Current->onStreamText(std::move(Text));
    if (!Listener)
      return;
    if (Error)
      fail(call_failure::Broken);
    else if (Parser->is_done())
      complete();
    else
      readWhenTaken();
  }

  // Reads on unless the reader of the stream has to take more first.
  void readWhenTaken() {
    if (!Listener)
      return;
    if (Pacing.mayRead(Listener->unreadBytes(), now())) {
      readStream();
      return;
    }
    if (!ReceivesLess) {
      ReceivesLess = true;
      error Ignored;
      Socket.set_option(
          asio::socket_base::receive_buffer_size(WaitingReceiveBytes), Ignored);
    }
    PacingTimer.expires_after(PacingInterval);
    PacingTimer.async_wait([Self = shared_from_this()](const error &Error) {
      if (!Error)
        Self->readWhenTaken();
    });
  }

  void complete() {
    if (Foreign) {
      // The answer to this call follows on the same connection, if it stays.
      if (Parser->get().keep_alive())
        readHeader();
      else
        fail(call_failure::Broken);
      return;
    }
    std::string Body = std::move(Parser->get().body());
    // A socket reports its error once: after a failed write, a connection that
    // was reset reads like one that its server ended.
    bool MayBePart = WriteFailed && Parser->need_eof();
    if (MayBePart) {
      if (Streaming || !Listener->needsHeadOnly(Head, Connection)) {
        fail(call_failure::Broken);
        return;
      }
      Body.clear();
    }
    bool Attributable = AllNamed || naming() == answer_naming::Unnamed;
    if (Wanted.KeepConnection && Attributable && Parser->get().keep_alive() &&
        Buffer.size() == 0 && !WriteFailed)
      keepConnection();
    std::shared_ptr<backend_call_listener> Last = Listener;
    bool WasStream = Streaming;
    answer_end Ended =
        Parser->need_eof() ? answer_end::Closed : answer_end::Framed;
    platform::http_head LastHead = std::move(Head);
    end();
    if (WasStream)
      Last->onStreamEnd(Ended);
    else
      Last->onWhole(LastHead, std::move(Body), Connection);
  }

  void keepConnection() {
    std::chrono::milliseconds Lifetime = UnsaidLifetime;
    if (std::optional<std::chrono::seconds> Said = platform::keepAliveOf(Head))
      Lifetime = *Said - CloseMargin;
    // Another answer needs the whole buffer.
    if (Lifetime.count() > 0 && !ReceivesLess)
      Pool->give(Wanted.Address, naming(), std::move(Socket), Lifetime);
  }

  void onTimeout() {
    if (!Listener)
      return;
    // Other connections to a silent server may be as dead.
    Pool->drop(Wanted.Address);
    fail(MayHaveLeft ? call_failure::TimedOut : call_failure::NotConnected);
  }

  void fail(call_failure Failure) {
    if (!Listener)
      return;
    std::shared_ptr<backend_call_listener> Last = Listener;
    end();
    Last->onFailed(Failure);
  }

  void end() {
    Listener.reset();
    Pool->Memory.release(*this);
    Timer.cancel();
    PacingTimer.cancel();
    error Ignored;
    Socket.close(Ignored);
  }

  asio::io_context &Context;
  std::shared_ptr<connection_pool> Pool;
  backend_call_request Wanted;
  /// Absent once the call has ended.
  std::shared_ptr<backend_call_listener> Listener;
  tcp_socket Socket;
  io_timer Timer;
  io_timer PacingTimer;
  read_pacing Pacing;
  std::optional<http::response_parser<http::string_body>> Parser;
  answer_buffer Buffer{MaxUndecodedBytes};
  platform::http_head Head;
  connection_history Connection;
  /// True from just before the first byte is written.
  bool MayHaveLeft = false;
  /// Reading no longer tells whether the server ended the connection in order.
  bool WriteFailed = false;
  bool Streaming = false;
  /// The socket's buffer is bounded, since reading has waited.
  bool ReceivesLess = false;
  /// The answer that is being read is not the one to this call.
  bool Foreign = false;
  /// No answer on the connection has left open which request it belongs to.
  bool AllNamed = true;
  unsigned EarlierAnswers = 0;
};

} // namespace

std::shared_ptr<backend_call>
startBackendCall(asio::io_context &Context,
                 const std::shared_ptr<connection_pool> &Pool,
                 backend_call_request Request,
                 std::shared_ptr<backend_call_listener> Listener) {
  std::shared_ptr<backend_call_impl> Call = std::make_shared<backend_call_impl>(
      Context, Pool, std::move(Request), std::move(Listener));
  Call->start();
  return Call;
}

} // namespace jasminecroft::detail
