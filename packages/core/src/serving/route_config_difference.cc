// Differences of two configurations: each entry is a list of named texts.
#include "jasminecroft/core/serving/route_config_check.h"

#include <map>
#include <utility>

namespace jasminecroft {

namespace {

/// A shorter key would be told by its beginning.
constexpr std::size_t MinShownLength = 12;
constexpr std::size_t ShownLength = 4;

using field_map = std::map<std::string, std::string>;
/// By kind and name; kinds in the order in which they are told.
using entry_map = std::map<std::pair<int, std::string>, field_map>;
enum entry_order { Routes, Pools, Limits, Workspaces, Keys };

std::string inMs(core_duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

field_map fieldsOf(const serving_route &Route) {
  std::string Pools;
  for (const pool_share &Share : Route.Pools)
    Pools += (Pools.empty() ? "" : " ") + Share.Pool.Value + ":" +
             std::to_string(Share.Weight);
  std::string Stages;
  for (const route_stage &Stage : Route.Stages) {
    Stages += (Stages.empty() ? "" : " ") + Stage.Pool.Value + ":" +
              std::to_string(Stage.ResultBytes);
    for (std::uint32_t Before : Stage.After)
      Stages += "<" + std::to_string(Before);
  }
  return {{"hostname", Route.Hostname},
          {"prefix", Route.PathPrefix},
          {"streamed", yesNo(Route.Streamed)},
          {"repeatable", yesNo(Route.Repeatable)},
          {"resumable", yesNo(Route.Resumable)},
          {"public", yesNo(Route.Public)},
          {"timeout_ms", inMs(Route.Timeout)},
          {"goal_ms", inMs(Route.Goal)},
          {"priority", std::to_string(Route.Priority)},
          {"attempts", std::to_string(Route.MaxAttempts)},
          {"pools", Pools},
          {"stages", Stages}};
}

field_map fieldsOf(const serving_pool &Pool) {
  field_map Fields = {{"connections", std::to_string(Pool.MaxConnections)}};
  if (Pool.Batches) {
    const batch_rules &Rules = *Pool.Batches;
    Fields["pieces.slots"] = std::to_string(Rules.Slots);
    Fields["pieces.most"] = std::to_string(Rules.MaxPieces);
    Fields["pieces.fixed_ms"] = inMs(Rules.CallTime);
    Fields["pieces.piece_us"] = std::to_string(Rules.PieceTime.count());
    Fields["pieces.result_bytes"] = std::to_string(Rules.ResultCapacityBytes);
    Fields["pieces.result_ms"] = inMs(Rules.ResultLifetime);
  }
  if (Pool.Engine) {
    Fields["engine.slots"] = std::to_string(Pool.Engine->Slots);
    Fields["engine.tokens"] = std::to_string(Pool.Engine->MemoryTokens);
  }
  return Fields;
}

field_map fieldsOf(const caller_bounds &Bounds) {
  return {{"header_bytes", std::to_string(Bounds.MaxHeaderBytes)},
          {"body_bytes", std::to_string(Bounds.MaxBodyBytes)},
          {"header_timeout_ms", inMs(Bounds.HeaderTimeout)},
          {"idle_timeout_ms", inMs(Bounds.IdleTimeout)}};
}

entry_map entriesOf(const declared_config &Declared) {
  const route_config &Config = Declared.Config;
  entry_map Entries;
  for (const serving_route &Route : Config.Routes)
    Entries.emplace(std::pair(Routes, "route " + Route.Name.Value),
                    fieldsOf(Route));
  for (const std::pair<const pool_id, serving_pool> &Pool : Config.Pools)
    Entries.emplace(std::pair(Pools, "pool " + Pool.first.Value),
                    fieldsOf(Pool.second));
  Entries.emplace(std::pair(Limits, "limits"), fieldsOf(Config.Bounds));
  Entries.emplace(std::pair(Limits, "keys"),
                  field_map{{"required", yesNo(Config.KeysRequired)}});
  for (const declared_workspace &Workspace : Declared.Workspaces) {
    field_map Fields = {{"priority", Workspace.Priority
                                         ? std::to_string(*Workspace.Priority)
                                         : "of the route"}};
    Entries.emplace(std::pair(Workspaces, "workspace " + Workspace.Name.Value),
                    std::move(Fields));
    for (const workspace_key &Key : Workspace.Keys)
      Entries.emplace(std::pair(Keys, Workspace.Name.Value + '\0' + Key.Value),
                      field_map{{"", "key " + maskKey(Key) + " of workspace " +
                                         Workspace.Name.Value}});
  }
  return Entries;
}

void addFields(std::vector<config_change> &Changes, const std::string &Where,
               const field_map &Before, const field_map &After) {
  field_map Names = Before;
  Names.insert(After.begin(), After.end());
  for (const std::pair<const std::string, std::string> &Name : Names) {
    auto Old = Before.find(Name.first);
    auto New = After.find(Name.first);
    config_change Change{Where + ", " + Name.first, std::nullopt, std::nullopt};
    if (Old != Before.end())
      Change.Before = Old->second;
    if (New != After.end())
      Change.After = New->second;
    if (Change.Before != Change.After)
      Changes.push_back(std::move(Change));
  }
}

// An entry that is on one side only.
config_change wholeEntry(const entry_map::value_type &Entry, bool Added) {
  bool IsKey = Entry.first.first == Keys;
  config_change Change{IsKey ? Entry.second.begin()->second
                             : Entry.first.second,
                       std::nullopt, std::nullopt};
  (Added ? Change.After : Change.Before) = "present";
  return Change;
}

} // namespace

std::string maskKey(const workspace_key &Key) {
  if (Key.Value.size() < MinShownLength)
    return "...";
  return Key.Value.substr(0, ShownLength) + "...";
}

std::vector<config_change> compareConfigs(const declared_config &Before,
                                          const declared_config &After) {
  entry_map Old = entriesOf(Before);
  entry_map New = entriesOf(After);
  entry_map Names = Old;
  Names.insert(New.begin(), New.end());
  std::vector<config_change> Changes;
  for (const entry_map::value_type &Entry : Names) {
    auto Was = Old.find(Entry.first);
    auto Is = New.find(Entry.first);
    if (Was == Old.end() || Is == New.end())
      Changes.push_back(wholeEntry(Entry, Was == Old.end()));
    else
      addFields(Changes, Entry.first.second, Was->second, Is->second);
  }
  return Changes;
}

} // namespace jasminecroft
