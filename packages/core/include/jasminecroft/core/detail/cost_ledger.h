// Slot time of backend servers spent for each workspace and stage, by what
// became of it. A restart of the host starts the sums again.
#pragma once

#include "jasminecroft/core/status.h"
#include "jasminecroft/core/types.h"

#include <map>
#include <utility>
#include <vector>

namespace jasminecroft::detail {

/// What became of an attempt.
enum class attempt_fate {
  /// Its answer was used.
  Done,
  /// It failed, timed out or was refused.
  Lost,
  /// Another attempt of the same call was faster.
  Hedged,
  /// Its request was given up.
  GivenUp,
};

/// Sums for at most MaxEntries pairs; further workspaces are summed together.
class cost_ledger {
public:
  static constexpr std::size_t MaxEntries = 256;

  void add(const workspace_id &Workspace, const stage_id &Stage,
           attempt_fate Fate, core_duration Took);
  std::vector<workspace_cost> costs() const;

private:
  using entry_key = std::pair<workspace_id, stage_id>;
  std::map<entry_key, workspace_cost> Entries;
};

} // namespace jasminecroft::detail
