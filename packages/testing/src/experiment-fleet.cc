// One run of a policy experiment: callers, entry cores, backend servers and
// the platform joined in virtual time.
#include "jasminecroft/testing/experiment_parts.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

namespace jasminecroft::experiment {

namespace {

constexpr core_duration Hop{1'000};
constexpr core_duration PlatformDelay{4'000};
constexpr core_duration ReportLag{500'000};
/// Entry hosts start before the first arrival.
constexpr core_duration WarmUp{2'000'000};
/// Longest wait for answers after the last arrival.
constexpr core_duration Drain{310'000'000};
/// What a caller keeps of its time for the way back.
constexpr core_duration CallerMargin{5'000};
constexpr core_duration ShortestWakeup{200};
constexpr std::size_t Zones = 3;
constexpr std::size_t SlowEach = 5;
constexpr std::size_t SlowOffset = 2;
constexpr std::size_t PrefixLength = 256;
constexpr std::size_t NumberLength = 10;
constexpr std::size_t TemplatesPerWorkspace = 6;
constexpr double SpellGapSeconds = 30;
constexpr double UsPerSecond = 1e6;
constexpr double UsPerMs = 1e3;

core_duration seconds(double Value) {
  return core_duration(static_cast<std::int64_t>(Value * UsPerSecond));
}

class fleet_run {
public:
  fleet_run(const workload &Workload, const scenario &Scenario,
            scheduler_kind Scheduler, std::uint64_t Seed)
      : Workload(Workload), Scenario(Scenario), Random(Seed) {
    makeBackends();
    makeHosts(Scheduler, Seed);
  }

  run_result run() {
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      Time.after({}, [this, Host] { deliver(Host, wakeup{}); });
    makeArrivals();
    Time.runUntil(core_time{} + WarmUp + Scenario.Length);
    core_time End = Time.now() + Drain;
    while (Open > 0 && Time.now() < End)
      Time.runUntil(Time.now() + seconds(1));
    return collectResult(Workload, Scenario, Asks, core_time{} + WarmUp);
  }

private:
  struct host_state {
    std::unique_ptr<entry_core> Core;
    entry_host_id Id;
    std::optional<core_time> Wakeup;
  };

  zone_id zoneOf(std::size_t Index) const {
    return zone_id("z" + std::to_string(Scenario.OneHost ? 0 : Index % Zones));
  }

  std::size_t hostCount() const {
    return Scenario.OneHost ? 1 : Workload.EntryHosts;
  }

  void makeBackends() {
    std::size_t Index = 0;
    host_list List;
    for (std::size_t P = 0; P < Workload.Pools.size(); ++P)
      for (std::size_t R = 0; R < Workload.Replicas[P]; ++R, ++Index) {
        const pool_definition &Pool = Workload.Pools[P];
        listed_host Listed;
        Listed.Name = Pool.Name.Value + "-" + std::to_string(R);
        Listed.Zone = zoneOf(R);
        Listed.Address = endpoint("10.0.0.1:" + std::to_string(1'000 + Index));
        Listed.Pool = Pool.Name;
        Listed.Run = incarnation(1);
        BackendIndex.emplace(backend_id(Listed.Name), Index);
        BackendIds.push_back(backend_id(Listed.Name));
        Slots.push_back(Pool.SlotsPerBackend);
        List.Hosts.push_back(Listed);
        Backends.push_back(std::make_unique<fake_backend>(
            Time, Pool, spellsOf(Index),
            [this](const backend_job &Job) { onFinished(Job); }));
      }
    for (std::size_t I = 0; I < hostCount(); ++I) {
      listed_host Listed;
      Listed.Kind = host_kind::EntryHost;
      Listed.Name = "e" + std::to_string(I);
      Listed.Zone = zoneOf(I);
      Listed.Address = endpoint("10.0.1.1:" + std::to_string(1'000 + I));
      Listed.Run = incarnation(1);
      List.Hosts.push_back(Listed);
    }
    Platform.put(hostListKey(), List);
    Platform.put(configKey(), configOf(Workload));
  }

  std::vector<slow_spell> spellsOf(std::size_t Index) {
    std::vector<slow_spell> Spells;
    if (Scenario.SlowFifth > 1 && Index % SlowEach == SlowOffset)
      return {{core_time{} + WarmUp + Scenario.SlowFrom,
               core_time{} + seconds(1e6), Scenario.SlowFifth}};
    if (!Scenario.SlowSpells)
      return Spells;
    core_time At{};
    core_time End = core_time{} + WarmUp + Scenario.Length;
    while (At < End) {
      At += seconds(Random.exponential(SpellGapSeconds));
      core_time SpellEnd = At + seconds(Random.between(1, 4));
      Spells.push_back({At, SpellEnd, Random.between(3, 8)});
      At = SpellEnd;
    }
    return Spells;
  }

  void makeHosts(scheduler_kind Scheduler, std::uint64_t Seed) {
    for (std::size_t I = 0; I < hostCount(); ++I) {
      core_settings Settings;
      Settings.Fleet = fleet_id(Workload.Name);
      Settings.Self = {entry_host_id("e" + std::to_string(I)), incarnation(1)};
      Settings.Zone = zoneOf(I);
      Settings.Address = endpoint("10.0.1.1:" + std::to_string(1'000 + I));
      Settings.Seed = Seed * 1'000 + I;
      Settings.Scheduler = Scheduler;
      for (std::size_t J = 0; J < hostCount(); ++J)
        Settings.Seeds.push_back(
            {entry_host_id("e" + std::to_string(J)), zoneOf(J),
             endpoint("10.0.1.1:" + std::to_string(1'000 + J))});
      HostIndex.emplace(Settings.Self.Host, I);
      Hosts.push_back({std::make_unique<entry_core>(Settings),
                       Settings.Self.Host, std::nullopt});
    }
  }

  double rateFactor(const request_class &Class, std::size_t Workspace,
                    core_duration At) const {
    double Factor = Scenario.Load * loadAtCapacity(Workload) *
                    Workload.WorkspaceShares[Workspace];
    if (Workspace + 1 == Workload.WorkspaceShares.size())
      Factor *= Scenario.LastWorkspaceFactor;
    for (const load_crest &Crest : Scenario.Crests)
      if (At >= Crest.Start && At < Crest.Start + Crest.Length &&
          !(Crest.LongOnly && Class.Short))
        Factor *= Crest.Factor;
    return Factor;
  }

  bool inCrest(core_duration At) const {
    for (const load_crest &Crest : Scenario.Crests)
      if (At >= Crest.Start && At < Crest.Start + Crest.Length)
        return true;
    return false;
  }

  // Poisson arrivals; the rate changes with time, so candidates at the
  // highest rate are thinned out.
  void makeArrivals() {
    double HighestCrest = 1;
    for (const load_crest &Crest : Scenario.Crests)
      HighestCrest = std::max(HighestCrest, Crest.Factor);
    for (class_index C = 0; C < Workload.Classes.size(); ++C)
      for (std::size_t W = 0; W < Workload.WorkspaceShares.size(); ++W) {
        const request_class &Class = Workload.Classes[C];
        double Base = rateFactor(Class, W, core_duration(-1)) * Class.Rate;
        double Highest = Base * HighestCrest;
        core_duration At = seconds(Random.exponential(1 / Highest));
        while (At < Scenario.Length) {
          double Rate = rateFactor(Class, W, At) * Class.Rate;
          if (Random.uniform() * Highest < Rate)
            scheduleArrival(C, W, At);
          At += seconds(Random.exponential(1 / Highest));
        }
      }
  }

  void scheduleArrival(class_index Class, std::size_t Workspace,
                       core_duration At) {
    ask Ask;
    Ask.Class = Class;
    Ask.Workspace = Workspace;
    Ask.RetriesLeft = Scenario.CallerRetries;
    Ask.Deadline = Workload.Classes[Class].Deadline;
    const request_class &Definition = Workload.Classes[Class];
    Ask.Tokens =
        Definition.MaxTokens * Random.between(Definition.MinTokenShare, 1);
    Ask.Measured = At >= Scenario.MeasureFrom &&
                   (!Scenario.MeasureCrestsOnly || inCrest(At));
    std::size_t Number = Asks.size();
    Ask.FirstAsk = Number;
    Asks.push_back(Ask);
    ++Open;
    Time.after(WarmUp + At, [this, Number] { call(Number); });
  }

  // Beginning of all inputs with one template, as prompts share a prefix.
  std::string prefixOf(std::size_t Workspace, std::size_t Template) const {
    std::string Text =
        "w" + std::to_string(Workspace) + "t" + std::to_string(Template) + " ";
    Text.resize(PrefixLength, '.');
    return Text;
  }

  static std::string makeText(const std::string &Prefix, std::size_t Bytes,
                              std::size_t Number) {
    std::string Digits = std::to_string(Number);
    std::string Text = Prefix;
    Text.resize(std::max(Bytes, PrefixLength + NumberLength) - NumberLength,
                '.');
    Text.append(NumberLength - Digits.size(), '0');
    return Text + Digits;
  }

  void call(std::size_t Number) {
    ask &Ask = Asks[Number];
    const request_class &Class = Workload.Classes[Ask.Class];
    Ask.Called = Time.now();
    Ask.Host = Random.below(Hosts.size());
    Ask.StageReady = Time.now() + Hop;
    request_received Request;
    Request.Request = request_id(Number + 1);
    Request.Workspace = workspace_id("ws" + std::to_string(Ask.Workspace));
    Request.Pipeline = Class.Pipeline.Name;
    std::size_t Bytes = static_cast<std::size_t>(
        Random.between(static_cast<double>(Class.MinBytes),
                       static_cast<double>(Class.MaxBytes)));
    Request.Body =
        makeText(prefixOf(Ask.Workspace, Random.below(TemplatesPerWorkspace)),
                 Bytes, Number);
    Request.Remaining = Ask.Deadline - CallerMargin;
    Request.Key = idempotency_key("k" + std::to_string(Ask.FirstAsk) + "-" +
                                  std::to_string(Number));
    Request.AttemptNumber = 1;
    if (Class.MaxTokens > 0)
      Request.TokenLimit = Class.MaxTokens;
    std::size_t Host = Ask.Host;
    Time.after(Hop, [this, Host, Request] { deliver(Host, Request); });
  }

  void deliver(std::size_t Host, const event &Event) {
    action_list Actions = Hosts[Host].Core->handle(Event, Time.now());
    for (action &Action : Actions)
      std::visit([this, Host](auto &A) { perform(Host, A); }, Action);
    scheduleWakeup(Host);
  }

  void scheduleWakeup(std::size_t Host) {
    std::optional<core_time> Next = Hosts[Host].Core->nextWakeup();
    if (!Next)
      return;
    core_time At = std::max(*Next, Time.now() + ShortestWakeup);
    if (Hosts[Host].Wakeup && *Hosts[Host].Wakeup <= At)
      return;
    Hosts[Host].Wakeup = At;
    Time.after(At - Time.now(), [this, Host, At] {
      if (Hosts[Host].Wakeup != At)
        return;
      Hosts[Host].Wakeup.reset();
      deliver(Host, wakeup{});
    });
  }

  void perform(std::size_t, const stream_to_caller &) {}
  void perform(std::size_t, const set_readiness &) {}
  void perform(std::size_t, const log_event &) {}
  void perform(std::size_t, const reply_status &) {}
  void perform(std::size_t, const stop_process &) {}

  void perform(std::size_t Host, const call_platform &Call) {
    std::optional<platform_result> Result = Platform.run(Call.Operation);
    if (Result)
      later(PlatformDelay, Host, platform_replied{Call.Call, *Result});
  }

  void perform(std::size_t Host, const send_to_peer &Send) {
    auto To = HostIndex.find(Send.Host);
    if (To != HostIndex.end() && To->second != Host)
      later(Hop, To->second, peer_received{Send.Message});
  }

  void perform(std::size_t Host, const poll_load &Poll) {
    std::size_t Index = BackendIndex.at(Poll.Backend);
    load_reported Report;
    Report.Backend = Poll.Backend;
    Report.Run = incarnation(1);
    Report.InFlight = Backends[Index]->running();
    Report.Queued = Backends[Index]->queued();
    Report.Slots = Slots[Index];
    later(ReportLag, Host, Report);
  }

  void perform(std::size_t Host, const start_attempt &Start) {
    backend_job Job;
    Job.Host = Host;
    Job.Attempt = Start.Attempt;
    Job.Ask = static_cast<std::size_t>(
        std::stoull(Start.Input.substr(Start.Input.size() - NumberLength)));
    const request_class &Class = Workload.Classes[Asks[Job.Ask].Class];
    while (Class.Pipeline.Stages[Job.Stage].Name != Start.Stage)
      ++Job.Stage;
    Job.Cost = Class.Costs[Job.Stage];
    Job.Prefix = Start.Input.substr(0, PrefixLength);
    Job.Kilobytes = static_cast<double>(Start.Input.size()) / 1'000;
    Job.Tokens = Asks[Job.Ask].Tokens;
    Job.Batch = Start.Priority == work_priority::Batch;
    std::size_t Index = BackendIndex.at(Start.Backend);
    RunsAt[{Host, Start.Attempt}] = Index;
    Time.after(Hop, [this, Index, Job] { arrive(Index, Job); });
    Time.after(Start.Timeout, [this, Host, Attempt = Start.Attempt] {
      if (endEarly(Host, Attempt, usage_kind::Lost))
        deliver(Host, attempt_failed{Attempt, backend_error::TimedOut, {}});
    });
  }

  void arrive(std::size_t Index, const backend_job &Job) {
    if (!RunsAt.contains({Job.Host, Job.Attempt}))
      return;
    if (Backends[Index]->accept(Job))
      return;
    RunsAt.erase({Job.Host, Job.Attempt});
    later(Hop, Job.Host,
          attempt_failed{Job.Attempt, backend_error::Refused, {}});
  }

  void perform(std::size_t Host, const cancel_attempt &Cancel) {
    Time.after(Hop, [this, Host, Attempt = Cancel.Attempt] {
      endEarly(Host, Attempt, usage_kind::Hedged);
    });
  }

  bool endEarly(std::size_t Host, attempt_id Attempt, usage_kind Kind) {
    auto Found = RunsAt.find({Host, Attempt});
    if (Found == RunsAt.end())
      return false;
    std::optional<backend_job> Job =
        Backends[Found->second]->cancel(Host, Attempt);
    RunsAt.erase(Found);
    if (Job)
      addUsage(*Job, Kind);
    return true;
  }

  void addUsage(const backend_job &Job, usage_kind Kind) {
    ask &Ask = Asks[Job.Ask];
    bool Extra = !Ask.StagesTried.insert(Job.Stage).second;
    Ask.Usage.push_back({Job.Stage, Job.Started, Time.now(), Kind, Extra});
  }

  void onFinished(const backend_job &Job) {
    if (RunsAt.erase({Job.Host, Job.Attempt}) == 0)
      return;
    ask &Ask = Asks[Job.Ask];
    bool First = Ask.StagesDone.insert(Job.Stage).second;
    addUsage(Job, First ? usage_kind::Won : usage_kind::Hedged);
    if (First) {
      Ask.WaitMs += millis(Job.Started - Ask.StageReady);
      Ask.StageReady = Time.now() + Hop;
    }
    attempt_succeeded Success;
    Success.Attempt = Job.Attempt;
    Success.Output = makeText(Job.Prefix, Job.Cost.OutputBytes, Job.Ask);
    later(Hop, Job.Host, Success);
  }

  void perform(std::size_t, const answer_caller &Answer) {
    std::size_t Number = static_cast<std::size_t>(Answer.Request.Value - 1);
    ask &Ask = Asks[Number];
    if (Ask.Answered)
      return;
    Ask.Answered = true;
    --Open;
    core_duration Took = Time.now() + Hop - Ask.Called;
    Ask.InTime =
        Answer.Answer.Outcome == outcome_kind::Complete && Took <= Ask.Deadline;
    Ask.LatencyMs = millis(Took);
    if (!Ask.InTime) {
      Ask.LatencyMs = std::max(Ask.LatencyMs, millis(Ask.Deadline));
      Ask.WaitMs = std::max(Ask.WaitMs, millis(Ask.Deadline));
    }
    Asks[Ask.FirstAsk].EventuallyInTime |= Ask.InTime;
    if (!Ask.InTime && Ask.RetriesLeft > 0)
      askAgain(Number, Answer.Answer.RetryAfter);
  }

  // Impatient callers come back after what they are told, or a second, and
  // want the whole deadline again.
  void askAgain(std::size_t Number, std::optional<core_duration> RetryAfter) {
    ask Again;
    const ask &Before = Asks[Number];
    Again.Class = Before.Class;
    Again.Workspace = Before.Workspace;
    Again.Deadline = Before.Deadline;
    Again.RetriesLeft = Before.RetriesLeft - 1;
    Again.Repeated = true;
    Again.FirstAsk = Before.FirstAsk;
    Again.Tokens = Before.Tokens;
    std::size_t Next = Asks.size();
    Asks.push_back(Again);
    ++Open;
    double Pause = millis(RetryAfter.value_or(seconds(1))) / UsPerMs;
    Time.after(seconds(Pause * Random.between(1, 1.5)),
               [this, Next] { call(Next); });
  }

  template <typename Event>
  void later(core_duration Delay, std::size_t Host, const Event &Content) {
    Time.after(Delay, [this, Host, Content] { deliver(Host, Content); });
  }

  const workload &Workload;
  const scenario &Scenario;
  seeded_random Random;
  event_queue Time;
  fake_platform Platform;
  std::vector<std::unique_ptr<fake_backend>> Backends;
  std::vector<backend_id> BackendIds;
  std::vector<std::uint32_t> Slots;
  std::map<backend_id, std::size_t> BackendIndex;
  std::vector<host_state> Hosts;
  std::map<entry_host_id, std::size_t> HostIndex;
  std::map<std::pair<std::size_t, attempt_id>, std::size_t> RunsAt;
  /// Grows while running; entries are found by index only.
  std::deque<ask> Asks;
  std::size_t Open = 0;
};

} // namespace

run_result runScenario(const workload &Workload, const scenario &Scenario,
                       scheduler_kind Scheduler, std::uint64_t Seed) {
  fleet_run Run(Workload, Scenario, Scheduler, Seed);
  return Run.run();
}

} // namespace jasminecroft::experiment
