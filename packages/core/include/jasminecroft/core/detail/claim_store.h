// Where claim records live. The keeper of claims knows this interface only, so
// that a striped log of immutable segments can stand behind it later; today
// each claim is one object of the platform.
#pragma once

#include "jasminecroft/core/detail/core_context.h"
#include "jasminecroft/core/detail/platform_gateway.h"
#include "jasminecroft/core/stored_objects.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace jasminecroft::detail {

/// Number of a call to the claim store, unique within one run.
using claim_call_id = strong_number<struct claim_call_tag>;

/// The write took effect; Version is the record's new version.
struct claim_stored {
  object_version Version;
};
struct claim_found {
  claim_record Record;
  object_version Version;
};
struct claim_absent {};
/// The condition did not hold; the record stands as it was.
struct claim_conflict {};
/// The call certainly had no effect and will have none.
struct claim_call_refused {};
/// No answer: the call may have taken effect, or may do so later.
struct claim_call_lost {};
/// There is a record, but this version cannot read it.
struct claim_unreadable {};

using claim_store_result =
    std::variant<claim_stored, claim_found, claim_absent, claim_conflict,
                 claim_call_refused, claim_call_lost, claim_unreadable>;

class claim_store_listener {
public:
  virtual ~claim_store_listener() = default;
  /// Comes exactly once for each call, never before the call has returned.
  virtual void onClaimResult(claim_call_id Call,
                             const claim_store_result &Result) = 0;
};

class claim_store {
public:
  virtual ~claim_store() = default;
  /// Stores the record if there is none under its key.
  virtual claim_call_id create(claim_store_listener &Listener,
                               const claim_record &Record) = 0;
  /// Replaces the record if its version is still Expected.
  virtual claim_call_id replace(claim_store_listener &Listener,
                                const claim_record &Record,
                                object_version Expected) = 0;
  virtual claim_call_id read(claim_store_listener &Listener,
                             const object_key &Key) = 0;
  /// True while the store is known not to answer.
  virtual bool away() const = 0;
  /// Delay before the next try after a failure.
  virtual core_duration backoff() = 0;
};

/// Key under which a record is stored.
object_key keyOf(const claim_record &Record);

/// One object of the platform for each claim. A restart loses the calls in
/// flight; their effect is found again by reading.
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
  bool away() const override { return Gateway.away(); }
  core_duration backoff() override {
    return Gateway.backoff(call_purpose::Claim);
  }

  void onPlatformResult(platform_call_id Call,
                        const platform_result &Result) override;

private:
  claim_call_id call(claim_store_listener &Listener,
                     platform_operation Operation);

  platform_gateway &Gateway;
  std::map<platform_call_id, claim_store_listener *> Waiting;
};

} // namespace jasminecroft::detail
