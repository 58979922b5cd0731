// What the scheduler keeps of each backend server: its view, the calls in
// progress there, and how slow it is observed to be.
#pragma once

#include "jasminecroft/core/policy.h"

#include <map>
#include <vector>

namespace jasminecroft::detail {

/// A backend server with this host's own observations.
struct replica_record {
  replica_view View;
  bool OwnZone = false;
  /// Calls of this host in progress, and those of them that are long.
  std::uint32_t Own = 0;
  std::uint32_t OwnLong = 0;
  /// Decides, differently on each host, whether a fraction of a slot counts
  /// as one; in [0, 1).
  double Rounding = 0;
  /// Calls of other hosts, smoothed over the load reports.
  double Others = 0;
  /// Logarithm of observed over estimated time, smoothed.
  double LogSlowness = 0;
  /// Observations behind LogSlowness; fades with it.
  double Evidence = 0;
  /// Slowness over the pool's median; 1 is normal.
  double Slowness = 1;
  /// No new calls before this time after failures in a row.
  core_time PausedUntil{};
  std::uint32_t ConsecutiveFailures = 0;
  /// When the server, while left alone for slowness, is tried again.
  core_time NextProbe{};
  core_duration ProbePause{0};
  /// Whether the load report is young enough to go by.
  bool reportUsable() const;
};

/// Most calls of this host in progress in another zone.
struct spill_limit {
  std::uint64_t Sequence = 0;
  double Calls = 0;
  /// This host's part of the slots that the zone has beyond its own hosts'.
  double Share = 0;
};

/// A pool's backend servers, own zone first.
struct pool_replicas {
  std::vector<replica_record *> All;
  /// Number of entries of All, from its start, that are in the own zone.
  std::size_t OwnZone = 0;
  /// Slots of the servers that are tried first.
  std::uint32_t HomeSlots = 0;
  /// This host's part of them, if all entry hosts have the same demand.
  double HomeShare = 0;
  /// Number of those servers that are not slow.
  std::uint32_t HomeHealthy = 0;
  /// Calls of this host in progress, by zone.
  std::map<zone_id, std::uint32_t> OwnCallsByZone;
  /// Most calls of this host in progress in another zone, renewed with each
  /// of the zone's summaries.
  std::map<zone_id, spill_limit> SpillLimits;
  core_time RefreshedAt{};
  bool Stale = true;

  /// Servers that are tried first: the own zone's, or all if there are none.
  std::size_t homeCount() const { return OwnZone > 0 ? OwnZone : All.size(); }
  bool isHome(const replica_record &Replica) const {
    return Replica.OwnZone || OwnZone == 0;
  }
  std::uint32_t ownCallsIn(const zone_id &Zone) const;
};

/// From this slowness on a server is left alone but for probes.
inline constexpr double SlowServerThreshold = 2;

class replica_table {
public:
  replica_table(const replica_directory &Directory, const zone_id &Zone,
                std::uint64_t Seed)
      : Directory(Directory), Zone(Zone), Seed(Seed) {}

  /// The servers of a pool, renewed from the directory when they are older
  /// than a fraction of a second. The pointers stay valid.
  const pool_replicas &replicas(const pool_id &Pool, core_time Now);
  replica_record *find(const backend_id &Backend);
  /// The next call of replicas asks the directory again.
  void markStale(const pool_id &Pool) { Pools[Pool].Stale = true; }
  std::uint32_t liveEntryHosts() const { return Hosts; }

  void onStarted(const backend_id &Backend, bool Long);
  void onEnded(const backend_id &Backend, bool Long);
  /// A call took Ratio times its estimate.
  void observe(const backend_id &Backend, double Ratio);
  /// A call has taken Ratio times its estimate and has not ended.
  void observeAtLeast(const backend_id &Backend, double Ratio);

private:
  void refresh(pool_replicas &Replicas, const pool_id &Pool, core_time Now);
  static void compareSlowness(pool_replicas &Replicas);
  void limitSpill(pool_replicas &Replicas, const pool_id &Pool) const;
  void divideSlots(pool_replicas &Replicas) const;

  const replica_directory &Directory;
  zone_id Zone;
  std::uint64_t Seed;
  std::uint32_t Hosts = 1;
  std::map<backend_id, replica_record> Records;
  std::map<pool_id, pool_replicas> Pools;
};

} // namespace jasminecroft::detail
