// Test fixture: a batch owner with recorded callbacks.
#pragma once

#include "jasminecroft/core/serving/batch_owner.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminecroft {

/// Records the owner's callbacks.
class recorded_batches final : public batch_actions {
public:
  struct call {
    backend_entry Server;
    std::vector<batch_item> Items;
  };

  void runBatch(batch_id Batch, call_permit Permit,
                std::vector<batch_item> Items, core_duration) override {
    Calls.emplace(Batch, call{Permit.server(), std::move(Items)});
  }
  void freeResults(call_permit Permit,
                   std::vector<result_handle> Results) override {
    for (result_handle &Result : Results)
      Freed[Permit.server().Id].push_back(std::move(Result));
  }
  void readServer(call_permit Permit) override {
    LoadQueries.push_back(Permit.server().Id);
  }
  void onPiecesCompleted(const entry_host_id &, const piece_job &Job,
                         std::vector<completed_piece> Pieces) override {
    Completed[Job.Job] = std::move(Pieces);
  }
  void onJobFailed(const entry_host_id &, piece_job_id Job,
                   piece_failure Failure) override {
    Failed.emplace(Job, Failure);
  }
  void onInputsFetched(const entry_host_id &, piece_job_id Job) override {
    Fetched.push_back(Job);
  }
  void onBatchEnded(const batch_report &Report) override {
    Reports.push_back(Report);
  }

  std::map<batch_id, call> Calls;
  std::map<backend_id, std::vector<result_handle>> Freed;
  std::vector<backend_id> LoadQueries;
  std::map<piece_job_id, std::vector<completed_piece>> Completed;
  std::map<piece_job_id, piece_failure> Failed;
  std::vector<piece_job_id> Fetched;
  std::vector<batch_report> Reports;
};

/// One pool, "pool", of servers that take eight pieces per call.
class batch_owner_fixture {
public:
  explicit batch_owner_fixture(int ServerCount = 1)
      : Budget(limits()), Owner(Actions, Servers, Admission, Budget) {
    serving_pool Pool;
    Pool.Name = pool_id("pool");
    Pool.Batches = rules();
    Owner.configure({{Pool.Name, Pool}});
    for (int I = 0; I < ServerCount; ++I)
      Servers.update(server(I));
  }

  static batch_rules rules() {
    batch_rules Rules;
    Rules.MaxPieces = 8;
    Rules.CallTime = std::chrono::milliseconds(240);
    Rules.PieceTime = std::chrono::milliseconds(20);
    Rules.ResultCapacityBytes = 1'500'000;
    Rules.ResultLifetime = std::chrono::seconds(4);
    return Rules;
  }

  static backend_entry server(int Number) {
    backend_entry Entry;
    Entry.Id = backend_id("s" + std::to_string(Number));
    Entry.Pool = pool_id("pool");
    Entry.Address = endpoint("10.0.0." + std::to_string(Number) + ":80");
    Entry.Zone = zone_id("z0");
    Entry.Run = incarnation(1);
    return Entry;
  }

  static piece_job job(std::uint64_t Number, std::uint32_t PieceCount) {
    piece_job Job;
    Job.Job = piece_job_id(Number);
    Job.Request = caller_request_id("r" + std::to_string(Number));
    Job.Pool = pool_id("pool");
    for (std::uint32_t Piece = 0; Piece < PieceCount; ++Piece)
      Job.Pieces.push_back(Piece);
    Job.Source = piece_key("key");
    Job.DeadlineIn = std::chrono::seconds(10);
    Job.StartBy = std::chrono::seconds(1);
    Job.ResultBytes = 1'000;
    return Job;
  }

  /// Returns a job of a later stage, with one result as input.
  static piece_job laterJob(std::uint64_t Number, std::uint32_t PieceCount) {
    piece_job Job = job(Number, PieceCount);
    Job.Source = piece_inputs{{result_handle("10.0.1.1:80/input")}};
    return Job;
  }

  queue_wait submit(const piece_job &Job) {
    queue_wait Wait = Owner.submit(Host, Job, Now);
    Owner.dispatch(Now);
    answerLoadQueries();
    return Wait;
  }

  /// Answers pending load queries with Load.
  void answerLoadQueries() {
    for (const backend_id &Server : std::exchange(Actions.LoadQueries, {}))
      Owner.onServerLoad(Server, Load, Now);
    Owner.dispatch(Now);
  }

  /// Advances the clock and runs every wakeup that the owner requests.
  void advance(core_duration Time) {
    core_time End = Now + Time;
    while (std::optional<core_time> Next = Owner.nextWakeup()) {
      if (*Next > End)
        break;
      Now = std::max(Now, *Next) + std::chrono::microseconds(100);
      Owner.dispatch(Now);
      answerLoadQueries();
    }
    Now = std::max(Now, End);
  }

  /// Returns the only call in flight.
  batch_id onlyCall() const { return Actions.Calls.begin()->first; }

  static batch_item_result pieceResult(const std::string &Handle) {
    batch_item_result Result;
    Result.Result = result_handle(Handle);
    return Result;
  }
  static batch_item_result pieceProblem(batch_item_problem Problem) {
    batch_item_result Result;
    Result.Problem = Problem;
    return Result;
  }

  void answer(batch_id Batch, const std::vector<batch_item_result> &Results) {
    Actions.Calls.erase(Batch);
    Owner.onBatchAnswered(Batch, Results, Now);
    Owner.dispatch(Now);
    answerLoadQueries();
  }

  /// Answers a call with one result per piece, named after the piece.
  void answerAll(batch_id Batch) {
    const recorded_batches::call Call = Actions.Calls.at(Batch);
    std::vector<batch_item_result> Results;
    for (const batch_item &Item : Call.Items)
      Results.push_back(pieceResult(Call.Server.Address.Value + "/" +
                                    Item.Request.Value + "." +
                                    std::to_string(Item.Piece)));
    answer(Batch, Results);
  }

  static retry_limits limits() {
    retry_limits Limits;
    Limits.Slack = 100;
    return Limits;
  }

  recorded_batches Actions;
  backend_directory Servers;
  call_admission Admission{Servers, [](const backend_id &) { return true; }};
  retry_budget Budget;
  batch_owner Owner;
  host_run Host{entry_host_id("h0"), incarnation(1)};
  /// Load that servers report.
  pieces_load Load{false, 0, 1'500'000};
  core_time Now{std::chrono::seconds(1'000)};
};

} // namespace jasminecroft
