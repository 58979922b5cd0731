// Decaying sums of started work, and the level of max-min shares.
#include "jasminecroft/core/serving/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace jasminecroft {

namespace {

/// Time constant of recent work: that of an aim, in which an excess has to be
/// noticed.
constexpr double RecentSeconds = 2;
/// Time constant of usual work: longer than a burst.
constexpr double UsualSeconds = 60;
/// Lower bound of a weight, as a part of the mean: for new workspaces.
constexpr double MinWeightFraction = 0.25;
/// Usual work below which a workspace is dropped, in pieces.
constexpr double ForgottenWork = 0.01;

} // namespace

double shareLevel(const share_demands &Demands, double Capacity) {
  std::vector<std::pair<double, share_demand>> ByNeed;
  double Weights = 0;
  for (const share_demands::value_type &Entry : Demands) {
    ByNeed.emplace_back(Entry.second.Work / Entry.second.Weight, Entry.second);
    Weights += Entry.second.Weight;
  }
  std::sort(ByNeed.begin(), ByNeed.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  for (const std::pair<double, share_demand> &Next : ByNeed) {
    if (Next.first * Weights > Capacity)
      return Capacity / Weights;
    Capacity -= Next.second.Work;
    Weights -= Next.second.Weight;
  }
  return std::numeric_limits<double>::infinity();
}

fair_shares::started_work
fair_shares::started_work::decayed(core_time Now) const {
  double Age = std::chrono::duration<double>(Now - At).count();
  return {Recent * std::exp(-Age / RecentSeconds),
          Usual * std::exp(-Age / UsualSeconds), Now};
}

void fair_shares::onStarted(const workspace_id &Workspace, std::size_t Pieces,
                            core_time Now) {
  if (!ByWorkspace.contains(Workspace))
    std::erase_if(ByWorkspace, [Now](const auto &Entry) {
      return Entry.second.decayed(Now).Usual < ForgottenWork;
    });
  started_work &Work = ByWorkspace[Workspace];
  Work = Work.decayed(Now);
  Work.Recent += static_cast<double>(Pieces);
  Work.Usual += static_cast<double>(Pieces);
}

share_demands fair_shares::recent(core_time Now) const {
  share_demands Result;
  double Total = 0;
  for (const std::pair<const workspace_id, started_work> &Entry : ByWorkspace) {
    started_work Work = Entry.second.decayed(Now);
    Result[Entry.first] = {Work.Recent, Work.Usual};
    Total += Work.Usual;
  }
  if (Result.empty())
    return Result;
  double Mean = Total / static_cast<double>(Result.size());
  for (share_demands::value_type &Entry : Result)
    Entry.second.Weight =
        Mean > 0 ? std::max(Entry.second.Weight / Mean, MinWeightFraction) : 1;
  return Result;
}

} // namespace jasminecroft
