// Pieces of stages: jobs that one host submits to another, and their results.
#pragma once

#include "jasminecroft/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jasminecroft {

/// Caller-assigned id of a request; unique for each attempt of a caller.
using caller_request_id = strong_text<struct caller_request_tag>;
/// Job number, unique among those of the submitting host.
using piece_job_id = strong_number<struct piece_job_tag>;
/// Handle of a result at the backend server that stores it: "IP:port/name".
using result_handle = strong_text<struct result_handle_tag>;

/// The caller's key of a request, from which pieces are made.
using piece_key = strong_text<struct piece_key_tag>;

/// All results of the stages that a stage depends on, in the order of these
/// stages and of their pieces. Empty only if the request omits these stages.
struct piece_inputs {
  std::vector<result_handle> Results;
  bool operator==(const piece_inputs &) const = default;
};

/// What a piece is made from: the caller's key in a stage that depends on no
/// other one, and inputs in all other stages.
using piece_source = std::variant<piece_key, piece_inputs>;

/// Returns the results that a piece is made from; none if it has a key.
inline const std::vector<result_handle> &resultsOf(const piece_source &Source) {
  static const std::vector<result_handle> None;
  const piece_inputs *Inputs = std::get_if<piece_inputs>(&Source);
  return Inputs ? Inputs->Results : None;
}

/// Pieces of one stage of one request.
struct piece_job {
  piece_job_id Job;
  caller_request_id Request;
  pool_id Pool;
  /// Index of the stage in its route.
  std::uint32_t Stage = 0;
  std::vector<std::uint32_t> Pieces;
  /// The same whenever the job is submitted: a stage whose inputs are made
  /// again gets another job.
  piece_source Source;
  /// Time left until the request's deadline.
  core_duration DeadlineIn{0};
  /// Time left to start this stage for the response to be on time; negative if
  /// it will be late.
  core_duration StartBy{0};
  std::uint32_t Priority = 0;
  workspace_id Workspace;
  /// Approximate size of one result.
  std::uint64_t ResultBytes = 0;
  /// Zone in which the results are needed; empty for any zone.
  zone_id NearZone;
  /// Zone that holds most of the inputs, and their total size.
  zone_id InputZone;
  std::uint64_t InputBytes = 0;
  /// Zone whose servers the queue serves; empty for all servers of the pool.
  zone_id QueueZone;

  bool operator==(const piece_job &) const = default;
};

/// Number of priority classes for which waits are reported separately.
inline constexpr std::size_t UrgencyRanks = 3;
template <typename Value> using by_urgency = std::array<Value, UrgencyRanks>;

/// The last class includes all lower priorities.
constexpr std::size_t urgencyRank(std::uint32_t Priority) {
  return Priority < UrgencyRanks ? Priority : UrgencyRanks - 1;
}

/// A workspace that wants more than its share.
struct over_share {
  workspace_id Workspace;
  std::uint32_t Rank = 0;
  bool operator==(const over_share &) const = default;
};

/// Expected queue waits of a job.
struct queue_wait {
  /// If it can be on time: behind all other such jobs of equal or higher
  /// urgency.
  by_urgency<core_duration> OnTime{};
  /// If it will be late: behind all jobs that can be on time, and late ones of
  /// equal or higher urgency.
  by_urgency<core_duration> Late{};
  /// Recent average call time; zero if there were no calls.
  core_duration Call{0};
  /// Time that the servers need for the pieces of this class and of more urgent
  /// ones in the demand forecasts of hosts.
  by_urgency<core_duration> Planned{};
  /// Workspaces that want more than their share while others wait, each with
  /// the urgency rank of that work. Empty if all can be on time.
  std::vector<over_share> OverShare;

  bool operator==(const queue_wait &) const = default;
};

struct completed_piece {
  std::uint32_t Piece = 0;
  result_handle Result;
  /// Zone of the server that stores the result.
  zone_id Zone;

  bool operator==(const completed_piece &) const = default;
};

enum class piece_failure {
  /// A result that is an input of the piece no longer exists.
  InputGone,
  /// The piece could not be completed before its deadline.
  Late,
  /// Several backend servers failed to execute the piece, or there is none.
  NotMade,
  /// Another host owns the queue now; no call has started.
  OwnerChanged,
};

/// One piece in a call to a backend server.
struct batch_item {
  caller_request_id Request;
  std::uint32_t Stage = 0;
  std::uint32_t Piece = 0;
  piece_source Source;
  core_duration TimeLeft{0};
};

/// Load report of a batching backend server.
struct pieces_load {
  /// A call is being executed.
  bool Busy = false;
  /// Number of calls queued behind it.
  std::uint32_t Waiting = 0;
  /// Free capacity for results.
  std::uint64_t FreeBytes = 0;
};

enum class batch_item_problem { Late, InputGone, NoCapacity, Error };

/// Result of one piece in a call, or the reason why there is none.
struct batch_item_result {
  result_handle Result;
  batch_item_problem Problem = batch_item_problem::Error;
  bool succeeded() const { return !Result.empty(); }
};

} // namespace jasminecroft
