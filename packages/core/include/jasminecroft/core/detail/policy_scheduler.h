// The scheduler that joins the parts of the policy. A restart loses what it
// has observed; it is learnt again within some tens of calls.
#pragma once

#include "jasminecroft/core/detail/cost_ledger.h"
#include "jasminecroft/core/detail/policy_parts.h"
#include "jasminecroft/core/detail/replica_table.h"

#include <map>
#include <set>
#include <unordered_map>

namespace jasminecroft::detail {

class policy_scheduler final : public work_scheduler {
public:
  policy_scheduler(policy_parts Parts, const replica_directory &Directory,
                   const zone_id &Zone, std::uint64_t Seed);

  void configure(const fleet_config &NewConfig) override;
  std::optional<rejection> admit(const work_item &Item,
                                 const pipeline_definition &Pipeline,
                                 core_time Deadline, core_time Now) override;
  std::optional<rejection> submit(const work_item &Item,
                                  core_time Now) override;
  void withdraw(work_id Work, core_time Now) override;
  std::optional<dispatch_decision> nextDispatch(core_time Now) override;
  void onStarted(work_id Work, const backend_id &Backend, attempt_id Attempt,
                 core_time Now) override;
  void onEnded(attempt_id Attempt, attempt_result Result,
               core_time Now) override;
  bool mayRetry(work_id Work, core_time Now) override;
  void requeue(work_id Work, const backend_id &Avoid, core_time Now) override;
  std::vector<work_id> expired(core_time Now) override;
  std::optional<core_time> nextWakeup() const override;
  core_duration comeBackAfter(const pool_id &Pool) const override;
  std::vector<workspace_cost> costs() const override { return Ledger.costs(); }

private:
  struct item_state {
    work_item Item;
    work_estimate Estimate;
    /// Low time of the stages after this one.
    core_duration LowAhead{0};
    core_time LatestStart;
    core_time GiveUpAt;
    bool Long = false;
    bool Waiting = false;
    /// The last attempt certainly did not run, so that another costs nothing.
    bool Refused = false;
    /// An attempt has succeeded.
    bool Done = false;
    std::uint32_t Started = 0;
    std::uint32_t Running = 0;
  };
  struct attempt_state {
    work_id Work;
    /// What is needed of the item after the item is forgotten.
    work_item Item;
    backend_id Backend;
    core_time StartedAt;
    core_duration Expected{0};
    /// Whether Expected rests on observations.
    bool Observed = false;
    bool Long = false;
    bool Second = false;
    /// Key in Overdue while the attempt may become overdue.
    std::optional<core_time> OverdueAt;
  };
  struct pool_state {
    std::unique_ptr<work_queue> Short;
    std::unique_ptr<work_queue> Long;
    std::unique_ptr<retry_budget> Budget;
    /// Estimated work in both queues.
    double WaitingMs = 0;
    std::uint32_t ShortRunning = 0;
    std::uint32_t LongRunning = 0;
    /// When short work last came.
    std::optional<core_time> LastShort;
    bool CachesPrefixes = false;
    bool MaySpill = true;
    double LongShare = 1;
    core_duration LongFrom{0};
    std::size_t MaxQueued = 0;
    std::size_t waiting() const { return Short->size() + Long->size(); }
  };
  /// A second attempt that is due; Target is empty for any server.
  struct due_second {
    work_id Work;
    backend_id Target;
  };

  pool_state &poolState(const pool_id &Pool);
  void configurePool(const pool_id &Pool, pool_state &State) const;
  double weightOf(const workspace_id &Workspace, const pool_id &Pool) const;
  void estimate(item_state &State) const;
  core_duration lowAhead(const work_item &Item) const;
  void enqueue(item_state &State);
  void takeFromQueue(item_state &State);
  std::vector<stage_outlook> outlook(const work_item &Item,
                                     const pipeline_definition &Pipeline,
                                     core_time Deadline, core_time Now);
  std::optional<dispatch_decision> dispatchFrom(const pool_id &Pool,
                                                pool_state &State, bool Long,
                                                core_time Now);
  bool longFirst(const pool_state &State) const;
  std::optional<dispatch_decision> nextSecond(core_time Now);
  replica_record *replicaFor(const item_state &State, pool_state &Pool,
                             bool Second, core_time Now);
  dispatch_decision decide(const item_state &State,
                           const replica_record &Replica, bool Hedge) const;
  core_duration expectedTime(const item_state &State,
                             const backend_id &Backend);
  void noticeOverdue(core_time Now);
  void offerProbe(const item_state &State, core_time Now);
  void observeEnd(const attempt_state &Attempt, attempt_result Result,
                  core_time Now);
  static void pauseAfterFailure(replica_record &Replica, core_time Now);
  static attempt_fate fateOf(const item_state *Item, attempt_result Result);
  bool limitReached(const work_item &Item) const;

  const replica_directory &Directory;
  policy_parts Parts;
  replica_table Table;
  cost_ledger Ledger;
  fleet_config Config;
  std::uint32_t MaxAttempts = 3;
  std::map<pool_id, pool_state> Pools;
  std::unordered_map<work_id, item_state> Items;
  std::unordered_map<attempt_id, attempt_state> Attempts;
  /// Calls of each workspace that are not withdrawn; no entry for none.
  std::map<workspace_id, std::uint32_t> ItemsOf;
  std::set<std::pair<core_time, work_id>> ByGiveUp;
  std::set<std::pair<core_time, attempt_id>> Overdue;
  std::vector<due_second> DueSeconds;
  /// Set while work waits that no server has room for.
  std::optional<core_time> LookAgainAt;
};

} // namespace jasminecroft::detail
