// The daemon's command line: reads the settings and runs one entry host.
#include "jasminecroft/entry/entry_supervisor.h"
#include "jasminecroft/entry/event_logger.h"
#include "jasminecroft/entry/exit_code.h"
#include "jasminecroft/entry/serving_settings.h"
#include "jasminecroft/entry/settings.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace options = boost::program_options;
using namespace jasminecroft;

namespace {

constexpr std::string_view Version = "0.1.0";

options::options_description makeOptions() {
  options::options_description Description("jasminecroftd");
  Description.add_options()("settings", options::value<std::string>(),
                            "settings file, JSON with comments");
  Description.add_options()(
      "serve", options::value<std::string>(),
      "serve the platform's routes; settings file filled in by the platform");
  Description.add_options()("check-settings",
                            "check the settings file and exit");
  Description.add_options()("print-settings",
                            "print the settings in force and exit");
  Description.add_options()("version", "print the version and exit");
  Description.add_options()("help", "print this text and exit");
  return Description;
}

int toInt(exit_code Code) { return static_cast<int>(Code); }

int refuseSettings(const settings_error &Error, const std::string &File) {
  event_record Record{event_number::SettingsRefused,
                      event_severity::Error,
                      "settings refused",
                      {{"problem", std::string(toText(Error.Problem))},
                       {"key", Error.Key},
                       {"at", describe(Error, File)}}};
  std::cerr << "jasminecroftd: " << formatEvent(Record) << '\n';
  return toInt(exitCodeOf(Error.Problem));
}

int usage(std::string_view Problem) {
  std::cerr << "jasminecroftd: usage: " << Problem << '\n' << makeOptions();
  return toInt(exit_code::Usage);
}

int serve(const std::string &File, bool CheckOnly) {
  serving_settings_result Read = readServingSettings(File);
  if (settings_error *Error = std::get_if<settings_error>(&Read))
    return refuseSettings(*Error, File);
  if (CheckOnly)
    return toInt(exit_code::Ok);
  std::variant<exit_code, settings_error> Result =
      runServingHost(std::get<serving_host_settings>(Read), File);
  if (settings_error *Error = std::get_if<settings_error>(&Result))
    return refuseSettings(*Error, File);
  return toInt(std::get<exit_code>(Result));
}

int runWith(const options::variables_map &Arguments) {
  if (Arguments.contains("help")) {
    std::cout << makeOptions();
    return toInt(exit_code::Ok);
  }
  if (Arguments.contains("version")) {
    std::cout << "jasminecroftd " << Version << '\n';
    return toInt(exit_code::Ok);
  }
  if (Arguments.contains("serve"))
    return serve(Arguments["serve"].as<std::string>(),
                 Arguments.contains("check-settings"));
  if (!Arguments.contains("settings"))
    return usage("--settings FILE or --serve FILE is required");
  const std::string &File = Arguments["settings"].as<std::string>();
  settings_result Read = readSettings(File);
  if (settings_error *Error = std::get_if<settings_error>(&Read))
    return refuseSettings(*Error, File);
  const daemon_settings &Settings = std::get<daemon_settings>(Read);
  if (Arguments.contains("print-settings"))
    std::cout << printSettings(Settings) << '\n';
  if (Arguments.contains("print-settings") ||
      Arguments.contains("check-settings"))
    return toInt(exit_code::Ok);
  std::variant<exit_code, settings_error> Result = runEntryHost(Settings);
  if (settings_error *Error = std::get_if<settings_error>(&Result))
    return refuseSettings(*Error, File);
  return toInt(std::get<exit_code>(Result));
}

} // namespace

int main(int Count, char **Texts) {
  // A reader of the log that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Texts[0]);
  options::variables_map Arguments;
  try {
    options::store(options::parse_command_line(Count, Texts, makeOptions()),
                   Arguments);
    options::notify(Arguments);
  } catch (const options::error &Error) {
    return usage(Error.what());
  }
  try {
    return runWith(Arguments);
  } catch (const std::exception &Error) {
    LOG(ERROR) << "internal error: " << Error.what();
    return toInt(exit_code::Internal);
  }
}
