// The backend servers that the platform lists, and what this host has learned
// of them from its own calls.
#pragma once

#include "jasminecroft/core/serving/route_config.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminecroft {

/// One entry of the platform's list of backend servers.
struct backend_entry {
  backend_id Id;
  pool_id Pool;
  endpoint Address;
  zone_id Zone;
  bool Draining = false;
  /// Wall-clock start of the server; tells runs under one id apart.
  incarnation Run;
  object_version Revision;
};

/// What a backend server says of its load with an answer.
struct backend_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// 100 means that work takes as long as usual.
  std::uint32_t SlownessPercent = 100;
};

struct backend_state {
  backend_entry Entry;
  /// Set when the entry left the platform's list.
  std::optional<core_time> UnlistedSince;
  /// Calls of this host in progress.
  std::uint32_t InFlight = 0;
  std::optional<backend_load> Load;
  core_time LoadAt;
  /// Failures in a row of this host's calls.
  std::uint32_t Failures = 0;
  /// No new work before this time, unless nothing else is left.
  core_time AvoidUntil;
  /// Smoothed time of a plain call, in microseconds; 0: none yet.
  double CallMicros = 0;
};

class backend_directory {
public:
  /// Takes an entry if it is newer than what is known of the server. A run
  /// that was seen draining never becomes ready again.
  void update(const backend_entry &Entry);
  /// The platform no longer lists the server.
  void remove(const backend_id &Id, object_version Revision, core_time Now);
  /// Takes a whole list: servers that are not in it have left.
  void replaceAll(const std::vector<backend_entry> &Entries,
                  object_version Revision, core_time Now);
  /// The server itself said that it is leaving or that it is another run.
  void markLeaving(const backend_id &Id);
  /// Drops what left long ago.
  void evictUnlisted(core_time Now);

  backend_state *find(const backend_id &Id);
  const backend_state *find(const backend_id &Id) const;
  const backend_state *findByAddress(const endpoint &Address) const;
  /// Servers of a pool that may get new work: listed and not draining. If
  /// there is none, those that left the list a moment ago: a platform that
  /// was away may have dropped servers that live.
  std::vector<backend_state *> usable(const pool_id &Pool, core_time Now);
  bool isLeaving(const backend_id &Id) const;
  bool empty() const { return Servers.empty(); }
  const std::map<backend_id, backend_state> &all() const { return Servers; }

  void onCallStarted(const backend_id &Id);
  /// Micros: how long a whole answer took; 0 if that says nothing.
  void onCallSucceeded(const backend_id &Id, double Micros);
  void onCallEnded(const backend_id &Id);
  /// Keeps the server out of use for a time that grows with each failure.
  void onCallFailed(const backend_id &Id, core_time Now);
  void onLoad(const backend_id &Id, const backend_load &Load, core_time Now);

private:
  std::map<backend_id, backend_state> Servers;
  /// Runs that were seen draining or that said so themselves.
  std::set<std::pair<backend_id, incarnation>> LeavingRuns;
};

} // namespace jasminecroft
