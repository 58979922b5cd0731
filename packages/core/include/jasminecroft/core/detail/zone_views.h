// Summaries of the zones: pools' capacity and entry hosts, made by each zone's
// delegates. A restart loses them; they come back within seconds.
#pragma once

#include "jasminecroft/core/detail/membership.h"

#include <map>

namespace jasminecroft::detail {

/// Sums the pools of the own zone.
class pool_summary_source {
public:
  virtual ~pool_summary_source() = default;
  /// One summary for each pool with backend servers in the own zone.
  virtual std::vector<pool_summary> ownZoneSummaries() const = 0;
};

class zone_views final : public gossip_participant {
public:
  zone_views(core_context &Context, const membership &Members,
             const pool_summary_source &Source)
      : Context(Context), Members(Members), Source(Source) {}

  /// Latest summaries of a pool in other zones that are not too old.
  std::vector<pool_summary> otherZones(const pool_id &Pool) const;
  /// What is known of each zone, the own one included.
  std::vector<zone_report> reports() const;
  /// Lowest version in force at the live hosts of the own zone.
  zone_report ownReport() const;

  void appendGossip(gossip_payload &Payload,
                    const gossip_recipient &To) override;
  void onGossip(const gossip_payload &Payload, const host_run &Sender,
                const zone_id &SenderZone) override;
  bool hasUrgentUpdates() const override { return false; }
  void onRumorsSent() override {}

private:
  struct summary_key {
    pool_id Pool;
    zone_id Zone;
    std::strong_ordering operator<=>(const summary_key &) const = default;
  };
  template <typename Told> struct held {
    Told Value;
    core_time At{};
    std::uint32_t Sent = 0;
    bool SameRegion = false;
  };

  void addOwn(gossip_payload &Payload);
  void relay(gossip_payload &Payload);
  template <typename Key, typename Told>
  void accept(std::map<Key, held<Told>> &Map, const Key &Where,
              const Told &Value);
  template <typename Key, typename Told>
  void relayFrom(std::map<Key, held<Told>> &Map, std::vector<Told> &Out,
                 std::size_t Count);

  core_context &Context;
  const membership &Members;
  const pool_summary_source &Source;
  std::map<summary_key, held<pool_summary>> Summaries;
  std::map<zone_id, held<zone_report>> Reports;
  std::uint64_t LastSequence = 0;
  std::size_t Rotation = 0;
};

} // namespace jasminecroft::detail
