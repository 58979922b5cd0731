// Hedges and the budget of second attempts.
#include "jasminecroft/core/detail/second_attempts.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

/// Shortest time worth hedging for; below it the network decides.
constexpr core_duration ShortestOverdue{5'000};
/// Overdue at the earliest at this many medians.
constexpr double LeastMedians = 1.5;
/// Budget at the start and at most, in milliseconds of one slot.
constexpr double FirstTokens = 500;
constexpr double MostTokens = 10'000;

class no_hedges final : public hedge_policy {
public:
  std::optional<core_duration>
  overdueAfter(const work_estimate &) const override {
    return std::nullopt;
  }
};

class quantile_hedges final : public hedge_policy {
public:
  std::optional<core_duration>
  overdueAfter(const work_estimate &Estimate) const override {
    if (!Estimate.Observed)
      return std::nullopt;
    core_duration Least(static_cast<std::int64_t>(
        LeastMedians * static_cast<double>(Estimate.Median.count())));
    return std::max({Estimate.High, Least, ShortestOverdue});
  }
};

class unlimited_budget final : public retry_budget {
public:
  void configure(double) override {}
  void onFirstAttempt(work_units) override {}
  bool spend(work_units) override { return true; }
};

class token_budget final : public retry_budget {
public:
  void configure(double NewShare) override { Share = NewShare; }

  void onFirstAttempt(work_units Estimate) override {
    Tokens = std::min(MostTokens, Tokens + Share * Estimate.Value);
  }

  bool spend(work_units Estimate) override {
    if (Estimate.Value > Tokens)
      return false;
    Tokens -= Estimate.Value;
    return true;
  }

private:
  double Share = 0;
  double Tokens = FirstTokens;
};

} // namespace

std::unique_ptr<hedge_policy> makeNoHedges() {
  return std::make_unique<no_hedges>();
}

std::unique_ptr<hedge_policy> makeQuantileHedges() {
  return std::make_unique<quantile_hedges>();
}

std::unique_ptr<retry_budget> makeUnlimitedBudget() {
  return std::make_unique<unlimited_budget>();
}

std::unique_ptr<retry_budget> makeTokenBudget() {
  return std::make_unique<token_budget>();
}

} // namespace jasminecroft::detail
