// Findings in one configuration. Differences: route_config_difference.cc.
#include "jasminecroft/core/serving/route_config_check.h"

#include "jasminecroft/core/field_text.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace jasminecroft {

namespace {

std::string inMs(core_duration Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                 .count()) +
         " ms";
}

std::string versus(const std::string &First, const std::string &Second) {
  return First + ", " + Second;
}

class checker {
public:
  explicit checker(const declared_config &Declared)
      : Declared(Declared), Config(Declared.Config) {}

  std::vector<config_finding> run() {
    std::set<std::pair<std::string, std::string>> Seen;
    for (const serving_route &Route : Config.Routes) {
      At = "route " + Route.Name.Value;
      if (!Seen.insert({Route.Hostname, Route.PathPrefix}).second)
        add(finding_kind::HiddenRoute, Route.Hostname + Route.PathPrefix);
      checkMatching(Route);
      checkTimes(Route);
      checkShares(Route);
      checkStages(Route);
    }
    checkPools();
    checkBounds();
    checkWorkspaces();
    return std::move(Findings);
  }

private:
  void add(finding_kind Kind, std::string Detail = {}) {
    Findings.push_back({Kind, At, std::move(Detail)});
  }

  // Lookups compare whole segments of a path, without its query.
  void checkMatching(const serving_route &Route) {
    const std::string &Prefix = Route.PathPrefix;
    if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/' ||
        Prefix.find('?') != std::string::npos)
      add(finding_kind::PrefixNeverMatches, Prefix);
    const std::string &Name = Route.Hostname;
    if (Name.empty() || Name.find_first_of(" /:") != std::string::npos)
      add(finding_kind::HostnameNeverMatches, Name);
  }

  void checkTimes(const serving_route &Route) {
    if (Route.Timeout <= core_duration{0})
      add(finding_kind::NoTimeout);
    else if (Route.Goal > Route.Timeout)
      add(finding_kind::GoalAboveTimeout,
          versus("goal " + inMs(Route.Goal), "timeout " + inMs(Route.Timeout)));
    if (Route.MaxAttempts == 0)
      add(finding_kind::NoAttempts);
    if (Route.Priority > MaxPriority)
      add(finding_kind::PriorityOutOfRange, std::to_string(Route.Priority));
  }

  void checkShares(const serving_route &Route) {
    if (Route.Pools.empty())
      add(finding_kind::RouteWithoutPool);
    bool AnyWeight =
        std::any_of(Route.Pools.begin(), Route.Pools.end(),
                    [](const pool_share &Share) { return Share.Weight > 0; });
    if (!Route.Pools.empty() && !AnyWeight)
      add(finding_kind::AllWeightsZero);
    for (const pool_share &Share : Route.Pools) {
      Used.insert(Share.Pool);
      if (!Config.Pools.contains(Share.Pool))
        add(finding_kind::UnknownPool, Share.Pool.Value);
      if (AnyWeight && Share.Weight == 0)
        add(finding_kind::ShareNeverChosen, Share.Pool.Value);
    }
  }

  void checkStages(const serving_route &Route) {
    std::string OfRoute = At;
    bool Known = true;
    for (std::size_t I = 0; I < Route.Stages.size(); ++I) {
      const route_stage &Stage = Route.Stages[I];
      At = OfRoute + ", stage " + std::to_string(I);
      Used.insert(Stage.Pool);
      for (std::uint32_t Before : Stage.After)
        if (Before >= Route.Stages.size()) {
          add(finding_kind::UnknownStage, std::to_string(Before));
          Known = false;
        }
      checkStagePool(Stage);
    }
    At = OfRoute;
    if (Known && hasCycle(Route.Stages))
      add(finding_kind::StageCycle);
  }

  void checkStagePool(const route_stage &Stage) {
    auto Pool = Config.Pools.find(Stage.Pool);
    if (Pool == Config.Pools.end()) {
      add(finding_kind::UnknownPool, Stage.Pool.Value);
      return;
    }
    const std::optional<batch_rules> &Rules = Pool->second.Batches;
    if (!Rules)
      add(finding_kind::StageWithoutBatches, Stage.Pool.Value);
    else if (Stage.ResultBytes > Rules->ResultCapacityBytes)
      add(finding_kind::ResultAboveCapacity,
          versus("result " + std::to_string(Stage.ResultBytes) + " bytes",
                 "pool " + Stage.Pool.Value + " " +
                     std::to_string(Rules->ResultCapacityBytes) + " bytes"));
  }

  // Repeatedly takes the stages that wait for no other.
  static bool hasCycle(const std::vector<route_stage> &Stages) {
    std::set<std::size_t> Left;
    for (std::size_t I = 0; I < Stages.size(); ++I)
      Left.insert(I);
    for (bool Taken = true; Taken;) {
      Taken = std::erase_if(Left, [&](std::size_t I) {
                const std::vector<std::uint32_t> &After = Stages[I].After;
                return std::none_of(After.begin(), After.end(),
                                    [&](std::uint32_t Before) {
                                      return Left.contains(Before);
                                    });
              }) > 0;
    }
    return !Left.empty();
  }

  void checkPools() {
    std::set<pool_id> Seen;
    for (const pool_id &Name : Declared.Pools) {
      At = "pool " + Name.Value;
      if (!Seen.insert(Name).second)
        add(finding_kind::HiddenPool);
    }
    for (const std::pair<const pool_id, serving_pool> &Entry : Config.Pools) {
      const serving_pool &Pool = Entry.second;
      At = "pool " + Entry.first.Value;
      if (!Used.contains(Entry.first))
        add(finding_kind::UnusedPool);
      if (Pool.Batches &&
          (Pool.Batches->Slots == 0 || Pool.Batches->MaxPieces == 0))
        add(finding_kind::NoCapacity, "pieces");
      if (Pool.Engine &&
          (Pool.Engine->Slots == 0 || Pool.Engine->MemoryTokens == 0))
        add(finding_kind::NoCapacity, "engine");
    }
  }

  void checkBounds() {
    const caller_bounds &Bounds = Config.Bounds;
    At = "limits";
    if (Bounds.MaxHeaderBytes > Bounds.MaxBodyBytes)
      add(finding_kind::HeaderLimitAboveBodyLimit,
          versus("header " + std::to_string(Bounds.MaxHeaderBytes) + " bytes",
                 "body " + std::to_string(Bounds.MaxBodyBytes) + " bytes"));
    if (Bounds.IdleTimeout < Bounds.HeaderTimeout)
      add(finding_kind::IdleTimeoutBelowHeaderTimeout,
          versus("idle " + inMs(Bounds.IdleTimeout),
                 "header " + inMs(Bounds.HeaderTimeout)));
    if (Bounds.HeaderTimeout <= core_duration{0})
      add(finding_kind::NoTimeout, "header");
  }

  void checkWorkspaces() {
    std::set<workspace_id> Names;
    std::map<workspace_key, workspace_id> Owners;
    for (const declared_workspace &Workspace : Declared.Workspaces) {
      At = "workspace " + Workspace.Name.Value;
      if (!Names.insert(Workspace.Name).second)
        add(finding_kind::HiddenWorkspace);
      if (!isFieldText(Workspace.Name.Value))
        add(finding_kind::UnusableWorkspaceName);
      if (Workspace.Keys.empty())
        add(finding_kind::WorkspaceWithoutKeys);
      if (Workspace.Priority && *Workspace.Priority > MaxPriority)
        add(finding_kind::PriorityOutOfRange,
            std::to_string(*Workspace.Priority));
      for (const workspace_key &Key : Workspace.Keys) {
        if (Key.empty())
          add(finding_kind::EmptyKey);
        auto Owner = Owners.emplace(Key, Workspace.Name).first;
        if (Owner->second != Workspace.Name)
          add(finding_kind::KeyOfTwoWorkspaces,
              "key " + maskKey(Key) + " of workspace " + Owner->second.Value);
      }
    }
  }

  const declared_config &Declared;
  const route_config &Config;
  /// The entry that is checked.
  std::string At;
  std::set<pool_id> Used;
  std::vector<config_finding> Findings;
};

} // namespace

