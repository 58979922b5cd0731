// Accepts callers' connections and keeps track of their sessions.
#pragma once

#include "caller_session.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace jasminecroft::detail {

/// Bytes of answers that callers have not read, all together.
inline constexpr std::size_t MaxUnreadBytes = 33'554'432;

/// Hears what callers want.
class serving_front_listener {
public:
  virtual ~serving_front_listener() = default;
  virtual void onRequest(serving_request Request) = 0;
  virtual void onCallerDisconnected(request_id Request) = 0;
  virtual void onRefusedEarly(std::string_view CallerId, unsigned Status,
                              std::string_view Why) = 0;
  virtual caller_bounds bounds() const = 0;
};

class serving_front final : private caller_session_owner {
public:
  serving_front(boost::asio::io_context &Context,
                serving_front_listener &Listener, std::size_t MaxConnections,
                std::size_t MaxBodyBytes);
  ~serving_front() override;

  /// False if the address cannot be listened on.
  bool start(const boost::asio::ip::tcp::endpoint &Address);
  void stopAccepting();
  /// For bodies that arrive from now on.
  void setMaxBodyBytes(std::size_t Bytes) { MaxBodyBytes = Bytes; }
  /// Connections end with the answer in progress.
  void closeAfterAnswers() { Closing = true; }
  void closeIdle();
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
  answer_memory &unreadAnswers() override { return Unread; }
  bool reserveBody(std::size_t Before, std::size_t Bytes) override;
  void releaseBody(std::size_t Bytes) override { BodyBytes -= Bytes; }

  serving_front_listener &Listener;
  std::size_t MaxConnections;
  /// Bodies of requests in progress, all together.
  std::size_t MaxBodyBytes;
  std::size_t BodyBytes = 0;
  tcp_acceptor Acceptor;
  io_timer Sweeper;
  answer_memory Unread{MaxUnreadBytes, give_up_order::Oldest};
  session_table Sessions;
  std::unordered_map<request_id, std::weak_ptr<caller_session>> Waiting;
  std::uint64_t LastRequest = 0;
  bool Closing = false;
};

} // namespace jasminecroft::detail
