// The policy in force: which variant of each part is used.
#include "jasminecroft/core/detail/policy_parts.h"

namespace jasminecroft {

namespace {

/// High durations of estimates are this quantile.
constexpr double HighShare = 0.95;

} // namespace

std::unique_ptr<work_scheduler> makeScheduler(const replica_directory &Replicas,
                                              const zone_id &Zone,
                                              std::uint64_t Seed) {
  detail::policy_parts Parts;
  Parts.Estimator = detail::makeObservedEstimator(HighShare);
  Parts.MakeQueue = detail::makeFairQueue;
  Parts.Limit = detail::makeSharedLimit();
  Parts.Partition = detail::makeBoundedPartition();
  Parts.Admission = detail::makeFeasibleOnly();
  Parts.Hedges = detail::makeQuantileHedges();
  Parts.MakeBudget = detail::makeTokenBudget;
  Parts.Choice = detail::makeSampledChoice(Seed);
  return detail::makeSchedulerOf(std::move(Parts), Replicas, Zone, Seed);
}

} // namespace jasminecroft
