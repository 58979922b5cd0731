// Claim store with one platform object for each claim.
#include "jasminecroft/core/detail/claim_store.h"

namespace jasminecroft::detail {

namespace {

// Converts a platform result to a claim store result.
struct result_converter {
  claim_store_result operator()(const object_found &Found) const {
    const claim_record *Record = std::get_if<claim_record>(&Found.Value);
    if (!Record)
      return claim_unreadable{};
    return claim_found{*Record, Found.Version};
  }
  claim_store_result operator()(const object_absent &) const {
    return claim_absent{};
  }
  claim_store_result operator()(const object_written &Written) const {
    return claim_stored{Written.Version};
  }
  claim_store_result operator()(const version_conflict &) const {
    return claim_conflict{};
  }
  claim_store_result operator()(const platform_refused &) const {
    return claim_call_refused{};
  }
  claim_store_result operator()(const object_malformed &) const {
    return claim_unreadable{};
  }
  // Any other result leaves it open whether the call took effect.
  template <typename Other> claim_store_result operator()(const Other &) const {
    return claim_call_lost{};
  }
};

} // namespace

object_key keyOf(const claim_record &Record) {
  return claimKey(Record.Workspace, Record.Key, Record.Stage);
}

claim_call_id per_key_claim_store::call(claim_store_listener &Listener,
                                        platform_operation Operation) {
  platform_call_id Call =
      Gateway.call(*this, call_purpose::Claim, std::move(Operation));
  ListenerByCall.emplace(Call, &Listener);
  return claim_call_id(Call.Value);
}

claim_call_id per_key_claim_store::create(claim_store_listener &Listener,
                                          const claim_record &Record) {
  return call(Listener, create_object{keyOf(Record), Record});
}

claim_call_id per_key_claim_store::replace(claim_store_listener &Listener,
                                           const claim_record &Record,
                                           object_version Expected) {
  return call(Listener, update_object{keyOf(Record), Record, Expected});
}

claim_call_id per_key_claim_store::read(claim_store_listener &Listener,
                                        const object_key &Key) {
  return call(Listener, get_object{Key});
}

void per_key_claim_store::onPlatformResult(platform_call_id Call,
                                           const platform_result &Result) {
  auto Found = ListenerByCall.find(Call);
  if (Found == ListenerByCall.end())
    return;
  claim_store_listener *Listener = Found->second;
  ListenerByCall.erase(Found);
  Listener->onClaimResult(claim_call_id(Call.Value),
                          std::visit(result_converter{}, Result));
}

} // namespace jasminecroft::detail
