// Joins queues, limits, choice of servers, hedges and admission.
#include "jasminecroft/core/detail/policy_scheduler.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft::detail {

namespace {

/// Time for which slots are kept for short work after the last such call.
constexpr core_duration ShortMemory{10'000'000};
constexpr core_duration LookAgainAfter{25'000};
constexpr core_duration WorkspaceRetryAfter{1'000'000};
constexpr core_duration ShortestComeBack{200'000};
constexpr core_duration LongestComeBack{10'000'000};
/// Share of the running slots that long work has before short work.
constexpr double LongGuarantee = 0.25;
constexpr double PermillePerOne = 1'000;

} // namespace

policy_scheduler::policy_scheduler(policy_parts Parts,
                                   const replica_directory &Directory,
                                   const zone_id &Zone, std::uint64_t Seed)
    : Directory(Directory), Parts(std::move(Parts)),
      Table(Directory, Zone, Seed) {}

void policy_scheduler::configure(const fleet_config &NewConfig) {
  Config = NewConfig;
  MaxAttempts = static_cast<std::uint32_t>(
      settingValue(Config, setting_key::MaxAttempts, {}));
  for (std::pair<const pool_id, pool_state> &Entry : Pools)
    configurePool(Entry.first, Entry.second);
}

policy_scheduler::pool_state &policy_scheduler::poolState(const pool_id &Pool) {
  auto Found = Pools.find(Pool);
  if (Found != Pools.end())
    return Found->second;
  pool_state &State = Pools[Pool];
  State.Short = Parts.MakeQueue();
  State.Long = Parts.MakeQueue();
  State.Budget = Parts.MakeBudget();
  configurePool(Pool, State);
  return State;
}

void policy_scheduler::configurePool(const pool_id &Pool,
                                     pool_state &State) const {
  setting_context Where;
  Where.Pool = Pool;
  State.LongFrom = std::chrono::milliseconds(
      settingValue(Config, setting_key::LongWorkMs, Where));
  State.LongShare = static_cast<double>(settingValue(
                        Config, setting_key::LongWorkSharePermille, Where)) /
                    PermillePerOne;
  State.MaySpill = settingValue(Config, setting_key::SpillAllowed, Where) != 0;
  State.MaxQueued = static_cast<std::size_t>(
      settingValue(Config, setting_key::PoolMaxQueued, Where));
  State.Budget->configure(
      static_cast<double>(
          settingValue(Config, setting_key::RetryBudgetPermille, Where)) /
      PermillePerOne);
  auto Definition = Config.Pools.find(Pool);
  State.CachesPrefixes = Definition != Config.Pools.end() &&
                         Definition->second.Kind == pool_kind::ModelEngine;
}

double policy_scheduler::weightOf(const workspace_id &Workspace,
                                  const pool_id &Pool) const {
  setting_context Where;
  Where.Workspace = Workspace;
  Where.Pool = Pool;
  return static_cast<double>(
      settingValue(Config, setting_key::WorkspaceWeight, Where));
}

core_duration policy_scheduler::lowAhead(const work_item &Item) const {
  auto Found = Config.Pipelines.find(Item.Pipeline);
  core_duration Sum{0};
  if (Found == Config.Pipelines.end())
    return Sum;
  bool After = false;
  for (const stage_definition &Stage : Found->second.Stages) {
    if (After)
      Sum +=
          Parts.Estimator->estimateAhead(Item.Pipeline, Stage.Name, Item).Low;
    After |= Stage.Name == Item.Stage;
  }
  return Sum;
}

void policy_scheduler::estimate(item_state &State) const {
  const work_item &Item = State.Item;
  State.Estimate = Parts.Estimator->estimate(Item);
  State.LowAhead = lowAhead(Item);
  State.GiveUpAt =
      Parts.Admission->giveUpAt(Item, State.Estimate, State.LowAhead);
  State.LatestStart = Item.Deadline - State.Estimate.Median - State.LowAhead;
}

std::vector<stage_outlook>
policy_scheduler::outlook(const work_item &Item,
                          const pipeline_definition &Pipeline,
                          core_time Deadline, core_time) {
  std::vector<stage_outlook> Stages;
  Stages.reserve(Pipeline.Stages.size());
  for (const stage_definition &Stage : Pipeline.Stages) {
    bool First = Stages.empty();
    work_estimate Estimate =
        First ? Parts.Estimator->estimate(Item)
              : Parts.Estimator->estimateAhead(Item.Pipeline, Stage.Name, Item);
    pool_state &Pool = poolState(Stage.Pool);
    bool Long = Parts.Partition->isLong(Estimate.Median, Pool.LongFrom);
    const work_queue &Queue = Long ? *Pool.Long : *Pool.Short;
    stage_outlook Outlook;
    Outlook.Low = Estimate.Low;
    if (Estimate.Observed)
      Outlook.Median = Estimate.Median;
    Outlook.Ahead = Queue.ahead(Item.Workspace, Deadline - Estimate.Median);
    double Running = Long ? Pool.LongRunning : Pool.ShortRunning;
    Outlook.Slots =
        std::max(1.0, Running) *
        Queue.share(Item.Workspace, weightOf(Item.Workspace, Stage.Pool));
    Stages.push_back(Outlook);
  }
  return Stages;
}

std::optional<rejection>
policy_scheduler::admit(const work_item &Item,
                        const pipeline_definition &Pipeline, core_time Deadline,
                        core_time Now) {
  if (limitReached(Item))
    return rejection{error_code::WorkspaceLimitReached, WorkspaceRetryAfter};
  return Parts.Admission->admit(outlook(Item, Pipeline, Deadline, Now),
                                Deadline - Now);
}

std::optional<rejection> policy_scheduler::submit(const work_item &Item,
                                                  core_time Now) {
  pool_state &Pool = poolState(Item.Pool);
  if (Pool.waiting() >= Pool.MaxQueued)
    return rejection{error_code::Overloaded, std::chrono::seconds(1)};
  item_state &State = Items[Item.Work];
  State.Item = Item;
  ++ItemsOf[Item.Workspace];
  estimate(State);
  State.Long = Parts.Partition->isLong(State.Estimate.Median, Pool.LongFrom);
  if (!State.Long)
    Pool.LastShort = Now;
  ByGiveUp.emplace(State.GiveUpAt, Item.Work);
  enqueue(State);
  return std::nullopt;
}

void policy_scheduler::enqueue(item_state &State) {
  pool_state &Pool = poolState(State.Item.Pool);
  queued_work Work;
  Work.Work = State.Item.Work;
  Work.Workspace = State.Item.Workspace;
  Work.Weight = weightOf(State.Item.Workspace, State.Item.Pool);
  Work.Estimate = State.Estimate.work();
  Work.LatestStart = State.LatestStart;
  (State.Long ? *Pool.Long : *Pool.Short).push(Work);
  Pool.WaitingMs += Work.Estimate.Value;
  State.Waiting = true;
}

void policy_scheduler::takeFromQueue(item_state &State) {
  if (!State.Waiting)
    return;
  pool_state &Pool = poolState(State.Item.Pool);
  (State.Long ? *Pool.Long : *Pool.Short).remove(State.Item.Work);
  Pool.WaitingMs -= State.Estimate.work().Value;
  State.Waiting = false;
}

void policy_scheduler::withdraw(work_id Work, core_time) {
  auto Found = Items.find(Work);
  if (Found == Items.end())
    return;
  takeFromQueue(Found->second);
  auto Count = ItemsOf.find(Found->second.Item.Workspace);
  if (--Count->second == 0)
    ItemsOf.erase(Count);
  ByGiveUp.erase({Found->second.GiveUpAt, Work});
  Items.erase(Found);
}

std::optional<dispatch_decision> policy_scheduler::nextDispatch(core_time Now) {
  noticeOverdue(Now);
  if (std::optional<dispatch_decision> Second = nextSecond(Now))
    return Second;
  bool Waits = false;
  for (std::pair<const pool_id, pool_state> &Entry : Pools) {
    pool_state &Pool = Entry.second;
    if (Pool.waiting() == 0)
      continue;
    Waits = true;
    bool LongFirst = longFirst(Pool);
    for (bool Long : {LongFirst, !LongFirst})
      if (std::optional<dispatch_decision> Decision =
              dispatchFrom(Entry.first, Pool, Long, Now))
        return Decision;
  }
  LookAgainAt.reset();
  if (Waits)
    LookAgainAt = Now + LookAgainAfter;
  return std::nullopt;
}

// Short work goes first, but long work keeps a part of the slots in use.
bool policy_scheduler::longFirst(const pool_state &State) const {
  if (State.Short->size() == 0)
    return true;
  double Running = State.ShortRunning + State.LongRunning;
  return State.Long->size() > 0 &&
         State.LongRunning < LongGuarantee * State.LongShare * 2 * Running;
}

std::optional<dispatch_decision>
policy_scheduler::dispatchFrom(const pool_id &, pool_state &State, bool Long,
                               core_time Now) {
  work_queue &Queue = Long ? *State.Long : *State.Short;
  std::optional<work_id> Work = Queue.front();
  if (!Work)
    return std::nullopt;
  item_state &Item = Items.at(*Work);
  replica_record *Replica = replicaFor(Item, State, false, Now);
  if (!Replica)
    return std::nullopt;
  Queue.popFront();
  State.WaitingMs -= Item.Estimate.work().Value;
  Item.Waiting = false;
  offerProbe(Item, Now);
  return decide(Item, *Replica, false);
}

replica_record *policy_scheduler::replicaFor(const item_state &State,
                                             pool_state &Pool, bool Second,
                                             core_time Now) {
  const pool_replicas &Replicas = Table.replicas(State.Item.Pool, Now);
  std::uint32_t Hosts = Table.liveEntryHosts();
  bool ShortLately = Pool.LastShort && Now - *Pool.LastShort < ShortMemory;
  long_work_view LongView{Replicas,    Pool.LongRunning,
                          Hosts,       Pool.Short->size() > 0,
                          ShortLately, Pool.LongShare};
  choice_request Request{
      State.Item,    State.Estimate.Median,          Replicas,
      Pool.MaySpill, Pool.CachesPrefixes && !Second, {}};
  Request.HasRoom = [&](const replica_record &Replica) {
    if (Replica.PausedUntil > Now)
      return false;
    if (!Parts.Limit->hasRoom(Replica, Replicas, Hosts))
      return false;
    return !State.Long || Parts.Partition->mayStart(Replica, LongView);
  };
  replica_record *Replica = Parts.Choice->choose(Request);
  if (Replica || State.Item.Avoid.size() < Replicas.All.size())
    return Replica;
  // Every server has failed this work once; any will do again.
  work_item Unrestricted = State.Item;
  Unrestricted.Avoid.clear();
  choice_request Again{
      Unrestricted, Request.Estimate, Request.Replicas, Request.MaySpill,
      false,        Request.HasRoom};
  return Parts.Choice->choose(Again);
}

dispatch_decision policy_scheduler::decide(const item_state &State,
                                           const replica_record &Replica,
                                           bool Hedge) const {
  work_priority Priority =
      State.Long ? work_priority::Batch : work_priority::Interactive;
  return {State.Item.Work, Replica.View, Priority, Hedge};
}

bool policy_scheduler::limitReached(const work_item &Item) const {
  auto Own = ItemsOf.find(Item.Workspace);
  std::uint64_t Count = Own == ItemsOf.end() ? 0 : Own->second;
  Count += Directory.demandElsewhere(Item.Workspace);
  setting_context Where;
  Where.Workspace = Item.Workspace;
  std::int64_t Most =
      settingValue(Config, setting_key::WorkspaceMaxInFlight, Where);
  return Count >= static_cast<std::uint64_t>(Most);
}

// What waits, over the slots that this host has in use.
core_duration policy_scheduler::comeBackAfter(const pool_id &Pool) const {
  auto Found = Pools.find(Pool);
  if (Found == Pools.end())
    return ShortestComeBack;
  const pool_state &State = Found->second;
  double Running = std::max(1U, State.ShortRunning + State.LongRunning);
  core_duration Wait(std::llround(State.WaitingMs * 1'000 / Running));
  return std::clamp(Wait, ShortestComeBack, LongestComeBack);
}

std::vector<work_id> policy_scheduler::expired(core_time Now) {
  std::vector<work_id> Late;
  std::vector<work_id> StillRunning;
  for (const std::pair<core_time, work_id> &Entry : ByGiveUp) {
    if (Entry.first > Now)
      break;
    const item_state &State = Items.at(Entry.second);
    if (State.Running == 0 || State.Item.Deadline <= Now)
      Late.push_back(Entry.second);
    else
      StillRunning.push_back(Entry.second);
  }
  // What runs already may still come in time.
  for (work_id Work : StillRunning) {
    item_state &State = Items.at(Work);
    ByGiveUp.erase({State.GiveUpAt, Work});
    State.GiveUpAt = State.Item.Deadline;
    ByGiveUp.emplace(State.GiveUpAt, Work);
  }
  return Late;
}

std::optional<core_time> policy_scheduler::nextWakeup() const {
  std::optional<core_time> Next = LookAgainAt;
  if (!ByGiveUp.empty() && (!Next || ByGiveUp.begin()->first < *Next))
    Next = ByGiveUp.begin()->first;
  if (!Overdue.empty() && (!Next || Overdue.begin()->first < *Next))
    Next = Overdue.begin()->first;
  return Next;
}

std::unique_ptr<work_scheduler>
makeSchedulerOf(policy_parts Parts, const replica_directory &Replicas,
                const zone_id &Zone, std::uint64_t Seed) {
  return std::make_unique<policy_scheduler>(std::move(Parts), Replicas, Zone,
                                            Seed);
}

} // namespace jasminecroft::detail
