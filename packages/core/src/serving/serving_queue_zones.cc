// Zones of the queues that the stages of a request are submitted to, from the
// waits that the owners of these queues reported.
#include "serving_state.h"

#include <algorithm>
#include <xxhash.h>

namespace jasminecroft {

namespace {

/// Pools with more servers than this have one queue per zone.
constexpr std::size_t MaxServersPerQueue = 8;
/// Work whose bytes cost more than this when they cross zones leaves its zone
/// only in part, and later than other work. About the wait that differs between
/// zones by chance.
constexpr core_duration LowTransferDelay = std::chrono::milliseconds(60);

} // namespace

using namespace detail;

// Sets the zone of the queue for a stage. Small pools have one queue. Large
// pools have one per zone, so that the load of an owner and the work affected
// by its failure do not grow with the fleet. Emptied zones have none. Work of
// few bytes always goes where the wait is shortest.
void serving_impl::chooseQueueZone(active_request &State, std::size_t Stage) {
  const route_stage &Plan = State.Route->Stages[Stage];
  zone_decision Decision;
  std::vector<backend_state *> Usable = Servers.usable(Plan.Pool, Now);
  std::map<zone_id, std::size_t> ServersIn;
  if (Usable.size() > MaxServersPerQueue)
    for (const backend_state *Server : Usable)
      if (!Emptied.isEmptied(Server->Entry.Zone))
        ++ServersIn[Server->Entry.Zone];
  if (!ServersIn.empty()) {
    zone_query Query;
    for (const std::pair<const zone_id, std::size_t> &Entry : ServersIn)
      Query.Zones.push_back(
          {Entry.first, zoneReport(State, Stage, Entry.first, Entry.second)});
    Query.Near = inputZone(State);
    Query.Bytes = Plan.ResultBytes * State.Request.Pieces[Stage];
    for (std::uint32_t Before : Plan.After)
      Query.Bytes += State.Route->Stages[Before].ResultBytes *
                     State.Request.Pieces[Before];
    bool Together =
        State.View->Competing && transferDelay(Query.Bytes) > LowTransferDelay;
    if (Together) {
      Query.StartIn = State.GoalAt - Now - callTime(State, Stage) -
                      remainingTimeAfter(State, Stage);
      const std::string &Id = State.Request.CallerId.Value;
      Query.Spread = XXH3_64bits_withSeed(Id.data(), Id.size(), Stage);
    }
    Decision = Together ? chooseZoneTogether(Query) : chooseShortestZone(Query);
  }
  State.Stages[Stage].QueueZone = Decision.Zone;
  State.Stages[Stage].QueueReason =
      ServersIn.size() > 1 ? Decision.Reason : zone_reason::OnlyQueue;
}

std::optional<queue_report>
serving_impl::zoneReport(const active_request &State, std::size_t Stage,
                         const zone_id &Zone, std::size_t ServerCount) const {
  const pool_id &Pool = State.Route->Stages[Stage].Pool;
  auto Known = Waits.find({Pool, Zone});
  if (Known == Waits.end())
    return std::nullopt;
  queue_report Report;
  Report.Age = Now - Known->second.At;
  const queue_wait &Wait = Known->second.Wait;
  std::size_t Rank = urgencyRank(State.Priority);
  Report.Wait = Wait.OnTime[Rank];
  Report.AllWait = Wait.OnTime.back();
  auto Sent = SentPieces.find({Pool, Zone});
  auto Rules = State.View->Config->Pools.find(Pool);
  if (Sent == SentPieces.end() || Rules == State.View->Config->Pools.end() ||
      !Rules->second.Batches)
    return Report;
  std::size_t PerCall = std::max(Rules->second.Batches->MaxPieces, 1U);
  double Pieces = static_cast<double>(Sent->second - Known->second.Sent);
  Report.OwnWork = scaled(expectedCallTime(*Rules->second.Batches, PerCall),
                          Pieces / static_cast<double>(PerCall * ServerCount));
  return Report;
}

// Counts the pieces of a job that is being submitted. If the owner has the job
// already, its answer includes them.
void serving_impl::noteSent(job_state &Job, const active_request &State) {
  std::uint64_t &Sent =
      SentPieces[{State.Route->Stages[Job.Stage].Pool, Job.QueueZone}];
  Job.SentBefore = Sent;
  if (!Job.Counted)
    Sent += State.Request.Pieces[Job.Stage];
  Job.Counted = true;
}

std::string serving_impl::describeQueues(const active_request &State) {
  std::string Text;
  for (const stage_state &Stage : State.Stages) {
    Text += Text.empty() ? "" : "/";
    Text += Stage.QueueZone.Value + ":";
    Text += toText(Stage.QueueReason);
  }
  return Text;
}

} // namespace jasminecroft
