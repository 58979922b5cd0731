// How a fleet keeps its configuration: in force everywhere within seconds,
// never reverting, whatever fails. Leaving servers are known everywhere.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/config_edit.h"
#include "jasminecroft/core/detail/member_table.h"
#include "jasminecroft/testing/virtual_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace jasminecroft;
using namespace jasminecroft::testing;

namespace {

constexpr core_duration InForceWithin{4'000'000};
constexpr core_duration LeavingWithin{3'000'000};

/// Watches versions and leaving servers from outside.
class watcher final : public fleet_observer {
public:
  void onAction(const host_run &Host, const action &Action) override {
    const log_event *Log = std::get_if<log_event>(&Action);
    if (!Log)
      return;
    const event_record &Record = Log->Record;
    if (Record.Number == event_number::ConfigApplied) {
      std::uint64_t Version = std::stoull(Record.Fields.at(0).Value);
      Reverted = Reverted || Version <= Held[Host];
      Held[Host] = Version;
    }
    if (Record.Number == event_number::ConfigStaleIgnored)
      ++StaleIgnored;
    if (Record.Number == event_number::BackendLeaving)
      LeavingKnownBy.insert(Host.Host);
    if (Record.Number == event_number::MemberChanged &&
        Record.Fields.at(2).Value == "dead")
      ++Deaths;
  }
  std::map<host_run, std::uint64_t> Held;
  std::set<entry_host_id> LeavingKnownBy;
  bool Reverted = false;
  std::uint64_t StaleIgnored = 0;
  std::uint64_t Deaths = 0;
};

fleet_plan plan(std::uint32_t HostsPerZone) {
  fleet_plan Plan;
  Plan.Config.Version = config_version(1);
  Plan.Config.Fleet = fleet_id("test");
  Plan.Config.Workspaces.insert(workspace_id("w"));
  Plan.Config.Pools[pool_id("p")] = {pool_id("p"), pool_kind::PlainService, 2,
                                     false};
  Plan.Config.Pipelines[pipeline_id("check")] = {
      pipeline_id("check"), {{stage_id("a"), pool_id("p"), true}}};
  for (const char *Zone : {"z0", "z1", "z2"}) {
    Plan.Zones.push_back({zone_id(Zone), region_id("r"), HostsPerZone});
    std::string Name = std::string("b-") + Zone;
    Plan.Backends.push_back({backend_id(Name), zone_id(Zone), pool_id("p"),
                             endpoint(Name + ":1"), 2, 16});
  }
  return Plan;
}

struct fleet_fixture {
  explicit fleet_fixture(std::uint32_t HostsPerZone = 3,
                         std::uint64_t Seed = 11)
      : Fleet(plan(HostsPerZone), Seed, Watcher) {
    Fleet.start();
    Fleet.queue().runFor(std::chrono::seconds(10));
  }

  const fleet_config &stored() {
    return std::get<fleet_config>(*Fleet.platform().find(configKey()));
  }
  std::uint64_t change() {
    fleet_config Before = stored();
    change_request Change{change_id(std::to_string(Before.Version.Value)),
                          operator_name("ana"),
                          "because",
                          wall_time{},
                          {}};
    Change.Differences = {workspace_added{
        workspace_id("w" + std::to_string(Before.Version.Value))}};
    std::variant<edited_config, edit_error> Result =
        applyChange(Before, Change);
    Fleet.platform().put(configKey(), std::get<edited_config>(Result).Config);
    return Before.Version.Value + 1;
  }
  bool inForce(std::size_t Host, std::uint64_t Version) {
    return Watcher.Held[Fleet.hostRun(Host)] == Version;
  }
  bool inForceEverywhere(std::uint64_t Version) {
    for (std::size_t Host = 0; Host < Fleet.hostCount(); ++Host)
      if (Fleet.condition(Host) == host_condition::Up &&
          !inForce(Host, Version))
        return false;
    return true;
  }
  void run(core_duration Time) { Fleet.queue().runFor(Time); }

  watcher Watcher;
  virtual_fleet Fleet;
};

// The hosts that rank first for the configuration in their zones.
std::vector<std::size_t> watchersOf(fleet_fixture &F) {
  std::map<zone_id, std::vector<std::pair<std::uint64_t, std::size_t>>> Ranks;
  for (std::size_t Host = 0; Host < F.Fleet.hostCount(); ++Host)
    Ranks[F.Fleet.hostZone(Host)].push_back(
        {detail::rankScore(F.Fleet.hostRun(Host).Host, configKey().Value),
         Host});
  std::vector<std::size_t> Watchers;
  for (std::pair<const zone_id,
                 std::vector<std::pair<std::uint64_t, std::size_t>>> &Zone :
       Ranks) {
    std::sort(Zone.second.rbegin(), Zone.second.rend());
    Watchers.push_back(Zone.second.at(0).second);
    Watchers.push_back(Zone.second.at(1).second);
  }
  return Watchers;
}

} // namespace

