// Deletes settled claims that are older than their retention. Part of the
// per-key form of the claim store. A restart begins again with the first key.
#pragma once

#include "jasminecroft/core/config.h"
#include "jasminecroft/core/detail/membership.h"
#include "jasminecroft/core/detail/platform_gateway.h"

#include <deque>
#include <optional>

namespace jasminecroft::detail {

/// Pause between two passes over all claims.
inline constexpr core_duration CleanupPause{60'000'000};
inline constexpr std::uint32_t CleanupListLimit = 100;

class claim_cleanup final : public platform_result_handler {
public:
  claim_cleanup(core_context &Context, platform_gateway &Gateway,
                const membership &Members)
      : Context(Context), Gateway(Gateway), Members(Members) {}

  void configure(const fleet_config &Config);
  void onPlatformResult(platform_call_id Call,
                        const platform_result &Result) override;
  /// Makes the next call of a pass if this host ranks first for the task; two
  /// hosts that both think so do no harm.
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  std::uint64_t deletedCount() const { return Deleted; }

private:
  void callNext();
  void onListed(const objects_listed &Listed);
  void onRead(const object_found &Found);
  bool mayDelete(const claim_record &Record) const;

  core_context &Context;
  platform_gateway &Gateway;
  const membership &Members;
  /// Absent until a configuration is known.
  std::optional<std::chrono::seconds> Retention;
  core_time NextAt{};
  /// Keys of the last list that are still to be read.
  std::deque<object_key> Unread;
  /// Last key of the last list; the next list begins after it.
  object_key Cursor;
  /// The object that was read last, while it is being deleted.
  std::optional<object_version> DeleteAt;
  /// At most one call is in flight.
  std::optional<platform_call_id> Call;
  std::uint64_t Deleted = 0;
};

} // namespace jasminecroft::detail
