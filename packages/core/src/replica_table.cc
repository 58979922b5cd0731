// Load, slowness and shares of the backend servers, for the scheduler.
#include "jasminecroft/core/detail/replica_table.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jasminecroft::detail {

namespace {

constexpr core_duration MinRefreshInterval = std::chrono::milliseconds(20);
constexpr core_duration RefreshPerReplica = std::chrono::microseconds(200);
constexpr core_duration MaxReportAge = std::chrono::seconds(3);
/// Time constant, in microseconds, for smoothing the calls of other hosts.
constexpr double SmoothingUs = 200'000;
/// Minimum fraction of a zone's slots that hosts of other zones may use.
constexpr double MinSpareShare = 0.05;
/// Time constant, in microseconds, by which slowness decays without new
/// observations.
constexpr double SlownessDecayUs = 60'000'000;
/// Fraction of another zone's slots up to which spillover fills it.
constexpr double MaxSpillUtilization = 0.9;
/// Assumed number of hosts that spill over to a zone at once, per entry host
/// of the own zone.
constexpr double SpillingHostsPerHost = 2;
constexpr double ObservationWeight = 0.2;
/// Weight of observations that show a slow server getting faster; higher, so
/// that a recovered server is used again sooner.
constexpr double RecoveryWeight = 0.4;
constexpr double RecoveryThreshold = 0.5;
constexpr double MaxLogSlowness = 3;

} // namespace

bool replica_record::reportUsable() const {
  return View.Reported && View.ReportAge <= MaxReportAge;
}

std::uint32_t pool_replicas::ownCallsIn(const zone_id &Zone) const {
  auto Found = OwnCallsByZone.find(Zone);
  return Found == OwnCallsByZone.end() ? 0 : Found->second;
}

const pool_replicas &replica_table::replicas(const pool_id &Pool,
                                             core_time Now) {
  pool_replicas &Replicas = Pools[Pool];
  core_duration Age = Now - Replicas.RefreshedAt;
  core_duration RefreshInterval = std::max(
      MinRefreshInterval,
      RefreshPerReplica * static_cast<std::int64_t>(Replicas.All.size()));
  if (Replicas.Stale || Replicas.All.empty() || Age >= RefreshInterval)
    refresh(Replicas, Pool, Now);
  return Replicas;
}

void replica_table::refresh(pool_replicas &Replicas, const pool_id &Pool,
                            core_time Now) {
  double Elapsed =
      static_cast<double>((Now - Replicas.RefreshedAt).count()) / SmoothingUs;
  double Weight = 1 - std::exp(-Elapsed);
  double Decay = static_cast<double>((Now - Replicas.RefreshedAt).count()) /
                 SlownessDecayUs;
  std::vector<replica_view> Views = Directory.replicas(Pool, Now);
  Hosts = std::max<std::uint32_t>(1, Directory.liveEntryHosts());
  Replicas.All.clear();
  Replicas.OwnZone = 0;
  Replicas.HomeSlots = 0;
  for (replica_view &View : Views) {
    replica_record &Record = Records[View.Backend];
    if (Record.View.Run != View.Run) {
      Record.LogSlowness = 0;
      Record.PausedUntil = core_time{};
      Record.ConsecutiveFailures = 0;
    }
    const std::string &Name = View.Backend.Value;
    Record.Rounding = static_cast<double>(XXH3_64bits_withSeed(
                          Name.data(), Name.size(), Seed)) *
                      0x1.0p-64;
    Record.OwnZone = View.Zone == Zone;
    Record.View = std::move(View);
    // Only slowness decays, so that a slow server is tried again. A server that
    // was faster than expected keeps its value.
    if (Record.LogSlowness > 0)
      Record.LogSlowness *= std::exp(-Decay);
    Record.SampleWeight *= std::exp(-Decay);
    if (Record.reportUsable()) {
      double Load = Record.View.ReportedInFlight + Record.View.ReportedQueued;
      double Others = std::max(0.0, Load - Record.Own);
      Record.Others += Weight * (Others - Record.Others);
    }
    Replicas.OwnZone += Record.OwnZone ? 1 : 0;
    Replicas.All.push_back(&Record);
  }
  std::stable_partition(
      Replicas.All.begin(), Replicas.All.end(),
      [](const replica_record *Record) { return Record->OwnZone; });
  for (std::size_t I = 0; I < Replicas.homeCount(); ++I)
    Replicas.HomeSlots += Replicas.All[I]->View.Slots;
  normalizeSlowness(Replicas);
  updateSpillLimits(Replicas, Pool);
  computeShares(Replicas);
  Replicas.RefreshedAt = Now;
  Replicas.Stale = false;
}

// Slowness is relative to the pool's median, so that the servers of a pool that
// is slow as a whole are not excluded.
void replica_table::normalizeSlowness(pool_replicas &Replicas) {
  if (Replicas.All.empty())
    return;
  std::vector<double> Values;
  Values.reserve(Replicas.All.size());
  for (const replica_record *Record : Replicas.All)
    Values.push_back(Record->LogSlowness);
  auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  for (replica_record *Record : Replicas.All)
    Record->Slowness = std::exp(Record->LogSlowness - *Middle);
  Replicas.HomeHealthy = 0;
  for (std::size_t I = 0; I < Replicas.homeCount(); ++I)
    Replicas.HomeHealthy +=
        Replicas.All[I]->Slowness < SlowServerThreshold ? 1 : 0;
}

