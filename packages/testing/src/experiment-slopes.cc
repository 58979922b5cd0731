// Slopes for the capacity page: processor time of one entry core per request,
// and memory per waiting call and per workspace. Wall-clock figures of this
// machine, for orders of magnitude; they decide no test.
#include "jasminecroft/testing/experiment_suite.h"

#include "jasminecroft/testing/experiment_parts.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <memory>

namespace jasminecroft::experiment {

namespace {

constexpr std::size_t MeasuredRequests = 20'000;
constexpr std::size_t WarmUpRequests = 2'000;
constexpr std::size_t WaitingCalls = 20'000;
constexpr core_duration BetweenRequests{1'000};
constexpr core_duration ServiceTime{5'000};
constexpr std::size_t BodyBytes = 400;
constexpr std::size_t PoolCount = 5;
constexpr std::uint32_t SlotsPerBackend = 8;

std::size_t bytesInUse() { return mallinfo2().uordblks; }

/// One entry core whose servers answer after a fixed time.
class single_host {
public:
  single_host(std::size_t Replicas, std::size_t Workspaces)
      : Workspaces(Workspaces) {
    fleet_config Config = configFor(Workspaces);
    host_list Hosts;
    for (std::size_t I = 0; I < Replicas; ++I) {
      listed_host Listed;
      Listed.Name = "b" + std::to_string(I);
      Listed.Zone = zone_id("z" + std::to_string(I / PoolCount % 3));
      Listed.Address = endpoint("10.0.0.1:1");
      Listed.Pool = poolName(I % PoolCount);
      Listed.Run = incarnation(1);
      Hosts.Hosts.push_back(Listed);
    }
    Platform.put(configKey(), Config);
    Platform.put(hostListKey(), Hosts);
    core_settings Settings;
    Settings.Fleet = Config.Fleet;
    Settings.Self = {entry_host_id("e0"), incarnation(1)};
    Settings.Zone = zone_id("z0");
    Settings.Seed = 1;
    Core = std::make_unique<entry_core>(Settings);
    handle(wakeup{});
  }

  /// Requests a millisecond apart, round the workspaces.
  void serve(std::size_t Requests) {
    for (std::size_t I = 0; I < Requests; ++I) {
      Time.runUntil(Time.now() + BetweenRequests);
      wakeIfDue();
      request();
    }
    Time.runUntil(Time.now() + core_duration(1'000'000));
  }

  void request() {
    request_received Request;
    Request.Request = request_id(++LastRequest);
    Request.Workspace = workspaceName(LastRequest % Workspaces);
    Request.Pipeline = pipeline_id("p");
    Request.Body = std::string(BodyBytes, 'x');
    Request.Remaining = core_duration(600'000'000);
    handle(Request);
  }

  bool Answering = true;
  std::uint64_t LastRequest = 0;
  std::uint64_t Completed = 0;
  std::chrono::nanoseconds Spent{0};

private:
  static pool_id poolName(std::size_t I) {
    return pool_id("pool" + std::to_string(I));
  }
  static workspace_id workspaceName(std::size_t I) {
    return workspace_id("workspace-" + std::to_string(I));
  }

  static fleet_config configFor(std::size_t Workspaces) {
    fleet_config Config;
    Config.Version = config_version(1);
    Config.Fleet = fleet_id("slopes");
    for (std::size_t I = 0; I < Workspaces; ++I)
      Config.Workspaces.insert(workspaceName(I));
    pipeline_definition Pipeline;
    Pipeline.Name = pipeline_id("p");
    for (std::size_t I = 0; I < PoolCount; ++I) {
      Config.Pools[poolName(I)] = {poolName(I), pool_kind::ModelEngine,
                                   SlotsPerBackend, false};
      if (I < 4)
        Pipeline.Stages.push_back(
            {stage_id("s" + std::to_string(I)), poolName(I), true});
    }
    Config.Pipelines[Pipeline.Name] = Pipeline;
    Config.Defaults[setting_key::PoolMaxQueued] = 1'000'000;
    return Config;
  }

  void wakeIfDue() {
    std::optional<core_time> Next = Core->nextWakeup();
    if (Next && *Next <= Time.now())
      handle(wakeup{});
  }

  void handle(const event &Event) {
    std::chrono::steady_clock::time_point Start =
        std::chrono::steady_clock::now();
    action_list Actions = Core->handle(Event, Time.now());
    Spent += std::chrono::steady_clock::now() - Start;
    for (const action &Action : Actions)
      perform(Action);
  }

  void perform(const action &Action) {
    if (const call_platform *Call = std::get_if<call_platform>(&Action)) {
      std::optional<platform_result> Result = Platform.run(Call->Operation);
      if (Result)
        Time.after(core_duration(0), [this, Id = Call->Call, R = *Result] {
          handle(platform_replied{Id, R});
        });
    }
    if (std::holds_alternative<answer_caller>(Action))
      ++Completed;
    const start_attempt *Attempt = std::get_if<start_attempt>(&Action);
    if (Attempt && Answering)
      Time.after(ServiceTime, [this, Id = Attempt->Attempt] {
        handle(attempt_succeeded{Id, std::string(BodyBytes, 'y'), 0, 0});
      });
  }

  std::size_t Workspaces;
  event_queue Time;
  fake_platform Platform;
  std::unique_ptr<entry_core> Core;
};

std::string processorTime(std::size_t Replicas, std::size_t Workspaces) {
  single_host Host(Replicas, Workspaces);
  Host.serve(WarmUpRequests);
  Host.Spent = std::chrono::nanoseconds(0);
  Host.Completed = 0;
  Host.serve(MeasuredRequests);
  double Us = static_cast<double>(Host.Spent.count()) / 1'000;
  char Line[160];
  std::snprintf(Line, sizeof Line,
                "%4zu replicas, %6zu workspaces: %7.1f us a request of four "
                "stages (%zu of %zu complete)\n",
                Replicas, Workspaces,
                Us / static_cast<double>(MeasuredRequests),
                static_cast<std::size_t>(Host.Completed), MeasuredRequests);
  return Line;
}

std::string waitingMemory(std::size_t Workspaces) {
  single_host Host(12, Workspaces);
  Host.serve(WarmUpRequests);
  Host.Answering = false;
  std::size_t Before = bytesInUse();
  for (std::size_t I = 0; I < WaitingCalls; ++I)
    Host.request();
  std::size_t Bytes = (bytesInUse() - Before) / WaitingCalls;
  char Line[160];
  std::snprintf(Line, sizeof Line,
                "%6zu workspaces: %zu bytes a waiting request, its body of "
                "%zu twice included\n",
                Workspaces, Bytes, BodyBytes);
  return Line;
}

std::string workspaceMemory() {
  std::size_t Bytes[2] = {};
  std::size_t Counts[2] = {5, 20'000};
  for (std::size_t I = 0; I < 2; ++I) {
    std::size_t Before = bytesInUse();
    single_host Host(12, Counts[I]);
    Host.serve(Counts[1]);
    Bytes[I] = bytesInUse() - Before;
  }
  char Line[160];
  std::snprintf(Line, sizeof Line,
                "%zu bytes a workspace, configuration and the platform fake's "
                "copy included\n",
                (Bytes[1] - Bytes[0]) / (Counts[1] - Counts[0]));
  return Line;
}

} // namespace

std::string measureSlopes() {
  std::string Text;
  for (std::size_t Replicas : {12, 600})
    for (std::size_t Workspaces : {5, 20'000})
      Text += processorTime(Replicas, Workspaces);
  for (std::size_t Workspaces : {5, 20'000})
    Text += waitingMemory(Workspaces);
  return Text + workspaceMemory();
}

} // namespace jasminecroft::experiment
