// The root of the process: makes the parts, joins them with the core, restarts
// those that fail and takes the process through its graceful shutdown.
#pragma once

#include "jasminecroft/entry/exit_code.h"
#include "jasminecroft/entry/settings.h"

#include <variant>

namespace jasminecroft {

/// Runs one entry host until it is told to stop. The settings error names the
/// address that could not be listened on.
std::variant<exit_code, settings_error>
runEntryHost(const daemon_settings &Settings);

} // namespace jasminecroft
