// The hosts and backend servers of a fleet: their lives, events and wake-ups.
#include "jasminecroft/testing/virtual_fleet.h"

#include <algorithm>

namespace jasminecroft::testing {

namespace {

constexpr core_duration SpinStep{1'000};
constexpr core_duration LongestClockOffset{1'000'000'000};
constexpr core_duration LongestWallSkew{200'000};
constexpr wall_time FirstWallTime{std::chrono::milliseconds(1'700'000'000'000)};

wall_time wallAt(core_time Time, core_duration Skew) {
  return FirstWallTime + std::chrono::duration_cast<std::chrono::milliseconds>(
                             Time.time_since_epoch() + Skew);
}

bool startsAttempt(const action_list &Actions) {
  for (const action &Action : Actions)
    if (std::holds_alternative<start_attempt>(Action))
      return true;
  return false;
}

} // namespace

virtual_fleet::virtual_fleet(const fleet_plan &Plan, std::uint64_t Seed,
                             fleet_observer &Observer)
    : Plan(Plan), Random(Seed), Platform(Queue, Random), Network(Queue, Random),
      Observer(Observer) {
  Platform.onWrite([this](const object_key &Key, const stored_object &Value) {
    this->Observer.onWrite(Key, Value);
  });
  addBackends();
  addHosts();
}

void virtual_fleet::start() {
  Platform.put(configKey(), Plan.Config);
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
    startHost(Host);
  Platform.put(hostListKey(), presentHosts());
}

virtual_fleet::~virtual_fleet() = default;

void virtual_fleet::addHosts() {
  for (const zone_spec &Zone : Plan.Zones) {
    for (std::uint32_t I = 0; I < Zone.EntryHosts; ++I) {
      entry_host Host;
      std::string Number = std::to_string(Hosts.size());
      Host.Name = entry_host_id("e" + Number);
      Host.Zone = Zone.Zone;
      Host.Region = Zone.Region;
      Host.Address = endpoint("e" + Number + ":1");
      Host.ClockOffset = Random.between(core_duration(0), LongestClockOffset);
      Host.WallSkew = Random.between(-LongestWallSkew, LongestWallSkew);
      HostByAddress.emplace(Host.Address, Hosts.size());
      Hosts.push_back(std::move(Host));
    }
  }
}

void virtual_fleet::addBackends() {
  for (const backend_spec &Spec : Plan.Backends) {
    BackendByAddress.emplace(Spec.Address, Backends.size());
    Backends.push_back(makeBackend(Spec, incarnation(1)));
  }
}

std::unique_ptr<fake_backend>
virtual_fleet::makeBackend(const backend_spec &Spec, incarnation Run) {
  std::unique_ptr<fake_backend> Made =
      std::make_unique<fake_backend>(Queue, Random, Spec, Run, Observer);
  if (Plan.ServiceTime)
    Made->setServiceTime(Plan.ServiceTime);
  return Made;
}

core_settings virtual_fleet::settingsOf(const entry_host &Host) const {
  core_settings Settings;
  Settings.Fleet = Plan.Config.Fleet;
  Settings.Self = {Host.Name, Host.Run};
  Settings.Zone = Host.Zone;
  Settings.Region = Host.Region;
  Settings.Address = Host.Address;
  Settings.Scheduler = Plan.Scheduler;
  std::unordered_map<zone_id, std::uint32_t> Taken;
  for (const entry_host &Other : Hosts)
    if (Other.Name != Host.Name && Taken[Other.Zone]++ < Plan.SeedsPerZone)
      Settings.Seeds.push_back({Other.Name, Other.Zone, Other.Address});
  return Settings;
}

host_list virtual_fleet::presentHosts() const {
  host_list List;
  for (const entry_host &Host : Hosts) {
    if (!Host.Core)
      continue;
    host_state State =
        Host.ShuttingDown ? host_state::Leaving : host_state::Live;
    List.Hosts.push_back({host_kind::EntryHost, Host.Name.Value, Host.Zone,
                          Host.Region, Host.Address, pool_id(), Host.Run,
                          State});
  }
  for (const std::unique_ptr<fake_backend> &Backend : Backends) {
    if (Backend->state() == backend_state::Dead)
      continue;
    const backend_spec &Spec = Backend->spec();
    host_state State = Backend->state() == backend_state::Leaving
                           ? host_state::Leaving
                           : host_state::Live;
    List.Hosts.push_back({host_kind::BackendServer, Spec.Name.Value, Spec.Zone,
                          region_id(), Spec.Address, Spec.Pool, Backend->run(),
                          State});
  }
  return List;
}

void virtual_fleet::publishHosts() {
  host_list Present = presentHosts();
  Queue.after(Plan.HostListLag, [this, Present] {
    const stored_object *Now = Platform.find(hostListKey());
    if (!Now || std::get<host_list>(*Now) != Present)
      Platform.put(hostListKey(), Present);
  });
}

host_run virtual_fleet::hostRun(std::size_t Host) const {
  return {Hosts[Host].Name, Hosts[Host].Run};
}

host_condition virtual_fleet::condition(std::size_t Host) const {
  if (!Hosts[Host].Core)
    return host_condition::Down;
  return Hosts[Host].Frozen ? host_condition::Frozen : host_condition::Up;
}

readiness virtual_fleet::hostReadiness(std::size_t Host) const {
  return Hosts[Host].Readiness;
}

request_id virtual_fleet::submit(std::size_t Host, request_received Call) {
  if (!Hosts[Host].Core)
    return request_id();
  LastRequest = LastRequest.next();
  Call.Request = LastRequest;
  deliver(Host, Hosts[Host].Run, Call);
  return LastRequest;
}

void virtual_fleet::callerGone(std::size_t Host, request_id Request) {
  deliver(Host, Hosts[Host].Run, caller_disconnected{Request});
}

std::optional<status_document> virtual_fleet::status(std::size_t Host,
                                                     status_topic Topic) {
  if (condition(Host) != host_condition::Up)
    return std::nullopt;
  LastQuery = LastQuery.next();
  action_list Actions = handle(Host, status_requested{LastQuery, Topic});
  std::optional<status_document> Document;
  for (const action &Action : Actions)
    if (const reply_status *Reply = std::get_if<reply_status>(&Action))
      Document = Reply->Document;
  perform(Host, Actions);
  return Document;
}

void virtual_fleet::startHost(std::size_t Index) {
  entry_host &Host = Hosts[Index];
  if (Host.Core)
    return;
  Observer.beforeDisturbance();
  Host.Run = Host.Run.next();
  Host.Frozen = false;
  Host.FreezeBeforeDispatch = false;
  Host.ShuttingDown = false;
  Host.UpSince = Queue.now();
  Host.Readiness = readiness::NoConfig;
  core_settings Settings = settingsOf(Host);
  Settings.Seed = Random.next();
  Host.Core = std::make_unique<entry_core>(Settings);
  Observer.onHostStarted(hostRun(Index), Host.Zone);
  process(Index, wall_clock_observed{wallAt(Queue.now(), Host.WallSkew)});
  publishHosts();
}

void virtual_fleet::killHost(std::size_t Host) {
  if (!Hosts[Host].Core)
    return;
  Observer.beforeDisturbance();
  Observer.onHostDied(hostRun(Host));
  down(Host);
}

void virtual_fleet::down(std::size_t Index) {
  entry_host &Host = Hosts[Index];
  Host.Core.reset();
  Host.Frozen = false;
  Host.Backlog.clear();
  Host.HeldActions.clear();
  Host.WakeupAt.reset();
  Host.Calls.clear();
  publishHosts();
  if (Plan.ReplaceHostsAfter)
    Queue.after(*Plan.ReplaceHostsAfter, [this, Index] { startHost(Index); });
}

void virtual_fleet::freezeHost(std::size_t Host) {
  if (condition(Host) != host_condition::Up)
    return;
  Observer.beforeDisturbance();
  Hosts[Host].Frozen = true;
  Observer.onHostFrozen(hostRun(Host));
}

void virtual_fleet::freezeHostBeforeDispatch(std::size_t Host) {
  if (condition(Host) == host_condition::Up)
    Hosts[Host].FreezeBeforeDispatch = true;
}

void virtual_fleet::resumeHost(std::size_t Index) {
  entry_host &Host = Hosts[Index];
  Host.FreezeBeforeDispatch = false;
  if (condition(Index) != host_condition::Frozen)
    return;
  Observer.beforeDisturbance();
  Host.Frozen = false;
  Host.UpSince = Queue.now();
  Observer.onHostResumed(hostRun(Index));
  incarnation Run = Host.Run;
  action_list Held = std::move(Host.HeldActions);
  Host.HeldActions.clear();
  std::vector<event> Backlog = std::move(Host.Backlog);
  Host.Backlog.clear();
  perform(Index, Held);
  for (const event &Event : Backlog)
    deliver(Index, Run, Event);
  if (condition(Index) == host_condition::Up)
    scheduleWakeup(Index, Queue.now());
}

void virtual_fleet::shutDownHost(std::size_t Host) {
  if (!Hosts[Host].Core || Hosts[Host].ShuttingDown)
    return;
  Hosts[Host].ShuttingDown = true;
  publishHosts();
  deliver(Host, Hosts[Host].Run, shutdown_requested{});
}

void virtual_fleet::deliver(std::size_t Index, incarnation Run,
                            const event &Event) {
  entry_host &Host = Hosts[Index];
  if (!Host.Core || Host.Run != Run)
    return;
  if (Host.Frozen) {
    Host.Backlog.push_back(Event);
    return;
  }
  process(Index, Event);
}

action_list virtual_fleet::handle(std::size_t Index, const event &Event) {
  entry_host &Host = Hosts[Index];
  ++Counts.Events;
  Observer.onEvent(hostRun(Index), Event);
  return Host.Core->handle(Event, Queue.now() + Host.ClockOffset);
}

void virtual_fleet::process(std::size_t Index, const event &Event) {
  action_list Actions = handle(Index, Event);
  entry_host &Host = Hosts[Index];
  if (Host.FreezeBeforeDispatch && startsAttempt(Actions)) {
    Host.FreezeBeforeDispatch = false;
    Host.HeldActions = std::move(Actions);
    freezeHost(Index);
    return;
  }
  perform(Index, Actions);
}

void virtual_fleet::perform(std::size_t Index, const action_list &Actions) {
  entry_host &Host = Hosts[Index];
  incarnation Run = Host.Run;
  for (const action &Action : Actions) {
    if (!Host.Core || Host.Run != Run)
      return;
    ++Counts.Actions;
    Observer.onAction(hostRun(Index), Action);
    std::visit([this, Index](const auto &A) { carryOut(Index, A); }, Action);
  }
  if (Host.Core && Host.Run == Run)
    scheduleWakeup(Index, Queue.now());
}

void virtual_fleet::scheduleWakeup(std::size_t Index, core_time NotBefore) {
  entry_host &Host = Hosts[Index];
  std::optional<core_time> Wanted = Host.Core->nextWakeup();
  if (!Wanted)
    return;
  core_time When = std::max(*Wanted - Host.ClockOffset, NotBefore);
  if (Host.WakeupAt && *Host.WakeupAt <= When)
    return;
  Host.WakeupAt = When;
  Queue.at(When, [this, Index, Run = Host.Run, When] {
    onWakeupDue(Index, Run, When);
  });
}

void virtual_fleet::onWakeupDue(std::size_t Index, incarnation Run,
                                core_time Due) {
  entry_host &Host = Hosts[Index];
  // A later entry for a wake-up that has been moved forward is ignored.
  if (!Host.Core || Host.Run != Run || Host.WakeupAt != Due)
    return;
  Host.WakeupAt.reset();
  if (Host.Frozen)
    return;
  std::optional<core_time> Wanted = Host.Core->nextWakeup();
  if (!Wanted || *Wanted - Host.ClockOffset > Queue.now()) {
    scheduleWakeup(Index, Queue.now());
    return;
  }
  process(Index, wakeup{});
  if (condition(Index) != host_condition::Up || Host.Run != Run)
    return;
  Wanted = Host.Core->nextWakeup();
  if (!Wanted || *Wanted - Host.ClockOffset > Queue.now())
    return;
  ++Counts.SpinningWakeups;
  Host.WakeupAt.reset();
  scheduleWakeup(Index, Queue.now() + SpinStep);
}

void virtual_fleet::killBackend(std::size_t Backend) {
  Backends[Backend]->die();
  publishHosts();
}

void virtual_fleet::replaceBackend(std::size_t Backend) {
  fake_backend &Old = *Backends[Backend];
  Old.die();
  std::unique_ptr<fake_backend> New = makeBackend(Old.spec(), Old.run().next());
  FormerBackends.push_back(std::move(Backends[Backend]));
  Backends[Backend] = std::move(New);
  publishHosts();
}

void virtual_fleet::backendLeaves(std::size_t Backend, bool RefusesNew) {
  Backends[Backend]->leave(RefusesNew);
  publishHosts();
}

} // namespace jasminecroft::testing
