// Zones that the operator empties: nothing more is sent to their backend
// servers until they are taken back.
#pragma once

#include "jasminecroft/core/serving/call_admission.h"
#include "jasminecroft/core/stored_objects.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace jasminecroft {

/// The latest order for each zone, from the store or from peers, in any order
/// of arrival. Turns down calls of every purpose to servers of emptied zones.
class emptied_zones final : public admission_source {
public:
  /// Takes an order from the store. Returns whether it changes what is emptied.
  bool apply(const zone_order &Order);
  /// The same for an order that a peer knows, which may be out of date.
  bool applyTold(const zone_order &Order);
  /// Takes the whole list of emptied zones as of a revision: the others were
  /// taken back. Returns the orders that change what is emptied.
  /// Orders of an earlier era that are missing from it stay in force until
  /// settleCopied(): the operator writes again what a copy lacks.
  std::vector<zone_order> replaceAll(const std::vector<zone_order> &Listed,
                                     object_version Revision, core_time Now);
  /// Takes zones back whose orders a copy lacked a while ago. Returns the
  /// orders that change what is emptied.
  std::vector<zone_order> settleCopied(core_time Now);
  std::optional<core_time> nextSettling() const { return SettleAt; }
  /// All orders up to Revision are known.
  void onRead(object_version Revision);

  bool isEmptied(const zone_id &Zone) const;
  /// Returns whether a later order for the zone is known.
  bool isOutdated(const zone_order &Order) const;
  /// Returns the latest order for each zone.
  std::vector<zone_order> orders() const;
  /// Returns whether any order has ever been given.
  bool empty() const { return Orders.empty(); }
  std::size_t count() const { return Emptied; }
  /// Returns the zones whose order was in force and is no longer known, as
  /// there are too many, since the last time.
  std::vector<zone_order> takeForgotten() {
    return std::exchange(Forgotten, {});
  }
  object_version readTo() const { return ReadTo; }

  /// Time after the first list of a later era for which orders that it lacks
  /// stay in force.
  static constexpr core_duration RewriteTime = std::chrono::seconds(2);

  // admission_source
  bool active(core_time) const override { return Emptied != 0; }
  admission_answer check(const backend_state &Server, const call_subject &,
                         core_time) override;

private:
  void forgetOldest(const zone_id &Added);

  /// Zones that were taken back stay known, so that late news do not revert it.
  std::map<zone_id, zone_order> Orders;
  std::vector<zone_order> Forgotten;
  /// Number of zones that are emptied now.
  std::size_t Emptied = 0;
  /// The store has been read up to this revision; zones without an order were
  /// not emptied then.
  object_version ReadTo;
  /// Set while orders of an earlier era are in force that the store lacks.
  std::optional<core_time> SettleAt;
};

} // namespace jasminecroft
