// Estimates of the duration of streams.
#include "jasminecroft/core/serving/stream_times.h"

#include <cmath>

namespace jasminecroft {

namespace {

constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double Deviations = 4;

core_duration inMicros(double Micros) {
  return core_duration(static_cast<std::int64_t>(Micros));
}

} // namespace

void smoothed_time::observe(double Micros) {
  if (!Known) {
    Known = true;
    Mean = Micros;
    Deviation = Micros / 2;
    return;
  }
  Deviation += DeviationGain * (std::abs(Micros - Mean) - Deviation);
  Mean += MeanGain * (Micros - Mean);
}

double smoothed_time::upperBound() const {
  return Mean + Deviations * Deviation;
}

void stream_times::observe(core_duration Time, std::uint32_t Tokens) {
  double Micros = static_cast<double>(Time.count());
  Whole.observe(Micros);
  if (Tokens > 0)
    PerToken.observe(Micros / Tokens);
}

core_duration stream_times::usual() const { return inMicros(Whole.mean()); }

core_duration stream_times::longest(std::uint32_t Tokens) const {
  if (Tokens > 0 && PerToken.known())
    return inMicros(PerToken.upperBound() * Tokens);
  return inMicros(Whole.upperBound());
}

} // namespace jasminecroft
