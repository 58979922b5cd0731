// What callers and backend servers of a serving world saw, and which promises
// that breaks.
#pragma once

#include "jasminecroft/core/serving/serving_core.h"
#include "jasminecroft/testing/violation.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminecroft::testing {

/// One try of a caller at one host.
struct booked_request {
  caller_request_id Id;
  serving_route Route;
  std::vector<std::uint32_t> Pieces;
  /// Parts of the prompt, the last one the request's own.
  std::vector<std::uint64_t> Parts;
  workspace_id Workspace;
  /// Of a long prompt; others are read at once.
  std::uint32_t PromptTokens = 0;
  core_time Sent;
  core_time Deadline;
  /// The host ended, or the caller left; nothing is owed.
  bool Excused = false;
  std::optional<refusal_kind> Refused;
  std::optional<unsigned> Status;
  bool BrokenOff = false;
  bool Ended = false;
  std::optional<core_time> FirstByteAt;
  std::uint64_t LastEvent = 0;
  /// Servers that ran it, in order.
  std::vector<backend_id> Runs;

  bool answered() const { return Refused || Status || BrokenOff || Ended; }
  bool complete() const { return Ended || (Status && *Status == 200); }
  bool onTime() const {
    return complete() && FirstByteAt && *FirstByteAt - Sent <= Route.Goal;
  }
};

class serving_book {
public:
  /// Events of a whole stream.
  static constexpr std::uint64_t Events = 6;

  void onAsked(booked_request Request);
  void onExcused(const caller_request_id &Id);

  // What callers see.
  void onRefused(const caller_request_id &Id, refusal_kind Kind, core_time Now);
  void onWhole(const caller_request_id &Id, const backend_reply_head &Head,
               const std::string &Body, core_time Now);
  void onHead(const caller_request_id &Id, core_time Now);
  void onEvent(const caller_request_id &Id, std::uint64_t Event, core_time Now);
  void onEnd(const caller_request_id &Id, core_time Now);
  void onBrokenOff(const caller_request_id &Id);

  // What backend servers see.
  void onRun(const caller_request_id &Id, const backend_id &Server,
             core_time Now);
  /// An engine that requests of several priorities reach gets a call.
  void onRanked(const caller_request_id &Id,
                std::optional<std::uint32_t> Urgency, core_time Now);
  /// An engine begins to read a long prompt, which takes this time.
  void onPromptRead(const caller_request_id &Id, const backend_id &Server,
                    core_duration Reading, core_time Now);
  /// From now on, all hosts are in touch and nothing is lost: long prompts
  /// count.
  void judgePrompts(bool Judges) { JudgesPrompts = Judges; }
  /// Inputs of a piece, or of the request itself: (stage, piece) by request.
  struct input {
    caller_request_id Request;
    std::uint32_t Stage = 0;
    std::uint32_t Piece = 0;
  };
  /// Stage: the one that is made; absent for the request itself.
  void onInputs(const caller_request_id &Id, std::optional<std::uint32_t> Stage,
                const std::vector<input> &Inputs, core_time Now);
  /// A server names a limit from now on; absent: none.
  void onLimit(const backend_id &Server, std::optional<double> PerSecond,
               core_time Now);
  /// A host relayed a reply that names the limit.
  void onLimitTold(const backend_id &Server, std::size_t Host, core_time Now);
  /// A server is cold until a time. Fresh: its first entry says so; otherwise
  /// only hosts that were told count.
  void onCold(const backend_id &Server, double PerSecond, bool Fresh,
              core_time Until, core_time Now);
  /// A host relayed a reply that says so.
  void onColdTold(const backend_id &Server, std::size_t Host, core_time Now);
  /// A host is excused as if it had not been told.
  void onHostLost(std::size_t Host);
  /// A reply has told the host that its server leaves.
  void onLeavingTold(const backend_id &Server, std::size_t Host, core_time Now);
  /// A reply has told the host that its server wants nothing until a time.
  void onPauseTold(const backend_id &Server, std::size_t Host, core_time Until,
                   core_time Now);
  /// A server starts again under its id: it knows nothing of before.
  void onRestart(const backend_id &Server);
  /// The server takes calls again before the time that it named.
  void onPauseEnded(const backend_id &Server);
  /// A request or a call for pieces arrives; counts as an arrival too.
  void onCall(const backend_id &Server, std::size_t Host, core_time Now);
  /// A request of a host reached the server, whatever became of it.
  void onArrival(const backend_id &Server, std::size_t Host, core_time Now);
  std::size_t arrivalsSince(const backend_id &Server, core_time From) const;
  /// A request with a part that crashes engines reached one.
  void onCrashingSent(core_time Now) { CrashingSent.push_back(Now); }
  void onPartCrash(core_time Now) { PartCrashes.push_back(Now); }
  /// The operator empties a zone, or takes it back.
  void onZoneOrder(const zone_order &Order, core_time Now);
  /// Something of a host reaches a server of the zone. Watches: the host has
  /// read the store and watches it.
  void onZoneUsed(const zone_id &Zone, bool Watches, core_time Now);
  void onLeavingUsed(const backend_id &Server, core_duration After,
                     core_time Now);

  /// Judges what is owed by Now.
  void judge(core_time Now);
  void add(promise Promise, core_time Now, std::string What);

  const std::map<caller_request_id, booked_request> &requests() const {
    return Requests;
  }
  const violation_list &violations() const { return Violations; }
  /// Times at which requests with a crashing part reached engines, and at which
  /// these crashed.
  const std::vector<core_time> &crashingSent() const { return CrashingSent; }
  const std::vector<core_time> &partCrashes() const { return PartCrashes; }
  /// Number of requests with a crashing part that reached engines later than
  /// the users' rule allows for any; 0 if there were too few crashes.
  std::size_t crashingSentLate() const;
  /// Number of these that the rule allows.
  static constexpr std::size_t MaxCrashingSentLate = 3;

private:
  struct limited_server {
    std::optional<double> PerSecond;
    core_time Since;
    std::map<std::size_t, core_time> ToldAt;
  };
  void judgeLimit(const backend_id &Server, core_time Now);
  struct cold_server {
    double PerSecond = 0;
    bool Fresh = false;
    core_time Since;
    core_time Until;
    std::map<std::size_t, core_time> ToldAt;
  };
  void judgeCold(const backend_id &Server, core_time Now);

  booked_request *find(const caller_request_id &Id);
  void answerOnce(const booked_request &Request, core_time Now);

  std::map<caller_request_id, booked_request> Requests;
  violation_list Violations;
  std::map<backend_id, limited_server> Limits;
  std::map<backend_id, cold_server> Cold;
  std::map<std::pair<backend_id, std::size_t>, core_time> LeavingTold;
  std::map<zone_id, core_time> EmptiedAt;
  struct asked_pause {
    core_time CountsFrom;
    core_time Until;
    std::size_t Calls = 0;
  };
  std::map<std::pair<backend_id, std::size_t>, asked_pause> Pauses;
  std::map<backend_id, std::vector<std::pair<core_time, std::size_t>>> Arrivals;
  std::vector<core_time> CrashingSent;
  std::vector<core_time> PartCrashes;
  struct prompt_reading {
    core_duration Reading{0};
    core_time Until;
  };
  std::map<backend_id, std::vector<prompt_reading>> PromptsRead;
  bool JudgesPrompts = false;
};

} // namespace jasminecroft::testing