TEST_CASE("a change is in force everywhere within seconds, with loss") {
  fleet_fixture F;
  F.Fleet.network().setQuality({50, 20, 100, core_duration(300'000)});
  for (int I = 0; I < 40; ++I) {
    std::uint64_t Version = F.change();
    F.run(InForceWithin);
    CHECK(F.inForceEverywhere(Version));
  }
  CHECK_FALSE(F.Watcher.Reverted);
  // Every record is either in the configuration or in the archive.
  for (std::uint64_t Version = 2; Version <= 41; ++Version)
    CHECK(F.Fleet.platform().find(auditKey(config_version(Version))));
}

TEST_CASE("changes in a row reach a host that had missed some") {
  fleet_fixture F;
  F.Fleet.freezeHost(4);
  std::uint64_t Version = 0;
  SUBCASE("few, covered by the records at hand") {
    for (int I = 0; I < 5; ++I)
      Version = F.change();
  }
  SUBCASE("more than the records at hand") {
    for (int I = 0; I < 50; ++I)
      Version = F.change();
  }
  F.run(std::chrono::seconds(20));
  F.Fleet.resumeHost(4);
  F.run(InForceWithin);
  CHECK(F.inForce(4, Version));
  CHECK_FALSE(F.Watcher.Reverted);
}

TEST_CASE("records that cannot be replayed give way to the whole object") {
  fleet_fixture F;
  for (int I = 0; I < 3; ++I) {
    // Written by hand: the record does not tell what was changed.
    fleet_config Edited = F.stored();
    Edited.Workspaces.insert(workspace_id("x" + std::to_string(I)));
    change_record Record;
    Record.Base = Edited.Version;
    Edited.Version = Edited.Version.next();
    Record.Result = Edited.Version;
    Record.Differences = {workspace_added{workspace_id("other")}};
    Edited.Changes.push_back(Record);
    F.Fleet.platform().put(configKey(), Edited);
    F.run(std::chrono::milliseconds(200));
  }
  F.run(InForceWithin - std::chrono::milliseconds(200));
  CHECK(F.inForceEverywhere(4));
}

TEST_CASE("a host that finishes its last calls still follows the changes") {
  fleet_plan Plan = plan(1);
  Plan.ServiceTime = [](const start_attempt &, random_source &) {
    return core_duration(std::chrono::seconds(60));
  };
  watcher Watcher;
  virtual_fleet Fleet(Plan, 5, Watcher);
  Fleet.start();
  Fleet.queue().runFor(std::chrono::seconds(5));
  request_received Call;
  Call.Workspace = workspace_id("w");
  Call.Pipeline = pipeline_id("check");
  Call.Remaining = std::chrono::seconds(90);
  Fleet.submit(0, Call);
  Fleet.shutDownHost(0);
  Fleet.queue().runFor(std::chrono::seconds(5));
  fleet_config Next = Plan.Config;
  Next.Version = config_version(2);
  Fleet.platform().put(configKey(), Next);
  Fleet.queue().runFor(InForceWithin);
  REQUIRE(Fleet.condition(0) == host_condition::Up);
  CHECK(Watcher.Held[Fleet.hostRun(0)] == 2);
}

TEST_CASE("when all watchers die at once the next change still arrives") {
  fleet_fixture F(5);
  for (std::size_t Host : watchersOf(F))
    F.Fleet.killHost(Host);
  std::uint64_t Version = F.change();
  F.run(InForceWithin);
  CHECK(F.inForceEverywhere(Version));
}

TEST_CASE("hosts replaced during an outage take the highest version held") {
  fleet_fixture F;
  std::uint64_t Version = F.change();
  F.run(InForceWithin);
  F.Fleet.platform().setFault(platform_fault::Away);
  for (std::size_t Host : {0, 4, 8}) {
    F.Fleet.killHost(Host);
    F.run(std::chrono::seconds(2));
    F.Fleet.startHost(Host);
    CHECK(F.Fleet.hostReadiness(Host) == readiness::NoConfig);
  }
  F.run(InForceWithin);
  CHECK(F.inForceEverywhere(Version));
  for (std::size_t Host = 0; Host < F.Fleet.hostCount(); ++Host)
    CHECK(F.Fleet.hostReadiness(Host) == readiness::Ready);
  CHECK_FALSE(F.Watcher.Reverted);
}

TEST_CASE("without platform and peers a host is not ready and says why") {
  fleet_fixture F;
  F.Fleet.platform().setFault(platform_fault::Away);
  for (std::size_t Host = 0; Host < F.Fleet.hostCount(); ++Host)
    F.Fleet.killHost(Host);
  F.Fleet.startHost(0);
  F.run(std::chrono::seconds(30));
  CHECK(F.Fleet.hostReadiness(0) == readiness::NoConfig);
  F.Fleet.platform().setFault(platform_fault::None);
  F.run(std::chrono::seconds(6));
  CHECK(F.Fleet.hostReadiness(0) == readiness::Ready);
}

TEST_CASE("an older object at the platform is ignored and said so") {
  fleet_fixture F;
  fleet_config Old = F.stored();
  std::uint64_t Version = F.change();
  F.run(InForceWithin);
  F.Fleet.platform().put(configKey(), Old);
  F.run(std::chrono::seconds(40));
  CHECK(F.inForceEverywhere(Version));
  CHECK_FALSE(F.Watcher.Reverted);
  CHECK(F.Watcher.StaleIgnored > 0);
}

TEST_CASE(
    "old watch answers and lost answers never bring an old version back") {
  fleet_fixture F;
  for (platform_fault Fault :
       {platform_fault::StaleWatches, platform_fault::LosesAnswers,
        platform_fault::Refuses}) {
    F.Fleet.platform().setFault(Fault);
    F.change();
    F.run(std::chrono::seconds(20));
    F.Fleet.platform().setFault(platform_fault::None);
    std::uint64_t Version = F.change();
    F.run(std::chrono::seconds(6));
    CHECK(F.inForceEverywhere(Version));
  }
  CHECK_FALSE(F.Watcher.Reverted);
}

TEST_CASE("a change right after an outage does not wait for hanging watches") {
  for (std::uint64_t Seed = 0; Seed < 60; ++Seed) {
    constexpr std::array<std::int64_t, 4> Outages{50, 300, 5'000, 60'000};
    std::int64_t Outage = Outages[Seed % Outages.size()];
    CAPTURE(Seed);
    fleet_fixture F(1, Seed);
    F.Fleet.platform().setFault(platform_fault::Away);
    F.run(std::chrono::milliseconds(Outage));
    F.Fleet.platform().setFault(platform_fault::None);
    std::uint64_t Version = F.change();
    F.run(InForceWithin);
    CHECK(F.inForceEverywhere(Version));
  }
}

TEST_CASE("a zone that was cut off catches up, and nobody was called dead") {
  fleet_fixture F;
  for (const char *Zone : {"z1", "z2"})
    F.Fleet.network().cut(zone_id("z0"), zone_id(Zone));
  F.Fleet.platform().cutZone(zone_id("z0"));
  std::uint64_t Version = F.change();
  F.run(std::chrono::seconds(60));
  CHECK_FALSE(F.inForce(0, Version));
  CHECK(F.inForce(8, Version));
  CHECK(F.Watcher.Deaths == 0);
  F.Fleet.network().healAll();
  SUBCASE("with the platform") { F.Fleet.platform().healAllZones(); }
  SUBCASE("through the other zones alone") {}
  F.run(InForceWithin);
  CHECK(F.inForceEverywhere(Version));
  CHECK_FALSE(F.Watcher.Reverted);
}

TEST_CASE("a zone without the platform follows through its neighbours") {
  fleet_fixture F;
  F.Fleet.platform().cutZone(zone_id("z0"));
  std::uint64_t Version = F.change();
  F.run(InForceWithin);
  CHECK(F.inForceEverywhere(Version));
}

TEST_CASE("a leaving server is known to every host within seconds") {
  fleet_fixture F;
  F.Fleet.network().setQuality({50, 0, 0, core_duration(0)});
  SUBCASE("with the platform") {}
  SUBCASE("without the platform") {
    F.Fleet.platform().setFault(platform_fault::Away);
    F.run(std::chrono::seconds(10));
  }
  F.Fleet.backendLeaves(1, true);
  F.run(LeavingWithin);
  CHECK(F.Watcher.LeavingKnownBy.size() == F.Fleet.hostCount());
}

TEST_CASE("a host's status tells the versions in force and who lags") {
  fleet_fixture F;
  F.run(std::chrono::seconds(20));
  F.Fleet.freezeHost(1);
  std::uint64_t Version = F.change();
  F.run(InForceWithin);
  std::optional<status_document> Own = F.Fleet.status(0, status_topic::Members);
  REQUIRE(Own);
  const members_status &Status = std::get<members_status>(*Own);
  REQUIRE(Status.Zones.size() == 3);
  CHECK(Status.Zones[0].Zone == zone_id("z0"));
  CHECK(Status.Zones[0].LowestConfig == config_version(Version - 1));
  CHECK(Status.Zones[0].LaggingHost == F.Fleet.hostRun(1).Host);
}
