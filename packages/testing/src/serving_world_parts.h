// Hosts and backend servers of a serving world.
#pragma once

#include "jasminecroft/testing/serving_world.h"

#include <compare>
#include <functional>
#include <memory>

namespace jasminecroft::testing {

/// One call of one run of a host.
struct world_link {
  std::size_t Host = 0;
  incarnation Run;
  call_id Call;
  std::strong_ordering operator<=>(const world_link &) const = default;
};

/// What a host hears of the operator's configurations.
enum class store_view { Live, Deaf, TurnedAway };

/// Does what a serving core asks, after the time that it takes.
class world_host final : public serving_actions {
public:
  world_host(serving_world &World, std::size_t Index, zone_id Zone);

  void start();
  void kill();
  void stop();
  bool up() const { return Core != nullptr; }
  bool takesCallers() const { return Core && !Stopping && Core->ready(); }
  bool isRun(incarnation Wanted) const { return Core && Run == Wanted; }
  /// Runs Event on the core and sets its next wake-up.
  void handle(const std::function<void(serving_core &, core_time)> &Event);
  /// Answers of a call: dropped if it has ended here.
  void answer(call_id Call, bool Last,
              const std::function<void(serving_core &, core_time)> &Event);
  void breakCalls(const backend_id &Server);
  void ask(serving_request Request);
  /// One of the requests in progress; absent if there is none.
  std::optional<request_id> anyRequest();
  void leave(request_id Request);
  /// A configuration was written: tells the core of it if its watch lives.
  void hearConfig(config_version Version);
  /// A change of a backend server's entry was written: tells the core of it if
  /// this host watches.
  void hearBackend(const backend_entry &Entry, bool Gone,
                   object_version Revision);
  /// The operator ordered something: tells the core if this host watches.
  void hearZone(const zone_order &Order);
  /// A host whose view is live again reads the newest configuration.
  void setStoreView(store_view View);
  const zone_id &zone() const { return Zone; }
  const serving_core *core() const { return Core.get(); }

  // serving_actions
  void refuse(request_id Request, const refusal &Refusal) override;
  void relayReply(request_id Request, const backend_reply_head &Head,
                  std::string Body) override;
  void relayStreamHead(request_id Request,
                       const backend_reply_head &Head) override;
  void relayStreamEvents(request_id Request, std::string Text) override;
  void relayStreamEnd(request_id Request) override;
  void abortResponse(request_id Request) override;
  void forward(call_id Call, call_permit Permit,
               const forward_call &Forward) override;
  void runPieces(call_id Call, call_permit Permit,
                 std::vector<batch_item> Items, core_duration Timeout) override;
  void freeResults(call_permit Permit,
                   std::vector<result_handle> Results) override;
  void readServer(call_permit Permit) override;
  void cancelCall(call_id Call) override;
  void sendToPeer(const batching_host &Host, peer_body Body) override;
  void reconnectPeer(const entry_host_id &) override {}
  void onOperatorConfig(const operator_config_push &Config) override;
  void resyncStore(store_kind Kind) override;
  void setStoreWatcher(bool) override {}
  void setStoreSource(store_source Wanted) override;
  void onBackendsTold(object_version) override {}
  void onRequestFinished(const finished_request &) override {}
  void log(const event_record &) override {}

private:
  void arm();
  void takeConfig(config_version Version, core_duration Lag);
  void readBackends();
  void readZones();
  /// A host that has just begun to watch has not read the store yet.
  bool watchesStore() const;
  void judgeZone(const zone_id &Zone) const;
  void checkConfig();
  void openCall(
      call_id Call, const backend_entry &Server, core_duration Timeout,
      const std::function<void(world_server &, const world_link &)> &Begin);
  void failCall(call_id Call, call_failure Failure);
  void checkStopped();
  caller_request_id callerOf(request_id Request);

  serving_world &World;
  std::size_t Index;
  entry_host_id Id;
  zone_id Zone;
  endpoint Address;
  incarnation Run;
  std::unique_ptr<serving_core> Core;
  bool Stopping = false;
  store_view View = store_view::Live;
  store_source Source = store_source::Watch;
  /// This run has read the list of emptied zones.
  bool ZonesRead = false;
  /// Since when this run watches the store itself.
  core_time WatchesSince;
  /// The highest version that this run has used.
  config_version Used;
  core_time StopBy;
  bool ShortStop = false;
  std::uint64_t Armed = 0;
  std::map<request_id, caller_request_id> Callers;
  std::map<call_id, backend_id> Open;
};

/// A backend server. Sends answers unless it is silent, down or cut off.
class world_server {
public:
  world_server(serving_world &World, backend_entry Entry)
      : Entry(std::move(Entry)), World(World) {}
  virtual ~world_server() = default;

  virtual void forward(const world_link &, const forward_call &) {}
  virtual void runPieces(const world_link &, const std::vector<batch_item> &) {}
  virtual void cancel(const world_link &) {}
  /// Turns a call away and asks its host for a pause until RefusesUntil.
  void turnAway(const world_link &Link);
  virtual void freeResults(const std::vector<result_handle> &) {}
  virtual std::optional<pieces_load> load() const { return std::nullopt; }
  virtual const serving_book::input *result(const result_handle &) const {
    return nullptr;
  }
  virtual std::uint64_t bytesKept() const { return 0; }

  backend_entry Entry;
  bool Up = true;
  core_time SilentUntil;
  double Slow = 1;
  /// Requests a second that it says it takes.
  std::optional<double> Limit;
  core_time RefusesUntil;
  core_time ColdUntil;
  /// Its replies say that it leaves.
  bool SaysLeaving = false;
  /// Since when every host that watches the store knows that it leaves, and
  /// since when every other host does.
  std::optional<core_time> LeavingKnownAt;
  std::optional<core_time> LeavingToldAt;

protected:
  void answer(const world_link &Link, bool Last,
              std::function<void(serving_core &, core_time)> Event);
  /// The same for what begins with the head of a reply, which names the limit
  /// and says whether the server leaves.
  void answerHead(const world_link &Link, bool Last,
                  std::function<void(serving_core &, core_time)> Event);
  void after(core_duration Time, std::function<void()> Action);
  /// Tells a host that its call was not taken.
  virtual void refuse(const world_link &Link);
  core_duration slowed(core_duration Time) const;

  serving_world &World;

private:
  /// Connections that carry nothing more.
  std::set<world_link> Lost;
  /// Expires with the server: another one may have its id.
  std::shared_ptr<const bool> Lifetime = std::make_shared<const bool>(true);
};

std::unique_ptr<world_server> makeWorldServer(serving_world &World,
                                              const backend_entry &Entry,
                                              const batch_rules &Rules,
                                              std::uint32_t ErrorPermille);

} // namespace jasminecroft::testing
