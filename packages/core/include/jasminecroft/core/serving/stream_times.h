// How long streams of one route last from their first event to their end.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstdint>

namespace jasminecroft {

/// Smoothed mean and mean deviation, with the gains of RFC 6298.
class smoothed_time {
public:
  void observe(double Micros);
  bool known() const { return Known; }
  double mean() const { return Mean; }
  /// Four mean deviations above the mean.
  double upperBound() const;

private:
  bool Known = false;
  double Mean = 0;
  double Deviation = 0;
};

/// Times of the streams that were served. Where callers state the most tokens
/// that they want, the time of a token tells long streams from short ones.
class stream_times {
public:
  /// Tokens: the most that the caller wanted; 0: not stated.
  void observe(core_duration Time, std::uint32_t Tokens);
  /// Usual time of a stream; zero before the first one was observed.
  core_duration usual() const;
  /// A time that few streams of so many tokens exceed; zero before the first
  /// one was observed.
  core_duration longest(std::uint32_t Tokens) const;

private:
  smoothed_time Whole;
  smoothed_time PerToken;
};

} // namespace jasminecroft
