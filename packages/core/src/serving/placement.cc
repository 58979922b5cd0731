// Scores of backend servers; the lowest wins.
#include "jasminecroft/core/serving/placement.h"

#include <algorithm>
#include <string>
#include <xxhash.h>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Assumed time of a plain call before any was seen, in microseconds.
constexpr double FirstCallMicros = 30'000;
/// What a call to another zone costs more, in microseconds: the way there and
/// back, and traffic between zones that others pay for.
constexpr double FarMicros = 4'000;
/// What a recent failure or an earlier try of the same request costs.
constexpr double FailedMicros = 1e9;
constexpr double TriedMicros = 1e8;
/// A load report counts fully when new and not at all after this time.
constexpr core_duration LoadFade = milliseconds(1'500);
/// Engines that rank first for a session and are preferred for it.
constexpr std::size_t AffineEngines = 2;
/// Load, as a part of the slots, that another engine must be below the affine
/// ones to be preferred to them.
constexpr double AffinityWorth = 0.12;
/// The same for an engine in the zone of the inputs.
constexpr double NearWorth = 0.04;

double freshness(const backend_state &Server, core_time Now) {
  if (!Server.Load)
    return 0;
  double Age = std::chrono::duration<double>(Now - Server.LoadAt).count();
  double Fade = std::chrono::duration<double>(LoadFade).count();
  return std::clamp(1 - Age / Fade, 0.0, 1.0);
}

// Calls believed to be at the server: as it said, as far as that is fresh,
// and this host's own.
double callsAt(const backend_state &Server, const placement_query &Query,
               core_time Now) {
  double Own = Server.InFlight;
  double Guess = Own * Query.LiveHosts;
  double Fresh = freshness(Server, Now);
  if (Fresh == 0)
    return Guess;
  double Said = Server.Load->Running + Server.Load->Waiting;
  return std::max(Own, Fresh * Said + (1 - Fresh) * Guess);
}

double penalty(const backend_state &Server, const placement_query &Query,
               core_time Now) {
  double Sum = 0;
  if (Server.AvoidUntil > Now)
    Sum += FailedMicros;
  if (Query.Avoid.contains(Server.Entry.Id))
    Sum += TriedMicros;
  return Sum;
}

double plainScore(const backend_state &Server, const placement_query &Query,
                  core_time Now) {
  double Call = Server.CallMicros > 0 ? Server.CallMicros : FirstCallMicros;
  double Slots = Server.Load && Server.Load->Slots > 0 ? Server.Load->Slots : 1;
  double Fresh = freshness(Server, Now);
  if (Fresh > 0 && Server.Load->SlownessPercent > 0)
    Call *= 1 + Fresh * (Server.Load->SlownessPercent / 100.0 - 1);
  double Score = Call * (1 + callsAt(Server, Query, Now) / Slots);
  if (Server.Entry.Zone != Query.NearZone)
    Score += FarMicros;
  return Score + penalty(Server, Query, Now);
}

std::uint64_t rank(const prompt_block &Session, const backend_id &Server) {
  return XXH3_64bits_withSeed(Server.Value.data(), Server.Value.size(),
                              Session.Id);
}

} // namespace

backend_state *choosePlain(backend_directory &Servers,
                           const placement_query &Query, core_time Now) {
  backend_state *Best = nullptr;
  double BestScore = 0;
  for (backend_state *Server : Servers.usable(Query.Pool, Now)) {
    double Score = plainScore(*Server, Query, Now);
    if (!Best || Score < BestScore) {
      Best = Server;
      BestScore = Score;
    }
  }
  return Best;
}

backend_state *chooseEngine(backend_directory &Servers,
                            const placement_query &Query,
                            const engine_rules &Rules, core_time Now) {
  std::vector<backend_state *> Usable = Servers.usable(Query.Pool, Now);
  if (Usable.empty())
    return nullptr;
  if (!Query.Prefix.empty()) {
    // The last shared part names the session.
    const prompt_block &Session = Query.Prefix.back();
    std::sort(Usable.begin(), Usable.end(),
              [&Session](const backend_state *A, const backend_state *B) {
                return rank(Session, A->Entry.Id) > rank(Session, B->Entry.Id);
              });
  }
  backend_state *Best = nullptr;
  double BestScore = 0;
  for (std::size_t I = 0; I < Usable.size(); ++I) {
    double Slots = std::max(Rules.Slots, 1U);
    double Score = callsAt(*Usable[I], Query, Now) / Slots;
    if (Query.Prefix.empty() || I >= AffineEngines)
      Score += AffinityWorth;
    else
      Score += AffinityWorth * static_cast<double>(I) / 4;
    if (Usable[I]->Entry.Zone != Query.NearZone)
      Score += NearWorth;
    Score += penalty(*Usable[I], Query, Now);
    if (!Best || Score < BestScore) {
      Best = Usable[I];
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace jasminecroft
