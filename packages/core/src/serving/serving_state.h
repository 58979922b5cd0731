// State of the serving core and its parts: requests and their stages, calls to
// backend servers, jobs at queue owners, peers.
#pragma once

#include "jasminecroft/core/serving/batch_owner.h"
#include "jasminecroft/core/serving/fleet_hosts.h"
#include "jasminecroft/core/serving/serving_core.h"

#include <map>
#include <set>
#include <unordered_map>

namespace jasminecroft::detail {

/// When to come back if a pool has no usable server: about the time in which
/// servers that were lost are listed again.
inline constexpr core_duration NoBackendRetry = std::chrono::milliseconds(700);

/// A configuration with its lookup; requests keep the one they began with.
struct config_view {
  explicit config_view(std::shared_ptr<const route_config> Config)
      : Config(std::move(Config)), Routes(*this->Config) {}
  std::shared_ptr<const route_config> Config;
  route_index Routes;
};

/// Fetched: asked for, and its inputs are no longer needed.
enum class stage_phase { Waiting, Asked, Fetched, Done };

struct stage_state {
  stage_phase Phase = stage_phase::Waiting;
  std::vector<made_piece> Results;
  /// Set while Asked.
  piece_job_id Job;
  /// Who made the results and is told when they are no longer needed.
  entry_host_id Owner;
  bool Released = false;
  /// The queue that the pieces are asked of, or are planned to be.
  zone_id QueueZone;
  core_time AskedAt;
  /// Time from being asked for until done.
  core_duration Took{0};
};

struct request_state {
  serving_request Call;
  std::shared_ptr<const config_view> View;
  const serving_route *Route = nullptr;
  pool_id Pool;
  workspace_id Workspace;
  std::uint32_t Priority = 0;
  core_time Arrived;
  /// The final answer is due by then.
  core_time Deadline;
  core_time GoalAt;
  /// Zone of the backend server that was chosen when the request came; stages
  /// are done near it.
  zone_id PlannedZone;
  std::vector<stage_state> Stages;
  /// Times that the stages were begun again.
  std::uint32_t Restages = 0;
  core_time StagesDoneAt;
  /// Time to the answer's first byte as expected on arrival.
  core_duration Forecast{0};

  /// The call in progress, if any.
  std::optional<call_id> Current;
  backend_entry Server;
  core_time SentAt;
  std::set<backend_id> Tried;
  /// Calls whose first byte may have left.
  std::uint32_t Sends = 0;
  /// True once a call was sent whose answer does not say 'not run'.
  bool MayHaveRun = false;
  bool HeadRelayed = false;
  std::optional<core_time> FirstByteAt;
  std::optional<std::uint64_t> LastEvent;
};

struct job_state {
  request_id Request;
  std::uint32_t Stage = 0;
  /// The host that was asked last.
  entry_host_id Owner;
  zone_id QueueZone;
  bool Accepted = false;
  core_time AskedAt;
};

enum class call_kind { Forward, Pieces };

struct call_state {
  call_kind Kind = call_kind::Forward;
  /// Forward calls only.
  request_id Request;
  /// Batches only.
  batch_id Batch;
  backend_entry Server;
  core_time SentAt;
};

/// Ids that a timer may be about.
enum class timer_kind { Deadline, Try, JobAccepted, JobCheck };
struct timer {
  timer_kind Kind = timer_kind::Deadline;
  std::uint64_t Id = 0;
};

class serving_impl final : public batch_actions {
public:
  serving_impl(const serving_settings &Settings, serving_actions &Actions);

  // Requests: serving_requests.cc.
  void onRequest(serving_request Request, core_time Now);
  void onCallerLeft(request_id Request, core_time Now);
  void onConfig(std::shared_ptr<const route_config> Config, std::string Text,
                core_time Now);
  void onWakeup(core_time Now);
  std::optional<core_time> nextWakeup(core_time Now) const;
  bool ready() const;

