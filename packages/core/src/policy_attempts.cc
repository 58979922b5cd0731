// Attempts of the scheduler's work: hedges, probes, retries, observations.
#include "jasminecroft/core/detail/policy_scheduler.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

/// Pause of a server after a failure; doubled with each further one.
constexpr core_duration FirstPause{50'000};
constexpr std::uint32_t MostPauseDoublings = 4;
constexpr core_duration FirstProbePause{500'000};
constexpr core_duration LongestProbePause{8'000'000};
/// Probes are short calls, so that they cost little.
constexpr core_duration LongestProbe{1'500'000};
/// An overdue attempt is looked at again after this part of its time so far.
constexpr double OverdueAgain = 0.5;
constexpr std::uint32_t MostRunning = 2;
/// Added to both sides of a ratio, so that the network's share of short calls
/// does not count as slowness.
constexpr core_duration RatioFloor{10'000};

double ratio(core_duration Took, core_duration Estimate) {
  return static_cast<double>((Took + RatioFloor).count()) /
         static_cast<double>((Estimate + RatioFloor).count());
}

} // namespace

// A server left alone for slowness is tried beside a healthy one, with work
// that may be repeated, so that the caller does not wait for the answer.
void policy_scheduler::offerProbe(const item_state &State, core_time Now) {
  if (!State.Item.Repeatable || State.Estimate.Median > LongestProbe ||
      !State.Estimate.Observed || State.Started > 0)
    return;
  for (replica_record *Replica : Table.replicas(State.Item.Pool, Now).All) {
    if (!Replica->OwnZone || Replica->Slowness < SlowServerThreshold ||
        Replica->NextProbe > Now || Replica->Own > 0 ||
        State.Item.Avoid.contains(Replica->View.Backend))
      continue;
    Replica->ProbePause =
        std::clamp(Replica->ProbePause * 2, FirstProbePause, LongestProbePause);
    Replica->NextProbe = Now + Replica->ProbePause;
    DueSeconds.push_back({State.Item.Work, Replica->View.Backend});
    return;
  }
}

std::optional<dispatch_decision> policy_scheduler::nextSecond(core_time Now) {
  while (!DueSeconds.empty()) {
    due_second Due = DueSeconds.back();
    DueSeconds.pop_back();
    auto Found = Items.find(Due.Work);
    if (Found == Items.end())
      continue;
    item_state &State = Found->second;
    if (State.Running == 0 || State.Running >= MostRunning ||
        State.Started >= MaxAttempts)
      continue;
    pool_state &Pool = poolState(State.Item.Pool);
    // A second attempt must not take the slot of a first one.
    if (Pool.Short->size() > 0)
      continue;
    replica_record *Replica = Due.Target.empty()
                                  ? replicaFor(State, Pool, true, Now)
                                  : Table.find(Due.Target);
    if (!Replica || !Pool.Budget->spend(State.Estimate.work()))
      continue;
    return decide(State, *Replica, true);
  }
  return std::nullopt;
}

// An overdue attempt tells that its server is slow before it ends, and makes
// a hedge due.
void policy_scheduler::noticeOverdue(core_time Now) {
  while (!Overdue.empty() && Overdue.begin()->first <= Now) {
    attempt_id Id = Overdue.begin()->second;
    Overdue.erase(Overdue.begin());
    attempt_state &Attempt = Attempts.at(Id);
    core_duration Elapsed = Now - Attempt.StartedAt;
    Table.observeAtLeast(Attempt.Backend, ratio(Elapsed, Attempt.Expected));
    Attempt.OverdueAt =
        Now +
        std::max(core_duration(1'000),
                 core_duration(static_cast<std::int64_t>(
                     OverdueAgain * static_cast<double>(Elapsed.count()))));
    Overdue.emplace(*Attempt.OverdueAt, Id);
    auto Found = Items.find(Attempt.Work);
    if (Found == Items.end() || !Found->second.Item.Repeatable)
      continue;
    const item_state &State = Found->second;
    if (Now + State.Estimate.Low + State.LowAhead <= State.Item.Deadline)
      DueSeconds.push_back({Attempt.Work, backend_id()});
  }
}

// The estimate, longer where the call has to wait for a slot at the server.
core_duration policy_scheduler::expectedTime(const item_state &State,
                                             const backend_id &Backend) {
  const replica_record *Replica = Table.find(Backend);
  double Median = static_cast<double>(State.Estimate.Median.count());
  if (Replica) {
    double Load = Replica->Own + 1 + Replica->Others;
    Median *= std::max(1.0, Load / Replica->View.Slots);
  }
  return core_duration(static_cast<std::int64_t>(Median));
}

void policy_scheduler::onStarted(work_id Work, const backend_id &Backend,
                                 attempt_id Attempt, core_time Now) {
  auto Found = Items.find(Work);
  if (Found == Items.end())
    return;
  item_state &State = Found->second;
  pool_state &Pool = poolState(State.Item.Pool);
  attempt_state &Started = Attempts[Attempt];
  Started.Work = Work;
  Started.Item = State.Item;
  Started.Backend = Backend;
  Started.StartedAt = Now;
  Started.Expected = expectedTime(State, Backend);
  Started.Observed = State.Estimate.Observed;
  Started.Long = State.Long;
  Started.Second = State.Started > 0;
  if (!Started.Second)
    Pool.Budget->onFirstAttempt(State.Estimate.work());
  ++State.Started;
  ++State.Running;
  State.Item.Avoid.insert(Backend);
  ++(State.Long ? Pool.LongRunning : Pool.ShortRunning);
  Table.onStarted(Backend, State.Long);
  std::optional<core_duration> After =
      Parts.Hedges->overdueAfter(State.Estimate);
  if (!After)
    return;
  Started.OverdueAt = Now + *After;
  Overdue.emplace(*Started.OverdueAt, Attempt);
}

void policy_scheduler::onEnded(attempt_id Attempt, attempt_result Result,
                               core_time Now) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  attempt_state Ended = std::move(Found->second);
  Attempts.erase(Found);
  if (Ended.OverdueAt)
    Overdue.erase({*Ended.OverdueAt, Attempt});
  pool_state &Pool = poolState(Ended.Item.Pool);
  --(Ended.Long ? Pool.LongRunning : Pool.ShortRunning);
  Table.onEnded(Ended.Backend, Ended.Long);
  auto Item = Items.find(Ended.Work);
  item_state *State = Item == Items.end() ? nullptr : &Item->second;
  if (State) {
    --State->Running;
    State->Refused = Result == attempt_result::Refused;
    State->Done |= Result == attempt_result::Succeeded;
  }
  Ledger.add(Ended.Item.Workspace, Ended.Item.Stage, fateOf(State, Result),
             Now - Ended.StartedAt);
  observeEnd(Ended, Result, Now);
}

void policy_scheduler::observeEnd(const attempt_state &Attempt,
                                  attempt_result Result, core_time Now) {
  core_duration Took = Now - Attempt.StartedAt;
  double Ratio = Attempt.Observed ? ratio(Took, Attempt.Expected) : 0;
  replica_record *Replica = Table.find(Attempt.Backend);
  switch (Result) {
  case attempt_result::Succeeded:
    Parts.Estimator->observe(Attempt.Item, Took, Now);
    Table.observe(Attempt.Backend, Ratio);
    if (!Replica)
      return;
    Replica->ConsecutiveFailures = 0;
    if (Replica->Slowness < SlowServerThreshold)
      Replica->ProbePause = core_duration::zero();
    return;
  case attempt_result::Cancelled:
  case attempt_result::TimedOut:
    Table.observeAtLeast(Attempt.Backend, Ratio);
    return;
  case attempt_result::Failed:
  case attempt_result::Refused:
    if (Replica)
      pauseAfterFailure(*Replica, Now);
    Table.markStale(Attempt.Item.Pool);
    return;
  }
}

void policy_scheduler::pauseAfterFailure(replica_record &Replica,
                                         core_time Now) {
  std::uint32_t Doublings =
      std::min(Replica.ConsecutiveFailures, MostPauseDoublings);
  Replica.PausedUntil = Now + FirstPause * (1 << Doublings);
  ++Replica.ConsecutiveFailures;
}

attempt_fate policy_scheduler::fateOf(const item_state *Item,
                                      attempt_result Result) {
  switch (Result) {
  case attempt_result::Succeeded:
    return attempt_fate::Done;
  case attempt_result::Cancelled:
    return Item && Item->Done ? attempt_fate::Hedged : attempt_fate::GivenUp;
  case attempt_result::Failed:
  case attempt_result::TimedOut:
  case attempt_result::Refused:
    return attempt_fate::Lost;
  }
  return attempt_fate::Lost;
}

bool policy_scheduler::mayRetry(work_id Work, core_time Now) {
  auto Found = Items.find(Work);
  if (Found == Items.end())
    return false;
  item_state &State = Found->second;
  if (State.Started >= MaxAttempts || State.GiveUpAt <= Now)
    return false;
  return State.Refused ||
         poolState(State.Item.Pool).Budget->spend(State.Estimate.work());
}

void policy_scheduler::requeue(work_id Work, const backend_id &Avoid,
                               core_time) {
  auto Found = Items.find(Work);
  if (Found == Items.end())
    return;
  Found->second.Item.Avoid.insert(Avoid);
  enqueue(Found->second);
}

} // namespace jasminecroft::detail
