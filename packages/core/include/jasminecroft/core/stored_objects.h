// Objects stored in the platform's object API, and the operations on them. The
// shells encode both as HTTP and JSON.
#pragma once

#include "jasminecroft/core/config.h"
#include "jasminecroft/core/outcome.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminecroft {

/// One run of one entry host.
struct host_run {
  entry_host_id Host;
  incarnation Run;
  std::strong_ordering operator<=>(const host_run &) const = default;
};

enum class claim_state { Claimed, Done, NotRun, Unknown };
std::string_view toText(claim_state State);

/// The claim on one (workspace, idempotency key, stage). Created if absent
/// before a call that must not repeat is sent; never transferred on a timeout.
struct claim_record {
  workspace_id Workspace;
  idempotency_key Key;
  stage_id Stage;
  /// The run and attempt that created the claim.
  host_run Holder;
  attempt_id Attempt;
  fingerprint Request;
  /// Ordinal of the call that created the claim among those with the same key,
  /// if its caller stated it. Only a call with a higher number may replace a
  /// released claim.
  std::optional<std::uint32_t> CallNumber;
  claim_state State = claim_state::Claimed;
  /// Output of the stage if State is Done and the output is stored.
  std::optional<std::string> Output;
  wall_time ClaimedAt;
  wall_time Deadline;

  bool operator==(const claim_record &) const = default;
};

enum class host_kind { EntryHost, BackendServer };
enum class host_state { Live, Leaving };

/// An entry of the platform's host list, which lags behind the actual state.
struct listed_host {
  host_kind Kind = host_kind::BackendServer;
  /// Name of the entry host or backend server.
  std::string Name;
  zone_id Zone;
  region_id Region;
  /// Address of the peer transport of an entry host, or of the HTTP server of a
  /// backend server.
  endpoint Address;
  /// Pool of a backend server; empty for entry hosts.
  pool_id Pool;
  incarnation Run;
  host_state State = host_state::Live;

  bool operator==(const listed_host &) const = default;
};

struct host_list {
  std::vector<listed_host> Hosts;
  bool operator==(const host_list &) const = default;
};

/// A change record stored as an audit object, apart from the configuration.
struct archived_change {
  change_record Change;
  bool operator==(const archived_change &) const = default;
};

using stored_object =
    std::variant<fleet_config, claim_record, host_list, archived_change>;

/// Purpose of a platform call; calls are counted and limited by purpose.
enum class call_purpose { Config, HostList, Claim, Audit, Cleanup, Probe };

struct get_object {
  object_key Key;
  bool operator==(const get_object &) const = default;
};
struct create_object {
  object_key Key;
  stored_object Value;
  bool operator==(const create_object &) const = default;
};
struct update_object {
  object_key Key;
  stored_object Value;
  object_version Expected;
  bool operator==(const update_object &) const = default;
};
struct delete_object {
  object_key Key;
  object_version Expected;
  bool operator==(const delete_object &) const = default;
};
/// Waits until the object is newer than After, or until the watch expires.
struct watch_object {
  object_key Key;
  object_version After;
  bool operator==(const watch_object &) const = default;
};

/// Lists up to Limit keys that begin with Prefix and sort after After, in
/// ascending order.
struct list_objects {
  std::string Prefix;
  object_key After;
  std::uint32_t Limit = 0;
  bool operator==(const list_objects &) const = default;
};

using platform_operation =
    std::variant<get_object, create_object, update_object, delete_object,
                 watch_object, list_objects>;

struct object_found {
  stored_object Value;
  object_version Version;
};
struct object_absent {};
struct object_written {
  object_version Version;
};
/// The precondition failed; the object is unchanged.
struct version_conflict {};
struct listed_object {
  object_key Key;
  object_version Version;
  bool operator==(const listed_object &) const = default;
};
/// Keys in ascending order, at most the requested limit.
struct objects_listed {
  std::vector<listed_object> Objects;
};
/// A watch ended without a newer version.
struct watch_expired {};
/// The call was refused and had no effect.
struct platform_refused {};
/// No answer; the call may have taken effect or may still do so.
struct platform_no_answer {};
/// The object exists, but this software version cannot decode it.
struct object_malformed {
  object_version Version;
};

using platform_result =
    std::variant<object_found, object_absent, object_written, version_conflict,
                 watch_expired, platform_refused, platform_no_answer,
                 object_malformed, objects_listed>;

/// Returns the key of the fleet configuration.
object_key configKey();
/// Returns the key of the platform's host list.
object_key hostListKey();
/// Returns the key of an object that need not exist; reading it shows whether
/// the platform answers.
object_key probeKey();
/// Returns the key of a claim: "claims/" followed by the escaped workspace, key
/// and stage.
object_key claimKey(const workspace_id &Workspace, const idempotency_key &Key,
                    const stage_id &Stage);
/// Prefix of the keys of all claims.
inline constexpr std::string_view ClaimKeyPrefix = "claims/";
/// Returns the key of an archived change record.
object_key auditKey(config_version Version);

/// The operator's word on a zone as of a revision of the store: nothing more is
/// sent to its backend servers, or the zone was taken back.
struct zone_order {
  zone_id Zone;
  object_version Revision;
  bool Emptied = false;
  bool operator==(const zone_order &) const = default;
};

} // namespace jasminecroft
