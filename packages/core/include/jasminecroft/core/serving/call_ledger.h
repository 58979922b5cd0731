// What became of each call of one request, as the evidence for telling its
// caller whether it has run.
#pragma once

#include "jasminecroft/core/serving/run_evidence.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <deque>
#include <string>

namespace jasminecroft {

enum class call_fate {
  /// Nothing is known of it yet.
  InFlight,
  /// No byte was sent.
  NotConnected,
  /// The server stated that it did not run the request.
  Refused,
  /// The server answered.
  Answered,
  /// The connection broke, or what came was no answer to the request.
  Broken,
  /// No answer came in time.
  TimedOut,
  /// Closed by this host without an answer.
  GivenUp,
};

class call_ledger {
public:
  /// A call begins; the one before must have ended.
  void begin(const backend_id &Server);
  /// The call in flight ends. Without one, nothing is recorded.
  void end(call_fate Fate, const answer_evidence &Answer = {});

  /// Whether every call so far is proved not to have run.
  bool provesNotRun() const;
  std::size_t count() const { return Dropped + Calls.size(); }
  /// One word a call, in order: server, fate and evidence, as in
  /// "i-1=refused_503_named_new_stated,i-2=not_connected"; "none" without a
  /// call. Bounded: of many calls the latest are shown.
  std::string describe() const;

private:
  struct call {
    backend_id Server;
    call_fate Fate = call_fate::InFlight;
    answer_evidence Answer;

    /// Whether its server has not run the request and never will because of
    /// it.
    bool provesNotRun() const;
  };

  std::deque<call> Calls;
  /// Calls that are no longer in Calls, all of them ended.
  std::size_t Dropped = 0;
  bool DroppedMayHaveRun = false;
};

} // namespace jasminecroft
