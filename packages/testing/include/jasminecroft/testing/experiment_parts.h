// Parts of the policy experiments: random numbers, a fake backend server, a
// fake platform, and the record of each call.
#pragma once

#include "jasminecroft/core/events.h"
#include "jasminecroft/testing/experiment.h"
#include "jasminecroft/testing/virtual_time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jasminecroft::experiment {

using testing::event_queue;

/// Random numbers that depend on the seed alone.
class seeded_random {
public:
  explicit seeded_random(std::uint64_t Seed) : Generator(Seed) {}
  /// Uniform in [0, 1).
  double uniform();
  double between(double Low, double High);
  /// Exponentially distributed with the given mean.
  double exponential(double Mean);
  std::size_t below(std::size_t Limit);

private:
  std::mt19937_64 Generator;
};

/// A time during which a backend server works slower by Factor.
struct slow_spell {
  core_time Start;
  core_time End;
  double Factor = 1;
};

/// One attempt at a backend server.
struct backend_job {
  std::size_t Host = 0;
  attempt_id Attempt;
  std::size_t Ask = 0;
  std::size_t Stage = 0;
  stage_cost Cost;
  std::string Prefix;
  double Kilobytes = 0;
  double Tokens = 0;
  bool Batch = false;
  core_time Enqueued;
  core_time Started;
};

/// A backend server with slots, a queue, a prefix cache and slow spells.
class fake_backend {
public:
  using finished = std::function<void(const backend_job &)>;

  fake_backend(event_queue &Time, const pool_definition &Pool,
               std::vector<slow_spell> Spells, finished OnFinished);

  /// False if the queue is full; the job then certainly does not run.
  bool accept(backend_job Job);
  /// Ends a job early; absent if it is not here. Started is the present time
  /// if it never ran.
  std::optional<backend_job> cancel(std::size_t Host, attempt_id Attempt);
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running.size());
  }
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(Queue[0].size() + Queue[1].size());
  }

private:
  using job_key = std::pair<std::size_t, attempt_id>;

  void startNext();
  double serviceMs(const backend_job &Job);
  core_time finishTime(double WorkMs) const;

  event_queue &Time;
  pool_definition Pool;
  std::vector<slow_spell> Spells;
  finished OnFinished;
  /// Interactive and batch; plain services use the first only.
  std::array<std::deque<backend_job>, 2> Queue;
  std::map<job_key, backend_job> Running;
  /// Most recently used first.
  std::list<std::string> Cached;
};

/// Answers platform calls of all hosts from one table of objects.
class fake_platform {
public:
  void put(const object_key &Key, const stored_object &Value);
  /// Absent for watches, which bring no news.
  std::optional<platform_result> run(const platform_operation &Operation);

private:
  struct versioned {
    stored_object Value;
    object_version Version;
  };
  std::map<object_key, versioned> Objects;
};

enum class usage_kind { Won, Lost, Hedged };

struct usage {
  std::size_t Stage = 0;
  core_time From;
  core_time To;
  usage_kind Kind = usage_kind::Won;
  bool Extra = false;
};

/// One call of a caller; a repeated call is another ask.
struct ask {
  class_index Class = 0;
  std::size_t Workspace = 0;
  std::size_t Host = 0;
  core_time Called;
  core_duration Deadline{0};
  std::uint32_t RetriesLeft = 0;
  bool Repeated = false;
  bool Measured = false;
  bool Answered = false;
  bool InTime = false;
  bool EventuallyInTime = false;
  std::size_t FirstAsk = 0;
  double Tokens = 0;
  core_time StageReady;
  double WaitMs = 0;
  double LatencyMs = 0;
  std::vector<usage> Usage;
  std::set<std::size_t> StagesDone;
  std::set<std::size_t> StagesTried;
};

/// Milliseconds of a duration.
double millis(core_duration Duration);
/// Sums up the calls of a run whose arrivals began at Start.
run_result collectResult(const workload &Workload, const scenario &Scenario,
                         const std::deque<ask> &Asks, core_time Start);

} // namespace jasminecroft::experiment
