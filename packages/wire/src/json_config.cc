// JSON form of the configuration and its change records.
#include "detail/json_config.h"

#include "jasminecroft/wire/json_codec.h"

#include <boost/json/array.hpp>

namespace jasminecroft::detail {

namespace {

namespace json = boost::json;

constexpr std::int64_t MaxSlots = 100'000;

std::string_view toText(pool_kind Kind) {
  return Kind == pool_kind::ModelEngine ? "model_engine" : "plain_service";
}

pool_kind kindFromJson(const json_reader &Reader) {
  std::string Text = Reader.text();
  if (Text == "model_engine")
    return pool_kind::ModelEngine;
  if (Text != "plain_service")
    Reader.fail(codec_problem::OutOfRange);
  return pool_kind::PlainService;
}

json::object poolToJson(const pool_definition &Pool) {
  return {{"name", Pool.Name.Value},
          {"kind", toText(Pool.Kind)},
          {"slots_per_backend", Pool.SlotsPerBackend},
          {"checks_fencing", Pool.ChecksFencing}};
}

pool_definition poolFromJson(const json_reader &Reader) {
  Reader.allowOnly({"name", "kind", "slots_per_backend", "checks_fencing"});
  pool_definition Pool;
  Pool.Name = Reader.id<pool_id>("name");
  Pool.Kind = kindFromJson(Reader.member("kind"));
  Pool.SlotsPerBackend = static_cast<std::uint32_t>(
      Reader.member("slots_per_backend").integer(1, MaxSlots));
  if (Reader.has("checks_fencing"))
    Pool.ChecksFencing = Reader.member("checks_fencing").boolean();
  return Pool;
}

json::object pipelineToJson(const pipeline_definition &Pipeline) {
  json::array Stages;
  for (const stage_definition &Stage : Pipeline.Stages)
    Stages.push_back(json::object{{"name", Stage.Name.Value},
                                  {"pool", Stage.Pool.Value},
                                  {"repeatable", Stage.Repeatable}});
  return {{"name", Pipeline.Name.Value}, {"stages", std::move(Stages)}};
}

pipeline_definition pipelineFromJson(const json_reader &Reader) {
  Reader.allowOnly({"name", "stages"});
  pipeline_definition Pipeline;
  Pipeline.Name = Reader.id<pipeline_id>("name");
  for (const json_reader &Element : Reader.member("stages").elements()) {
    Element.allowOnly({"name", "pool", "repeatable"});
    stage_definition Stage;
    Stage.Name = Element.id<stage_id>("name");
    Stage.Pool = Element.id<pool_id>("pool");
    if (Element.has("repeatable"))
      Stage.Repeatable = Element.member("repeatable").boolean();
    Pipeline.Stages.push_back(std::move(Stage));
  }
  return Pipeline;
}

setting_key settingFromJson(const json_reader &Reader) {
  std::optional<setting_key> Key = settingFromName(Reader.text());
  if (!Key)
    Reader.fail(codec_problem::OutOfRange);
  return Key.value_or(setting_key::DeadlineMs);
}

std::int64_t settingValueFromJson(const json_reader &Reader, setting_key Key) {
  const setting_description &Description = describe(Key);
  return Reader.integer(Description.Minimum, Description.Maximum);
}

json::object scopeToJson(const exception_scope &Scope) {
  json::object Object;
  if (Scope.Workspace)
    Object["workspace"] = Scope.Workspace->Value;
  if (Scope.Pipeline)
    Object["pipeline"] = Scope.Pipeline->Value;
  if (Scope.Pool)
    Object["pool"] = Scope.Pool->Value;
  if (Scope.Zone)
    Object["zone"] = Scope.Zone->Value;
  return Object;
}

exception_scope scopeFromJson(const json_reader &Reader) {
  Reader.allowOnly({"workspace", "pipeline", "pool", "zone"});
  exception_scope Scope;
  Scope.Workspace = Reader.optionalId<workspace_id>("workspace");
  Scope.Pipeline = Reader.optionalId<pipeline_id>("pipeline");
  Scope.Pool = Reader.optionalId<pool_id>("pool");
  Scope.Zone = Reader.optionalId<zone_id>("zone");
  return Scope;
}

json::object exceptionToJson(const config_exception &Exception) {
  return {{"id", Exception.Id.Value},
          {"scope", scopeToJson(Exception.Scope)},
          {"setting", describe(Exception.Key).Name},
          {"value", Exception.Value},
          {"reason", Exception.Reason},
          {"author", Exception.Author.Value},
          {"made_at", jasminecroft::toText(Exception.MadeAt)},
          {"review_by", jasminecroft::toText(Exception.ReviewBy)},
          {"since", Exception.Since.Value}};
}

config_exception exceptionFromJson(const json_reader &Reader) {
  Reader.allowOnly({"id", "scope", "setting", "value", "reason", "author",
                    "made_at", "review_by", "since"});
  config_exception Exception;
  Exception.Id = Reader.id<exception_id>("id");
  Exception.Scope = scopeFromJson(Reader.member("scope"));
  Exception.Key = settingFromJson(Reader.member("setting"));
  Exception.Value = settingValueFromJson(Reader.member("value"), Exception.Key);
  Exception.Reason = Reader.member("reason").text();
  Exception.Author = Reader.id<operator_name>("author");
  Exception.MadeAt = Reader.member("made_at").time();
  Exception.ReviewBy = Reader.member("review_by").time();
  Exception.Since = Reader.number<config_version>("since");
  return Exception;
}

struct difference_encoder {
  json::object operator()(const default_set &D) const {
    return {{"type", "default_set"},
            {"setting", describe(D.Key).Name},
            {"before", D.Before},
            {"after", D.After}};
  }
  json::object operator()(const exception_added &D) const {
    return {{"type", "exception_added"},
            {"exception", exceptionToJson(D.Exception)}};
  }
  json::object operator()(const exception_removed &D) const {
    return {{"type", "exception_removed"},
            {"exception", exceptionToJson(D.Exception)}};
  }
  json::object operator()(const pipeline_set &D) const {
    json::object Object{{"type", "pipeline_set"}};
    if (D.Before)
      Object["before"] = pipelineToJson(*D.Before);
    if (D.After)
      Object["after"] = pipelineToJson(*D.After);
    return Object;
  }
  json::object operator()(const pool_set &D) const {
    json::object Object{{"type", "pool_set"}};
    if (D.Before)
      Object["before"] = poolToJson(*D.Before);
    if (D.After)
      Object["after"] = poolToJson(*D.After);
    return Object;
  }
  json::object operator()(const workspace_added &D) const {
    return {{"type", "workspace_added"}, {"workspace", D.Workspace.Value}};
  }
  json::object operator()(const workspace_removed &D) const {
    return {{"type", "workspace_removed"}, {"workspace", D.Workspace.Value}};
  }
};

default_set defaultSetFromJson(const json_reader &Reader) {
  default_set Difference;
  Difference.Key = settingFromJson(Reader.member("setting"));
  Difference.Before =
      settingValueFromJson(Reader.member("before"), Difference.Key);
  Difference.After =
      settingValueFromJson(Reader.member("after"), Difference.Key);
  return Difference;
}

pipeline_set pipelineSetFromJson(const json_reader &Reader) {
  pipeline_set Difference;
  if (Reader.has("before"))
    Difference.Before = pipelineFromJson(Reader.member("before"));
  if (Reader.has("after"))
    Difference.After = pipelineFromJson(Reader.member("after"));
  return Difference;
}

pool_set poolSetFromJson(const json_reader &Reader) {
  pool_set Difference;
  if (Reader.has("before"))
    Difference.Before = poolFromJson(Reader.member("before"));
  if (Reader.has("after"))
    Difference.After = poolFromJson(Reader.member("after"));
  return Difference;
}

config_difference differenceFromJson(const json_reader &Reader) {
  std::string Type = Reader.member("type").text();
  if (Type == "default_set")
    return defaultSetFromJson(Reader);
  if (Type == "exception_added")
    return exception_added{exceptionFromJson(Reader.member("exception"))};
  if (Type == "exception_removed")
    return exception_removed{exceptionFromJson(Reader.member("exception"))};
  if (Type == "pipeline_set")
    return pipelineSetFromJson(Reader);
  if (Type == "pool_set")
    return poolSetFromJson(Reader);
  if (Type == "workspace_added")
    return workspace_added{Reader.id<workspace_id>("workspace")};
  if (Type == "workspace_removed")
    return workspace_removed{Reader.id<workspace_id>("workspace")};
  Reader.member("type").fail(codec_problem::OutOfRange);
  return workspace_added{};
}

void readDefaults(const json_reader &Reader, fleet_config &Config) {
  for (const json_reader::named_reader &Member :
       Reader.member("defaults").members()) {
    std::optional<setting_key> Key = settingFromName(Member.Name);
    if (!Key) {
      Member.Reader.fail(codec_problem::UnknownMember);
      continue;
    }
    Config.Defaults[*Key] = settingValueFromJson(Member.Reader, *Key);
  }
  if (!Reader.has("defaults_since"))
    return;
  for (const json_reader::named_reader &Member :
       Reader.member("defaults_since").members()) {
    std::optional<setting_key> Key = settingFromName(Member.Name);
    if (Key)
      Config.DefaultsSince[*Key] =
          config_version(Member.Reader.unsignedInteger());
    else
      Member.Reader.fail(codec_problem::UnknownMember);
  }
}

void readPools(const json_reader &Reader, fleet_config &Config) {
  for (const json_reader &Element : Reader.member("pools").elements()) {
    pool_definition Pool = poolFromJson(Element);
    pool_id Name = Pool.Name;
    if (!Config.Pools.emplace(Name, std::move(Pool)).second)
      Element.fail(codec_problem::OutOfRange);
  }
}

void readPipelines(const json_reader &Reader, fleet_config &Config) {
  for (const json_reader &Element : Reader.member("pipelines").elements()) {
    pipeline_definition Pipeline = pipelineFromJson(Element);
    pipeline_id Name = Pipeline.Name;
    if (!Config.Pipelines.emplace(Name, std::move(Pipeline)).second)
      Element.fail(codec_problem::OutOfRange);
  }
}

} // namespace

json::object changeToJson(const change_record &Change) {
  json::array Differences;
  for (const config_difference &Difference : Change.Differences)
    Differences.push_back(std::visit(difference_encoder(), Difference));
  return {{"id", Change.Id.Value},
          {"author", Change.Author.Value},
          {"reason", Change.Reason},
          {"base", Change.Base.Value},
          {"result", Change.Result.Value},
          {"made_at", jasminecroft::toText(Change.MadeAt)},
          {"differences", std::move(Differences)}};
}

change_record changeFromJson(const json_reader &Reader) {
  Reader.allowOnly(
      {"id", "author", "reason", "base", "result", "made_at", "differences"});
  change_record Change;
  Change.Id = Reader.id<change_id>("id");
  Change.Author = Reader.id<operator_name>("author");
  Change.Reason = Reader.member("reason").text();
  Change.Base = Reader.number<config_version>("base");
  Change.Result = Reader.number<config_version>("result");
  Change.MadeAt = Reader.member("made_at").time();
  for (const json_reader &Element : Reader.member("differences").elements())
    Change.Differences.push_back(differenceFromJson(Element));
  return Change;
}

json::object configToJson(const fleet_config &Config) {
  json::object Object{{"kind", "fleet_config"},
                      {"format", 1},
                      {"version", Config.Version.Value},
                      {"fleet", Config.Fleet.Value}};
  json::object Defaults;
  for (const std::pair<const setting_key, std::int64_t> &Entry :
       Config.Defaults)
    Defaults[describe(Entry.first).Name] = Entry.second;
  Object["defaults"] = std::move(Defaults);
  json::object Since;
  for (const std::pair<const setting_key, config_version> &Entry :
       Config.DefaultsSince)
    Since[describe(Entry.first).Name] = Entry.second.Value;
  Object["defaults_since"] = std::move(Since);
  json::array Exceptions;
  for (const config_exception &Exception : Config.Exceptions)
    Exceptions.push_back(exceptionToJson(Exception));
  Object["exceptions"] = std::move(Exceptions);
  json::array Pools;
  for (const std::pair<const pool_id, pool_definition> &Entry : Config.Pools)
    Pools.push_back(poolToJson(Entry.second));
  Object["pools"] = std::move(Pools);
  json::array Pipelines;
  for (const std::pair<const pipeline_id, pipeline_definition> &Entry :
       Config.Pipelines)
    Pipelines.push_back(pipelineToJson(Entry.second));
  Object["pipelines"] = std::move(Pipelines);
  json::array Workspaces;
  for (const workspace_id &Workspace : Config.Workspaces)
    Workspaces.push_back(json::string(Workspace.Value));
  Object["workspaces"] = std::move(Workspaces);
  json::array Changes;
  for (const change_record &Change : Config.Changes)
    Changes.push_back(changeToJson(Change));
  Object["changes"] = std::move(Changes);
  return Object;
}

fleet_config configFromJson(const json_reader &Reader) {
  Reader.allowOnly({"kind", "format", "version", "fleet", "defaults",
                    "defaults_since", "exceptions", "pools", "pipelines",
                    "workspaces", "changes"});
  fleet_config Config;
  Config.Version = Reader.number<config_version>("version");
  Config.Fleet = Reader.id<fleet_id>("fleet");
  readDefaults(Reader, Config);
  for (const json_reader &Element : Reader.member("exceptions").elements())
    Config.Exceptions.push_back(exceptionFromJson(Element));
  readPools(Reader, Config);
  readPipelines(Reader, Config);
  for (const json_reader &Element : Reader.member("workspaces").elements())
    Config.Workspaces.insert(workspace_id(Element.text()));
  if (Reader.has("changes"))
    for (const json_reader &Element : Reader.member("changes").elements())
      Config.Changes.push_back(changeFromJson(Element));
  return Config;
}

} // namespace jasminecroft::detail
