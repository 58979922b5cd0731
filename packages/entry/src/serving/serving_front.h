// Accepts callers' connections and keeps track of their sessions.
#pragma once

#include "caller_session.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace jasminecroft::detail {

/// Hears what callers want.
class serving_front_listener {
public:
  virtual ~serving_front_listener() = default;
  virtual void onRequest(serving_request Request) = 0;
  virtual void onCallerDisconnected(request_id Request) = 0;
  virtual void onRefusedEarly(std::string_view CallerId, unsigned Status,
                              std::string_view Why) = 0;
  virtual void onSlowReader(std::string_view CallerId, std::size_t Unread,
                            std::string_view Why) = 0;
  virtual void onCut(const cut_connection &Cut) = 0;
  virtual caller_bounds bounds() const = 0;
};

class serving_front final : private caller_session_owner {
public:
  serving_front(boost::asio::io_context &Context,
                serving_front_listener &Listener, std::size_t MaxConnections,
                held_memory &Memory);
  ~serving_front() override;

  /// False if the address cannot be listened on.
  bool start(const boost::asio::ip::tcp::endpoint &Address);
  void stopAccepting();
  /// Connections end with the answer in progress.
  void closeAfterAnswers() { Closing = true; }
  void closeIdle();
  /// Refuses requests that are still arriving.
  void refuseArriving();
  bool idle() const;
  std::size_t connections() const { return Sessions.size(); }

  /// The session that waits for the answer; null if its caller has left.
  std::shared_ptr<caller_session> session(request_id Request) const;
  /// The request has had its last word.
  void forget(request_id Request) { Waiting.erase(Request); }

private:
  using clock = caller_session::clock;
  using session_table = std::unordered_map<const caller_session *,
                                           std::shared_ptr<caller_session>>;

  void accept();
  void sweep();

  caller_bounds bounds() const override { return Listener.bounds(); }
  bool closingAfterAnswers() const override { return Closing; }
  request_id accept(serving_request Request,
                    const std::shared_ptr<caller_session> &Session) override;
  void onCallerDisconnected(request_id Request) override;
  void onRefusedEarly(std::string_view CallerId, unsigned Status,
                      std::string_view Why) override;
  void onClosed(const caller_session &Session) override;
  void onCut(const cut_connection &Cut) override { Listener.onCut(Cut); }
  void onSlowReader(std::string_view CallerId, std::size_t Unread,
                    std::string_view Why) override {
    Listener.onSlowReader(CallerId, Unread, Why);
  }
  held_memory &memory() override { return Memory; }

  serving_front_listener &Listener;
  std::size_t MaxConnections;
  held_memory &Memory;
  tcp_acceptor Acceptor;
  io_timer Sweeper;
  session_table Sessions;
  std::unordered_map<request_id, std::weak_ptr<caller_session>> Waiting;
  std::uint64_t LastRequest = 0;
  bool Closing = false;
};

} // namespace jasminecroft::detail
