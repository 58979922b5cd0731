// Virtual time for fakes: an event queue and the one seeded generator.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace jasminecroft::testing {

/// Callbacks in order of time; those of the same time in order of entry. Time
/// moves only when callbacks run.
class event_queue {
public:
  using callback = std::function<void()>;

  core_time now() const { return Now; }
  /// Times in the past count as now.
  void at(core_time When, callback What);
  void after(core_duration Delay, callback What) {
    at(Now + Delay, std::move(What));
  }
  /// Runs all callbacks up to End and leaves the time at End.
  void runUntil(core_time End);
  void runFor(core_duration Time) { runUntil(Now + Time); }
  std::uint64_t executed() const { return Executed; }

private:
  struct item {
    core_time When;
    std::uint64_t Order = 0;
    callback What;
  };
  struct later {
    bool operator()(const item &A, const item &B) const {
      return A.When != B.When ? A.When > B.When : A.Order > B.Order;
    }
  };

  core_time Now{};
  std::uint64_t Entered = 0;
  std::uint64_t Executed = 0;
  /// A heap by `later`.
  std::vector<item> Items;
};

/// The only source of randomness of a fleet: the same seed, the same fleet.
class random_source {
public:
  explicit random_source(std::uint64_t Seed) : Generator(Seed) {}
  std::uint64_t next() { return Generator(); }
  /// Uniform in [0, Limit); Limit is at least 1.
  std::uint64_t below(std::uint64_t Limit) { return Generator() % Limit; }
  bool chance(std::uint32_t Permille) {
    return Permille != 0 && below(1000) < Permille;
  }
  /// Uniform in [Low, High].
  core_duration between(core_duration Low, core_duration High);

private:
  std::mt19937_64 Generator;
};

} // namespace jasminecroft::testing
