// Estimates how long a stage call takes on a backend server that is not
// slowed, from its input size, its token limit and what was observed before.
#pragma once

#include "jasminecroft/core/policy.h"

#include <array>
#include <map>
#include <memory>

namespace jasminecroft::detail {

/// Expected slot time of a stage call.
struct work_estimate {
  /// Short, typical and long durations of such calls.
  core_duration Low{0};
  core_duration Median{0};
  core_duration High{0};
  /// False if no such call has been observed; the values are then a guess.
  bool Observed = false;
  /// False if the last such call ended so long ago that the values may turn
  /// no work away.
  bool Recent = true;

  work_units work() const {
    return work_units{static_cast<double>(Median.count()) / 1'000};
  }
};

/// Durations on a logarithmic scale; old ones fade as new ones come.
class duration_histogram {
public:
  void add(core_duration Duration);
  bool empty() const { return Total == 0; }
  /// Upper edge of the bin that holds the quantile; Share is in [0, 1].
  core_duration quantile(double Share) const;

private:
  static constexpr std::size_t Bins = 112;
  std::array<float, Bins> Counts{};
  /// Sum of Counts; halved together with them beyond FadeAt.
  float Total = 0;
};

class work_estimator {
public:
  virtual ~work_estimator() = default;
  /// As of the item's arrival. Low is zero if the last such call ended long
  /// before: work that is turned away would never show that it is out of date.
  virtual work_estimate estimate(const work_item &Item) const = 0;
  /// Typical and low time of a later stage, whose input is not known yet.
  virtual work_estimate estimateAhead(const pipeline_id &Pipeline,
                                      const stage_id &Stage,
                                      const work_item &Item) const = 0;
  /// An attempt ran to its end at At.
  virtual void observe(const work_item &Item, core_duration Took,
                       core_time At) = 0;
};

/// Knows nothing: every call has the same estimate. Baseline.
std::unique_ptr<work_estimator> makeFixedEstimator();
/// Learns durations by pipeline, stage, input size and token limit. High is
/// the quantile HighShare.
std::unique_ptr<work_estimator> makeObservedEstimator(double HighShare);

} // namespace jasminecroft::detail
