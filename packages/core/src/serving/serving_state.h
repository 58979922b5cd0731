// Internal state of the serving core and its parts: requests, stages, calls to
// backend servers, jobs at queue owners, peers.
#pragma once

#include "serving_records.h"

#include "jasminecroft/core/serving/batch_owner.h"
#include "jasminecroft/core/serving/call_admission.h"
#include "jasminecroft/core/serving/cold_servers.h"
#include "jasminecroft/core/serving/emptied_zones.h"
#include "jasminecroft/core/serving/engine_model.h"
#include "jasminecroft/core/serving/engine_urgency.h"
#include "jasminecroft/core/serving/fleet_hosts.h"
#include "jasminecroft/core/serving/request_bytes.h"
#include "jasminecroft/core/serving/serving_core.h"
#include "jasminecroft/core/serving/store_following.h"
#include "jasminecroft/core/serving/stream_times.h"

#include <map>
#include <set>
#include <unordered_map>

namespace jasminecroft::detail {

class serving_impl final : public batch_actions {
public:
  serving_impl(const serving_settings &Settings, serving_actions &Actions);

  // Requests: serving_requests.cc.
  void onRequest(serving_request Request, core_time Now);
  void onCallerDisconnected(request_id Request, core_time Now);
  void onConfig(std::shared_ptr<const route_config> Config, std::string Text,
                core_time Now);
  void onWakeup(core_time Now);
  std::optional<core_time> nextWakeup(core_time Now) const;
  bool ready() const;
  std::size_t limitedServers() const { return Servers.limits().count(); }
  std::size_t coldServers() const { return ColdServers.count(Now); }
  std::size_t quarantinedParts() const { return Quarantine.quarantinedCount(); }

  // Calls: serving_calls.cc.
  void onCompleteReply(call_id Call, const backend_reply_head &Head,
                       std::string Body, core_time Now);
  void onStreamHead(call_id Call, const backend_reply_head &Head,
                    core_time Now);
  void onStreamEvents(call_id Call, std::string Text, std::uint64_t First,
                      std::uint64_t Last, core_time Now);
  void onStreamEnd(call_id Call, core_time Now);
  void onCallFailed(call_id Call, call_failure Failure, core_time Now);

  // Calls for pieces: serving_batches.cc.
  void onPiecesAnswered(call_id Call,
                        const std::vector<batch_item_result> &Results,
                        const std::optional<backend_load> &Load, core_time Now);
  void onPiecesRefused(call_id Call, bool WrongServer, core_time Now);

  // What servers say of themselves: serving_limits.cc.
  void onStatedLimit(call_id Call, const stated_limit &Stated);
  void onServerLeaving(const backend_entry &Server);
  void onServerPause(const backend_entry &Server, const stated_pause &Stated);

  // Servers that are cold: serving_warm_up.cc.
  void onServerCold(const backend_entry &Server, core_duration Left);
  void updateServer(const backend_entry &Entry);
  void replaceServers(const std::vector<backend_entry> &Entries,
                      object_version Revision);

  // Permits of the hosts that count: serving_permits.cc.
  void askForQueues();

  // Peers: serving_peers.cc.
  void start(core_time Now);
  void onHost(const batching_host &Host, core_time Now);
  void onHostRemoved(const entry_host_id &Host);
  void onPeer(const host_run &Sender, const peer_body &Body, core_time Now);
  void onStoreRead(store_kind Kind);
  void onStoreLost(store_kind Kind);
  void onStoreEra(store_era Era);
  bool acceptEra(object_version Revision);
  void onBackendRemoved(const backend_id &Id, object_version Revision);
  void onBackendsRead(object_version Revision, object_version Newest);
  void onPeerUnreachable(const entry_host_id &Host);

  // Planned stop: serving_drain.cc.
  void beginDraining(const drain_plan &Plan);

  // The first configuration: serving_first_config.cc.
  bool configConfirmed() const;
  void onHostListRead();

  // Zones that the operator empties: serving_zones.cc.
  void onZoneOrder(const zone_order &Order);
  void onZoneList(const std::vector<zone_order> &Listed,
                  object_version Revision);
  void onZonesRead(object_version Revision) { Emptied.onRead(Revision); }
  std::size_t emptiedZones() const { return Emptied.count(); }

