// Copies change records from the configuration to audit objects. After a
// restart, all records in the configuration are written again; objects that
// already exist are left unchanged.
#pragma once

#include "jasminecroft/core/detail/membership.h"
#include "jasminecroft/core/detail/platform_gateway.h"

#include <deque>
#include <optional>

namespace jasminecroft::detail {

class audit_archiver final : public platform_result_handler {
public:
  audit_archiver(core_context &Context, platform_gateway &Gateway,
                 const membership &Members)
      : Context(Context), Gateway(Gateway), Members(Members) {}

  /// Queues the records of a configuration that are not known to be archived,
  /// if this host is one of the two archiving hosts of the fleet.
  void onConfig(const fleet_config &Config);
  void onPlatformResult(platform_call_id Call,
                        const platform_result &Result) override;
  void onWakeup();
  std::optional<core_time> nextWakeup() const { return RetryAt; }

private:
  void archiveNext();

  core_context &Context;
  platform_gateway &Gateway;
  const membership &Members;
  /// All records up to this version are archived or queued.
  config_version QueuedThrough;
  std::deque<change_record> Queue;
  std::optional<platform_call_id> Call;
  std::optional<core_time> RetryAt;
};

} // namespace jasminecroft::detail
