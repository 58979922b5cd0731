// Earliest time to begin first; what does not fit is put behind, the least
// urgent first, as in Moore and Hodgson's rule for the fewest late jobs.
#include "jasminecroft/core/serving/queue_order.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace jasminecroft {

queue_speed::queue_speed(std::vector<server> Servers, std::size_t PiecesPerCall,
                         core_duration UsualCall)
    : Servers(std::move(Servers)),
      PiecesPerCall(std::max<std::size_t>(PiecesPerCall, 1)),
      UsualCall(UsualCall) {}

// Each call goes to the server that is done with it first.
core_duration queue_speed::waitBehind(std::size_t Pieces) {
  std::size_t Call = Pieces / PiecesPerCall;
  while (Waits.size() <= Call) {
    auto Next = std::min_element(
        Servers.begin(), Servers.end(), [](const server &A, const server &B) {
          return A.FreeIn + A.CallTime < B.FreeIn + B.CallTime;
        });
    Next->FreeIn += Next->CallTime;
    Waits.push_back(std::max(core_duration{0}, Next->FreeIn - UsualCall));
  }
  return Waits[Call];
}

namespace {

class orderer {
public:
  orderer(const std::vector<waiting_job> &Jobs, queue_speed &Speed)
      : Jobs(Jobs), Speed(Speed) {}

  queue_order run() {
    std::vector<std::size_t> Order(Jobs.size());
    std::iota(Order.begin(), Order.end(), std::size_t{0});
    std::stable_sort(Order.begin(), Order.end(),
                     [this](std::size_t A, std::size_t B) {
                       return std::tuple(!Jobs[A].Pressing, Jobs[A].StartIn) <
                              std::tuple(!Jobs[B].Pressing, Jobs[B].StartIn);
                     });
    for (std::size_t Job : Order)
      add(Job);
    queue_order Result;
    Result.Jobs = OnTime;
    Result.OnTime = OnTime.size();
    std::stable_sort(Late.begin(), Late.end(),
                     [this](std::size_t A, std::size_t B) {
                       return std::tuple(!Jobs[A].Begun, Jobs[A].DeadlineIn) <
                              std::tuple(!Jobs[B].Begun, Jobs[B].DeadlineIn);
                     });
    Result.Jobs.insert(Result.Jobs.end(), Late.begin(), Late.end());
    return Result;
  }

private:
  void add(std::size_t Job) {
    const waiting_job &Added = Jobs[Job];
    if (!Added.Pressing && Added.StartIn < core_duration{0}) {
      Late.push_back(Job);
      return;
    }
    OnTime.push_back(Job);
    Before += Added.Pieces;
    Held[Added.Workspace] += Added.Pieces;
    while (!Added.Pressing && !OnTime.empty() && OnTime.back() == Job &&
           Speed.waitBehind(Before - Added.Pieces) > Added.StartIn)
      putBehind();
  }

  void putBehind() {
    auto Victim = OnTime.end();
    for (auto It = OnTime.begin(); It != OnTime.end(); ++It)
      if (!Jobs[*It].Pressing &&
          (Victim == OnTime.end() || rank(*It) >= rank(*Victim)))
        Victim = It;
    const waiting_job &Job = Jobs[*Victim];
    Before -= Job.Pieces;
    Held[Job.Workspace] -= Job.Pieces;
    Late.push_back(*Victim);
    OnTime.erase(Victim);
  }

  // The highest is put behind.
  std::tuple<std::uint32_t, bool, std::size_t> rank(std::size_t Job) {
    return {Jobs[Job].Priority, !Jobs[Job].Begun, Held[Jobs[Job].Workspace]};
  }

  const std::vector<waiting_job> &Jobs;
  queue_speed &Speed;
  /// In the order of their time to begin.
  std::vector<std::size_t> OnTime;
  std::vector<std::size_t> Late;
  /// Pieces of the jobs in OnTime, in all and by workspace.
  std::size_t Before = 0;
  std::map<workspace_id, std::size_t> Held;
};

} // namespace

queue_order orderQueue(const std::vector<waiting_job> &Jobs,
                       queue_speed &Speed) {
  return orderer(Jobs, Speed).run();
}

} // namespace jasminecroft
