// Assignment of jobs to servers, call by call.
#include "jasminecroft/core/serving/batch_plan.h"

#include <algorithm>
#include <optional>

namespace jasminecroft {

namespace {

/// Bytes between zones that are worth a microsecond of waiting: 2 MB of
/// results, as a long report has them, are worth 100 ms.
constexpr std::uint64_t FarBytesPerMicrosecond = 20;
/// A server that failed to make a piece of a job gets it again only if the
/// others are busy for this long.
constexpr core_duration FailedServerPenalty = std::chrono::milliseconds(600);
/// Jobs are cut in two only to fill calls that are emptier than this part: a
/// cut job is ready when its second call is.
constexpr double MinFilledPart = 0.6;

class planner {
public:
  planner(const batch_rules &Rules, std::vector<planned_job> Jobs,
          std::vector<planned_server> Servers)
      : Rules(Rules), Jobs(std::move(Jobs)), Servers(std::move(Servers)) {}

  std::vector<planned_call> run() {
    std::vector<planned_call> Calls;
    // Two calls a server: the one that it begins now and, for busy ones, the
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
          Server = earliest(Jobs[First]);
      if (!Server)
        break;
      planned_call Call = fill(*Server, First - 1);
      --Rounds;
      occupy(*Server, Call);
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

  core_duration farTime(const planned_job &Job,
                        const planned_server &Server) const {
    const piece_job &Wanted = *Job.Job;
    std::uint64_t Bytes = 0;
    if (!Wanted.InputZone.empty() && Server.Zone != Wanted.InputZone)
      Bytes += Wanted.InputBytes;
    if (!Wanted.NearZone.empty() && Server.Zone != Wanted.NearZone)
      Bytes += Wanted.ResultBytes * Wanted.Pieces.size();
    return transferDelay(Bytes);
  }

  std::optional<std::size_t> earliest(const planned_job &Job) const {
    std::optional<std::size_t> Best;
    core_duration BestTime{0};
    core_duration Call = expectedCallTime(Rules, Job.Pieces.size());
    for (std::size_t I = 0; I < Servers.size(); ++I) {
      const planned_server &Server = Servers[I];
      if (Server.Idle && Server.RoomLeft < Job.Job->ResultBytes)
        continue;
      core_duration Ready =
          Server.FreeIn + scaled(Call, Server.Slowness) + farTime(Job, Server);
      if (Job.Failed && Job.Failed->contains(Server.Id))
        Ready += FailedServerPenalty;
      if (!Best || Ready < BestTime) {
        Best = I;
        BestTime = Ready;
      }
    }
    return Best;
  }

  // Takes jobs from First on that are best made at the same server.
  planned_call fill(std::size_t Server, std::size_t First) {
    planned_call Call;
    Call.Server = Server;
    std::uint64_t Room = Servers[Server].RoomLeft;
    bool Limited = Servers[Server].Idle;
    for (std::size_t I = First; I < Jobs.size(); ++I) {
      planned_job &Job = Jobs[I];
      if (Call.Pieces.size() >= Rules.MaxPieces)
        break;
      if (Job.Pieces.empty() || (I != First && earliest(Job) != Server))
        continue;
      std::size_t Fitting = Rules.MaxPieces - Call.Pieces.size();
      if (Limited && Job.Job->ResultBytes > 0)
        Fitting = std::min<std::size_t>(Fitting, Room / Job.Job->ResultBytes);
      bool Cut = Fitting < Job.Pieces.size();
      bool Filled = static_cast<double>(Call.Pieces.size()) >=
                    MinFilledPart * static_cast<double>(Rules.MaxPieces);
      if (Fitting == 0 || (Cut && Filled))
        continue;
      std::size_t Taken = std::min(Fitting, Job.Pieces.size());
      for (std::size_t Piece = 0; Piece < Taken; ++Piece)
        Call.Pieces.emplace_back(I, Job.Pieces[Piece]);
      Job.Pieces.erase(Job.Pieces.begin(),
                       Job.Pieces.begin() + static_cast<std::ptrdiff_t>(Taken));
      Room -= std::min(Room, Job.Job->ResultBytes * Taken);
    }
    return Call;
  }

  void occupy(std::size_t Index, const planned_call &Call) {
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
      static_cast<std::int64_t>(Bytes / FarBytesPerMicrosecond));
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
