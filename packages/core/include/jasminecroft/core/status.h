// Status documents that operators read from an entry host.
#pragma once

#include "jasminecroft/core/config.h"
#include "jasminecroft/core/event_log.h"
#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jasminecroft {

struct status_counter {
  std::string_view Name;
  std::uint64_t Value = 0;
};

/// Slot time that this host spent on a workspace's calls of one stage. An empty
/// Workspace aggregates the workspaces beyond the limit of separate entries.
struct workspace_cost {
  workspace_id Workspace;
  stage_id Stage;
  std::uint64_t Attempts = 0;
  core_duration Done{0};
  core_duration Lost{0};
  core_duration Hedged{0};
  core_duration GivenUp{0};
};

struct summary_status {
  host_run Self;
  zone_id Zone;
  config_version Config;
  bool PlatformAway = false;
  std::uint64_t InFlight = 0;
  std::uint64_t PendingOutcomeWrites = 0;
  std::vector<status_counter> Counters;
  std::vector<workspace_cost> Costs;
  /// Number of platform calls by purpose.
  std::vector<status_counter> PlatformCalls;
  /// Number of peer messages rejected by this host.
  std::uint64_t PeerMessagesRefused = 0;
};
struct members_status {
  /// This host first. Config is the last known version in force at the member.
  std::vector<member_update> Members;
  /// Report of each zone, the own zone first: live hosts, the lowest version in
  /// force, and the host that lags.
  std::vector<zone_report> Zones;
};
struct backend_status {
  backend_id Backend;
  incarnation Run;
  zone_id Zone;
  pool_id Pool;
  bool Leaving = false;
  std::uint32_t Slots = 0;
  std::uint32_t OwnInFlight = 0;
  std::uint32_t ReportedInFlight = 0;
  core_duration ReportAge{0};
  /// Ratio of observed to expected service time; 1 is normal.
  double Slowness = 1;
};
struct backends_status {
  std::vector<backend_status> Backends;
};
struct config_status {
  fleet_config Config;
};
/// A recent autonomous decision of this host, with its reason.
struct decision_entry {
  /// Time since the decision.
  core_duration Age{0};
  event_record Record;
};
struct decisions_status {
  std::vector<decision_entry> Decisions;
};

using status_document =
    std::variant<summary_status, members_status, backends_status, config_status,
                 decisions_status>;

} // namespace jasminecroft
