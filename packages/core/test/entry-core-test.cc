// The complete core: a request through two stages, in virtual time.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/entry_core.h"

#include <doctest/doctest.h>

using namespace jasminecroft;

namespace {

fleet_config twoStageConfig() {
  fleet_config Config;
  Config.Version = config_version(1);
  Config.Fleet = fleet_id("test");
  Config.Workspaces.insert(workspace_id("w"));
  Config.Pools[pool_id("p")] = {pool_id("p"), pool_kind::PlainService, 4,
                                false};
  pipeline_definition Pipeline{pipeline_id("check"),
                               {{stage_id("a"), pool_id("p"), true},
                                {stage_id("b"), pool_id("p"), true}}};
  Config.Pipelines[Pipeline.Name] = Pipeline;
  return Config;
}

host_list oneBackend() {
  listed_host Host;
  Host.Name = "b1";
  Host.Zone = zone_id("z1");
  Host.Address = endpoint("127.0.0.1:1");
  Host.Pool = pool_id("p");
  Host.Run = incarnation(1);
  return {{Host}};
}

core_settings settings() {
  core_settings Settings;
  Settings.Fleet = fleet_id("test");
  Settings.Self = {entry_host_id("e1"), incarnation(1)};
  Settings.Zone = zone_id("z1");
  Settings.Seed = 7;
  return Settings;
}

template <typename Action> const Action *find(const action_list &Actions) {
  for (const action &A : Actions)
    if (const Action *Found = std::get_if<Action>(&A))
      return Found;
  return nullptr;
}

// Answers the core's first reads of the configuration and the host list.
void answerInitialReads(entry_core &Core, core_time Now) {
  action_list Actions = Core.handle(wakeup{}, Now);
  for (const action &A : Actions) {
    const call_platform *Call = std::get_if<call_platform>(&A);
    if (!Call)
      continue;
    const get_object *Get = std::get_if<get_object>(&Call->Operation);
    if (!Get)
      continue;
    stored_object Value = twoStageConfig();
    if (Get->Key == hostListKey())
      Value = oneBackend();
    Core.handle(
        platform_replied{Call->Call, object_found{Value, object_version(1)}},
        Now);
  }
}

} // namespace

TEST_CASE("a request passes its stages in order and gets the last output") {
  entry_core Core(settings());
  core_time Now{};
  answerInitialReads(Core, Now);
  request_received Request;
  Request.Request = request_id(1);
  Request.Workspace = workspace_id("w");
  Request.Pipeline = pipeline_id("check");
  Request.Body = "in";

  action_list Actions = Core.handle(Request, Now);
  const start_attempt *First = find<start_attempt>(Actions);
  REQUIRE(First);
  CHECK(First->Input == "in");
  Actions = Core.handle(attempt_succeeded{First->Attempt, "mid", 0, 0}, Now);
  const start_attempt *Second = find<start_attempt>(Actions);
  REQUIRE(Second);
  CHECK(Second->Input == "mid");
  Actions = Core.handle(attempt_succeeded{Second->Attempt, "out", 0, 0}, Now);
  const answer_caller *Answer = find<answer_caller>(Actions);
  REQUIRE(Answer);
  CHECK(Answer->Answer.Outcome == outcome_kind::Complete);
  CHECK(Answer->Answer.Body == "out");
}

TEST_CASE("a host without a configuration rejects a request as not run") {
  entry_core Core(settings());
  request_received Request;
  Request.Request = request_id(1);
  action_list Actions = Core.handle(Request, core_time{});
  const answer_caller *Answer = find<answer_caller>(Actions);
  REQUIRE(Answer);
  CHECK(Answer->Answer.Outcome == outcome_kind::NotRun);
  CHECK(Answer->Answer.Code == error_code::NotReady);
}
