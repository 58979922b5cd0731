// Objects that the system keeps in the platform's object API, and the calls
// made to it. Shells turn them into HTTP and JSON.
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

/// The claim of one (workspace, idempotency key, stage): created if absent
/// before a call that must not repeat leaves the host, never taken over by
/// time-out.
struct claim_record {
  workspace_id Workspace;
  idempotency_key Key;
  stage_id Stage;
  /// The run and attempt that made the claim.
  host_run Holder;
  attempt_id Attempt;
  fingerprint Request;
  /// Which call with this key made the claim, if its caller declared it. A
  /// released claim may be replaced only by a call with a higher number.
  std::optional<std::uint32_t> CallNumber;
  claim_state State = claim_state::Claimed;
  /// Output of the stage if State is Done and the output is kept.
  std::optional<std::string> Output;
  wall_time ClaimedAt;
  wall_time Deadline;

  bool operator==(const claim_record &) const = default;
};

enum class host_kind { EntryHost, BackendServer };
enum class host_state { Live, Leaving };

/// One line of the platform's lagging list of hosts.
struct listed_host {
  host_kind Kind = host_kind::BackendServer;
  /// Name of the entry host or backend server.
  std::string Name;
  zone_id Zone;
  region_id Region;
  /// Where it is reached: peers' transport for entry hosts, HTTP otherwise.
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

/// A change record that has left the configuration's own list.
struct archived_change {
  change_record Change;
  bool operator==(const archived_change &) const = default;
};

using stored_object =
    std::variant<fleet_config, claim_record, host_list, archived_change>;

/// Why a platform call is made; calls are counted by purpose.
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
/// Waits until the object is newer than After, or until the wait ends.
struct watch_object {
  object_key Key;
  object_version After;
  bool operator==(const watch_object &) const = default;
};

/// Lists keys that begin with Prefix and come after After, in order.
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
/// The condition did not hold; the object stands as it was.
struct version_conflict {};
struct listed_object {
  object_key Key;
  object_version Version;
  bool operator==(const listed_object &) const = default;
};
/// Keys in order, at most the limit asked for.
struct objects_listed {
  std::vector<listed_object> Objects;
};
/// A watch ended without news.
struct watch_expired {};
/// The call certainly had no effect.
struct platform_refused {};
/// No answer; the call may have taken effect, or may do so later.
struct platform_no_answer {};
/// The object is there but cannot be read by this version.
struct object_malformed {
  object_version Version;
};

using platform_result =
    std::variant<object_found, object_absent, object_written, version_conflict,
                 watch_expired, platform_refused, platform_no_answer,
                 object_malformed, objects_listed>;

/// Key of the fleet configuration.
object_key configKey();
/// Key of the platform's host list.
object_key hostListKey();
/// Key of an object that need not exist; read to see if the platform answers.
object_key probeKey();
/// Key of a claim: "claims/" and escaped workspace, key and stage.
object_key claimKey(const workspace_id &Workspace, const idempotency_key &Key,
                    const stage_id &Stage);
/// What the keys of all claims begin with.
inline constexpr std::string_view ClaimKeyPrefix = "claims/";
/// Key of an archived change record.
object_key auditKey(config_version Version);

} // namespace jasminecroft
