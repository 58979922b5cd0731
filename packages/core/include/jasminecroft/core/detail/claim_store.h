// Storage interface for claim records and its implementation with one platform
// object for each claim. claim_manager depends on the interface only, so that a
// striped log of immutable segments can replace the implementation.
#pragma once

#include "jasminecroft/core/detail/core_context.h"
#include "jasminecroft/core/detail/platform_gateway.h"
#include "jasminecroft/core/stored_objects.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace jasminecroft::detail {

/// Identifies a call to the claim store; unique within one run.
using claim_call_id = strong_number<struct claim_call_tag>;

/// The write took effect; Version is the new version of the record.
struct claim_stored {
  object_version Version;
};
struct claim_found {
  claim_record Record;
  object_version Version;
};
struct claim_absent {};
/// The condition of a write did not hold; the record is unchanged.
struct claim_conflict {};
/// The call was refused: it had no effect and will have none.
struct claim_call_refused {};
/// The call got no answer: it may have taken effect or may do so later.
struct claim_call_lost {};
/// The record exists, but this software version can't decode it.
struct claim_unreadable {};

using claim_store_result =
    std::variant<claim_stored, claim_found, claim_absent, claim_conflict,
                 claim_call_refused, claim_call_lost, claim_unreadable>;

/// Receives the results of calls to a claim_store.
class claim_store_listener {
public:
  virtual ~claim_store_listener() = default;
  /// Called exactly once for each call, never before that call has returned.
  virtual void onClaimResult(claim_call_id Call,
                             const claim_store_result &Result) = 0;
};

/// Asynchronous store of claim records. A listener must outlive its calls.
class claim_store {
public:
  virtual ~claim_store() = default;
  /// Stores the record if its key has none.
  virtual claim_call_id create(claim_store_listener &Listener,
                               const claim_record &Record) = 0;
  /// Replaces the record if its version is still Expected.
  virtual claim_call_id replace(claim_store_listener &Listener,
                                const claim_record &Record,
                                object_version Expected) = 0;
  /// Reads the record of Key.
  virtual claim_call_id read(claim_store_listener &Listener,
                             const object_key &Key) = 0;
  /// Returns true while the store is known not to answer.
  virtual bool unavailable() const = 0;
  /// Returns the delay before the next retry after a failure.
  virtual core_duration backoff() = 0;
};

/// Returns the key under which a record is stored.
object_key keyOf(const claim_record &Record);

/// Stores each claim as one platform object. A restart loses the calls in
/// flight; reading a record shows whether they took effect.
class per_key_claim_store final : public claim_store,
                                  public platform_result_handler {
public:
  explicit per_key_claim_store(platform_gateway &Gateway) : Gateway(Gateway) {}

  claim_call_id create(claim_store_listener &Listener,
                       const claim_record &Record) override;
  claim_call_id replace(claim_store_listener &Listener,
                        const claim_record &Record,
                        object_version Expected) override;
  claim_call_id read(claim_store_listener &Listener,
                     const object_key &Key) override;
  bool unavailable() const override { return Gateway.away(); }
  core_duration backoff() override {
    return Gateway.backoff(call_purpose::Claim);
  }

  void onPlatformResult(platform_call_id Call,
                        const platform_result &Result) override;

private:
  claim_call_id call(claim_store_listener &Listener,
                     platform_operation Operation);

  platform_gateway &Gateway;
  std::map<platform_call_id, claim_store_listener *> ListenerByCall;
};

} // namespace jasminecroft::detail
