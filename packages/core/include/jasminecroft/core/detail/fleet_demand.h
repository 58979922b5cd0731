// Demand of the workspaces on the other entry hosts: told directly by the
// hosts of the own zone, by delegates' sums for other zones. A restart loses
// the view; it comes back with the next probes.
#pragma once

#include "jasminecroft/core/detail/membership.h"

#include <map>

namespace jasminecroft::detail {

/// Tells the calls in progress of each workspace on this host.
class demand_source {
public:
  virtual ~demand_source() = default;
  virtual std::map<workspace_id, std::uint32_t> demand() const = 0;
};

class fleet_demand final : public gossip_participant {
public:
  fleet_demand(core_context &Context, const membership &Members)
      : Context(Context), Members(Members) {}

  void setSource(const demand_source &NewSource) { Source = &NewSource; }
  /// Calls in progress on all other hosts, as far as known. Hosts of the own
  /// zone that have not spoken lately count as the average of those that have.
  std::uint32_t elsewhere(const workspace_id &Workspace) const;

  void appendGossip(gossip_payload &Payload,
                    const gossip_recipient &To) override;
  void onGossip(const gossip_payload &Payload, const host_run &Sender,
                const zone_id &SenderZone) override;
  bool hasUrgentUpdates() const override { return false; }
  void onRumorsSent() override {}

private:
  struct peer_demand {
    core_time At{};
    std::map<workspace_id, std::uint32_t> InFlight;
  };
  struct zone_key {
    zone_id Zone;
    workspace_id Workspace;
    std::strong_ordering operator<=>(const zone_key &) const = default;
  };
  struct zone_total {
    std::uint32_t InFlight = 0;
    std::uint64_t Sequence = 0;
    core_time At{};
    std::uint32_t Sent = 0;
  };

  void refresh() const;
  void addOwn(gossip_payload &Payload);
  void addZoneTotals(gossip_payload &Payload, const gossip_recipient &To);
  core_duration freshness() const;

  core_context &Context;
  const membership &Members;
  const demand_source *Source = nullptr;
  std::map<entry_host_id, peer_demand> Peers;
  std::map<zone_key, zone_total> Zones;
  std::size_t Rotation = 0;
  /// Sums over Peers (own zone) and over Zones, as of RefreshedAt.
  mutable std::map<workspace_id, std::uint32_t> InZone;
  mutable std::map<workspace_id, std::uint32_t> Outside;
  mutable std::optional<core_time> RefreshedAt;
};

} // namespace jasminecroft::detail
