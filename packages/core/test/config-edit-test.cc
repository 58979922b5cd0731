// Changes to a configuration: which are accepted or rejected, and that
// replaying the records yields the same configuration on every host.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/config_edit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace jasminecroft;

namespace {

fleet_config base() {
  fleet_config Config;
  Config.Version = config_version(5);
  Config.Fleet = fleet_id("f");
  Config.Workspaces = {workspace_id("w")};
  Config.Pools[pool_id("p")] = {pool_id("p"), pool_kind::PlainService, 2,
                                false};
  Config.Pipelines[pipeline_id("check")] = {
      pipeline_id("check"), {{stage_id("a"), pool_id("p"), true}}};
  return Config;
}

change_request request(std::vector<config_difference> Differences) {
  return {change_id("c"), operator_name("ana"), "because", wall_time{},
          std::move(Differences)};
}

config_exception exceptionNamed(const std::string &Name) {
  config_exception Exception;
  Exception.Id = exception_id(Name);
  Exception.Scope.Workspace = workspace_id("w");
  Exception.Key = setting_key::WorkspaceWeight;
  Exception.Value = 300;
  Exception.Reason = "council session";
  Exception.Author = operator_name("ana");
  Exception.ReviewBy = wall_time(std::chrono::milliseconds(1000));
  return Exception;
}

edit_problem problemOf(const fleet_config &Config,
                       config_difference Difference) {
  std::variant<edited_config, edit_error> Result =
      applyChange(Config, request({std::move(Difference)}));
  REQUIRE(std::holds_alternative<edit_error>(Result));
  return std::get<edit_error>(Result).Problem;
}

fleet_config applied(const fleet_config &Config,
                     std::vector<config_difference> Differences) {
  std::variant<edited_config, edit_error> Result =
      applyChange(Config, request(std::move(Differences)));
  REQUIRE(std::holds_alternative<edited_config>(Result));
  return std::get<edited_config>(Result).Config;
}

} // namespace

TEST_CASE("a change increments the version and appends its record") {
  fleet_config After =
      applied(base(), {default_set{setting_key::DeadlineMs, 5'000, 7'000},
                       exception_added{exceptionNamed("x")}});
  CHECK(After.Version == config_version(6));
  CHECK(After.DefaultsSince[setting_key::DeadlineMs] == config_version(6));
  CHECK(After.Exceptions.at(0).Since == config_version(6));
  REQUIRE(After.Changes.size() == 1);
  CHECK(After.Changes[0].Base == config_version(5));
  CHECK(After.Changes[0].Result == config_version(6));
}

