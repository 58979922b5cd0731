// Fixture with a serving core whose actions are recorded, for tests.
#pragma once

#include "jasminecroft/core/serving/serving_core.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jasminecroft {

/// Records the actions of a serving core.
class recorded_actions final : public serving_actions {
public:
  struct stream {
    bool Head = false;
    std::string Text;
    bool Ended = false;
    bool Aborted = false;
  };
  struct pieces_call {
    backend_entry Server;
    std::vector<batch_item> Items;
  };

  void refuse(request_id Request, const refusal &Refusal) override {
    Refusals[Request].push_back(Refusal);
  }
  void relayReply(request_id Request, const backend_reply_head &Head,
                  std::string Body) override {
    Replies[Request].push_back({Head.Status, std::move(Body)});
  }
  void relayStreamHead(request_id Request,
                       const backend_reply_head &) override {
    Streams[Request].Head = true;
  }
  void relayStreamEvents(request_id Request, std::string Text) override {
    Streams[Request].Text += Text;
  }
  void relayStreamEnd(request_id Request) override {
    Streams[Request].Ended = true;
  }
  void abortResponse(request_id Request) override {
    Streams[Request].Aborted = true;
  }
  void forward(call_id Call, call_permit,
               const forward_call &Forward) override {
    Forwards.emplace(Call, Forward);
    LastForward = Call;
  }
  void runPieces(call_id Call, call_permit Permit,
                 std::vector<batch_item> Items, core_duration) override {
    Pieces.emplace(Call, pieces_call{Permit.server(), std::move(Items)});
  }
  void freeResults(call_permit, std::vector<result_handle> Results) override {
    Freed.insert(Freed.end(), Results.begin(), Results.end());
  }
  void readServer(call_permit Permit) override {
    LoadRequests.push_back(Permit.server().Id);
  }
  void cancelCall(call_id Call) override { Cancelled.push_back(Call); }
  void sendToPeer(const batching_host &Host, peer_body Body) override {
    Sent.emplace_back(Host.Host, std::move(Body));
  }
  void reconnectPeer(const entry_host_id &) override {}
  void onOperatorConfig(const operator_config_push &) override {}
  void resyncStore(store_kind Kind) override { Resync.push_back(Kind); }
  void setStoreWatcher(bool IsWatcher) override { StoreWatcher = IsWatcher; }
  void setStoreSource(store_source Wanted) override { Source = Wanted; }
  void onBackendsTold(object_version Revision) override { ToldTo = Revision; }
  void onRequestFinished(const finished_request &) override {}
  void log(const event_record &Record) override { Log.push_back(Record); }

  std::map<request_id, std::vector<refusal>> Refusals;
  std::map<request_id, std::vector<std::pair<unsigned, std::string>>> Replies;
  std::map<request_id, stream> Streams;
  std::map<call_id, forward_call> Forwards;
  call_id LastForward;
  std::map<call_id, pieces_call> Pieces;
  std::vector<result_handle> Freed;
  std::vector<backend_id> LoadRequests;
  std::vector<call_id> Cancelled;
  std::vector<std::pair<entry_host_id, peer_body>> Sent;
  std::vector<event_record> Log;
  std::vector<store_kind> Resync;
  bool StoreWatcher = false;
  store_source Source = store_source::Watch;
  object_version ToldTo;
};

enum class route_kind { Idempotent, AtMostOnce, Stream, ResumableStream };

