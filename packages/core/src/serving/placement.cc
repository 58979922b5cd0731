// Scoring of backend servers; the lowest score wins.
#include "jasminecroft/core/serving/placement.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <xxhash.h>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Assumed time of a plain call before the first sample, in microseconds.
constexpr double DefaultCallMicros = 30'000;
/// Penalty of a call to another zone, in microseconds: the round trip, and the
/// cost of cross-zone traffic.
constexpr double CrossZoneMicros = 4'000;
/// Penalties of a recent failure and of an earlier attempt of the same request.
constexpr double FailedPenaltyMicros = 1e9;
constexpr double TriedPenaltyMicros = 1e8;
/// The weight of a load report falls linearly from 1 to 0 over this time.
constexpr core_duration LoadReportLifetime = milliseconds(1'500);
/// Number of engines that rank first for a session and are preferred for it.
constexpr std::size_t AffineEngines = 2;
/// Load difference, as a fraction of the slots, above which an engine without
/// affinity is preferred to those with affinity.
constexpr double NoAffinityPenalty = 0.12;
/// The same for engines outside the zone of the inputs.
constexpr double CrossZonePenalty = 0.04;
/// The same for each time that a slow engine takes longer than its pool.
constexpr double SlowPenalty = 0.06;
/// The same for long prompts being read that use the whole bound of an engine,
/// and the most that they count: less than a lost cache.
constexpr double ReadingPenalty = 0.08;
constexpr double MaxReading = 1;

double freshness(const backend_state &Server, core_time Now) {
  if (!Server.Load)
    return 0;
  double Age = std::chrono::duration<double>(Now - Server.LoadAt).count();
  double Lifetime = std::chrono::duration<double>(LoadReportLifetime).count();
  return std::clamp(1 - Age / Lifetime, 0.0, 1.0);
}

// Estimates the calls at the server from its load report, weighted by the
// report's freshness, and from this host's own calls in flight.
double estimateCalls(const backend_state &Server, const placement_query &Query,
                     core_time Now) {
  double Own = Server.InFlight;
  double Estimate = Own * Query.LiveHosts;
  double Freshness = freshness(Server, Now);
  if (Freshness == 0)
    return Estimate;
  double Reported = Server.Load->Running + Server.Load->Waiting;
  return std::max(Own, Freshness * Reported + (1 - Freshness) * Estimate);
}

double penalty(const backend_state &Server, const placement_query &Query,
               core_time Now) {
  double Sum = 0;
  if (Server.AvoidUntil > Now)
    Sum += FailedPenaltyMicros;
  if (Query.Avoid.contains(Server.Entry.Id))
    Sum += TriedPenaltyMicros;
  return Sum;
}

double plainScore(const backend_state &Server, const placement_query &Query,
                  core_time Now) {
  double Call = Server.CallMicros > 0 ? Server.CallMicros : DefaultCallMicros;
  double Slots = Server.Load && Server.Load->Slots > 0 ? Server.Load->Slots : 1;
  double Freshness = freshness(Server, Now);
  if (Freshness > 0 && Server.Load->SlownessPercent > 0)
    Call *= 1 + Freshness * (Server.Load->SlownessPercent / 100.0 - 1);
  double Score = Call * (1 + estimateCalls(Server, Query, Now) / Slots);
  if (Server.Entry.Zone != Query.NearZone)
    Score += CrossZoneMicros;
  return Score + penalty(Server, Query, Now);
}

/// An engine and what it is ordered by, the lowest first.
struct ranked_engine {
  backend_state *Server = nullptr;
  double Rank = 0;
};

// Weighted rendezvous: the lowest is preferred, and a slow engine half as often
// as others. The weight is the same at all hosts that know it as slow, whatever
// factor they know.
double rank(std::uint64_t Session, const backend_state &Server) {
  constexpr double SlowWeight = 0.5;
  constexpr double HashRange = 0x1p64;
  const std::string &Id = Server.Entry.Id.Value;
  double Hash =
      static_cast<double>(XXH3_64bits_withSeed(Id.data(), Id.size(), Session));
  return -std::log((Hash + 1) / HashRange) /
         (Server.Slowness > 1 ? SlowWeight : 1);
}

} // namespace

backend_state *choosePlain(const std::vector<backend_state *> &Admitted,
                           const placement_query &Query, core_time Now) {
  backend_state *Best = nullptr;
  double BestScore = 0;
  for (backend_state *Server : Admitted) {
    double Score = plainScore(*Server, Query, Now);
    if (!Best || Score < BestScore) {
      Best = Server;
      BestScore = Score;
    }
  }
  return Best;
}

std::vector<backend_state *>
rankEngines(const std::vector<backend_state *> &Admitted,
            const placement_query &Query, const engine_rules &Rules,
            core_time Now) {
  bool Shared = !Query.Prefix.empty();
  // The last shared block identifies the session.
  std::uint64_t Session = Shared ? Query.Prefix.back().Id : Query.Spread;
  std::vector<ranked_engine> Engines;
  Engines.reserve(Admitted.size());
  for (backend_state *Server : Admitted)
    Engines.push_back({Server, rank(Session, *Server)});
  auto ByRank = [](const ranked_engine &A, const ranked_engine &B) {
    return A.Rank < B.Rank;
  };
  std::sort(Engines.begin(), Engines.end(), ByRank);
  for (std::size_t I = 0; I < Engines.size(); ++I) {
    backend_state *Server = Engines[I].Server;
    double Slots = std::max(Rules.Slots, 1U);
    double Score = estimateCalls(*Server, Query, Now) / Slots;
    Score = Score * Server->Slowness + SlowPenalty * (Server->Slowness - 1);
    if (!Shared || I >= AffineEngines)
      Score += NoAffinityPenalty;
    else
      Score += NoAffinityPenalty * static_cast<double>(I) / 4;
    if (Server->Entry.Zone != Query.NearZone)
      Score += CrossZonePenalty;
    auto Reading = Query.Reading.find(Server->Entry.Id);
    if (Reading != Query.Reading.end())
      Score += ReadingPenalty * std::min(Reading->second, MaxReading);
    Engines[I].Rank = Score + penalty(*Server, Query, Now);
  }
  std::stable_sort(Engines.begin(), Engines.end(), ByRank);
  std::vector<backend_state *> Result;
  Result.reserve(Engines.size());
  for (const ranked_engine &Engine : Engines)
    Result.push_back(Engine.Server);
  return Result;
}

backend_state *chooseEngine(const std::vector<backend_state *> &Admitted,
                            const placement_query &Query,
                            const engine_rules &Rules, core_time Now) {
  std::vector<backend_state *> Ranked =
      rankEngines(Admitted, Query, Rules, Now);
  return Ranked.empty() ? nullptr : Ranked.front();
}

} // namespace jasminecroft
