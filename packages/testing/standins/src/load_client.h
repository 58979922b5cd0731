// Caller side of the load tool: requests through a stand-in of the balancer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jasminecroft::standins {

struct load_call {
  std::string Target;
  std::string Body;
  std::string Key;
  int DeadlineMs = 0;
  bool Streamed = false;
};

struct load_answer {
  /// The outcome as told; "cut_off" if the connection broke after the request
  /// was sent, "bad_stream" if a stream had a hole or a wrong end, and
  /// "no_host" if no entry host took the request.
  std::string Outcome;
  std::chrono::microseconds Latency{0};
  /// Hosts that were passed over before a byte was sent.
  std::uint32_t Moved = 0;
};

/// Sends each call to the ready hosts in turn; asks for readiness regularly.
class balancer {
public:
  balancer(boost::asio::io_context &Io,
           const std::vector<std::string> &Targets);
  ~balancer();

  /// Calls Ready once, when some host is ready.
  void start(std::function<void()> Ready);
  void send(load_call Call, std::function<void(const load_answer &)> Done);
  void stop();

private:
  class implementation;
  std::shared_ptr<implementation> Impl;
};

} // namespace jasminecroft::standins
