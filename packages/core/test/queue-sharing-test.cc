// Plays load at the queue of four batching servers, which make 80 pieces a
// second in full calls, and checks what callers get by urgency and workspace.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "batch-owner-fixture.h"

#include "jasminecroft/core/serving/fair_shares.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <limits>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t PiecesPerJob = 2;
constexpr int Servers = 4;

struct demand {
  std::string Workspace;
  std::uint32_t Priority = 0;
  double PiecesPerSecond = 0;
};

struct outcome {
  std::size_t Asked = 0;
  std::size_t OnTime = 0;
  double share() const {
    return static_cast<double>(OnTime) / static_cast<double>(Asked);
  }
};

/// By priority and workspace.
using outcomes = std::map<std::pair<std::uint32_t, std::string>, outcome>;

class player {
public:
  // Returns what becomes of the jobs asked for in this time.
  outcomes play(const std::vector<demand> &Demands, core_duration Time) {
    outcomes Results;
    std::vector<asked_job> Asked;
    std::vector<double> Due(Demands.size());
    for (core_time End = Test.Now + Time; Test.Now < End;) {
      for (std::size_t I = 0; I < Demands.size(); ++I)
        for (Due[I] += Demands[I].PiecesPerSecond * Step / PiecesPerJob;
             Due[I] >= 1; Due[I] -= 1)
          Asked.push_back(ask(Demands[I]));
      run();
    }
    for (core_time End = Test.Now + seconds(2); Test.Now < End;)
      run();
    for (const asked_job &Job : Asked) {
      outcome &Result = Results[{Job.Demand.Priority, Job.Demand.Workspace}];
      ++Result.Asked;
      auto Done = DoneAt.find(Job.Id);
      Result.OnTime += Done != DoneAt.end() && Done->second <= Job.DueBy;
    }
    return Results;
  }

private:
  static constexpr double Step = 0.005;

  struct asked_job {
    piece_job_id Id;
    demand Demand;
    core_time DueBy;
  };

  asked_job ask(const demand &Demand) {
    piece_job Job = batch_owner_fixture::job(++LastJob, PiecesPerJob);
    Job.Priority = Demand.Priority;
    Job.Workspace = workspace_id(Demand.Workspace);
    // A full call takes 400 ms.
    core_time DueBy = Test.Now + Job.StartBy + milliseconds(420);
    Test.submit(Job);
    return {Job.Job, Demand, DueBy};
  }

  void run() {
    Test.advance(milliseconds(5));
    std::map<batch_id, recorded_batches::call> Running = Test.Actions.Calls;
    for (const std::pair<const batch_id, recorded_batches::call> &Call :
         Running) {
      core_time Start =
          StartedAt.try_emplace(Call.first, Test.Now).first->second;
      core_duration Takes =
          milliseconds(240) +
          milliseconds(20) * static_cast<int>(Call.second.Items.size());
      if (Test.Now - Start >= Takes)
        Test.answerAll(Call.first);
    }
    for (const std::pair<const piece_job_id, std::vector<completed_piece>>
             &Job : std::exchange(Test.Actions.Completed, {}))
      DoneAt[Job.first] = Test.Now;
  }

  batch_owner_fixture Test{Servers};
  std::uint64_t LastJob = 0;
  std::map<batch_id, core_time> StartedAt;
  std::map<piece_job_id, core_time> DoneAt;
};

std::vector<demand> eightWorkspaces(double First) {
  std::vector<demand> Demands = {{"w0", 0, First}};
  for (int I = 1; I < 8; ++I)
    Demands.push_back({"w" + std::to_string(I), 0, 8});
  return Demands;
}

// On-time share of all workspaces but the first.
double shareOfOthers(player &Player, double First, core_duration Time) {
  outcome Others;
  for (const outcomes::value_type &Entry :
       Player.play(eightWorkspaces(First), Time))
    if (Entry.first.second != "w0") {
      Others.Asked += Entry.second.Asked;
      Others.OnTime += Entry.second.OnTime;
    }
  return Others.share();
}

} // namespace

// Answers the crest of a day with three kinds: 2.8 times the usual load of 60
// pieces a second for 8 s. The most urgent kind is a quarter of it.
TEST_CASE("at a crest the urgent are on time, and never less than others") {
  player Player;
  auto Results =
      Player.play({{"w", 0, 42}, {"w", 1, 63}, {"w", 2, 63}}, seconds(8));
  double First = Results[{0, "w"}].share();
  double Second = Results[{1, "w"}].share();
  double Third = Results[{2, "w"}].share();
  CAPTURE(Second);
  CAPTURE(Third);
  CHECK(First >= 0.95);
  CHECK(First >= Second);
  CHECK(Second >= Third);
}

// Answers one of eight workspaces that wants ten times its usual 8 pieces a
// second for 8 s: together 136 of 80.
TEST_CASE("a workspace at ten times its demand costs others a point at most") {
  player Player;
  double Before = shareOfOthers(Player, 8, seconds(8));
  double After = shareOfOthers(Player, 80, seconds(8));
  CAPTURE(Before);
  CHECK(After >= Before - 0.01);
}

TEST_CASE("a workspace alone takes everything") {
  player Player;
  outcome Alone = Player.play({{"w", 0, 70}}, seconds(8))[{0, "w"}];
  CHECK(Alone.share() >= 0.95);
}

TEST_CASE("the level of shares leaves small demands whole") {
  share_demands Demands;
  Demands[workspace_id("a")] = {1, 1};
  Demands[workspace_id("b")] = {10, 1};
  Demands[workspace_id("c")] = {10, 2};
  CHECK(shareLevel(Demands, 10) == 3);
  CHECK(shareLevel(Demands, 21) == std::numeric_limits<double>::infinity());
  CHECK(shareLevel({}, 0) == std::numeric_limits<double>::infinity());
}
