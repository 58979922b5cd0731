// The listener, the table of sessions and their common timer.
#include "serving_front.h"

#include <vector>

namespace jasminecroft::detail {

namespace asio = boost::asio;
using error = boost::system::error_code;

namespace {

/// Deadlines of all sessions are checked at this interval.
constexpr std::chrono::milliseconds SweepInterval{250};
/// Pause when no descriptor is left for another connection.
constexpr std::chrono::milliseconds AcceptPause{50};

} // namespace

serving_front::serving_front(asio::io_context &Context,
                             serving_front_listener &Listener,
                             std::size_t MaxConnections, held_memory &Memory)
    : Listener(Listener), MaxConnections(MaxConnections), Memory(Memory),
      Acceptor(Context), Sweeper(Context) {}

serving_front::~serving_front() = default;

bool serving_front::start(const asio::ip::tcp::endpoint &Address) {
  error Error;
  Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return false;
  accept();
  sweep();
  return true;
}

void serving_front::stopAccepting() {
  error Ignored;
  Acceptor.close(Ignored);
}

void serving_front::accept() {
  Acceptor.async_accept([this](const error &Error, tcp_socket Socket) {
    if (Error == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (!Error && Sessions.size() < MaxConnections) {
      std::shared_ptr<caller_session> Session =
          std::make_shared<caller_session>(
              std::move(Socket), static_cast<caller_session_owner &>(*this));
      Sessions.emplace(Session.get(), Session);
      Session->start();
    }
    if (Error == asio::error::no_descriptors) {
      std::shared_ptr<io_timer> Pause =
          std::make_shared<io_timer>(Acceptor.get_executor());
      Pause->expires_after(AcceptPause);
      Pause->async_wait([this, Pause](const error &) { accept(); });
      return;
    }
    accept();
  });
}

void serving_front::sweep() {
  Sweeper.expires_after(SweepInterval);
  Sweeper.async_wait([this](const error &Error) {
    if (Error)
      return;
    clock::time_point Now = clock::now();
    std::vector<std::shared_ptr<caller_session>> All;
    for (const session_table::value_type &Entry : Sessions)
      All.push_back(Entry.second);
    for (const std::shared_ptr<caller_session> &Session : All)
      Session->checkDeadline(Now);
    sweep();
  });
}

void serving_front::closeIdle() {
  std::vector<std::shared_ptr<caller_session>> All;
  for (const session_table::value_type &Entry : Sessions)
    All.push_back(Entry.second);
  for (const std::shared_ptr<caller_session> &Session : All)
    Session->closeIfIdle();
}

void serving_front::refuseArriving() {
  std::vector<std::shared_ptr<caller_session>> All;
  for (const session_table::value_type &Entry : Sessions)
    All.push_back(Entry.second);
  for (const std::shared_ptr<caller_session> &Session : All)
    Session->refuseArriving();
}

bool serving_front::idle() const {
  for (const session_table::value_type &Entry : Sessions)
    if (Entry.second->busy())
      return false;
  return true;
}

std::shared_ptr<caller_session>
serving_front::session(request_id Request) const {
  auto Found = Waiting.find(Request);
  return Found == Waiting.end() ? nullptr : Found->second.lock();
}

request_id
serving_front::accept(serving_request Request,
                      const std::shared_ptr<caller_session> &Session) {
  request_id Number(++LastRequest);
  Request.Number = Number;
  Waiting.emplace(Number, Session);
  Listener.onRequest(std::move(Request));
  return Number;
}

void serving_front::onCallerDisconnected(request_id Request) {
  Waiting.erase(Request);
  Listener.onCallerDisconnected(Request);
}

void serving_front::onRefusedEarly(std::string_view CallerId, unsigned Status,
                                   std::string_view Why) {
  Listener.onRefusedEarly(CallerId, Status, Why);
}

void serving_front::onClosed(const caller_session &Session) {
  Sessions.erase(&Session);
}

} // namespace jasminecroft::detail
