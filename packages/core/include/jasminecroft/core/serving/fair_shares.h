// Shares of workspaces in the servers of one queue: weighted max-min over work
// that was started recently and work that waits. Work-conserving: a share
// bounds a workspace only while others want more than their servers give.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstddef>
#include <map>
#include <vector>

namespace jasminecroft {

/// Demand of one workspace, in pieces.
struct share_demand {
  double Work = 0;
  /// Proportional to its share; positive.
  double Weight = 1;
};

using share_demands = std::map<workspace_id, share_demand>;

/// Returns the demand per weight up to which Capacity satisfies all workspaces:
/// those below it get all their work, the others this times their weight.
/// Infinite if Capacity is enough for all.
double shareLevel(const share_demands &Demands, double Capacity);

/// Work that was started for each workspace. The weight of a workspace follows
/// the work that it usually gets, so that equal overload of all costs all the
/// same part, and a workspace that suddenly wants more pays for it alone.
class fair_shares {
public:
  void onStarted(const workspace_id &Workspace, std::size_t Pieces,
                 core_time Now);

  /// Returns the recent work and the weight of all known workspaces.
  share_demands recent(core_time Now) const;

private:
  struct started_work {
    double Recent = 0;
    double Usual = 0;
    core_time At;
    started_work decayed(core_time Now) const;
  };
  /// Workspaces whose work has decayed to nearly nothing are dropped.
  std::map<workspace_id, started_work> ByWorkspace;
};

} // namespace jasminecroft
