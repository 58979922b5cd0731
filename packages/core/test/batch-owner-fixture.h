// A queue owner between recorded actions, for tests.
#pragma once

#include "jasminecroft/core/serving/batch_owner.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminecroft {

/// Keeps what the owner asked for.
class recorded_batches final : public batch_actions {
public:
  struct call {
    backend_entry Server;
    std::vector<batch_item> Items;
  };

  void runBatch(batch_id Batch, const backend_entry &Server,
                std::vector<batch_item> Items, core_duration) override {
    Calls.emplace(Batch, call{Server, std::move(Items)});
  }
  void freeResults(const backend_entry &Server,
                   std::vector<result_handle> Results) override {
    for (result_handle &Result : Results)
      Freed[Server.Id].push_back(std::move(Result));
  }
  void readServer(const backend_entry &Server) override {
    LoadQuestions.push_back(Server.Id);
  }
  void onPiecesMade(const entry_host_id &, const piece_job &Job,
                    std::vector<made_piece> Pieces) override {
    Made[Job.Job] = std::move(Pieces);
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
  std::vector<backend_id> LoadQuestions;
  std::map<piece_job_id, std::vector<made_piece>> Made;
  std::map<piece_job_id, piece_failure> Failed;
  std::vector<piece_job_id> Fetched;
  std::vector<batch_report> Reports;
};

/// One pool, "pool", of servers that take eight pieces a call.
class batch_owner_fixture {
public:
  explicit batch_owner_fixture(int ServerCount = 1)
      : Budget(limits()), Owner(Actions, Servers, Budget) {
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
    Job.Key = "key";
    Job.DeadlineIn = std::chrono::seconds(10);
    Job.StartBy = std::chrono::seconds(1);
    Job.ResultBytes = 1'000;
    return Job;
  }

  /// A job of a later stage, made from one result.
  static piece_job laterJob(std::uint64_t Number, std::uint32_t PieceCount) {
    piece_job Job = job(Number, PieceCount);
    Job.Key.clear();
    Job.Inputs = {result_handle("10.0.1.1:80/input")};
    return Job;
  }

  queue_wait submit(const piece_job &Job) {
    queue_wait Wait = Owner.submit(Host, Job, Now);
    Owner.pump(Now);
    sayLoads();
    return Wait;
  }

  /// Servers that were asked for their load answer with Load.
  void sayLoads() {
    for (const backend_id &Server : std::exchange(Actions.LoadQuestions, {}))
      Owner.onServerLoad(Server, Load, Now);
    Owner.pump(Now);
  }

  /// Lets time pass, with every wake-up that the owner asks for.
  void pass(core_duration Time) {
    core_time End = Now + Time;
    while (std::optional<core_time> Next = Owner.nextWakeup()) {
      if (*Next > End)
        break;
      Now = std::max(Now, *Next) + std::chrono::microseconds(100);
      Owner.pump(Now);
      sayLoads();
    }
    Now = std::max(Now, End);
  }

  /// The only call in progress.
  batch_id onlyCall() const { return Actions.Calls.begin()->first; }

  static batch_item_result made(const std::string &Handle) {
    batch_item_result Result;
    Result.Result = result_handle(Handle);
    return Result;
  }
  static batch_item_result failed(batch_item_problem Problem) {
    batch_item_result Result;
    Result.Problem = Problem;
    return Result;
  }

  void answer(batch_id Batch, const std::vector<batch_item_result> &Results) {
    Actions.Calls.erase(Batch);
    Owner.onBatchAnswered(Batch, Results, Now);
    Owner.pump(Now);
    sayLoads();
  }

  /// Answers a call with a result for each piece, named after the piece.
  void answerAll(batch_id Batch) {
    const recorded_batches::call Call = Actions.Calls.at(Batch);
    std::vector<batch_item_result> Results;
    for (const batch_item &Item : Call.Items)
      Results.push_back(made(Call.Server.Address.Value + "/" +
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
  retry_budget Budget;
  batch_owner Owner;
  host_run Host{entry_host_id("h0"), incarnation(1)};
  /// What servers say of themselves.
  pieces_load Load{false, 0, 1'500'000};
  core_time Now{std::chrono::seconds(1'000)};
};

} // namespace jasminecroft
