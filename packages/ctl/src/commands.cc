// Carries out the commands that read or change the configuration.
#include "jasminecroft/ctl/commands.h"

#include "check_command.h"
#include "jasminecroft/wire/json_codec.h"
#include "render.h"
#include "status_commands.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <ostream>
#include <sstream>

namespace jasminecroft::ctl {

namespace {

namespace json = boost::json;

exit_code exitCodeOf(codec_problem Problem) {
  switch (Problem) {
  case codec_problem::Malformed:
    return exit_code::SettingsMalformed;
  case codec_problem::UnknownMember:
    return exit_code::UnknownKey;
  case codec_problem::WrongType:
    return exit_code::WrongType;
  default:
    return exit_code::InvalidValue;
  }
}

class command_runner {
public:
  command_runner(const invocation &Call, command_environment &Environment)
      : Call(Call), Environment(Environment), Writer(Environment.Platform) {}

  exit_code operator()(const help_command &) {
    Environment.Out << helpText();
    return exit_code::Ok;
  }
  exit_code operator()(const version_command &) {
    Environment.Out << "jasminecroftctl " << JASMINECROFT_VERSION << '\n';
    return exit_code::Ok;
  }
  exit_code operator()(const config_init_command &Command);
  exit_code operator()(const config_get_command &);
  exit_code operator()(const config_edit_command &Command);
  exit_code operator()(const config_set_command &Command);
  exit_code operator()(const config_diff_command &Command);
  exit_code operator()(const config_check_command &Command) {
    return checkConfigFile(Command, asJson(), Environment);
  }
  exit_code operator()(const config_history_command &Command);
  exit_code operator()(const config_find_command &Command);
  exit_code operator()(const exception_add_command &Command);
  exit_code operator()(const exception_list_command &);
  exit_code operator()(const exception_remove_command &Command);
  exit_code operator()(const effective_command &Command);
  exit_code operator()(const status_command &) {
    return printStatus(Call, Environment);
  }
  exit_code operator()(const explain_command &) {
    return printDecisions(Call, Environment);
  }

private:
  bool asJson() const { return Call.Output == output_form::Json; }
  exit_code fail(exit_code Code, const std::string &Message);
  /// The configuration in force, or the reason why not, already printed.
  std::variant<read_config, exit_code> current();
  std::variant<fleet_config, exit_code> fromFile(const std::string &File);
  exit_code make(const read_config &Base,
                 std::vector<config_difference> Differences);
  change_request request(std::vector<config_difference> Differences) const;
  exit_code report(const write_result &Result);
  void printChanges(const std::vector<change_record> &Changes);

