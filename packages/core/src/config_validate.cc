// Validates a whole configuration before it is stored or adopted.
#include "jasminecroft/core/config_edit.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using check_failure = std::optional<edit_error>;

edit_error makeError(edit_problem Problem, std::string Where) {
  return {Problem, std::move(Where)};
}

check_failure checkName(const std::string &Name, const std::string &Where) {
  if (Name.empty())
    return makeError(edit_problem::EmptyName, Where);
  if (Name.size() > MaxNameBytes)
    return makeError(edit_problem::TooLarge, Where);
  return std::nullopt;
}

check_failure checkValue(setting_key Key, std::int64_t Value,
                         const std::string &Where) {
  const setting_description &Description = describe(Key);
  if (Value < Description.Minimum || Value > Description.Maximum)
    return makeError(edit_problem::ValueOutOfRange, Where);
  return std::nullopt;
}

check_failure checkDefaults(const fleet_config &Config) {
  for (const std::pair<const setting_key, std::int64_t> &Entry :
       Config.Defaults) {
    std::string Where = "defaults." + std::string(describe(Entry.first).Name);
    if (check_failure Failed = checkValue(Entry.first, Entry.second, Where))
      return Failed;
  }
  return std::nullopt;
}

check_failure checkPools(const fleet_config &Config) {
  for (const std::pair<const pool_id, pool_definition> &Entry : Config.Pools) {
    std::string Where = "pools." + Entry.first.Value;
    if (check_failure Failed = checkName(Entry.first.Value, Where))
      return Failed;
    if (Entry.second.Name != Entry.first)
      return makeError(edit_problem::NameMismatch, Where);
    if (Entry.second.SlotsPerBackend == 0)
      return makeError(edit_problem::ValueOutOfRange, Where + ".slots");
  }
  return std::nullopt;
}

check_failure checkStages(const fleet_config &Config,
                          const pipeline_definition &Pipeline,
                          const std::string &Where) {
  std::set<stage_id> Seen;
  for (const stage_definition &Stage : Pipeline.Stages) {
    std::string StageWhere = Where + ".stages." + Stage.Name.Value;
    if (check_failure Failed = checkName(Stage.Name.Value, StageWhere))
      return Failed;
    if (!Seen.insert(Stage.Name).second)
      return makeError(edit_problem::DuplicateStage, StageWhere);
    if (!Config.Pools.contains(Stage.Pool))
      return makeError(edit_problem::UnknownPool, StageWhere);
  }
  return std::nullopt;
}

check_failure checkPipelines(const fleet_config &Config) {
  for (const std::pair<const pipeline_id, pipeline_definition> &Entry :
       Config.Pipelines) {
    const pipeline_definition &Pipeline = Entry.second;
    std::string Where = "pipelines." + Entry.first.Value;
    if (check_failure Failed = checkName(Entry.first.Value, Where))
      return Failed;
    if (Pipeline.Name != Entry.first)
      return makeError(edit_problem::NameMismatch, Where);
    if (Pipeline.Stages.empty())
      return makeError(edit_problem::EmptyPipeline, Where);
    if (Pipeline.Stages.size() > MaxStagesPerPipeline)
      return makeError(edit_problem::TooLarge, Where);
    if (check_failure Failed = checkStages(Config, Pipeline, Where))
      return Failed;
  }
  return std::nullopt;
}

check_failure checkScope(const fleet_config &Config,
                         const exception_scope &Scope,
                         const std::string &Where) {
  if (Scope.Workspace && !Config.Workspaces.contains(*Scope.Workspace))
    return makeError(edit_problem::UnknownScope, Where + ".workspace");
  if (Scope.Pipeline && !Config.Pipelines.contains(*Scope.Pipeline))
    return makeError(edit_problem::UnknownScope, Where + ".pipeline");
  if (Scope.Pool && !Config.Pools.contains(*Scope.Pool))
    return makeError(edit_problem::UnknownScope, Where + ".pool");
  if (Scope.Zone && Scope.Zone->empty())
    return makeError(edit_problem::UnknownScope, Where + ".zone");
  return std::nullopt;
}

