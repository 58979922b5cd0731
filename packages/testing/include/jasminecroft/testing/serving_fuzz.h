// Random sequences of requests, faults and planned work for serving cores.
#pragma once

#include "jasminecroft/testing/serving_world.h"
#include "jasminecroft/testing/violation.h"

#include <cstddef>
#include <cstdint>
#include <ostream>

namespace jasminecroft::testing {

struct serving_fuzz_report {
  std::uint64_t Requests = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Faults = 0;
  violation_list Violations;

  void add(const serving_fuzz_report &Other);
};

/// What a case plays besides what all cases do.
struct serving_fuzz_world {
  draft_shape Drafts = draft_shape::Chain;
  bool ServersKeepIds = false;
};

/// Plays the case of one seed: faults among requests, then calm. What was asked
/// in the calm has to be served, and no result may stay behind.
serving_fuzz_report runServingCase(std::uint64_t Seed, std::size_t Commands,
                                   const serving_fuzz_world &World = {});

std::ostream &operator<<(std::ostream &Stream,
                         const serving_fuzz_report &Report);

} // namespace jasminecroft::testing
