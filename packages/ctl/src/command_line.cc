// Parsing of the command line and of the settings file.
#include "jasminecroft/ctl/command_line.h"

#include "jasminecroft/wire/json_codec.h"

#include <boost/json/parse.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <sstream>

namespace jasminecroft::ctl {

namespace {

namespace json = boost::json;
namespace options = boost::program_options;

constexpr int MaxTimeoutMs = 600'000;

/// Options as given; each command says which of them it needs.
struct raw_options {
  std::string Settings;
  std::string Platform;
  std::vector<std::string> Hosts;
  int TimeoutMs = 10'000;
  std::string Output = "text";
  std::string Author;
  std::string Reason;
  std::string Id;
  std::string Setting;
  std::string ReviewBy;
  std::string Workspace;
  std::string Pipeline;
  std::string Pool;
  std::string Zone;
  std::int64_t Value = 0;
  bool HasValue = false;
  std::size_t Count = 20;
  std::string Against;
  bool Json = false;
  bool Help = false;
  bool Version = false;
  std::vector<std::string> Words;
};

options::options_description describeOptions(raw_options &Raw) {
  options::options_description Known("Options");
  options::options_description_easy_init Add = Known.add_options();
  Add("settings", options::value(&Raw.Settings),
      "JSON file with \"platform\" and \"hosts\"");
  Add("platform", options::value(&Raw.Platform), "IP:port of the object API");
  Add("host", options::value(&Raw.Hosts)->composing(),
      "IP:port of an entry host; may be given several times");
  Add("timeout-ms", options::value(&Raw.TimeoutMs),
      "time for all tries to reach the platform");
  Add("output", options::value(&Raw.Output), "text or json");
  Add("author", options::value(&Raw.Author), "who makes the change");
  Add("reason", options::value(&Raw.Reason), "why; read by the next operator");
  Add("id", options::value(&Raw.Id), "name of an exception");
  Add("setting", options::value(&Raw.Setting), "setting of an exception");
  Add("value", options::value(&Raw.Value), "value of an exception");
  Add("review-by", options::value(&Raw.ReviewBy),
      "date by which an exception is to be reviewed");
  Add("workspace", options::value(&Raw.Workspace), "scope");
  Add("pipeline", options::value(&Raw.Pipeline), "scope");
  Add("pool", options::value(&Raw.Pool), "scope");
  Add("zone", options::value(&Raw.Zone), "scope");
  Add("count", options::value(&Raw.Count), "changes to show");
  Add("against", options::value(&Raw.Against),
      "version that config check compares with");
  Add("json", options::bool_switch(&Raw.Json), "the same as --output json");
  Add("help", options::bool_switch(&Raw.Help), "this text");
  Add("version", options::bool_switch(&Raw.Version), "the program's version");
  return Known;
}

usage_error usage(std::string Where, std::string Message) {
  return {exit_code::Usage, std::move(Where), std::move(Message)};
}

std::optional<usage_error> readSettings(const std::string &File,
                                        ctl_settings &Settings) {
  std::ifstream Stream(File);
  if (!Stream)
    return usage_error{exit_code::SettingsMissing, File, "cannot be opened"};
  std::stringstream Text;
  Text << Stream.rdbuf();
  json::parse_options Options;
  Options.allow_comments = true;
  json::error_code Error;
  json::value Value = json::parse(Text.str(), Error, {}, Options);
  if (Error)
    return usage_error{exit_code::SettingsMalformed, File, Error.message()};
  if (!Value.is_object())
    return usage_error{exit_code::SettingsMalformed, File, "is not an object"};
  for (const json::key_value_pair &Member : Value.as_object()) {
    std::string Name(Member.key());
    if (Name == "platform" && Member.value().is_string()) {
      Settings.Platform = endpoint(std::string(Member.value().as_string()));
    } else if (Name == "hosts" && Member.value().is_array()) {
      for (const json::value &Host : Member.value().as_array()) {
        if (!Host.is_string())
          return usage_error{exit_code::WrongType, File + ": hosts",
                             "a host is not a text"};
        Settings.Hosts.emplace_back(std::string(Host.as_string()));
      }
    } else {
      bool Known = Name == "platform" || Name == "hosts";
      std::string Where = File;
      Where += ": ";
      Where += Name;
      return usage_error{Known ? exit_code::WrongType : exit_code::UnknownKey,
                         Where, Known ? "has the wrong type" : "is not known"};
    }
  }
  return std::nullopt;
}

std::optional<usage_error> fillSettings(const raw_options &Raw,
                                        ctl_settings &Settings) {
  if (!Raw.Settings.empty())
    if (std::optional<usage_error> Error = readSettings(Raw.Settings, Settings))
      return Error;
  if (!Raw.Platform.empty())
    Settings.Platform = endpoint(Raw.Platform);
  if (!Raw.Hosts.empty()) {
    Settings.Hosts.clear();
    for (const std::string &Host : Raw.Hosts)
      Settings.Hosts.emplace_back(Host);
  }
  if (Raw.TimeoutMs < 1 || Raw.TimeoutMs > MaxTimeoutMs)
    return usage("--timeout-ms", "is not between 1 and 600000");
  Settings.Timeout = std::chrono::milliseconds(Raw.TimeoutMs);
  return std::nullopt;
}

template <typename Id> std::optional<Id> optionalId(const std::string &Text) {
  if (Text.empty())
    return std::nullopt;
  return Id(Text);
}

using parsed_command = std::variant<command, usage_error>;

parsed_command parseSet(const std::vector<std::string> &Words) {
  if (Words.size() != 4)
    return usage("config set", "needs a setting and a value");
  std::optional<setting_key> Key = settingFromName(Words[2]);
  if (!Key)
    return usage(Words[2], "is not a setting");
  std::istringstream Stream(Words[3]);
  std::int64_t Value = 0;
  if (!(Stream >> Value) || !Stream.eof())
    return usage(Words[3], "is not a whole number");
  return config_set_command{*Key, Value};
}

parsed_command parseAdd(const raw_options &Raw, wall_time Now) {
  std::optional<setting_key> Key = settingFromName(Raw.Setting);
  if (!Key)
    return usage("--setting", "is not a setting");
  if (!Raw.HasValue)
    return usage("--value", "is missing");
  std::optional<wall_time> ReviewBy = parseWallTime(Raw.ReviewBy);
  if (!ReviewBy)
    return usage("--review-by", "is not a date such as 2027-01-31");
  config_exception Exception;
  Exception.Id = exception_id(Raw.Id);
  Exception.Scope = {optionalId<workspace_id>(Raw.Workspace),
                     optionalId<pipeline_id>(Raw.Pipeline),
                     optionalId<pool_id>(Raw.Pool),
                     optionalId<zone_id>(Raw.Zone)};
  Exception.Key = *Key;
  Exception.Value = Raw.Value;
  Exception.Reason = Raw.Reason;
  Exception.Author = operator_name(Raw.Author);
  Exception.MadeAt = Now;
  Exception.ReviewBy = *ReviewBy;
  return exception_add_command{std::move(Exception)};
}

parsed_command parseConfig(const raw_options &Raw) {
  const std::vector<std::string> &Words = Raw.Words;
  std::string Verb = Words.size() > 1 ? Words[1] : "";
  if (Verb == "get")
    return config_get_command{};
  if (Verb == "set")
    return parseSet(Words);
  if (Verb == "history")
    return config_history_command{Raw.Count};
  bool TakesWord = Verb == "init" || Verb == "edit" || Verb == "diff" ||
                   Verb == "find" || Verb == "check";
  if (!TakesWord)
    return usage("config",
                 "needs init, get, edit, set, diff, history, find or check");
  if (Words.size() != 3)
    return usage("config " + Verb, "needs one file or change id");
  if (Verb == "init")
    return config_init_command{Words[2]};
  if (Verb == "edit")
    return config_edit_command{Words[2]};
  if (Verb == "check")
    return config_check_command{Words[2], Raw.Against};
  if (Verb == "diff")
    return config_diff_command{Words[2]};
  return config_find_command{change_id(Words[2])};
}

parsed_command parseException(const raw_options &Raw, wall_time Now) {
  std::string Verb = Raw.Words.size() > 1 ? Raw.Words[1] : "";
  if (Verb == "add")
    return parseAdd(Raw, Now);
  if (Verb == "list")
    return exception_list_command{};
  if (Verb != "remove")
    return usage("exception", "needs add, list or remove");
  if (Raw.Words.size() != 3)
    return usage("exception remove", "needs the exception's id");
  return exception_remove_command{exception_id(Raw.Words[2])};
}

parsed_command parseCommand(const raw_options &Raw, wall_time Now) {
  if (Raw.Version)
    return version_command{};
  if (Raw.Help || Raw.Words.empty())
    return help_command{};
  const std::string &Noun = Raw.Words[0];
  if (Noun == "config")
    return parseConfig(Raw);
  if (Noun == "exception")
    return parseException(Raw, Now);
  if (Noun == "effective")
    return effective_command{{optionalId<workspace_id>(Raw.Workspace),
                              optionalId<pipeline_id>(Raw.Pipeline),
                              optionalId<pool_id>(Raw.Pool),
                              optionalId<zone_id>(Raw.Zone)}};
  if (Noun == "status")
    return status_command{};
  if (Noun == "explain")
    return explain_command{};
  return usage(Noun, "is not a command");
}

bool changesConfig(const command &Command) {
  return std::holds_alternative<config_init_command>(Command) ||
         std::holds_alternative<config_edit_command>(Command) ||
         std::holds_alternative<config_set_command>(Command) ||
         std::holds_alternative<exception_add_command>(Command) ||
         std::holds_alternative<exception_remove_command>(Command);
}

bool needsPlatform(const command &Command) {
  return !std::holds_alternative<help_command>(Command) &&
         !std::holds_alternative<version_command>(Command) &&
         !std::holds_alternative<config_check_command>(Command) &&
         !std::holds_alternative<status_command>(Command) &&
         !std::holds_alternative<explain_command>(Command);
}

bool needsHosts(const command &Command) {
  return std::holds_alternative<status_command>(Command) ||
         std::holds_alternative<explain_command>(Command);
}

std::optional<usage_error> checkNeeds(const invocation &Call) {
  if (needsPlatform(Call.Command) && Call.Settings.Platform.empty())
    return usage("--platform", "is missing");
  if (needsHosts(Call.Command) && Call.Settings.Hosts.empty())
    return usage("--host", "is missing");
  if (changesConfig(Call.Command) && Call.Author.empty())
    return usage("--author", "is missing");
  if (changesConfig(Call.Command) && Call.Reason.empty())
    return usage("--reason", "is missing");
  return std::nullopt;
}

std::optional<usage_error>
parseOptions(const std::vector<std::string> &Arguments, raw_options &Raw) {
  options::options_description Known = describeOptions(Raw);
  options::options_description All;
  All.add(Known).add_options()("word", options::value(&Raw.Words));
  options::positional_options_description Positional;
  Positional.add("word", -1);
  try {
    options::variables_map Values;
    options::store(options::command_line_parser(Arguments)
                       .options(All)
                       .positional(Positional)
                       .run(),
                   Values);
    options::notify(Values);
    Raw.HasValue = Values.count("value") != 0;
  } catch (const options::error &Error) {
    return usage("command line", Error.what());
  }
  return std::nullopt;
}

} // namespace

std::variant<invocation, usage_error>
parseCommandLine(const std::vector<std::string> &Arguments, wall_time Now) {
  raw_options Raw;
  if (std::optional<usage_error> Error = parseOptions(Arguments, Raw))
    return *Error;
  if (Raw.Output != "text" && Raw.Output != "json")
    return usage("--output", "is neither text nor json");
  parsed_command Parsed = parseCommand(Raw, Now);
  if (const usage_error *Error = std::get_if<usage_error>(&Parsed))
    return *Error;
  invocation Call;
  Call.Command = std::get<command>(std::move(Parsed));
  Call.Output =
      Raw.Json || Raw.Output == "json" ? output_form::Json : output_form::Text;
  Call.Author = operator_name(Raw.Author);
  Call.Reason = Raw.Reason;
  if (std::optional<usage_error> Error = fillSettings(Raw, Call.Settings))
    return *Error;
  if (std::optional<usage_error> Error = checkNeeds(Call))
    return *Error;
  return Call;
}

std::string helpText() {
  raw_options Raw;
  std::ostringstream Text;
  Text << "jasminecroftctl: reads and changes what a fleet has in force\n\n"
          "  config init FILE         write the first configuration\n"
          "  config get               print the configuration for editing\n"
          "  config edit FILE         put an edited configuration in force\n"
          "  config set NAME VALUE    change a fleet-wide default\n"
          "  config diff FILE         compare a file with what is in force\n"
          "  config check FILE        check a configuration of the platform's "
          "operator\n"
          "  config history           changes, newest first\n"
          "  config find ID           tell whether a change was accepted\n"
          "  exception add            --id --setting --value --review-by and a "
          "scope\n"
          "  exception list\n"
          "  exception remove ID\n"
          "  effective                every value in force, with its origin\n"
          "  status                   version in force at every entry host\n"
          "  explain                  what entry hosts did lately, and why\n\n"
       << describeOptions(Raw);
  return Text.str();
}

} // namespace jasminecroft::ctl