TEST_CASE("invalid changes are rejected with the matching problem") {
  fleet_config Config = base();
  CHECK(problemOf(Config, default_set{setting_key::DeadlineMs, 1, 7'000}) ==
        edit_problem::BeforeMismatch);
  CHECK(problemOf(Config, default_set{setting_key::DeadlineMs, 5'000, 1}) ==
        edit_problem::ValueOutOfRange);
  CHECK(problemOf(Config, workspace_added{workspace_id("w")}) ==
        edit_problem::DuplicateWorkspace);
  CHECK(problemOf(Config, workspace_removed{workspace_id("v")}) ==
        edit_problem::UnknownWorkspace);
  CHECK(problemOf(Config, pool_set{Config.Pools.at(pool_id("p")), {}}) ==
        edit_problem::PoolInUse);
  pipeline_definition Pipeline{pipeline_id("new"), {}};
  CHECK(problemOf(Config, pipeline_set{{}, Pipeline}) ==
        edit_problem::EmptyPipeline);
  Pipeline.Stages = {{stage_id("a"), pool_id("q"), true}};
  CHECK(problemOf(Config, pipeline_set{{}, Pipeline}) ==
        edit_problem::UnknownPool);
  Pipeline.Stages = {{stage_id("a"), pool_id("p"), true},
                     {stage_id("a"), pool_id("p"), true}};
  CHECK(problemOf(Config, pipeline_set{{}, Pipeline}) ==
        edit_problem::DuplicateStage);
}

TEST_CASE("an exception requires reason, author, review date and known scope") {
  fleet_config Config = base();
  config_exception Exception = exceptionNamed("x");
  Exception.Reason.clear();
  CHECK(problemOf(Config, exception_added{Exception}) ==
        edit_problem::MissingReason);
  Exception = exceptionNamed("x");
  Exception.Author = operator_name();
  CHECK(problemOf(Config, exception_added{Exception}) ==
        edit_problem::MissingAuthor);
  Exception = exceptionNamed("x");
  Exception.ReviewBy = wall_time{};
  CHECK(problemOf(Config, exception_added{Exception}) ==
        edit_problem::MissingReviewDate);
  Exception = exceptionNamed("x");
  Exception.MadeAt = Exception.ReviewBy;
  CHECK(problemOf(Config, exception_added{Exception}) ==
        edit_problem::ReviewDateInPast);
  Exception = exceptionNamed("x");
  Exception.Scope.Pool = pool_id("q");
  CHECK(problemOf(Config, exception_added{Exception}) ==
        edit_problem::UnknownScope);
  Config = applied(Config, {exception_added{exceptionNamed("x")}});
  CHECK(problemOf(Config, exception_added{exceptionNamed("x")}) ==
        edit_problem::DuplicateException);
  CHECK(problemOf(Config, exception_removed{exceptionNamed("y")}) ==
        edit_problem::UnknownException);
  CHECK(problemOf(Config, workspace_removed{workspace_id("w")}) ==
        edit_problem::UnknownScope);
}

TEST_CASE("the oldest records are evicted for archiving") {
  fleet_config Config = base();
  std::vector<change_record> Archived;
  for (int I = 0; I < 40; ++I) {
    std::variant<edited_config, edit_error> Result = applyChange(
        Config, request({workspace_added{workspace_id(std::to_string(I))}}));
    REQUIRE(std::holds_alternative<edited_config>(Result));
    edited_config &Edited = std::get<edited_config>(Result);
    Config = Edited.Config;
    Archived.insert(Archived.end(), Edited.Archived.begin(),
                    Edited.Archived.end());
  }
  CHECK(Config.Changes.size() == MaxChangesInConfig);
  CHECK(Archived.size() == 40 - MaxChangesInConfig);
  CHECK(Archived.back().Result == Config.Changes.front().Base);
}

TEST_CASE("differences turn one configuration into the other and replay") {
  CHECK(rc::check("difference and replay", [] {
    fleet_config Before = base();
    fleet_config After = base();
    for (int I = *rc::gen::inRange(0, 5); I > 0; --I) {
      std::string Name = std::to_string(*rc::gen::inRange(0, 4));
      fleet_config &Target = *rc::gen::arbitrary<bool>() ? Before : After;
      Target.Workspaces.insert(workspace_id(Name));
      pool_id Pool("p" + Name);
      Target.Pools[Pool] = {Pool, pool_kind::ModelEngine,
                            *rc::gen::inRange<std::uint32_t>(1, 3), false};
      pipeline_id Pipeline("l" + Name);
      Target.Pipelines[Pipeline] = {Pipeline, {{stage_id("s"), Pool, true}}};
      exception_id Id("x" + Name);
      bool Present = false;
      for (const config_exception &Exception : Target.Exceptions)
        Present = Present || Exception.Id == Id;
      config_exception Exception = exceptionNamed("x" + Name);
      Exception.Scope.Pipeline = Pipeline;
      if (!Present)
        Target.Exceptions.push_back(Exception);
      Target.Defaults[setting_key::DeadlineMs] = *rc::gen::inRange(10, 20);
    }
    std::vector<config_difference> Differences = difference(Before, After);
    if (Differences.empty())
      return;
    std::variant<edited_config, edit_error> Result =
        applyChange(Before, request(Differences));
    RC_ASSERT(std::holds_alternative<edited_config>(Result));
    const fleet_config &Reached = std::get<edited_config>(Result).Config;
    RC_ASSERT(difference(Reached, After).empty());
    std::variant<edited_config, edit_error> Replayed =
        replayChange(Before, Reached.Changes.back());
    RC_ASSERT(std::holds_alternative<edited_config>(Replayed));
    RC_ASSERT(std::get<edited_config>(Replayed).Config == Reached);
    RC_ASSERT(configDigest(Reached) ==
              configDigest(std::get<edited_config>(Replayed).Config));
    RC_ASSERT(configDigest(Reached) != configDigest(Before));
  }));
}

TEST_CASE("a record is replayed on its base version only") {
  fleet_config After = applied(base(), {workspace_added{workspace_id("v")}});
  std::variant<edited_config, edit_error> Result =
      replayChange(After, After.Changes.back());
  REQUIRE(std::holds_alternative<edit_error>(Result));
  CHECK(std::get<edit_error>(Result).Problem == edit_problem::VersionGap);
}
