// Scenarios of the fleet bench.
#include "jasminecroft/bench/fleet_bench.h"

#include "jasminecroft/bench/fleet_meter.h"
#include "jasminecroft/core/config_edit.h"
#include "jasminecroft/testing/virtual_fleet.h"

#include <algorithm>
#include <ctime>

namespace jasminecroft::bench {

using namespace jasminecroft::testing;

namespace {

constexpr core_duration FollowFor{8'000'000};
constexpr core_duration LongCall{36'000'000'000};
constexpr std::uint32_t LossPermille = 20;

double seconds(core_duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double cpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

std::string zoneName(std::uint32_t Zone) {
  return "zone-" + std::to_string(Zone);
}

fleet_plan planOf(const fleet_size &Size) {
  fleet_plan Plan;
  Plan.Config.Version = config_version(1);
  Plan.Config.Fleet = fleet_id("bench");
  for (std::uint32_t I = 0; I < Size.Workspaces; ++I)
    Plan.Config.Workspaces.insert(
        workspace_id("workspace-" + std::to_string(I)));
  for (std::uint32_t I = 0; I < Size.Pools; ++I) {
    pool_id Pool("pool-" + std::to_string(I));
    Plan.Config.Pools[Pool] = {Pool, pool_kind::PlainService, 64, false};
    pipeline_id Pipeline("pipeline-" + std::to_string(I));
    Plan.Config.Pipelines[Pipeline] = {Pipeline, {{stage_id("s"), Pool, true}}};
  }
  for (std::uint32_t I = 0; I < Size.Zones; ++I) {
    std::uint32_t Hosts = Size.EntryHosts / Size.Zones;
    if (I < Size.EntryHosts % Size.Zones)
      ++Hosts;
    Plan.Zones.push_back({zone_id(zoneName(I)),
                          region_id("region-" + std::to_string(I / 3)), Hosts});
  }
  for (std::uint32_t I = 0; I < Size.Backends; ++I) {
    std::string Name = "backend-" + std::to_string(I);
    Plan.Backends.push_back(
        {backend_id(Name), zone_id(zoneName(I % Size.Zones)),
         pool_id("pool-" + std::to_string(I / Size.Zones % Size.Pools)),
         endpoint(Name + ":1"), 64, 1024});
  }
  Plan.ServiceTime = [](const start_attempt &, random_source &) {
    return LongCall;
  };
  return Plan;
}

/// One fleet with its meter.
class fleet_run {
public:
  fleet_run(const fleet_size &Size, std::uint64_t Seed)
      : Size(Size), Plan(planOf(Size)), Fleet(Plan, Seed, Meter),
        Random(Seed + 1) {
    Meter.attach(Fleet.queue());
    Fleet.start();
    Fleet.network().setQuality({LossPermille, 0, 0, core_duration(0)});
    Fleet.queue().runFor(Size.WarmUp);
    startCalls();
    Fleet.queue().runFor(std::chrono::seconds(5));
  }

  steady_result steady(core_duration Time) {
    Meter.reset();
    double CpuBefore = cpuSeconds();
    Fleet.queue().runFor(Time);
    double Cpu = cpuSeconds() - CpuBefore;
    steady_result Result;
    double PerHost = seconds(Time) * Size.EntryHosts;
    for (const std::pair<const entry_host_id, host_traffic> &Entry :
         Meter.traffic()) {
      const host_traffic &Host = Entry.second;
      double Sent = static_cast<double>(Host.SentBytes);
      double Both = Sent + static_cast<double>(Host.ReceivedBytes);
      Result.MeanSentBytes += Sent / PerHost;
      Result.MeanBothBytes += Both / PerHost;
      Result.MostSentBytes =
          std::max(Result.MostSentBytes, Sent / seconds(Time));
      Result.MostBothBytes =
          std::max(Result.MostBothBytes, Both / seconds(Time));
      Result.MeanSentMessages +=
          static_cast<double>(Host.SentMessages) / PerHost;
      Result.LoadPolls += static_cast<double>(Host.LoadPolls) / PerHost;
    }
    Result.LargestMessage = Meter.largestMessage();
    Result.Suspicions = Meter.suspicions();
    Result.Deaths = Meter.deaths();
    Result.CpuMicros = Cpu * 1e6 / PerHost;
    Result.PlatformCalls =
        static_cast<double>(callTimes().size()) / seconds(Time);
    return Result;
  }

  spread_result configChanges(std::uint32_t Samples) {
    std::vector<core_duration> Times;
    spread_result Result;
    for (std::uint32_t I = 0; I < Samples; ++I)
      followChange(Times, Result);
    return finish(Times, Result);
  }

  spread_result leavingServers(std::uint32_t Samples) {
    std::vector<core_duration> Times;
    spread_result Result;
    for (std::uint32_t I = 0; I < Samples; ++I) {
      std::size_t Backend = NextLeaving++ % Fleet.backendCount();
      std::string Name = Fleet.backend(Backend).spec().Name.Value;
      Meter.await(event_number::BackendLeaving, "backend", Name);
      core_time Begun = Fleet.now();
      Fleet.backendLeaves(Backend, true);
      Fleet.queue().runFor(FollowFor);
      collect(Begun, Times, Result);
    }
    return finish(Times, Result);
  }

  outage_result outage(core_duration Time) {
    outage_result Result;
    Meter.reset();
    Fleet.queue().runFor(Time);
    Result.CallsBefore =
        static_cast<double>(callTimes().size()) / seconds(Time);
    Fleet.platform().setFault(platform_fault::Away);
    Fleet.queue().runFor(std::chrono::seconds(10));
    Meter.reset();
    Fleet.queue().runFor(Time);
    Result.CallsDuring =
        static_cast<double>(callTimes().size()) / seconds(Time);
    return Result;
  }

  void endOutage(outage_result &Result) {
    Fleet.platform().setFault(platform_fault::None);
    Meter.reset();
    std::vector<core_duration> Times;
    followChange(Times, Result.ChangeAtReturn);
    Result.ChangeAtReturn = finish(Times, Result.ChangeAtReturn);
    Result.MostAfter = mostInOneSecond();
  }

  steady_result cutOneZone(core_duration Time) {
    for (std::uint32_t I = 1; I < Size.Zones; ++I)
      Fleet.network().cut(zone_id(zoneName(0)), zone_id(zoneName(I)));
    Fleet.platform().cutZone(zone_id(zoneName(0)));
    Fleet.queue().runFor(Time / 2);
    // A change that the cut zone cannot see until the cut is healed.
    writeChange();
    steady_result Result = steady(Time / 2);
    return Result;
  }

  spread_result healCut() {
    Meter.await(event_number::ConfigApplied, "version", versionText());
    core_time Begun = Fleet.now();
    Fleet.network().healAll();
    Fleet.platform().healAllZones();
    Fleet.queue().runFor(FollowFor);
    std::vector<core_duration> Times;
    spread_result Result;
    for (const sighting &Sighting : Meter.sightings())
      Times.push_back(Sighting.At - Begun);
    std::uint64_t InZone = Size.EntryHosts / Size.Zones +
                           (Size.EntryHosts % Size.Zones != 0 ? 1 : 0);
    Result.Missing = InZone - std::min<std::uint64_t>(InZone, Times.size());
    return finish(Times, Result);
  }

private:
  void startCalls() {
    for (std::size_t Host = 0; Host < Fleet.hostCount(); ++Host)
      for (std::uint32_t I = 0; I < Size.CallsPerHost; ++I) {
        request_received Call;
        Call.Workspace = workspace_id(
            "workspace-" + std::to_string(Random.below(Size.Workspaces)));
        Call.Pipeline =
            pipeline_id("pipeline-" + std::to_string(I % Size.Pools));
        Call.Body = "x";
        Call.Remaining = LongCall;
        Fleet.submit(Host, Call);
      }
  }

  std::string versionText() const {
    return std::to_string(present().Version.Value);
  }

  const fleet_config &present() const {
    return std::get<fleet_config>(*Fleet.platform().find(configKey()));
  }

  void writeChange() {
    fleet_config Before = present();
    change_request Change;
    Change.Id = change_id("change-" + std::to_string(Before.Version.Value));
    Change.Author = operator_name("operator");
    Change.Reason = "a change that the bench follows through the fleet";
    std::int64_t Old = settingValue(Before, setting_key::PoolMaxQueued, {});
    Change.Differences = {
        default_set{setting_key::PoolMaxQueued, Old, Old % 5'000 + 1}};
    std::variant<edited_config, edit_error> Edited =
        applyChange(Before, Change);
    Fleet.platform().put(configKey(), std::get<edited_config>(Edited).Config);
  }

  void followChange(std::vector<core_duration> &Times, spread_result &Result) {
    Meter.await(event_number::ConfigApplied, "version",
                std::to_string(present().Version.Value + 1));
    core_time Begun = Fleet.now();
    writeChange();
    Fleet.queue().runFor(FollowFor);
    collect(Begun, Times, Result);
  }

  void collect(core_time Begun, std::vector<core_duration> &Times,
               spread_result &Result) {
    for (const sighting &Sighting : Meter.sightings())
      Times.push_back(Sighting.At - Begun);
    Result.Missing += Size.EntryHosts - Meter.sightings().size();
    ++Result.Samples;
  }

  static spread_result finish(std::vector<core_duration> &Times,
                              spread_result Result) {
    if (Times.empty())
      return Result;
    std::sort(Times.begin(), Times.end());
    Result.Median = Times[Times.size() / 2];
    Result.Longest = Times.back();
    return Result;
  }

  std::vector<core_time> callTimes() const {
    std::vector<core_time> Times;
    for (const std::pair<const call_purpose, std::vector<core_time>> &Entry :
         Meter.calls())
      Times.insert(Times.end(), Entry.second.begin(), Entry.second.end());
    std::sort(Times.begin(), Times.end());
    return Times;
  }

  std::uint64_t mostInOneSecond() const {
    std::vector<core_time> Times = callTimes();
    std::size_t First = 0;
    std::size_t Most = 0;
    for (std::size_t I = 0; I < Times.size(); ++I) {
      while (Times[I] - Times[First] > std::chrono::seconds(1))
        ++First;
      Most = std::max(Most, I - First + 1);
    }
    return Most;
  }

  fleet_size Size;
  fleet_plan Plan;
  fleet_meter Meter;
  virtual_fleet Fleet;
  random_source Random;
  std::size_t NextLeaving = 0;
};

} // namespace

std::vector<fleet_size> capacitySizes() {
  fleet_size Today{"8 hosts, 3 zones", 3, 8, 26, 5, 5};
  fleet_size Zone{"43 hosts, 1 zone", 1, 43, 67, 9, 2'222};
  fleet_size Zones{"43 hosts, 3 zones", 3, 43, 67, 9, 2'222};
  fleet_size Target{"390 hosts, 9 zones", 9, 390, 600, 9, 20'000};
  Target.Steady = std::chrono::seconds(20);
  Target.Outage = std::chrono::seconds(20);
  Target.Samples = 3;
  return {Today, Zone, Zones, Target};
}

fleet_results measureBasics(const fleet_size &Size, std::uint64_t Seed) {
  fleet_results Results;
  Results.Size = Size;
  fleet_run Run(Size, Seed);
  Results.Steady = Run.steady(Size.Steady);
  Results.ConfigChange = Run.configChanges(Size.Samples);
  Results.Leaving = Run.leavingServers(Size.Samples);
  return Results;
}

fleet_results measureFleet(const fleet_size &Size, std::uint64_t Seed) {
  fleet_results Results;
  Results.Size = Size;
  fleet_run Run(Size, Seed);
  Results.Steady = Run.steady(Size.Steady);
  Results.ConfigChange = Run.configChanges(Size.Samples);
  Results.Leaving = Run.leavingServers(Size.Samples);
  Results.Outage = Run.outage(Size.Outage);
  Results.LeavingWithoutPlatform = Run.leavingServers(Size.Samples);
  Run.endOutage(Results.Outage);
  if (Size.Zones > 1) {
    Results.Cut = Run.cutOneZone(Size.Outage);
    Results.ChangeAfterHeal = Run.healCut();
  }
  return Results;
}

} // namespace jasminecroft::bench
