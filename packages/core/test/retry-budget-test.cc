// Tests of the retry budget, for one host and for the whole fleet.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/retry_budget.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id Pool("pool");

} // namespace

TEST_CASE("all hosts together stay within the fleet's limits in any window") {
  CHECK(rc::check("fleet-wide bound", [] {
    retry_limits Limits;
    Limits.Ratio = 0.2;
    Limits.Slack = *rc::gen::inRange<std::uint32_t>(0, 60);
    std::uint32_t Hosts = *rc::gen::inRange<std::uint32_t>(1, 9);
    std::vector<retry_budget> Budgets(Hosts, retry_budget(Limits));
    struct moment {
      core_time At;
      bool Retry;
    };
    std::vector<moment> Moments;
    core_time Now{seconds(1'000)};
    std::size_t Steps = *rc::gen::inRange<std::size_t>(1, 600);
    for (std::size_t Step = 0; Step < Steps; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 120));
      retry_budget &Budget =
          Budgets[*rc::gen::inRange<std::size_t>(0, Budgets.size())];
      if (*rc::gen::inRange(0, 3) == 0) {
        Budget.onRequest(Pool, Now);
        Moments.push_back({Now, false});
      } else if (Budget.tryAcquire(Pool, Hosts, Now)) {
        Moments.push_back({Now, true});
      }
    }
    // Requests count in the window and the one before it.
    for (const moment &End : Moments) {
      std::size_t Retries = 0;
      std::size_t Requests = 0;
      for (const moment &Moment : Moments) {
        if (Moment.At > End.At)
          break;
        if (Moment.Retry && Moment.At > End.At - Limits.Window)
          ++Retries;
        if (!Moment.Retry && Moment.At > End.At - 2 * Limits.Window)
          ++Requests;
      }
      RC_ASSERT(static_cast<double>(Retries) <=
                Limits.Ratio * static_cast<double>(Requests) + Limits.Slack);
    }
  }));
}

TEST_CASE("the budget is restored after the window") {
  retry_limits Limits;
  Limits.Slack = 10;
  retry_budget Budget(Limits);
  core_time Now{seconds(100)};
  std::size_t Taken = 0;
  while (Budget.tryAcquire(Pool, 1, Now))
    ++Taken;
  CHECK(Taken > 0);
  CHECK_FALSE(Budget.tryAcquire(Pool, 1, Now + seconds(5)));
  CHECK(Budget.tryAcquire(Pool, 1, Now + seconds(11)));
}
