// Knowledge of leaving servers, planned stops and configurations in force.
#include "jasminecroft/testing/oracle.h"

#include <algorithm>

namespace jasminecroft::testing {

namespace {

/// Time in which a leaving server must be known to all who can hear of it.
constexpr core_duration LeavingBound{3'000'000};
/// Time in which an accepted configuration must be in force.
constexpr core_duration ConfigBound{4'000'000};
/// Time in which a host stops once nothing is left to wait for.
constexpr core_duration StopBound{15'000'000};

std::string name(const host_run &Host) {
  return Host.Host.Value + "#" + std::to_string(Host.Run.Value);
}

std::string name(const leaving_fact &Fact) {
  return Fact.Backend.Value + "#" + std::to_string(Fact.Run.Value);
}

std::string seconds(core_duration Time) {
  return std::to_string(static_cast<double>(Time.count()) / 1e6) + " s";
}

} // namespace

void oracle::attach(virtual_fleet &NewFleet) {
  Fleet = &NewFleet;
  Requests =
      std::make_unique<request_oracle>(NewFleet.queue(), Config, Violations);
}

void oracle::report(promise Promise, const std::string &What) {
  Violations.push_back({Promise, Fleet->now(), What});
}

config_version oracle::newestAccepted() const {
  return Accepted.empty() ? config_version() : Accepted.rbegin()->first;
}

void oracle::tick() {
  Requests->checkDeadlines(Frozen);
  checkConfigs();
  spreadLeaving();
  checkStops();
}

void oracle::onHostDied(const host_run &Host) {
  ++Tally.Kills;
  Frozen.erase(Host);
  StopAsked.erase(Host);
  Requests->onHostDied(Host);
}

void oracle::onHostStopped(const host_run &Host) {
  ++Tally.StopsDone;
  if (StopAsked.erase(Host) == 0)
    report(promise::GracefulStop, name(Host) + " stopped without being asked");
  Requests->onHostStopped(Host);
}

void oracle::onHostFrozen(const host_run &Host) {
  ++Tally.Freezes;
  Frozen.insert(Host);
}

void oracle::onHostResumed(const host_run &Host) {
  Frozen.erase(Host);
  Requests->onHostResumed(Host);
}

void oracle::onEvent(const host_run &Host, const event &Event) {
  Requests->onEvent(Host, Event);
  if (const load_reported *Report = std::get_if<load_reported>(&Event)) {
    if (Report->Leaving)
      learnLeaving(Host, {Report->Backend, Report->Run});
    return;
  }
  if (const platform_replied *Reply = std::get_if<platform_replied>(&Event)) {
    const object_found *Found = std::get_if<object_found>(&Reply->Result);
    const host_list *Hosts =
        Found ? std::get_if<host_list>(&Found->Value) : nullptr;
    if (Hosts)
      learnFromList(Host, *Hosts);
    return;
  }
  if (const attempt_failed *Failed = std::get_if<attempt_failed>(&Event)) {
    auto Known = AttemptBackends.find({Host, Failed->Attempt});
    if (Failed->Error != backend_error::RefusedLeaving ||
        Known == AttemptBackends.end())
      return;
    for (std::size_t I = 0; I < Fleet->backendCount(); ++I)
      if (Fleet->backend(I).spec().Name == Known->second)
        learnLeaving(Host, {Known->second, Fleet->backend(I).run()});
    return;
  }
  if (std::holds_alternative<shutdown_requested>(Event)) {
    ++Tally.StopsAsked;
    StopAsked.emplace(Host, Fleet->now());
  }
}

void oracle::onAction(const host_run &Host, const action &Action) {
  Requests->onAction(Host, Action);
  if (const start_attempt *Start = std::get_if<start_attempt>(&Action))
    AttemptBackends[{Host, Start->Attempt}] = Start->Backend;
}

void oracle::onBackendRun(const backend_run &Run) {
  Requests->onBackendRun(Run);
}

// Leaving backend servers.

bool oracle::isLeaving(const leaving_fact &Fact) {
  for (std::size_t I = 0; I < Fleet->backendCount(); ++I) {
    fake_backend &Backend = Fleet->backend(I);
    if (Backend.spec().Name == Fact.Backend)
      return Backend.run() == Fact.Run &&
             Backend.state() == backend_state::Leaving;
  }
  return false;
}

void oracle::learnLeaving(const host_run &Host, const leaving_fact &Fact) {
  if (Leaving[Fact]
          .emplace(Host,
                   leaving_knowledge{Fleet->now(), Fleet->now() + LeavingBound})
          .second)
    ++Tally.LeavingFacts;
}

void oracle::learnFromList(const host_run &Host, const host_list &Hosts) {
  for (const listed_host &Listed : Hosts.Hosts)
    if (Listed.Kind == host_kind::BackendServer &&
        Listed.State == host_state::Leaving)
      learnLeaving(Host, {backend_id(Listed.Name), Listed.Run});
}

std::optional<core_time> oracle::joinedSince(std::size_t A,
                                             std::size_t B) const {
  const fake_network &Network = Fleet->network();
  if (Fleet->condition(A) != host_condition::Up ||
      Fleet->condition(B) != host_condition::Up || !Network.perfect() ||
      !Network.linked(Fleet->hostZone(A), Fleet->hostZone(B)))
    return std::nullopt;
  core_time Linked =
      Network.linkedSince(Fleet->hostZone(A), Fleet->hostZone(B));
  return std::max(
      {Linked, Network.perfectSince(), Fleet->upSince(A), Fleet->upSince(B)});
}

void oracle::spreadLeaving() {
  for (auto It = Leaving.begin(); It != Leaving.end();) {
    if (isLeaving(It->first)) {
      spreadFact(It->second);
      ++It;
    } else {
      It = Leaving.erase(It);
    }
  }
}

void oracle::spreadFact(knowledge_map &Known) {
  for (std::size_t From = 0; From < Fleet->hostCount(); ++From) {
    auto Knows = Known.find(Fleet->hostRun(From));
    if (Knows == Known.end())
      continue;
    core_time Learnt = Knows->second.Learnt;
    for (std::size_t To = 0; To < Fleet->hostCount(); ++To) {
      std::optional<core_time> Joined = joinedSince(From, To);
      if (!Joined || Known.contains(Fleet->hostRun(To)))
        continue;
      core_time Reached = std::max(*Joined, Learnt) + LeavingBound;
      if (Reached <= Fleet->now())
        Known.emplace(Fleet->hostRun(To), leaving_knowledge{Reached, Reached});
    }
  }
}

void oracle::beforeDisturbance() { spreadLeaving(); }

void oracle::onBackendReceived(const backend_id &Backend, incarnation Run,
                               const backend_call &Call) {
  leaving_fact Fact{Backend, Run};
  if (!isLeaving(Fact))
    return;
  ++Tally.ReceivedWhileLeaving;
  spreadLeaving();
  auto Known = Leaving.find(Fact);
  if (Known == Leaving.end())
    return;
  auto Must = Known->second.find(Call.Caller);
  if (Must == Known->second.end() || Call.SentAt <= Must->second.MustActFrom)
    return;
  for (std::size_t Host = 0; Host < Fleet->hostCount(); ++Host)
    if (Fleet->hostRun(Host) == Call.Caller &&
        Call.SentAt == Fleet->upSince(Host))
      return; // Decided before the host was frozen.
  report(promise::LeavingIsLeft,
         name(Fact) + " got new work from " + name(Call.Caller) + " " +
             seconds(Call.SentAt - Must->second.MustActFrom + LeavingBound) +
             " after that host could know");
}

// The configuration in force.

void oracle::onWrite(const object_key &Key, const stored_object &Value) {
  const fleet_config *Written = std::get_if<fleet_config>(&Value);
  if (!Written || Key != configKey())
    return;
  ++Tally.ConfigsAccepted;
  if (!Accepted.empty() && (Written->Changes.empty() ||
                            !Offered.contains(Written->Changes.back().Id)))
    report(promise::ConfigInForce, "a configuration that no operator offered");
  Accepted[Written->Version] = {*Written, Fleet->now()};
}

void oracle::checkConfigs() {
  for (std::size_t Host = 0; Host < Fleet->hostCount(); ++Host)
    readConfig(Host);
  for (std::size_t Host = 0; Host < Fleet->hostCount(); ++Host)
    checkConfigOverdue(Host);
}

void oracle::readConfig(std::size_t Host) {
  std::optional<status_document> Document =
      Fleet->status(Host, status_topic::Config);
  if (!Document)
    return;
  ++Tally.ConfigReadings;
  judgeReading(Host, std::get<config_status>(*Document).Config);
}

void oracle::judgeReading(std::size_t Host, const fleet_config &Found) {
  host_run Run = Fleet->hostRun(Host);
  config_reading &Reading = Readings[Run];
  if (Found.Version < Reading.Version)
    report(promise::ConfigInForce, name(Run) + " reverted from version " +
                                       std::to_string(Reading.Version.Value) +
                                       " to " +
                                       std::to_string(Found.Version.Value));
  if (Found.Version == Reading.Version)
    return;
  Reading.Version = Found.Version;
  auto Known = Accepted.find(Found.Version);
  if (Known == Accepted.end() || Known->second.Config != Found)
    report(promise::ConfigInForce,
           name(Run) + " has version " + std::to_string(Found.Version.Value) +
               " in force, which was not accepted as it is");
  for (const std::pair<const config_version, accepted_config> &Entry : Accepted)
    if (Entry.first <= Found.Version)
      Reading.SeenAt.emplace(Entry.first, Fleet->now());
}

std::optional<core_time> oracle::platformSince(std::size_t Host) const {
  const fake_platform &Platform = Fleet->platform();
  const zone_id &Zone = Fleet->hostZone(Host);
  if (Platform.fault() != platform_fault::None || !Platform.reachable(Zone))
    return std::nullopt;
  return std::max(Platform.reachableSince(Zone), Fleet->upSince(Host));
}

std::optional<core_time> oracle::couldHaveSince(std::size_t Host,
                                                config_version Wanted,
                                                core_time AcceptedAt) const {
  std::optional<core_time> Since = platformSince(Host);
  if (Since)
    Since = std::max(*Since, AcceptedAt);
  for (std::size_t Peer = 0; Peer < Fleet->hostCount(); ++Peer) {
    auto Reading = Readings.find(Fleet->hostRun(Peer));
    std::optional<core_time> Joined = joinedSince(Peer, Host);
    if (Peer == Host || !Joined || Reading == Readings.end())
      continue;
    auto Seen = Reading->second.SeenAt.find(Wanted);
    if (Seen == Reading->second.SeenAt.end())
      continue;
    core_time FromPeer = std::max(*Joined, Seen->second);
    if (!Since || FromPeer < *Since)
      Since = FromPeer;
  }
  return Since;
}

void oracle::checkConfigOverdue(std::size_t Host) {
  if (Fleet->condition(Host) != host_condition::Up)
    return;
  host_run Run = Fleet->hostRun(Host);
  config_reading &Reading = Readings[Run];
  auto Missing = Accepted.upper_bound(Reading.Version);
  if (Missing == Accepted.end() || Missing->first <= Reading.Complained)
    return;
  std::optional<core_time> Since =
      couldHaveSince(Host, Missing->first, Missing->second.At);
  if (!Since || Fleet->now() - *Since <= ConfigBound)
    return;
  Reading.Complained = Missing->first;
  report(promise::ConfigInForce,
         name(Run) + " has version " + std::to_string(Reading.Version.Value) +
             " but could have had " + std::to_string(Missing->first.Value) +
             " for " + seconds(Fleet->now() - *Since));
}

// Planned stops.

void oracle::checkStops() {
  for (std::size_t Host = 0; Host < Fleet->hostCount(); ++Host) {
    host_run Run = Fleet->hostRun(Host);
    auto Asked = StopAsked.find(Run);
    std::optional<core_time> Reachable = platformSince(Host);
    if (Asked == StopAsked.end() || StopComplained.contains(Run) ||
        !Reachable || Fleet->condition(Host) != host_condition::Up)
      continue;
    core_time Free = std::max(Asked->second, *Reachable);
    Free = std::max(Free, Requests->latestOpenDeadline(Run).value_or(Free));
    if (Fleet->now() - Free <= StopBound)
      continue;
    StopComplained.insert(Run);
    report(promise::GracefulStop,
           name(Run) + " was asked to stop and has not stopped " +
               seconds(Fleet->now() - Free) + " after its last request");
  }
}

} // namespace jasminecroft::testing
