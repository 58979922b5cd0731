// Makes this entry host known to the others through the platform's store.
#pragma once

#include "../http_exchange.h"
#include "../io_types.h"
#include "store_watch.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace jasminecroft::detail {

/// Keeps one object of this host in the store: creates it, replaces the one of
/// an earlier run, and removes it when the host leaves.
class host_registration
    : public std::enable_shared_from_this<host_registration> {
public:
  host_registration(boost::asio::io_context &Context, http_client &Client,
                    endpoint Store, batching_host Self, incarnation Run,
                    store_watch_listener &Listener);
  void start();
  /// The store may have lost what this host wrote: makes sure that the object
  /// exists, or is removed if this host has left. Hosts that hear of it
  /// together spread their calls over a second.
  void verify();
  /// The store tells of this host's object: verifies it if it is removed while
  /// it should exist, or the other way round.
  void onSeen(const platform::store_object &Object);
  /// Removes the object; Done is called when the first try has succeeded or
  /// failed. Tries go on until stop().
  void leave(std::function<void()> Done);
  void stop();
  /// Calls since the start.
  std::uint64_t calls() const { return Calls; }

private:
  class answer;
  using clock = std::chrono::steady_clock;
  enum class step { Create, Replace, Registered, Remove };

  void perform();
  void performAfter(std::chrono::milliseconds Time);
  /// Ends the call in progress without its answer.
  void abandonCall();
  void onAnswer(unsigned Status, const std::string &Body);
  void onRemoveAnswer(unsigned Status);
  void onFailed(exchange_failure Failure);
  void onNoAnswer();
  void retryLater(std::string Why);

  http_client &Client;
  endpoint Store;
  batching_host Self;
  incarnation Run;
  store_watch_listener &Listener;
  io_timer Timer;
  retry_pause Pause;
  /// Spreads the verifications of a fleet.
  std::mt19937_64 Random;
  clock::time_point CalledAt;
  std::chrono::microseconds CallLimit{0};
  std::shared_ptr<http_exchange> Call;
  step Step = step::Create;
  /// Revision of the earlier run's object that is replaced.
  std::optional<object_version> Found;
  /// A creation without an answer may run until then.
  clock::time_point MayBeCreatedUntil;
  std::function<void()> Left;
  bool Stopped = false;
  std::uint64_t Calls = 0;
};

} // namespace jasminecroft::detail
