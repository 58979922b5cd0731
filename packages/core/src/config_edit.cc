// Applies changes to a configuration and computes the differences between two.
#include "jasminecroft/core/config_edit.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using edit_failure = std::optional<edit_error>;

edit_error makeError(edit_problem Problem, std::string Where) {
  return {Problem, std::move(Where)};
}

/// Applies the differences of one change in order.
class change_editor {
public:
  change_editor(fleet_config &Config, config_version Result)
      : Config(Config), Result(Result) {}

  // Also sets Since of added exceptions and the contents of removed ones.
  edit_failure apply(std::vector<config_difference> &Differences) {
    for (config_difference &Difference : Differences) {
      edit_failure Failed =
          std::visit([this](auto &D) { return on(D); }, Difference);
      if (Failed)
        return Failed;
    }
    return std::nullopt;
  }

private:
  edit_failure on(default_set &Set) {
    const setting_description &Description = describe(Set.Key);
    std::string Where = "defaults." + std::string(Description.Name);
    auto Found = Config.Defaults.find(Set.Key);
    std::int64_t Current =
        Found == Config.Defaults.end() ? Description.Default : Found->second;
    if (Current != Set.Before)
      return makeError(edit_problem::BeforeMismatch, Where);
    Config.Defaults[Set.Key] = Set.After;
    Config.DefaultsSince[Set.Key] = Result;
    return std::nullopt;
  }

  edit_failure on(exception_added &Added) {
    Added.Exception.Since = Result;
    if (findException(Added.Exception.Id) != Config.Exceptions.end())
      return makeError(edit_problem::DuplicateException,
                       "exceptions." + Added.Exception.Id.Value);
    Config.Exceptions.push_back(Added.Exception);
    return std::nullopt;
  }

  edit_failure on(exception_removed &Removed) {
    std::vector<config_exception>::iterator Found =
        findException(Removed.Exception.Id);
    if (Found == Config.Exceptions.end())
      return makeError(edit_problem::UnknownException,
                       "exceptions." + Removed.Exception.Id.Value);
    Removed.Exception = *Found;
    Config.Exceptions.erase(Found);
    return std::nullopt;
  }

  edit_failure on(pipeline_set &Set) {
    return replaceDefinition(Config.Pipelines, Set.Before, Set.After,
                             "pipelines.");
  }

  edit_failure on(pool_set &Set) {
    edit_failure Failed =
        replaceDefinition(Config.Pools, Set.Before, Set.After, "pools.");
    if (Failed || Set.After || !Set.Before)
      return Failed;
    for (const std::pair<const pipeline_id, pipeline_definition> &Entry :
         Config.Pipelines)
      for (const stage_definition &Stage : Entry.second.Stages)
        if (Stage.Pool == Set.Before->Name)
          return makeError(edit_problem::PoolInUse,
                           "pools." + Stage.Pool.Value);
    return std::nullopt;
  }

  edit_failure on(workspace_added &Added) {
    if (!Config.Workspaces.insert(Added.Workspace).second)
      return makeError(edit_problem::DuplicateWorkspace,
                       "workspaces." + Added.Workspace.Value);
    return std::nullopt;
  }

  edit_failure on(workspace_removed &Removed) {
    if (Config.Workspaces.erase(Removed.Workspace) == 0)
      return makeError(edit_problem::UnknownWorkspace,
                       "workspaces." + Removed.Workspace.Value);
    return std::nullopt;
  }

  template <typename Id, typename Definition>
  edit_failure replaceDefinition(std::map<Id, Definition> &Map,
                                 const std::optional<Definition> &Before,
                                 const std::optional<Definition> &After,
                                 const std::string &Prefix) {
    if (!Before && !After)
      return makeError(edit_problem::NothingChanged, Prefix);
    Id Name = After ? After->Name : Before->Name;
    std::string Where = Prefix + Name.Value;
    if (Before && Before->Name != Name)
      return makeError(edit_problem::NameMismatch, Where);
    auto Found = Map.find(Name);
    std::optional<Definition> Current;
    if (Found != Map.end())
      Current = Found->second;
    if (Current != Before)
      return makeError(edit_problem::BeforeMismatch, Where);
    if (After)
      Map[Name] = *After;
    else
      Map.erase(Name);
    return std::nullopt;
  }

  std::vector<config_exception>::iterator
  findException(const exception_id &Id) {
    return std::find_if(Config.Exceptions.begin(), Config.Exceptions.end(),
                        [&Id](const config_exception &Exception) {
                          return Exception.Id == Id;
                        });
  }

  fleet_config &Config;
  config_version Result;
};

edit_failure checkRequest(const change_request &Change) {
  if (Change.Id.empty())
    return makeError(edit_problem::EmptyName, "change.id");
  if (Change.Author.empty())
    return makeError(edit_problem::MissingAuthor, "change.author");
  if (Change.Reason.empty())
    return makeError(edit_problem::MissingReason, "change.reason");
  if (Change.Reason.size() > MaxReasonBytes)
    return makeError(edit_problem::TooLarge, "change.reason");
  if (Change.Differences.empty())
    return makeError(edit_problem::NothingChanged, "change.differences");
  if (Change.Differences.size() > MaxDifferencesPerChange)
    return makeError(edit_problem::TooLarge, "change.differences");
  return std::nullopt;
}

