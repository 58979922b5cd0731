// Checks of the operator's configurations, and what differs between two.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/route_config_check.h"

#include <doctest/doctest.h>
#include <functional>

using namespace jasminecroft;
using std::chrono::milliseconds;

namespace {

/// Two routes, the second one with two stages, and two workspaces.
declared_config sound() {
  declared_config Declared;
  route_config &Config = Declared.Config;
  Config.Version = config_version(7);
  for (const char *Name : {"read", "draft"}) {
    serving_route Route;
    Route.Name = route_id(Name);
    Route.Hostname = "a.example";
    Route.PathPrefix = "/" + std::string(Name) + "/";
    Route.Timeout = milliseconds(3'000);
    Route.Goal = milliseconds(500);
    Route.Pools = {{pool_id("plain"), 1}};
    Config.Routes.push_back(Route);
  }
  Config.Routes[1].Stages = {{pool_id("stage"), {}, 1'000},
                             {pool_id("stage"), {0}, 1'000}};
  for (const char *Name : {"plain", "stage"}) {
    Declared.Pools.emplace_back(Name);
    Config.Pools[pool_id(Name)].Name = pool_id(Name);
  }
  batch_rules Rules;
  Rules.ResultCapacityBytes = 1'000;
  Config.Pools[pool_id("stage")].Batches = Rules;
  Declared.Workspaces = {
      {workspace_id("w1"), 9, {workspace_key("first-secret-key")}},
      {workspace_id("w2"), std::nullopt, {workspace_key("key-2")}}};
  Config.KeysRequired = true;
  return Declared;
}

struct fault {
  finding_kind Kind;
  std::string Where;
  std::function<void(declared_config &)> Plant;
};

const std::vector<fault> Faults = {
    {finding_kind::RouteWithoutPool, "route read",
     [](declared_config &D) { D.Config.Routes[0].Pools.clear(); }},
    {finding_kind::UnknownPool, "route read",
     [](declared_config &D) {
       D.Config.Routes[0].Pools.push_back({pool_id("other"), 1});
     }},
    {finding_kind::UnknownPool, "route draft, stage 1",
     [](declared_config &D) {
       D.Config.Routes[1].Stages[1].Pool = pool_id("other");
     }},
    {finding_kind::UnknownStage, "route draft, stage 1",
     [](declared_config &D) { D.Config.Routes[1].Stages[1].After = {2}; }},
    {finding_kind::StageCycle, "route draft",
     [](declared_config &D) { D.Config.Routes[1].Stages[0].After = {1}; }},
    {finding_kind::StageCycle, "route draft",
     [](declared_config &D) { D.Config.Routes[1].Stages[1].After = {1}; }},
    {finding_kind::StageWithoutBatches, "route draft, stage 0",
     [](declared_config &D) {
       D.Config.Routes[1].Stages[0].Pool = pool_id("plain");
     }},
    {finding_kind::NoAttempts, "route read",
     [](declared_config &D) { D.Config.Routes[0].MaxAttempts = 0; }},
    {finding_kind::NoTimeout, "route read",
     [](declared_config &D) { D.Config.Routes[0].Timeout = {}; }},
    {finding_kind::AllWeightsZero, "route read",
     [](declared_config &D) { D.Config.Routes[0].Pools[0].Weight = 0; }},
    {finding_kind::NoCapacity, "pool stage",
     [](declared_config &D) {
       D.Config.Pools[pool_id("stage")].Batches->MaxPieces = 0;
     }},
    {finding_kind::PriorityOutOfRange, "route read",
     [](declared_config &D) { D.Config.Routes[0].Priority = 10; }},
    {finding_kind::PriorityOutOfRange, "workspace w1",
     [](declared_config &D) { D.Workspaces[0].Priority = 10; }},
    {finding_kind::KeyOfTwoWorkspaces, "workspace w2",
     [](declared_config &D) { D.Workspaces[1].Keys = D.Workspaces[0].Keys; }},
    {finding_kind::EmptyKey, "workspace w2",
     [](declared_config &D) { D.Workspaces[1].Keys = {workspace_key()}; }},
    {finding_kind::UnusableWorkspaceName, "workspace w1\r\n",
     [](declared_config &D) { D.Workspaces[0].Name = workspace_id("w1\r\n"); }},
    {finding_kind::HiddenRoute, "route draft",
     [](declared_config &D) { D.Config.Routes[1].PathPrefix = "/read/"; }},
    {finding_kind::PrefixNeverMatches, "route read",
     [](declared_config &D) { D.Config.Routes[0].PathPrefix = "/read"; }},
    {finding_kind::HostnameNeverMatches, "route read",
     [](declared_config &D) { D.Config.Routes[0].Hostname = "a.example:80"; }},
    {finding_kind::ShareNeverChosen, "route read",
     [](declared_config &D) {
       D.Config.Routes[0].Pools.push_back({pool_id("stage"), 0});
     }},
    {finding_kind::HiddenPool, "pool plain",
     [](declared_config &D) { D.Pools.emplace_back("plain"); }},
    {finding_kind::UnusedPool, "pool spare",
     [](declared_config &D) { D.Config.Pools[pool_id("spare")] = {}; }},
    {finding_kind::HiddenWorkspace, "workspace w1",
     [](declared_config &D) { D.Workspaces.push_back(D.Workspaces[0]); }},
    {finding_kind::WorkspaceWithoutKeys, "workspace w2",
     [](declared_config &D) { D.Workspaces[1].Keys.clear(); }},
    {finding_kind::GoalAboveTimeout, "route read",
     [](declared_config &D) { D.Config.Routes[0].Goal = milliseconds(3'001); }},
    {finding_kind::HeaderLimitAboveBodyLimit, "limits",
     [](declared_config &D) { D.Config.Bounds.MaxBodyBytes = 1'000; }},
    {finding_kind::IdleTimeoutBelowHeaderTimeout, "limits",
     [](declared_config &D) {
       D.Config.Bounds.IdleTimeout = milliseconds(2'999);
     }},
    {finding_kind::ResultAboveCapacity, "route draft, stage 1",
     [](declared_config &D) {
       D.Config.Routes[1].Stages[1].ResultBytes = 1'001;
     }},
};

} // namespace

TEST_CASE("a sound configuration has no findings") {
  CHECK(checkConfig(sound()).empty());
}

TEST_CASE("each fault is found alone, at its place") {
  for (const fault &Fault : Faults) {
    declared_config Declared = sound();
    Fault.Plant(Declared);
    std::vector<config_finding> Findings = checkConfig(Declared);
    CAPTURE(toText(Fault.Kind));
    REQUIRE(Findings.size() == 1);
    CHECK(Findings[0].Kind == Fault.Kind);
    CHECK(Findings[0].Where == Fault.Where);
  }
}

TEST_CASE("a key is told by its beginning, a short one not at all") {
  CHECK(maskKey(workspace_key("first-secret-key")) == "firs...");
  CHECK(maskKey(workspace_key("short-key")) == "...");
}

TEST_CASE("differences are told by entry and field, keys masked") {
  declared_config Before = sound();
  declared_config After = sound();
  CHECK(compareConfigs(Before, After).empty());
  After.Config.Version = config_version(8);
  After.Config.Routes[0].Timeout = milliseconds(2'000);
  After.Config.Routes[1].Name = route_id("new");
  After.Config.Pools[pool_id("stage")].Batches->MaxPieces = 4;
  After.Config.Bounds.MaxBodyBytes = 5'000'000;
  After.Workspaces[0].Keys = {workspace_key("first-other-key")};
  std::vector<config_change> Expected = {
      {"route draft", "present", std::nullopt},
      {"route new", std::nullopt, "present"},
      {"route read, timeout_ms", "3000", "2000"},
      {"pool stage, pieces.most", "1", "4"},
      {"limits, body_bytes", "4194304", "5000000"},
      {"key firs... of workspace w1", std::nullopt, "present"},
      {"key firs... of workspace w1", "present", std::nullopt}};
  CHECK(compareConfigs(Before, After) == Expected);
}
