// Table of the known entry hosts, and the rules by which a newer update
// supersedes an older one.
#pragma once

#include "jasminecroft/core/detail/core_context.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace jasminecroft::detail {

/// State of a known host.
struct member_record {
  member_update Update;
  /// True once a message or gossip has confirmed the host; false while it is
  /// known only from a seed or from the platform's host list.
  bool Confirmed = false;
  /// True if the newest host list contains the host.
  bool Listed = false;
  /// True if the run is known only from this host's settings. An outdated host
  /// list does not remove such a record; it is probed, and it expires after
  /// the host has been dead for a while.
  bool Seeded = false;
  core_time ChangedAt{};
  /// When a suspect is declared dead. Set if and only if State is Suspect.
  std::optional<core_time> SuspectUntil;
  /// Number of further rumor rounds that carry the record.
  std::uint32_t RoundsLeft = 0;
};

/// Returns whether Offered supersedes Current, an update about the same host.
/// The later run wins. Within a run, Left is final; otherwise the higher
/// refutation number wins, then the worse state.
bool isNewer(const member_update &Offered, const member_update &Current);

/// Returns the rendezvous hash of a host for a name. Hosts rank by descending
/// score.
std::uint64_t rankScore(const entry_host_id &Host, std::string_view Name);

/// Holds a record of each known entry host except this one.
class member_table {
public:
  explicit member_table(core_context &Context) : Context(Context) {}

  /// Merges an update from gossip or from a probe. Returns true if it changed
  /// the record.
  bool merge(const member_update &Offered);
  /// Adds a seed or an entry of the host list. It never overrides what gossip
  /// or probes have reported about the same run.
  void mergeSeed(const member_update &Seed, bool Listed);
  /// Enclose the mergeSeed() calls for a host list. endHostList() removes hosts
  /// that were known only from an earlier list and are not in this one.
  void beginHostList();
  void endHostList();

  /// Records the configuration version of a host if it is higher than the one
  /// known.
  void raiseConfigVersion(const entry_host_id &Host, config_version Version);
  /// Marks a host in state Alive as suspect.
  void suspect(const entry_host_id &Host);
  /// Declares suspects dead whose period is over, and removes expired records.
  void expire();
  /// Restarts the suspicion period of every suspect after this process was
  /// paused.
  void restartSuspicionTimers();

  const member_record *find(const entry_host_id &Host) const;
  member_record *find(const entry_host_id &Host);
  const std::map<entry_host_id, member_record> &all() const { return Members; }
  /// Increases whenever the set of live hosts changes.
  std::uint64_t epoch() const { return Epoch; }
  bool hasUrgentUpdates() const { return !Urgent.empty(); }
  void onRumorsSent();
  std::optional<core_time> nextExpiry() const;

private:
  void markChanged(member_record &Record);
  core_duration suspicionTime() const;
  void setState(member_record &Record, member_state State);
  void remove(const entry_host_id &Host);

  core_context &Context;
  std::map<entry_host_id, member_record> Members;
  /// The members whose SuspectUntil is set, and no others.
  std::set<entry_host_id> Suspects;
  /// Includes every member whose RoundsLeft is above 0.
  std::set<entry_host_id> Urgent;
  std::uint64_t Epoch = 1;
};

} // namespace jasminecroft::detail
