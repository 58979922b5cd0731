// The text of one action of a session.
#pragma once

#include "jasminecroft/core/actions.h"

#include <string>

namespace jasminecroft::testing {

/// Empty for actions that sessions don't show.
std::string printAction(const action &Action);

} // namespace jasminecroft::testing
