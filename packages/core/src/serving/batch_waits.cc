// Estimates of the waits in batching queues.
#include "jasminecroft/core/serving/batch_owner.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Age up to which the expected wait of a long queue is told again: one job
/// more changes it little.
constexpr core_duration WaitLifetime = milliseconds(20);
/// Jobs whose inputs have waited longer go before all others: about a third of
/// the lifetime of results.
constexpr core_duration MaxInputWait = milliseconds(1'200);
/// Lifetime of a host's demand forecast: about the time that the earlier
/// stages of its requests take.
constexpr core_duration ForecastLifetime = milliseconds(1'500);
/// A workspace counts as over its share from this multiple of it: less is the
/// chance of a few jobs.
constexpr double OverShareMargin = 1.5;
/// Workspaces over their share that are told to hosts, the most urgent first.
constexpr std::size_t MaxOverShare = 64;
/// Wait reported when no server of the pool is known.
constexpr core_duration NoServerWait = std::chrono::hours(1);

} // namespace

wait_estimator
batch_owner::makeWaitEstimator(const queue_key &Key,
                               const std::vector<planned_server> &Servers) {
  const batch_rules &Rules = Pools[Key.Pool];
  double Full = Queues[Key].FullCall;
  std::size_t PerCall =
      Full > 0 ? static_cast<std::size_t>(std::lround(Full)) : Rules.MaxPieces;
  core_duration Call =
      expectedCallTime(Rules, std::max<std::size_t>(PerCall, 1));
  std::vector<wait_estimator::server> Speeds;
  Speeds.reserve(Servers.size());
  for (const planned_server &Server : Servers)
    Speeds.push_back({Server.FreeIn, scaled(Call, Server.Slowness)});
  return {std::move(Speeds), PerCall, Call};
}

// Returns the jobs of a queue as input of the ordering.
std::vector<waiting_job> batch_owner::waitingJobs(const queue_key &Key,
                                                  core_time Now) {
  std::vector<waiting_job> Result;
  by_urgency<share_demands> Recent;
  for (std::size_t Rank = 0; Rank < UrgencyRanks; ++Rank)
    Recent[Rank] = Queues[Key].Shares[Rank].recent(Now);
  for (const job_key &Id : queue(Key)) {
    const job_state &Job = Jobs.at(Id);
    waiting_job Waiting;
    Waiting.StartIn = Job.StartBy - Now;
    Waiting.DeadlineIn = Job.Deadline - Now;
    Waiting.Pieces = Job.Waiting.size();
    Waiting.Priority = Job.Job.Priority;
    Waiting.HasProgress = !resultsOf(Job.Job.Source).empty() ||
                          Job.Missing < Job.Job.Pieces.size();
    Waiting.Expedited =
        !resultsOf(Job.Job.Source).empty() && Now - Job.Arrived > MaxInputWait;
    Waiting.Workspace = Job.Job.Workspace;
    const share_demands &Known = Recent[urgencyRank(Job.Job.Priority)];
    auto Share = Known.find(Waiting.Workspace);
    if (Share != Known.end()) {
      Waiting.RecentPieces = Share->second.Work;
      Waiting.Weight = Share->second.Weight;
    }
    Result.push_back(std::move(Waiting));
  }
  return Result;
}

// Returns the workspaces above the level up to which recent work and the jobs
// that can be on time would be shared, for each rank in which a job is late.
std::vector<over_share>
batch_owner::findOverShare(const queue_key &Key,
                           const std::vector<waiting_job> &Waiting,
                           const queue_order &Order, core_time Now) {
  std::vector<over_share> Result;
  if (Order.OnTime == Order.Jobs.size())
    return Result;
  for (std::uint32_t Rank = 0; Rank < UrgencyRanks; ++Rank) {
    share_demands Demands = Queues[Key].Shares[Rank].recent(Now);
    double Capacity = 0;
    for (const share_demands::value_type &Entry : Demands)
      Capacity += Entry.second.Work;
    for (std::size_t Place = 0; Place < Order.Jobs.size(); ++Place) {
      const waiting_job &Job = Waiting[Order.Jobs[Place]];
      if (urgencyRank(Job.Priority) != Rank)
        continue;
      double Pieces = static_cast<double>(Job.Pieces);
      Demands[Job.Workspace].Work += Pieces;
      Capacity += Place < Order.OnTime ? Pieces : 0;
    }
    if (Demands.size() < 2)
      continue;
    double Level = shareLevel(Demands, Capacity);
    for (const share_demands::value_type &Entry : Demands)
      if (Entry.second.Work > OverShareMargin * Level * Entry.second.Weight &&
          Result.size() < MaxOverShare)
        Result.push_back({Entry.first, Rank});
  }
  return Result;
}

queue_wait batch_owner::expectedWait(const pool_id &Pool, const zone_id &Zone,
                                     core_time Now) {
  if (!Pools.contains(Pool))
    return {};
  queue_key Key{Pool, Zone};
  queue_state &Queue = Queues[Key];
  if (Queue.Jobs.size() >= LongQueue && Now - Queue.WaitAt < WaitLifetime)
    return Queue.Wait;
  queue_wait Result;
  std::vector<planned_server> Planned = planServers(Key, Now);
  if (Planned.empty()) {
    Result.OnTime.fill(NoServerWait);
    Result.Late.fill(NoServerWait);
    return Result;
  }
  wait_estimator Estimator = makeWaitEstimator(Key, Planned);
  const std::vector<waiting_job> Waiting = waitingJobs(Key, Now);
  queue_order Order = orderQueue(Waiting, Estimator);
  std::size_t AllOnTime = 0;
  by_urgency<std::size_t> Before{};
  by_urgency<std::size_t> LateBefore{};
  for (std::size_t Place = 0; Place < Order.Jobs.size(); ++Place) {
    const waiting_job &Job = Waiting[Order.Jobs[Place]];
    bool OnTime = Place < Order.OnTime;
    (OnTime ? Before : LateBefore)[urgencyRank(Job.Priority)] += Job.Pieces;
    AllOnTime += OnTime ? Job.Pieces : 0;
  }
  std::size_t Ahead = 0;
  std::size_t AheadOfLate = AllOnTime;
  std::size_t ForecastPieces = 0;
  for (std::size_t Rank = 0; Rank < UrgencyRanks; ++Rank) {
    Ahead += Before[Rank];
    for (const std::pair<const entry_host_id, queue_state::forecast> &Host :
         Queues[Key].Forecasts)
      if (Now - Host.second.At < ForecastLifetime)
        ForecastPieces += Host.second.Pieces[Rank];
    Result.OnTime[Rank] = Estimator.waitBehind(Ahead);
    Result.Planned[Rank] =
        Estimator.waitBehind(Ahead + ForecastPieces) - Result.OnTime[Rank];
    AheadOfLate += LateBefore[Rank];
    Result.Late[Rank] = Estimator.waitBehind(AheadOfLate);
  }
  Result.Call =
      core_duration(static_cast<std::int64_t>(Queues[Key].CallMicros));
  Result.OverShare = findOverShare(Key, Waiting, Order, Now);
  Queue.Wait = Result;
  Queue.WaitAt = Now;
  return Result;
}

void batch_owner::onDemandForecast(const entry_host_id &Host,
                                   const pool_id &Pool, const zone_id &Zone,
                                   const by_urgency<std::uint32_t> &Pieces,
                                   core_time Now) {
  if (Pools.contains(Pool))
    Queues[{Pool, Zone}].Forecasts[Host] = {Pieces, Now};
}

} // namespace jasminecroft
