// Stand-in of a backend server: slots, size-dependent service time, streams,
// priorities, cancel, a lagging load report, leaving, faults, and a record of
// every run.
#pragma once

#include "jasminecroft/standins/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminecroft::standins {

/// How a backend server serves; all but Slots can be set by POST /test/steer.
struct backend_behaviour {
  std::uint32_t Slots = 4;
  std::chrono::microseconds BaseTime{2'000};
  std::chrono::microseconds TimePerKilobyte{1'000};
  double SlowFactor = 1;
  bool Leaving = false;
  std::chrono::milliseconds LoadLag{200};
  /// Refuses every call, certainly without running it.
  bool Refuse = false;
  /// Runs every call and answers that it failed.
  bool Fail = false;
  /// Runs every call and breaks the connection instead of (all of) an answer.
  bool BreakAnswers = false;
};

/// Answers of a stand-in: what stage Stage makes of Input.
std::string standInOutput(std::string_view Stage, std::string_view Input);

class backend_server {
public:
  backend_server(boost::asio::io_context &Io, std::string_view Address,
                 std::uint64_t Run, backend_behaviour Behaviour);
  std::uint16_t port() const { return Server->port(); }

private:
  using exchange_ptr = std::shared_ptr<http_exchange>;
  struct call {
    exchange_ptr Exchange;
    std::string Attempt;
    std::string Stage;
    std::string Output;
    std::chrono::microseconds Time{0};
    bool Streamed = false;
    std::uint64_t ResumeFrom = 0;
    bool Cancelled = false;
    std::vector<std::string> Pieces;
    std::size_t NextPiece = 0;
    std::unique_ptr<boost::asio::steady_timer> Timer;
  };
  using call_ptr = std::shared_ptr<call>;
  /// One line of the record of runs.
  struct run_record {
    std::string Attempt;
    std::string Workspace;
    std::string Stage;
    std::string InputDigest;
    bool Repeatable = true;
  };
  struct load_sample {
    std::chrono::steady_clock::time_point At;
    std::uint32_t InFlight = 0;
    std::uint32_t Queued = 0;
  };

  void onRequest(const exchange_ptr &Exchange);
  void onRun(const exchange_ptr &Exchange);
  void onCancel(const exchange_ptr &Exchange);
  void onLoad(const exchange_ptr &Exchange);
  void onRuns(const exchange_ptr &Exchange);
  void onSteer(const exchange_ptr &Exchange);
  void startNext();
  void begin(const call_ptr &Call);
  void streamNext(const call_ptr &Call);
  void finish(const call_ptr &Call);
  void release(const call_ptr &Call);
  void sampleLoad();

  boost::asio::io_context &Io;
  std::uint64_t Run;
  backend_behaviour Behaviour;
  std::deque<call_ptr> Interactive;
  std::deque<call_ptr> Batch;
  std::list<call_ptr> Running;
  std::vector<run_record> Record;
  /// Oldest first; kept as long as a report may lag.
  std::deque<load_sample> Samples;
  std::unique_ptr<http_server> Server;
};

} // namespace jasminecroft::standins
