// Judges what callers are told against what backend servers ran. It knows the
// pipelines, the requests, the runs and the answers, and nothing of the cores.
#pragma once

#include "jasminecroft/core/config.h"
#include "jasminecroft/testing/fleet_observer.h"
#include "jasminecroft/testing/violation.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminecroft::testing {

/// How much of what can happen a test has reached.
struct request_tally {
  std::uint64_t Asked = 0;
  std::map<outcome_kind, std::uint64_t> Told;
  std::map<error_code, std::uint64_t> Codes;
  std::uint64_t Replayed = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Resumed = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Runs = 0;
  std::uint64_t NonRepeatableRuns = 0;
  std::uint64_t StreamsWhole = 0;
  std::uint64_t HostLost = 0;
};

class request_oracle {
public:
  request_oracle(const event_queue &Queue, const fleet_config &Config,
                 violation_list &Violations);

  void onEvent(const host_run &Host, const event &Event);
  void onAction(const host_run &Host, const action &Action);
  void onBackendRun(const backend_run &Run);
  void onHostDied(const host_run &Host);
  void onHostStopped(const host_run &Host);
  void onHostResumed(const host_run &Host);
  /// Finds requests that should have been answered by now. Frozen hosts are
  /// left alone.
  void checkDeadlines(const std::set<host_run> &Frozen);
  /// Latest deadline of the requests that a host still owes an answer.
  std::optional<core_time> latestOpenDeadline(const host_run &Host) const;
  /// Absent while the request is not answered.
  const final_answer *answerTo(request_id Request) const;
  const request_tally &tally() const { return Tally; }

private:
  struct attempt_run {
    /// Requests on whose behalf the attempt may have been made.
    std::vector<request_id> Candidates;
    bool Repeatable = true;
  };
  /// All that one idempotency key, or one request without key, has caused.
  struct key_history {
    std::map<stage_id, std::uint32_t> NonRepeatableRuns;
    std::vector<attempt_run> Runs;
    std::vector<request_id> Requests;
  };
  /// Requests with the same workspace, pipeline, key and body: the same work.
  struct work_family {
    workspace_id Workspace;
    const pipeline_definition *Pipeline = nullptr;
    /// Right input of each stage, and last the right output.
    std::vector<std::string> Texts;
    std::shared_ptr<key_history> History;
    std::vector<request_id> Requests;
  };
  struct asked_request {
    host_run Host;
    request_id Id;
    std::shared_ptr<work_family> Family;
    core_time At{};
    core_time Deadline{};
    bool Streamed = false;
    bool CallerGone = false;
    bool HostLost = false;
    bool Overdue = false;
    std::uint64_t Pieces = 0;
    std::string Text;
    std::optional<final_answer> Told;
  };
  struct known_attempt {
    std::shared_ptr<work_family> Family;
    std::size_t Stage = 0;
    attempt_run Run;
  };
  using attempt_key = std::pair<host_run, attempt_id>;

  void onAsked(const host_run &Host, const request_received &Call);
  void onStarted(const host_run &Host, const start_attempt &Start);
  void onStreamed(const host_run &Host, const stream_to_caller &Piece);
  void onAnswered(const host_run &Host, const answer_caller &Answer);
  std::shared_ptr<work_family> familyOf(const request_received &Call);
  core_duration remainingOf(const request_received &Call) const;
  void checkStart(const host_run &Host, const start_attempt &Start,
                  known_attempt &Known);
  void checkComplete(const asked_request &Asked);
  void checkWholeStream(const asked_request &Asked);
  void checkNothingRan(const asked_request &Asked);
  void checkRunAgainstTold(const known_attempt &Known);
  bool saysNothingRan(request_id Request, bool Repeatable) const;
  core_time dueBy(const asked_request &Asked) const;
  void report(promise Promise, const std::string &What);
  void report(promise Promise, const asked_request &Asked,
              const std::string &What);

  const event_queue &Queue;
  const fleet_config Config;
  violation_list &Violations;
  std::map<std::string, std::shared_ptr<work_family>> Families;
  std::map<std::string, std::shared_ptr<key_history>> Histories;
  /// By workspace, stage and input.
  std::unordered_map<std::string,
                     std::pair<std::shared_ptr<work_family>, std::size_t>>
      ByInput;
  std::map<request_id, asked_request> Requests;
  /// Requests that are owed an answer.
  std::set<request_id> Open;
  std::map<attempt_key, known_attempt> Attempts;
  std::map<host_run, core_time> ResumedAt;
  std::map<host_run, core_time> ShutdownAt;
  request_tally Tally;
};

} // namespace jasminecroft::testing
