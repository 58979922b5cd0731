// The fleets of the fuzz, and how cases are drawn and printed.
#include "jasminecroft/testing/fleet_fuzz.h"

#include <istream>
#include <ostream>
#include <sstream>

namespace jasminecroft::testing {

namespace {

struct weighted_kind {
  command_kind Kind;
  std::uint32_t Weight;
  std::string_view Name;
};

// In the order of command_kind.
constexpr weighted_kind Kinds[] = {
    {command_kind::Ask, 400, "ask"},
    {command_kind::AskAgain, 160, "ask_again"},
    {command_kind::AskOtherBody, 15, "ask_other_body"},
    {command_kind::CallerGone, 25, "caller_gone"},
    {command_kind::Wait, 90, "wait"},
    {command_kind::KillHost, 12, "kill_host"},
    {command_kind::FreezeHost, 14, "freeze_host"},
    {command_kind::FreezeBeforeDispatch, 12, "freeze_before_dispatch"},
    {command_kind::StopHost, 14, "stop_host"},
    {command_kind::CutZones, 14, "cut_zones"},
    {command_kind::CutPlatform, 10, "cut_platform"},
    {command_kind::PlatformFault, 30, "platform_fault"},
    {command_kind::NetworkFault, 14, "network_fault"},
    {command_kind::BackendLeaves, 20, "backend_leaves"},
    {command_kind::BackendDies, 14, "backend_dies"},
    {command_kind::BackendSlows, 14, "backend_slows"},
    {command_kind::BackendErrs, 30, "backend_errs"},
    {command_kind::ChangeConfig, 25, "change_config"},
    {command_kind::RaceOperators, 10, "race_operators"},
    {command_kind::EndFaults, 20, "end_faults"},
};
constexpr std::uint32_t LongestMilliseconds = 8'000;
constexpr std::uint32_t MaxZones = 4;
constexpr std::uint32_t MaxHostsPerZone = 3;

command_kind drawKind(random_source &Random) {
  std::uint32_t Total = 0;
  for (const weighted_kind &Entry : Kinds)
    Total += Entry.Weight;
  std::uint64_t Drawn = Random.below(Total);
  for (const weighted_kind &Entry : Kinds) {
    if (Drawn < Entry.Weight)
      return Entry.Kind;
    Drawn -= Entry.Weight;
  }
  return command_kind::Wait;
}

stage_definition stage(const char *Name, const char *Pool, bool Repeatable) {
  return {stage_id(Name), pool_id(Pool), Repeatable};
}

void addPipeline(fleet_config &Config, const char *Name,
                 const std::vector<stage_definition> &Stages) {
  Config.Pipelines[pipeline_id(Name)] = {pipeline_id(Name), Stages};
}

fleet_config firstConfig() {
  fleet_config Config;
  Config.Version = config_version(1);
  Config.Fleet = fleet_id("fuzz");
  Config.Workspaces = {workspace_id("north"), workspace_id("south")};
  Config.Pools[pool_id("encode")] = {pool_id("encode"), pool_kind::PlainService,
                                     3, false};
  Config.Pools[pool_id("generate")] = {pool_id("generate"),
                                       pool_kind::ModelEngine, 3, false};
  Config.Pools[pool_id("service")] = {pool_id("service"),
                                      pool_kind::PlainService, 3, false};
  addPipeline(Config, "lookup", {stage("look", "encode", true)});
  addPipeline(Config, "answer",
              {stage("enc", "encode", true), stage("gen", "generate", true)});
  addPipeline(Config, "book",
              {stage("prep", "encode", true), stage("book", "service", false)});
  addPipeline(
      Config, "file",
      {stage("file", "service", false), stage("index", "encode", true)});
  addPipeline(Config, "sign",
              {stage("check", "encode", true), stage("sign", "service", false),
               stage("post", "service", false)});
  return Config;
}

} // namespace

std::string_view toText(command_kind Kind) {
  return Kinds[static_cast<std::size_t>(Kind)].Name;
}

fleet_plan makePlan(std::uint32_t Zones, std::uint32_t HostsPerZone) {
  fleet_plan Plan;
  Plan.Config = firstConfig();
  Plan.ReplaceHostsAfter = core_duration(1'500'000);
  Plan.HostListLag = core_duration(1'500'000);
  for (std::uint32_t Zone = 0; Zone < Zones; ++Zone) {
    zone_id Id("z" + std::to_string(Zone));
    Plan.Zones.push_back({Id, region_id("r"), HostsPerZone});
    for (const char *Pool : {"encode", "generate", "service"}) {
      std::string Name = std::string(Pool) + "-" + Id.Value;
      Plan.Backends.push_back(
          {backend_id(Name), Id, pool_id(Pool), endpoint(Name + ":1"), 3, 16});
    }
  }
  return Plan;
}

fuzz_case makeCase(std::uint64_t Seed, std::size_t Length) {
  random_source Random(Seed);
  fuzz_case Case;
  Case.Seed = Random.next();
  Case.Zones = 2 + static_cast<std::uint32_t>(Random.below(MaxZones - 1));
  Case.HostsPerZone =
      1 + static_cast<std::uint32_t>(Random.below(MaxHostsPerZone));
  for (std::size_t I = 0; I < Length; ++I) {
    fuzz_command Command;
    Command.Kind = drawKind(Random);
    Command.Target = static_cast<std::uint32_t>(Random.below(64));
    Command.Variant = static_cast<std::uint32_t>(Random.below(1'000));
    Command.Milliseconds =
        static_cast<std::uint32_t>(Random.below(LongestMilliseconds));
    Case.Commands.push_back(Command);
  }
  return Case;
}

fuzz_case readCase(std::istream &In) {
  fuzz_case Case;
  std::string Line;
  while (std::getline(In, Line)) {
    std::size_t Head = Line.find("seed ");
    std::istringstream Words(Line.substr(Head == std::string::npos ? 0 : Head));
    std::string Name;
    std::string Skipped;
    Words >> Name;
    if (Name == "seed")
      Words >> Case.Seed >> Skipped >> Case.Zones >> Skipped >> Skipped >>
          Case.HostsPerZone;
    for (const weighted_kind &Entry : Kinds) {
      fuzz_command Command;
      Command.Kind = Entry.Kind;
      if (Name == Entry.Name &&
          Words >> Command.Target >> Command.Variant >> Command.Milliseconds)
        Case.Commands.push_back(Command);
    }
  }
  return Case;
}

std::ostream &operator<<(std::ostream &Out, const fuzz_command &Command) {
  return Out << toText(Command.Kind) << " " << Command.Target << " "
             << Command.Variant << " " << Command.Milliseconds;
}

std::ostream &operator<<(std::ostream &Out, const fuzz_case &Case) {
  Out << "seed " << Case.Seed << " , " << Case.Zones << " zones of "
      << Case.HostsPerZone << " hosts, " << Case.Commands.size()
      << " commands:\n";
  for (const fuzz_command &Command : Case.Commands)
    Out << "  " << Command << "\n";
  return Out;
}

} // namespace jasminecroft::testing
