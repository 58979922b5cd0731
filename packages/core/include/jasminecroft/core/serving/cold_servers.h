// Servers that have just started, or say that they are cold again: all hosts
// together send them a bounded number of calls a second. They take on load in
// steps once they are warm.
#pragma once

#include "jasminecroft/core/serving/call_admission.h"
#include "jasminecroft/core/serving/shared_rate.h"

#include <map>
#include <optional>
#include <vector>

namespace jasminecroft {

/// Knows the cold servers of the pools that have rules for them.
class cold_servers final : public admission_source {
public:
  explicit cold_servers(const fleet_hosts &Hosts) : Hosts(Hosts), Rate(Hosts) {}

  void configure(const std::map<pool_id, serving_pool> &Pools);
  /// Applies an entry of the platform's list before the directory does, which
  /// knows Known of it. A run that starts later than this host's first list is
  /// cold unless its entry says otherwise. Returns whether it has become cold.
  bool onEntry(const backend_entry &Entry, const backend_state *Known,
               core_time Now);
  /// The entries of the first list have been applied.
  void onListRead() { ListRead = true; }
  /// A server says that it stays cold for a time. Never shortens what is known.
  /// Returns whether it has become cold.
  bool onStated(const backend_entry &Server, core_duration Left, core_time Now);
  /// The same, said by another host. It is not told on: hosts that repeat to
  /// each other what they were told would never end.
  bool onTold(const backend_entry &Server, core_duration Left, core_time Now);

  /// Returns for how long a run is cold; zero if it is not.
  core_duration timeLeft(const backend_entry &Server, core_time Now) const;
  /// Returns the time left by what the server itself or its entry said.
  core_duration statedLeft(const backend_entry &Server, core_time Now) const;
  /// Returns the servers that said so, for hosts that may lack them.
  std::vector<cold_server_news> all(core_time Now) const;
  /// Returns the servers that have become warm since the last time.
  std::vector<backend_id> takeWarm(core_time Now);
  /// Returns when the next server becomes warm.
  std::optional<core_time> nextWakeup() const;
  /// Number of cold servers.
  std::size_t count(core_time Now) const;

  bool active(core_time) const override { return !Records.empty(); }
  admission_answer check(const backend_state &Server,
                         const call_subject &Subject, core_time Now) override;
  void onAdmitted(const backend_state &Server, const call_subject &Subject,
                  core_time Now) override;

private:
  struct record {
    pool_id Pool;
    incarnation Run;
    core_time ColdUntil;
    /// The end by what the server itself or its entry said.
    core_time StatedUntil;
    /// Until then its load grows.
    core_time RampEnd;
    /// This host's calls, while cold and after it.
    share_bucket Cold;
    share_bucket Ramp;
    /// This host's part, as of a generation of the shared rate.
    double Fraction = 0;
    std::optional<std::uint64_t> FractionOf;
    bool ToldWarm = false;
  };

  record *find(const backend_entry &Server);
  const record *find(const backend_entry &Server) const;
  bool binds(const record &Record, const call_subject &Subject,
             core_time Now) const;
  bool setCold(const backend_entry &Server, core_duration Left, bool Started,
               core_time Now);
  void noteStated(const backend_entry &Server, core_duration Left,
                  core_time Now);
  double coldRate(const backend_id &Server, record &Record, core_time Now);
  double rampRate(const record &Record, core_time Now) const;
  /// Brings the bucket in force up to date and returns its rate.
  std::pair<share_bucket *, double> fill(const backend_id &Server,
                                         record &Record, core_time Now);

  const fleet_hosts &Hosts;
  shared_rate Rate;
  std::map<pool_id, warm_up_rules> Rules;
  std::map<backend_id, record> Records;
  bool ListRead = false;
};

} // namespace jasminecroft
