// Accepts connections and joins sessions, requests and their answers.
#include "jasminecroft/entry/front.h"

#include "http_session.h"
#include "jasminecroft/entry/settings.h"

#include <boost/asio/post.hpp>

#include <map>
#include <vector>

namespace jasminecroft {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::io_timer;
using detail::tcp_acceptor;
using detail::tcp_socket;
using error = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds SweepInterval{500};
constexpr std::chrono::milliseconds AcceptPause{100};

part_failure listenFailure(const error &Error) {
  part_failure Failure{part_kind::Front, part_problem::ListenerBroken};
  if (Error == asio::error::address_in_use)
    Failure.Problem = part_problem::AddressInUse;
  else if (Error == boost::system::errc::address_not_available ||
           Error == asio::error::access_denied)
    Failure.Problem = part_problem::AddressRefused;
  return Failure;
}

// Errors of one connection, or a shortage that passes.
bool isPassing(const error &Error) {
  return Error == asio::error::connection_aborted ||
         Error == asio::error::no_descriptors ||
         Error == asio::error::no_memory ||
         Error == asio::error::no_buffer_space ||
         Error == boost::system::errc::too_many_files_open_in_system ||
         Error == boost::system::errc::protocol_error;
}

class front_impl final : public front, public detail::session_owner {
public:
  front_impl(asio::io_context &Context, const endpoint &Address,
             const front_limits &Limits, front_handler &Handler,
             failure_listener &Failures)
      : Context(Context), Address(Address), Limits(Limits), Handler(Handler),
        Failures(Failures), Acceptor(Context), PauseTimer(Context),
        SweepTimer(Context) {}

  std::optional<part_failure> start() override {
    std::optional<ip_port> Parts = splitEndpoint(Address);
    if (!Parts)
      return part_failure{part_kind::Front, part_problem::AddressRefused};
    error Error;
    tcp::endpoint Local(asio::ip::make_address(Parts->Address, Error),
                        Parts->Port);
    if (!Error)
      Acceptor.open(Local.protocol(), Error);
    if (!Error)
      Acceptor.set_option(tcp_acceptor::reuse_address(true), Error);
    if (!Error)
      Acceptor.bind(Local, Error);
    if (!Error)
      Acceptor.listen(asio::socket_base::max_listen_connections, Error);
    if (Error) {
      error Ignored;
      Acceptor.close(Ignored);
      return listenFailure(Error);
    }
    acceptNext();
    sweep();
    return std::nullopt;
  }

  void stop() override {
    closeAcceptor();
    SweepTimer.cancel();
    for (const std::shared_ptr<detail::http_session> &Session : sessions())
      Session->close();
  }

  void perform(const answer_caller &Action) override {
    auto Found = Requests.find(Action.Request);
    if (Found == Requests.end())
      return;
    entry Entry = std::move(Found->second);
    Requests.erase(Found);
    answered_request Answered;
    Answered.Pipeline = std::move(Entry.Pipeline);
    Answered.Answer = Action.Answer;
    Answered.Latency = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - Entry.Began);
    Handler.onAnswered(Answered);
    Entry.Session->onAnswer(Action.Answer);
  }

  void perform(const stream_to_caller &Action) override {
    auto Found = Requests.find(Action.Request);
    if (Found != Requests.end())
      Found->second.Session->onPiece(Action.Sequence, Action.Text);
  }

  void closeAfterAnswers() override { Closing = true; }

  void stopAccepting() override {
    Closing = true;
    closeAcceptor();
    for (const std::shared_ptr<detail::http_session> &Session : sessions())
      Session->closeIfIdle();
  }

  bool idle() const override {
    for (const session_map::value_type &Entry : Sessions)
      if (Entry.second->busy())
        return false;
    return true;
  }

  front_counters counters() const override {
    front_counters Result = Counters;
    Result.Connections = Sessions.size();
    return Result;
  }

private:
  using session_map = std::map<const detail::http_session *,
                               std::shared_ptr<detail::http_session>>;

  struct entry {
    std::shared_ptr<detail::http_session> Session;
    pipeline_id Pipeline;
    std::chrono::steady_clock::time_point Began;
  };

