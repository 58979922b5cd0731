// The exchangeable parts of the scheduler, so that each can be compared with
// its simple variant.
#pragma once

#include "jasminecroft/core/detail/admission.h"
#include "jasminecroft/core/detail/in_flight_limit.h"
#include "jasminecroft/core/detail/long_work_partition.h"
#include "jasminecroft/core/detail/replica_choice.h"
#include "jasminecroft/core/detail/second_attempts.h"
#include "jasminecroft/core/detail/work_estimator.h"
#include "jasminecroft/core/detail/work_queue.h"

#include <functional>
#include <memory>

namespace jasminecroft::detail {

struct policy_parts {
  std::unique_ptr<work_estimator> Estimator = makeFixedEstimator();
  /// Makes the queue of a pool.
  std::function<std::unique_ptr<work_queue>()> MakeQueue = makeFifoQueue;
  std::unique_ptr<in_flight_limit> Limit = makeSlotsLimit();
  std::unique_ptr<long_work_partition> Partition = makeNoPartition();
  std::unique_ptr<replica_choice> Choice = makeRoundRobinChoice();
  std::unique_ptr<hedge_policy> Hedges = makeNoHedges();
  /// Makes the budget of a pool.
  std::function<std::unique_ptr<retry_budget>()> MakeBudget =
      makeUnlimitedBudget;
  std::unique_ptr<admission_policy> Admission = makeAdmitAll();
};

std::unique_ptr<work_scheduler>
makeSchedulerOf(policy_parts Parts, const replica_directory &Replicas,
                const zone_id &Zone, std::uint64_t Seed);

} // namespace jasminecroft::detail