  // batch_actions
  void runBatch(batch_id Batch, call_permit Permit,
                std::vector<batch_item> Items, core_duration Timeout) override;
  void freeResults(call_permit Permit,
                   std::vector<result_handle> Results) override;
  void readServer(call_permit Permit) override;
  void onPiecesCompleted(const entry_host_id &Host, const piece_job &Job,
                         std::vector<completed_piece> Pieces) override;
  void onJobFailed(const entry_host_id &Host, piece_job_id Job,
                   piece_failure Failure) override;
  void onInputsFetched(const entry_host_id &Host, piece_job_id Job) override;
  void onBatchEnded(const batch_report &Report) override;

  serving_settings Settings;
  serving_actions &Actions;
  std::shared_ptr<const config_view> View;
  std::string ConfigText;
  /// Versions that hosts had when they asked for a large configuration and were
  /// left to read it from the store.
  std::map<entry_host_id, config_version> ConfigAskedWith;
  backend_directory Servers;
  fleet_hosts Hosts;
  emptied_zones Emptied;
  request_bytes BytesInProgress;
  shared_rate Rate;
  call_admission Admission;
  cold_servers ColdServers;
  store_gossip Gossip;
  store_following Following;
  retry_budget Budget;
  batch_owner Owner;
  serving_counters Counters;
  bool Leaving = false;
  /// Absent until this host drains.
  std::optional<drain_plan> Drain;
  core_time DrainBegan;
  bool CloseWatcher = false;
  /// Highest version of the configuration that a peer has named.
  config_version PeersConfig;
  /// Set while the first configuration is not confirmed: the time from which it
  /// is used all the same.
  std::optional<core_time> ConfirmBy;
  /// Time of the event being handled.
  core_time Now;

private:
  using request_map = std::unordered_map<request_id, active_request>;

  // Requests.
  active_request *find(request_id Request);
  void logUnusableWorkspaces(const route_config &Config);
  const serving_route *admit(const serving_request &Request,
                             workspace_id &Workspace, std::uint32_t &Priority);
  pool_id selectPool(const serving_route &Route, const caller_request_id &Id);
  void refuse(request_id Request, refusal_kind Kind, core_duration RetryAfter);
  void refuseBeforeAdmission(const serving_request &Request, refusal_kind Kind,
                             core_duration RetryAfter);
  void failRequest(active_request &State, refusal_kind Kind,
                   core_duration RetryAfter);
  void finish(request_id Request);
  void logOutcome(const active_request &State, std::string_view Outcome,
                  unsigned Status);
  void logPromise(const active_request &State, std::string_view Outcome);
  void onDeadline(request_id Request);
  void addTimer(core_time Time, timer_kind Kind, std::uint64_t Id);
  void onTimer(const timer &Timer);

  // Planned stop: serving_drain.cc.
  void limitToDrain(active_request &State);
  bool cutByDrain(const active_request &State) const;
  bool arrivedTooLate(const active_request &State) const;
  bool endsBeforeDrain(const active_request &State,
                       core_duration FirstByte) const;

  // The first configuration: serving_first_config.cc.
  bool isAlone() const;
  void onFirstConfig();
  void askForConfirmation();
  void onPeersConfig(const entry_host_id &Peer, config_version Version);
  void confirmConfig();

