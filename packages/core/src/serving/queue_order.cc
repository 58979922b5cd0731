// Moore-Hodgson algorithm for the fewest late jobs: jobs are added by latest
// start time, and the least urgent ones are demoted when one would be late.
// Those that remain are then arranged from the last place to the first, with
// the least urgent job that may start there.
#include "jasminecroft/core/serving/queue_order.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace jasminecroft {

wait_estimator::wait_estimator(std::vector<server> Servers,
                               std::size_t PiecesPerCall,
                               core_duration NominalCallTime)
    : Servers(std::move(Servers)),
      PiecesPerCall(std::max<std::size_t>(PiecesPerCall, 1)),
      NominalCallTime(NominalCallTime) {}

// Each call goes to the server that completes it first.
core_duration wait_estimator::waitBehind(std::size_t Pieces) {
  std::size_t Call = Pieces / PiecesPerCall;
  while (Waits.size() <= Call) {
    auto Next = std::min_element(
        Servers.begin(), Servers.end(), [](const server &A, const server &B) {
          return A.FreeIn + A.CallTime < B.FreeIn + B.CallTime;
        });
    Next->FreeIn += Next->CallTime;
    Waits.push_back(std::max(core_duration{0}, Next->FreeIn - NominalCallTime));
  }
  return Waits[Call];
}

namespace {

class moore_hodgson {
public:
  moore_hodgson(const std::vector<waiting_job> &Jobs, wait_estimator &Estimator)
      : Jobs(Jobs), Estimator(Estimator) {}

  queue_order run() {
    std::vector<std::size_t> Order(Jobs.size());
    std::iota(Order.begin(), Order.end(), std::size_t{0});
    std::stable_sort(Order.begin(), Order.end(),
                     [this](std::size_t A, std::size_t B) {
                       return std::tuple(!Jobs[A].Expedited, Jobs[A].StartIn) <
                              std::tuple(!Jobs[B].Expedited, Jobs[B].StartIn);
                     });
    for (std::size_t Job : Order)
      add(Job);
    queue_order Result;
    Result.Jobs = arrangeByUrgency();
    Result.OnTime = OnTime.size();
    sortLate();
    Result.Jobs.insert(Result.Jobs.end(), Late.begin(), Late.end());
    return Result;
  }

private:
  /// Sorted by latest start time within a priority.
  using jobs_by_priority = std::map<std::uint32_t, std::vector<std::size_t>>;

  void add(std::size_t Job) {
    const waiting_job &Added = Jobs[Job];
    if (!Added.Expedited && Added.StartIn < core_duration{0}) {
      Late.push_back(Job);
      return;
    }
    OnTime.push_back(Job);
    PiecesOnTime += Added.Pieces;
    share(Added) += static_cast<double>(Added.Pieces) / Added.Weight;
    while (!Added.Expedited && !OnTime.empty() && OnTime.back() == Job &&
           Estimator.waitBehind(PiecesOnTime - Added.Pieces) > Added.StartIn)
      demoteOne();
  }

  void demoteOne() {
    auto Demoted = OnTime.end();
    for (auto It = OnTime.begin(); It != OnTime.end(); ++It)
      if (!Jobs[*It].Expedited &&
          (Demoted == OnTime.end() || rank(*It) >= rank(*Demoted)))
        Demoted = It;
    const waiting_job &Job = Jobs[*Demoted];
    PiecesOnTime -= Job.Pieces;
    share(Job) -= static_cast<double>(Job.Pieces) / Job.Weight;
    Late.push_back(*Demoted);
    OnTime.erase(Demoted);
  }

