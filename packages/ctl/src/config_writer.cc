// Conditional writes of the configuration, with read back by change id.
#include "jasminecroft/ctl/config_writer.h"

#include <algorithm>

namespace jasminecroft::ctl {

namespace {

bool hasNoAnswer(const platform_result &Result) {
  return std::holds_alternative<platform_no_answer>(Result) ||
         std::holds_alternative<platform_refused>(Result);
}

const change_record *findIn(const fleet_config &Config, const change_id &Id) {
  auto Found = std::find_if(
      Config.Changes.begin(), Config.Changes.end(),
      [&Id](const change_record &Change) { return Change.Id == Id; });
  return Found == Config.Changes.end() ? nullptr : &*Found;
}

} // namespace

std::vector<change_record> changesSince(const fleet_config &Config,
                                        config_version Base) {
  std::vector<change_record> Since;
  for (const change_record &Change : Config.Changes)
    if (Change.Result > Base)
      Since.push_back(Change);
  return Since;
}

read_result config_writer::read() {
  do {
    platform_result Result = Access.call(get_object{configKey()});
    if (const object_found *Found = std::get_if<object_found>(&Result)) {
      const fleet_config *Config = std::get_if<fleet_config>(&Found->Value);
      if (!Config)
        return unreadable_config{};
      return read_config{*Config, Found->Version};
    }
    if (std::holds_alternative<object_absent>(Result))
      return no_config{};
    if (std::holds_alternative<object_malformed>(Result))
      return unreadable_config{};
  } while (Access.waitForNextTry());
  return platform_unreachable{};
}

write_result config_writer::create(fleet_config Config,
                                   const change_request &Change) {
  Config.Version = config_version(1);
  for (const std::pair<const setting_key, std::int64_t> &Entry :
       Config.Defaults)
    Config.DefaultsSince[Entry.first] = Config.Version;
  for (config_exception &Exception : Config.Exceptions)
    Exception.Since = Config.Version;
  change_record Record;
  Record.Id = Change.Id;
  Record.Author = Change.Author;
  Record.Reason = Change.Reason;
  Record.Result = Config.Version;
  Record.MadeAt = Change.MadeAt;
  Config.Changes = {Record};
  if (std::optional<edit_error> Error = validate(Config))
    return change_refused{*Error};
  return settle({std::move(Config), {}}, Record, std::nullopt);
}

write_result config_writer::write(const read_config &Base,
                                  const change_request &Change) {
  std::variant<edited_config, edit_error> Edited =
      applyChange(Base.Config, Change);
  if (const edit_error *Error = std::get_if<edit_error>(&Edited))
    return change_refused{*Error};
  const edited_config &New = std::get<edited_config>(Edited);
  change_record Record = New.Config.Changes.back();
  return settle(New, Record, Base.Version);
}

// Repeating the same conditional write is harmless: it takes effect at most
// once, since the version it expects is gone afterwards.
write_result
config_writer::settle(const edited_config &Edited, const change_record &Record,
                      const std::optional<object_version> &Expected) {
  platform_operation Operation = create_object{configKey(), Edited.Config};
  if (Expected)
    Operation = update_object{configKey(), Edited.Config, *Expected};
  bool MayHaveTakenEffect = false;
  do {
    platform_result Result = Access.call(Operation);
    if (std::holds_alternative<object_written>(Result)) {
      archive(Edited.Archived);
      return change_accepted{Record};
    }
    if (std::holds_alternative<version_conflict>(Result)) {
      if (std::optional<write_result> Settled = readBack(Record)) {
        if (std::holds_alternative<change_accepted>(*Settled))
          archive(Edited.Archived);
        return *Settled;
      }
    }
    MayHaveTakenEffect |= std::holds_alternative<platform_no_answer>(Result);
  } while (Access.waitForNextTry());
  if (MayHaveTakenEffect)
    return change_unknown{Record.Id};
  return platform_unreachable{};
}

// After a conflict: either an earlier try took effect, or another change did.
std::optional<write_result>
config_writer::readBack(const change_record &Record) {
  platform_result Result = Access.call(get_object{configKey()});
  if (hasNoAnswer(Result))
    return std::nullopt;
  const object_found *Found = std::get_if<object_found>(&Result);
  const fleet_config *Config =
      Found ? std::get_if<fleet_config>(&Found->Value) : nullptr;
  if (!Config)
    return unreadable_config{};
  if (std::optional<change_record> Own =
          find(*Config, Record.Id, Record.Result))
    return change_accepted{*Own};
  // The version that the change would have made is no longer in the list, and
  // its record is not archived yet: nobody can tell whose it was.
  bool Gone = !Config->Changes.empty() &&
              Config->Changes.front().Result > Record.Result;
  if (Gone && !archived(Record.Result))
    return change_unknown{Record.Id};
  return change_conflict{Record.Base, changesSince(*Config, Record.Base)};
}

std::optional<change_record> config_writer::find(const fleet_config &Config,
                                                 const change_id &Id,
                                                 config_version Oldest) {
  if (const change_record *Held = findIn(Config, Id))
    return *Held;
  if (Config.Changes.empty())
    return std::nullopt;
  config_version Version = Config.Changes.front().Result;
  while (Version > Oldest && Version.Value > 1) {
    Version = config_version(Version.Value - 1);
    std::optional<change_record> Change = archived(Version);
    if (Change && Change->Id == Id)
      return Change;
  }
  return std::nullopt;
}

std::vector<change_record> config_writer::history(const fleet_config &Config,
                                                  std::size_t Count) {
  std::vector<change_record> Newest(Config.Changes.rbegin(),
                                    Config.Changes.rend());
  if (Newest.size() > Count)
    Newest.resize(Count);
  while (Newest.size() < Count && !Newest.empty() &&
         Newest.back().Result.Value > 1) {
    config_version Next(Newest.back().Result.Value - 1);
    std::optional<change_record> Change = archived(Next);
    if (!Change)
      break;
    Newest.push_back(std::move(*Change));
  }
  return Newest;
}

void config_writer::archive(const std::vector<change_record> &Changes) {
  // Best effort; entry hosts that watch the configuration do the same.
  for (const change_record &Change : Changes)
    Access.call(
        create_object{auditKey(Change.Result), archived_change{Change}});
}

std::optional<change_record> config_writer::archived(config_version Version) {
  platform_result Result = Access.call(get_object{auditKey(Version)});
  const object_found *Found = std::get_if<object_found>(&Result);
  const archived_change *Archived =
      Found ? std::get_if<archived_change>(&Found->Value) : nullptr;
  if (!Archived)
    return std::nullopt;
  return Archived->Change;
}

} // namespace jasminecroft::ctl
