// Attempts of stage calls in flight, by id. An answer for an id that is not in
// the table is late, repeated or belongs to no attempt of this run.
#pragma once

#include "jasminecroft/core/detail/core_context.h"
#include "jasminecroft/core/detail/stream_assembler.h"

#include <map>
#include <optional>

namespace jasminecroft::detail {

/// An attempt in flight.
struct running_attempt {
  request_id Request;
  backend_id Backend;
  /// Position in the stream; absent for attempts that aren't streamed.
  std::optional<stream_source> Stream;
};

/// Attempts in flight and counters of stale answers.
class attempt_table {
public:
  explicit attempt_table(core_context &Context) : Context(Context) {}

  void add(attempt_id Attempt, running_attempt Running) {
    Attempts.emplace(Attempt, std::move(Running));
  }
  /// Returns the attempt, or null if it has ended or is unknown.
  running_attempt *find(attempt_id Attempt);
  /// Counts and logs an answer of an attempt that has ended or is unknown.
  void countLateAnswer(attempt_id Attempt);
  /// Removes and returns the attempt; absent if it has ended or is unknown.
  std::optional<running_attempt> remove(attempt_id Attempt);
  /// Counts a piece that is repeated, late or belongs to no stream.
  void countStalePiece() { ++StalePieces; }

  std::uint64_t lateAnswers() const { return LateAnswers; }
  std::uint64_t stalePieces() const { return StalePieces; }

private:
  core_context &Context;
  std::map<attempt_id, running_attempt> Attempts;
  std::uint64_t LateAnswers = 0;
  std::uint64_t StalePieces = 0;
};

} // namespace jasminecroft::detail
