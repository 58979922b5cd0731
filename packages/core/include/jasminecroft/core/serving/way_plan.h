// Decides on arrival whether a request is started: all its stages and its own
// call are planned before the first stage is requested. Pure functions.
#pragma once

#include "jasminecroft/core/serving/pieces.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminecroft {

/// Threshold of the expected queue wait above which late requests without any
/// results are shed; below it they start and wait.
inline constexpr core_duration MaxLateQueueWait = std::chrono::seconds(1);

/// One stage of a request that has arrived.
struct way_stage {
  /// Indexes of the stages whose results are inputs of this one; all smaller
  /// than its own.
  std::vector<std::uint32_t> After;
  /// False for a stage without pieces, which takes no time.
  bool HasPieces = true;
  /// As reported by the owner of its queue.
  queue_wait Wait;
  /// Expected duration of its call.
  core_duration Call{0};
};

/// How the request's workspace stands in a queue that cannot serve all.
enum class share_standing {
  /// No workspace wants more than its share.
  Undisputed,
  /// Others want more than their shares.
  Within,
  Over,
};

std::string_view toText(share_standing Standing);

struct way_query {
  std::vector<way_stage> Stages;
  /// Expected time from the last stage to the first byte of the response.
  core_duration FirstByte{0};
  /// Time left for the response to be on time.
  core_duration AimIn{0};
  std::uint32_t Priority = 0;
  workspace_id Workspace;
};

enum class way_decision {
  /// It is expected to be on time.
  Start,
  /// It will be late, but the queues on its way are short.
  StartLate,
  /// It would be late behind a long queue.
  Refuse,
};

std::string_view toText(way_decision Decision);

struct way_plan {
  way_decision Decision = way_decision::Start;
  /// Time to the first byte of the response if every stage is on time.
  core_duration Needed{0};
  /// Longest wait in any one queue for a request that will be late. A refused
  /// request finds room after it.
  core_duration LateWait{0};
  /// Expected wait in the queue of each stage.
  std::vector<core_duration> Waits;
  /// The worst of all queues.
  share_standing Standing = share_standing::Undisputed;
};

/// Work that hosts plan to submit to a later stage adds to its queue; the time
/// until the request reaches the stage, in which the servers drain the queue,
/// is subtracted. For being on time only equally and more urgent work counts;
/// all work makes a queue long, for a workspace above its share half as much.
way_plan planWay(const way_query &Query);

/// Returns a time after RoomIn, the same for each call with the same id. Times
/// of different ids are spread evenly over half of RoomIn, so that refused
/// callers do not return together.
core_duration spreadReturn(const caller_request_id &Id, core_duration RoomIn);

} // namespace jasminecroft
