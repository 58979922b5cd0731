// The serving path of one entry host without I/O: routing, workspace keys,
// stages, calls to backend servers, and replies to callers.
#pragma once

#include "jasminecroft/core/event_log.h"
#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/serving/backend_directory.h"
#include "jasminecroft/core/serving/call_admission.h"
#include "jasminecroft/core/serving/call_ledger.h"
#include "jasminecroft/core/serving/pieces.h"
#include "jasminecroft/core/serving/placement.h"
#include "jasminecroft/core/serving/retry_budget.h"
#include "jasminecroft/core/serving/route_config.h"
#include "jasminecroft/core/serving/run_evidence.h"
#include "jasminecroft/core/serving/server_limits.h"
#include "jasminecroft/core/serving/store_following.h"
#include "jasminecroft/core/serving/store_gossip.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminecroft {

namespace detail {
class serving_impl;
} // namespace detail

using call_id = strong_number<struct call_tag>;

struct message_header {
  std::string Name;
  std::string Value;
};

/// A caller's request as forwarded to a backend server, without hop-by-hop
/// headers and headers that the system sets itself.
struct caller_message {
  std::string Method;
  std::string Target;
  std::string Hostname;
  std::vector<message_header> Headers;
  std::string Body;
};

/// A caller's request with the fields that scheduling and routing use.
struct serving_request {
  request_id Number;
  caller_request_id CallerId;
  std::shared_ptr<const caller_message> Message;
  workspace_key Key;
  /// Timeout set by the caller; if absent, the route's timeout applies.
  std::optional<core_duration> MaxWait;
  /// Number of pieces per stage of the route.
  std::vector<std::uint32_t> Pieces;
  /// Input of the pieces in stages that depend on no other stage.
  std::string PieceKey;
  std::uint32_t PromptTokens = 0;
  /// The most tokens that the caller wants; 0: not stated.
  std::uint32_t OutputTokens = 0;
  /// Parts of the prompt in order; the last one is not shared.
  std::vector<prompt_block> Prefix;
  /// Last stream event that the caller has received; absent for a new stream.
  std::optional<std::uint64_t> LastEvent;
};

/// Reason for which this host refuses a request or reports its failure.
enum class refusal_kind {
  NoRoute,
  UnknownKey,
  /// This host has no configuration yet.
  NotReady,
  /// The name of the caller's workspace cannot be told to a backend server.
  UnusableWorkspace,
  /// No backend server can complete it in time.
  Overloaded,
  /// The pool has no usable backend server.
  NoBackend,
  /// All servers of its pool name limits, and others use them up.
  Limited,
  /// No server of its pool wants anything from this host for now.
  Paused,
  /// This host stops before it could be completed; another host may take it.
  ShuttingDown,
  /// A part of its prompt crashes the backend servers that begin a reply.
  Quarantined,
  /// Its deadline expired before it was sent to a backend server that runs it.
  TimedOutNotRun,
  /// Its deadline expired and it may have run.
  TimedOut,
  /// It was sent, may have run, and has no valid reply.
  Failed,
};

/// Returns whether the refusal guarantees that the request has not run.
bool guaranteesNotRun(refusal_kind Kind);
/// Status of an answer that this host gives by itself. The statuses that
/// promise "not run" stand for refusals that promise it, and for no others.
unsigned statusOf(refusal_kind Kind);

struct refusal {
  refusal_kind Kind = refusal_kind::NotReady;
  /// Suggested delay before a retry; zero: unspecified.
  core_duration RetryAfter{0};
};

/// Head of a backend server's reply.
struct backend_reply_head {
  unsigned Status = 0;
  /// Headers to forward to the caller.
  std::vector<message_header> Headers;
  answer_evidence Evidence;
  std::optional<backend_load> Load;

  answer_verdict verdict() const { return judge(Evidence); }
};

/// How long a server wants nothing from this host.
struct stated_pause {
  /// Absent if that cannot be read.
  std::optional<core_duration> Time;
  bool operator==(const stated_pause &) const = default;
};

