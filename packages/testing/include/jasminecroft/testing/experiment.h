// Policy experiments: whole entry cores over small fakes in virtual time, so
// that a policy can be compared with the baseline in one run. The same
// scenario, policy and seed give the same figures.
#pragma once

#include "jasminecroft/core/config.h"
#include "jasminecroft/core/entry_core.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminecroft::experiment {

/// Index of a request class within its workload.
using class_index = std::size_t;

/// Work of one stage of a request class, in milliseconds of one slot.
struct stage_cost {
  /// Fixed part.
  double BaseMs = 1;
  /// Part for each 1000 input bytes; cheaper if the prefix is cached.
  double PerKilobyteMs = 0;
  /// Part for each generated token.
  double PerTokenMs = 0;
  /// Size of the stage's output.
  std::size_t OutputBytes = 400;
};

/// A kind of request with its sizes and deadline.
struct request_class {
  pipeline_definition Pipeline;
  std::vector<stage_cost> Costs;
  core_duration Deadline{0};
  /// Arrivals a second at load 1 from all workspaces together.
  double Rate = 1;
  std::size_t MinBytes = 400;
  std::size_t MaxBytes = 800;
  /// Limit told with the request; between MinTokenShare and all of it is
  /// generated. 0: none is told.
  std::uint32_t MaxTokens = 0;
  double MinTokenShare = 0.4;
  /// True for the classes whose waiting is measured behind the others.
  bool Short = true;
};

/// A user's fleet and what it is asked for.
struct workload {
  std::string Name;
  std::size_t EntryHosts = 8;
  std::vector<pool_definition> Pools;
  /// Backend servers of each pool, spread over three zones.
  std::vector<std::size_t> Replicas;
  /// The pool whose slots bound the whole.
  pool_id Bottleneck;
  std::vector<request_class> Classes;
  /// Share of the arrivals of each workspace; sums to 1.
  std::vector<double> WorkspaceShares;
};

workload escalerasWorkload();
workload consorcioWorkload();
/// Configuration that the workload's fleet runs with.
fleet_config configOf(const workload &Workload);
/// Expected milliseconds of one slot of the bottleneck pool for one request.
double bottleneckWorkMs(const workload &Workload, const request_class &Class);
/// Load factor at which the bottleneck pool is just busy.
double loadAtCapacity(const workload &Workload);

/// A stretch of time with more arrivals.
struct load_crest {
  core_duration Start{0};
  core_duration Length{0};
  /// Factor on the arrivals of the classes concerned.
  double Factor = 1;
  /// True: only classes that are not short; false: all.
  bool LongOnly = false;
};

/// What happens in one run.
struct scenario {
  std::string Name;
  core_duration Length{40'000'000};
  /// Arrivals before this time are not measured.
  core_duration MeasureFrom{5'000'000};
  /// Offered work of the bottleneck pool over its capacity.
  double Load = 0.65;
  std::vector<load_crest> Crests;
  /// Only arrivals within a crest are measured.
  bool MeasureCrestsOnly = false;
  /// Random slow spells of single backend servers.
  bool SlowSpells = true;
  /// Each fifth backend server is slowed by this factor from SlowFrom on.
  double SlowFifth = 1;
  core_duration SlowFrom{0};
  /// Factor on the arrivals of the last workspace.
  double LastWorkspaceFactor = 1;
  /// One zone and one entry host, which sees every slot: what the others lose
  /// by knowing less.
  bool OneHost = false;
  /// Calls that a caller adds after answers that are not complete in time.
  std::uint32_t CallerRetries = 0;
};

/// Slot time of one stage in milliseconds, by what became of it.
struct stage_usage {
  double UsefulMs = 0;
  /// Ended in failure or was broken off without a successor.
  double LostMs = 0;
  /// Losers of hedges and retries.
  double HedgedMs = 0;
  /// Done for requests that missed their deadline or were given up.
  double LateMs = 0;
  /// Of all the above, spent by attempts after a stage call's first.
  double ExtraMs = 0;
  std::uint64_t Calls = 0;
  std::uint64_t Attempts = 0;
};

struct class_result {
  std::string Name;
  bool Short = true;
  std::uint64_t Asked = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Refused = 0;
  /// From the call to the whole answer, in milliseconds; calls that miss
  /// count with at least their deadline.
  std::vector<double> LatencyMs;
  /// From a stage's being ready to its start on a slot, summed over stages.
  std::vector<double> WaitMs;
};

struct run_result {
  std::vector<class_result> Classes;
  /// By workspace: asked, in time.
  std::vector<std::uint64_t> AskedOf;
  std::vector<std::uint64_t> InTimeOf;
  std::map<std::string, stage_usage> Stages;
  /// Requests answered in time, per second of the window.
  double GoodputPerSecond = 0;
  /// Slot time of the bottleneck pool, over all of it: used by requests that
  /// were answered in time, and used at all.
  double UsefulShare = 0;
  double BusyShare = 0;
  /// Most requests, in percent, that the bottleneck could serve in time.
  double CapacityBoundPercent = 100;
};

/// Runs one scenario in virtual time.
run_result runScenario(const workload &Workload, const scenario &Scenario,
                       scheduler_kind Scheduler, std::uint64_t Seed);

/// Percentile by nearest rank; 0 for no values.
double percentile(std::vector<double> Values, double Percent);
/// Requests answered whole and in time, in percent.
double attainment(const run_result &Result);
/// Slot time of second attempts in percent of all.
double extraLoad(const run_result &Result);
/// Values of all short, or all, classes joined.
std::vector<double> shortWaits(const run_result &Result);

} // namespace jasminecroft::experiment
