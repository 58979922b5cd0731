// Whether a request can still be met: before its first stage, and while one of
// its stages waits.
#pragma once

#include "jasminecroft/core/detail/work_estimator.h"

#include <memory>
#include <vector>

namespace jasminecroft::detail {

/// One stage of a request as admission sees it.
struct stage_outlook {
  /// Low and typical time of the call itself; zero if not known.
  core_duration Low{0};
  core_duration Median{0};
  /// Work that would start before it, of its own workspace.
  work_units Ahead;
  /// Slots that serve this workspace's work at present; above 0.
  double Slots = 1;
};

class admission_policy {
public:
  virtual ~admission_policy() = default;
  virtual std::optional<rejection>
  admit(const std::vector<stage_outlook> &Stages,
        core_duration Remaining) const = 0;
  /// When waiting work is given up; LowAhead is the low time of the later
  /// stages.
  virtual core_time giveUpAt(const work_item &Item,
                             const work_estimate &Estimate,
                             core_duration LowAhead) const = 0;
};

/// Admits everything and gives up at the deadline. Baseline.
std::unique_ptr<admission_policy> makeAdmitAll();
/// Turns away at once what the waiting work leaves no time for, and gives up
/// what cannot end in time any more.
std::unique_ptr<admission_policy> makeFeasibleOnly();

} // namespace jasminecroft::detail