// Divides the free slots of a summary among the hosts that may spill over, and
// adds this host's share to its in-flight calls in that zone.
void replica_table::updateSpillLimits(pool_replicas &Replicas,
                                      const pool_id &Pool) const {
  for (const pool_summary &Summary : Directory.otherZones(Pool)) {
    auto Inserted = Replicas.SpillLimits.try_emplace(Summary.Zone);
    spill_limit &Limit = Inserted.first->second;
    if (!Inserted.second && Limit.Sequence == Summary.Sequence)
      continue;
    double Free = MaxSpillUtilization * Summary.Slots - Summary.InFlight;
    double Share = Free / (SpillingHostsPerHost * Hosts);
    Limit.Sequence = Summary.Sequence;
    Limit.Calls = std::max(0.0, Replicas.ownCallsIn(Summary.Zone) + Share);
  }
}

// Assigns the same number of slots to every entry host: those of its own zone
// first, then those of other zones. Slots of slow servers of the own zone count
// for less, and its hosts get slots of other zones in their place.
void replica_table::computeShares(pool_replicas &Replicas) const {
  double Healthy = 0;
  for (std::size_t I = 0; I < Replicas.homeCount(); ++I) {
    const replica_record &Record = *Replicas.All[I];
    Healthy += Record.View.Slots / std::max(1.0, Record.Slowness);
  }
  Replicas.HomeShare = Healthy / Hosts;
  for (std::pair<const zone_id, spill_limit> &Limit : Replicas.SpillLimits)
    Limit.second.Share = 0;
  if (Replicas.OwnZone == 0)
    return;
  double TotalSlots = Replicas.HomeSlots;
  double TotalHosts = Hosts;
  std::map<zone_id, double> Others;
  for (std::size_t I = Replicas.OwnZone; I < Replicas.All.size(); ++I)
    Others[Replicas.All[I]->View.Zone] += Replicas.All[I]->View.Slots;
  for (const std::pair<const zone_id, double> &Entry : Others) {
    TotalSlots += Entry.second;
    TotalHosts += Directory.liveEntryHostsIn(Entry.first);
  }
  double PerHost = TotalSlots / TotalHosts;
  double Shortfall = PerHost - Replicas.HomeShare;
  Replicas.HomeShare = std::min(Replicas.HomeShare, PerHost);
  if (Shortfall <= 0 || Others.empty())
    return;
  double TotalSurplus = 0;
  std::map<zone_id, double> Surplus;
  for (const std::pair<const zone_id, double> &Entry : Others) {
    double Own = PerHost * Directory.liveEntryHostsIn(Entry.first);
    double Spare = std::max(MinSpareShare * Entry.second, Entry.second - Own);
    Surplus[Entry.first] = Spare;
    TotalSurplus += Spare;
  }
  for (const std::pair<const zone_id, double> &Entry : Surplus)
    Replicas.SpillLimits[Entry.first].Share =
        Shortfall * Entry.second / TotalSurplus;
}

replica_record *replica_table::find(const backend_id &Backend) {
  auto Found = Records.find(Backend);
  return Found == Records.end() ? nullptr : &Found->second;
}

void replica_table::onStarted(const backend_id &Backend, bool Long) {
  replica_record &Record = Records[Backend];
  ++Record.Own;
  Record.OwnLong += Long ? 1 : 0;
  ++Pools[Record.View.Pool].OwnCallsByZone[Record.View.Zone];
}

void replica_table::onEnded(const backend_id &Backend, bool Long) {
  replica_record &Record = Records[Backend];
  Record.Own -= std::min<std::uint32_t>(Record.Own, 1);
  std::uint32_t &InZone =
      Pools[Record.View.Pool].OwnCallsByZone[Record.View.Zone];
  InZone -= std::min<std::uint32_t>(InZone, 1);
  if (Long)
    Record.OwnLong -= std::min<std::uint32_t>(Record.OwnLong, 1);
}

void replica_table::observe(const backend_id &Backend, double Ratio) {
  replica_record *Record = find(Backend);
  if (!Record || Ratio <= 0)
    return;
  double Sample = std::clamp(std::log(Ratio), -MaxLogSlowness, MaxLogSlowness);
  bool Recovering =
      Record->LogSlowness > RecoveryThreshold && Sample < Record->LogSlowness;
  double Weight = std::max(Recovering ? RecoveryWeight : ObservationWeight,
                           1 / (2 + Record->SampleWeight));
  Record->SampleWeight += 1;
  double Change = Weight * (Sample - Record->LogSlowness);
  Record->LogSlowness += Change;
  Record->Slowness *= std::exp(Change);
}

void replica_table::observeAtLeast(const backend_id &Backend, double Ratio) {
  replica_record *Record = find(Backend);
  if (Record && Ratio > 0 && std::log(Ratio) > Record->LogSlowness)
    observe(Backend, Ratio);
}

} // namespace jasminecroft::detail
