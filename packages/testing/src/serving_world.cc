// The world around the hosts: configuration, servers, faults.
#include "jasminecroft/testing/serving_world.h"

#include "serving_world_parts.h"

#include <algorithm>

namespace jasminecroft::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core_duration StoreLag = milliseconds(100);
constexpr std::uint64_t BesideBytes = 100'000;
/// Parts that belong to one request are numbered from here.
constexpr std::uint64_t OwnParts = 1'000'000;

workspace_id workspaceOf(std::size_t Number) {
  return workspace_id("w" + std::to_string(Number));
}

workspace_key keyOf(std::size_t Number) {
  return workspace_key("key-" + std::to_string(Number));
}

} // namespace

batch_rules world_options::defaultBatches() {
  batch_rules Rules;
  Rules.MaxPieces = 8;
  Rules.CallTime = milliseconds(240);
  Rules.PieceTime = milliseconds(20);
  Rules.ResultCapacityBytes = 1'500'000;
  Rules.ResultLifetime = seconds(4);
  return Rules;
}

serving_world::serving_world(const world_options &Options, std::uint64_t Seed)
    : Options(Options), Random(Seed) {
  Queue.runUntil(core_time(seconds(1'000)));
  Net.setLatency(std::chrono::microseconds(200), milliseconds(1));
  for (std::size_t Zone = 0; Zone < Options.Zones; ++Zone) {
    for (std::size_t I = 0; I < Options.PlainServersPerZone; ++I)
      addServer("plain", Zone);
    for (std::size_t I = 0; I < Options.EnginesPerZone; ++I)
      addServer("engine", Zone);
    for (std::size_t I = 0; I < Options.StageServersPerZone; ++I)
      for (const char *Pool : {"first", "second"})
        addServer(Pool, Zone);
  }
  for (std::size_t Zone = 0; Zone < Options.Zones; ++Zone)
    for (std::size_t I = 0; I < Options.HostsPerZone; ++I)
      Hosts.push_back(
          std::make_unique<world_host>(*this, Hosts.size(), zoneName(Zone)));
  for (const std::unique_ptr<world_host> &Host : Hosts)
    Host->start();
  run(milliseconds(500));
}

serving_world::~serving_world() = default;

zone_id serving_world::zoneName(std::size_t Zone) const {
  return zone_id("z" + std::to_string(Zone % Options.Zones));
}

serving_route serving_world::route(const char *Name) const {
  serving_route Route;
  Route.Name = route_id(Name);
  Route.Hostname = "a.example";
  Route.PathPrefix = std::string("/") + Name + "/";
  Route.Timeout = seconds(4);
  Route.Goal = Options.Goal;
  Route.MaxAttempts = 2;
  std::string_view Kind = Name;
  Route.Public = Kind != world_route::Label;
  Route.Repeatable = Kind == world_route::Read;
  Route.Streamed = Kind == world_route::Draft || Kind == world_route::Label;
  Route.Resumable = Kind == world_route::Draft;
  if (!Route.Repeatable && !Route.Resumable)
    Route.MaxAttempts = 1;
  Route.Priority = Kind == world_route::Label ? 2 : 0;
  Route.Pools = {{pool_id(Route.Streamed ? "engine" : "plain"), 1}};
  if (Kind == world_route::Draft)
    Route.Stages = {{pool_id("first"), {}, Options.FirstBytes},
                    {pool_id("second"), {0}, Options.NextBytes},
                    {pool_id("first"), {}, BesideBytes}};
  if (Kind == world_route::Draft && Options.Drafts == draft_shape::Shared) {
    Route.Stages.push_back({pool_id("second"), {1, 4}, Options.NextBytes});
    Route.Stages.push_back({pool_id("first"), {0}, Options.FirstBytes});
  }
  if (Kind == world_route::Label)
    Route.Stages = {{pool_id("first"), {}, BesideBytes}};
  return Route;
}

std::shared_ptr<const route_config>
serving_world::config(config_version Version) const {
  std::shared_ptr<route_config> Config = std::make_shared<route_config>();
  Config->Version = Version;
  for (const char *Name : {world_route::Read, world_route::Once,
                           world_route::Draft, world_route::Label})
    Config->Routes.push_back(route(Name));
  for (const char *Name : {"plain", "engine", "first", "second"}) {
    serving_pool &Pool = Config->Pools[pool_id(Name)];
    Pool.Name = pool_id(Name);
    Pool.WarmUp = Options.WarmUp;
    std::string_view Kind = Name;
    if (Kind == "engine")
      Pool.Engine = engine_rules{64, 500'000};
    if (Kind == "first" || Kind == "second")
      Pool.Batches = Options.Batches;
  }
  Config->KeysRequired = true;
  for (std::size_t I = 0; I < WorldWorkspaces; ++I)
    Config->Keys[keyOf(I)].Workspace = workspaceOf(I);
  return Config;
}

void serving_world::addServer(const char *Pool, std::size_t Zone) {
  server_slot Slot;
  Slot.Pool = pool_id(Pool);
  Slot.Zone = zoneName(Zone);
  Slot.Server = makeServer(Slot.Pool, Slot.Zone);
  Servers.push_back(std::move(Slot));
}

std::unique_ptr<world_server> serving_world::makeServer(const pool_id &Pool,
                                                        const zone_id &Zone) {
  ++LastServer;
  backend_entry Entry;
  Entry.Id = backend_id(Pool.Value + "-" + std::to_string(LastServer));
  Entry.Pool = Pool;
  Entry.Address = endpoint("10.1." + std::to_string(LastServer / 250) + "." +
                           std::to_string(LastServer % 250) + ":80");
  Entry.Zone = Zone;
  Entry.Run = incarnation(LastServer);
  Entry.Revision = object_version(++LastRevision);
  return makeWorldServer(*this, Entry, Options.Batches,
                         Options.PieceErrorPermille);
}

world_server *serving_world::findServer(const backend_id &Id) {
  for (const server_slot &Slot : Servers)
    if (Slot.Server->Entry.Id == Id)
      return Slot.Server.get();
  for (const std::unique_ptr<world_server> &Server : Leaving)
    if (Server->Entry.Id == Id)
      return Server.get();
  return nullptr;
}

const serving_book::input *serving_world::resultFor(const result_handle &Handle,
                                                    const zone_id &Zone) {
  auto Has = [&](const world_server &Server) {
    return Server.Up && linked(Zone, Server.Entry.Zone) &&
           Server.result(Handle);
  };
  for (const server_slot &Slot : Servers)
    if (Has(*Slot.Server))
      return Slot.Server->result(Handle);
  for (const std::unique_ptr<world_server> &Server : Leaving)
    if (Has(*Server))
      return Server->result(Handle);
  return nullptr;
}

std::uint64_t serving_world::resultBytes(const caller_request_id &Request,
                                         std::uint32_t Stage) const {
  auto Found = Book.requests().find(Request);
  return Found == Book.requests().end()
             ? 0
             : Found->second.Route.Stages[Stage].ResultBytes;
}

bool serving_world::reaches(const zone_id &Zone, std::size_t Host) const {
  return linked(Zone, Hosts[Host]->zone());
}

void serving_world::answerHost(
    std::size_t Host, incarnation Run, call_id Call, bool Last,
    const std::function<void(serving_core &, core_time)> &Event) {
  world_host &Target = *Hosts[Host];
  if (Target.isRun(Run))
    Target.answer(Call, Last, Event);
}

void serving_world::tellHosts(const backend_entry &Entry, bool Gone) {
  object_version Revision(Gone ? ++LastRevision : LastRevision);
  after(StoreLag, [this, Entry, Gone, Revision] {
    for (const std::unique_ptr<world_host> &Host : Hosts)
      Host->hearBackend(Entry, Gone, Revision);
  });
}

bool serving_world::crashesEngines(const caller_request_id &Request) const {
  auto Found = Book.requests().find(Request);
  if (Found == Book.requests().end())
    return false;
  return std::any_of(
      Found->second.Parts.begin(), Found->second.Parts.end(),
      [this](std::uint64_t Part) { return CrashingParts.contains(Part); });
}

void serving_world::ask(std::size_t Host, const std::string &Name) {
  ask(Host, Name, {Random.below(8) + 1});
}

void serving_world::ask(std::size_t Host, const std::string &Name,
                        const std::vector<std::uint64_t> &Shared) {
  world_host &Target = *Hosts[Host % Hosts.size()];
  if (!Target.takesCallers())
    return;
  booked_request Booked;
  Booked.Id = caller_request_id("r" + std::to_string(++LastRequest));
  Booked.Route = route(Name.c_str());
  Booked.Sent = now();
  Booked.Deadline = now() + Booked.Route.Timeout;
  if (Booked.Route.Stages.size() > 1)
    Booked.Pieces = {1, 2 + static_cast<std::uint32_t>(Random.below(4)),
                     static_cast<std::uint32_t>(Random.below(3))};
  else if (!Booked.Route.Stages.empty())
    Booked.Pieces = {1 + static_cast<std::uint32_t>(Random.below(2))};
  while (Booked.Pieces.size() < Booked.Route.Stages.size())
    Booked.Pieces.push_back(static_cast<std::uint32_t>(Random.below(3)));
  serving_request Request;
  Request.Number = request_id(LastRequest);
  Request.CallerId = Booked.Id;
  std::shared_ptr<caller_message> Message = std::make_shared<caller_message>();
  Message->Method = "POST";
  Message->Hostname = Booked.Route.Hostname;
  Message->Target = Booked.Route.PathPrefix;
  Request.Message = std::move(Message);
  Request.Pieces = Booked.Pieces;
  Request.PieceKey = "key";
  Request.Key = keyOf(Caller);
  Booked.Workspace = workspaceOf(Caller);
  Booked.PromptTokens = Booked.Route.Streamed ? PromptTokens : 0;
  Request.PromptTokens = Booked.PromptTokens;
  Booked.Parts = Shared;
  Booked.Parts.push_back(OwnParts + LastRequest);
  for (std::uint64_t Part : Booked.Parts)
    Request.Prefix.push_back({Part, 500});
  Book.onAsked(std::move(Booked));
  Target.ask(std::move(Request));
}

void serving_world::leaveOne() {
  world_host &Host = *Hosts[Random.below(Hosts.size())];
  if (std::optional<request_id> Request = Host.anyRequest())
    Host.leave(*Request);
}

void serving_world::killHost(std::size_t Host) {
  Hosts[Host % Hosts.size()]->kill();
}

void serving_world::startHost(std::size_t Host) {
  Hosts[Host % Hosts.size()]->start();
}

void serving_world::stopHost(std::size_t Host) {
  Hosts[Host % Hosts.size()]->stop();
}

void serving_world::cutZone(std::size_t Zone) {
  for (std::size_t Other = 0; Other < Options.Zones; ++Other)
    Net.cut(zoneName(Zone), zoneName(Other));
}

void serving_world::healNetwork() {
  Net.healAll();
  splitHosts(1);
}

void serving_world::limitServer(std::size_t Number,
                                std::optional<double> PerSecond) {
  world_server &Server = *Servers[Number % Servers.size()].Server;
  Server.Limit = PerSecond;
  Book.onLimit(Server.Entry.Id, PerSecond, now());
}

std::vector<std::size_t> serving_world::serversOf(const char *Pool) const {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I < Servers.size(); ++I)
    if (Servers[I].Pool == pool_id(Pool))
      Result.push_back(I);
  return Result;
}

const backend_id &serving_world::serverId(std::size_t Number) const {
  return Servers[Number % Servers.size()].Server->Entry.Id;
}

void serving_world::silenceServer(std::size_t Server, core_duration Time) {
  Servers[Server % Servers.size()].Server->SilentUntil = now() + Time;
}

void serving_world::slowServer(std::size_t Server, double Factor) {
  Servers[Server % Servers.size()].Server->Slow = Factor;
}

void serving_world::coolServer(std::size_t Number) {
  world_server &Server = *Servers[Number % Servers.size()].Server;
  if (!Options.WarmUp || !Server.Up || now() < Server.ColdUntil)
    return;
  Server.ColdUntil = now() + Options.WarmUp->ColdTime;
  Book.onCold(Server.Entry.Id, Options.WarmUp->PerSecond, false,
              Server.ColdUntil, now());
}

void serving_world::pauseServer(std::size_t Server, core_duration Time) {
  Servers[Server % Servers.size()].Server->RefusesUntil = now() + Time;
}

void serving_world::orderZone(const zone_id &Zone, bool Empties) {
  if (EmptiedZones.contains(Zone) == Empties)
    return;
  const zone_order Order{Zone, object_version(++LastRevision), Empties};
  if (Empties)
    EmptiedZones[Zone] = Order;
  else
    EmptiedZones.erase(Zone);
  Book.onZoneOrder(Order, now());
  after(StoreLag, [this, Order] {
    for (const std::unique_ptr<world_host> &Host : Hosts)
      Host->hearZone(Order);
  });
}

void serving_world::changeConfig() {
  NewestConfig = config_version(NewestConfig.Value + 1);
  for (const std::unique_ptr<world_host> &Host : Hosts)
    Host->hearConfig(NewestConfig);
}

void serving_world::deafen(std::size_t Host) {
  Hosts[Host % Hosts.size()]->setStoreView(store_view::Deaf);
}

void serving_world::turnAway(std::size_t Host) {
  Hosts[Host % Hosts.size()]->setStoreView(store_view::TurnedAway);
}

void serving_world::judgeConfigs(const std::string &When) {
  for (const std::unique_ptr<world_host> &Host : Hosts)
    if (Host->up() && Host->core()->configVersion() < NewestConfig)
      Book.add(promise::ConfigInForce, now(),
               "a host uses configuration " +
                   std::to_string(Host->core()->configVersion().Value) + " " +
                   When + ", the newest is " +
                   std::to_string(NewestConfig.Value));
}

void serving_world::calm() {
  Calm = true;
  healNetwork();
  for (const std::unique_ptr<world_host> &Host : Hosts)
    Host->setStoreView(store_view::Live);
  Net.setQuality({});
  for (std::size_t Zone = 0; Zone < Options.Zones; ++Zone)
    takeBackZone(Zone);
  for (const server_slot &Slot : Servers) {
    Slot.Server->Slow = 1;
    Slot.Server->SilentUntil = core_time{};
    Slot.Server->RefusesUntil = core_time{};
    Book.onPauseEnded(Slot.Server->Entry.Id);
    if (Slot.Server->Limit) {
      Slot.Server->Limit.reset();
      Book.onLimit(Slot.Server->Entry.Id, std::nullopt, now());
    }
  }
  for (const std::unique_ptr<world_host> &Host : Hosts)
    Host->start();
}

void serving_world::run(core_duration Time) {
  Queue.runFor(Time);
  Book.judge(now());
}

std::uint64_t serving_world::bytesKept() const {
  std::uint64_t Bytes = 0;
  for (const server_slot &Slot : Servers)
    if (Slot.Server->Up)
      Bytes += Slot.Server->bytesKept();
  return Bytes;
}

std::uint64_t serving_world::batches() const {
  std::uint64_t Sum = 0;
  for (const std::unique_ptr<world_host> &Host : Hosts)
    if (Host->core())
      Sum += Host->core()->counters().Batches;
  return Sum;
}

std::uint64_t serving_world::batchedPieces() const {
  std::uint64_t Sum = 0;
  for (const std::unique_ptr<world_host> &Host : Hosts)
    if (Host->core())
      Sum += Host->core()->counters().BatchedPieces;
  return Sum;
}

} // namespace jasminecroft::testing
