// Actions that an entry host's control logic returns for its shell to execute.
#pragma once

#include "jasminecroft/core/event_log.h"
#include "jasminecroft/core/events.h"
#include "jasminecroft/core/outcome.h"
#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/core/status.h"
#include "jasminecroft/core/types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jasminecroft {

/// Sends the final answer to the caller; no action for this request follows.
struct answer_caller {
  request_id Request;
  final_answer Answer;
};
/// Forwards the next piece of a streamed answer; Sequence has no gaps.
struct stream_to_caller {
  request_id Request;
  std::uint64_t Sequence = 0;
  std::string Text;
};

enum class work_priority { Interactive, Batch };

/// Sends a stage call to a backend server.
struct start_attempt {
  attempt_id Attempt;
  backend_id Backend;
  endpoint Address;
  workspace_id Workspace;
  pipeline_id Pipeline;
  stage_id Stage;
  std::string Input;
  /// Time limit of this attempt, after which the shell reports TimedOut.
  core_duration Timeout{0};
  work_priority Priority = work_priority::Interactive;
  bool Repeatable = true;
  bool Streamed = false;
  /// Stream position to resume from; earlier pieces are not sent again.
  std::uint64_t ResumeFrom = 0;
  std::optional<std::uint32_t> TokenLimit;
};
/// Cancels an attempt; the core ignores any later events for it.
struct cancel_attempt {
  attempt_id Attempt;
};

struct poll_load {
  backend_id Backend;
  endpoint Address;
};

struct call_platform {
  platform_call_id Call;
  call_purpose Purpose = call_purpose::Config;
  platform_operation Operation;
  /// Time limit, after which the shell replies platform_no_answer.
  core_duration Timeout{0};
};

struct send_to_peer {
  entry_host_id Host;
  endpoint Address;
  peer_message Message;
};

/// Readiness reported to the load balancer, with the reason if not ready.
enum class readiness { Ready, NoConfig, NoBackends, ShuttingDown };
struct set_readiness {
  readiness State = readiness::NoConfig;
};

struct log_event {
  event_record Record;
};
struct reply_status {
  status_query_id Query;
  status_document Document;
};
/// Lets the process exit; no work is left.
struct stop_process {};

using action =
    std::variant<answer_caller, stream_to_caller, start_attempt, cancel_attempt,
                 poll_load, call_platform, send_to_peer, set_readiness,
                 log_event, reply_status, stop_process>;
using action_list = std::vector<action>;

} // namespace jasminecroft
