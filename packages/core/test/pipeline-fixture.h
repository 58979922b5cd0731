// A request pipeline with a scripted scheduler and a fake claim store, for
// tests of requests and attempts.
#pragma once

#include "claim-fixture.h"

#include "jasminecroft/core/detail/request_pipeline.h"

#include <deque>
#include <memory>
#include <set>

namespace pipeline_fixture {

using namespace jasminecroft;
using namespace jasminecroft::detail;
using claim_fixture::fake_store;
using ms = std::chrono::milliseconds;

// FIFO scheduler; the test sets the backend server and the number of retries.
class scripted_scheduler final : public work_scheduler {
public:
  void configure(const fleet_config &) override {}
  std::optional<rejection> admit(const work_item &, const pipeline_definition &,
                                 core_time, core_time) override {
    return Rejection;
  }
  std::optional<rejection> submit(const work_item &Item, core_time) override {
    Queue.push_back(Item.Work);
    Known.insert(Item.Work);
    return SubmitRejection;
  }
  void withdraw(work_id Work, core_time) override {
    Known.erase(Work);
    std::erase(Queue, Work);
    std::erase(HedgeQueue, Work);
  }
  std::optional<dispatch_decision> nextDispatch(core_time) override {
    if (DispatchPaused)
      return std::nullopt;
    std::deque<work_id> &From = Queue.empty() ? HedgeQueue : Queue;
    if (From.empty())
      return std::nullopt;
    dispatch_decision Decision;
    Decision.Hedge = Queue.empty();
    Decision.Work = From.front();
    From.pop_front();
    Decision.Replica.Backend = backend_id(NextBackend);
    return Decision;
  }
  void onStarted(work_id Work, const backend_id &, attempt_id Attempt,
                 core_time) override {
    Running[Attempt] = Work;
  }
  void onEnded(attempt_id Attempt, attempt_result, core_time) override {
    Running.erase(Attempt);
  }
  bool mayRetry(work_id, core_time) override { return Retries-- > 0; }
  void requeue(work_id Work, const backend_id &, core_time) override {
    Queue.push_back(Work);
  }
  std::vector<work_id> expired(core_time) override {
    std::vector<work_id> Late;
    Late.swap(Expired);
    return Late;
  }
  std::optional<core_time> nextWakeup() const override { return {}; }

  std::optional<rejection> Rejection;
  std::optional<rejection> SubmitRejection;
  std::deque<work_id> Queue;
  std::deque<work_id> HedgeQueue;
  std::vector<work_id> Expired;
  std::set<work_id> Known;
  std::map<attempt_id, work_id> Running;
  std::string NextBackend = "b1";
  int Retries = 0;
  bool DispatchPaused = false;
};

// Answers and stream pieces that a caller received.
struct caller_record {
  std::vector<final_answer> Answers;
  std::string Text;
  std::uint64_t Pieces = 0;
  bool InSequence = true;
};

// A request pipeline, its claim manager and the actions they emitted.
struct harness {
  harness()
      : Context(claim_fixture::settingsOf("e1", 1)), Members(Context),
        Registry(Context, Members) {
    std::unique_ptr<scripted_scheduler> Owned =
        std::make_unique<scripted_scheduler>();
    Scheduler = Owned.get();
    Pipeline =
        std::make_unique<request_pipeline>(Context, Registry, std::move(Owned));
    Claims =
        std::make_unique<claim_manager>(Context, Store, Members, *Pipeline);
    Pipeline->setClaimManager(*Claims);
    Context.begin(core_time{});
  }

  // Configures pipeline "x" with one stage for each letter. Capital letters
  // are non-repeatable stages.
  void configure(const std::string &Stages) {
    fleet_config Config;
    Config.Version = config_version(1);
    Config.Workspaces.insert(workspace_id("w"));
    Config.Defaults[setting_key::MaxBodyBytes] = 100;
    pipeline_definition Definition{pipeline_id("x"), {}};
    for (char Letter : Stages)
      Definition.Stages.push_back(
          {stage_id(std::string(1, Letter)), pool_id("p"), Letter >= 'a'});
    Config.Pipelines[Definition.Name] = Definition;
    Pipeline->configure(Config);
  }

  static request_received call(std::uint64_t Id) {
    request_received Call;
    Call.Request = request_id(Id);
    Call.Workspace = workspace_id("w");
    Call.Pipeline = pipeline_id("x");
    Call.Body = "in";
    Call.Remaining = ms(1000);
    return Call;
  }
  static request_received keyed(std::uint64_t Id,
                                std::optional<std::uint32_t> AttemptNumber) {
    request_received Call = call(Id);
    Call.Key = idempotency_key("k");
    Call.AttemptNumber = AttemptNumber;
    return Call;
  }

  void request(const request_received &Call) {
    Pipeline->onRequest(Call);
    collect();
  }
  void succeed(attempt_id Attempt, const std::string &Output) {
    Pipeline->onSucceeded({Attempt, Output, 0, 0});
    collect();
  }
  void fail(attempt_id Attempt, backend_error Error) {
    Pipeline->onFailed({Attempt, Error, {}});
    collect();
  }
  void piece(attempt_id Attempt, std::uint64_t Sequence,
             const std::string &Text) {
    Pipeline->onPiece({Attempt, Sequence, Text});
    collect();
  }
  void end(attempt_id Attempt, std::uint64_t Count, const std::string &Whole) {
    std::uint64_t Digest = XXH3_64bits(Whole.data(), Whole.size());
    Pipeline->onSucceeded({Attempt, "", Count, Digest});
    collect();
  }
  void callerGone(std::uint64_t Id) {
    Pipeline->onCallerGone({request_id(Id)});
    collect();
  }
  void answerStoreCalls() {
    Store.answerAllCalls();
    collect();
  }
  void advance(ms By) {
    Context.begin(Context.now() + By);
    Claims->onWakeup();
    Pipeline->onWakeup();
    collect();
  }
  attempt_id last() const { return Started.back().Attempt; }
  const final_answer &answer(std::uint64_t Id) {
    return Callers[request_id(Id)].Answers.at(0);
  }
  std::size_t answers(std::uint64_t Id) {
    return Callers[request_id(Id)].Answers.size();
  }
  caller_record &caller(std::uint64_t Id) { return Callers[request_id(Id)]; }

  void collect() {
    for (const action &Action : Context.takeActions()) {
      if (const start_attempt *Start = std::get_if<start_attempt>(&Action))
        Started.push_back(*Start);
      if (const cancel_attempt *Cancel = std::get_if<cancel_attempt>(&Action))
        Cancelled.insert(Cancel->Attempt);
      if (const answer_caller *Answer = std::get_if<answer_caller>(&Action))
        Callers[Answer->Request].Answers.push_back(Answer->Answer);
      if (const stream_to_caller *Piece =
              std::get_if<stream_to_caller>(&Action))
        appendPiece(Callers[Piece->Request], *Piece);
    }
  }
  static void appendPiece(caller_record &Caller,
                          const stream_to_caller &Piece) {
    Caller.InSequence &= Piece.Sequence == Caller.Pieces++;
    Caller.InSequence &= Caller.Answers.empty();
    Caller.Text += Piece.Text;
  }

  core_context Context;
  membership Members;
  backend_registry Registry;
  fake_store Store;
  scripted_scheduler *Scheduler = nullptr;
  std::unique_ptr<request_pipeline> Pipeline;
  std::unique_ptr<claim_manager> Claims;
  std::vector<start_attempt> Started;
  std::set<attempt_id> Cancelled;
  std::map<request_id, caller_record> Callers;
};

} // namespace pipeline_fixture