/// A serving core with a plain pool, an engine pool and two stage pools.
class serving_fixture {
public:
  static constexpr std::chrono::milliseconds Timeout{2'000};

  explicit serving_fixture(const std::string &Host = "h0")
      : Core(settings(Host), Actions) {
    Core.start(Now);
    Core.onHostsRead(Now);
  }

  static serving_settings settings(const std::string &Host) {
    serving_settings Settings;
    Settings.Self = {entry_host_id(Host), incarnation(1)};
    Settings.Zone = zone_id("z0");
    Settings.PeerAddress = endpoint(Host + ":1");
    Settings.Retries.Slack = 100;
    return Settings;
  }

  static std::shared_ptr<route_config> config(std::uint64_t Version = 1) {
    std::shared_ptr<route_config> Config = std::make_shared<route_config>();
    Config->Version = config_version(Version);
    Config->KeysRequired = true;
    Config->Keys[workspace_key("key")] = {workspace_id("w"), std::nullopt};
    Config->Routes = {route("plain", "plain", route_kind::Idempotent),
                      route("once", "plain", route_kind::AtMostOnce),
                      route("stream", "engine", route_kind::Stream),
                      route("resumable", "engine", route_kind::ResumableStream),
                      route("staged", "engine", route_kind::ResumableStream)};
    Config->Routes[4].Stages = {{pool_id("first"), {}, 8'000},
                                {pool_id("second"), {0}, 60'000}};
    Config->Pools[pool_id("plain")].Name = pool_id("plain");
    serving_pool &Engine = Config->Pools[pool_id("engine")];
    Engine.Name = pool_id("engine");
    Engine.Engine = engine_rules{64, 500'000};
    for (const char *Name : {"first", "second"}) {
      serving_pool &Pool = Config->Pools[pool_id(Name)];
      Pool.Name = pool_id(Name);
      batch_rules Rules;
      Rules.MaxPieces = 8;
      Rules.CallTime = std::chrono::milliseconds(240);
      Rules.PieceTime = std::chrono::milliseconds(20);
      Rules.ResultCapacityBytes = 1'500'000;
      Rules.ResultLifetime = std::chrono::seconds(4);
      Pool.Batches = Rules;
    }
    return Config;
  }

  static serving_route route(const char *Name, const char *Pool,
                             route_kind Kind) {
    serving_route Route;
    Route.Name = route_id(Name);
    Route.Hostname = "a.example";
    Route.PathPrefix = std::string("/") + Name + "/";
    Route.Pools = {{pool_id(Pool), 1}};
    Route.Timeout = Timeout;
    Route.Goal = std::chrono::milliseconds(1'500);
    Route.MaxAttempts = 2;
    Route.Streamed =
        Kind == route_kind::Stream || Kind == route_kind::ResumableStream;
    Route.Resumable = Kind == route_kind::ResumableStream;
    Route.Repeatable = Kind == route_kind::Idempotent;
    return Route;
  }

  void configure() { Core.onConfig(config(), "text", Now); }

  void addServers(const char *Pool, int Count) {
    for (int I = 0; I < Count; ++I) {
      backend_entry Entry;
      Entry.Id = backend_id(std::string(Pool) + std::to_string(I));
      Entry.Pool = pool_id(Pool);
      Entry.Address = endpoint("10.0.0." + std::to_string(I) + ":80");
      Entry.Zone = zone_id("z0");
      Entry.Run = incarnation(1);
      Core.onBackend(Entry, Now);
    }
  }

  void addAllPools() {
    configure();
    addServers("plain", 3);
    addServers("engine", 3);
    addServers("first", 2);
    addServers("second", 2);
  }

  request_id sendRequest(const std::string &Path,
                         std::vector<std::uint32_t> Pieces = {},
                         const std::string &Key = "key",
                         std::vector<prompt_block> Prefix = {}) {
    serving_request Request;
    Request.Number = request_id(++LastRequest);
    Request.CallerId = caller_request_id("r" + std::to_string(LastRequest));
    std::shared_ptr<caller_message> Message =
        std::make_shared<caller_message>();
    Message->Method = "POST";
    Message->Hostname = "a.example";
    Message->Target = "/" + Path + "/";
    Request.Message = std::move(Message);
    Request.Key = workspace_key(Key);
    Request.Pieces = std::move(Pieces);
    Request.PieceKey = "piece-key";
    Request.Prefix = std::move(Prefix);
    Request.MaxWait = MaxWait;
    Request.OutputTokens = OutputTokens;
    request_id Number = Request.Number;
    Core.onRequest(std::move(Request), Now);
    reportLoads();
    return Number;
  }

  static backend_reply_head successHead(unsigned Status = 200) {
    backend_reply_head Head;
    Head.Status = Status;
    Head.Evidence.Status = Status;
    Head.Evidence.Subject = answer_subject::ThisRequest;
    Head.Evidence.Signed = true;
    return Head;
  }

  static backend_reply_head notRunHead(unsigned Status = 503) {
    backend_reply_head Head;
    Head.Status = Status;
    Head.Evidence.Status = Status;
    Head.Evidence.Statement = not_run_statement::Plain;
    return Head;
  }

  /// Completes all pending load queries with an idle server.
  void reportLoads() {
    for (const backend_id &Server : std::exchange(Actions.LoadRequests, {}))
      Core.onServerLoad(Server, pieces_load{false, 0, 1'500'000}, Now);
  }

  /// Advances the time and runs each wake-up that the core requests.
  void advance(core_duration Time) {
    core_time End = Now + Time;
    while (std::optional<core_time> Next = Core.nextWakeup(Now)) {
      if (*Next > End)
        break;
      Now = std::max(Now, *Next);
      Core.onWakeup(Now);
      reportLoads();
      // Ends in finite steps even if each wake-up is due at once.
      Now += std::chrono::microseconds(100);
    }
    Now = std::max(Now, End);
  }

  /// Completes all calls for pieces. Result handles name the server, request,
  /// stage and piece.
  void completePieces() {
    while (!Actions.Pieces.empty()) {
      auto First = Actions.Pieces.begin();
      call_id Call = First->first;
      recorded_actions::pieces_call Wanted = First->second;
      Actions.Pieces.erase(First);
      std::vector<batch_item_result> Results;
      for (const batch_item &Item : Wanted.Items) {
        batch_item_result Result;
        Result.Result = result_handle(
            Wanted.Server.Id.Value + "/" + Item.Request.Value + "." +
            std::to_string(Item.Stage) + "." + std::to_string(Item.Piece));
        Results.push_back(Result);
      }
      advance(std::chrono::milliseconds(300));
      Core.onPiecesAnswered(Call, Results, std::nullopt, Now);
      reportLoads();
    }
  }

  /// Returns the jobs that were submitted to peers, in order.
  std::vector<std::pair<entry_host_id, piece_job>> requestedJobs() const {
    std::vector<std::pair<entry_host_id, piece_job>> Result;
    for (const std::pair<entry_host_id, peer_body> &Message : Actions.Sent)
      if (const piece_request *Body =
              std::get_if<piece_request>(&Message.second))
        Result.emplace_back(Message.first, Body->Job);
    return Result;
  }

  /// Counts the messages of a type that were sent to a peer.
  template <typename Body> std::size_t sentTo(const entry_host_id &Host) const {
    std::size_t Count = 0;
    for (const std::pair<entry_host_id, peer_body> &Message : Actions.Sent)
      if (Message.first == Host && std::holds_alternative<Body>(Message.second))
        ++Count;
    return Count;
  }

  /// Counts the results that were freed here or released at the queue owners
  /// that produced them.
  std::size_t released() const {
    std::size_t Count = Actions.Freed.size();
    for (const std::pair<entry_host_id, peer_body> &Message : Actions.Sent)
      if (const results_released *Body =
              std::get_if<results_released>(&Message.second))
        Count += Body->Results.size();
    return Count;
  }

  /// Completes the job that was submitted first, with one piece.
  void completeFirstStage(const std::string &Handle) {
    const std::pair<entry_host_id, piece_job> First = requestedJobs().front();
    Core.onPeer({First.first, incarnation(1)},
                pieces_completed{
                    First.second.Job,
                    First.second.Request,
                    {completed_piece{0, result_handle(Handle), zone_id("z0")}}},
                Now);
  }

  /// Completes the calls whose first piece belongs to a stage.
  void completeStage(std::uint32_t Stage) { finishStage(Stage, std::nullopt); }
  void failStage(std::uint32_t Stage, batch_item_problem Problem) {
    finishStage(Stage, Problem);
  }

  const forward_call &lastForward() const {
    return Actions.Forwards.at(Actions.LastForward);
  }

private:
  void finishStage(std::uint32_t Stage,
                   std::optional<batch_item_problem> Problem) {
    advance(std::chrono::milliseconds(300));
    std::map<call_id, recorded_actions::pieces_call> Open = Actions.Pieces;
    for (const std::pair<const call_id, recorded_actions::pieces_call> &Call :
         Open) {
      if (Call.second.Items.front().Stage != Stage)
        continue;
      Actions.Pieces.erase(Call.first);
      std::vector<batch_item_result> Results;
      for (const batch_item &Item : Call.second.Items) {
        batch_item_result Result;
        if (Problem)
          Result.Problem = *Problem;
        else
          Result.Result = result_handle(
              Call.second.Server.Address.Value + "/" + Item.Request.Value +
              "." + std::to_string(Item.Stage) + "." +
              std::to_string(Item.Piece) + "." + std::to_string(++LastResult));
        Results.push_back(Result);
      }
      Core.onPiecesAnswered(Call.first, Results, std::nullopt, Now);
      reportLoads();
    }
  }
  std::uint64_t LastResult = 0;

public:
  recorded_actions Actions;
  core_time Now{std::chrono::seconds(1'000)};
  serving_core Core;
  std::uint64_t LastRequest = 0;
  /// Of the requests that are sent from then on.
  std::optional<core_duration> MaxWait;
  std::uint32_t OutputTokens = 0;
};

} // namespace jasminecroft
