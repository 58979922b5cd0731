// Messages between entry hosts, encoded by the wire package. The constants
// below limit the length of the lists.
#pragma once

#include "jasminecroft/core/serving/crash_attribution.h"
#include "jasminecroft/core/serving/engine_model.h"
#include "jasminecroft/core/serving/pieces.h"
#include "jasminecroft/core/serving/server_limits.h"
#include "jasminecroft/core/stored_objects.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminecroft {

inline constexpr std::size_t MaxMemberUpdatesPerMessage = 8;
inline constexpr std::size_t MaxLoadDeltasPerMessage = 32;
inline constexpr std::size_t MaxLeavingFactsPerMessage = 8;
inline constexpr std::size_t MaxDemandsPerMessage = 8;
inline constexpr std::size_t MaxSummariesPerMessage = 16;
inline constexpr std::size_t MaxZoneDemandsPerMessage = 8;
inline constexpr std::size_t MaxZoneReportsPerMessage = 16;
inline constexpr std::size_t MaxChangesPerMessage = 32;
inline constexpr std::size_t MaxHostsInList = 20'000;
inline constexpr std::size_t MaxPartsPerReport = 32;
inline constexpr std::size_t MaxRulingsPerMessage = 1'024;
inline constexpr std::size_t MaxLimitsPerMessage = 4'096;
inline constexpr std::size_t MaxZoneOrdersPerMessage = 256;
inline constexpr std::size_t MaxColdServersPerMessage = 4'096;
inline constexpr std::size_t MaxPromptCandidates = 4;

enum class member_state { Alive, Suspect, Dead, Left };
std::string_view toText(member_state State);

/// State of an entry host as another one, or the host itself, sees it.
struct member_update {
  entry_host_id Host;
  incarnation Run;
  /// Incremented by the host itself to refute a suspicion within one run.
  std::uint32_t Refutation = 0;
  member_state State = member_state::Alive;
  zone_id Zone;
  region_id Region;
  endpoint Address;
  config_version Config;

  bool operator==(const member_update &) const = default;
};

/// Load of a backend server as reported by the host that polled it.
struct load_delta {
  backend_id Backend;
  incarnation Run;
  /// One more than the number of the report that the polling host knew before.
  /// The higher number is newer as long as the reports have not expired.
  std::uint64_t Sequence = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 0;
  /// Age of the report when the message was sent.
  core_duration Age{0};

  bool operator==(const load_delta &) const = default;
};

/// A run of a backend server that is leaving. Never revoked for that run.
struct leaving_fact {
  backend_id Backend;
  incarnation Run;
  std::strong_ordering operator<=>(const leaving_fact &) const = default;
};

/// Demand of a workspace at one entry host.
struct workspace_demand {
  workspace_id Workspace;
  std::uint32_t InFlight = 0;
  bool operator==(const workspace_demand &) const = default;
};

/// Capacity of a pool in one zone.
struct pool_summary {
  zone_id Zone;
  pool_id Pool;
  std::uint32_t Slots = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Backends = 0;
  std::uint64_t Sequence = 0;
  bool operator==(const pool_summary &) const = default;
};

/// Demand of a workspace in one zone, summed by a delegate of that zone.
struct zone_demand {
  zone_id Zone;
  workspace_id Workspace;
  std::uint32_t InFlight = 0;
  std::uint64_t Sequence = 0;
  bool operator==(const zone_demand &) const = default;
};

/// State of a zone's entry hosts, reported by a delegate of that zone.
struct zone_report {
  zone_id Zone;
  std::uint64_t Sequence = 0;
  std::uint32_t LiveHosts = 0;
  /// Lowest configuration version in use at a live host of the zone, and that
  /// host.
  config_version LowestConfig;
  entry_host_id LaggingHost;
  bool operator==(const zone_report &) const = default;
};

/// State carried by every probe, acknowledgement and rumor.
struct gossip_payload {
  std::vector<member_update> Members;
  std::vector<load_delta> Loads;
  std::vector<leaving_fact> Leaving;
  /// Demand at the sender; complete if DemandsComplete is true.
  std::vector<workspace_demand> Demands;
  std::vector<pool_summary> Summaries;
  std::vector<zone_demand> ZoneDemands;
  std::vector<zone_report> Zones;
  bool DemandsComplete = false;
  /// Versions known to the sender; 0 means none.
  config_version Config;
  object_version HostList;
  bool operator==(const gossip_payload &) const = default;
};

struct probe {
  std::uint64_t Sequence = 0;
  gossip_payload Gossip;
  bool operator==(const probe &) const = default;
};
struct probe_ack {
  std::uint64_t Sequence = 0;
  gossip_payload Gossip;
  bool operator==(const probe_ack &) const = default;
};
/// Requests that the receiver probe Target on behalf of the sender.
struct indirect_probe {
  std::uint64_t Sequence = 0;
  entry_host_id Target;
  bool operator==(const indirect_probe &) const = default;
};
/// Reports that the target of an indirect probe has answered.
struct indirect_ack {
  std::uint64_t Sequence = 0;
  entry_host_id Target;
  bool operator==(const indirect_ack &) const = default;
};

