// Carries the commands of a case out, lets time pass, and ends with a check
// that everything is served again.
#include "jasminecroft/testing/fleet_fuzz.h"

#include <algorithm>
#include <deque>

namespace jasminecroft::testing {

namespace {

constexpr core_duration StartUp{1'500'000};
constexpr core_duration ShortestStep{5'000};
constexpr core_duration LongestStep{120'000};
constexpr core_duration ShortestFault{300'000};
constexpr core_duration ShortestFreeze{100'000};
constexpr core_duration BackendReplacement{2'000'000};
constexpr core_duration LeavingTime{7'000'000};
constexpr core_duration Settling{14'000'000};
constexpr core_duration ProbeDeadline{5'000'000};
constexpr core_duration ProbeMargin{200'000};
constexpr std::size_t RememberedRequests = 16;
constexpr double SlowFactor = 8;
/// Every so many asks are a burst of equal requests.
constexpr std::uint32_t BurstEvery = 23;
constexpr std::uint32_t BurstSize = 14;

core_duration milliseconds(std::uint32_t Count) {
  return std::chrono::milliseconds(Count);
}

/// A request that was asked and may be asked again.
struct past_request {
  std::size_t Host = 0;
  request_id Id;
  request_received Call;
  std::uint32_t Calls = 1;
};

class fuzz_session {
public:
  fuzz_session(const fuzz_case &Case, const promise_set &Judged,
               std::ostream *Trace)
      : Case(Case), Judged(Judged),
        Plan(makePlan(Case.Zones, Case.HostsPerZone)), Judge(Plan.Config),
        Tracer(Judge, Trace), Fleet(Plan, Case.Seed, Tracer),
        Operators(Fleet.queue(), Fleet.platform()) {
    Judge.attach(Fleet);
    Tracer.attach(Fleet.queue());
    Operators.onOffer(
        [this](const change_id &Change) { Judge.expectChange(Change); });
  }

  fuzz_report run();

private:
  bool failed();
  void advance(core_duration Time);
  void carryOut(const fuzz_command &Command);
  void ask(const fuzz_command &Command);
  void askOnce(const fuzz_command &Command);
  void askAgain(const fuzz_command &Command, bool OtherBody);
  void send(std::size_t Host, past_request &Request);
  void callerGone(const fuzz_command &Command);
  void freeze(const fuzz_command &Command);
  void cutZones(const fuzz_command &Command);
  void cutPlatform(const fuzz_command &Command);
  void platformFault(const fuzz_command &Command);
  void networkFault(const fuzz_command &Command);
  void backendLeaves(const fuzz_command &Command);
  void backendDies(const fuzz_command &Command);
  void backendSlows(const fuzz_command &Command);
  void backendErrs(const fuzz_command &Command);
  void changeConfig(const fuzz_command &Command, std::uint32_t Operators);
  void endFaults();
  void settle();
  void probe();
  void checkIdle();

  /// A running host near the wanted one, as a balancer would choose.
  std::size_t chooseHost(const fuzz_command &Command) const;
  const zone_id &zone(std::uint32_t Number) const {
    return Plan.Zones[Number % Plan.Zones.size()].Zone;
  }
  core_duration faultTime(const fuzz_command &Command) const {
    return ShortestFault + milliseconds(Command.Milliseconds);
  }

  const fuzz_case &Case;
  const promise_set &Judged;
  const fleet_plan Plan;
  oracle Judge;
  fleet_trace Tracer;
  virtual_fleet Fleet;
  operator_driver Operators;
  std::deque<past_request> Past;
  std::uint64_t Bodies = 0;
  /// A later fault of a kind replaces an earlier one.
  std::uint64_t PlatformFaults = 0;
  std::uint64_t NetworkFaults = 0;
  core_time NextTick{};
  /// Violations of judged promises, and how many of all have been looked at.
  violation_list Found;
  std::size_t Looked = 0;
};

fuzz_report fuzz_session::run() {
  fuzz_report Report;
  Report.Cases = 1;
  Fleet.start();
  advance(StartUp);
  for (const fuzz_command &Command : Case.Commands) {
    if (failed())
      break;
    ++Report.Commands;
    ++Report.ByKind[static_cast<std::size_t>(Command.Kind)];
    carryOut(Command);
    advance(Fleet.random().between(ShortestStep, LongestStep));
  }
  if (!failed())
    settle();
  failed();
  Report.Violations = Found;
  Report.Requests = Judge.requests().tally();
  Report.Fleet = Judge.tally();
  Report.Operators = Operators.tally();
  Report.Platform = Fleet.platform().counts();
  Report.Network = Fleet.network().counts();
  Report.Counts = Fleet.counts();
  return Report;
}

bool fuzz_session::failed() {
  const violation_list &All = Judge.violations();
  for (; Looked < All.size(); ++Looked)
    if (Judged.contains(All[Looked].Promise))
      Found.push_back(All[Looked]);
  return !Found.empty();
}

void fuzz_session::advance(core_duration Time) {
  core_time End = Fleet.now() + Time;
  while (NextTick <= End && !failed()) {
    Fleet.queue().runUntil(NextTick);
    Judge.tick();
    NextTick += TickInterval;
  }
  if (!failed())
    Fleet.queue().runUntil(End);
}

void fuzz_session::carryOut(const fuzz_command &Command) {
  std::size_t Host = Command.Target % Fleet.hostCount();
  switch (Command.Kind) {
  case command_kind::Ask:
    return ask(Command);
  case command_kind::AskAgain:
    return askAgain(Command, false);
  case command_kind::AskOtherBody:
    return askAgain(Command, true);
  case command_kind::CallerGone:
    return callerGone(Command);
  case command_kind::Wait:
    return advance(milliseconds(Command.Milliseconds / 8));
  case command_kind::KillHost:
    return Fleet.killHost(Host);
  case command_kind::FreezeHost:
  case command_kind::FreezeBeforeDispatch:
    return freeze(Command);
  case command_kind::StopHost:
    return Fleet.shutDownHost(Host);
  case command_kind::CutZones:
    return cutZones(Command);
  case command_kind::CutPlatform:
    return cutPlatform(Command);
  case command_kind::PlatformFault:
    return platformFault(Command);
  case command_kind::NetworkFault:
    return networkFault(Command);
  case command_kind::BackendLeaves:
    return backendLeaves(Command);
  case command_kind::BackendDies:
    return backendDies(Command);
  case command_kind::BackendSlows:
    return backendSlows(Command);
  case command_kind::BackendErrs:
    return backendErrs(Command);
  case command_kind::ChangeConfig:
    return changeConfig(Command, 1);
  case command_kind::RaceOperators:
    return changeConfig(Command, 3);
  case command_kind::EndFaults:
    return endFaults();
  }
}

std::size_t fuzz_session::chooseHost(const fuzz_command &Command) const {
  std::size_t First = Command.Target % Fleet.hostCount();
  if (Command.Variant % 8 == 0)
    return First;
  for (std::size_t I = 0; I < Fleet.hostCount(); ++I) {
    std::size_t Host = (First + I) % Fleet.hostCount();
    if (Fleet.condition(Host) != host_condition::Down &&
        Fleet.hostReadiness(Host) == readiness::Ready)
      return Host;
  }
  return First;
}

void fuzz_session::send(std::size_t Host, past_request &Request) {
  Request.Host = Host;
  Request.Id = Fleet.submit(Host, Request.Call);
}

void fuzz_session::ask(const fuzz_command &Command) {
  std::uint32_t Count = Command.Variant % BurstEvery == 0 ? BurstSize : 1;
  for (std::uint32_t I = 0; I < Count; ++I)
    askOnce(Command);
}

void fuzz_session::askOnce(const fuzz_command &Command) {
  static constexpr const char *Names[] = {"lookup", "answer", "answer", "book",
                                          "book",   "file",   "sign"};
  past_request Request;
  request_received &Call = Request.Call;
  Call.Workspace = workspace_id(Command.Variant % 3 == 0 ? "south" : "north");
  Call.Pipeline = pipeline_id(Names[Command.Variant % 7]);
  Call.Body = "body-" + std::to_string(++Bodies);
  bool NeedsKey = Command.Variant % 7 >= 3;
  if (NeedsKey ? Command.Variant % 31 != 0 : Command.Variant % 5 == 0)
    Call.Key = idempotency_key("key-" + std::to_string(Bodies));
  if (Call.Key && Command.Variant % 4 != 0)
    Call.AttemptNumber = 1;
  if (Command.Variant % 11 != 0)
    Call.Remaining = milliseconds(100 + Command.Milliseconds / 2);
  Call.Streamed = Command.Variant % 3 == 1;
  if (Command.Variant % 6 == 0)
    Call.TokenLimit = 1 + Command.Variant;
  send(chooseHost(Command), Request);
  Past.push_back(Request);
  if (Past.size() > RememberedRequests)
    Past.pop_front();
}

void fuzz_session::askAgain(const fuzz_command &Command, bool OtherBody) {
  if (Past.empty())
    return;
  past_request &Request = Past[Command.Variant % Past.size()];
  if (!Request.Call.Key)
    return;
  ++Request.Calls;
  request_received Original = Request.Call;
  Request.Call.AttemptNumber.reset();
  if (Command.Variant % 3 != 0)
    Request.Call.AttemptNumber = Request.Calls;
  if (OtherBody)
    Request.Call.Body = "other-" + std::to_string(++Bodies);
  Request.Call.Remaining = milliseconds(100 + Command.Milliseconds / 2);
  send(chooseHost(Command), Request);
  if (OtherBody)
    Request.Call.Body = Original.Body;
}

void fuzz_session::callerGone(const fuzz_command &Command) {
  if (Past.empty())
    return;
  const past_request &Request = Past[Command.Variant % Past.size()];
  if (Request.Id.Value != 0 && !Judge.requests().answerTo(Request.Id) &&
      Fleet.condition(Request.Host) == host_condition::Up)
    Fleet.callerGone(Request.Host, Request.Id);
}

void fuzz_session::freeze(const fuzz_command &Command) {
  std::size_t Host = Command.Target % Fleet.hostCount();
  if (Command.Kind == command_kind::FreezeHost)
    Fleet.freezeHost(Host);
  else
    Fleet.freezeHostBeforeDispatch(Host);
  Fleet.queue().after(ShortestFreeze + milliseconds(Command.Milliseconds),
                      [this, Host] { Fleet.resumeHost(Host); });
}

void fuzz_session::cutZones(const fuzz_command &Command) {
  Judge.beforeDisturbance();
  zone_id A = zone(Command.Target);
  bool Alone = Command.Variant % 3 == 0;
  std::vector<zone_id> Others;
  for (const zone_spec &Zone : Plan.Zones)
    if (Zone.Zone != A && (Alone || Zone.Zone == zone(Command.Target + 1)))
      Others.push_back(Zone.Zone);
  for (const zone_id &B : Others)
    Fleet.network().cut(A, B);
  Fleet.queue().after(faultTime(Command), [this, A, Others] {
    Judge.beforeDisturbance();
    for (const zone_id &B : Others)
      Fleet.network().heal(A, B);
  });
}

void fuzz_session::cutPlatform(const fuzz_command &Command) {
  zone_id Zone = zone(Command.Target);
  Fleet.platform().cutZone(Zone);
  Fleet.queue().after(faultTime(Command),
                      [this, Zone] { Fleet.platform().healZone(Zone); });
}

void fuzz_session::platformFault(const fuzz_command &Command) {
  std::uint32_t Number = 1 + Command.Variant % (PlatformFaultCount - 1);
  Fleet.platform().setFault(static_cast<platform_fault>(Number));
  Fleet.queue().after(faultTime(Command), [this, Mine = ++PlatformFaults] {
    if (Mine == PlatformFaults)
      Fleet.platform().setFault(platform_fault::None);
  });
}

void fuzz_session::networkFault(const fuzz_command &Command) {
  Judge.beforeDisturbance();
  network_quality Quality;
  Quality.DropPermille = Command.Variant % 2 == 0 ? 150 : 0;
  Quality.DuplicatePermille = Command.Variant % 3 == 0 ? 200 : 0;
  Quality.DelayPermille = Command.Variant % 5 != 0 ? 300 : 0;
  Quality.LongestDelay = milliseconds(1 + Command.Variant);
  Fleet.network().setQuality(Quality);
  Fleet.queue().after(faultTime(Command), [this, Mine = ++NetworkFaults] {
    if (Mine == NetworkFaults)
      Fleet.network().setQuality({});
  });
}

void fuzz_session::backendLeaves(const fuzz_command &Command) {
  std::size_t Number = Command.Target % Fleet.backendCount();
  Fleet.backendLeaves(Number, Command.Variant % 3 == 0);
  incarnation Run = Fleet.backend(Number).run();
  Fleet.queue().after(LeavingTime, [this, Number, Run] {
    if (Fleet.backend(Number).run() == Run)
      Fleet.replaceBackend(Number);
  });
}

void fuzz_session::backendDies(const fuzz_command &Command) {
  std::size_t Number = Command.Target % Fleet.backendCount();
  if (Command.Variant % 3 == 0) {
    Fleet.replaceBackend(Number);
    return;
  }
  Fleet.killBackend(Number);
  incarnation Run = Fleet.backend(Number).run();
  Fleet.queue().after(BackendReplacement, [this, Number, Run] {
    if (Fleet.backend(Number).run() == Run)
      Fleet.replaceBackend(Number);
  });
}

void fuzz_session::backendSlows(const fuzz_command &Command) {
  std::size_t Number = Command.Target % Fleet.backendCount();
  Fleet.backend(Number).setSlowness(SlowFactor);
  Fleet.queue().after(faultTime(Command),
                      [this, Number] { Fleet.backend(Number).setSlowness(1); });
}

void fuzz_session::backendErrs(const fuzz_command &Command) {
  std::size_t Number = Command.Target % Fleet.backendCount();
  answer_faults Faults;
  std::uint32_t Choice = Command.Variant;
  Faults.RunsAndFails = Choice % 5 == 0 ? 200 : 0;
  Faults.Truncates = Choice % 3 == 0 ? 300 : 0;
  Faults.Duplicates = Choice % 2 == 0 ? 400 : 0;
  Faults.Reorders = Choice % 7 < 3 ? 300 : 0;
  Faults.LosesPiece = Choice % 11 < 4 ? 300 : 0;
  Faults.SendsForeign = Choice % 4 == 0 ? 300 : 0;
  Faults.Refuses = Choice % 6 == 0 ? 300 : 0;
  Faults.SendsLate = Choice % 2 == 1 ? 700 : 0;
  Fleet.backend(Number).setFaults(Faults);
  Fleet.queue().after(faultTime(Command),
                      [this, Number] { Fleet.backend(Number).setFaults({}); });
}

void fuzz_session::changeConfig(const fuzz_command &Command,
                                std::uint32_t Count) {
  for (std::uint32_t I = 0; I < Count; ++I)
    Operators.change(zone(Command.Target + I), Command.Variant + I);
}

void fuzz_session::endFaults() {
  Judge.beforeDisturbance();
  ++PlatformFaults;
  ++NetworkFaults;
  Fleet.platform().setFault(platform_fault::None);
  Fleet.platform().healAllZones();
  Fleet.network().setQuality({});
  Fleet.network().healAll();
  for (std::size_t Host = 0; Host < Fleet.hostCount(); ++Host)
    Fleet.resumeHost(Host);
  for (std::size_t I = 0; I < Fleet.backendCount(); ++I) {
    if (Fleet.backend(I).state() != backend_state::Live)
      Fleet.replaceBackend(I);
    Fleet.backend(I).setFaults({});
    Fleet.backend(I).setSlowness(1);
  }
}

void fuzz_session::settle() {
  endFaults();
  advance(Settling);
  if (failed())
    return;
  probe();
  if (!failed())
    checkIdle();
}

void fuzz_session::probe() {
  std::vector<request_id> Probes;
  for (std::size_t Host = 0; Host < Fleet.hostCount(); ++Host) {
    if (Fleet.condition(Host) != host_condition::Up ||
        Fleet.hostReadiness(Host) != readiness::Ready) {
      Judge.report(promise::Recovery, Fleet.hostRun(Host).Host.Value +
                                          " is not ready after all faults");
      return;
    }
    for (const char *Name : {"answer", "book"}) {
      past_request Request;
      Request.Call.Workspace = workspace_id("north");
      Request.Call.Pipeline = pipeline_id(Name);
      Request.Call.Body = "body-" + std::to_string(++Bodies);
      Request.Call.Key = idempotency_key("key-" + std::to_string(Bodies));
      Request.Call.Remaining = ProbeDeadline;
      send(Host, Request);
      Probes.push_back(Request.Id);
    }
  }
  advance(ProbeDeadline + ProbeMargin);
  for (request_id Probe : Probes) {
    const final_answer *Answer = Judge.requests().answerTo(Probe);
    if (Answer && Answer->Outcome == outcome_kind::Complete)
      continue;
    std::string What = "no answer";
    if (Answer)
      What = std::string(jasminecroft::toText(Answer->Outcome)) + ", " +
             std::string(jasminecroft::toText(Answer->Code));
    Judge.report(promise::Recovery, "request " + std::to_string(Probe.Value) +
                                        " after all faults: " + What);
    return;
  }
}

void fuzz_session::checkIdle() {
  for (std::size_t Host = 0; Host < Fleet.hostCount(); ++Host) {
    std::optional<status_document> Document =
        Fleet.status(Host, status_topic::Summary);
    if (!Document)
      continue;
    const summary_status &Summary = std::get<summary_status>(*Document);
    if (Summary.InFlight == 0 && Summary.PendingOutcomeWrites == 0)
      continue;
    Judge.report(promise::Recovery,
                 Fleet.hostRun(Host).Host.Value + " still has " +
                     std::to_string(Summary.InFlight) + " in flight and " +
                     std::to_string(Summary.PendingOutcomeWrites) +
                     " pending writes");
  }
}

} // namespace

fuzz_report runCase(const fuzz_case &Case, const promise_set &Judged,
                    std::ostream *Trace) {
  fuzz_session Session(Case, Judged, Trace);
  return Session.run();
}

} // namespace jasminecroft::testing
