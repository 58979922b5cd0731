// Tests of the queue order under overload and of the wait estimates.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/queue_order.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// One server and one piece per call of 100 ms: the wait behind n pieces is
// n times 100 ms.
wait_estimator oneServer() {
  return {{{core_duration{0}, milliseconds(100)}}, 1, milliseconds(100)};
}

waiting_job job(int StartInMs, std::uint32_t Priority = 0,
                const std::string &Workspace = "w") {
  waiting_job Job;
  Job.StartIn = milliseconds(StartInMs);
  Job.DeadlineIn = Job.StartIn + seconds(5);
  Job.Pieces = 1;
  Job.Priority = Priority;
  Job.Workspace = workspace_id(Workspace);
  return Job;
}

queue_order orderIn(wait_estimator Estimator,
                    const std::vector<waiting_job> &Jobs) {
  return orderQueue(Jobs, Estimator);
}

std::vector<std::size_t> onTime(const queue_order &Order) {
  return {Order.Jobs.begin(),
          Order.Jobs.begin() + static_cast<std::ptrdiff_t>(Order.OnTime)};
}

} // namespace

TEST_CASE("jobs that can all be on time start by latest start time") {
  queue_order Order = orderIn(oneServer(), {job(900), job(0), job(400)});
  CHECK(Order.Jobs == std::vector<std::size_t>{1, 2, 0});
  CHECK(Order.OnTime == 3);
}

TEST_CASE("a more urgent job goes first unless that makes another one late") {
  queue_order Order = orderIn(oneServer(), {job(900), job(0, 2), job(400, 1)});
  CHECK(Order.Jobs == std::vector<std::size_t>{1, 0, 2});
  CHECK(Order.OnTime == 3);
  Order = orderIn(oneServer(), {job(900), job(150, 2), job(150, 1)});
  CHECK(Order.Jobs == std::vector<std::size_t>{2, 1, 0});
  CHECK(Order.OnTime == 3);
}

TEST_CASE("late jobs are ordered by urgency, then by completed work") {
  std::vector<waiting_job> Jobs = {job(-30, 1), job(-10, 0), job(-20, 1),
                                   job(300, 2)};
  Jobs[2].HasProgress = true;
  queue_order Order = orderIn(oneServer(), Jobs);
  CHECK(Order.Jobs == std::vector<std::size_t>{3, 1, 2, 0});
  CHECK(Order.OnTime == 1);
}

TEST_CASE("the wait includes queued calls and the servers' calls in flight") {
  wait_estimator Estimator({{milliseconds(10), milliseconds(400)},
                            {milliseconds(60), milliseconds(400)}},
                           8, milliseconds(400));
  CHECK(Estimator.waitBehind(0) == milliseconds(10));
  CHECK(Estimator.waitBehind(7) == milliseconds(10));
  CHECK(Estimator.waitBehind(8) == milliseconds(60));
  CHECK(Estimator.waitBehind(16) == milliseconds(410));
}

TEST_CASE("a slow server takes fewer calls and completes them later") {
  wait_estimator Estimator({{milliseconds(0), milliseconds(100)},
                            {milliseconds(0), milliseconds(350)}},
                           1, milliseconds(100));
  CHECK(Estimator.waitBehind(2) == milliseconds(200));
  CHECK(Estimator.waitBehind(3) == milliseconds(250));
  CHECK(Estimator.waitBehind(4) == milliseconds(300));
}

TEST_CASE("under overload the least urgent jobs are demoted") {
  std::vector<waiting_job> Jobs;
  Jobs.reserve(10);
  for (int I = 0; I < 10; ++I)
    Jobs.push_back(job(400, I % 2 == 0 ? 2 : 0));
  queue_order Order = orderIn(oneServer(), Jobs);
  REQUIRE(Order.OnTime == 5);
  for (std::size_t Job : onTime(Order))
    CHECK(Jobs[Job].Priority == 0);
}

TEST_CASE("a more urgent job with a later start demotes a less urgent one") {
  std::vector<waiting_job> Jobs = {job(0, 1), job(100, 1), job(150, 0)};
  queue_order Order = orderIn(oneServer(), Jobs);
  CHECK(Order.OnTime == 2);
  CHECK(onTime(Order).back() == 2);
}

TEST_CASE("among equals the workspace with the most pieces ahead is demoted") {
  std::vector<waiting_job> Jobs(8, job(300, 0, "large"));
  Jobs.push_back(job(300, 0, "small"));
  Jobs.push_back(job(300, 0, "small"));
  queue_order Order = orderIn(oneServer(), Jobs);
  std::vector<std::size_t> First = onTime(Order);
  REQUIRE(First.size() == 4);
  CHECK(std::count(First.begin(), First.end(), 8) == 1);
  CHECK(std::count(First.begin(), First.end(), 9) == 1);
}

TEST_CASE("a job with completed work is not demoted before one without") {
  std::vector<waiting_job> Jobs = {job(0), job(0)};
  Jobs[1].HasProgress = true;
  queue_order Order = orderIn(oneServer(), Jobs);
  CHECK(Order.OnTime == 1);
  CHECK(Order.Jobs == std::vector<std::size_t>{1, 0});
}

TEST_CASE("late jobs come last, expedited ones first") {
  std::vector<waiting_job> Jobs = {job(-10), job(500), job(-20)};
  Jobs[2].Expedited = true;
  queue_order Order = orderIn(oneServer(), Jobs);
  CHECK(Order.Jobs == std::vector<std::size_t>{2, 1, 0});
  CHECK(Order.OnTime == 2);
}

TEST_CASE("each job is ordered once, and those on time start in time") {
  CHECK(rc::check([] {
    std::vector<waiting_job> Jobs;
    for (int I = *rc::gen::inRange(0, 40); I > 0; --I) {
      waiting_job Job = job(*rc::gen::inRange(-200, 3'000),
                            static_cast<std::uint32_t>(*rc::gen::inRange(0, 4)),
                            std::string(1, *rc::gen::inRange('a', 'e')));
      Job.Pieces = *rc::gen::inRange<std::size_t>(1, 12);
      Job.HasProgress = *rc::gen::arbitrary<bool>();
      Jobs.push_back(Job);
    }
    std::vector<wait_estimator::server> Servers;
    for (int I = *rc::gen::inRange(1, 5); I > 0; --I)
      Servers.push_back({milliseconds(*rc::gen::inRange(0, 300)),
                         milliseconds(*rc::gen::inRange(200, 900))});
    wait_estimator Estimator(Servers, *rc::gen::inRange<std::size_t>(1, 16),
                             milliseconds(400));
    queue_order Order = orderQueue(Jobs, Estimator);
    RC_ASSERT(
        std::set<std::size_t>(Order.Jobs.begin(), Order.Jobs.end()).size() ==
        Jobs.size());
    RC_ASSERT(Order.Jobs.size() == Jobs.size());
    std::size_t Before = 0;
    for (std::size_t Job : onTime(Order)) {
      RC_ASSERT(Estimator.waitBehind(Before) <= Jobs[Job].StartIn);
      Before += Jobs[Job].Pieces;
    }
  }));
}