  // A copy, because sessions leave the table while it is walked.
  std::vector<std::shared_ptr<detail::http_session>> sessions() const {
    std::vector<std::shared_ptr<detail::http_session>> Result;
    for (const session_map::value_type &Entry : Sessions)
      Result.push_back(Entry.second);
    return Result;
  }

  void closeAcceptor() {
    error Ignored;
    Acceptor.close(Ignored);
    PauseTimer.cancel();
  }

  void acceptNext() {
    Acceptor.async_accept([this](const error &Error, tcp_socket Socket) {
      onAccepted(Error, std::move(Socket));
    });
  }

  void onAccepted(const error &Error, tcp_socket Socket) {
    if (!Acceptor.is_open() || Error == asio::error::operation_aborted)
      return;
    if (!Error) {
      addSession(std::move(Socket));
      acceptNext();
    } else if (isPassing(Error)) {
      PauseTimer.expires_after(AcceptPause);
      PauseTimer.async_wait([this](const error &TimerError) {
        if (!TimerError && Acceptor.is_open())
          acceptNext();
      });
    } else {
      Failures.onPartFailed(listenFailure(Error));
    }
  }

  void addSession(tcp_socket Socket) {
    bool Full = Sessions.size() >= Limits.MaxConnections;
    // A few more are held for as long as it takes to turn them away.
    if (Sessions.size() >= 2 * Limits.MaxConnections)
      return;
    std::shared_ptr<detail::http_session> Session =
        std::make_shared<detail::http_session>(std::move(Socket), *this);
    Sessions.emplace(Session.get(), Session);
    if (Full)
      Session->turnAway(front_error::TooManyConnections);
    else
      Session->start();
  }

  void sweep() {
    SweepTimer.expires_after(SweepInterval);
    SweepTimer.async_wait([this](const error &Error) {
      if (Error)
        return;
      std::chrono::steady_clock::time_point Now =
          std::chrono::steady_clock::now();
      for (const std::shared_ptr<detail::http_session> &Session : sessions())
        Session->checkDeadline(Now);
      sweep();
    });
  }

  const front_limits &limits() const override { return Limits; }
  bool closingAfterAnswers() const override { return Closing; }

  request_id
  accept(request_received Call,
         const std::shared_ptr<detail::http_session> &Session) override {
    LastRequest = LastRequest.next();
    Call.Request = LastRequest;
    ++Counters.Accepted;
    Requests.emplace(LastRequest, entry{Session, Call.Pipeline,
                                        std::chrono::steady_clock::now()});
    // The answer may come at once; the session has to know its request first.
    asio::post(Context, [this, Event = std::move(Call)]() mutable {
      Handler.onRequest(std::move(Event));
    });
    return LastRequest;
  }

  void onCallerGone(request_id Request) override {
    ++Counters.CallersGone;
    Requests.erase(Request);
    asio::post(Context, [this, Request] { Handler.onCallerGone(Request); });
  }

  void onRefused() override { ++Counters.Refused; }
  void onSlowReader() override { ++Counters.SlowReaders; }

  void onOperatorGet(std::string_view Target,
                     front_handler::page_handler Done) override {
    Handler.onOperatorGet(Target, std::move(Done));
  }

  void onClosed(const detail::http_session &Session) override {
    Sessions.erase(&Session);
  }

  asio::io_context &Context;
  endpoint Address;
  front_limits Limits;
  front_handler &Handler;
  failure_listener &Failures;
  tcp_acceptor Acceptor;
  io_timer PauseTimer;
  io_timer SweepTimer;
  session_map Sessions;
  /// Requests that the core has and is to answer; it is silent on a request
  /// whose caller it was told to be gone.
  std::map<request_id, entry> Requests;
  request_id LastRequest;
  front_counters Counters;
  bool Closing = false;
};

} // namespace

std::unique_ptr<front> makeFront(asio::io_context &Context,
                                 const endpoint &Address,
                                 const front_limits &Limits,
                                 front_handler &Handler,
                                 failure_listener &Failures) {
  return std::make_unique<front_impl>(Context, Address, Limits, Handler,
                                      Failures);
}

} // namespace jasminecroft
