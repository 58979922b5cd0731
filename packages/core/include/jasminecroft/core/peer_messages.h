// Messages between entry hosts. The wire package encodes them; every list is
// bounded by the constants below.
#pragma once

#include "jasminecroft/core/serving/pieces.h"
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

enum class member_state { Alive, Suspect, Dead, Left };
std::string_view toText(member_state State);

/// What one host believes about another.
struct member_update {
  entry_host_id Host;
  incarnation Run;
  /// Raised by the host itself to refute a suspicion within one run.
  std::uint32_t Refutation = 0;
  member_state State = member_state::Alive;
  zone_id Zone;
  region_id Region;
  endpoint Address;
  config_version Config;

  bool operator==(const member_update &) const = default;
};

/// Load of a backend server as its reader saw it.
struct load_delta {
  backend_id Backend;
  incarnation Run;
  /// One more than what the reader of the report knew before; the higher one
  /// is newer while the reports are young.
  std::uint64_t Sequence = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 0;
  /// Age of the report when this message left.
  core_duration Age{0};

  bool operator==(const load_delta &) const = default;
};

/// A backend server's run that is leaving; never taken back for that run.
struct leaving_fact {
  backend_id Backend;
  incarnation Run;
  std::strong_ordering operator<=>(const leaving_fact &) const = default;
};

/// A workspace's demand at one entry host.
struct workspace_demand {
  workspace_id Workspace;
  std::uint32_t InFlight = 0;
  bool operator==(const workspace_demand &) const = default;
};

/// A pool's capacity in one zone.
struct pool_summary {
  zone_id Zone;
  pool_id Pool;
  std::uint32_t Slots = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Backends = 0;
  std::uint64_t Sequence = 0;
  bool operator==(const pool_summary &) const = default;
};

/// A workspace's demand in one zone, as a delegate of that zone sums it.
struct zone_demand {
  zone_id Zone;
  workspace_id Workspace;
  std::uint32_t InFlight = 0;
  std::uint64_t Sequence = 0;
  bool operator==(const zone_demand &) const = default;
};

/// What a delegate of a zone says about the zone's entry hosts.
struct zone_report {
  zone_id Zone;
  std::uint64_t Sequence = 0;
  std::uint32_t LiveHosts = 0;
  /// Lowest version in force at a live host of the zone, and that host.
  config_version LowestConfig;
  entry_host_id LaggingHost;
  bool operator==(const zone_report &) const = default;
};

/// What rides on every probe, acknowledgement and rumor.
struct gossip_payload {
  std::vector<member_update> Members;
  std::vector<load_delta> Loads;
  std::vector<leaving_fact> Leaving;
  /// Demand at the sender; all of it if DemandsComplete.
  std::vector<workspace_demand> Demands;
  std::vector<pool_summary> Summaries;
  std::vector<zone_demand> ZoneDemands;
  std::vector<zone_report> Zones;
  bool DemandsComplete = false;
  /// Versions that the sender holds; 0 is none.
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
/// Asks the receiver to probe Target on the sender's behalf.
struct indirect_probe {
  std::uint64_t Sequence = 0;
  entry_host_id Target;
  bool operator==(const indirect_probe &) const = default;
};
/// The target of an indirect probe answered the host that was asked.
struct indirect_ack {
  std::uint64_t Sequence = 0;
  entry_host_id Target;
  bool operator==(const indirect_ack &) const = default;
};

/// Asks for a configuration newer than Have.
struct config_pull {
  config_version Have;
  bool operator==(const config_pull &) const = default;
};
struct config_push {
  fleet_config Config;
  bool operator==(const config_push &) const = default;
};
/// Change records in a row; the first one's base is a version that the
/// receiver is believed to hold.
struct config_changes {
  std::vector<change_record> Changes;
  /// configDigest of the configuration that the last record results in.
  std::uint64_t Digest = 0;
  bool operator==(const config_changes &) const = default;
};
/// Asks for, or hands over, the host list as last seen from the platform.
struct host_list_pull {
  object_version Have;
  bool operator==(const host_list_pull &) const = default;
};
struct host_list_push {
  host_list Hosts;
  object_version Version;
  bool operator==(const host_list_push &) const = default;
};

/// Asks the holder of a claim what became of it.
struct claim_query {
  std::uint64_t Sequence = 0;
  object_key Claim;
  attempt_id Attempt;
  bool operator==(const claim_query &) const = default;
};
enum class claim_answer {
  InProgress,
  Done,
  /// The holder gave the attempt up and promises never to dispatch it.
  Abandoned,
  /// The holder dispatched the attempt and knows no outcome.
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

/// News that cannot wait for the next probe; wants no acknowledgement.
struct rumor {
  gossip_payload Gossip;
  bool operator==(const rumor &) const = default;
};

/// What hosts that batch together know of each other.
struct batching_host {
  entry_host_id Host;
  zone_id Zone;
  endpoint Address;
  /// Thousandths of a core; hosts with more own more queues.
  std::uint32_t Capacity = 0;
  bool operator==(const batching_host &) const = default;
};
/// Tells a host that the sender lives; also asks whether the receiver does.
struct host_heartbeat {
  batching_host Self;
  bool WantsReply = false;
  /// The sender takes no more jobs.
  bool Leaving = false;
  /// Version of the operator's configuration that the sender uses.
  config_version Config;
  /// Newest change of a backend server's entry that the sender knows.
  object_version Backends;
  /// Other hosts that the sender knows, for those that start without a list.
  std::vector<batching_host> Others;
  bool operator==(const host_heartbeat &) const = default;
};
/// Asks for, or hands over, the operator's configuration as the platform wrote
/// it, for hosts that cannot reach the platform.
struct operator_config_pull {
  config_version Have;
  bool operator==(const operator_config_pull &) const = default;
};
struct operator_config_push {
  config_version Version;
  std::string Text;
  bool operator==(const operator_config_push &) const = default;
};
/// Asks the owner of a queue for pieces.
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
  /// The request that the pieces were made for; job numbers begin anew when a
  /// host is restarted.
  caller_request_id Request;
  std::vector<made_piece> Pieces;
  bool operator==(const pieces_completed &) const = default;
};
/// How many pieces of a queue the sender's requests will ask for once their
/// earlier stages are done.
struct demand_forecast {
  pool_id Pool;
  zone_id QueueZone;
  by_urgency<std::uint32_t> Pieces{};
  bool operator==(const demand_forecast &) const = default;
};
/// All pieces of the job are being made; their inputs may be released.
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
/// Results that nobody needs any more.
struct results_released {
  std::vector<result_handle> Results;
  bool operator==(const results_released &) const = default;
};

using peer_body = std::variant<
    probe, probe_ack, indirect_probe, indirect_ack, config_pull, config_push,
    host_list_pull, host_list_push, claim_query, claim_query_reply, rumor,
    config_changes, host_heartbeat, operator_config_pull, operator_config_push,
    piece_request, pieces_accepted, pieces_completed, pieces_failed,
    pieces_cancelled, results_released, inputs_fetched, demand_forecast>;

/// A message with its sender; messages of other fleets are refused.
struct peer_message {
  fleet_id Fleet;
  host_run Sender;
  peer_body Body;
  bool operator==(const peer_message &) const = default;
};

} // namespace jasminecroft