/// Requests a configuration newer than Have.
struct config_pull {
  config_version Have;
  bool operator==(const config_pull &) const = default;
};
struct config_push {
  fleet_config Config;
  bool operator==(const config_push &) const = default;
};
/// Consecutive change records. The base of the first one is a version that the
/// receiver is assumed to have.
struct config_changes {
  std::vector<change_record> Changes;
  /// configDigest() of the configuration after the last record.
  std::uint64_t Digest = 0;
  bool operator==(const config_changes &) const = default;
};
/// Requests the host list last received from the platform, if it is newer than
/// Have.
struct host_list_pull {
  object_version Have;
  bool operator==(const host_list_pull &) const = default;
};
/// Transfers the host list last received from the platform.
struct host_list_push {
  host_list Hosts;
  object_version Version;
  bool operator==(const host_list_push &) const = default;
};

/// Queries the holder of a claim for the state of an attempt.
struct claim_query {
  std::uint64_t Sequence = 0;
  object_key Claim;
  attempt_id Attempt;
  bool operator==(const claim_query &) const = default;
};
enum class claim_answer {
  InProgress,
  Done,
  /// The holder has abandoned the attempt and guarantees never to dispatch it.
  Abandoned,
  /// The holder has dispatched the attempt; its outcome is unknown.
  Unknown,
  /// This run never held the claim.
  NotMine,
};
struct claim_query_reply {
  std::uint64_t Sequence = 0;
  object_key Claim;
  attempt_id Attempt;
  claim_answer Answer = claim_answer::NotMine;
  std::optional<std::string> Output;
  bool operator==(const claim_query_reply &) const = default;
};

/// Carries urgent updates between probes. Not acknowledged.
struct rumor {
  gossip_payload Gossip;
  bool operator==(const rumor &) const = default;
};

/// An entry host that shares batching queues with others.
struct batching_host {
  entry_host_id Host;
  zone_id Zone;
  endpoint Address;
  /// In thousandths of a CPU core. Hosts with more capacity own more queues.
  std::uint32_t Capacity = 0;
  bool operator==(const batching_host &) const = default;
};
/// Heartbeat of a batching host. Requests a heartbeat in return if WantsReply
/// is true.
struct host_heartbeat {
  batching_host Self;
  bool WantsReply = false;
  /// The sender accepts no more jobs.
  bool Leaving = false;
  /// Version of the operator's configuration that the sender uses.
  config_version Config;
  /// Version of the newest backend server entry known to the sender.
  object_version Backends;
  /// Other hosts known to the sender, for receivers that started without a host
  /// list.
  std::vector<batching_host> Others;
  bool operator==(const host_heartbeat &) const = default;
};
/// Requests an operator configuration newer than Have. Lets hosts that cannot
/// reach the platform get it from a peer.
struct operator_config_pull {
  config_version Have;
  bool operator==(const operator_config_pull &) const = default;
};
/// Transfers the operator configuration as read from the platform.
struct operator_config_push {
  config_version Version;
  std::string Text;
  bool operator==(const operator_config_push &) const = default;
};
/// Asks a watcher of the store for the changes that the sender does not have.
/// The watcher also pushes later changes for a while.
struct store_poll {
  config_version Config;
  /// All changes of backend servers up to this revision are known.
  object_version Backends;
  bool operator==(const store_poll &) const = default;
};
/// An entry of a backend server, or its removal.
struct backend_news {
  backend_id Id;
  object_version Revision;
  bool Listed = false;
  /// Absent of a removal.
  pool_id Pool;
  endpoint Address;
  zone_id Zone;
  bool Draining = false;
  incarnation Run;
  /// Time for which it stays cold, counted from the sending of the message.
  core_duration ColdLeft{0};
  bool operator==(const backend_news &) const = default;
};
/// What a watcher has read of the platform's store.
struct store_news {
  /// The sender watches the store itself, and the store answers it. If false,
  /// the other fields do not count.
  bool Current = false;
  config_version Config;
  /// The news lead from revision From to revision To; Complete: they are the
  /// whole list.
  bool Complete = false;
  object_version From;
  object_version To;
  std::vector<backend_news> Backends;
  bool operator==(const store_news &) const = default;
};
/// Rulings on parts of prompts that may crash backend servers.
struct part_rulings {
  std::vector<part_ruling> Rulings;
  bool operator==(const part_rulings &) const = default;
};
/// Limits that backend servers name, or that have ended.
struct server_limit_list {
  std::vector<server_limit_news> Limits;
  bool operator==(const server_limit_list &) const = default;
};
/// Asks the host that counts the requests to a limited server for leave to send
/// one.
struct send_permit_request {
  /// What the sender knows of the server.
  server_limit_news Limit;
  request_id Request;
  bool operator==(const send_permit_request &) const = default;
};
/// A run of a backend server said in a reply that it leaves.
struct server_leaving {
  backend_id Server;
  incarnation Run;
  bool operator==(const server_leaving &) const = default;
};
struct send_permit_reply {
  backend_id Server;
  request_id Request;
  bool Granted = false;
  /// Time after which a refused request may come back.
  core_duration RetryIn{0};
  bool operator==(const send_permit_reply &) const = default;
};
/// The operator's latest orders to empty zones and to take them back.
struct zone_orders {
  std::vector<zone_order> Orders;
  bool operator==(const zone_orders &) const = default;
};
/// A cold run of a backend server.
struct cold_server_news {
  backend_id Server;
  incarnation Run;
  /// Time for which it stays cold, counted from the sending of the message.
  core_duration Left{0};
  bool operator==(const cold_server_news &) const = default;
};
/// Servers that said in a reply that they are cold.
struct cold_server_list {
  std::vector<cold_server_news> Servers;
  bool operator==(const cold_server_list &) const = default;
};
/// Submits a job to the owner of a queue.
struct piece_request {
  piece_job Job;
  bool operator==(const piece_request &) const = default;
};
struct pieces_accepted {
  piece_job_id Job;
  queue_wait Wait;
  bool operator==(const pieces_accepted &) const = default;
};
struct pieces_completed {
  piece_job_id Job;
  /// The request that the pieces belong to. Needed to identify the job because
  /// job numbers start again when a host is restarted.
  caller_request_id Request;
  std::vector<completed_piece> Pieces;
  bool operator==(const pieces_completed &) const = default;
};
/// Number of pieces that the sender's requests will submit to a queue once
/// their earlier stages are complete.
struct demand_forecast {
  pool_id Pool;
  zone_id QueueZone;
  by_urgency<std::uint32_t> Pieces{};
  bool operator==(const demand_forecast &) const = default;
};
/// Reports that all pieces of the job are being processed, so that their inputs
/// can be released.
struct inputs_fetched {
  piece_job_id Job;
  bool operator==(const inputs_fetched &) const = default;
};
struct pieces_failed {
  piece_job_id Job;
  piece_failure Failure = piece_failure::NotMade;
  bool operator==(const pieces_failed &) const = default;
};
struct pieces_cancelled {
  piece_job_id Job;
  bool operator==(const pieces_cancelled &) const = default;
};
/// Reports results that are no longer needed.
struct results_released {
  std::vector<result_handle> Results;
  bool operator==(const results_released &) const = default;
};

