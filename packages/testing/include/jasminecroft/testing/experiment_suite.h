// The measures of the policy experiment: which scenarios run, and the figures
// drawn from them, policy beside baseline.
#pragma once

#include "jasminecroft/testing/experiment.h"

#include <optional>
#include <string>
#include <vector>

namespace jasminecroft::experiment {

/// One measure of one workload, a value for each seed.
struct figure {
  std::string Workload;
  std::string Measure;
  std::string Unit;
  std::vector<double> Baseline;
  std::vector<double> Policy;
  /// What the policy has to reach, in words; empty for plain information.
  std::string Target;
  /// Whether every seed reaches the target.
  std::optional<bool> Met;
};

struct suite_options {
  std::size_t Seeds = 3;
  /// Only workloads and measures whose names contain this.
  std::string Only;
};

scenario normalScenario();
scenario crestScenario();
scenario longBurstScenario();
/// The unslowed twin has SlowFifth 1.
scenario slowedScenario();
scenario greedyWorkspaceScenario();
scenario overloadScenario(double Load);

std::vector<figure> runSuite(const suite_options &Options);
/// Largest loss of attainment, in points, of a workspace other than the last.
double largestLoss(const run_result &Before, const run_result &After);
/// Processor time and memory of one entry core, as text. Wall-clock figures.
std::string measureSlopes();
std::string toTable(const std::vector<figure> &Figures);

} // namespace jasminecroft::experiment
