// Hosts of a serving world: the shell around each core.
#include "serving_world_parts.h"

#include <sstream>

namespace jasminecroft::testing {

namespace {

using std::chrono::milliseconds;

/// One way to a server and back; the same for all.
constexpr core_duration ServerWay = milliseconds(1);
/// A connection to a server that is cut off is given up after this time.
constexpr core_duration ConnectTime = milliseconds(500);
constexpr core_duration AnswerSlack = milliseconds(250);
/// News of the store reaches hosts after this time.
constexpr core_duration StoreLag = milliseconds(100);
/// Changes of configurations gather for up to this time.
constexpr core_duration LongestConfigLag = milliseconds(160);
/// A host that was told to stop has to be done by then.
constexpr core_duration Grace = std::chrono::seconds(8);
/// Every other stop has a grace below the timeouts of the routes, in which the
/// queues need not become idle.
constexpr core_duration ShortestGrace = milliseconds(1'200);
constexpr core_duration ShortGrace = std::chrono::seconds(4);
/// Final replies are due this long before the end.
constexpr core_duration LastReplyLead = milliseconds(300);
/// New connections come to a stopping host for this long.
constexpr core_duration BalancerLag = milliseconds(2'600);
constexpr core_duration StopCheck = milliseconds(50);
/// A call sent before the first list was handled may still be on its way.
constexpr core_duration ReadSlack = milliseconds(100);
constexpr core_duration LeastSleep = std::chrono::microseconds(100);

} // namespace

world_host::world_host(serving_world &World, std::size_t Index, zone_id Zone)
    : World(World), Index(Index), Id("h" + std::to_string(Index)),
      Zone(std::move(Zone)), Address("10.0.9." + std::to_string(Index) + ":1") {
}

void world_host::start() {
  if (Core)
    return;
  ++Run.Value;
  Stopping = false;
  Used = config_version();
  Source = store_source::Watch;
  ZonesRead = false;
  WatchesSince = World.now();
  serving_settings Settings;
  Settings.Self = {Id, Run};
  Settings.Zone = Zone;
  Settings.PeerAddress = Address;
  Settings.Retries.Slack = 100;
  Settings.BatchAlone = World.Options.BatchAlone;
  Settings.EmptiedZones = true;
  Core = std::make_unique<serving_core>(Settings, *this);
  incarnation Started = Run;
  handle([](serving_core &Core, core_time Now) { Core.start(Now); });
  World.Queue.after(StoreLag, [this, Started] {
    if (!isRun(Started))
      return;
    handle([this](serving_core &Core, core_time Now) {
      if (View != store_view::TurnedAway)
        Core.onConfig(World.config(World.NewestConfig),
                      std::to_string(World.NewestConfig.Value), Now);
      Core.onStoreRead(store_kind::Config, Now);
    });
    readBackends();
    readZones();
    for (const std::unique_ptr<world_host> &Other : World.Hosts) {
      if (Other.get() == this || !Other->up() || Other->Stopping)
        continue;
      batching_host Self = Core->selfAsHost();
      batching_host Peer = Other->Core->selfAsHost();
      Other->handle([Self](serving_core &Core, core_time Now) {
        Core.onHost(Self, Now);
      });
      handle([Peer](serving_core &Core, core_time Now) {
        Core.onHost(Peer, Now);
      });
    }
    handle([](serving_core &Core, core_time Now) { Core.onHostsRead(Now); });
  });
}

void world_host::kill() {
  if (!Core)
    return;
  for (const std::pair<const request_id, caller_request_id> &Caller : Callers)
    World.Book.onExcused(Caller.second);
  Callers.clear();
  World.Book.onHostLost(Index);
  std::map<call_id, backend_id> Ended = std::move(Open);
  Open.clear();
  for (const std::pair<const call_id, backend_id> &Call : Ended)
    if (world_server *Server = World.server(Call.second))
      Server->cancel({Index, Run, Call.first});
  Core.reset();
}

void world_host::stop() {
  if (!Core || Stopping)
    return;
  Stopping = true;
  ShortStop = World.Random.below(2) == 0;
  StopBy =
      World.now() +
      (ShortStop ? World.Random.between(ShortestGrace, ShortGrace) : Grace);
  handle([this](serving_core &Core, core_time Now) {
    Core.beginDraining({Now + BalancerLag, StopBy - LastReplyLead}, Now);
  });
  World.Queue.after(StoreLag, [this] {
    for (const std::unique_ptr<world_host> &Other : World.Hosts)
      if (Other.get() != this && Other->up())
        Other->handle([this](serving_core &Core, core_time Now) {
          Core.onHostRemoved(Id, Now);
        });
  });
  checkStopped();
}

void world_host::checkStopped() {
  if (!Core || !Stopping)
    return;
  bool Done = Core->counters().InProgress == 0 && Core->queuesIdle();
  if (Done) {
    kill();
    return;
  }
  if (World.now() >= StopBy) {
    bool Owes = !ShortStop || Core->counters().InProgress != 0;
    if (Owes)
      World.Book.add(promise::GracefulStop, World.now(),
                     Id.Value + " still has " +
                         std::to_string(Core->counters().InProgress) +
                         " requests at the end of its grace");
    kill();
    return;
  }
  incarnation Current = Run;
  World.Queue.after(StopCheck, [this, Current] {
    if (isRun(Current))
      checkStopped();
  });
}

void world_host::handle(
    const std::function<void(serving_core &, core_time)> &Event) {
  if (!Core)
    return;
  Event(*Core, World.now());
  checkConfig();
  arm();
}

void world_host::checkConfig() {
  config_version Version = Core->configVersion();
  if (Version < Used)
    World.Book.add(promise::ConfigInForce, World.now(),
                   Id.Value + " goes back from configuration " +
                       std::to_string(Used.Value) + " to " +
                       std::to_string(Version.Value));
  Used = Version;
}

void world_host::takeConfig(config_version Version, core_duration Lag) {
  incarnation Current = Run;
  World.Queue.after(Lag, [this, Current, Version] {
    if (!isRun(Current))
      return;
    handle([&](serving_core &Core, core_time Now) {
      Core.onConfig(World.config(Version), std::to_string(Version.Value), Now);
    });
  });
}

// Lists the servers that the store has at this time.
void world_host::readBackends() {
  std::vector<backend_entry> Entries;
  for (const serving_world::server_slot &Slot : World.Servers)
    if (Slot.Server->Up)
      Entries.push_back(Slot.Server->Entry);
  for (const std::unique_ptr<world_server> &Server : World.Leaving)
    if (Server->Up)
      Entries.push_back(Server->Entry);
  // Servers write their entries anew while they are cold.
  for (backend_entry &Entry : Entries)
    if (Entry.ColdLeft)
      Entry.ColdLeft = std::max(World.server(Entry.Id)->ColdUntil - World.now(),
                                core_duration{0});
  handle([&](serving_core &Core, core_time Now) {
    Core.onBackendList(Entries, object_version(World.LastRevision), Now);
    Core.onStoreRead(store_kind::Backends, Now);
  });
}

void world_host::hearBackend(const backend_entry &Entry, bool Gone,
                             object_version Revision) {
  if (Source != store_source::Watch)
    return;
  handle([&](serving_core &Core, core_time Now) {
    if (Gone)
      Core.onBackendRemoved(Entry.Id, Entry.Revision, Now);
    else
      Core.onBackend(Entry, Now);
    Core.onBackendsRead(Revision, Now);
  });
}

bool world_host::watchesStore() const {
  return Source == store_source::Watch &&
         World.now() >= WatchesSince + StoreLag + ReadSlack;
}

void world_host::setStoreSource(store_source Wanted) {
  bool Reads = Wanted == store_source::Watch && Source != Wanted;
  Source = Wanted;
  if (!Reads)
    return;
  WatchesSince = World.now();
  resyncStore(store_kind::Config);
  resyncStore(store_kind::Backends);
  resyncStore(store_kind::EmptiedZones);
}

void world_host::hearConfig(config_version Version) {
  if (Core && View == store_view::Live && Source == store_source::Watch)
    takeConfig(Version,
               World.Random.between(milliseconds(5), LongestConfigLag));
}

void world_host::setStoreView(store_view Wanted) {
  bool Reads = View != store_view::Live && Wanted == store_view::Live;
  View = Wanted;
  if (Reads)
    hearConfig(World.NewestConfig);
  if (Wanted == store_view::TurnedAway)
    handle([](serving_core &Core, core_time Now) {
      Core.onStoreLost(store_kind::Config, Now);
    });
  else if (Wanted == store_view::Live)
    handle([](serving_core &Core, core_time Now) {
      Core.onStoreRead(store_kind::Config, Now);
    });
}

void world_host::resyncStore(store_kind Kind) {
  incarnation Current = Run;
  World.Queue.after(StoreLag, [this, Current, Kind] {
    if (!isRun(Current))
      return;
    if (Kind == store_kind::Backends) {
      readBackends();
      return;
    }
    if (Kind == store_kind::EmptiedZones) {
      readZones();
      return;
    }
    if (View == store_view::TurnedAway)
      return;
    View = store_view::Live;
    takeConfig(World.NewestConfig, LeastSleep);
    handle([](serving_core &Core, core_time Now) {
      Core.onStoreRead(store_kind::Config, Now);
    });
  });
}

void world_host::onOperatorConfig(const operator_config_push &Config) {
  takeConfig(config_version(std::stoull(Config.Text)), LeastSleep);
}

void world_host::arm() {
  std::optional<core_time> Next = Core->nextWakeup(World.now());
  if (!Next)
    return;
  std::uint64_t Number = ++Armed;
  incarnation Current = Run;
  World.Queue.at(
      std::max(*Next, World.now() + LeastSleep), [this, Number, Current] {
        if (isRun(Current) && Number == Armed)
          handle([](serving_core &Core, core_time Now) { Core.onWakeup(Now); });
      });
}

void world_host::answer(
    call_id Call, bool Last,
    const std::function<void(serving_core &, core_time)> &Event) {
  if (!Core || !Open.contains(Call))
    return;
  if (Last)
    Open.erase(Call);
  handle(Event);
}

void world_host::breakCalls(const backend_id &Server) {
  std::vector<call_id> Broken;
  for (const std::pair<const call_id, backend_id> &Call : Open)
    if (Call.second == Server)
      Broken.push_back(Call.first);
  for (call_id Call : Broken)
    failCall(Call, call_failure::Broken);
}

void world_host::failCall(call_id Call, call_failure Failure) {
  answer(Call, true, [Call, Failure](serving_core &Core, core_time Now) {
    Core.onCallFailed(Call, Failure, Now);
  });
}

void world_host::ask(serving_request Request) {
  Callers[Request.Number] = Request.CallerId;
  handle([&Request](serving_core &Core, core_time Now) {
    Core.onRequest(std::move(Request), Now);
  });
}

std::optional<request_id> world_host::anyRequest() {
  if (Callers.empty())
    return std::nullopt;
  auto Chosen = Callers.begin();
  std::advance(Chosen, World.Random.below(Callers.size()));
  return Chosen->first;
}

void world_host::leave(request_id Request) {
  World.Book.onExcused(callerOf(Request));
  Callers.erase(Request);
  handle([Request](serving_core &Core, core_time Now) {
    Core.onCallerDisconnected(Request, Now);
  });
}

caller_request_id world_host::callerOf(request_id Request) {
  auto Found = Callers.find(Request);
  return Found == Callers.end() ? caller_request_id() : Found->second;
}

void world_host::refuse(request_id Request, const refusal &Refusal) {
  World.Book.onRefused(callerOf(Request), Refusal.Kind, World.now());
  Callers.erase(Request);
}

void world_host::relayReply(request_id Request, const backend_reply_head &Head,
                            std::string Body) {
  World.Book.onWhole(callerOf(Request), Head, Body, World.now());
  Callers.erase(Request);
}

void world_host::relayStreamHead(request_id Request,
                                 const backend_reply_head &) {
  World.Book.onHead(callerOf(Request), World.now());
}

void world_host::relayStreamEvents(request_id Request, std::string Text) {
  std::istringstream Events(Text);
  for (std::uint64_t Event = 0; Events >> Event;)
    World.Book.onEvent(callerOf(Request), Event, World.now());
}

void world_host::relayStreamEnd(request_id Request) {
  World.Book.onEnd(callerOf(Request), World.now());
  Callers.erase(Request);
}

void world_host::abortResponse(request_id Request) {
  World.Book.onBrokenOff(callerOf(Request));
  Callers.erase(Request);
}

void world_host::openCall(
    call_id Call, const backend_entry &Target, core_duration Timeout,
    const std::function<void(world_server &, const world_link &)> &Begin) {
  Open[Call] = Target.Id;
  world_link Link{Index, Run, Call};
  backend_id Wanted = Target.Id;
  zone_id There = Target.Zone;
  World.Queue.after(ServerWay, [this, Link, Wanted, There, Begin] {
    if (!isRun(Link.Run) || !Open.contains(Link.Call))
      return;
    world_server *Server = World.server(Wanted);
    if (World.linked(Zone, There) && Server && Server->Up) {
      judgeZone(There);
      const std::optional<core_time> &Known =
          watchesStore() ? Server->LeavingKnownAt : Server->LeavingToldAt;
      if (Known && World.now() > *Known)
        World.Book.onLeavingUsed(Wanted, World.now() - *Known, World.now());
      World.Book.onCall(Wanted, Link.Host, World.now());
      if (Server->RefusesUntil > World.now())
        Server->turnAway(Link);
      else
        Begin(*Server, Link);
      return;
    }
    core_duration Wait =
        World.linked(Zone, There) ? core_duration{0} : ConnectTime;
    World.Queue.after(Wait, [this, Link] {
      if (isRun(Link.Run))
        failCall(Link.Call, call_failure::NotConnected);
    });
  });
  World.Queue.after(Timeout, [this, Link] {
    if (isRun(Link.Run))
      failCall(Link.Call, call_failure::TimedOut);
  });
}

void world_host::forward(call_id Call, call_permit Permit,
                         const forward_call &Forward) {
  openCall(Call, Permit.server(), Forward.TimeLeft + AnswerSlack,
           [Forward](world_server &Server, const world_link &Link) {
             Server.forward(Link, Forward);
           });
}

void world_host::runPieces(call_id Call, call_permit Permit,
                           std::vector<batch_item> Items,
                           core_duration Timeout) {
  openCall(Call, Permit.server(), Timeout,
           [Items](world_server &Target, const world_link &Link) {
             Target.runPieces(Link, Items);
           });
}

void world_host::freeResults(call_permit Permit,
                             std::vector<result_handle> Results) {
  const backend_entry &Server = Permit.server();
  World.Queue.after(ServerWay, [this, Id = Server.Id, There = Server.Zone,
                                Results = std::move(Results)] {
    world_server *Target = World.server(Id);
    if (!Target || !Target->Up || !World.linked(Zone, There))
      return;
    judgeZone(There);
    World.Book.onArrival(Id, Index, World.now());
    Target->freeResults(Results);
  });
}

void world_host::readServer(call_permit Permit) {
  const backend_entry &Server = Permit.server();
  incarnation Current = Run;
  World.Queue.after(
      2 * ServerWay, [this, Current, Id = Server.Id, There = Server.Zone] {
        if (!isRun(Current))
          return;
        world_server *Target = World.server(Id);
        if (Target &&
            (!World.linked(Zone, There) || Target->SilentUntil > World.now()))
          return;
        std::optional<pieces_load> Load;
        if (Target && Target->Up) {
          judgeZone(There);
          World.Book.onArrival(Id, Index, World.now());
          Load = Target->load();
        }
        handle([&](serving_core &Core, core_time Now) {
          Core.onServerLoad(Id, Load, Now);
        });
      });
}

void world_host::cancelCall(call_id Call) {
  auto Found = Open.find(Call);
  if (Found == Open.end())
    return;
  backend_id Server = Found->second;
  Open.erase(Found);
  World.Queue.after(ServerWay,
                    [this, Server, Link = world_link{Index, Run, Call}] {
                      if (world_server *Target = World.server(Server))
                        Target->cancel(Link);
                    });
}

void world_host::sendToPeer(const batching_host &Host, peer_body Body) {
  for (const std::unique_ptr<world_host> &Other : World.Hosts) {
    if (Other->Address != Host.Address)
      continue;
    if (Index % World.HostPieces != Other->Index % World.HostPieces)
      return;
    host_run Sender{Id, Run};
    world_host *Target = Other.get();
    World.Net.send(Zone, Target->Zone,
                   [Target, Sender, Body = std::move(Body)] {
                     Target->handle([&](serving_core &Core, core_time Now) {
                       Core.onPeer(Sender, Body, Now);
                     });
                   });
    return;
  }
}

} // namespace jasminecroft::testing