  // Returns the jobs that can be on time, the more urgent ones as early as the
  // others' latest start times allow: a wait that is longer than expected is
  // then at the expense of the less urgent.
  std::vector<std::size_t> arrangeByUrgency() {
    std::vector<std::size_t> Result;
    jobs_by_priority ByPriority;
    std::size_t Pieces = 0;
    for (std::size_t Job : OnTime) {
      if (Jobs[Job].Expedited) {
        Result.push_back(Job);
        Pieces += Jobs[Job].Pieces;
      } else {
        ByPriority[Jobs[Job].Priority].push_back(Job);
      }
    }
    if (ByPriority.size() < 2)
      return OnTime;
    for (const jobs_by_priority::value_type &Class : ByPriority)
      for (std::size_t Job : Class.second)
        Pieces += Jobs[Job].Pieces;
    std::size_t Expedited = Result.size();
    while (!ByPriority.empty()) {
      jobs_by_priority::iterator Last = lastClass(ByPriority, Pieces);
      std::size_t Job = Last->second.back();
      Last->second.pop_back();
      if (Last->second.empty())
        ByPriority.erase(Last);
      Pieces -= Jobs[Job].Pieces;
      Result.push_back(Job);
    }
    std::reverse(Result.begin() + static_cast<std::ptrdiff_t>(Expedited),
                 Result.end());
    return Result;
  }

  // Returns the least urgent class of which a job may start after all others.
  // The job with the latest start time of all always may.
  jobs_by_priority::iterator lastClass(jobs_by_priority &ByPriority,
                                       std::size_t Pieces) {
    auto Latest = ByPriority.end();
    for (auto It = ByPriority.end(); It != ByPriority.begin();) {
      --It;
      const waiting_job &Job = Jobs[It->second.back()];
      if (Estimator.waitBehind(Pieces - Job.Pieces) <= Job.StartIn)
        return It;
      if (Latest == ByPriority.end() ||
          Job.StartIn > Jobs[Latest->second.back()].StartIn)
        Latest = It;
    }
    return Latest;
  }

  // The job with the highest rank is demoted.
  std::tuple<std::uint32_t, bool, double> rank(std::size_t Job) {
    return {Jobs[Job].Priority, !Jobs[Job].HasProgress, share(Jobs[Job])};
  }

  // Each late job continues the share of its workspace where the one before it
  // ended.
  void sortLate() {
    auto Class = [this](std::size_t Job) {
      return std::tuple(Jobs[Job].Priority, !Jobs[Job].HasProgress);
    };
    std::stable_sort(Late.begin(), Late.end(),
                     [this, &Class](std::size_t A, std::size_t B) {
                       return std::tuple(Class(A), Jobs[A].DeadlineIn) <
                              std::tuple(Class(B), Jobs[B].DeadlineIn);
                     });
    std::vector<double> Begins(Jobs.size());
    for (std::size_t Job : Late) {
      Begins[Job] = share(Jobs[Job]);
      share(Jobs[Job]) +=
          static_cast<double>(Jobs[Job].Pieces) / Jobs[Job].Weight;
    }
    std::stable_sort(Late.begin(), Late.end(),
                     [&Class, &Begins](std::size_t A, std::size_t B) {
                       return std::tuple(Class(A), Begins[A]) <
                              std::tuple(Class(B), Begins[B]);
                     });
  }

  double &share(const waiting_job &Job) {
    return Shares
        .try_emplace({Job.Priority, Job.Workspace},
                     Job.RecentPieces / Job.Weight)
        .first->second;
  }

  const std::vector<waiting_job> &Jobs;
  wait_estimator &Estimator;
  /// Sorted by latest start time, expedited jobs first.
  std::vector<std::size_t> OnTime;
  std::vector<std::size_t> Late;
  /// Pieces of the jobs in OnTime.
  std::size_t PiecesOnTime = 0;
  /// Recent pieces and those ordered so far for each weight.
  std::map<std::pair<std::uint32_t, workspace_id>, double> Shares;
};

} // namespace

queue_order orderQueue(const std::vector<waiting_job> &Jobs,
                       wait_estimator &Estimator) {
  return moore_hodgson(Jobs, Estimator).run();
}

} // namespace jasminecroft
