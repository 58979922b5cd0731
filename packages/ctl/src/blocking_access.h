// Blocking access to the platform and to entry hosts, over the network.
#pragma once

#include "jasminecroft/ctl/commands.h"

#include <memory>

namespace jasminecroft::ctl {

/// Both accesses of one invocation.
class network_access {
public:
  virtual ~network_access() = default;
  virtual object_access &platform() = 0;
  virtual status_access &hosts() = 0;
};

std::unique_ptr<network_access> makeNetworkAccess(const ctl_settings &Settings);

} // namespace jasminecroft::ctl
