// Carries out a command of jasminecroftctl.
#pragma once

#include "jasminecroft/ctl/command_line.h"
#include "jasminecroft/ctl/config_writer.h"

#include <iosfwd>

namespace jasminecroft::ctl {

/// Reads a status page of an entry host.
class status_access {
public:
  virtual ~status_access() = default;
  /// JSON of "/status/Topic"; absent if the host cannot be reached.
  virtual std::optional<std::string> read(const endpoint &Host,
                                          const std::string &Topic) = 0;
};

/// What a command works with.
struct command_environment {
  object_access &Platform;
  status_access &Hosts;
  std::ostream &Out;
  std::ostream &Errors;
  wall_time Now;
  /// Id for a change made by this invocation.
  change_id NewChange;
};

exit_code runCommand(const invocation &Call, command_environment &Environment);

} // namespace jasminecroft::ctl
