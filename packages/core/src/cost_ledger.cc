// Sums of slot time by workspace and stage.
#include "jasminecroft/core/detail/cost_ledger.h"

namespace jasminecroft::detail {

void cost_ledger::add(const workspace_id &Workspace, const stage_id &Stage,
                      attempt_fate Fate, core_duration Took) {
  entry_key Key{Workspace, Stage};
  if (Entries.size() >= MaxEntries && !Entries.contains(Key))
    Key.first = workspace_id();
  workspace_cost &Cost = Entries[Key];
  Cost.Workspace = Key.first;
  Cost.Stage = Stage;
  ++Cost.Attempts;
  switch (Fate) {
  case attempt_fate::Done:
    Cost.Done += Took;
    return;
  case attempt_fate::Lost:
    Cost.Lost += Took;
    return;
  case attempt_fate::Hedged:
    Cost.Hedged += Took;
    return;
  case attempt_fate::GivenUp:
    Cost.GivenUp += Took;
    return;
  }
}

std::vector<workspace_cost> cost_ledger::costs() const {
  std::vector<workspace_cost> Costs;
  Costs.reserve(Entries.size());
  for (const std::pair<const entry_key, workspace_cost> &Entry : Entries)
    Costs.push_back(Entry.second);
  return Costs;
}

} // namespace jasminecroft::detail