  const invocation &Call;
  command_environment &Environment;
  config_writer Writer;
};

exit_code command_runner::fail(exit_code Code, const std::string &Message) {
  Environment.Errors << "jasminecroftctl: " << Message << '\n';
  return Code;
}

std::variant<read_config, exit_code> command_runner::current() {
  read_result Result = Writer.read();
  if (read_config *Read = std::get_if<read_config>(&Result))
    return std::move(*Read);
  if (std::holds_alternative<no_config>(Result))
    return fail(exit_code::Refused,
                "the platform holds no configuration; see config init");
  if (std::holds_alternative<unreadable_config>(Result))
    return fail(exit_code::Refused,
                "the configuration cannot be read by this version");
  return fail(exit_code::CannotBeReached, "the platform does not answer");
}

std::variant<fleet_config, exit_code>
command_runner::fromFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return fail(exit_code::SettingsMissing, File + ": cannot be opened");
  std::stringstream Text;
  Text << Stream.rdbuf();
  codec_result<fleet_config> Decoded = decodeConfig(Text.str());
  if (fleet_config *Config = std::get_if<fleet_config>(&Decoded))
    return std::move(*Config);
  const codec_error &Error = std::get<codec_error>(Decoded);
  return fail(exitCodeOf(Error.Problem),
              File + ": " + Error.Where + ": " +
                  std::string(toText(Error.Problem)));
}

change_request
command_runner::request(std::vector<config_difference> Differences) const {
  change_request Request;
  Request.Id = Environment.NewChange;
  Request.Author = Call.Author;
  Request.Reason = Call.Reason;
  Request.MadeAt = Environment.Now;
  Request.Differences = std::move(Differences);
  return Request;
}

exit_code command_runner::make(const read_config &Base,
                               std::vector<config_difference> Differences) {
  return report(Writer.write(Base, request(std::move(Differences))));
}

exit_code command_runner::report(const write_result &Result) {
  if (const change_accepted *Accepted = std::get_if<change_accepted>(&Result)) {
    if (asJson())
      Environment.Out << encodeChange(Accepted->Record) << '\n';
    else
      Environment.Out << "accepted: " << describeChange(Accepted->Record);
    return exit_code::Ok;
  }
  if (const change_conflict *Conflict = std::get_if<change_conflict>(&Result)) {
    fail(exit_code::Conflict,
         "conflict: others changed the configuration since version " +
             std::to_string(Conflict->Base.Value));
    for (const change_record &Change : Conflict->Others)
      Environment.Errors << describeChange(Change);
    return exit_code::Conflict;
  }
  if (const change_refused *Refused = std::get_if<change_refused>(&Result))
    return fail(exit_code::Refused,
                "refused: " + Refused->Error.Where + ": " +
                    std::string(toText(Refused->Error.Problem)));
  if (const change_unknown *Unknown = std::get_if<change_unknown>(&Result))
    return fail(exit_code::OutcomeUnknown,
                "unknown: the platform gave no answer; ask later with config "
                "find " +
                    Unknown->Id.Value);
  if (std::holds_alternative<platform_unreachable>(Result))
    return fail(exit_code::CannotBeReached,
                "the platform does not answer; nothing was changed");
  return fail(exit_code::Refused,
              "the configuration cannot be read by this version");
}

exit_code command_runner::operator()(const config_init_command &Command) {
  std::variant<fleet_config, exit_code> File = fromFile(Command.File);
  if (const exit_code *Code = std::get_if<exit_code>(&File))
    return *Code;
  return report(
      Writer.create(std::get<fleet_config>(std::move(File)), request({})));
}

exit_code command_runner::operator()(const config_get_command &) {
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  const fleet_config &Config = std::get<read_config>(Base).Config;
  Environment.Out << (asJson() ? encodeStored(Config) + "\n"
                               : encodeConfigForEditing(Config));
  return exit_code::Ok;
}

exit_code command_runner::operator()(const config_edit_command &Command) {
  std::variant<fleet_config, exit_code> File = fromFile(Command.File);
  if (const exit_code *Code = std::get_if<exit_code>(&File))
    return *Code;
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  const fleet_config &Edited = std::get<fleet_config>(File);
  const read_config &Current = std::get<read_config>(Base);
  if (Edited.Version != Current.Config.Version) {
    return report(change_conflict{
        Edited.Version, changesSince(Current.Config, Edited.Version)});
  }
  return make(Current, difference(Current.Config, Edited));
}

exit_code command_runner::operator()(const config_set_command &Command) {
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  const read_config &Current = std::get<read_config>(Base);
  // The default itself, whatever exceptions say.
  std::int64_t Before = describe(Command.Key).Default;
  auto Found = Current.Config.Defaults.find(Command.Key);
  if (Found != Current.Config.Defaults.end())
    Before = Found->second;
  return make(Current, {default_set{Command.Key, Before, Command.Value}});
}

exit_code command_runner::operator()(const config_diff_command &Command) {
  std::variant<fleet_config, exit_code> File = fromFile(Command.File);
  if (const exit_code *Code = std::get_if<exit_code>(&File))
    return *Code;
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  std::vector<config_difference> Differences = difference(
      std::get<read_config>(Base).Config, std::get<fleet_config>(File));
  json::array Lines;
  for (const config_difference &Difference : Differences) {
    std::string Line = describeDifference(Difference);
    if (!asJson())
      Environment.Out << Line << '\n';
    Lines.push_back(json::string(Line));
  }
  if (asJson())
    Environment.Out << json::serialize(json::object{{"differences", Lines}})
                    << '\n';
  else if (Differences.empty())
    Environment.Out << "no differences\n";
  return exit_code::Ok;
}

void command_runner::printChanges(const std::vector<change_record> &Changes) {
  if (!asJson()) {
    for (const change_record &Change : Changes)
      Environment.Out << describeChange(Change);
    return;
  }
  json::array Array;
  for (const change_record &Change : Changes)
    Array.push_back(json::parse(encodeChange(Change)));
  Environment.Out << json::serialize(json::object{{"changes", Array}}) << '\n';
}

exit_code command_runner::operator()(const config_history_command &Command) {
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  printChanges(
      Writer.history(std::get<read_config>(Base).Config, Command.Count));
  return exit_code::Ok;
}

exit_code command_runner::operator()(const config_find_command &Command) {
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  std::optional<change_record> Found = Writer.find(
      std::get<read_config>(Base).Config, Command.Id, config_version(1));
  if (!Found)
    return fail(exit_code::Refused,
                "change " + Command.Id.Value +
                    " is not in the configuration; it was not accepted up to "
                    "now");
  printChanges({*Found});
  return exit_code::Ok;
}

exit_code command_runner::operator()(const exception_add_command &Command) {
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  return make(std::get<read_config>(Base),
              {exception_added{Command.Exception}});
}

exit_code command_runner::operator()(const exception_list_command &) {
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  json::array Array;
  for (const config_exception &Exception :
       std::get<read_config>(Base).Config.Exceptions) {
    if (!asJson())
      Environment.Out << describeException(Exception, Environment.Now);
    Array.push_back(exceptionToJson(Exception));
  }
  if (asJson())
    Environment.Out << json::serialize(json::object{{"exceptions", Array}})
                    << '\n';
  return exit_code::Ok;
}

exit_code command_runner::operator()(const exception_remove_command &Command) {
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  config_exception Removed;
  Removed.Id = Command.Id;
  return make(std::get<read_config>(Base), {exception_removed{Removed}});
}

exit_code command_runner::operator()(const effective_command &Command) {
  std::variant<read_config, exit_code> Base = current();
  if (const exit_code *Code = std::get_if<exit_code>(&Base))
    return *Code;
  const fleet_config &Config = std::get<read_config>(Base).Config;
  text_table Table({"setting", "value", "unit", "since", "origin"});
  json::array Array;
  for (const setting_description &Description : settingDescriptions()) {
    effective_setting Setting =
        effectiveSetting(Config, Description.Key, Command.Context);
    std::string Origin = "default";
    if (Setting.Exception)
      Origin = "exception " + Setting.Exception->Id.Value + ": " +
               Setting.Exception->Reason;
    Table.add({std::string(Description.Name), std::to_string(Setting.Value),
               std::string(Description.Unit),
               std::to_string(Setting.Since.Value), Origin});
    Array.push_back(effectiveToJson(Setting));
  }
  if (asJson())
    Environment.Out << json::serialize(
                           json::object{{"version", Config.Version.Value},
                                        {"settings", Array}})
                    << '\n';
  else
    Environment.Out << "version " << Config.Version.Value << '\n'
                    << Table.text();
  return exit_code::Ok;
}

} // namespace

exit_code runCommand(const invocation &Call, command_environment &Environment) {
  command_runner Runner(Call, Environment);
  return std::visit(Runner, Call.Command);
}

} // namespace jasminecroft::ctl