finding_class classOf(finding_kind Kind) {
  if (Kind < finding_kind::HiddenRoute)
    return finding_class::Fault;
  return Kind < finding_kind::GoalAboveTimeout ? finding_class::NeverMatches
                                               : finding_class::Contradiction;
}

std::string_view toText(finding_class Class) {
  switch (Class) {
  case finding_class::Fault:
    return "error";
  case finding_class::NeverMatches:
    return "never_matches";
  case finding_class::Contradiction:
    return "contradiction";
  }
  return "error";
}

std::string_view toText(finding_kind Kind) {
  switch (Kind) {
  case finding_kind::RouteWithoutPool:
    return "route_without_pool";
  case finding_kind::UnknownPool:
    return "unknown_pool";
  case finding_kind::UnknownStage:
    return "unknown_stage";
  case finding_kind::StageCycle:
    return "stage_cycle";
  case finding_kind::StageWithoutBatches:
    return "stage_without_batches";
  case finding_kind::NoAttempts:
    return "no_attempts";
  case finding_kind::NoTimeout:
    return "no_timeout";
  case finding_kind::AllWeightsZero:
    return "all_weights_zero";
  case finding_kind::NoCapacity:
    return "no_capacity";
  case finding_kind::PriorityOutOfRange:
    return "priority_out_of_range";
  case finding_kind::KeyOfTwoWorkspaces:
    return "key_of_two_workspaces";
  case finding_kind::EmptyKey:
    return "empty_key";
  case finding_kind::UnusableWorkspaceName:
    return "unusable_workspace_name";
  case finding_kind::HiddenRoute:
    return "hidden_route";
  case finding_kind::PrefixNeverMatches:
    return "prefix_never_matches";
  case finding_kind::HostnameNeverMatches:
    return "hostname_never_matches";
  case finding_kind::ShareNeverChosen:
    return "share_never_chosen";
  case finding_kind::HiddenPool:
    return "hidden_pool";
  case finding_kind::UnusedPool:
    return "unused_pool";
  case finding_kind::HiddenWorkspace:
    return "hidden_workspace";
  case finding_kind::WorkspaceWithoutKeys:
    return "workspace_without_keys";
  case finding_kind::GoalAboveTimeout:
    return "goal_above_timeout";
  case finding_kind::HeaderLimitAboveBodyLimit:
    return "header_limit_above_body_limit";
  case finding_kind::IdleTimeoutBelowHeaderTimeout:
    return "idle_timeout_below_header_timeout";
  case finding_kind::ResultAboveCapacity:
    return "result_above_capacity";
  }
  return "unknown_pool";
}

std::vector<config_finding> checkConfig(const declared_config &Declared) {
  return checker(Declared).run();
}

} // namespace jasminecroft
