// Commands that read the entry hosts themselves.
#pragma once

#include "jasminecroft/ctl/commands.h"

namespace jasminecroft::ctl {

/// Which configuration each host has in force, and what it knows of others.
exit_code printStatus(const invocation &Call, command_environment &Environment);
/// What each host decided lately, newest first, with the reasons.
exit_code printDecisions(const invocation &Call,
                         command_environment &Environment);

} // namespace jasminecroft::ctl
