// The scheduler's state of each backend server: its view, the calls in progress
// and the observed slowness.
#pragma once

#include "jasminecroft/core/policy.h"

#include <map>
#include <vector>

namespace jasminecroft::detail {

/// A backend server with this host's own observations.
struct replica_record {
  replica_view View;
  bool OwnZone = false;
  /// In-flight calls of this host, and how many of them are long.
  std::uint32_t Own = 0;
  std::uint32_t OwnLong = 0;
  /// Added to a fractional number of slots before it is rounded down; in
  /// [0, 1). Differs between hosts, so that they do not all round the same way.
  double Rounding = 0;
  /// In-flight calls of other hosts, smoothed over the load reports.
  double Others = 0;
  /// Logarithm of the ratio of observed to estimated time, smoothed.
  double LogSlowness = 0;
  /// Number of observations behind LogSlowness; decays with it.
  double SampleWeight = 0;
  /// Slowness relative to the pool's median; 1 is normal.
  double Slowness = 1;
  /// After consecutive failures, the server gets no new calls before this time.
  core_time PausedUntil{};
  std::uint32_t ConsecutiveFailures = 0;
  /// When a server that is excluded for slowness is probed again.
  core_time NextProbe{};
  core_duration ProbePause{0};
  /// Returns whether there is a load report that has not expired.
  bool reportUsable() const;
};

/// Limits of this host's in-flight calls in another zone.
struct spill_limit {
  /// Sequence number of the summary from which Calls was computed.
  std::uint64_t Sequence = 0;
  /// Maximum number of in-flight calls.
  double Calls = 0;
  /// This host's share of the slots that the zone's own hosts do not need.
  double Share = 0;
};

/// Backend servers of a pool, own zone first.
struct pool_replicas {
  std::vector<replica_record *> All;
  /// Number of entries at the start of All that are in the own zone.
  std::size_t OwnZone = 0;
  /// Slots of the home servers, which are tried first; see homeCount().
  std::uint32_t HomeSlots = 0;
  /// This host's share of HomeSlots if all entry hosts have the same demand.
  double HomeShare = 0;
  /// Number of home servers that are not slow.
  std::uint32_t HomeHealthy = 0;
  /// In-flight calls of this host, by zone.
  std::map<zone_id, std::uint32_t> OwnCallsByZone;
  /// Limits for each other zone. Calls is updated with each of the zone's
  /// summaries.
  std::map<zone_id, spill_limit> SpillLimits;
  core_time RefreshedAt{};
  bool Stale = true;

  /// Returns the number of home servers: those of the own zone, or all if it
  /// has none. They are the first entries of All.
  std::size_t homeCount() const { return OwnZone > 0 ? OwnZone : All.size(); }
  bool isHome(const replica_record &Replica) const {
    return Replica.OwnZone || OwnZone == 0;
  }
  std::uint32_t ownCallsIn(const zone_id &Zone) const;
};

/// A server with at least this slowness receives only probes.
inline constexpr double SlowServerThreshold = 2;

/// Holds the backend servers that the scheduler has seen, by pool.
class replica_table {
public:
  replica_table(const replica_directory &Directory, const zone_id &Zone,
                std::uint64_t Seed)
      : Directory(Directory), Zone(Zone), Seed(Seed) {}

  /// Returns the servers of a pool. They are refreshed from the directory when
  /// they are older than 20 ms, or 200 us per server if that is longer. The
  /// pointers stay valid.
  const pool_replicas &replicas(const pool_id &Pool, core_time Now);
  replica_record *find(const backend_id &Backend);
  /// Makes the next call of replicas() refresh the pool.
  void markStale(const pool_id &Pool) { Pools[Pool].Stale = true; }
  std::uint32_t liveEntryHosts() const { return Hosts; }

  void onStarted(const backend_id &Backend, bool Long);
  void onEnded(const backend_id &Backend, bool Long);
  /// Records that a call took Ratio times its estimate.
  void observe(const backend_id &Backend, double Ratio);
  /// Records that a call in progress has taken Ratio times its estimate so far.
  void observeAtLeast(const backend_id &Backend, double Ratio);

private:
  void refresh(pool_replicas &Replicas, const pool_id &Pool, core_time Now);
  static void normalizeSlowness(pool_replicas &Replicas);
  void updateSpillLimits(pool_replicas &Replicas, const pool_id &Pool) const;
  void computeShares(pool_replicas &Replicas) const;

  const replica_directory &Directory;
  zone_id Zone;
  std::uint64_t Seed;
  std::uint32_t Hosts = 1;
  std::map<backend_id, replica_record> Records;
  std::map<pool_id, pool_replicas> Pools;
};

} // namespace jasminecroft::detail
