// Pieces of stages: what one host asks another to have made, and what comes
// back.
#pragma once

#include "jasminecroft/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminecroft {

/// The id that the caller gave its request; unique for each try of a caller.
using caller_request_id = strong_text<struct caller_request_tag>;
/// Number of a job, unique within one run of the host that asks.
using piece_job_id = strong_number<struct piece_job_tag>;
/// A result at the backend server that made it: "IP:port/name".
using result_handle = strong_text<struct result_handle_tag>;

/// Pieces of one stage of one request.
struct piece_job {
  piece_job_id Job;
  caller_request_id Request;
  pool_id Pool;
  /// Index of the stage in its route.
  std::uint32_t Stage = 0;
  std::vector<std::uint32_t> Pieces;
  /// What the pieces are made from in a stage that needs no other.
  std::string Key;
  /// Results that the pieces are made from in all other stages.
  std::vector<result_handle> Inputs;
  /// Time left until the request's deadline.
  core_duration DeadlineIn{0};
  /// Time left until this stage has to begin for the answer to be on time;
  /// negative if it will be late.
  core_duration StartBy{0};
  std::uint32_t Priority = 0;
  workspace_id Workspace;
  /// Approximate size of one result.
  std::uint64_t ResultBytes = 0;
  /// Where the results are wanted; empty: anywhere.
  zone_id NearZone;
  /// Where most of the inputs lie, and their size.
  zone_id InputZone;
  std::uint64_t InputBytes = 0;
  /// Zone whose servers the queue is for; empty: all servers of the pool.
  zone_id QueueZone;

  bool operator==(const piece_job &) const = default;
};

/// Ranks of urgency that waits are told apart by.
inline constexpr std::size_t UrgencyRanks = 3;
template <typename Value> using by_urgency = std::array<Value, UrgencyRanks>;

/// The least urgent rank takes all priorities from there on.
constexpr std::size_t urgencyRank(std::uint32_t Priority) {
  return Priority < UrgencyRanks ? Priority : UrgencyRanks - 1;
}

/// How long a job is expected to wait in a queue.
struct queue_wait {
  /// If it can be on time: behind all others that can and are as urgent.
  by_urgency<core_duration> OnTime{};
  /// If it will be late: behind all others.
  core_duration Late{0};
  /// What calls have taken lately; zero if there were none.
  core_duration Call{0};
  /// Time that the servers need for pieces of this urgency or more that hosts
  /// are about to ask for.
  by_urgency<core_duration> Planned{};

  bool operator==(const queue_wait &) const = default;
};

struct completed_piece {
  std::uint32_t Piece = 0;
  result_handle Result;
  /// Where the result lies.
  zone_id Zone;

  bool operator==(const completed_piece &) const = default;
};

enum class piece_failure {
  /// A result that the piece needs no longer exists.
  InputGone,
  /// It could not be made in time.
  Late,
  /// Several backend servers failed to make it, or there is none.
  NotMade,
  /// Another host owns the queue now; no call has begun.
  OwnerChanged,
};

/// One piece as a backend server is asked for it.
struct batch_item {
  caller_request_id Request;
  std::uint32_t Stage = 0;
  std::uint32_t Piece = 0;
  std::string Key;
  std::vector<result_handle> Inputs;
  core_duration TimeLeft{0};
};

/// What a backend server says of its work on pieces.
struct pieces_load {
  /// A call is being worked on.
  bool Busy = false;
  /// Calls that wait behind it.
  std::uint32_t Waiting = 0;
  /// Room for results that is not taken.
  std::uint64_t FreeBytes = 0;
};

enum class batch_item_problem { Late, InputGone, NoCapacity, Error };

/// What a backend server says of one piece: a result or a problem.
struct batch_item_result {
  result_handle Result;
  batch_item_problem Problem = batch_item_problem::Error;
  bool succeeded() const { return !Result.empty(); }
};

} // namespace jasminecroft
