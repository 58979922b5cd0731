// Callers behind a simple balancer: they go to hosts that say they are ready.
#pragma once

#include "jasminecroft/processes/local_fleet.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jasminecroft::processes {

/// One call and the last word of the fleet about it.
struct call_result {
  std::string Body;
  /// Empty for calls without one.
  std::string Key;
  http_reply Reply;
};

struct load_options {
  std::size_t Clients = 4;
  std::string Pipeline = "part-check";
  /// Gives each call an idempotency key of its own.
  bool WithKeys = false;
  /// Asks for streams.
  bool Streamed = false;
  /// Distinguishes the calls of several loads.
  std::string Name = "load";
};

/// Sends calls one after the other from each client until it is stopped.
class load_clients {
public:
  load_clients(const local_fleet &Fleet, const load_options &Options);
  ~load_clients();
  load_clients(const load_clients &) = delete;
  load_clients &operator=(const load_clients &) = delete;

  /// Calls that have ended so far.
  std::size_t finished() const { return Finished; }
  /// Ends the load and gives all calls; call once.
  std::vector<call_result> stop();

private:
  void watchReadiness();
  void runClient(std::size_t Client);
  std::size_t chooseHost(std::size_t Turn) const;

  const local_fleet &Fleet;
  load_options Options;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> Finished = 0;
  std::vector<std::atomic<bool>> Ready;
  std::mutex ResultsMutex;
  std::vector<call_result> Results;
  std::vector<std::thread> Threads;
};

/// Calls by outcome and code, such as "complete" or "not_run overloaded";
/// "cut" for those without a whole answer.
std::map<std::string, std::size_t>
countOutcomes(const std::vector<call_result> &Results);
/// "cut", or the outcome and code of the reply.
std::string outcomeOf(const http_reply &Reply);
/// Calls whose complete answer was made from another call's body.
std::size_t foreignAnswers(const std::vector<call_result> &Results);
/// One line for a test's log.
std::string describe(const std::map<std::string, std::size_t> &Counts);

} // namespace jasminecroft::processes