  // Stages: serving_stages.cc.
  void startReadyStages(active_request &State);
  bool stageReady(const active_request &State, std::size_t Stage) const;
  bool isFinalStage(const active_request &State, std::size_t Stage) const;
  bool stagesDone(const active_request &State) const;
  void requestStage(active_request &State, std::size_t Stage);
  void assignJob(piece_job_id Id, active_request &State);
  void submitJob(piece_job_id Id, active_request &State);
  void moveJob(piece_job_id Id, active_request &State, std::string_view Why);
  // Zones of queues: serving_queue_zones.cc.
  void chooseQueueZone(active_request &State, std::size_t Stage);
  std::optional<queue_report> zoneReport(const active_request &State,
                                         std::size_t Stage, const zone_id &Zone,
                                         std::size_t ServerCount) const;
  void noteSent(job_state &Job, const active_request &State);
  static std::string describeQueues(const active_request &State);
  static bool holdsResults(const active_request &State, std::size_t Stage);
  std::optional<piece_source> stageSource(const active_request &State,
                                          std::size_t Stage) const;
  std::optional<piece_inputs> finalInputs(const active_request &State) const;
  zone_id inputZone(const active_request &State) const;
  core_duration callTime(const active_request &State, std::size_t Stage) const;
  core_duration stageTime(const active_request &State, std::size_t Stage) const;
  core_duration remainingTimeAfter(const active_request &State,
                                   std::size_t Stage) const;
  core_duration firstByteTime(const active_request &State) const;
  core_duration streamTime(const active_request &State) const;
  core_duration longestStreamTime(const active_request &State) const;
  entry_host_id queueOwner(const pool_id &Pool, const zone_id &Zone) const;
  void transferQueues();
  void onJobAccepted(piece_job_id Job, const queue_wait &Wait);
  queue_wait estimatedWait(const pool_id &Pool, const zone_id &Zone) const;
  queue_wait estimatedWait(const active_request &State,
                           std::size_t Stage) const;
  void sendDemandForecast(const active_request &State);
  by_urgency<std::uint32_t> plannedPieces(const pool_id &Pool) const;
  way_query wayOf(const active_request &State) const;
  bool shedIfLate(active_request &State);
  void onAcceptTimeout(piece_job_id Job);
  core_duration acceptTimeout(const entry_host_id &Owner) const;
  void observeAcceptance(const entry_host_id &Owner, core_duration Time);
  void onJobCheck(piece_job_id Job);
  void suspect(const entry_host_id &Host, std::string_view Reason);
  void reassignJobs(const entry_host_id &Lost);
  void handlePiecesCompleted(piece_job_id Job, const caller_request_id &Request,
                             const entry_host_id &From,
                             std::vector<completed_piece> Pieces);
  bool isAssignedTo(const entry_host_id &Host, piece_job_id Job) const;
  void handleInputsFetched(piece_job_id Job, const entry_host_id &From);
  void handleJobFailure(piece_job_id Job, const entry_host_id &From,
                        piece_failure Failure);

  // Results: serving_results.cc.
  void releaseStage(stage_state &Stage);
  void releaseUsed(active_request &State);
  void releaseAll(active_request &State);
  void cancelJobs(active_request &State);
  void cancelJob(const stage_state &Stage);
  void cancelJobAt(const entry_host_id &Host, piece_job_id Job);
  void resetStage(active_request &State, std::size_t Stage);
  void clearStage(active_request &State, std::size_t Stage);
  std::vector<std::uint32_t> lostStages(const active_request &State,
                                        std::size_t Stage,
                                        const piece_source &Source) const;
  bool renewJob(piece_job_id Job, active_request &State);
  bool recomputeResults(active_request &State,
                        const std::vector<std::uint32_t> &Lost);
  bool canRestart(const active_request &State) const;
  void awaitInputs(active_request &State);
  void logReset(const active_request &State,
                const std::vector<std::uint32_t> &Lost);
  std::vector<std::uint32_t> finalStages(const active_request &State) const;
  bool hasSmallResults(const active_request &State, std::size_t Stage) const;

  // Limits that servers name: serving_limits.cc.
  void tellLimit(const backend_entry &Server, limit_change Change);
  void logLimit(const backend_id &Server, limit_change Change,
                std::string_view Source);
  std::vector<batching_host> limitCounters(const backend_id &Server) const;
  backend_state *unusedLimitedServer(const active_request &State);
  void on(const host_run &Sender, const server_limit_list &Body);
  void applyLimit(const server_limit_news &News);
  void failUnserved(active_request &State, refusal_kind Kind,
                    core_duration RetryAfter);
  bool refusePaused(active_request &State);
  bool markLeaving(const backend_id &Server, incarnation Run,
                   std::string_view Source);
  void on(const host_run &Sender, const server_leaving &Body);

  // Permits of the hosts that count: serving_permits.cc.
  struct permit_ask {
    backend_id Server;
    entry_host_id Counter;
  };
  void onLimitSpent(active_request &State, const backend_id &Server);
  bool needsPermit(const active_request &State);
  bool waitForPermit(active_request &State);
  std::vector<permit_ask> permitAsks(const active_request &State);
  std::vector<entry_host_id> openCounters(const backend_id &Server) const;
  void requestPermit(active_request &State);
  void refuseLimited(active_request &State);
  void onPermitReply(active_request &State, bool Granted,
                     core_duration RetryIn);
  void onPermitTimeout(request_id Request);
  void onQueuePermit(const entry_host_id &Counter,
                     const send_permit_reply &Reply);
  void askForQueue(const backend_id &Server);
  void continueRequest(active_request &State);
  void on(const host_run &Sender, const send_permit_request &Body);
  void on(const host_run &Sender, const send_permit_reply &Body);

