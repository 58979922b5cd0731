// What the serving core keeps of a request, its stages and jobs, and of a call.
#pragma once

#include "jasminecroft/core/serving/batch_owner.h"
#include "jasminecroft/core/serving/call_admission.h"
#include "jasminecroft/core/serving/engine_urgency.h"
#include "jasminecroft/core/serving/prompt_room.h"
#include "jasminecroft/core/serving/serving_core.h"
#include "jasminecroft/core/serving/way_plan.h"
#include "jasminecroft/core/serving/zone_choice.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminecroft::detail {

/// Retry-After if a pool has no usable server: about the time in which lost
/// servers are registered again.
inline constexpr core_duration NoBackendRetryAfter =
    std::chrono::milliseconds(700);

/// Runs of hosts are numbered by milliseconds. The numbers of a run's jobs
/// begin where those of the runs before end, at so many jobs a millisecond.
inline constexpr std::uint64_t JobsPerMillisecond = 1'048'576;

/// Name of a part of a prompt in logs: as callers send it.
std::string partName(prompt_part_id Part);

/// A configuration with its route index. A request keeps the configuration that
/// was in force when it arrived.
struct config_view {
  explicit config_view(std::shared_ptr<const route_config> Config)
      : Config(std::move(Config)), Routes(*this->Config),
        Ranked(findRankedPools(*this->Config)),
        Prompts(findPromptBounds(*this->Config)),
        Competing(callersCompete(*this->Config)) {}
  std::shared_ptr<const route_config> Config;
  route_index Routes;
  ranked_pools Ranked;
  prompt_bounds Prompts;
  bool Competing;
};

enum class stage_phase {
  /// Inputs are incomplete or the stage is not yet requested.
  Waiting,
  /// A job is pending at a queue owner. All stages that this one depends on are
  /// done, and their results are kept.
  Requested,
  /// A job is pending, and the inputs are no longer needed.
  InputsFetched,
  Done,
};

struct stage_state {
  stage_phase Phase = stage_phase::Waiting;
  /// Empty unless the stage is done.
  std::vector<completed_piece> Results;
  /// Valid while a job is pending.
  piece_job_id Job;
  /// Queue owner that produced the results; notified when they are released.
  entry_host_id Owner;
  bool Released = false;
  /// Zone of the queue that the job is or will be submitted to.
  zone_id QueueZone;
  zone_reason QueueReason = zone_reason::OnlyQueue;
  core_time RequestedAt;
  /// Time from the first submission until done.
  core_duration Duration{0};
};

/// What has arrived of a call's reply.
enum class call_progress { Sent, Head, Events };

enum class prompt_phase {
  /// No room at an engine has been asked for.
  None,
  /// The answer of the host that keeps the book is awaited.
  Asked,
  /// Held until there is room.
  Held,
  /// It may be sent.
  Ready,
};

/// A request's prompt before the first event of its call.
struct prompt_wait {
  prompt_phase Phase = prompt_phase::None;
  /// Number of the sending for which room was asked last.
  std::uint32_t Attempt = 0;
  core_time AskedAt;
  /// End of the phases Asked and Held.
  core_time Until;
  core_duration HoldAtMost{0};
  /// The engine that was named.
  std::optional<backend_id> Granted;
  /// The host that may have booked it.
  std::optional<entry_host_id> BookedAt;
  /// Tokens that the engine that got the call has to read.
  std::uint64_t Tokens = 0;
};

struct active_request {
  serving_request Request;
  std::shared_ptr<const config_view> View;
  const serving_route *Route = nullptr;
  pool_id Pool;
  workspace_id Workspace;
  std::uint32_t Priority = 0;
  core_time Arrived;
  /// Time by which the caller gets its final reply.
  core_time Deadline;
  core_time GoalAt;
  /// Zone of the backend server that was selected when the request arrived;
  /// the final stages run near it.
  zone_id PlannedZone;
  std::vector<stage_state> Stages;
  /// Number of recomputations of lost results.
  std::uint32_t Recomputations = 0;
  core_time StagesDoneAt;
  /// Time to the first byte of the response, as estimated on arrival.
  core_duration Forecast{0};
  way_plan Way;

  /// Call in flight, if any.
  std::optional<call_id> CurrentCall;
  backend_entry Server;
  core_time SentAt;
  std::set<backend_id> TriedServers;
  /// Number of calls whose first byte may have been sent.
  std::uint32_t Attempts = 0;
  call_ledger Ledger;
  bool HeadRelayed = false;
  call_progress Progress = call_progress::Sent;
  std::optional<core_time> FirstByteAt;
  std::optional<std::uint64_t> LastEvent;
  /// Of the last events.
  core_time LastEventAt;
  /// The first event of the current call, and when it arrived.
  std::uint64_t CallEvent = 0;
  core_time CallEventAt;
  /// The limited server for which it has asked for a permit.
  std::optional<backend_id> PermitAskedOf;
  entry_host_id PermitCounter;
  core_time PermitAskedAt;
  /// Who was asked for which server since it last could go on, and the earliest
  /// time that an answer named.
  std::set<std::pair<backend_id, entry_host_id>> PermitAsks;
  std::optional<core_time> PermitNextAt;
  /// The limited server to which it may be sent.
  std::optional<backend_id> Permit;
  prompt_wait Prompt;
  /// The quarantined part because of which it ends.
  std::optional<prompt_part_id> QuarantinedPart;
  /// Allowed to run despite quarantined parts.
  bool Trial = false;
};

/// A job that a queue owner has. Its stage is in the phase Requested or
/// InputsFetched; in the first one, the results that it is made from are kept.
struct job_state {
  request_id Request;
  std::uint32_t Stage = 0;
  piece_source Source;
  /// Host that the job is assigned to.
  entry_host_id Owner;
  zone_id QueueZone;
  bool Accepted = false;
  /// The owner accepted it at some time, so that a call may be running.
  bool EverAccepted = false;
  core_time RequestedAt;
  /// Its pieces are among those sent to the queue.
  bool Counted = false;
  /// Pieces that this host had sent to the queue before it submitted the job
  /// last: those that the owner's answer includes.
  std::uint64_t SentBefore = 0;
};

enum class call_kind { Forward, Pieces };

struct call_state {
  call_kind Kind = call_kind::Forward;
  /// Kind Forward only.
  request_id Request;
  /// Kind Pieces only.
  batch_id Batch;
  backend_entry Server;
  core_time SentAt;
  /// Priority of a stream that has no event yet.
  std::optional<std::uint32_t> WaitsAs;
  /// Size of the request's body.
  std::size_t RequestBytes = 0;
};

/// Kind of a timer; determines what its id refers to.
enum class timer_kind {
  Deadline,
  AttemptTimeout,
  AcceptTimeout,
  JobCheck,
  PermitTimeout,
  PromptRoom
};
struct timer {
  timer_kind Kind = timer_kind::Deadline;
  std::uint64_t Id = 0;
};

} // namespace jasminecroft::detail