/// Times between events of engines' streams: what a host saw since its last
/// message to the watcher that it follows, or what the watcher knows.
struct engine_times {
  std::vector<engine_time> Seen;
  std::vector<engine_time> Known;
  bool operator==(const engine_times &) const = default;
};

/// An engine at which a long prompt could be read.
struct prompt_candidate {
  backend_id Server;
  /// Tokens of the prompt that are not cached there.
  std::uint64_t Tokens = 0;
  bool operator==(const prompt_candidate &) const = default;
};
/// Asks the host that keeps the book of a pool's engines in a zone where a long
/// prompt may be read, and when.
struct prompt_room_request {
  request_id Request;
  /// Number of the sending of the request.
  std::uint32_t Attempt = 0;
  pool_id Pool;
  /// In the sender's order of preference.
  std::vector<prompt_candidate> Candidates;
  /// If there is no room within this time, the sender does not wait.
  core_duration HoldAtMost{0};
  bool operator==(const prompt_room_request &) const = default;
};
struct prompt_room_reply {
  request_id Request;
  std::uint32_t Attempt = 0;
  backend_id Server;
  /// Time for which the sender holds the request.
  core_duration In{0};
  bool operator==(const prompt_room_reply &) const = default;
};
/// A prompt for which room was asked has been read, or its call has ended.
struct prompt_read {
  request_id Request;
  std::uint32_t Attempt = 0;
  bool operator==(const prompt_read &) const = default;
};

using peer_body = std::variant<
    probe, probe_ack, indirect_probe, indirect_ack, config_pull, config_push,
    host_list_pull, host_list_push, claim_query, claim_query_reply, rumor,
    config_changes, host_heartbeat, operator_config_pull, operator_config_push,
    piece_request, pieces_accepted, pieces_completed, pieces_failed,
    pieces_cancelled, results_released, inputs_fetched, demand_forecast,
    store_poll, store_news, crash_report, part_rulings, server_limit_list,
    send_permit_request, send_permit_reply, server_leaving, zone_orders,
    engine_times, cold_server_list, prompt_room_request, prompt_room_reply,
    prompt_read>;

/// A message with its sender. Messages of other fleets are rejected.
struct peer_message {
  fleet_id Fleet;
  host_run Sender;
  peer_body Body;
  bool operator==(const peer_message &) const = default;
};

} // namespace jasminecroft
