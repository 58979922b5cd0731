// Adds up the waits and calls along the stages of a request.
#include "jasminecroft/core/serving/way_plan.h"

#include <algorithm>
#include <xxhash.h>

namespace jasminecroft {

namespace {

/// Part of the time until there is room over which callers return.
constexpr int ReturnSpreadDivisor = 2;
/// A workspace above its share is refused from half the wait, so that the queue
/// does not become too long for the others.
constexpr core_duration MaxOverShareWait = MaxLateQueueWait / 2;

} // namespace

std::string_view toText(way_decision Decision) {
  switch (Decision) {
  case way_decision::Start:
    return "start";
  case way_decision::StartLate:
    return "start_late";
  case way_decision::Refuse:
    return "refuse";
  }
  return "refuse";
}

std::string_view toText(share_standing Standing) {
  switch (Standing) {
  case share_standing::Undisputed:
    return "undisputed";
  case share_standing::Within:
    return "within";
  case share_standing::Over:
    return "over";
  }
  return "over";
}

namespace {

share_standing standing(const queue_wait &Wait, std::size_t Rank,
                        const workspace_id &Workspace) {
  share_standing Result = share_standing::Undisputed;
  for (const over_share &Entry : Wait.OverShare) {
    if (Entry.Rank != Rank)
      continue;
    if (Entry.Workspace == Workspace)
      return share_standing::Over;
    Result = share_standing::Within;
  }
  return Result;
}

} // namespace

way_plan planWay(const way_query &Query) {
  way_plan Plan;
  std::size_t Rank = urgencyRank(Query.Priority);
  constexpr core_duration None{0};
  std::vector<core_duration> Ends;
  Ends.reserve(Query.Stages.size());
  for (const way_stage &Stage : Query.Stages) {
    core_duration Start = None;
    for (std::uint32_t Before : Stage.After)
      if (Before < Ends.size())
        Start = std::max(Start, Ends[Before]);
    Ends.push_back(Start);
    Plan.Waits.push_back(None);
    if (!Stage.HasPieces)
      continue;
    core_duration Planned =
        Stage.After.empty() ? None : Stage.Wait.Planned[Rank];
    core_duration OnTime =
        std::max(None, Stage.Wait.OnTime[Rank] + Planned - Start);
    core_duration Late =
        std::max(None, Stage.Wait.Late.back() + Planned - Start);
    Ends.back() = Start + OnTime + Stage.Call;
    Plan.Waits.back() = OnTime;
    share_standing Standing = standing(Stage.Wait, Rank, Query.Workspace);
    Plan.Standing = std::max(Plan.Standing, Standing);
    Plan.LateWait = std::max(Plan.LateWait, Late);
    Plan.Needed = std::max(Plan.Needed, Ends.back());
  }
  Plan.Needed += Query.FirstByte;
  if (Plan.Needed <= Query.AimIn)
    Plan.Decision = way_decision::Start;
  else if (Plan.LateWait < (Plan.Standing == share_standing::Over
                                ? MaxOverShareWait
                                : MaxLateQueueWait))
    Plan.Decision = way_decision::StartLate;
  else
    Plan.Decision = way_decision::Refuse;
  return Plan;
}

core_duration spreadReturn(const caller_request_id &Id, core_duration RoomIn) {
  core_duration Spread = RoomIn / ReturnSpreadDivisor;
  if (Spread <= core_duration{0})
    return RoomIn;
  std::uint64_t Point = XXH3_64bits(Id.Value.data(), Id.Value.size());
  return RoomIn + core_duration(static_cast<std::int64_t>(
                      Point % static_cast<std::uint64_t>(Spread.count())));
}

} // namespace jasminecroft
