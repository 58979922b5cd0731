// Queues of waiting work: FIFO, and fair between workspaces.
#include "jasminecroft/core/detail/work_queue.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace jasminecroft::detail {

namespace {

class fifo_queue final : public work_queue {
public:
  void push(const queued_work &Work) override {
    std::uint64_t Turn = ++LastTurn;
    Order.emplace(Turn, Work.Work);
    Turns.emplace(Work.Work, entry{Turn, Work.Estimate.Value});
    Sum.Value += Work.Estimate.Value;
  }

  std::optional<work_id> front() const override {
    if (Order.empty())
      return std::nullopt;
    return Order.begin()->second;
  }

  void popFront() override { remove(Order.begin()->second); }

  void remove(work_id Work) override {
    auto Found = Turns.find(Work);
    if (Found == Turns.end())
      return;
    Sum.Value -= Found->second.Estimate;
    Order.erase(Found->second.Turn);
    Turns.erase(Found);
  }

  std::size_t size() const override { return Order.size(); }

  work_units ahead(const workspace_id &, core_time) const override {
    return Sum;
  }

  double share(const workspace_id &, double) const override { return 1; }

private:
  struct entry {
    std::uint64_t Turn = 0;
    double Estimate = 0;
  };
  std::uint64_t LastTurn = 0;
  std::map<std::uint64_t, work_id> Order;
  std::unordered_map<work_id, entry> Turns;
  work_units Sum;
};

/// Latest starts are summed up by slices of this length.
constexpr core_duration BacklogSlice{250'000};
/// Sums below this are rounding errors.
constexpr double NoWork = 1e-6;

class fair_queue final : public work_queue {
public:
  void push(const queued_work &Work) override {
    auto Inserted = Flows.try_emplace(Work.Workspace);
    flow &Flow = Inserted.first->second;
    if (Flow.Counted)
      ActiveWeight += Work.Weight - Flow.Weight;
    Flow.Weight = Work.Weight;
    if (Flow.Waiting.empty())
      activate(Work.Workspace, Flow);
    Flow.Waiting.emplace(Work.LatestStart, Work.Work);
    Flow.Backlog[sliceOf(Work.LatestStart)] += Work.Estimate.Value;
    Entries.emplace(Work.Work, Work);
  }

  std::optional<work_id> front() const override {
    if (Active.empty())
      return std::nullopt;
    const flow &Flow = Flows.at(Active.begin()->second);
    return Flow.Waiting.begin()->second;
  }

  void popFront() override {
    std::pair<double, workspace_id> First = *Active.begin();
    flow &Flow = Flows.at(First.second);
    work_id Work = Flow.Waiting.begin()->second;
    VirtualTime = First.first;
    double Cost = Entries.at(Work).Estimate.Value;
    takeOut(Work, Flow);
    Active.erase(Active.begin());
    Flow.FinishTag = First.first + Cost / Flow.Weight;
    if (Flow.Waiting.empty())
      idle(First.second);
    else
      activate(First.second, Flow);
  }

  void remove(work_id Work) override {
    auto Found = Entries.find(Work);
    if (Found == Entries.end())
      return;
    workspace_id Workspace = Found->second.Workspace;
    flow &Flow = Flows.at(Workspace);
    takeOut(Work, Flow);
    if (!Flow.Waiting.empty())
      return;
    Active.erase({Flow.StartTag, Workspace});
    ActiveWeight -= Flow.Weight;
    Flow.Counted = false;
    idle(Workspace);
  }

  std::size_t size() const override { return Entries.size(); }

  work_units ahead(const workspace_id &Workspace,
                   core_time LatestStart) const override {
    auto Found = Flows.find(Workspace);
    if (Found == Flows.end())
      return {};
    double Sum = 0;
    std::int64_t Last = sliceOf(LatestStart);
    for (const std::pair<const std::int64_t, double> &Slice :
         Found->second.Backlog) {
      if (Slice.first > Last)
        break;
      Sum += Slice.second;
    }
    return work_units{Sum};
  }

  double share(const workspace_id &Workspace, double Weight) const override {
    auto Found = Flows.find(Workspace);
    bool Waits = Found != Flows.end() && Found->second.Counted;
    double All = ActiveWeight + (Waits ? 0 : Weight);
    return All > 0 ? std::min(1.0, Weight / All) : 1;
  }

private:
  struct flow {
    double Weight = 1;
    /// Key in Active while something waits.
    double StartTag = 0;
    double FinishTag = 0;
    /// Whether Weight is part of ActiveWeight.
    bool Counted = false;
    std::set<std::pair<core_time, work_id>> Waiting;
    /// Estimated work by slice of the latest start.
    std::map<std::int64_t, double> Backlog;
  };

  static std::int64_t sliceOf(core_time Time) {
    return Time.time_since_epoch().count() / BacklogSlice.count();
  }

  void activate(const workspace_id &Workspace, flow &Flow) {
    Flow.StartTag = std::max(VirtualTime, Flow.FinishTag);
    Active.emplace(Flow.StartTag, Workspace);
    if (Flow.Counted)
      return;
    Flow.Counted = true;
    ActiveWeight += Flow.Weight;
  }

  // A workspace that has had less than its share leaves no trace; one that
  // has had more is remembered until the others have caught up.
  void idle(const workspace_id &Workspace) {
    auto Found = Flows.find(Workspace);
    if (Found->second.Counted) {
      Found->second.Counted = false;
      ActiveWeight -= Found->second.Weight;
    }
    if (Active.empty()) {
      ActiveWeight = 0;
      VirtualTime = std::max(VirtualTime, Found->second.FinishTag);
    }
    if (Found->second.FinishTag <= VirtualTime)
      Flows.erase(Found);
    else
      Idle.emplace(Found->second.FinishTag, Workspace);
    dropCaughtUp();
  }

  void dropCaughtUp() {
    while (!Idle.empty() && Idle.begin()->first <= VirtualTime) {
      auto Found = Flows.find(Idle.begin()->second);
      if (Found != Flows.end() && Found->second.Waiting.empty() &&
          Found->second.FinishTag <= VirtualTime)
        Flows.erase(Found);
      Idle.erase(Idle.begin());
    }
  }

  void takeOut(work_id Work, flow &Flow) {
    auto Found = Entries.find(Work);
    const queued_work &Entry = Found->second;
    Flow.Waiting.erase({Entry.LatestStart, Work});
    auto Slice = Flow.Backlog.find(sliceOf(Entry.LatestStart));
    if (Slice != Flow.Backlog.end()) {
      Slice->second -= Entry.Estimate.Value;
      if (Slice->second <= NoWork)
        Flow.Backlog.erase(Slice);
    }
    Entries.erase(Found);
  }

  /// Start tag of the work that started last; never decreases.
  double VirtualTime = 0;
  double ActiveWeight = 0;
  std::map<workspace_id, flow> Flows;
  std::set<std::pair<double, workspace_id>> Active;
  std::set<std::pair<double, workspace_id>> Idle;
  std::unordered_map<work_id, queued_work> Entries;
};

} // namespace

std::unique_ptr<work_queue> makeFifoQueue() {
  return std::make_unique<fifo_queue>();
}

std::unique_ptr<work_queue> makeFairQueue() {
  return std::make_unique<fair_queue>();
}

} // namespace jasminecroft::detail
