// Feasibility of requests under their deadlines.
#include "jasminecroft/core/detail/admission.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft::detail {

namespace {

/// Share of the expected wait that is believed; the rest may not come true,
/// as work ahead is given up or a pool gains slots.
constexpr double BelievedWait = 0.9;
constexpr core_duration ShortestRetryAfter{200'000};
constexpr core_duration LongestRetryAfter{10'000'000};
/// Time in which work that comes late already may still find a slot.
constexpr core_duration TightGrace{50'000};
constexpr double UsPerMs = 1'000;

class admit_all final : public admission_policy {
public:
  std::optional<rejection> admit(const std::vector<stage_outlook> &,
                                 core_duration) const override {
    return std::nullopt;
  }
  core_time giveUpAt(const work_item &Item, const work_estimate &,
                     core_duration) const override {
    return Item.Deadline;
  }
};

class feasible_only final : public admission_policy {
public:
  std::optional<rejection> admit(const std::vector<stage_outlook> &Stages,
                                 core_duration Remaining) const override {
    core_duration Low{0};
    core_duration Median{0};
    core_duration Wait{0};
    for (const stage_outlook &Stage : Stages) {
      Low += Stage.Low;
      Median += Stage.Median;
      Wait += waitOf(Stage);
    }
    if (Low > Remaining)
      return rejection{error_code::DeadlineInfeasible, ShortestRetryAfter};
    if (Wait == core_duration::zero() || Wait + Median <= Remaining)
      return std::nullopt;
    core_duration Excess = Wait + Median - Remaining;
    return rejection{error_code::Overloaded,
                     std::clamp(Excess, ShortestRetryAfter, LongestRetryAfter)};
  }

  // Work that has waited so long that it would probably end late leaves its
  // slot to work that will not; work that comes with so little time gets its
  // chance at once or never.
  core_time giveUpAt(const work_item &Item, const work_estimate &Estimate,
                     core_duration LowAhead) const override {
    core_duration Longest = Estimate.Recent ? Estimate.High : Estimate.Low;
    core_time Probably = Item.Deadline - LowAhead - Longest;
    core_time Possibly = Item.Deadline - LowAhead - Estimate.Low;
    return std::max(Probably, std::min(Item.Arrived + TightGrace, Possibly));
  }

private:
  static core_duration waitOf(const stage_outlook &Stage) {
    double Us = BelievedWait * UsPerMs * Stage.Ahead.Value / Stage.Slots;
    return core_duration(std::llround(Us));
  }
};

} // namespace

std::unique_ptr<admission_policy> makeAdmitAll() {
  return std::make_unique<admit_all>();
}

std::unique_ptr<admission_policy> makeFeasibleOnly() {
  return std::make_unique<feasible_only>();
}

} // namespace jasminecroft::detail
