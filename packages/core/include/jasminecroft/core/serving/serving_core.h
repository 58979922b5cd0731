// The serving path of one entry host without I/O: routes, keys, stages, calls
// to backend servers, and what each caller gets.
#pragma once

#include "jasminecroft/core/event_log.h"
#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/serving/backend_directory.h"
#include "jasminecroft/core/serving/pieces.h"
#include "jasminecroft/core/serving/placement.h"
#include "jasminecroft/core/serving/retry_budget.h"
#include "jasminecroft/core/serving/route_config.h"
#include "jasminecroft/core/serving/store_news.h"

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

/// A caller's request as it is passed on: headers that concern one connection
/// and headers that the system sets itself are left out.
struct caller_message {
  std::string Method;
  std::string Target;
  std::string Hostname;
  std::vector<message_header> Headers;
  std::string Body;
};

/// A caller's request with what the decisions need of it.
struct serving_request {
  request_id Number;
  caller_request_id CallerId;
  std::shared_ptr<const caller_message> Message;
  workspace_key Key;
  /// Time that the caller will wait; absent: the route's timeout.
  std::optional<core_duration> MaxWait;
  /// Number of pieces of each stage of the route.
  std::vector<std::uint32_t> Pieces;
  std::string PieceKey;
  std::uint32_t PromptTokens = 0;
  std::vector<prompt_part> Prefix;
  /// The caller has the stream's events up to this one.
  std::optional<std::uint64_t> LastEvent;
};

/// Why a request gets an answer of this host's own.
enum class refusal_kind {
  NoRoute,
  UnknownKey,
  /// This host has no configuration yet.
  NotReady,
  /// No backend server can take it in time.
  Overloaded,
  NoBackend,
  /// Its time ran out before it was sent to a backend server that runs it.
  TimedOutNotRun,
  /// Its time ran out and it may have run.
  TimedOut,
  /// It was sent, may have run, and has no answer.
  Failed,
};

/// Whether the refusal promises that the request has not run.
bool guaranteesNotRun(refusal_kind Kind);

struct refusal {
  refusal_kind Kind = refusal_kind::NotReady;
  /// When coming back makes sense; zero: not said.
  core_duration RetryAfter{0};
};

/// Head of a backend server's answer.
struct backend_reply_head {
  unsigned Status = 0;
  /// Headers to pass on.
  std::vector<message_header> Headers;
  /// The server's signature is there and the answer names the request.
  bool Signed = false;
  /// The server says that it did not run the request.
  bool NotRun = false;
  /// The server is another one than expected.
  bool WrongServer = false;
  /// A result that the request needs no longer exists.
  bool InputGone = false;
  std::optional<backend_load> Load;
};

/// A request as one backend server gets it.
struct forward_call {
  backend_entry Server;
  std::shared_ptr<const caller_message> Message;
  caller_request_id CallerId;
  workspace_id Workspace;
  /// Time left for the server.
  core_duration Left{0};
  std::vector<result_handle> Inputs;
  std::optional<std::uint64_t> ResumeAfter;
  /// False if the call must not be lost to a connection that went stale.
  bool MayReuseConnection = true;
  bool Streamed = false;
};

enum class call_failure {
  /// No byte left this host.
  NotConnected,
  /// The connection broke, or the answer was cut, unreadable or foreign.
  Broken,
  TimedOut,
};

/// A request that has had its last word, for metrics.
struct finished_request {
  route_id Route;
  std::string_view Outcome;
  /// Absent if nothing of an answer was passed on.
  std::optional<core_duration> FirstByte;
  core_duration TotalTime{0};
};

/// What the serving core has others do. Called while it handles an event.
class serving_actions {
public:
  virtual ~serving_actions() = default;

  virtual void refuse(request_id Request, const refusal &Refusal) = 0;
  virtual void relayReply(request_id Request, const backend_reply_head &Head,
                          std::string Body) = 0;
  virtual void relayStreamHead(request_id Request,
                               const backend_reply_head &Head) = 0;
  /// Whole events of a stream.
  virtual void relayStreamEvents(request_id Request, std::string Text) = 0;
  virtual void relayStreamEnd(request_id Request) = 0;
  /// Ends the caller's connection so that the answer is seen to be cut.
  virtual void abortResponse(request_id Request) = 0;