  // Zones that the operator empties: serving_zones.cc.
  void logZone(const zone_order &Order, std::string_view Source);
  void logForgottenZones();
  void announceZones(const std::vector<zone_order> &Read);
  bool poolEmptied(const pool_id &Pool);
  bool refuseEmptied(active_request &State);
  void refuseForEmptiedZones(active_request &State);
  zone_id keptZone(const zone_id &Zone) const;
  void on(const host_run &Sender, const zone_orders &Body);
  // Servers that are cold: serving_warm_up.cc.
  void applyEntry(const backend_entry &Entry);
  void processWarm();
  void logCold(const backend_entry &Server, std::string_view Source);
  void preferByWarmth(const active_request &State,
                      std::vector<backend_state *> &Admitted) const;
  void on(const host_run &Sender, const cold_server_list &Body);

  // Parts that crash servers: serving_quarantine.cc.
  void askAtStart(const batching_host &Host);
  void reportCrash(const active_request &State);
  void onPartsServed(const active_request &State);
  bool refuseQuarantined(active_request &State);
  std::optional<prompt_part_id> blockingPart(const active_request &State) const;
  bool tryBeginTrial(active_request &State);
  void endQuarantined(prompt_part_id Part);
  void processCrashes();
  void applyVerdicts(const crash_attribution::verdicts &Verdicts);
  void sendRulings(const std::vector<part_ruling> &Rulings);
  void logRuling(const part_ruling &Ruling, std::string_view Source);
  void on(const host_run &Sender, const crash_report &Body);
  void on(const host_run &Sender, const part_rulings &Body);

  // Long prompts beside short ones: serving_prompts.cc.
  const prompt_bound *promptBound(const active_request &State) const;
  std::uint64_t uncachedTokens(const active_request &State,
                               const backend_state &Server) const;
  core_duration readingTime(const pool_id &Pool, std::uint64_t Tokens,
                            const backend_state *Server) const;
  bool isLongPrompt(const active_request &State, std::uint64_t Tokens) const;
  std::map<backend_id, double> promptsBeingRead(const prompt_bound &Bound);
  bool awaitPromptRoom(active_request &State);
  std::vector<prompt_candidate> promptCandidates(const active_request &State);
  core_duration longestHold(const active_request &State,
                            const prompt_bound &Bound,
                            core_duration Reading) const;
  entry_host_id promptOwner(const pool_id &Pool, const zone_id &Zone) const;
  prompt_grant bookPrompt(const host_run &Asker,
                          const prompt_room_request &Asked);
  bool holdPrompt(active_request &State, const prompt_grant &Grant);
  void onPromptTimer(request_id Request);
  prompt_key promptKey(const active_request &State) const;
  void onPromptSent(active_request &State, const backend_state &Server);
  void onPromptRead(active_request &State);
  void endPrompt(active_request &State);
  void endBooking(active_request &State);
  void on(const host_run &Sender, const prompt_room_request &Body);
  void on(const host_run &Sender, const prompt_room_reply &Body);
  void on(const host_run &Sender, const prompt_read &Body);

  // Choice of servers: serving_choice.cc.
  call_subject subjectOf(const active_request &State);
  std::vector<backend_state *> openServers(const active_request &State);
  bool hasUntriedServer(const active_request &State);
  std::vector<backend_state *> admittedServers(const active_request &State);
  placement_query placementOf(const active_request &State) const;
  std::vector<backend_state *> rankedEngines(const active_request &State,
                                             const engine_rules &Rules);
  backend_state *chooseServer(const active_request &State);
  core_duration expectedReplyTime(const active_request &State,
                                  const backend_state &Server) const;
  core_duration attemptTimeout(const active_request &State,
                               const backend_state &Server) const;
  void observeFirstByte(const active_request &State);
  void observeStream(const active_request &State);

  // Calls.
  void sendCall(active_request &State);
  void onAttemptTimeout(call_id Call);
  active_request *callRequest(call_id Call);
  void endCall(call_id Call);
  std::optional<std::uint32_t> beginStream(const active_request &State,
                                           call_id Call);
  void observePause(const active_request &State);
  void onFirstEvent(call_id Call);
  void observeEngine(const active_request &State);
  void applyEngineModel();
  void on(const host_run &Sender, const engine_times &Body);
  bool reserveRetry(const active_request &State);
  void handleNotRun(active_request &State, const backend_reply_head &Head);
  void handleUnproven(active_request &State, const backend_reply_head &Head);
  void handleBrokenCall(active_request &State, bool Timed);
  void addPartFields(const active_request &State,
                     std::vector<event_field> &Fields) const;
  void resumeStream(active_request &State);

