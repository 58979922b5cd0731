// Deletes claim records whose outcome is final and whose retention time has
// passed, for the store with one object a claim. After a restart, cleanup
// begins again at the first key.
#pragma once

#include "jasminecroft/core/config.h"
#include "jasminecroft/core/detail/membership.h"
#include "jasminecroft/core/detail/platform_gateway.h"

#include <deque>
#include <optional>

namespace jasminecroft::detail {

/// Pause between two passes over all claims and after a failed call.
inline constexpr core_duration CleanupPause = std::chrono::minutes(1);
/// Maximum number of keys requested by one list call.
inline constexpr std::uint32_t CleanupListLimit = 100;

/// Lists, reads and deletes claim records, with at most one call in flight.
class claim_cleanup final : public platform_result_handler {
public:
  claim_cleanup(core_context &Context, platform_gateway &Gateway,
                const membership &Members)
      : Context(Context), Gateway(Gateway), Members(Members) {}

  void configure(const fleet_config &Config);
  void onPlatformResult(platform_call_id Call,
                        const platform_result &Result) override;
  /// Issues the next call of a pass if this host ranks first for the task.
  /// Deletes are conditional, so two hosts may run the task at the same time.
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  std::uint64_t deletedCount() const { return Deleted; }

private:
  void issueNextCall();
  void onListed(const objects_listed &Listed);
  void onRead(const object_found &Found);
  bool isExpired(const claim_record &Record) const;

  core_context &Context;
  platform_gateway &Gateway;
  const membership &Members;
  /// Absent until a configuration is known.
  std::optional<std::chrono::seconds> Retention;
  core_time NextCallAt{};
  /// Keys of the last list that are not processed yet; the first one is being
  /// read or deleted.
  std::deque<object_key> PendingKeys;
  /// Last key of the last list; the next list starts after it.
  object_key Cursor;
  /// Version of the first pending key, set while that object is deleted.
  std::optional<object_version> DeleteVersion;
  /// At most one call is in flight.
  std::optional<platform_call_id> Call;
  std::uint64_t Deleted = 0;
};

} // namespace jasminecroft::detail
