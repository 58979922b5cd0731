// Claims for calls that must run at most once, kept in the claim store. A
// restart loses what is pending: its claims then stand as claimed by a run
// that is gone, and are answered as unknown.
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

/// Largest output that a claim record keeps; the platform holds values up to
/// a megabyte, and escaping may double the text.
inline constexpr std::size_t MaxRecordedOutputBytes = 400'000;

struct claim_wish {
  request_id Request;
  workspace_id Workspace;
  idempotency_key Key;
  stage_id Stage;
  fingerprint Fingerprint;
  std::optional<std::uint32_t> CallNumber;
  /// A claim that is undecided then is given up.
  core_time DecideBy;
  /// When the time for the work has gone.
  core_time Deadline;
};

class claim_listener {
public:
  virtual ~claim_listener() = default;
  /// Comes exactly once for each handle, unless it was abandoned before.
  virtual void onClaimDecided(claim_handle Claim,
                              const claim_decision &Decision) = 0;
};

/// What `want` gives: either the decision at once, or a handle for which it
/// follows.
using claim_start = std::variant<claim_handle, claim_decision>;

class claim_manager final : public claim_store_listener,
                            public inquiry_listener {
public:
  claim_manager(core_context &Context, claim_store &Store,
                const membership &Members, claim_listener &Listener)
      : Context(Context), Store(Store), Members(Members), Listener(Listener),
        Settler(Context, Store), Inquiry(Context, Members, *this) {}

  claim_start want(const claim_wish &Wish);
  /// Last check before the first byte leaves: true exactly if the claim is
  /// granted, not abandoned and its deadline has not passed. After true the
  /// outcome is done or unknown, never "not run", unless undispatch follows.
  bool dispatch(claim_handle Claim);
  /// The dispatched call certainly did not leave this host or did not run.
  void revertDispatch(claim_handle Claim);
  /// Gives the claim up; it is never dispatched afterwards. The release is
  /// kept pending until the store has it. Not for dispatched claims.
  void abandon(claim_handle Claim);
  /// Records how the dispatched call ended; kept until acknowledged. An output
  /// over MaxRecordedOutputBytes, or none, is recorded as not kept.
  void recordDone(claim_handle Claim, std::optional<std::string> Output);
  void recordUnknown(claim_handle Claim);

  void onClaimResult(claim_call_id Call,
                     const claim_store_result &Result) override;
  void onInquiryResult(claim_handle Claim,
                       const inquiry_result &Result) override;
  /// Handles claim_query and claim_query_reply.
  void onPeer(const peer_message &Message);
  /// Gives up undecided claims if the store is known to be away.
  void checkStore();
  void onWakeup();
  std::optional<core_time> nextWakeup() const;
  std::size_t pendingWrites() const { return Settler.pendingCount(); }

private:
  enum class phase {
    Creating,
    Reading,
    Replacing,
    Asking,
    Granted,
    Dispatched
  };
  struct claim {
    /// Own record; State is Claimed for as long as the claim is here.
    claim_record Record;
    phase Phase = phase::Creating;
    core_time DecideBy{};
    core_time Deadline{};
    /// Version of the own record; known once granted.
    object_version Version;
    /// The last record of another attempt that was read.
    std::optional<claim_found> Other;
    /// When to make the call of Phase again; set while none is in flight.
    std::optional<core_time> RetryAt;
    bool WriteInFlight = false;
    /// True once a write of the own record had no answer: it may take effect
    /// at any later time.
    bool WriteLost = false;
    /// Times that the record was read again because its holder had settled it.
    std::uint32_t Rereads = 0;
  };
  using claim_map = std::map<claim_handle, claim>;

  static bool isUndecided(const claim &Claim) {
    return Claim.Phase != phase::Granted && Claim.Phase != phase::Dispatched;
  }
  static bool waitsForStore(const claim &Claim) {
    return isUndecided(Claim) && Claim.Phase != phase::Asking;
  }

  std::optional<claim_decision> decideLocally(const claim_wish &Wish) const;
  void enter(claim_handle Handle, claim &Claim, phase Phase);
  void makeCall(claim_handle Handle, claim &Claim);
  void grant(claim_map::iterator Entry, object_version Version);
  void onFound(claim_map::iterator Entry, const claim_found &Found);
  void onNoEffectKnown(claim_map::iterator Entry, bool WriteLost);
  void askHolder(claim_map::iterator Entry);
  void onHolderAnswer(claim_map::iterator Entry, const holder_says &Says);
  void onAbandoned(claim_map::iterator Entry);
  void readAgain(claim_map::iterator Entry);
  void giveUpUndecided(claim_map::iterator Entry, error_code Code);
  void decide(claim_map::iterator Entry, const claim_decision &Decision);
  void remove(claim_map::iterator Entry);
  void forget(claim_map::iterator Entry);
  void record(claim_handle Handle, claim_state State,
              std::optional<std::string> Output);
  claim_query_reply answerTo(const claim_query &Query) const;

  core_context &Context;
  claim_store &Store;
  const membership &Members;
  claim_listener &Listener;
  claim_settler Settler;
  claim_inquiry Inquiry;
  claim_handle Last;
  claim_map Claims;
  /// The claims of Claims by the key of their records; no two share a key.
  std::map<object_key, claim_handle> ByKey;
  std::map<claim_call_id, claim_handle> Calls;
};

} // namespace jasminecroft::detail