  // Peers.
  void sendToHost(const entry_host_id &Host, peer_body Body);
  host_heartbeat makeHeartbeat(bool WantsReply) const;
  void sendRulingsAndLimits(const batching_host &Host);
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
  /// Ignores all other messages, which belong to the request pipeline.
  template <typename Body> void on(const host_run &, const Body &) {}
  void on(const host_run &Sender, const store_poll &Body);
  void on(const host_run &Sender, const store_news &Body);
  void sendSeedHeartbeats();
  void processStoreGossip();
  // Following: serving_following.cc.
  void processFollowing();
  void checkStall();
  void setCurrent(store_kind Kind, bool Current);
  void setAllOutdated();
  void resyncAll();
  void pushNews();
  bool readsConfigFromStore() const;
  void fetchConfig(const entry_host_id &From, config_version Version);
  bool storeCurrent() const;
  store_news newsSince(object_version Since) const;
  void applyNews(const store_news &News);
  void log(event_number Number, event_severity Severity,
           std::string_view Message, std::vector<event_field> Fields);

  /// Asks for a call of a queue to a limited server, one after the other.
  struct queue_ask {
    std::optional<entry_host_id> Counter;
    core_time AskedAt;
    std::set<entry_host_id> Refused;
    std::optional<core_time> NextAt;
  };
  std::map<backend_id, queue_ask> QueueAsks;
  /// Hosts that count and did not answer, until they are asked again.
  std::map<entry_host_id, core_time> SilentCounters;
  core_time NextForgottenLog;
  part_quarantine Quarantine;
  served_parts ServedParts;
  /// Hosts that this run has asked for what it missed.
  std::size_t AskedAtStart = 0;
  /// Reports of all hosts, if this host is one of those that judge them.
  crash_attribution Crashes;
  request_map Requests;
  std::map<piece_job_id, job_state> PendingJobs;
  std::map<call_id, call_state> Calls;
  std::multimap<core_time, timer> Timers;
  std::uint64_t LastCall = 0;
  /// Jobs of two runs of a host have different numbers: owners' reports name a
  /// job, but no run.
  std::uint64_t LastJob = Settings.Self.Run.Value * JobsPerMillisecond;
  /// Hosts that know this host's address.
  std::set<entry_host_id> HeartbeatSentTo;
  core_time NextSeedHeartbeat;
  std::uint32_t SeedHeartbeats = 0;
  struct reported_wait {
    queue_wait Wait;
    core_time At;
    /// Pieces sent to the queue by this host that it includes.
    std::uint64_t Sent = 0;
  };
  /// Pieces that this host has sent to each queue.
  std::map<std::pair<pool_id, zone_id>, std::uint64_t> SentPieces;
  /// Expected wait in each queue, as last reported by its owner.
  std::map<std::pair<pool_id, zone_id>, reported_wait> Waits;
  /// Exponentially smoothed time to the first byte of a pool's streams, in
  /// microseconds.
  std::map<pool_id, double> FirstByteMicros;
  /// Hosts that follow this one, and what they said to know.
  struct follower {
    core_time PolledAt;
    config_version Config;
    object_version Backends;
  };
  std::map<entry_host_id, follower> Followers;
  /// Servers removed since all changes up to a revision were last known.
  std::vector<backend_id> Removals;
  /// Time at which changes are pushed to them; absent without changes.
  std::optional<core_time> PushAt;
  store_source Source = store_source::Watch;
  /// The last call of this kind was answered.
  bool ConfigCurrent = false;
  bool BackendsCurrent = false;
  bool ZonesCurrent = false;
  /// Orders that this host has read and told to all others.
  std::map<zone_id, zone_order> ToldZones;
  core_time LastWakeup;
  /// Exponentially smoothed time in which owners accept jobs, in microseconds.
  std::map<entry_host_id, double> AcceptMicros;
  std::map<route_id, stream_times> StreamTimes;
  urgency_aging Aging;
  engine_model Engines;
  /// Of the pools and zones that this host keeps the book of.
  prompt_room PromptBook;
  /// Of this host's own calls.
  prompt_room OwnPrompts;
  reading_speed ReadingSpeed;
  read_parts ReadParts;
  /// When a prompt that is not long was sent to a pool last.
  std::map<pool_id, core_time> ShortPromptAt;
  /// Hosts that left a question unanswered are not asked until then.
  std::map<entry_host_id, core_time> SilentOwners;
};

} // namespace jasminecroft::detail
