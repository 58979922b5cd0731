// Records of the entry hosts known to this host, and the rules by which newer
// evidence replaces older evidence.
#pragma once

#include "jasminecroft/core/detail/core_context.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace jasminecroft::detail {

/// One known host.
struct member_record {
  member_update Update;
  /// False while only a seed or the platform's list speaks for it.
  bool Heard = false;
  /// True if the newest host list names it.
  bool Listed = false;
  /// True if only this host's own settings name the run; a list that lags
  /// does not drop it. It is probed, and forgotten once dead for long.
  bool Seeded = false;
  core_time ChangedAt{};
  /// When a suspect becomes dead. Set exactly while State is Suspect.
  std::optional<core_time> SuspectUntil;
  /// Rounds of rumors that still carry the record.
  std::uint32_t RoundsLeft = 0;
};

/// Orders evidence about one host: the later run wins; within a run leaving
/// is final, then the higher refutation, then the worse state.
bool isNewer(const member_update &Offered, const member_update &Held);

/// Rank of a host for a name (rendezvous hash); the higher score goes first.
std::uint64_t rankScore(const entry_host_id &Host, std::string_view Name);

class member_table {
public:
  explicit member_table(core_context &Context) : Context(Context) {}

  /// Takes evidence from gossip or from probing; true if it was news.
  bool offer(const member_update &Offered);
  /// Takes a seed or a line of the host list, which never overrule evidence
  /// about the same run.
  void seed(const member_update &Seed, bool Listed);
  /// Forgets hosts of which only a list spoke and that it names no more.
  void beginHostList();
  void endHostList();

  /// Raises the version in force at a host.
  void noteConfig(const entry_host_id &Host, config_version Version);
  void suspect(const entry_host_id &Host);
  /// Turns suspects into dead ones in time and forgets old records.
  void expire();
  /// Gives every suspect a whole period again, after this host was frozen.
  void restartSuspicions();

  const member_record *find(const entry_host_id &Host) const;
  member_record *find(const entry_host_id &Host);
  const std::map<entry_host_id, member_record> &all() const { return Members; }
  /// Grows whenever the set of live hosts changes.
  std::uint64_t epoch() const { return Epoch; }
  bool hasUrgentUpdates() const { return !Urgent.empty(); }
  void onRumorsSent();
  std::optional<core_time> nextExpiry() const;

private:
  void changed(member_record &Record);
  core_duration suspicionTime() const;
  void setState(member_record &Record, member_state State);
  void forget(const entry_host_id &Host);

  core_context &Context;
  std::map<entry_host_id, member_record> Members;
  /// Exactly the members whose SuspectUntil is set.
  std::set<entry_host_id> Suspects;
  /// Members whose RoundsLeft may be above 0.
  std::set<entry_host_id> Urgent;
  std::uint64_t Epoch = 1;
};

} // namespace jasminecroft::detail
