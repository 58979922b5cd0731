// Greedy assignment of jobs to servers, one call at a time.
#include "jasminecroft/core/serving/batch_plan.h"

#include <algorithm>
#include <optional>

namespace jasminecroft {

namespace {

/// Bytes of cross-zone transfer that cost as much as a microsecond of waiting:
/// 2 MB, the results of a long report, cost 100 ms.
constexpr std::uint64_t CrossZoneBytesPerMicrosecond = 20;
/// Extra completion time assumed for a server that failed to execute a piece of
/// the job: it gets the job again only if all others are busy for longer.
constexpr core_duration FailedServerPenalty = std::chrono::milliseconds(600);
/// A job is split only to fill a call below this fraction: a split job
/// completes only with its second call.
constexpr double MinFillFraction = 0.6;

class planner {
public:
  planner(const batch_rules &Rules, std::vector<planned_job> Jobs,
          std::vector<planned_server> Servers)
      : Rules(Rules), Jobs(std::move(Jobs)), Servers(std::move(Servers)) {}

  std::vector<planned_call> run() {
    std::vector<planned_call> Calls;
    // Two calls per server: the one that starts now and, for busy servers, the
    // one after that.
    std::size_t Rounds = 2 * Servers.size();
    std::size_t Head = 0;
    while (Rounds > 0 && anyIdle()) {
      while (Head < Jobs.size() && Jobs[Head].Pieces.empty())
        ++Head;
      std::optional<std::size_t> Server;
      std::size_t First = Head;
      for (; First < Jobs.size() && !Server; ++First)
        if (!Jobs[First].Pieces.empty())
          Server = bestServer(Jobs[First]);
      if (!Server)
        break;
      planned_call Call = fillCall(*Server, First - 1);
      --Rounds;
      reserveServer(*Server, Call);
      if (Servers[*Server].Idle) {
        Servers[*Server].Idle = false;
        Calls.push_back(std::move(Call));
      }
    }
    return Calls;
  }

private:
  bool anyIdle() const {
    return std::any_of(
        Servers.begin(), Servers.end(),
        [](const planned_server &Server) { return Server.Idle; });
  }

  core_duration transferPenalty(const planned_job &Job,
                                const planned_server &Server) const {
    const piece_job &Wanted = *Job.Job;
    std::uint64_t Bytes = 0;
    if (!Wanted.InputZone.empty() && Server.Zone != Wanted.InputZone)
      Bytes += Wanted.InputBytes;
    if (!Wanted.NearZone.empty() && Server.Zone != Wanted.NearZone)
      Bytes += Wanted.ResultBytes * Wanted.Pieces.size();
    return transferDelay(Bytes);
  }

  std::optional<std::size_t> bestServer(const planned_job &Job) const {
    std::optional<std::size_t> Best;
    core_duration BestTime{0};
    core_duration Call = expectedCallTime(Rules, Job.Pieces.size());
    for (std::size_t I = 0; I < Servers.size(); ++I) {
      const planned_server &Server = Servers[I];
      if (Server.Idle && Server.FreeBytes < Job.Job->ResultBytes)
        continue;
      core_duration Ready = Server.FreeIn + scaled(Call, Server.Slowness) +
                            transferPenalty(Job, Server);
      if (Job.FailedServers && Job.FailedServers->contains(Server.Id))
        Ready += FailedServerPenalty;
      if (!Best || Ready < BestTime) {
        Best = I;
        BestTime = Ready;
      }
    }
    return Best;
  }

  // Takes jobs from First on whose best server is this one.
  planned_call fillCall(std::size_t Server, std::size_t First) {
    planned_call Call;
    Call.Server = Server;
    std::uint64_t Free = Servers[Server].FreeBytes;
    bool CapacityLimited = Servers[Server].Idle;
    for (std::size_t I = First; I < Jobs.size(); ++I) {
      planned_job &Job = Jobs[I];
      if (Call.Pieces.size() >= Rules.MaxPieces)
        break;
      if (Job.Pieces.empty() || (I != First && bestServer(Job) != Server))
        continue;
      std::size_t Fitting = Rules.MaxPieces - Call.Pieces.size();
      if (CapacityLimited && Job.Job->ResultBytes > 0)
        Fitting = std::min<std::size_t>(Fitting, Free / Job.Job->ResultBytes);
      bool Split = Fitting < Job.Pieces.size();
      bool Filled = static_cast<double>(Call.Pieces.size()) >=
                    MinFillFraction * static_cast<double>(Rules.MaxPieces);
      if (Fitting == 0 || (Split && Filled))
        continue;
      std::size_t Taken = std::min(Fitting, Job.Pieces.size());
      for (std::size_t Piece = 0; Piece < Taken; ++Piece)
        Call.Pieces.emplace_back(I, Job.Pieces[Piece]);
      Job.Pieces.erase(Job.Pieces.begin(),
                       Job.Pieces.begin() + static_cast<std::ptrdiff_t>(Taken));
      Free -= std::min(Free, Job.Job->ResultBytes * Taken);
    }
    return Call;
  }

  void reserveServer(std::size_t Index, const planned_call &Call) {
    planned_server &Server = Servers[Index];
    Server.FreeIn +=
        scaled(expectedCallTime(Rules, Call.Pieces.size()), Server.Slowness);
  }

  const batch_rules &Rules;
  std::vector<planned_job> Jobs;
  std::vector<planned_server> Servers;
};

} // namespace

core_duration transferDelay(std::uint64_t Bytes) {
  return core_duration(
      static_cast<std::int64_t>(Bytes / CrossZoneBytesPerMicrosecond));
}

core_duration scaled(core_duration Time, double Factor) {
  return core_duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

core_duration expectedCallTime(const batch_rules &Rules, std::size_t Pieces) {
  return Rules.CallTime + Rules.PieceTime * static_cast<std::int64_t>(Pieces);
}

std::vector<planned_call> planCalls(const batch_rules &Rules,
                                    std::vector<planned_job> Jobs,
                                    std::vector<planned_server> Servers) {
  return planner(Rules, std::move(Jobs), std::move(Servers)).run();
}

} // namespace jasminecroft