  virtual void forward(call_id Call, const forward_call &Forward) = 0;
  virtual void runPieces(call_id Call, const backend_entry &Server,
                         std::vector<batch_item> Items,
                         core_duration Timeout) = 0;
  virtual void freeResults(const backend_entry &Server,
                           std::vector<result_handle> Results) = 0;
  /// Asks a server for its load on pieces; answered by onServerLoad.
  virtual void readServer(const backend_entry &Server) = 0;
  /// Closes the call's connection; nothing more is heard of the call.
  virtual void cancelCall(call_id Call) = 0;

  virtual void sendToPeer(const batching_host &Host, peer_body Body) = 0;
  /// The connection to a peer may be dead without saying so.
  virtual void reconnectPeer(const entry_host_id &Host) = 0;
  /// A configuration that a peer sent, not yet decoded.
  virtual void onOperatorConfig(const operator_config_push &Config) = 0;
  /// Peers know of changes that the store has not told this host.
  virtual void resyncStore(store_kind Kind) = 0;
  /// Whether this host is one of the few that watch the store closely.
  virtual void setStoreWatcher(bool Closely) = 0;
  virtual void onRequestFinished(const finished_request &Answered) = 0;
  virtual void log(const event_record &Record) = 0;
};

/// What a host is told at start.
struct serving_settings {
  host_run Self;
  zone_id Zone;
  endpoint PeerAddress;
  /// Thousandths of a core.
  std::uint32_t Capacity = 1000;
  retry_limits Retries;
  /// Peers' addresses known at start, perhaps out of date.
  std::vector<endpoint> Seeds;
  /// Uses only this host's own pieces for its batches; for comparisons.
  bool BatchAlone = false;
};

struct serving_counters {
  std::uint64_t Requests = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  std::uint64_t BrokenOff = 0;
  std::uint64_t CallerLeft = 0;
  std::uint64_t Repeats = 0;
  std::uint64_t Batches = 0;
  std::uint64_t BatchedPieces = 0;
  std::uint64_t InProgress = 0;
};

/// Decides about every request of one entry host. The same events at the same
/// times give the same actions. Not thread-safe.
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
  /// Whole events; LastEvent is the id of the last one.
  void onStreamEvents(call_id Call, std::string Text, std::uint64_t FirstEvent,
                      std::uint64_t LastEvent, core_time Now);
  void onStreamEnd(call_id Call, core_time Now);
  void onCallFailed(call_id Call, call_failure Failure, core_time Now);
  void onPiecesAnswered(call_id Call,
                        const std::vector<batch_item_result> &Results,
                        const std::optional<backend_load> &Load, core_time Now);
  void onPiecesRefused(call_id Call, bool WrongServer, core_time Now);

  void onServerLoad(const backend_id &Server,
                    const std::optional<pieces_load> &Load, core_time Now);

  /// Takes a configuration if it is newer than the one in force. Text is its
  /// original form, kept for peers.
  bool onConfig(std::shared_ptr<const route_config> Config, std::string Text,
                core_time Now);
  void onBackend(const backend_entry &Entry, core_time Now);
  void onBackendRemoved(const backend_id &Id, object_version Revision,
                        core_time Now);
  void onBackendList(const std::vector<backend_entry> &Entries,
                     object_version Revision, core_time Now);
  /// The store has no changes of backend servers up to Revision beside those
  /// that were told.
  void onBackendsRead(object_version Revision, core_time Now);
  void onHost(const batching_host &Host, core_time Now);
  void onHostRemoved(const entry_host_id &Host, core_time Now);
  void onPeer(const host_run &Sender, const peer_body &Body, core_time Now);

  /// Messages to a peer were dropped; a hint, no proof.
  void onPeerUnreachable(const entry_host_id &Host, core_time Now);

  void onWakeup(core_time Now);
  std::optional<core_time> nextWakeup(core_time Now) const;

  /// From now on this host owns no queue and tells its peers.
  void beginDraining(core_time Now);

  const host_run &self() const;
  batching_host selfAsHost() const;
  bool ready() const;
  /// Whether no piece waits or is being made here.
  bool queuesIdle() const;
  config_version configVersion() const;
  std::shared_ptr<const route_config> config() const;
  const backend_directory &backends() const;
  std::vector<batching_host> peers() const;
  serving_counters counters() const;

private:
  std::unique_ptr<detail::serving_impl> Impl;
};

} // namespace jasminecroft
