// A TCP proxy on loopback that delays, silences, cuts and resets what it
// carries.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace jasminecroft::processes {

/// What is lost while it lasts; connections stay open.
enum class proxy_loss { None, FromServer, Both };

/// Used on the thread of its context only.
class fault_proxy {
public:
  fault_proxy(boost::asio::io_context &Context, std::uint16_t Target);
  ~fault_proxy();
  fault_proxy(const fault_proxy &) = delete;
  fault_proxy &operator=(const fault_proxy &) = delete;

  std::uint16_t port() const;
  /// Bytes are carried this much later from now on.
  void setDelay(std::chrono::milliseconds Delay) { Settings->Delay = Delay; }
  /// A connection that has lost something stays silent for good.
  void setLoss(proxy_loss Loss) { Settings->Loss = Loss; }
  /// Where new connections lead from now on.
  void setTarget(std::uint16_t Port);
  /// "IP:port".
  void setTarget(const std::string &Address);
  /// Resets all connections.
  void resetAll();

  struct settings {
    std::chrono::milliseconds Delay{0};
    proxy_loss Loss = proxy_loss::None;
  };
  class link;

private:
  void accept();

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::endpoint Target;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<settings> Settings = std::make_shared<settings>();
  std::set<std::shared_ptr<link>> Links;
};

} // namespace jasminecroft::processes
