// The command line of jasminecroftctl, parsed and checked.
#pragma once

#include "jasminecroft/core/config.h"
#include "jasminecroft/ctl/exit_code.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jasminecroft::ctl {

/// Where the platform and the entry hosts are; from the settings file, or from
/// options, which go before it.
struct ctl_settings {
  endpoint Platform;
  /// Callers' addresses of entry hosts, for status and explain.
  std::vector<endpoint> Hosts;
  std::chrono::milliseconds Timeout{10'000};
};

enum class output_form { Text, Json };

struct help_command {};
struct version_command {};
struct config_init_command {
  std::string File;
};
struct config_get_command {};
struct config_edit_command {
  std::string File;
};
struct config_set_command {
  setting_key Key = setting_key::DeadlineMs;
  std::int64_t Value = 0;
};
struct config_diff_command {
  std::string File;
};
/// Checks a configuration of the platform's operator.
struct config_check_command {
  std::string File;
  /// The version to compare with; empty: none.
  std::string Against;
};
struct config_history_command {
  std::size_t Count = 20;
};
/// Looks a change up whose outcome was unknown.
struct config_find_command {
  change_id Id;
};
struct exception_add_command {
  config_exception Exception;
};
struct exception_list_command {};
struct exception_remove_command {
  exception_id Id;
};
struct effective_command {
  setting_context Context;
};
struct status_command {};
struct explain_command {};

using command = std::variant<
    help_command, version_command, config_init_command, config_get_command,
    config_edit_command, config_set_command, config_diff_command,
    config_history_command, config_find_command, exception_add_command,
    exception_list_command, exception_remove_command, effective_command,
    status_command, explain_command, config_check_command>;

struct invocation {
  ctl_settings Settings;
  output_form Output = output_form::Text;
  operator_name Author;
  std::string Reason;
  command Command;
};

/// Why an invocation cannot be carried out.
struct usage_error {
  exit_code Code = exit_code::Usage;
  /// The option, file or member that is wrong.
  std::string Where;
  std::string Message;
};

/// Arguments without the program's name; Now stamps new exceptions.
std::variant<invocation, usage_error>
parseCommandLine(const std::vector<std::string> &Arguments, wall_time Now);

/// Text of --help.
std::string helpText();

} // namespace jasminecroft::ctl
