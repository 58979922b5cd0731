// Estimates of stage calls from observed durations.
#include "jasminecroft/core/detail/work_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace jasminecroft::detail {

namespace {

constexpr double ShortestUs = 200;
constexpr double BinsPerFactorE = 7;
constexpr float FadeAt = 400;
constexpr double LowShare = 0.1;
constexpr core_duration UnknownDuration{20'000};
constexpr core_duration UnknownPerToken{5'000};
/// Observations after which the cached quantiles of a key are renewed.
constexpr std::uint32_t RenewEach = 8;
constexpr double RateWeight = 0.05;
/// How long after the last such call an estimate may turn work away.
constexpr core_duration TrustedFor{5'000'000};

/// Power of two that a size falls under; 0 for none.
std::uint32_t sizeClass(std::uint64_t Size) {
  return static_cast<std::uint32_t>(std::bit_width(Size));
}

class fixed_estimator final : public work_estimator {
public:
  work_estimate estimate(const work_item &) const override { return guess(); }
  work_estimate estimateAhead(const pipeline_id &, const stage_id &,
                              const work_item &) const override {
    return {};
  }
  void observe(const work_item &, core_duration, core_time) override {}

private:
  static work_estimate guess() {
    return {core_duration::zero(), UnknownDuration, UnknownDuration, false};
  }
};

class observed_estimator final : public work_estimator {
public:
  explicit observed_estimator(double HighShare) : HighShare(HighShare) {}

  work_estimate estimate(const work_item &Item) const override {
    auto Found = History.find(keyOf(Item));
    if (Found != History.end())
      return asOf(Item.Arrived, Found->second);
    if (!Item.TokenLimit)
      return estimateAhead(Item.Pipeline, Item.Stage, Item);
    return guessByTokens(Item);
  }

  work_estimate estimateAhead(const pipeline_id &Pipeline,
                              const stage_id &Stage,
                              const work_item &Item) const override {
    auto Found = History.find(
        {Pipeline, Stage, 0, sizeClass(Item.TokenLimit.value_or(0))});
    if (Found != History.end())
      return asOf(Item.Arrived, Found->second);
    return {core_duration::zero(), UnknownDuration, UnknownDuration, false};
  }

  void observe(const work_item &Item, core_duration Took,
               core_time At) override {
    key Key = keyOf(Item);
    observe(Key, Took, At);
    Key.Input = 0;
    observe(Key, Took, At);
    if (!Item.TokenLimit || *Item.TokenLimit == 0)
      return;
    double Sample = static_cast<double>(Took.count()) / *Item.TokenLimit;
    double &Rate =
        UsPerToken
            .try_emplace(Item.Pool,
                         static_cast<double>(UnknownPerToken.count()))
            .first->second;
    Rate += RateWeight * (Sample - Rate);
  }

private:
  struct key {
    pipeline_id Pipeline;
    stage_id Stage;
    /// Size classes; 0 for Input stands for inputs of all sizes.
    std::uint32_t Input = 0;
    std::uint32_t Tokens = 0;
    std::strong_ordering operator<=>(const key &) const = default;
  };
  struct history {
    duration_histogram Durations;
    std::uint32_t Observations = 0;
    core_time LastAt{};
    work_estimate Estimate;
  };

  static key keyOf(const work_item &Item) {
    return {Item.Pipeline, Item.Stage, 1 + sizeClass(Item.InputBytes),
            sizeClass(Item.TokenLimit.value_or(0))};
  }

  static work_estimate asOf(core_time Now, const history &Past) {
    work_estimate Estimate = Past.Estimate;
    Estimate.Recent = Now - Past.LastAt <= TrustedFor;
    if (!Estimate.Recent)
      Estimate.Low = core_duration::zero();
    return Estimate;
  }

  void observe(const key &Key, core_duration Took, core_time At) {
    history &Past = History[Key];
    Past.LastAt = At;
    Past.Durations.add(Took);
    ++Past.Observations;
    if (Past.Observations > RenewEach && Past.Observations % RenewEach != 0)
      return;
    Past.Estimate = {Past.Durations.quantile(LowShare),
                     Past.Durations.quantile(0.5),
                     Past.Durations.quantile(HighShare), true};
  }

  work_estimate guessByTokens(const work_item &Item) const {
    auto Found = UsPerToken.find(Item.Pool);
    double Rate = Found == UsPerToken.end()
                      ? static_cast<double>(UnknownPerToken.count())
                      : Found->second;
    core_duration Guess(std::llround(Rate * *Item.TokenLimit));
    Guess = std::max(Guess, UnknownDuration);
    return {core_duration::zero(), Guess, 2 * Guess, false};
  }

  double HighShare;
  std::map<key, history> History;
  /// Time for each token of the limit, by pool, for calls of unseen sizes.
  std::map<pool_id, double> UsPerToken;
};

} // namespace

void duration_histogram::add(core_duration Duration) {
  double Us = std::max(ShortestUs, static_cast<double>(Duration.count()));
  std::size_t Bin =
      static_cast<std::size_t>(BinsPerFactorE * std::log(Us / ShortestUs));
  Counts[std::min(Bin, Bins - 1)] += 1;
  Total += 1;
  if (Total <= FadeAt)
    return;
  for (float &Count : Counts)
    Count /= 2;
  Total /= 2;
}

core_duration duration_histogram::quantile(double Share) const {
  double Wanted = Share * Total;
  double Sum = 0;
  for (std::size_t Bin = 0; Bin < Bins; ++Bin) {
    Sum += Counts[Bin];
    if (Sum >= Wanted && Sum > 0)
      return core_duration(
          std::llround(ShortestUs * std::exp((static_cast<double>(Bin) + 0.5) /
                                             BinsPerFactorE)));
  }
  return core_duration::zero();
}

std::unique_ptr<work_estimator> makeFixedEstimator() {
  return std::make_unique<fixed_estimator>();
}

std::unique_ptr<work_estimator> makeObservedEstimator(double HighShare) {
  return std::make_unique<observed_estimator>(HighShare);
}

} // namespace jasminecroft::detail
