// Inputs of stages that share the results of another stage: what a job is
// submitted with when these results are lost, and what is made again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t FirstPieces = 2;

/// A host whose requests have one stage and several that depend on it. Other
/// hosts own all queues, each of another one.
class shared_inputs_fixture : public serving_fixture {
public:
  explicit shared_inputs_fixture(std::size_t Later) : Later(Later) {
    std::shared_ptr<route_config> Config = config();
    std::vector<route_stage> &Stages = Config->Routes[4].Stages;
    Config->Routes[4].Timeout = seconds(10);
    Config->Routes[4].Goal = seconds(10);
    Stages = {{pool_id("first"), {}, 100'000}};
    for (std::size_t I = 0; I < Later; ++I) {
      Stages.push_back({laterPool(I), {0}, 60'000});
      Config->Pools[laterPool(I)] = Config->Pools[pool_id("second")];
      Config->Pools[laterPool(I)].Name = laterPool(I);
    }
    Core.onConfig(Config, "text", Now);
    addServers("engine", 3);
    addServers("first", 2);
    for (std::size_t I = 0; I < Later; ++I)
      addServers(laterPool(I).Value.c_str(), 1);
    for (int I = 1; I < 12; ++I)
      Core.onHost({entry_host_id("h" + std::to_string(I)), zone_id("z0"),
                   endpoint("h:1"), 1'000'000},
                  Now);
    std::vector<std::uint32_t> Pieces(1 + Later, 1);
    Pieces[0] = FirstPieces;
    Request = sendRequest("staged", Pieces);
  }

  static pool_id laterPool(std::size_t Number) {
    return pool_id("later" + std::to_string(Number));
  }

  /// Returns the job that was submitted last for a stage.
  std::pair<entry_host_id, piece_job> lastJob(std::uint32_t Stage) const {
    std::pair<entry_host_id, piece_job> Last;
    for (const std::pair<entry_host_id, piece_job> &Job : requestedJobs())
      if (Job.second.Stage == Stage)
        Last = Job;
    return Last;
  }

  /// Counts the jobs that a stage has had.
  std::size_t jobsOf(std::uint32_t Stage) const {
    std::set<piece_job_id> Jobs;
    for (const std::pair<entry_host_id, piece_job> &Job : requestedJobs())
      if (Job.second.Stage == Stage)
        Jobs.insert(Job.second.Job);
    return Jobs.size();
  }

  void accept(std::uint32_t Stage) {
    const std::pair<entry_host_id, piece_job> Job = lastJob(Stage);
    from(Job.first, pieces_accepted{Job.second.Job, {}});
  }

  void complete(std::uint32_t Stage) {
    const std::pair<entry_host_id, piece_job> Job = lastJob(Stage);
    std::vector<completed_piece> Made;
    for (std::uint32_t Piece : Job.second.Pieces)
      Made.push_back({Piece,
                      result_handle("10.0.0.0:80/s" + std::to_string(Stage) +
                                    "." + std::to_string(++LastMade)),
                      zone_id("z0")});
    from(Job.first,
         pieces_completed{Job.second.Job, Job.second.Request, std::move(Made)});
  }

  void fail(std::uint32_t Stage, piece_failure Failure) {
    const std::pair<entry_host_id, piece_job> Job = lastJob(Stage);
    from(Job.first, pieces_failed{Job.second.Job, Failure});
  }

  void from(const entry_host_id &Host, const peer_body &Body) {
    Core.onPeer({Host, incarnation(1)}, Body, Now);
  }

  /// Submits all jobs of later stages, accepted by their owners.
  void startLaterStages() {
    accept(0);
    complete(0);
    for (std::uint32_t Stage = 1; Stage <= Later; ++Stage)
      accept(Stage);
  }

  /// Every job of a later stage names all results of the first one.
  void checkInputs() const {
    for (const std::pair<entry_host_id, piece_job> &Job : requestedJobs()) {
      CAPTURE(Job.second.Stage);
      CHECK(resultsOf(Job.second.Source).size() ==
            (Job.second.Stage == 0 ? 0 : FirstPieces));
    }
  }

  /// Completes all stages; the request is sent with all final results.
  void checkServed() {
    for (std::uint32_t Stage = 0; Stage <= Later; ++Stage)
      complete(Stage);
    REQUIRE(Actions.Forwards.size() == 1);
    CHECK(lastForward().Inputs.size() == Later);
    CHECK(Actions.Refusals[Request].empty());
  }

  std::size_t Later;
  request_id Request;

private:
  std::uint64_t LastMade = 0;
};

} // namespace

// Guards against MIXED of review case 6: a later stage asked for without the
// results that another later stage had reported lost.
TEST_CASE("a stage is not submitted without its inputs while they are made "
          "again") {
  shared_inputs_fixture Test(2);
  Test.startLaterStages();
  Test.fail(1, piece_failure::InputGone);
  REQUIRE(Test.jobsOf(0) == 2);
  const entry_host_id Owner = Test.lastJob(2).first;
  SUBCASE("and the owner of its queue does not respond") {
    for (int I = 0; I < 4; ++I) {
      Test.advance(milliseconds(400));
      Test.accept(0);
    }
  }
  SUBCASE("and the owner of its queue is unreachable") {
    Test.advance(milliseconds(1'100));
    Test.Core.onPeerUnreachable(Owner, Test.Now);
  }
  SUBCASE("and its job is checked") {
    Test.advance(milliseconds(500));
    Test.from(Owner, host_heartbeat{});
    Test.advance(milliseconds(300));
  }
  SUBCASE("and another host owns its queue") {
    Test.fail(2, piece_failure::OwnerChanged);
  }
  CHECK(Test.jobsOf(2) == 1);
  Test.checkInputs();
  Test.checkServed();
  Test.checkInputs();
}

TEST_CASE("results that several stages report lost are made again once") {
  shared_inputs_fixture Test(3);
  Test.startLaterStages();
  for (std::uint32_t Stage = 1; Stage <= 3; ++Stage)
    Test.fail(Stage, piece_failure::InputGone);
  CHECK(Test.jobsOf(0) == 2);
  Test.checkInputs();
  Test.checkServed();
  CHECK(Test.jobsOf(0) == 2);
}

TEST_CASE("a late report of lost inputs leaves results that were made since") {
  shared_inputs_fixture Test(2);
  Test.startLaterStages();
  // Its call has fetched the first results before they are lost.
  Test.from(Test.lastJob(2).first, inputs_fetched{Test.lastJob(2).second.Job});
  Test.fail(1, piece_failure::InputGone);
  Test.complete(0);
  REQUIRE(Test.jobsOf(0) == 2);
  REQUIRE(Test.jobsOf(1) == 2);
  Test.fail(2, piece_failure::InputGone);
  CHECK(Test.jobsOf(0) == 2);
  CHECK(Test.jobsOf(1) == 2);
  CHECK(Test.jobsOf(2) == 2);
  Test.checkInputs();
  Test.complete(1);
  Test.complete(2);
  CHECK(Test.Actions.Forwards.size() == 1);
}

TEST_CASE("a job that goes to another host is not submitted with released "
          "inputs") {
  shared_inputs_fixture Test(1);
  Test.startLaterStages();
  const std::pair<entry_host_id, piece_job> Job = Test.lastJob(1);
  Test.from(Job.first, inputs_fetched{Job.second.Job});
  REQUIRE(Test.released() == FirstPieces);
  Test.fail(1, piece_failure::OwnerChanged);
  CHECK(Test.jobsOf(0) == 2);
  CHECK(Test.jobsOf(1) == 1);
  Test.checkServed();
  Test.checkInputs();
}

TEST_CASE("a stage that a route names twice gives its results once") {
  serving_fixture Test;
  Test.addAllPools();
  std::shared_ptr<route_config> Config = serving_fixture::config(2);
  Config->Routes[4].Stages[1].After = {0, 0};
  Test.Core.onConfig(Config, "text", Test.Now);
  Test.sendRequest("staged", {2, 1});
  Test.completeStage(0);
  REQUIRE(Test.Actions.Pieces.size() == 1);
  CHECK(resultsOf(Test.Actions.Pieces.begin()->second.Items[0].Source).size() ==
        2);
}

TEST_CASE("a stage after omitted stages has inputs, none of them, and no key") {
  serving_fixture Test;
  Test.addAllPools();
  Test.sendRequest("staged", {0, 1});
  REQUIRE(Test.Actions.Pieces.size() == 1);
  CHECK(Test.Actions.Pieces.begin()->second.Items[0].Source ==
        piece_source(piece_inputs()));
}

// Reports of an owner name the host and the job, not the host's run.
TEST_CASE("a late report of a job of a host's earlier run meets no other job") {
  std::set<piece_job_id> Jobs;
  // The last run's clock went back.
  for (std::uint64_t Run :
       std::vector<std::uint64_t>{1'788'349'343'886, 1'788'349'343'887, 41}) {
    recorded_actions Actions;
    serving_settings Settings = serving_fixture::settings("h0");
    Settings.Self.Run = incarnation(Run);
    core_time Now{seconds(1'000)};
    serving_core Core(Settings, Actions);
    Core.start(Now);
    Core.onHostsRead(Now);
    Core.onConfig(serving_fixture::config(), "text", Now);
    for (const char *Pool : {"engine", "first", "second"}) {
      backend_entry Server;
      Server.Id = backend_id(Pool);
      Server.Pool = pool_id(Pool);
      Core.onBackend(Server, Now);
    }
    Core.onHost(
        {entry_host_id("h1"), zone_id("z0"), endpoint("h1:1"), 1'000'000'000},
        Now);
    serving_request Request;
    Request.Number = request_id(1);
    Request.CallerId = caller_request_id("r");
    std::shared_ptr<caller_message> Message =
        std::make_shared<caller_message>();
    Message->Hostname = "a.example";
    Message->Target = "/staged/";
    Request.Message = std::move(Message);
    Request.Key = workspace_key("key");
    Request.Pieces = {1, 1};
    Core.onRequest(std::move(Request), Now);
    for (const std::pair<entry_host_id, peer_body> &Sent : Actions.Sent)
      if (const piece_request *Body = std::get_if<piece_request>(&Sent.second))
        Jobs.insert(Body->Job.Job);
  }
  CHECK(Jobs.size() == 3);
}