  // Calls: serving_calls.cc.
  void onReplyWhole(call_id Call, const backend_reply_head &Head,
                    std::string Body, core_time Now);
  void onStreamHead(call_id Call, const backend_reply_head &Head,
                    core_time Now);
  void onStreamEvents(call_id Call, std::string Text, std::uint64_t First,
                      std::uint64_t Last, core_time Now);
  void onStreamEnd(call_id Call, core_time Now);
  void onCallFailed(call_id Call, call_failure Failure, core_time Now);
  void onPiecesAnswered(call_id Call,
                        const std::vector<batch_item_result> &Results,
                        const std::optional<backend_load> &Load, core_time Now);
  void onPiecesRefused(call_id Call, bool WrongServer, core_time Now);

  // Peers: serving_peers.cc.
  void start(core_time Now);
  void onHost(const batching_host &Host, core_time Now);
  void onHostRemoved(const entry_host_id &Host);
  void onPeer(const host_run &Sender, const peer_body &Body, core_time Now);
  void beginLeaving(core_time Now);
  void onPeerUnreachable(const entry_host_id &Host);

  // batch_actions
  void runBatch(batch_id Batch, const backend_entry &Server,
                std::vector<batch_item> Items, core_duration Timeout) override;
  void freeResults(const backend_entry &Server,
                   std::vector<result_handle> Results) override;
  void readServer(const backend_entry &Server) override;
  void onPiecesMade(const entry_host_id &Host, const piece_job &Job,
                    std::vector<made_piece> Pieces) override;
  void onJobFailed(const entry_host_id &Host, piece_job_id Job,
                   piece_failure Failure) override;
  void onInputsFetched(const entry_host_id &Host, piece_job_id Job) override;
  void onBatchEnded(const batch_report &Report) override;

  serving_settings Settings;
  serving_actions &Actions;
  std::shared_ptr<const config_view> View;
  std::string ConfigText;
  backend_directory Servers;
  fleet_hosts Hosts;
  store_news News;
  retry_budget Budget;
  batch_owner Owner;
  serving_counters Counters;
  bool Leaving = false;
  bool WatchesClosely = false;
  /// Time of the event that is being handled.
  core_time Now;

private:
  struct forecast {
    /// Time until the answer's first byte, if the request is on time.
    core_duration Needed{0};
    /// Longest wait in one queue behind all that waits there.
    core_duration LongestLateWait{0};
  };
  using request_map = std::unordered_map<request_id, request_state>;

  // Requests.
  request_state *find(request_id Request);
  const serving_route *admit(const serving_request &Request,
                             workspace_id &Workspace, std::uint32_t &Priority);
  pool_id poolOf(const serving_route &Route, const caller_request_id &Id) const;
  void refuse(request_id Request, refusal_kind Kind, core_duration RetryAfter);
  void refuseUnknown(request_id Request, refusal_kind Kind,
                     core_duration RetryAfter);
  void giveUp(request_state &State, refusal_kind Kind,
              core_duration RetryAfter);
  void finish(request_id Request);
  void logEnd(const request_state &State, std::string_view Outcome,
              unsigned Status);
  void onDeadline(request_id Request);
  void addTimer(core_time Time, timer_kind Kind, std::uint64_t Id);
  void onTimer(const timer &Timer);