check_failure checkException(const fleet_config &Config,
                             const config_exception &Exception) {
  std::string Where = "exceptions." + Exception.Id.Value;
  if (check_failure Failed = checkName(Exception.Id.Value, Where))
    return Failed;
  if (Exception.Reason.empty())
    return makeError(edit_problem::MissingReason, Where);
  if (Exception.Reason.size() > MaxReasonBytes)
    return makeError(edit_problem::TooLarge, Where);
  if (Exception.Author.empty())
    return makeError(edit_problem::MissingAuthor, Where);
  if (Exception.ReviewBy == wall_time{})
    return makeError(edit_problem::MissingReviewDate, Where);
  if (Exception.ReviewBy <= Exception.MadeAt)
    return makeError(edit_problem::ReviewDateInPast, Where);
  if (check_failure Failed = checkValue(Exception.Key, Exception.Value, Where))
    return Failed;
  return checkScope(Config, Exception.Scope, Where + ".scope");
}

check_failure checkExceptions(const fleet_config &Config) {
  if (Config.Exceptions.size() > MaxExceptions)
    return makeError(edit_problem::TooLarge, "exceptions");
  std::set<exception_id> Seen;
  for (const config_exception &Exception : Config.Exceptions) {
    if (!Seen.insert(Exception.Id).second)
      return makeError(edit_problem::DuplicateException,
                       "exceptions." + Exception.Id.Value);
    if (check_failure Failed = checkException(Config, Exception))
      return Failed;
  }
  return std::nullopt;
}

check_failure checkWorkspaces(const fleet_config &Config) {
  for (const workspace_id &Workspace : Config.Workspaces)
    if (check_failure Failed =
            checkName(Workspace.Value, "workspaces." + Workspace.Value))
      return Failed;
  return std::nullopt;
}

} // namespace

std::optional<edit_error> validate(const fleet_config &Config) {
  for (check_failure (*Check)(const fleet_config &) :
       {checkDefaults, checkPools, checkPipelines, checkWorkspaces,
        checkExceptions})
    if (check_failure Failed = Check(Config))
      return Failed;
  return std::nullopt;
}

std::string_view toText(edit_problem Problem) {
  switch (Problem) {
  case edit_problem::NothingChanged:
    return "nothing_changed";
  case edit_problem::EmptyName:
    return "empty_name";
  case edit_problem::MissingReason:
    return "missing_reason";
  case edit_problem::MissingAuthor:
    return "missing_author";
  case edit_problem::MissingReviewDate:
    return "missing_review_date";
  case edit_problem::ReviewDateInPast:
    return "review_date_in_past";
  case edit_problem::ValueOutOfRange:
    return "value_out_of_range";
  case edit_problem::DuplicateException:
    return "duplicate_exception";
  case edit_problem::UnknownException:
    return "unknown_exception";
  case edit_problem::UnknownScope:
    return "unknown_scope";
  case edit_problem::EmptyPipeline:
    return "empty_pipeline";
  case edit_problem::DuplicateStage:
    return "duplicate_stage";
  case edit_problem::UnknownPool:
    return "unknown_pool";
  case edit_problem::PoolInUse:
    return "pool_in_use";
  case edit_problem::DuplicateWorkspace:
    return "duplicate_workspace";
  case edit_problem::UnknownWorkspace:
    return "unknown_workspace";
  case edit_problem::BeforeMismatch:
    return "before_mismatch";
  case edit_problem::NameMismatch:
    return "name_mismatch";
  case edit_problem::TooLarge:
    return "too_large";
  case edit_problem::VersionGap:
    return "version_gap";
  }
  return "nothing_changed";
}

} // namespace jasminecroft
