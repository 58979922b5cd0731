// The core's clock, read from the steady clock.
#pragma once

#include "jasminecroft/core/types.h"

#include <chrono>

namespace jasminecroft::detail {

inline core_time now() {
  return core_time(std::chrono::duration_cast<core_duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

inline std::chrono::steady_clock::time_point toSteady(core_time Time) {
  return std::chrono::steady_clock::time_point(Time.time_since_epoch());
}

} // namespace jasminecroft::detail
