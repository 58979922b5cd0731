// Summaries of the zones, which their delegates publish: capacity of the pools
// and state of the entry hosts. They are in memory only; after a restart they
// are received again within seconds.
#pragma once

#include "jasminecroft/core/detail/membership.h"

#include <map>

namespace jasminecroft::detail {

/// Provides the summaries of the own zone's pools.
class pool_summary_source {
public:
  virtual ~pool_summary_source() = default;
  /// Returns one summary for each pool with backend servers in the own zone.
  virtual std::vector<pool_summary> ownZoneSummaries() const = 0;
};

/// Caches the summaries of other zones and relays them within the own zone.
class zone_views final : public gossip_participant {
public:
  zone_views(core_context &Context, const membership &Members,
             const pool_summary_source &Source)
      : Context(Context), Members(Members), Source(Source) {}

  /// Returns the latest summaries of a pool in other zones that have not
  /// expired.
  std::vector<pool_summary> otherZones(const pool_id &Pool) const;
  /// Returns the latest report of each zone, the own one first.
  std::vector<zone_report> reports() const;
  /// Returns the report of the own zone, without a sequence number.
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
  template <typename ValueType> struct cached_value {
    ValueType Value;
    core_time ReceivedAt{};
    std::uint32_t RelayCount = 0;
    bool SameRegion = false;
  };

  void addOwnZone(gossip_payload &Payload);
  void addRelayed(gossip_payload &Payload);
  template <typename Key, typename ValueType>
  void storeIfNewer(std::map<Key, cached_value<ValueType>> &Map,
                    const Key &MapKey, const ValueType &Value);
  template <typename Key, typename ValueType>
  void addRelayedFrom(std::map<Key, cached_value<ValueType>> &Map,
                      std::vector<ValueType> &Out, std::size_t Count);

  core_context &Context;
  const membership &Members;
  const pool_summary_source &Source;
  std::map<summary_key, cached_value<pool_summary>> Summaries;
  std::map<zone_id, cached_value<zone_report>> Reports;
  std::uint64_t LastSequence = 0;
  std::size_t Rotation = 0;
};

} // namespace jasminecroft::detail
