// The plain policy that experiments compare with: one FIFO queue per pool,
// round robin over the replicas, no hedges.
#include "jasminecroft/core/policy.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace jasminecroft {

namespace {

class baseline_scheduler final : public work_scheduler {
public:
  explicit baseline_scheduler(const replica_directory &Replicas)
      : Replicas(Replicas) {}

  void configure(const fleet_config &Config) override {
    MaxAttempts = static_cast<std::uint32_t>(
        settingValue(Config, setting_key::MaxAttempts, {}));
  }

  std::optional<rejection> admit(const work_item &, const pipeline_definition &,
                                 core_time, core_time) override {
    return std::nullopt;
  }

  std::optional<rejection> submit(const work_item &Item, core_time) override {
    Items.emplace(Item.Work, item_state{Item, 0});
    ByDeadline.emplace(Item.Deadline, Item.Work);
    Queues[Item.Pool].push_back(Item.Work);
    return std::nullopt;
  }

  void withdraw(work_id Work, core_time) override {
    auto Found = Items.find(Work);
    if (Found == Items.end())
      return;
    ByDeadline.erase({Found->second.Item.Deadline, Work});
    Items.erase(Found);
  }

  std::optional<dispatch_decision> nextDispatch(core_time Now) override {
    for (std::pair<const pool_id, std::deque<work_id>> &Entry : Queues) {
      dropWithdrawn(Entry.second);
      if (Entry.second.empty())
        continue;
      std::optional<replica_view> Replica = nextReplica(Entry.first, Now);
      if (!Replica)
        continue;
      work_id Work = Entry.second.front();
      Entry.second.pop_front();
      return dispatch_decision{Work, *Replica, work_priority::Interactive,
                               false};
    }
    return std::nullopt;
  }

  void onStarted(work_id Work, const backend_id &, attempt_id Attempt,
                 core_time) override {
    Attempts.emplace(Attempt, Work);
    auto Found = Items.find(Work);
    if (Found != Items.end())
      ++Found->second.Attempts;
  }

  void onEnded(attempt_id Attempt, attempt_result, core_time) override {
    Attempts.erase(Attempt);
  }

  bool mayRetry(work_id Work, core_time Now) override {
    auto Found = Items.find(Work);
    return Found != Items.end() && Found->second.Attempts < MaxAttempts &&
           Found->second.Item.Deadline > Now;
  }

  void requeue(work_id Work, const backend_id &, core_time) override {
    auto Found = Items.find(Work);
    if (Found != Items.end())
      Queues[Found->second.Item.Pool].push_back(Work);
  }

  std::vector<work_id> expired(core_time Now) override {
    std::vector<work_id> Late;
    for (const std::pair<core_time, work_id> &Entry : ByDeadline) {
      if (Entry.first > Now)
        break;
      Late.push_back(Entry.second);
    }
    return Late;
  }

  std::optional<core_time> nextWakeup() const override {
    if (ByDeadline.empty())
      return std::nullopt;
    return ByDeadline.begin()->first;
  }

private:
  struct item_state {
    work_item Item;
    std::uint32_t Attempts = 0;
  };

  void dropWithdrawn(std::deque<work_id> &Queue) {
    while (!Queue.empty() && !Items.contains(Queue.front()))
      Queue.pop_front();
  }

  // The next replica in turn with a free slot, as far as this host knows.
  std::optional<replica_view> nextReplica(const pool_id &Pool, core_time Now) {
    std::vector<replica_view> Views = Replicas.replicas(Pool, Now);
    for (std::size_t I = 0; I < Views.size(); ++I) {
      const replica_view &View = Views[(Turns[Pool] + I) % Views.size()];
      if (View.OwnInFlight >= View.Slots)
        continue;
      Turns[Pool] = (Turns[Pool] + I + 1) % Views.size();
      return View;
    }
    return std::nullopt;
  }

  const replica_directory &Replicas;
  std::uint32_t MaxAttempts = 3;
  std::map<pool_id, std::deque<work_id>> Queues;
  std::map<work_id, item_state> Items;
  std::set<std::pair<core_time, work_id>> ByDeadline;
  std::map<pool_id, std::size_t> Turns;
  std::unordered_map<attempt_id, work_id> Attempts;
};

} // namespace

std::unique_ptr<work_scheduler>
makeBaselineScheduler(const replica_directory &Replicas) {
  return std::make_unique<baseline_scheduler>(Replicas);
}

} // namespace jasminecroft
