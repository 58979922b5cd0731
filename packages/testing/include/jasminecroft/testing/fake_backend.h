// A backend server in memory: slots, service time, whole or streamed answers,
// leaving, dying, and faulty answers. It knows nothing of the caller's state.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/testing/virtual_time.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminecroft::testing {

/// The pieces of the one right answer of a stage to an input.
std::vector<std::string> answerPieces(const stage_id &Stage,
                                      const std::string &Input);
/// The whole right answer: the pieces together.
std::string answerText(const stage_id &Stage, const std::string &Input);

/// Chances in permille that an answer goes wrong after the call ran.
struct answer_faults {
  std::uint32_t RunsAndFails = 0;
  std::uint32_t Truncates = 0;
  std::uint32_t Duplicates = 0;
  std::uint32_t Reorders = 0;
  /// Loses one piece of a stream but closes it as if whole.
  std::uint32_t LosesPiece = 0;
  /// Sends another answer under another attempt's number beside its own.
  std::uint32_t SendsForeign = 0;
  /// Refuses calls, certainly before running them.
  std::uint32_t Refuses = 0;
  /// Goes on sending after the call was timed out or cancelled.
  std::uint32_t SendsLate = 0;
};

struct backend_spec {
  backend_id Name;
  zone_id Zone;
  pool_id Pool;
  endpoint Address;
  std::uint32_t Slots = 2;
  std::uint32_t MaxQueued = 16;
};

/// A call that a backend server began to run.
struct backend_run {
  backend_id Backend;
  incarnation Run;
  zone_id Zone;
  host_run Caller;
  attempt_id Attempt;
  workspace_id Workspace;
  stage_id Stage;
  std::string Input;
  bool Repeatable = true;
  core_time At{};
};

/// One call on its way from an entry host to a backend server and back.
struct backend_call {
  host_run Caller;
  zone_id CallerZone;
  start_attempt Start;
  core_time SentAt{};
  /// Hands an event to the calling host, if it still is the same run.
  std::function<void(const event &)> Deliver;
  /// The caller has had the end of this call, or has given it up.
  bool Closed = false;
  bool Cancelled = false;
  /// The connection is lost: nothing more comes back over it.
  bool Lost = false;
};
using backend_call_pointer = std::shared_ptr<backend_call>;

using service_time_function =
    std::function<core_duration(const start_attempt &, random_source &)>;

class backend_observer {
public:
  virtual ~backend_observer() = default;
  /// A call was taken in, to run now or later.
  virtual void onBackendReceived(const backend_id &Backend, incarnation Run,
                                 const backend_call &Call) = 0;
  virtual void onBackendRun(const backend_run &Run) = 0;
};

enum class backend_state { Live, Leaving, Dead };

/// One run of a backend server; it must outlive the queue's events.
class fake_backend {
public:
  fake_backend(event_queue &Queue, random_source &Random,
               const backend_spec &Spec, incarnation Run,
               backend_observer &Observer);

  const backend_spec &spec() const { return Spec; }
  incarnation run() const { return Run; }
  backend_state state() const { return State; }
  core_time leavingSince() const { return LeavingSince; }
  void setServiceTime(service_time_function Function);
  /// Factor on the service time; 1 is normal.
  void setSlowness(double Factor) { Slowness = Factor; }
  void setFaults(const answer_faults &NewFaults) { Faults = NewFaults; }
  /// Whether a leaving server refuses new calls or still takes them.
  void leave(bool RefusesNew);
  /// Calls in progress break; some callers notice, others only time out.
  void die();

  /// A call has arrived.
  void receive(const backend_call_pointer &Call);
  /// The caller gave the call up.
  void cancel(const backend_call_pointer &Call);
  /// Late by up to the report lag.
  load_reported report();

private:
  struct running_call {
    backend_call_pointer Call;
    std::uint64_t PiecesSent = 0;
    std::uint64_t LostPiece = 0;
    bool LosesPiece = false;
    bool Truncated = false;
  };
  using running_pointer = std::shared_ptr<running_call>;

  void startNext();
  void startCall(const backend_call_pointer &Call);
  void schedulePieces(const running_pointer &Running, core_duration Service);
  void sendPiece(const running_pointer &Running, std::uint64_t Index);
  void finish(const running_pointer &Running);
  void sendEnd(const running_pointer &Running);
  void sendForeign(const running_pointer &Running);
  void deliver(const backend_call_pointer &Call, const event &Event);
  void fail(const backend_call_pointer &Call, backend_error Error);

  event_queue &Queue;
  random_source &Random;
  backend_spec Spec;
  incarnation Run;
  backend_observer &Observer;
  service_time_function ServiceTime;
  answer_faults Faults;
  double Slowness = 1;
  backend_state State = backend_state::Live;
  core_time LeavingSince{};
  bool RefusesNew = false;
  std::deque<backend_call_pointer> Waiting;
  std::vector<running_pointer> Running;
  load_reported LastReport;
  std::optional<core_time> ReportedAt;
};

} // namespace jasminecroft::testing
