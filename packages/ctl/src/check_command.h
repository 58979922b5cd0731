// The command that checks a configuration of the platform's operator.
#pragma once

#include "jasminecroft/ctl/commands.h"

namespace jasminecroft::ctl {

exit_code checkConfigFile(const config_check_command &Command, bool AsJson,
                          command_environment &Environment);

} // namespace jasminecroft::ctl