/// A request as sent to one backend server.
struct forward_call {
  backend_entry Server;
  std::shared_ptr<const caller_message> Message;
  caller_request_id CallerId;
  workspace_id Workspace;
  /// Time left until the request's deadline.
  core_duration TimeLeft{0};
  std::vector<result_handle> Inputs;
  /// Resumes a stream after this event; absent: from its beginning.
  std::optional<std::uint64_t> ResumeAfter;
  /// False if the server has had this request before: on a connection that was
  /// used then, a late copy of its reply could pass for the reply to this call.
  bool MayReuseConnection = true;
  bool Streamed = false;
  /// Rank at a model engine, 0 to 9, 0 being the first; absent: not ranked.
  std::optional<std::uint32_t> Urgency;
  /// Its caller's request.
  request_id Request;
};

enum class call_failure {
  /// No byte was sent.
  NotConnected,
  /// No byte was sent: a text of the call cannot stand in its head.
  NotWritable,
  /// The connection broke, or the reply was truncated, malformed or not a reply
  /// to this call.
  Broken,
  TimedOut,
};

/// Metrics of a finished request.
struct finished_request {
  route_id Route;
  std::string_view Outcome;
  /// Time to the first byte; absent if no part of a reply was relayed.
  std::optional<core_duration> FirstByte;
  core_duration TotalTime{0};
  std::uint32_t Priority = 0;
  core_duration Goal{0};
};

/// Callbacks by which the serving core acts. Called while it handles an event.
class serving_actions {
public:
  virtual ~serving_actions() = default;

  virtual void refuse(request_id Request, const refusal &Refusal) = 0;
  virtual void relayReply(request_id Request, const backend_reply_head &Head,
                          std::string Body) = 0;
  virtual void relayStreamHead(request_id Request,
                               const backend_reply_head &Head) = 0;
  /// Text consists of complete events of a stream.
  virtual void relayStreamEvents(request_id Request, std::string Text) = 0;
  virtual void relayStreamEnd(request_id Request) = 0;
  /// Closes the caller's connection in a way that shows that the response is
  /// truncated.
  virtual void abortResponse(request_id Request) = 0;

  virtual void forward(call_id Call, call_permit Permit,
                       const forward_call &Forward) = 0;
  virtual void runPieces(call_id Call, call_permit Permit,
                         std::vector<batch_item> Items,
                         core_duration Timeout) = 0;
  virtual void freeResults(call_permit Permit,
                           std::vector<result_handle> Results) = 0;
  /// Queries a server for its load of pieces; completed by onServerLoad.
  virtual void readServer(call_permit Permit) = 0;
  /// Closes the call's connection; no further events of the call follow.
  virtual void cancelCall(call_id Call) = 0;

  virtual void sendToPeer(const batching_host &Host, peer_body Body) = 0;
  /// Replaces the connection to a peer, which may be dead without a reported
  /// error.
  virtual void reconnectPeer(const entry_host_id &Host) = 0;
  /// Reports a configuration that a peer sent, not yet decoded.
  virtual void onOperatorConfig(const operator_config_push &Config) = 0;
  /// Reads the store again: peers have seen changes that it has not reported to
  /// this host.
  virtual void resyncStore(store_kind Kind) = 0;
  /// Sets whether this host watches the store closely: one of each zone does.
  virtual void setStoreWatcher(bool Closely) = 0;
  /// Sets whether this host watches the store itself or reads it only when
  /// resyncStore() is called.
  virtual void setStoreSource(store_source Source) = 0;
  /// A watcher has told all changes of backend servers up to Revision.
  virtual void onBackendsTold(object_version Revision) = 0;
  virtual void onRequestFinished(const finished_request &Answered) = 0;
  virtual void log(const event_record &Record) = 0;
};

