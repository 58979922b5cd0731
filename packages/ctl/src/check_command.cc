// Reads the files, checks and compares them, and prints what was found.
#include "check_command.h"

#include "platform/store/store_objects.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <ostream>
#include <sstream>
#include <string_view>

namespace jasminecroft::ctl {

namespace {

namespace json = boost::json;

using read_file = std::variant<declared_config, exit_code>;

exit_code exitCodeOf(platform::object_problem Problem) {
  switch (Problem) {
  case platform::object_problem::NotJson:
    return exit_code::SettingsMalformed;
  case platform::object_problem::WrongType:
    return exit_code::WrongType;
  default:
    return exit_code::InvalidValue;
  }
}

read_file readFile(const std::string &File, std::ostream &Errors) {
  std::ifstream Stream(File);
  if (!Stream) {
    Errors << "jasminecroftctl: " << File << ": cannot be opened\n";
    return exit_code::SettingsMissing;
  }
  std::stringstream Text;
  Text << Stream.rdbuf();
  std::variant<declared_config, platform::object_error> Decoded =
      platform::decodeDeclaredConfig(Text.str());
  if (declared_config *Config = std::get_if<declared_config>(&Decoded))
    return std::move(*Config);
  const platform::object_error &Error =
      std::get<platform::object_error>(Decoded);
  Errors << "jasminecroftctl: " << File << ": "
         << (Error.Where.empty() ? "" : Error.Where + ": ")
         << platform::toText(Error.Problem) << '\n';
  return exitCodeOf(Error.Problem);
}

exit_code exitCodeOf(const std::vector<config_finding> &Findings) {
  if (Findings.empty())
    return exit_code::Ok;
  bool Only = std::all_of(
      Findings.begin(), Findings.end(), [](const config_finding &Finding) {
        return classOf(Finding.Kind) == finding_class::NeverMatches;
      });
  return Only ? exit_code::NeverMatches : exit_code::CheckFailed;
}

json::string toJson(std::string_view Text) {
  return json::string(json::string_view(Text.data(), Text.size()));
}

json::value orNull(const std::optional<std::string> &Text) {
  return Text ? json::value(toJson(*Text)) : json::value(nullptr);
}

json::array toJson(const std::vector<config_finding> &Findings) {
  json::array Array;
  for (const config_finding &Finding : Findings)
    Array.push_back(
        json::object{{"class", toJson(toText(classOf(Finding.Kind)))},
                     {"kind", toJson(toText(Finding.Kind))},
                     {"where", toJson(Finding.Where)},
                     {"detail", toJson(Finding.Detail)}});
  return Array;
}

json::array toJson(const std::vector<config_change> &Changes) {
  json::array Array;
  for (const config_change &Change : Changes)
    Array.push_back(json::object{{"where", toJson(Change.Where)},
                                 {"before", orNull(Change.Before)},
                                 {"after", orNull(Change.After)}});
  return Array;
}

void print(const std::vector<config_finding> &Findings, std::ostream &Out) {
  for (const config_finding &Finding : Findings)
    Out << toText(classOf(Finding.Kind)) << ": " << Finding.Where << ": "
        << toText(Finding.Kind) << (Finding.Detail.empty() ? "" : ": ")
        << Finding.Detail << '\n';
  if (Findings.empty())
    Out << "no findings\n";
}

void print(const std::vector<config_change> &Changes, std::ostream &Out) {
  for (const config_change &Change : Changes)
    Out << "difference: " << Change.Where << ": "
        << Change.Before.value_or("absent") << " -> "
        << Change.After.value_or("absent") << '\n';
  if (Changes.empty())
    Out << "no differences\n";
}

} // namespace

exit_code checkConfigFile(const config_check_command &Command, bool AsJson,
                          command_environment &Environment) {
  read_file File = readFile(Command.File, Environment.Errors);
  if (const exit_code *Code = std::get_if<exit_code>(&File))
    return *Code;
  const declared_config &Config = std::get<declared_config>(File);
  std::optional<declared_config> Earlier;
  if (!Command.Against.empty()) {
    read_file Against = readFile(Command.Against, Environment.Errors);
    if (const exit_code *Code = std::get_if<exit_code>(&Against))
      return *Code;
    Earlier = std::get<declared_config>(std::move(Against));
  }
  std::vector<config_finding> Findings = checkConfig(Config);
  std::vector<config_change> Changes;
  if (Earlier)
    Changes = compareConfigs(*Earlier, Config);
  if (AsJson) {
    json::object Result{{"version", Config.Config.Version.Value},
                        {"findings", toJson(Findings)}};
    if (Earlier) {
      Result["against"] = Earlier->Config.Version.Value;
      Result["differences"] = toJson(Changes);
    }
    Environment.Out << json::serialize(Result) << '\n';
    return exitCodeOf(Findings);
  }
  print(Findings, Environment.Out);
  if (Earlier)
    print(Changes, Environment.Out);
  return exitCodeOf(Findings);
}

} // namespace jasminecroft::ctl
