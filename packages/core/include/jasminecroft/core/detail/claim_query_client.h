// Queries the entry hosts that hold claims for the outcome of their calls. A
// restart loses pending queries together with the requests that wait for them.
#pragma once

#include "jasminecroft/core/detail/core_context.h"
#include "jasminecroft/core/detail/membership.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace jasminecroft::detail {

/// Identifies a claim that this run acquires; unique within the run.
using claim_handle = strong_number<struct claim_handle_tag>;

inline constexpr core_duration ClaimQueryResendInterval =
    std::chrono::milliseconds(150);
/// Timeout for a holder that membership considers alive.
inline constexpr core_duration ClaimQueryTimeoutAlive =
    std::chrono::milliseconds(600);
/// Timeout for a holder that membership doesn't consider alive.
inline constexpr core_duration ClaimQueryTimeoutNotAlive =
    std::chrono::milliseconds(200);

/// The answer of the holder.
struct holder_reply {
  claim_answer Answer = claim_answer::NotMine;
  std::optional<std::string> Output;
};
/// The run that made the claim has ended, so the outcome of its call can't be
/// determined.
struct holder_run_ended {};
/// The holder has no known address or didn't answer before the timeout.
struct holder_unresponsive {};
using claim_query_result =
    std::variant<holder_reply, holder_run_ended, holder_unresponsive>;

/// Receives the results of a claim_query_client.
class claim_query_listener {
public:
  virtual ~claim_query_listener() = default;
  /// Called at most once for each query; never for one that was cancelled.
  virtual void onClaimQueryResult(claim_handle Claim,
                                  const claim_query_result &Result) = 0;
};

/// Sends claim queries to their holders, with resends and timeouts.
class claim_query_client {
public:
  claim_query_client(core_context &Context, const membership &Members,
                     claim_query_listener &Listener)
      : Context(Context), Members(Members), Listener(Listener) {}

  /// Queries the holder of Record for the outcome of its attempt. Returns the
  /// result if it is known at once. Otherwise the listener is called exactly
  /// once, unless the query is cancelled.
  std::optional<claim_query_result> query(claim_handle Claim,
                                          const claim_record &Record);
  void cancel(claim_handle Claim) { PendingQueries.erase(Claim); }

  /// Handles claim_query_reply.
  void onPeer(const peer_message &Message);
  void onWakeup();
  std::optional<core_time> nextWakeup() const;

private:
  struct pending_query {
    claim_query Query;
    host_run Holder;
    core_time ResendAt{};
    core_time ExpiresAt{};
  };

  void send(pending_query &Pending);
  void resolve(claim_handle Claim, const claim_query_result &Result);

  core_context &Context;
  const membership &Members;
  claim_query_listener &Listener;
  std::uint64_t LastSequence = 0;
  std::map<claim_handle, pending_query> PendingQueries;
};

} // namespace jasminecroft::detail
