// The smaller parts of the policy: estimates, limits, partition, choice of
// server, budget and admission.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/detail/admission.h"
#include "jasminecroft/core/detail/policy_parts.h"
#include "policy-fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace jasminecroft;
using namespace jasminecroft::detail;
using namespace jasminecroft::test;

namespace {

constexpr double HighShare = 0.95;

core_duration ms(std::int64_t Value) {
  return std::chrono::milliseconds(Value);
}

/// Calls that a host can have at a server before the limit says no.
std::uint32_t room(in_flight_limit &Limit, replica_table &Table,
                   const char *Name, std::uint32_t Hosts) {
  backend_id Backend(Name);
  std::uint32_t Started = 0;
  while (Started < 100 &&
         Limit.hasRoom(*Table.find(Backend), Table.replicas(Pool, at(1'000)),
                       Hosts)) {
    Table.onStarted(Backend, false);
    ++Started;
  }
  return Started;
}

} // namespace

TEST_CASE("estimates follow what calls of the same size took") {
  std::unique_ptr<work_estimator> Estimator = makeObservedEstimator(HighShare);
  work_item Small = item(1);
  work_item Large = item(2);
  Large.InputBytes = 100'000;
  CHECK(!Estimator->estimate(Small).Observed);
  for (int I = 0; I < 100; ++I) {
    Estimator->observe(Small, ms(I < 90 ? 20 : 80), at(0));
    Estimator->observe(Large, ms(3'000), at(0));
  }
  work_estimate Estimate = Estimator->estimate(Small);
  CHECK(Estimate.Median > ms(16));
  CHECK(Estimate.Median < ms(25));
  CHECK(Estimate.High > ms(60));
  CHECK(Estimator->estimate(Large).Median > ms(2'500));
}

TEST_CASE("a low estimate nobody confirms stops turning work away") {
  std::unique_ptr<work_estimator> Estimator = makeObservedEstimator(HighShare);
  work_item Slow = item(1);
  Estimator->observe(Slow, ms(6'000), at(0));
  Slow.Arrived = at(1'000);
  CHECK(Estimator->estimate(Slow).Low > ms(5'000));
  Slow.Arrived = at(6'000);
  CHECK(Estimator->estimate(Slow).Low == ms(0));
  CHECK(Estimator->estimate(Slow).Median > ms(5'000));
  // Nor does its long estimate: the work may wait for its slot.
  Slow.Deadline = at(11'000);
  CHECK(makeFeasibleOnly()->giveUpAt(Slow, Estimator->estimate(Slow), ms(0)) ==
        Slow.Deadline);
  Estimator->observe(Slow, ms(20), at(6'020));
  Slow.Arrived = at(6'100);
  CHECK(Estimator->estimate(Slow).Low < ms(30));
}

TEST_CASE("a call of unseen size is estimated by its token limit") {
  std::unique_ptr<work_estimator> Estimator = makeObservedEstimator(HighShare);
  work_item Short = item(1);
  Short.TokenLimit = 64;
  for (int I = 0; I < 200; ++I)
    Estimator->observe(Short, ms(320), at(0));
  work_item Long = item(2);
  Long.Pipeline = pipeline_id("other");
  Long.TokenLimit = 4'096;
  CHECK(Estimator->estimate(Long).Median > ms(10'000));
}

TEST_CASE("hosts together do not overfill a server, one alone may fill it") {
  std::unique_ptr<in_flight_limit> Limit = makeSharedLimit();
  fake_directory Directory;
  Directory.add("s", 8);
  Directory.Hosts = 4;
  // All hosts want all: the report shows the server full.
  Directory.Views[0].ReportedInFlight = 8;
  std::uint32_t Together = 0;
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    replica_table Table(Directory, Home, Seed);
    Table.replicas(Pool, at(0));
    Together += room(*Limit, Table, "s", 4);
  }
  CHECK(Together >= 8);
  CHECK(Together <= 12);

  Directory.Views[0].ReportedInFlight = 0;
  replica_table Alone(Directory, Home, 1);
  Alone.replicas(Pool, at(0));
  CHECK(room(*Limit, Alone, "s", 4) >= 5);
}

TEST_CASE("a server that is slow gets less, and none while others are well") {
  std::unique_ptr<in_flight_limit> Limit = makeSharedLimit();
  fake_directory Directory;
  for (const char *Name : {"a", "b", "c"})
    Directory.add(Name, 8);
  replica_table Table(Directory, Home, 1);
  Table.replicas(Pool, at(0));
  for (int I = 0; I < 20; ++I)
    Table.observe(backend_id("b"), 5);
  Table.replicas(Pool, at(500));
  CHECK(room(*Limit, Table, "b", 1) == 0);
  CHECK(room(*Limit, Table, "a", 1) >= 8);
}

TEST_CASE("the only server of a pool is used even if it is slow") {
  std::unique_ptr<in_flight_limit> Limit = makeSharedLimit();
  fake_directory Directory;
  Directory.add("only", 4);
  replica_table Table(Directory, Home, 1);
  Table.replicas(Pool, at(0));
  for (int I = 0; I < 20; ++I)
    Table.observe(backend_id("only"), 8);
  CHECK(room(*Limit, Table, "only", 1) >= 1);
}

TEST_CASE("slowness is forgotten without new observations") {
  fake_directory Directory;
  for (const char *Name : {"a", "b", "c"})
    Directory.add(Name);
  replica_table Table(Directory, Home, 1);
  Table.replicas(Pool, at(0));
  for (int I = 0; I < 20; ++I)
    Table.observe(backend_id("a"), 5);
  Table.replicas(Pool, at(100));
  CHECK(Table.find(backend_id("a"))->Slowness > SlowServerThreshold);
  for (std::int64_t Now = 200; Now < 60'000; Now += 200)
    Table.replicas(Pool, at(Now));
  CHECK(Table.find(backend_id("a"))->Slowness < SlowServerThreshold);
}

TEST_CASE("long work is bounded while short work comes, else it is not") {
  std::unique_ptr<long_work_partition> Partition = makeBoundedPartition();
  fake_directory Directory;
  Directory.add("s", 10);
  replica_table Table(Directory, Home, 1);
  const pool_replicas &Replicas = Table.replicas(Pool, at(0));
  replica_record &Server = *Table.find(backend_id("s"));
  long_work_view View{Replicas, 0, 1, false, true, 0.3};
  std::uint32_t WithShort = 0;
  while (WithShort < 20 && Partition->mayStart(Server, View)) {
    Table.onStarted(Server.View.Backend, true);
    View.OwnLong = ++WithShort;
  }
  CHECK(WithShort >= 3);
  CHECK(WithShort <= 5);
  View.ShortLately = false;
  std::uint32_t Alone = WithShort;
  while (Alone < 20 && Partition->mayStart(Server, View)) {
    Table.onStarted(Server.View.Backend, true);
    View.OwnLong = ++Alone;
  }
  CHECK(Alone >= 9);
  CHECK(Alone <= 10);
}

TEST_CASE("the choice keeps to the own zone, to room and to Avoid") {
  std::unique_ptr<replica_choice> Choice = makeSampledChoice(1);
  fake_directory Directory;
  Directory.add("away", 4, Away);
  Directory.add("home1");
  Directory.add("home2");
  replica_table Table(Directory, Home, 1);
  const pool_replicas &Replicas = Table.replicas(Pool, at(0));
  work_item Item = item(1);
  Item.Avoid.insert(backend_id("home1"));
  choice_request Request{Item,     ms(10),
                         Replicas, true,
                         false,    [](const replica_record &) { return true; }};
  for (int I = 0; I < 20; ++I)
    CHECK(Choice->choose(Request)->View.Backend == backend_id("home2"));
  Request.HasRoom = [](const replica_record &Replica) {
    return !Replica.OwnZone;
  };
  CHECK(Choice->choose(Request)->View.Backend == backend_id("away"));
  Request.MaySpill = false;
  CHECK(!Choice->choose(Request));
}

TEST_CASE("the same prefix goes to the same server until that is loaded") {
  std::unique_ptr<replica_choice> Choice = makeSampledChoice(1);
  fake_directory Directory;
  for (const char *Name : {"a", "b", "c", "d"})
    Directory.add(Name, 8);
  replica_table Table(Directory, Home, 1);
  const pool_replicas &Replicas = Table.replicas(Pool, at(0));
  work_item Item = item(1);
  Item.PrefixHash = 77;
  choice_request Request{Item,     ms(10),
                         Replicas, true,
                         true,     [](const replica_record &) { return true; }};
  std::map<backend_id, int> Chosen;
  for (int I = 0; I < 100; ++I)
    ++Chosen[Choice->choose(Request)->View.Backend];
  auto Most = std::max_element(Chosen.begin(), Chosen.end(),
                               [](const std::pair<const backend_id, int> &A,
                                  const std::pair<const backend_id, int> &B) {
                                 return A.second < B.second;
                               });
  backend_id Preferred = Most->first;
  CHECK(Most->second >= 85);
  for (int I = 0; I < 6; ++I)
    Table.onStarted(Preferred, false);
  CHECK(Choice->choose(Request)->View.Backend != Preferred);
}

TEST_CASE("second attempts are paid from a share of the first ones' work") {
  std::unique_ptr<retry_budget> Budget = makeTokenBudget();
  Budget->configure(0.04);
  double Initial = 0;
  while (Budget->spend(work_units{10}))
    Initial += 10;
  CHECK(Initial <= 1'000);
  for (int I = 0; I < 1'000; ++I)
    Budget->onFirstAttempt(work_units{100});
  double Spent = 0;
  while (Budget->spend(work_units{10}))
    Spent += 10;
  CHECK(Spent <= 0.04 * 100'000 + 10);
  CHECK(Spent >= 0.04 * 100'000 - 20);
}

TEST_CASE("a request is refused at once if the work ahead leaves no time") {
  std::unique_ptr<admission_policy> Admission = makeFeasibleOnly();
  stage_outlook Stage{ms(50), ms(100), work_units{1'000}, 2};
  CHECK(!Admission->admit({Stage}, ms(1'000)));
  Stage.Ahead = work_units{10'000};
  std::optional<rejection> Rejected = Admission->admit({Stage}, ms(1'000));
  REQUIRE(Rejected);
  CHECK(Rejected->Code == error_code::Overloaded);
  CHECK(Rejected->RetryAfter > core_duration::zero());
  Rejected = Admission->admit({{ms(50), ms(100), {}, 1}}, ms(40));
  REQUIRE(Rejected);
  CHECK(Rejected->Code == error_code::DeadlineInfeasible);
}
