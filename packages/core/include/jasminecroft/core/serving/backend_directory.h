// Backend servers listed by the platform, with load and health information from
// this host's own calls.
#pragma once

#include "jasminecroft/core/serving/route_config.h"
#include "jasminecroft/core/serving/server_limits.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminecroft {

/// One entry of the platform's list of backend servers.
struct backend_entry {
  backend_id Id;
  pool_id Pool;
  endpoint Address;
  zone_id Zone;
  bool Draining = false;
  /// Start time of the server by its own clock: tells runs with the same id
  /// apart, but does not order them, as the clock may have gone back. The
  /// revision orders them.
  incarnation Run;
  object_version Revision;
  /// Time for which the server stays cold, as of the time at which the entry
  /// was read; absent if the entry does not say.
  std::optional<core_duration> ColdLeft = std::nullopt;
  bool operator==(const backend_entry &) const = default;
};

/// Load report that a backend server sends with a response.
struct backend_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// Execution time relative to nominal speed, in percent.
  std::uint32_t SlownessPercent = 100;
};

struct backend_state {
  backend_entry Entry;
  /// Set when the entry was removed from the platform's list.
  std::optional<core_time> UnlistedSince;
  /// Revision of the entry, or of its removal.
  object_version ChangedAt;
  /// Set while the entry is missing from the lists of a later era, and may be
  /// written again.
  std::optional<core_time> MissingSince;
  /// Entry of a removed or another run in a list of a later era than the
  /// removal or the entry of the present run, and the time of that list.
  std::optional<std::pair<backend_entry, core_time>> Returned;
  /// This host's calls in flight.
  std::uint32_t InFlight = 0;
  std::optional<backend_load> Load;
  core_time LoadAt;
  /// Consecutive failures of this host's calls.
  std::uint32_t Failures = 0;
  /// End of the backoff: no new work before it unless no other server is left.
  core_time AvoidUntil;
  /// Until then it wants nothing from this host.
  core_time PausedUntil;
  /// Moving average of the time of a plain call, in microseconds; 0 if unknown.
  double CallMicros = 0;
  /// Of a slow engine: its time for a token relative to its pool's median.
  double Slowness = 1;
};

/// Changes of the platform's list since a revision.
struct backend_changes {
  /// Listed has all servers; those missing from it are not listed.
  bool Complete = false;
  std::vector<backend_entry> Listed;
  std::vector<std::pair<backend_id, object_version>> Unlisted;
  bool operator==(const backend_changes &) const = default;
};

class backend_directory {
public:
  /// Applies an entry that is not older than the stored one. A run that was
  /// seen draining never becomes ready again.
  void update(const backend_entry &Entry);
  /// Marks a server as no longer listed. Revision: of the removed entry or of
  /// its removal.
  void remove(const backend_id &Id, object_version Revision, core_time Now);
  /// Sets the revision by which a server was removed, if it still is.
  void setRemovedBy(const backend_id &Id, object_version Revision);
  /// Applies a complete list: servers missing from it are marked as unlisted.
  /// If the list is of a later era, it is a copy of an older list that may lack
  /// servers and bring removed ones back: they wait to be settled.
  void replaceAll(const std::vector<backend_entry> &Entries,
                  object_version Revision, core_time Now);
  /// Returns the changes after Since; the complete list if removals since then
  /// may have been erased, or Since is of an earlier era.
  backend_changes changesSince(object_version Since) const;
  /// The server itself reported that it is shutting down or is another run.
  void markLeaving(const backend_id &Id);
  /// The same for one run, listed or not. Returns whether that was not known.
  bool markLeaving(const backend_id &Id, incarnation Run);
  /// Decides on servers that a copy lacked or brought back a while ago.
  void settleCopied(core_time Now);
  /// Time at which the next one is decided on.
  std::optional<core_time> nextSettling() const { return SettleAt; }
  /// Erases servers that have been unlisted for a long time.
  void evictUnlisted(core_time Now);

  backend_state *find(const backend_id &Id);
  const backend_state *find(const backend_id &Id) const;
  /// Returns false if another run of the server is the present one.
  bool isPresentRun(const backend_id &Id, incarnation Run) const;
  /// Returns whether an entry of a list may be only a copy of one that a later
  /// one has replaced since the copy.
  bool mayBeCopied(const backend_entry &Entry) const;
  const backend_state *findByAddress(const endpoint &Address) const;
  /// Addresses of the servers that are listed, also of leaving ones.
  std::set<endpoint> listedAddresses() const;
  /// Returns the servers of a pool that may receive new work: listed and not
  /// draining. If there is none, returns those unlisted very recently: a
  /// platform outage may have removed healthy servers from the list.
  std::vector<backend_state *> usable(const pool_id &Pool, core_time Now);
  /// Leaves a run of a server alone until a time. Returns whether it was not
  /// left alone before.
  bool pause(const backend_entry &Server, core_time Until, core_time Now);
  /// After this time no server is left alone.
  core_time lastPauseEnd() const { return LastPauseEnd; }
  /// Returns whether this run of a server names a limit.
  bool isLimited(const backend_entry &Entry) const {
    return Limits.find(Entry.Id, Entry.Run).has_value();
  }
  /// A call of a queue waits for a limited server.
  void wantPermit(const backend_entry &Entry) {
    if (isLimited(Entry))
      Limits.want(Entry.Id);
  }
  server_limits &limits() { return Limits; }
  const server_limits &limits() const { return Limits; }
  bool isLeaving(const backend_id &Id) const;
  bool empty() const { return Servers.empty(); }
  const std::map<backend_id, backend_state> &all() const { return Servers; }

  /// Time after the first list of a later era in which what the copy lacked is
  /// written again; what is still missing then is gone.
  static constexpr core_duration RewriteTime = std::chrono::milliseconds(1'500);
  /// Time after which an entry that a copy brought back counts as listed: the
  /// platform removes the entries of servers that are silent for less.
  static constexpr core_duration ReturnTime = std::chrono::seconds(5);

  void onCallStarted(const backend_id &Id);
  /// Micros is the time of a complete response; 0 if it is not representative.
  void onCallSucceeded(const backend_id &Id, double Micros);
  void onCallEnded(const backend_id &Id);
  /// Starts a backoff that grows with each consecutive failure.
  void onCallFailed(const backend_id &Id, core_time Now);
  void onLoad(const backend_id &Id, const backend_load &Load, core_time Now);

private:
  void scheduleSettling(core_time At);

  server_limits Limits;
  std::map<backend_id, backend_state> Servers;
  /// Runs that were seen draining or that reported their shutdown.
  std::set<std::pair<backend_id, incarnation>> LeavingRuns;
  /// Removals up to this revision may have been erased or were never read.
  object_version ErasedUpTo;
  /// Set while servers wait to be settled, and not after the first of them.
  std::optional<core_time> SettleAt;
  /// The latest end of a pause, so that times without one cost nothing.
  core_time LastPauseEnd;
  /// Listed servers of a pool that are not leaving. Emptied by each change of
  /// an entry: a scan of all servers for each job would grow with the fleet.
  std::map<pool_id, std::vector<backend_state *>> UsableByPool;
};

} // namespace jasminecroft
