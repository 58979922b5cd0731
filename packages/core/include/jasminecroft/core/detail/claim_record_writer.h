// Writes the outcome of claims to the claim store, off the critical path, and
// keeps each write until it is known to stand. A restart loses the pending
// writes: their claims then stand as claimed by a run that is gone.
#pragma once

#include "jasminecroft/core/detail/claim_store.h"

#include <map>
#include <optional>

namespace jasminecroft::detail {

/// Settlements that may have a call to the store in flight at once when they
/// are taken up again after a failure.
inline constexpr std::size_t MaxSettlementsRetriedAtOnce = 32;

class claim_settler final : public claim_store_listener {
public:
  claim_settler(core_context &Context, claim_store &Store)
      : Context(Context), Store(Store) {}

  /// Stores Record, which must be settled (not Claimed). Version is that of
  /// the attempt's own claim if it is known to be stored. Without it the
  /// record is created if absent, so that a claim still under way can't take
  /// effect afterwards.
  void settle(const claim_record &Record,
              const std::optional<object_version> &Version);

  /// Settled record still to be acknowledged, by key and attempt; null if
  /// there is none.
  const claim_record *pending(const object_key &Key, attempt_id Attempt) const;
  /// A pending record of this key that says that the work ran or may have.
  const claim_record *pendingRun(const object_key &Key) const;

  void onClaimResult(claim_call_id Call,
                     const claim_store_result &Result) override;
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  std::size_t pendingCount() const { return Settlements.size(); }

private:
  struct settlement {
    object_key Key;
    claim_record Record;
    /// Set while no call is in flight.
    std::optional<core_time> RetryAt;
  };
  using settlement_map = std::map<attempt_id, settlement>;

  void create(settlement &Settlement);
  void replace(settlement &Settlement, object_version Expected);
  void read(settlement &Settlement);
  void retryLater(settlement &Settlement);
  void onFound(settlement_map::iterator Entry, const claim_found &Found);
  void finish(settlement_map::iterator Entry);
  void loseToOther(settlement_map::iterator Entry);
  void remove(settlement_map::iterator Entry);

  core_context &Context;
  claim_store &Store;
  settlement_map Settlements;
  /// Attempts of Settlements by the key of their records.
  std::multimap<object_key, attempt_id> ByKey;
  std::map<claim_call_id, attempt_id> Calls;
};

} // namespace jasminecroft::detail
