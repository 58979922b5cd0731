// Cores in virtual time over fakes that obey a session.
#include "jasminecroft/testing/session_fleet.h"

namespace jasminecroft::testing {

namespace {

constexpr core_duration SetupTime{3'000'000};
constexpr core_duration ShortestStep{1'000};
constexpr std::uint32_t BackendSlots = 4;
const fleet_id Fleet("session");
const zone_id Zone("z1");
const pool_id Pool("p");

fleet_config configOf(const std::string &Stages) {
  fleet_config Config;
  Config.Version = config_version(1);
  Config.Fleet = Fleet;
  Config.Workspaces.insert(workspace_id("w"));
  Config.Pools[Pool] = {Pool, pool_kind::PlainService, BackendSlots, false};
  pipeline_definition Pipeline{pipeline_id("x"), {}};
  for (char Letter : Stages)
    Pipeline.Stages.push_back(
        {stage_id(std::string(1, Letter)), Pool, Letter >= 'a'});
  Config.Pipelines[Pipeline.Name] = Pipeline;
  return Config;
}

bool isAboutClaims(const peer_message &Message) {
  return std::holds_alternative<claim_query>(Message.Body) ||
         std::holds_alternative<claim_query_reply>(Message.Body);
}

} // namespace

session_fleet::session_fleet(const std::vector<std::string> &HostNames,
                             const std::string &Stages)
    : Names(HostNames), Config(configOf(Stages)) {
  for (const std::string &Name : Names)
    start(Name);
  advance(SetupTime);
  Visible.clear();
}

host_list session_fleet::listedHosts() const {
  host_list List;
  for (const std::string &Name : Names) {
    listed_host Entry;
    Entry.Kind = host_kind::EntryHost;
    Entry.Name = Name;
    Entry.Zone = Zone;
    Entry.Address = endpoint(Name);
    Entry.Run = Hosts.at(Name).Run;
    List.Hosts.push_back(Entry);
  }
  for (const char *Name : {"b1", "b2"}) {
    listed_host Entry;
    Entry.Name = Name;
    Entry.Zone = Zone;
    Entry.Address = endpoint(Name);
    Entry.Pool = Pool;
    Entry.Run = incarnation(1);
    List.Hosts.push_back(Entry);
  }
  return List;
}

void session_fleet::start(const std::string &Name) {
  host &Host = Hosts[Name];
  Host.Run = Host.Run.next();
  Host.Stopped = false;
  core_settings Settings;
  Settings.Fleet = Fleet;
  Settings.Self = {entry_host_id(Name), Host.Run};
  Settings.Zone = Zone;
  Settings.Address = endpoint(Name);
  Settings.Seed = 1;
  Settings.Scheduler = scheduler_kind::Baseline;
  for (const std::string &Peer : Names)
    if (Peer != Name)
      Settings.Seeds.push_back({entry_host_id(Peer), Zone, endpoint(Peer)});
  Host.Core = std::make_unique<entry_core>(Settings);
  wall_time Wall(std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.time_since_epoch()));
  Automatic.emplace_back(Name, wall_clock_observed{Wall});
}

void session_fleet::restart(const std::string &Name) {
  start(Name);
  drain();
}

void session_fleet::handle(const std::string &Host, const event &Event) {
  process(Host, Event);
  drain();
}

void session_fleet::process(const std::string &Host, const event &Event) {
  if (Hosts.at(Host).Stopped)
    return;
  for (const action &Action : Hosts.at(Host).Core->handle(Event, Now))
    perform(Host, Action);
}

void session_fleet::drain() {
  while (!Automatic.empty()) {
    std::pair<std::string, event> Next = std::move(Automatic.front());
    Automatic.pop_front();
    process(Next.first, Next.second);
  }
}

void session_fleet::perform(const std::string &Host, const action &Action) {
  if (const call_platform *Call = std::get_if<call_platform>(&Action)) {
    onPlatformCall(Host, *Call);
    return;
  }
  if (const poll_load *Poll = std::get_if<poll_load>(&Action)) {
    load_reported Report;
    Report.Backend = Poll->Backend;
    Report.Run = incarnation(1);
    Report.Slots = BackendSlots;
    Automatic.emplace_back(Host, Report);
    return;
  }
  if (const send_to_peer *Send = std::get_if<send_to_peer>(&Action)) {
    if (!isAboutClaims(Send->Message)) {
      if (Hosts.contains(Send->Host.Value))
        Automatic.emplace_back(Send->Host.Value, peer_received{Send->Message});
      return;
    }
    ClaimMessages.push_back({Send->Host.Value, Send->Message});
  }
  if (std::holds_alternative<stop_process>(Action))
    Hosts.at(Host).Stopped = true;
  Visible.push_back({Host, Action});
}

void session_fleet::onPlatformCall(const std::string &Host,
                                   const call_platform &Call) {
  if (Call.Purpose == call_purpose::Claim) {
    ClaimCalls.push_back({Host, Hosts.at(Host).Run, Call});
    Visible.push_back({Host, Call});
    return;
  }
  if (Call.Purpose == call_purpose::Probe) {
    platform_result Result = object_absent{};
    if (PlatformFails)
      Result = platform_no_answer{};
    Automatic.emplace_back(Host, platform_replied{Call.Call, Result});
    return;
  }
  const get_object *Get = std::get_if<get_object>(&Call.Operation);
  if (!Get)
    return;
  stored_object Value = Config;
  if (Get->Key == hostListKey())
    Value = listedHosts();
  Automatic.emplace_back(
      Host,
      platform_replied{Call.Call, object_found{Value, object_version(1)}});
}

platform_result session_fleet::apply(const platform_operation &Operation) {
  if (const get_object *Get = std::get_if<get_object>(&Operation)) {
    auto Found = Objects.find(Get->Key);
    if (Found == Objects.end())
      return object_absent{};
    return object_found{Found->second.Value, Found->second.Version};
  }
  if (const create_object *Create = std::get_if<create_object>(&Operation)) {
    if (Objects.contains(Create->Key))
      return version_conflict{};
    LastVersion = LastVersion.next();
    Objects[Create->Key] = {Create->Value, LastVersion};
    return object_written{LastVersion};
  }
  const update_object *Update = std::get_if<update_object>(&Operation);
  if (!Update)
    return platform_refused{};
  auto Found = Objects.find(Update->Key);
  if (Found == Objects.end() || Found->second.Version != Update->Expected)
    return version_conflict{};
  LastVersion = LastVersion.next();
  Found->second = {Update->Value, LastVersion};
  return object_written{LastVersion};
}

bool session_fleet::decideClaimCall(platform_fate Fate) {
  if (ClaimCalls.empty())
    return false;
  claim_call Call = std::move(ClaimCalls.front());
  ClaimCalls.pop_front();
  PlatformFails = Fate != platform_fate::Apply;
  platform_result Result = platform_no_answer{};
  if (Fate == platform_fate::Apply)
    Result = apply(Call.Call.Operation);
  if (Fate == platform_fate::Lose)
    apply(Call.Call.Operation);
  if (Fate == platform_fate::Refuse)
    Result = platform_refused{};
  if (Fate == platform_fate::Hold)
    HeldCalls.push_back(Call);
  if (Hosts.at(Call.Host).Run == Call.Run)
    handle(Call.Host, platform_replied{Call.Call.Call, Result});
  return true;
}

bool session_fleet::applyHeldCall() {
  if (HeldCalls.empty())
    return false;
  apply(HeldCalls.front().Call.Operation);
  HeldCalls.pop_front();
  return true;
}

void session_fleet::deliverClaimMessages() {
  while (!ClaimMessages.empty()) {
    message Next = std::move(ClaimMessages.front());
    ClaimMessages.pop_front();
    if (Hosts.contains(Next.To))
      handle(Next.To, peer_received{Next.Message});
  }
}

void session_fleet::advance(core_duration Time) {
  core_time End = Now + Time;
  drain();
  while (true) {
    std::optional<core_time> Due;
    std::string Host;
    for (const std::pair<const std::string, host> &Entry : Hosts) {
      if (Entry.second.Stopped)
        continue;
      std::optional<core_time> Wakeup = Entry.second.Core->nextWakeup();
      if (Wakeup && (!Due || *Wakeup < *Due)) {
        Due = Wakeup;
        Host = Entry.first;
      }
    }
    if (!Due || *Due > End)
      break;
    // A wake-up in the past would stop the time.
    Now = *Due > Now ? *Due : Now + ShortestStep;
    handle(Host, wakeup{});
  }
  Now = std::max(Now, End);
}

std::vector<host_action> session_fleet::takeActions() {
  std::vector<host_action> Taken;
  Taken.swap(Visible);
  return Taken;
}

} // namespace jasminecroft::testing