// Removes all but the newest records from the configuration and returns them.
std::vector<change_record> evictOldChanges(fleet_config &Config) {
  std::vector<change_record> Evicted;
  if (Config.Changes.size() <= MaxChangesInConfig)
    return Evicted;
  auto FirstKept = Config.Changes.end() - MaxChangesInConfig;
  Evicted.assign(Config.Changes.begin(), FirstKept);
  Config.Changes.erase(Config.Changes.begin(), FirstKept);
  return Evicted;
}

template <typename Difference, typename Id, typename Definition>
void diffDefinitions(const std::map<Id, Definition> &Before,
                     const std::map<Id, Definition> &After, bool Removals,
                     std::vector<config_difference> &Out) {
  if (Removals) {
    for (const std::pair<const Id, Definition> &Entry : Before)
      if (!After.contains(Entry.first))
        Out.push_back(Difference{Entry.second, std::nullopt});
    return;
  }
  for (const std::pair<const Id, Definition> &Entry : After) {
    auto Found = Before.find(Entry.first);
    if (Found == Before.end())
      Out.push_back(Difference{std::nullopt, Entry.second});
    else if (Found->second != Entry.second)
      Out.push_back(Difference{Found->second, Entry.second});
  }
}

std::int64_t defaultOf(const fleet_config &Config, setting_key Key) {
  auto Found = Config.Defaults.find(Key);
  return Found == Config.Defaults.end() ? describe(Key).Default : Found->second;
}

bool equalExceptSince(config_exception A, const config_exception &B) {
  A.Since = B.Since;
  return A == B;
}

bool containsException(const std::vector<config_exception> &List,
                       const config_exception &Wanted) {
  return std::any_of(List.begin(), List.end(),
                     [&Wanted](const config_exception &Exception) {
                       return equalExceptSince(Exception, Wanted);
                     });
}

} // namespace

std::variant<edited_config, edit_error>
applyChange(const fleet_config &Config, const change_request &Change) {
  if (edit_failure Failed = checkRequest(Change))
    return *Failed;
  change_record Record;
  Record.Id = Change.Id;
  Record.Author = Change.Author;
  Record.Reason = Change.Reason;
  Record.Base = Config.Version;
  Record.Result = Config.Version.next();
  Record.MadeAt = Change.MadeAt;
  Record.Differences = Change.Differences;
  std::variant<edited_config, edit_error> Result = replayChange(Config, Record);
  if (const edited_config *Edited = std::get_if<edited_config>(&Result))
    if (edit_failure Failed = validate(Edited->Config))
      return *Failed;
  return Result;
}

// An accepted change is not validated again: a host with different limits would
// have to accept the same configuration as a whole anyway.
std::variant<edited_config, edit_error>
replayChange(const fleet_config &Config, const change_record &Record) {
  if (Record.Base != Config.Version || Record.Result != Config.Version.next())
    return makeError(edit_problem::VersionGap,
                     std::to_string(Record.Base.Value));
  edited_config Edited{Config, {}};
  change_record Applied = Record;
  change_editor Editor(Edited.Config, Record.Result);
  if (edit_failure Failed = Editor.apply(Applied.Differences))
    return *Failed;
  Edited.Config.Version = Record.Result;
  Edited.Config.Changes.push_back(std::move(Applied));
  Edited.Archived = evictOldChanges(Edited.Config);
  return Edited;
}

std::vector<config_difference> difference(const fleet_config &Before,
                                          const fleet_config &After) {
  std::vector<config_difference> Out;
  for (const config_exception &Exception : Before.Exceptions)
    if (!containsException(After.Exceptions, Exception))
      Out.push_back(exception_removed{Exception});
  diffDefinitions<pipeline_set>(Before.Pipelines, After.Pipelines, true, Out);
  diffDefinitions<pool_set>(Before.Pools, After.Pools, false, Out);
  diffDefinitions<pipeline_set>(Before.Pipelines, After.Pipelines, false, Out);
  diffDefinitions<pool_set>(Before.Pools, After.Pools, true, Out);
  for (const workspace_id &Workspace : Before.Workspaces)
    if (!After.Workspaces.contains(Workspace))
      Out.push_back(workspace_removed{Workspace});
  for (const workspace_id &Workspace : After.Workspaces)
    if (!Before.Workspaces.contains(Workspace))
      Out.push_back(workspace_added{Workspace});
  for (const setting_description &Setting : settingDescriptions()) {
    std::int64_t Old = defaultOf(Before, Setting.Key);
    std::int64_t New = defaultOf(After, Setting.Key);
    if (Old != New)
      Out.push_back(default_set{Setting.Key, Old, New});
  }
  for (const config_exception &Exception : After.Exceptions)
    if (!containsException(Before.Exceptions, Exception))
      Out.push_back(exception_added{Exception});
  return Out;
}

} // namespace jasminecroft
