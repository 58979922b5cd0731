// Writes the outcomes of claims to the claim store, off the critical path, and
// retries each write until it is known to have taken effect. A restart loses
// the pending writes: their records stay Claimed by a run that has ended.
#pragma once

#include "jasminecroft/core/detail/claim_store.h"

#include <map>
#include <optional>

namespace jasminecroft::detail {

/// Failed writes are retried only while fewer store calls than this are in
/// flight.
inline constexpr std::size_t MaxConcurrentWriteRetries = 32;

/// Stores final claim records and retries failed writes.
class claim_record_writer final : public claim_store_listener {
public:
  claim_record_writer(core_context &Context, claim_store &Store)
      : Context(Context), Store(Store) {}

  /// Stores Record, whose State must not be Claimed. Version is the version of
  /// the attempt's own claim record if that is known to be stored. Without it
  /// the record is created if absent, so that a claim write still in flight
  /// can't take effect afterwards.
  void write(const claim_record &Record,
             const std::optional<object_version> &Version);

  /// Returns the record of this key and attempt whose write is not yet
  /// acknowledged, or null. The pointer is valid until the write ends.
  const claim_record *pending(const object_key &Key, attempt_id Attempt) const;
  /// Returns a pending record of this key that states that the work ran or may
  /// have run, or null.
  const claim_record *pendingExecution(const object_key &Key) const;

  void onClaimResult(claim_call_id Call,
                     const claim_store_result &Result) override;
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  std::size_t pendingCount() const { return PendingWrites.size(); }

private:
  struct pending_write {
    object_key Key;
    claim_record Record;
    /// Time of the next retry; set only while no call is in flight.
    std::optional<core_time> RetryAt;
  };
  using pending_write_map = std::map<attempt_id, pending_write>;

  void create(pending_write &Write);
  void replace(pending_write &Write, object_version Expected);
  void read(pending_write &Write);
  void retryLater(pending_write &Write);
  void onFound(pending_write_map::iterator Entry, const claim_found &Found);
  void finish(pending_write_map::iterator Entry);
  void dropReplaced(pending_write_map::iterator Entry);
  void remove(pending_write_map::iterator Entry);

  core_context &Context;
  claim_store &Store;
  pending_write_map PendingWrites;
  /// Attempts in PendingWrites by the keys of their records.
  std::multimap<object_key, attempt_id> ByKey;
  std::map<claim_call_id, attempt_id> Calls;
};

} // namespace jasminecroft::detail
