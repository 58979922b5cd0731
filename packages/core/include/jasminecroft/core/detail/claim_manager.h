// Acquires and settles claims for calls that must run at most once. State is
// lost on a restart: records left in state Claimed then belong to a run that
// has ended, and later calls with their keys get the outcome Unknown.
#pragma once

#include "jasminecroft/core/detail/claim_query_client.h"
#include "jasminecroft/core/detail/claim_record_writer.h"
#include "jasminecroft/core/detail/claim_resolution.h"
#include "jasminecroft/core/detail/claim_store.h"
#include "jasminecroft/core/detail/core_context.h"
#include "jasminecroft/core/detail/membership.h"

#include <map>
#include <optional>

namespace jasminecroft::detail {

/// Largest output that is stored in a claim record, in bytes. The platform
/// limits a value to one megabyte, and escaping may double the size of the
/// text.
inline constexpr std::size_t MaxRecordedOutputBytes = 400'000;

/// Describes the call that a claim is acquired for.
struct claim_params {
  request_id Request;
  workspace_id Workspace;
  idempotency_key Key;
  stage_id Stage;
  fingerprint Fingerprint;
  std::optional<std::uint32_t> CallNumber;
  /// A claim that is still undecided at this time is denied.
  core_time DecideBy;
  /// Deadline of the call; it isn't dispatched afterwards.
  core_time Deadline;
};

/// Receives the decisions of a claim_manager.
class claim_listener {
public:
  virtual ~claim_listener() = default;
  /// Called exactly once for each handle, unless the claim is abandoned first.
  virtual void onClaimDecided(claim_handle Claim,
                              const claim_decision &Decision) = 0;
};

/// Result of claim_manager::acquire: a decision, or the handle of a claim that
/// is decided later by claim_listener::onClaimDecided.
using acquire_result = std::variant<claim_handle, claim_decision>;

class claim_manager final : public claim_store_listener,
                            public claim_query_listener {
public:
  claim_manager(core_context &Context, claim_store &Store,
                const membership &Members, claim_listener &Listener)
      : Context(Context), Store(Store), Members(Members), Listener(Listener),
        RecordWriter(Context, Store), QueryClient(Context, Members, *this) {}

  /// Starts to acquire a claim. Decides at once if the key is known locally or
  /// the store is unavailable.
  acquire_result acquire(const claim_params &Params);
  /// Marks the claim as dispatched; call it immediately before the first byte
  /// of the call is sent. Returns true if and only if the claim is granted, not
  /// abandoned, not yet dispatched and its deadline has not passed. After true,
  /// the outcome is done or unknown, never "not run", unless revertDispatch
  /// follows.
  bool dispatch(claim_handle Claim);
  /// Returns a dispatched claim to the granted state. Only for calls that
  /// certainly did not leave this host or did not run.
  void revertDispatch(claim_handle Claim);
  /// Abandons the claim; it is never dispatched afterwards. The release is
  /// retried until the store acknowledges it. Does nothing for dispatched
  /// claims.
  void abandon(claim_handle Claim);
  /// Records that the dispatched call ran; the write is retried until the store
  /// acknowledges it. An output larger than MaxRecordedOutputBytes is recorded
  /// as not kept, as is an absent one.
  void recordDone(claim_handle Claim, std::optional<std::string> Output);
  /// Records that the outcome of the dispatched call is unknown.
  void recordUnknown(claim_handle Claim);

  void onClaimResult(claim_call_id Call,
                     const claim_store_result &Result) override;
  void onClaimQueryResult(claim_handle Claim,
                          const claim_query_result &Result) override;
  /// Handles claim_query and claim_query_reply.
  void onPeer(const peer_message &Message);
  /// Denies claims that wait for the store if it is known to be unavailable.
  void checkStore();
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  /// Returns the number of records whose write is not yet acknowledged.
  std::size_t pendingWrites() const { return RecordWriter.pendingCount(); }

private:
  enum class phase {
    Creating,
    Reading,
    Replacing,
    QueryingHolder,
    Granted,
    Dispatched
  };
  struct claim {
    /// Own record; its State is Claimed as long as the claim is in Claims.
    claim_record Record;
    phase Phase = phase::Creating;
    core_time DecideBy{};
    core_time Deadline{};
    /// Version of the own record; set once the claim is granted.
    object_version Version;
    /// Record of another attempt that was read last.
    std::optional<claim_found> Other;
    /// Time to retry the store call of Phase; set only while none is in flight.
    std::optional<core_time> RetryAt;
    bool WriteInFlight = false;
    /// True once a write of the own record got no answer; such a write may
    /// take effect at any later time.
    bool WriteLost = false;
    /// Number of times the record was reread because its holder had already
    /// recorded an outcome.
    std::uint32_t Rereads = 0;
  };
  using claim_map = std::map<claim_handle, claim>;

  static bool isUndecided(const claim &Claim) {
    return Claim.Phase != phase::Granted && Claim.Phase != phase::Dispatched;
  }
  static bool waitsForStore(const claim &Claim) {
    return isUndecided(Claim) && Claim.Phase != phase::QueryingHolder;
  }

  std::optional<claim_decision> decideLocally(const claim_params &Params) const;
  void enterPhase(claim_handle Handle, claim &Claim, phase Phase);
  void issueCall(claim_handle Handle, claim &Claim);
  void grant(claim_map::iterator Entry, object_version Version);
  void onFound(claim_map::iterator Entry, const claim_found &Found);
  void onCallFailed(claim_map::iterator Entry, bool WriteLost);
  void queryHolder(claim_map::iterator Entry);
  void onHolderReply(claim_map::iterator Entry,
                     const holder_reply &HolderReply);
  void onAbandoned(claim_map::iterator Entry);
  void reread(claim_map::iterator Entry);
  void denyUndecided(claim_map::iterator Entry, error_code Code);
  void decide(claim_map::iterator Entry, const claim_decision &Decision);
  void remove(claim_map::iterator Entry);
  void eraseClaim(claim_map::iterator Entry);
  void recordOutcome(claim_handle Handle, claim_state State,
                     std::optional<std::string> Output);
  claim_query_reply replyTo(const claim_query &Query) const;

  core_context &Context;
  claim_store &Store;
  const membership &Members;
  claim_listener &Listener;
  claim_record_writer RecordWriter;
  claim_query_client QueryClient;
  claim_handle LastHandle;
  claim_map Claims;
  /// Handles in Claims by the keys of their records; the keys are unique.
  std::map<object_key, claim_handle> ByKey;
  std::map<claim_call_id, claim_handle> Calls;
};

} // namespace jasminecroft::detail
