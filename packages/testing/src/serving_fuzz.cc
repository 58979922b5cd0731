// Draws commands by weight and plays them in a serving world.
#include "jasminecroft/testing/serving_fuzz.h"

#include "jasminecroft/testing/serving_world.h"

#include <array>
#include <map>
#include <optional>

namespace jasminecroft::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Faults have ended and hosts and servers know of each other again.
constexpr core_duration CalmTime = seconds(12);
constexpr core_duration StartTime = seconds(2);
constexpr std::size_t CalmRequests = 24;
constexpr std::size_t FollowedHostsPerZone = 5;
constexpr core_duration CalmPause = milliseconds(120);
/// All requests have ended, and what nobody fetched was freed.
constexpr core_duration QuietTime = milliseconds(9'000);
/// Bounds of the users' rules: when a configuration is in force, and how much
/// later where the store turns hosts away.
constexpr core_duration ConfigTime = seconds(2);
constexpr core_duration OuterTime = seconds(5);
/// One of so many commands comes with a change or a fault of configurations.
constexpr std::uint64_t ConfigShare = 12;
/// Requests with a part that crashes engines, after the other faults.
constexpr std::uint64_t CrashingPart = 900;
constexpr std::size_t CrashingRequests = 40;
constexpr core_duration CrashingPause = milliseconds(300);
/// For servers that start while others serve, in some of the cases.
constexpr core_duration ColdTime = seconds(3);
constexpr double ColdPerSecond = 1;
constexpr std::uint32_t MostLossPermille = 100;
/// Limits of servers while no host hears another one, in some of the cases.
constexpr double SplitPerSecond = 2;
constexpr std::size_t SplitRequests = 360;
constexpr core_duration SplitPause = milliseconds(25);
constexpr core_duration SplitTime = seconds(5);
/// Each round, every workspace asks once and one of them this often more.
constexpr std::size_t GreedyRequests = 9;
constexpr core_duration SharingRound = milliseconds(170);
constexpr std::size_t SharingRounds = 40;
/// No workspace is served less than this part as well as another one.
constexpr std::size_t MinShareDivisor = 4;

/// Long prompts: one of so many that are drawn, and their size.
constexpr std::uint64_t LongShare = 6;
constexpr std::uint32_t LongTokens = 5'000;
/// So many at a time reach engines that have room for fewer.
constexpr std::size_t LongRounds = 10;
constexpr std::size_t LongPerRound = 3;
constexpr core_duration LongPause = milliseconds(1'500);

struct weighted {
  std::uint32_t Weight;
  void (*Act)(serving_world &World);
};

std::size_t anyHost(serving_world &World) {
  return World.random().below(World.hostCount());
}

std::size_t anyServer(serving_world &World) {
  return World.random().below(World.serverCount());
}

void askOne(serving_world &World) {
  constexpr std::array Routes = {world_route::Read, world_route::Once,
                                 world_route::Draft, world_route::Draft,
                                 world_route::Label};
  World.setPromptTokens(World.random().below(LongShare) == 0 ? LongTokens : 0);
  World.ask(anyHost(World), Routes[World.random().below(Routes.size())]);
  World.setPromptTokens(0);
}

void askMany(serving_world &World) {
  std::size_t Host = anyHost(World);
  for (std::size_t I = 2 + World.random().below(10); I > 0; --I)
    World.ask(Host, world_route::Draft);
}

// Requests a second; absent: no limit.
std::optional<double> drawLimit(serving_world &World) {
  std::uint64_t Tenths = World.random().below(60);
  if (Tenths >= 40)
    return std::nullopt;
  return static_cast<double>(Tenths) / 10;
}

core_duration drawPause(serving_world &World) {
  return World.random().between(milliseconds(200), seconds(6));
}

const std::array Faults = {
    weighted{6, [](serving_world &World) { World.leaveOne(); }},
    weighted{3, [](serving_world &World) { World.killHost(anyHost(World)); }},
    weighted{6, [](serving_world &World) { World.startHost(anyHost(World)); }},
    weighted{2, [](serving_world &World) { World.stopHost(anyHost(World)); }},
    weighted{2, [](serving_world &World) { World.cutZone(anyHost(World)); }},
    weighted{4, [](serving_world &World) { World.healNetwork(); }},
    weighted{3,
             [](serving_world &World) { World.crashServer(anyServer(World)); }},
    weighted{2,
             [](serving_world &World) {
               World.limitServer(anyServer(World), drawLimit(World));
             }},
    weighted{3,
             [](serving_world &World) {
               World.silenceServer(anyServer(World), seconds(2));
             }},
    weighted{3,
             [](serving_world &World) {
               World.pauseServer(anyServer(World), drawPause(World));
             }},
    weighted{3,
             [](serving_world &World) {
               World.slowServer(
                   anyServer(World),
                   1.0 + static_cast<double>(World.random().below(6)));
             }},
    weighted{
        3, [](serving_world &World) { World.replaceServer(anyServer(World)); }},
    weighted{
        2,
        [](serving_world &World) { World.replaceSilently(anyServer(World)); }},
    weighted{1, [](serving_world &World) { World.emptyZone(anyHost(World)); }},
    weighted{2,
             [](serving_world &World) { World.takeBackZone(anyHost(World)); }},
    weighted{2,
             [](serving_world &World) {
               network_quality Quality;
               std::uint64_t Loss =
                   World.random().below(std::uint64_t{2} * MostLossPermille);
               if (Loss < MostLossPermille)
                 Quality.DropPermille = static_cast<std::uint32_t>(Loss);
               World.setQuality(Quality);
             }},
    weighted{3,
             [](serving_world &World) { World.coolServer(anyServer(World)); }}};

/// Of the configuration; drawn beside the other commands.
const std::array ConfigFaults = {
    weighted{6, [](serving_world &World) { World.changeConfig(); }},
    weighted{3, [](serving_world &World) { World.deafen(anyHost(World)); }},
    weighted{2, [](serving_world &World) { World.turnAway(anyHost(World)); }}};

template <std::size_t Count>
void playOne(serving_world &World, const std::array<weighted, Count> &Faults) {
  std::uint64_t Sum = 0;
  for (const weighted &Fault : Faults)
    Sum += Fault.Weight;
  std::uint64_t Point = World.random().below(Sum);
  for (const weighted &Fault : Faults) {
    if (Point < Fault.Weight) {
      Fault.Act(World);
      return;
    }
    Point -= Fault.Weight;
  }
}

// Without other faults: a change reaches a host with a dead watch and one that
// the store turns away in the time that the users' rules allow.
void playConfigs(serving_world &World) {
  std::size_t Deaf = anyHost(World);
  World.deafen(Deaf);
  World.changeConfig();
  World.run(ConfigTime);
  World.judgeConfigs("with a dead watch at one host");
  World.turnAway(anyHost(World));
  World.changeConfig();
  World.run(ConfigTime + OuterTime);
  World.judgeConfigs("with one host turned away");
  World.calm();
}

// Among sound requests that share the other part.
void playCrashingPart(serving_world &World) {
  World.addCrashingPart(CrashingPart);
  std::uint64_t Common = 1 + World.random().below(8);
  for (std::size_t I = 0; I < CrashingRequests; ++I) {
    World.ask(anyHost(World), world_route::Label, {Common, CrashingPart});
    World.ask(anyHost(World), world_route::Draft, {Common});
    World.run(CrashingPause);
  }
  World.removeCrashingPart(CrashingPart);
  std::size_t Late = World.book().crashingSentLate();
  if (Late > serving_book::MaxCrashingSentLate)
    World.book().add(promise::CrashesEnd, World.now(),
                     std::to_string(Late) +
                         " requests with a part that crashes servers reached "
                         "them too late");
}

// Every host suspects all others before the servers name limits.
void playSplit(serving_world &World) {
  World.calm();
  World.splitHosts(World.hostCount());
  for (std::size_t I = 0; I < CalmRequests; ++I) {
    World.ask(I, world_route::Label);
    World.run(SplitTime / CalmRequests);
  }
  for (std::size_t Server : World.serversOf("plain"))
    World.limitServer(Server, SplitPerSecond);
  for (std::size_t I = 0; I < SplitRequests; ++I) {
    World.ask(anyHost(World), world_route::Read);
    World.run(SplitPause);
  }
  World.calm();
  World.run(CalmTime);
}

// One workspace wants ten times as much as each other one, and all together
// more labels than the servers make.
void playSharing(serving_world &World) {
  World.calm();
  core_time Begin = World.now();
  for (std::size_t Round = 0; Round < SharingRounds; ++Round) {
    for (std::size_t I = 0; I < WorldWorkspaces + GreedyRequests; ++I) {
      World.setWorkspace(I < WorldWorkspaces ? I : 0);
      World.ask(anyHost(World), world_route::Label);
      World.run(SharingRound / (WorldWorkspaces + GreedyRequests));
    }
  }
  World.setWorkspace(0);
  World.run(QuietTime);
  std::map<workspace_id, std::size_t> OnTime;
  std::map<workspace_id, std::size_t> Asked;
  for (const std::pair<const caller_request_id, booked_request> &Entry :
       World.book().requests())
    if (Entry.second.Sent >= Begin) {
      ++Asked[Entry.second.Workspace];
      OnTime[Entry.second.Workspace] += Entry.second.onTime() ? 1 : 0;
    }
  for (const std::pair<const workspace_id, std::size_t> &Other : Asked)
    for (const std::pair<const workspace_id, std::size_t> &Best : Asked)
      if (MinShareDivisor * OnTime[Other.first] * Best.second <
          OnTime[Best.first] * Other.second) {
        World.book().add(
            promise::SharesKept, World.now(),
            Other.first.Value + " gets " + std::to_string(OnTime[Other.first]) +
                " of " + std::to_string(Other.second) + " in time, " +
                Best.first.Value + " " + std::to_string(OnTime[Best.first]) +
                " of " + std::to_string(Best.second));
      }
}

// Neighbouring hosts send long prompts together. They share no parts: engines
// of this world cache none, and hosts would take them as cached.
void playLongPrompts(serving_world &World) {
  World.book().judgePrompts(true);
  for (std::size_t Round = 0; Round < LongRounds; ++Round) {
    World.setPromptTokens(LongTokens);
    for (std::size_t I = 0; I < LongPerRound; ++I)
      World.ask(Round + I, world_route::Label, {});
    World.setPromptTokens(0);
    World.ask(Round, world_route::Label, {1});
    World.run(LongPause);
  }
  World.run(QuietTime);
  World.book().judgePrompts(false);
}

void playCalm(serving_world &World, bool Splits) {
  World.calm();
  World.run(CalmTime);
  // Hosts that were leaving have ended by now.
  World.calm();
  World.run(StartTime);
  World.judgeConfigs("after the faults ended");
  std::size_t Before = World.book().requests().size();
  for (std::size_t I = 0; I < CalmRequests; ++I) {
    World.ask(I, I % 2 == 0 ? world_route::Draft : world_route::Read);
    World.run(CalmPause);
  }
  World.run(QuietTime);
  std::size_t Asked = World.book().requests().size() - Before;
  if (Asked != CalmRequests)
    World.book().add(promise::Recovery, World.now(),
                     "hosts take no callers after the faults ended");
  std::size_t Served = 0;
  core_time CalmFrom = World.now() - QuietTime -
                       CalmPause * static_cast<std::int64_t>(CalmRequests);
  for (const std::pair<const caller_request_id, booked_request> &Entry :
       World.book().requests())
    if (Entry.second.Sent >= CalmFrom && Entry.second.complete())
      ++Served;
  if (Served < Asked)
    World.book().add(promise::Recovery, World.now(),
                     std::to_string(Asked - Served) +
                         " requests are not served after the faults ended");
  if (World.bytesKept() != 0)
    World.book().add(promise::Recovery, World.now(),
                     std::to_string(World.bytesKept()) +
                         " bytes of results were never freed");
  playConfigs(World);
  playCrashingPart(World);
  if (Splits)
    playSplit(World);
  playSharing(World);
  playLongPrompts(World);
}

} // namespace

void serving_fuzz_report::add(const serving_fuzz_report &Other) {
  Requests += Other.Requests;
  Complete += Other.Complete;
  Refused += Other.Refused;
  Faults += Other.Faults;
  Violations.insert(Violations.end(), Other.Violations.begin(),
                    Other.Violations.end());
}

serving_fuzz_report runServingCase(std::uint64_t Seed, std::size_t Commands,
                                   const serving_fuzz_world &Played) {
  world_options Options;
  Options.Drafts = Played.Drafts;
  Options.ServersKeepIds = Played.ServersKeepIds;
  // More hosts than watchers of the store.
  if (Seed % 3 == 0)
    Options.HostsPerZone = FollowedHostsPerZone;
  if (Seed % 4 == 1)
    Options.WarmUp = warm_up_rules{ColdTime, ColdPerSecond};
  serving_world World(Options, Seed);
  serving_fuzz_report Report;
  for (std::size_t I = 0; I < Commands; ++I) {
    std::uint64_t Kind = World.random().below(10);
    if (Kind < 6) {
      askOne(World);
    } else if (Kind < 7) {
      askMany(World);
    } else {
      playOne(World, Faults);
      ++Report.Faults;
    }
    if (World.random().below(ConfigShare) == 0)
      playOne(World, ConfigFaults);
    World.run(World.random().between(milliseconds(1), milliseconds(120)));
  }
  playCalm(World, Seed % 3 == 1);
  for (const std::pair<const caller_request_id, booked_request> &Entry :
       World.book().requests()) {
    ++Report.Requests;
    Report.Complete += Entry.second.complete() ? 1 : 0;
    Report.Refused += Entry.second.Refused ? 1 : 0;
  }
  Report.Violations = World.book().violations();
  return Report;
}

std::ostream &operator<<(std::ostream &Stream,
                         const serving_fuzz_report &Report) {
  Stream << "requests " << Report.Requests << ", complete " << Report.Complete
         << ", refused " << Report.Refused << ", faults " << Report.Faults
         << "\n";
  for (const violation &Violation : Report.Violations)
    Stream << "  broken: " << toText(Violation) << "\n";
  return Stream;
}

} // namespace jasminecroft::testing
