// Second attempts of a stage call: when a hedge is due, and the budget that
// hedges, retries and probes share.
#pragma once

#include "jasminecroft/core/detail/work_estimator.h"

#include <memory>
#include <optional>

namespace jasminecroft::detail {

class hedge_policy {
public:
  virtual ~hedge_policy() = default;
  /// Time after the start of an attempt at which it counts as overdue; absent
  /// if it never does.
  virtual std::optional<core_duration>
  overdueAfter(const work_estimate &Estimate) const = 0;
};

/// Never hedges. Baseline.
std::unique_ptr<hedge_policy> makeNoHedges();
/// Overdue beyond the high quantile of the estimate.
std::unique_ptr<hedge_policy> makeQuantileHedges();

/// Budget of extra work, in estimated work, earned by first attempts.
class retry_budget {
public:
  virtual ~retry_budget() = default;
  /// Extra work allowed for each unit of first attempts; in [0, 1].
  virtual void configure(double Share) = 0;
  virtual void onFirstAttempt(work_units Estimate) = 0;
  /// Takes the work out of the budget if it holds as much.
  virtual bool spend(work_units Estimate) = 0;
};

/// Always allows. Baseline.
std::unique_ptr<retry_budget> makeUnlimitedBudget();
/// A token bucket; the unit of tokens is estimated work.
std::unique_ptr<retry_budget> makeTokenBudget();

} // namespace jasminecroft::detail
