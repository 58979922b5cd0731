// Writes and reads configurations, change records and host lists as CBOR.
#include "peer_codec_config.h"

#include "jasminecroft/core/config_edit.h"

namespace jasminecroft::detail {

namespace {

constexpr std::size_t MaxWorkspaces = 100'000;
constexpr std::size_t MaxPipelines = 1'000;
constexpr std::size_t MaxPools = 1'000;
constexpr std::size_t MaxSettings = 100;
constexpr setting_key LastSetting = setting_key::ClaimRetentionSeconds;

/// Numbers of the kinds of differences on the wire.
enum class difference_kind : std::uint8_t {
  Default,
  ExceptionAdded,
  ExceptionRemoved,
  Pipeline,
  Pool,
  WorkspaceAdded,
  WorkspaceRemoved,
};

std::int64_t toNumber(wall_time Time) {
  return Time.time_since_epoch().count();
}

wall_time readTime(field_reader &Reader, const char *Field) {
  return wall_time(std::chrono::milliseconds(Reader.signedNumber(Field)));
}

template <typename Id> cbor_value writeMaybe(const std::optional<Id> &Value) {
  return Value ? cbor_value(Value->Value) : cbor_value();
}

cbor_value writeStage(const stage_definition &Stage) {
  return writeRecord(Stage.Name.Value, Stage.Pool.Value, Stage.Repeatable);
}

void readStage(field_reader &Reader, stage_definition &Stage) {
  Reader.id("name", Stage.Name);
  Reader.id("pool", Stage.Pool);
  Stage.Repeatable = Reader.flag("repeatable");
}

cbor_value writePipeline(const pipeline_definition &Pipeline) {
  return writeRecord(Pipeline.Name.Value,
                     writeList(Pipeline.Stages, writeStage));
}

void readPipeline(field_reader &Reader, pipeline_definition &Pipeline) {
  Reader.id("name", Pipeline.Name);
  Reader.list("stages", Pipeline.Stages, MaxStagesPerPipeline, readStage);
}

cbor_value writePool(const pool_definition &Pool) {
  return writeRecord(Pool.Name.Value, static_cast<unsigned>(Pool.Kind),
                     Pool.SlotsPerBackend, Pool.ChecksFencing);
}

void readPool(field_reader &Reader, pool_definition &Pool) {
  Reader.id("name", Pool.Name);
  Pool.Kind = Reader.choice("kind", pool_kind::PlainService);
  Pool.SlotsPerBackend = Reader.number32("slots");
  Pool.ChecksFencing = Reader.flag("checks_fencing");
}

cbor_value writeException(const config_exception &Exception) {
  const exception_scope &Scope = Exception.Scope;
  return writeRecord(Exception.Id.Value, writeMaybe(Scope.Workspace),
                     writeMaybe(Scope.Pipeline), writeMaybe(Scope.Pool),
                     writeMaybe(Scope.Zone),
                     static_cast<unsigned>(Exception.Key), Exception.Value,
                     Exception.Reason, Exception.Author.Value,
                     toNumber(Exception.MadeAt), toNumber(Exception.ReviewBy),
                     Exception.Since.Value);
}

void readException(field_reader &Reader, config_exception &Exception) {
  exception_scope &Scope = Exception.Scope;
  Reader.id("id", Exception.Id);
  Reader.maybeId("workspace", Scope.Workspace);
  Reader.maybeId("pipeline", Scope.Pipeline);
  Reader.maybeId("pool", Scope.Pool);
  Reader.maybeId("zone", Scope.Zone);
  Exception.Key = Reader.choice("key", LastSetting);
  Exception.Value = Reader.signedNumber("value");
  Exception.Reason = Reader.text("reason", MaxReasonBytes);
  Reader.id("author", Exception.Author);
  Exception.MadeAt = readTime(Reader, "made_at");
  Exception.ReviewBy = readTime(Reader, "review_by");
  Reader.version("since", Exception.Since);
}

template <typename Definition, typename Writer>
cbor_value writeOptional(const std::optional<Definition> &Value,
                         const Writer &Write) {
  return Value ? Write(*Value) : cbor_value();
}

cbor_value kindOf(difference_kind Kind) { return static_cast<unsigned>(Kind); }

struct difference_writer {
  cbor_value operator()(const default_set &Set) const {
    return writeRecord(kindOf(difference_kind::Default),
                       static_cast<unsigned>(Set.Key), Set.Before, Set.After);
  }
  cbor_value operator()(const exception_added &Added) const {
    return writeRecord(kindOf(difference_kind::ExceptionAdded),
                       writeException(Added.Exception));
  }
  cbor_value operator()(const exception_removed &Removed) const {
    return writeRecord(kindOf(difference_kind::ExceptionRemoved),
                       writeException(Removed.Exception));
  }
  cbor_value operator()(const pipeline_set &Set) const {
    return writeRecord(kindOf(difference_kind::Pipeline),
                       writeOptional(Set.Before, writePipeline),
                       writeOptional(Set.After, writePipeline));
  }
  cbor_value operator()(const pool_set &Set) const {
    return writeRecord(kindOf(difference_kind::Pool),
                       writeOptional(Set.Before, writePool),
                       writeOptional(Set.After, writePool));
  }
  cbor_value operator()(const workspace_added &Added) const {
    return writeRecord(kindOf(difference_kind::WorkspaceAdded),
                       Added.Workspace.Value);
  }
  cbor_value operator()(const workspace_removed &Removed) const {
    return writeRecord(kindOf(difference_kind::WorkspaceRemoved),
                       Removed.Workspace.Value);
  }
};

cbor_value writeDifference(const config_difference &Difference) {
  return std::visit(difference_writer(), Difference);
}

void readDefaultSet(field_reader &Reader, default_set &Set) {
  Set.Key = Reader.choice("key", LastSetting);
  Set.Before = Reader.signedNumber("before");
  Set.After = Reader.signedNumber("after");
}

void readPipelineSet(field_reader &Reader, pipeline_set &Set) {
  Reader.maybe("before", Set.Before, readPipeline);
  Reader.maybe("after", Set.After, readPipeline);
}

void readPoolSet(field_reader &Reader, pool_set &Set) {
  Reader.maybe("before", Set.Before, readPool);
  Reader.maybe("after", Set.After, readPool);
}

void readDifference(field_reader &Reader, config_difference &Difference) {
  switch (Reader.choice("kind", difference_kind::WorkspaceRemoved)) {
  case difference_kind::Default:
    return readDefaultSet(Reader, Difference.emplace<default_set>());
  case difference_kind::ExceptionAdded:
    return Reader.record("exception",
                         Difference.emplace<exception_added>().Exception,
                         readException);
  case difference_kind::ExceptionRemoved:
    return Reader.record("exception",
                         Difference.emplace<exception_removed>().Exception,
                         readException);
  case difference_kind::Pipeline:
    return readPipelineSet(Reader, Difference.emplace<pipeline_set>());
  case difference_kind::Pool:
    return readPoolSet(Reader, Difference.emplace<pool_set>());
  case difference_kind::WorkspaceAdded:
    return Reader.id("workspace",
                     Difference.emplace<workspace_added>().Workspace);
  case difference_kind::WorkspaceRemoved:
    return Reader.id("workspace",
                     Difference.emplace<workspace_removed>().Workspace);
  }
}

struct default_entry {
  setting_key Key = setting_key::DeadlineMs;
  std::int64_t Value = 0;
};

void readDefault(field_reader &Reader, default_entry &Entry) {
  Entry.Key = Reader.choice("key", LastSetting);
  Entry.Value = Reader.signedNumber("value");
}

struct since_entry {
  setting_key Key = setting_key::DeadlineMs;
  config_version Since;
};

void readSince(field_reader &Reader, since_entry &Entry) {
  Entry.Key = Reader.choice("key", LastSetting);
  Reader.version("since", Entry.Since);
}

void readWorkspace(field_reader &Reader, workspace_id &Workspace) {
  Reader.id("name", Workspace);
}

void readRecord(field_reader &Reader, change_record &Record) {
  read(Reader, Record);
}

cbor_value writeHost(const listed_host &Host) {
  return writeRecord(static_cast<unsigned>(Host.Kind), Host.Name,
                     Host.Zone.Value, Host.Region.Value, Host.Address.Value,
                     Host.Pool.Value, Host.Run.Value,
                     static_cast<unsigned>(Host.State));
}

void readHost(field_reader &Reader, listed_host &Host) {
  Host.Kind = Reader.choice("kind", host_kind::BackendServer);
  Host.Name = Reader.text("name");
  Reader.id("zone", Host.Zone);
  Reader.id("region", Host.Region);
  Reader.id("address", Host.Address);
  Reader.id("pool", Host.Pool);
  Reader.version("run", Host.Run);
  Host.State = Reader.choice("state", host_state::Leaving);
}

} // namespace

cbor_value write(const change_record &Record) {
  return writeRecord(Record.Id.Value, Record.Author.Value, Record.Reason,
                     Record.Base.Value, Record.Result.Value,
                     toNumber(Record.MadeAt),
                     writeList(Record.Differences, writeDifference));
}

void read(field_reader &Reader, change_record &Record) {
  Reader.id("id", Record.Id);
  Reader.id("author", Record.Author);
  Record.Reason = Reader.text("reason", MaxReasonBytes);
  Reader.version("base", Record.Base);
  Reader.version("result", Record.Result);
  Record.MadeAt = readTime(Reader, "made_at");
  Reader.list("differences", Record.Differences, MaxDifferencesPerChange,
              readDifference);
}

cbor_value write(const fleet_config &Config) {
  cbor_value Defaults = cbor_value::array();
  for (const std::pair<const setting_key, std::int64_t> &Entry :
       Config.Defaults)
    Defaults.push_back(
        writeRecord(static_cast<unsigned>(Entry.first), Entry.second));
  cbor_value Since = cbor_value::array();
  for (const std::pair<const setting_key, config_version> &Entry :
       Config.DefaultsSince)
    Since.push_back(
        writeRecord(static_cast<unsigned>(Entry.first), Entry.second.Value));
  cbor_value Pipelines = cbor_value::array();
  for (const std::pair<const pipeline_id, pipeline_definition> &Entry :
       Config.Pipelines)
    Pipelines.push_back(writePipeline(Entry.second));
  cbor_value Pools = cbor_value::array();
  for (const std::pair<const pool_id, pool_definition> &Entry : Config.Pools)
    Pools.push_back(writePool(Entry.second));
  cbor_value Workspaces = cbor_value::array();
  for (const workspace_id &Workspace : Config.Workspaces)
    Workspaces.push_back(writeRecord(Workspace.Value));
  return writeRecord(
      Config.Version.Value, Config.Fleet.Value, std::move(Defaults),
      std::move(Since), writeList(Config.Exceptions, writeException),
      std::move(Pipelines), std::move(Pools), std::move(Workspaces),
      writeList(Config.Changes,
                [](const change_record &Record) { return write(Record); }));
}

void read(field_reader &Reader, fleet_config &Config) {
  Reader.version("version", Config.Version);
  Reader.id("fleet", Config.Fleet);
  std::vector<default_entry> Defaults;
  Reader.list("defaults", Defaults, MaxSettings, readDefault);
  for (const default_entry &Entry : Defaults)
    Config.Defaults[Entry.Key] = Entry.Value;
  std::vector<since_entry> Since;
  Reader.list("since", Since, MaxSettings, readSince);
  for (const since_entry &Entry : Since)
    Config.DefaultsSince[Entry.Key] = Entry.Since;
  Reader.list("exceptions", Config.Exceptions, MaxExceptions, readException);
  std::vector<pipeline_definition> Pipelines;
  Reader.list("pipelines", Pipelines, MaxPipelines, readPipeline);
  for (const pipeline_definition &Pipeline : Pipelines)
    Config.Pipelines.emplace(Pipeline.Name, Pipeline);
  std::vector<pool_definition> Pools;
  Reader.list("pools", Pools, MaxPools, readPool);
  for (const pool_definition &Pool : Pools)
    Config.Pools.emplace(Pool.Name, Pool);
  std::vector<workspace_id> Workspaces;
  Reader.list("workspaces", Workspaces, MaxWorkspaces, readWorkspace);
  Config.Workspaces.insert(Workspaces.begin(), Workspaces.end());
  Reader.list("changes", Config.Changes, MaxChangesInConfig, readRecord);
}

cbor_value write(const host_list &Hosts) {
  return writeRecord(writeList(Hosts.Hosts, writeHost));
}

void read(field_reader &Reader, host_list &Hosts) {
  Reader.list("hosts", Hosts.Hosts, MaxHostsInList, readHost);
}

} // namespace jasminecroft::detail