  // Stages: serving_stages.cc.
  void startReadyStages(request_state &State);
  bool stageReady(const request_state &State, std::size_t Stage) const;
  bool isLastStage(const request_state &State, std::size_t Stage) const;
  bool stagesDone(const request_state &State) const;
  void askStage(request_state &State, std::size_t Stage);
  void sendJob(piece_job_id Id, request_state &State);
  void askOwner(piece_job_id Id, request_state &State);
  zone_id queueZone(const request_state &State, std::size_t Stage);
  std::vector<result_handle> inputsOf(const request_state &State,
                                      std::size_t Stage) const;
  std::vector<result_handle> finalInputs(const request_state &State) const;
  zone_id zoneOfInputs(const request_state &State) const;
  core_duration callTime(const request_state &State, std::size_t Stage) const;
  core_duration stageTime(const request_state &State, std::size_t Stage) const;
  core_duration timeAfter(const request_state &State, std::size_t Stage) const;
  core_duration answerTime(const request_state &State) const;
  entry_host_id ownerOf(const pool_id &Pool, const zone_id &Zone) const;
  void handOverQueues();
  void onJobAccepted(piece_job_id Job, const queue_wait &Wait);
  queue_wait knownWait(const pool_id &Pool, const zone_id &Zone) const;
  queue_wait knownWait(const request_state &State, std::size_t Stage) const;
  void tellPlans(const request_state &State);
  by_urgency<std::uint32_t> plannedPieces(const pool_id &Pool) const;
  forecast forecastStages(const request_state &State) const;
  bool turnedAway(request_state &State);
  void onJobUnanswered(piece_job_id Job);
  void onJobCheck(piece_job_id Job);
  void suspect(const entry_host_id &Host, std::string_view Why);
  void askElsewhere(const entry_host_id &Lost);
  void takePieces(piece_job_id Job, const caller_request_id &Request,
                  const entry_host_id &From, std::vector<made_piece> Pieces);
  bool askedOf(const entry_host_id &Host, piece_job_id Job) const;
  void takeInputsFetched(piece_job_id Job, const entry_host_id &From);
  void takeJobFailure(piece_job_id Job, const entry_host_id &From,
                      piece_failure Failure);

  // Results: serving_results.cc.
  void releaseStage(stage_state &Stage);
  void releaseUsed(request_state &State);
  void releaseAll(request_state &State);
  void cancelJobs(request_state &State);
  void cancelJob(const stage_state &Stage);
  void cancelAt(const entry_host_id &Host, piece_job_id Job);
  void remake(request_state &State, std::size_t Stage);
  bool restage(request_state &State, const std::vector<std::uint32_t> &Lost);
  std::vector<std::uint32_t> lastStages(const request_state &State) const;
  bool smallResults(const request_state &State, std::size_t Stage) const;

  // Calls.
  void sendCall(request_state &State);
  backend_state *chooseServer(const request_state &State);
  core_duration tryTime(const request_state &State,
                        const backend_state &Server) const;
  void onTryTimeout(call_id Call);
  request_state *callRequest(call_id Call);
  void endCall(call_id Call);
  bool mayRepeat(const request_state &State);
  void onNotRun(request_state &State, const backend_reply_head &Head);
  void onBroken(request_state &State, bool Timed);
  void resume(request_state &State);
  void observeHead(const request_state &State);

  // Peers.
  void sendToHost(const entry_host_id &Host, peer_body Body);
  host_heartbeat greeting(bool WantsReply) const;
  void on(const host_run &Sender, const host_heartbeat &Body);
  void on(const host_run &Sender, const operator_config_pull &Body);
  void on(const host_run &Sender, const operator_config_push &Body);
  void on(const host_run &Sender, const piece_request &Body);
  void on(const host_run &Sender, const pieces_accepted &Body);
  void on(const host_run &Sender, const pieces_completed &Body);
  void on(const host_run &Sender, const inputs_fetched &Body);
  void on(const host_run &Sender, const demand_forecast &Body);
  void on(const host_run &Sender, const pieces_failed &Body);
  void on(const host_run &Sender, const pieces_cancelled &Body);
  void on(const host_run &Sender, const results_released &Body);
  /// All other messages belong to the product's own pipelines.
  template <typename Body> void on(const host_run &, const Body &) {}
  void greetSeeds();
  void followNews();
  void log(event_number Number, event_severity Severity,
           std::string_view Message, std::vector<event_field> Fields);

  request_map Requests;
  std::map<piece_job_id, job_state> JobsAsked;
  std::map<call_id, call_state> Calls;
  std::multimap<core_time, timer> Timers;
  std::uint64_t LastCall = 0;
  std::uint64_t LastJob = 0;
  /// Hosts that know this host's address.
  std::set<entry_host_id> Greeted;
  core_time GreetSeedsAt;
  std::uint32_t SeedGreetings = 0;
  struct said_wait {
    queue_wait Wait;
    core_time At;
  };
  /// Expected wait in each queue, as its owner last said it.
  std::map<std::pair<pool_id, zone_id>, said_wait> Waits;
  /// Smoothed time to the first byte of a pool's answers, in microseconds.
  std::map<pool_id, double> HeadMicros;
};

} // namespace jasminecroft::detail