/// Settings of a serving core, fixed at start but for the retry limits.
struct serving_settings {
  host_run Self;
  zone_id Zone;
  endpoint PeerAddress;
  /// Thousandths of a core.
  std::uint32_t Capacity = 1000;
  retry_limits Retries;
  /// Addresses of peers known at start; possibly out of date.
  std::vector<endpoint> Seeds;
  /// Batches only the pieces of this host's own requests; for comparisons.
  bool BatchAlone = false;
  /// The operator may empty zones: their orders are read from the store.
  bool EmptiedZones = false;
};

/// Times of a planned stop of a host.
struct drain_plan {
  /// New connections may come until then.
  core_time LastConnection;
  /// Each request gets its final reply by End at the latest.
  core_time End;
};

/// Counters since start; InProgress is a gauge.
struct serving_counters {
  std::uint64_t Requests = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Refused = 0;
  /// Answers that promised 'not run' after calls were made for the request.
  std::uint64_t PromisesAfterCalls = 0;
  std::uint64_t Failed = 0;
  std::uint64_t BrokenOff = 0;
  std::uint64_t CallerLeft = 0;
  std::uint64_t Repeats = 0;
  /// Requests that a quarantined part of their prompt ended.
  std::uint64_t Quarantined = 0;
  std::uint64_t Batches = 0;
  std::uint64_t BatchedPieces = 0;
  std::uint64_t InProgress = 0;
  /// Requests that were refused because of servers' limits.
  std::uint64_t RefusedByLimit = 0;
  /// Servers that name a limit; a gauge.
  std::uint64_t LimitedServers = 0;
  /// Requests that were refused because no server wanted any.
  std::uint64_t RefusedByPause = 0;
  /// Wishes for a pause that could not be read.
  std::uint64_t OddPauses = 0;
  /// Parts of prompts in quarantine; a gauge.
  std::uint64_t QuarantinedParts = 0;
  /// Zones that the operator has emptied; a gauge.
  std::uint64_t EmptiedZones = 0;
  /// Requests that were refused because a pool has servers in such zones only.
  std::uint64_t RefusedByEmptiedZones = 0;
  /// Pauses within calls' streams above the aim, by urgency: preemptions, and
  /// engines that work on too much.
  by_urgency<std::uint64_t> LatePauses{};
  /// Calls that were sent with a higher urgency than their priority.
  std::uint64_t RaisedUrgencies = 0;
  /// Engines slower than their pool; a gauge.
  std::uint64_t SlowEngines = 0;
  /// Long prompts for which room at an engine was asked, those that were held
  /// for it, and those for which no answer came.
  std::uint64_t PromptsAsked = 0;
  std::uint64_t PromptsHeld = 0;
  std::uint64_t PromptsUnanswered = 0;
  /// Servers that get a bounded number of calls after their start; a gauge.
  std::uint64_t ColdServers = 0;
};

/// Routes, schedules and retries the requests of one entry host. Deterministic:
/// the same events at the same times cause the same actions. Not thread-safe.
class serving_core {
public:
  serving_core(const serving_settings &Settings, serving_actions &Actions);
  ~serving_core();
  serving_core(const serving_core &) = delete;
  serving_core &operator=(const serving_core &) = delete;

  void start(core_time Now);
  void onRequest(serving_request Request, core_time Now);
  /// The caller closed its connection.
  void onCallerDisconnected(request_id Request, core_time Now);

