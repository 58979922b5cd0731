// Everything that can happen to an entry host's control logic.
#pragma once

#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/stored_objects.h"
#include "jasminecroft/core/types.h"

#include <optional>
#include <string>
#include <variant>

namespace jasminecroft {

/// A caller's request, whole and well-formed as HTTP.
struct request_received {
  request_id Request;
  workspace_id Workspace;
  pipeline_id Pipeline;
  std::string Body;
  /// Time that the caller leaves; absent: the configured deadline.
  std::optional<core_duration> Remaining;
  std::optional<idempotency_key> Key;
  /// Which call with this key this is, 1 for the first, if the caller says.
  std::optional<std::uint32_t> AttemptNumber;
  /// Most tokens that the last stage may generate, if the caller says.
  std::optional<std::uint32_t> TokenLimit;
  bool Streamed = false;
};
/// The caller closed its connection; it will not read an answer.
struct caller_disconnected {
  request_id Request;
};

/// What a backend server answers, or fails to answer, to one attempt.
enum class backend_error {
  /// Connecting failed: no byte left this host.
  NotConnected,
  /// The server refused the call before running it and says so.
  Refused,
  /// Refused because the server is leaving.
  RefusedLeaving,
  /// The server says that the call ran and failed.
  ExecutionFailed,
  /// The connection broke or the answer was cut, malformed or foreign.
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
  /// Whole output; the shell has checked that it is complete. For streams it
  /// is empty and Count and Digest close the stream.
  std::string Output;
  std::uint64_t Count = 0;
  std::uint64_t Digest = 0;
};
struct attempt_failed {
  attempt_id Attempt;
  backend_error Error = backend_error::Broken;
  std::optional<core_duration> RetryAfter;
};

/// A backend server's own load report, already late when it arrives.
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
/// The peer transport gave up on a message; a hint, never proof of death.
struct peer_unreachable {
  entry_host_id Host;
};

/// Offset from the core's clock to wall time; comes first and at each step.
struct wall_clock_observed {
  wall_time Now;
};
struct wakeup {};
struct shutdown_requested {};

enum class status_topic { Summary, Members, Backends, Config, Decisions };
/// An operator reads the state of this host.
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
