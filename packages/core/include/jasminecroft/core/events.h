// Input events of an entry host's control logic.
#pragma once

#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/stored_objects.h"
#include "jasminecroft/core/types.h"

#include <optional>
#include <string>
#include <variant>

namespace jasminecroft {

/// A complete, well-formed HTTP request from a caller.
struct request_received {
  request_id Request;
  workspace_id Workspace;
  pipeline_id Pipeline;
  std::string Body;
  /// Time until the caller's deadline; if absent, the configured deadline
  /// applies.
  std::optional<core_duration> Remaining;
  std::optional<idempotency_key> Key;
  /// Ordinal of this call among those with the same key, from 1, if the caller
  /// states it.
  std::optional<std::uint32_t> AttemptNumber;
  /// Maximum number of tokens that the last stage may generate, if the caller
  /// sets one.
  std::optional<std::uint32_t> TokenLimit;
  bool Streamed = false;
};
/// The caller closed its connection and will not read an answer.
struct caller_disconnected {
  request_id Request;
};

/// Why an attempt at a backend server failed.
enum class backend_error {
  /// Connecting failed; no byte was sent.
  NotConnected,
  /// The server reported that it rejected the call before executing it.
  Refused,
  /// The server rejected the call before executing it because it is leaving.
  RefusedLeaving,
  /// The server reported that it executed the call and that the call failed.
  ExecutionFailed,
  /// The connection broke, or the answer was truncated, malformed or that of
  /// another attempt.
  Broken,
  TimedOut,
};
struct attempt_piece {
  attempt_id Attempt;
  /// Position in the stream, from 0.
  std::uint64_t Sequence = 0;
  std::string Text;
};
struct attempt_succeeded {
  attempt_id Attempt;
  /// Complete output, as verified by the shell; empty for a stream.
  std::string Output;
  /// Number of pieces and digest from the end marker of a stream.
  std::uint64_t Count = 0;
  std::uint64_t Digest = 0;
};
struct attempt_failed {
  attempt_id Attempt;
  backend_error Error = backend_error::Broken;
  std::optional<core_duration> RetryAfter;
};

/// Load that a backend server reports for itself; outdated on arrival.
struct load_reported {
  backend_id Backend;
  incarnation Run;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 0;
  bool Leaving = false;
};
struct load_poll_failed {
  backend_id Backend;
};

struct platform_replied {
  platform_call_id Call;
  platform_result Result;
};
struct peer_received {
  peer_message Message;
};
/// The peer transport failed to deliver a message. This is a hint and never
/// proves that the peer has failed.
struct peer_unreachable {
  entry_host_id Host;
};

/// Wall-clock time at the current core time; the first event, and sent again
/// whenever the wall clock steps.
struct wall_clock_observed {
  wall_time Now;
};
struct wakeup {};
struct shutdown_requested {};

enum class status_topic { Summary, Members, Backends, Config, Decisions };
/// An operator's request for the state of this host.
struct status_requested {
  status_query_id Query;
  status_topic Topic = status_topic::Summary;
};

using event = std::variant<request_received, caller_disconnected, attempt_piece,
                           attempt_succeeded, attempt_failed, load_reported,
                           load_poll_failed, platform_replied, peer_received,
                           peer_unreachable, wall_clock_observed, wakeup,
                           shutdown_requested, status_requested>;

} // namespace jasminecroft