  void onCompleteReply(call_id Call, const backend_reply_head &Head,
                       std::string Body, core_time Now);
  void onStreamHead(call_id Call, const backend_reply_head &Head,
                    core_time Now);
  /// Text consists of complete events; FirstEvent and LastEvent are the ids of
  /// the first and the last one.
  void onStreamEvents(call_id Call, std::string Text, std::uint64_t FirstEvent,
                      std::uint64_t LastEvent, core_time Now);
  void onStreamEnd(call_id Call, core_time Now);
  /// What the head of a reply says of its server's limit. Precedes the event of
  /// the reply itself.
  void onStatedLimit(call_id Call, const stated_limit &Stated, core_time Now);
  /// A reply says that its server, as it was called, leaves. Precedes the event
  /// of the reply itself.
  void onServerLeaving(const backend_entry &Server, core_time Now);
  /// A server turned a call away and wants nothing from this host for a while.
  /// Precedes the event of the reply itself.
  void onServerPause(const backend_entry &Server, const stated_pause &Stated,
                     core_time Now);
  /// A reply says that its server stays cold for a time. Precedes the event of
  /// the reply itself.
  void onServerCold(const backend_entry &Server, core_duration Left,
                    core_time Now);
  void onCallFailed(call_id Call, call_failure Failure, core_time Now);
  void onPiecesAnswered(call_id Call,
                        const std::vector<batch_item_result> &Results,
                        const std::optional<backend_load> &Load, core_time Now);
  void onPiecesRefused(call_id Call, bool WrongServer, core_time Now);

  void onServerLoad(const backend_id &Server,
                    const std::optional<pieces_load> &Load, core_time Now);

  /// Applies a configuration if it is newer than the one in force, and returns
  /// whether it was applied. Text is its encoded form, kept for peers.
  bool onConfig(std::shared_ptr<const route_config> Config, std::string Text,
                core_time Now);
  void onBackend(const backend_entry &Entry, core_time Now);
  void onBackendRemoved(const backend_id &Id, object_version Revision,
                        core_time Now);
  void onBackendList(const std::vector<backend_entry> &Entries,
                     object_version Revision, core_time Now);
  /// All changes of backend servers in the store up to Revision have been
  /// reported.
  void onBackendsRead(object_version Revision, core_time Now);
  /// An order of the operator was read from the store.
  void onZoneOrder(const zone_order &Order, core_time Now);
  /// All zones that are emptied as of a revision of the store.
  void onZoneList(const std::vector<zone_order> &Emptied,
                  object_version Revision, core_time Now);
  /// All orders up to Revision have been reported.
  void onZonesRead(object_version Revision, core_time Now);
  /// A call of the store for objects of this kind was answered, and what it
  /// told has been reported.
  void onStoreRead(store_kind Kind, core_time Now);
  /// Calls of the store for objects of this kind fail.
  void onStoreLost(store_kind Kind, core_time Now);
  /// An answer of the store was the first of a later era: the store came back
  /// from a copy. What is known counts as out of date until it is read again.
  void onStoreEra(store_era Era, core_time Now);
  void onHost(const batching_host &Host, core_time Now);
  void onHostRemoved(const entry_host_id &Host, core_time Now);
  /// All hosts on the platform's list have been reported.
  void onHostsRead(core_time Now);
  void onPeer(const host_run &Sender, const peer_body &Body, core_time Now);

  /// Messages to a peer were dropped. The peer may still be alive.
  void onPeerUnreachable(const entry_host_id &Host, core_time Now);

  void onWakeup(core_time Now);
  std::optional<core_time> nextWakeup(core_time Now) const;

  /// Starts to drain this host: it stops owning queues and notifies its peers.
  /// A request that arrives after the last new connection is refused unless its
  /// own deadline is before the end: its caller can send it to another host.
  void beginDraining(const drain_plan &Plan, core_time Now);

  /// Sets the ratio and the slack; the window stays.
  void setRetryLimits(const retry_limits &Limits);

  const host_run &self() const;
  batching_host selfAsHost() const;
  /// Returns whether this host accepts requests: it has a configuration and
  /// backend servers, and is not draining.
  bool ready() const;
  /// Returns whether the queues that this host owns have no unfinished jobs.
  bool queuesIdle() const;
  config_version configVersion() const;
  /// Returns the configuration in force; null if there is none.
  std::shared_ptr<const route_config> config() const;
  const backend_directory &backends() const;
  std::vector<batching_host> peers() const;
  serving_counters counters() const;

private:
  std::unique_ptr<detail::serving_impl> Impl;
};

} // namespace jasminecroft
