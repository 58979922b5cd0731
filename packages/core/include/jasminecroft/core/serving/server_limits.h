// Limits of requests a second that backend servers name in their replies. Each
// is for all hosts together and holds as long as replies name it.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace jasminecroft {

/// What a reply says of its server's limit.
struct stated_limit {
  /// Requests a second from all hosts together; absent if there is no limit.
  std::optional<double> PerSecond;
  bool operator==(const stated_limit &) const = default;
};

enum class limit_change { None, Began, Changed, Ended };

/// What one host knows of a server's limit, for another one.
struct server_limit_news {
  backend_id Server;
  incarnation Run;
  /// Millionths of requests a second; absent if there is no limit.
  std::optional<std::uint64_t> MicrosPerSecond;
  /// Time since the limit began or ended, and since its last change, counted
  /// from the sending of the message.
  core_duration Age{0};
  core_duration ChangeAge{0};
  bool operator==(const server_limit_news &) const = default;
};

/// The limits, and this host's part in keeping them. The requests of all hosts
/// to a limited server are counted at one of them.
class server_limits {
public:
  /// Records what a reply to a call says that was sent at SentAt. The end of a
  /// limit shows in replies to calls that were sent after it began: an earlier
  /// reply may have been on its way.
  limit_change onReply(const backend_id &Server, incarnation Run,
                       const stated_limit &Stated, core_time SentAt,
                       core_time Now);
  /// Applies what another host knows, if it is newer.
  limit_change apply(const server_limit_news &News, core_time Now);
  /// Returns what this host knows of a server; nothing if it never had a limit.
  std::optional<server_limit_news> news(const backend_id &Server,
                                        core_time Now) const;
  /// Returns the limits in force, for hosts that may lack them.
  std::vector<server_limit_news> inForce(core_time Now) const;

  /// Returns the limit of a run of a server, in requests a second.
  std::optional<double> find(const backend_id &Server, incarnation Run) const;
  /// Number of servers with a limit.
  std::size_t count() const { return Limited; }

  /// Counts a request to a server with a limit; returns false if it would
  /// exceed it.
  bool tryAcquire(const backend_id &Server, core_time Now);
  /// Returns the time until tryAcquire succeeds; zero if there is no limit.
  core_duration timeToNext(const backend_id &Server, core_time Now);
  /// Returns the time since this host last counted a request to a server with
  /// a limit, or since the limit began.
  core_duration unusedFor(const backend_id &Server, core_time Now) const;
  /// Returns when a refused request may come back. Further ones get later
  /// times, so that they do not come back together.
  core_duration suggestRetry(const backend_id &Server, core_time Now);

private:
  struct record {
    incarnation Run;
    std::optional<double> PerSecond;
    /// Time of the last beginning or end, and of the last change.
    core_time Since;
    core_time ChangedAt;
    /// Requests that may be sent now, and the time of this number.
    double Tokens = 0;
    core_time RefilledAt;
    core_time LastAcquiredAt;
    /// Latest time that was suggested to a refused request.
    core_time SuggestedAt;
    double rate() const;
  };
  record *makeRecord(const backend_id &Server);
  void set(record &Record, std::optional<double> PerSecond);
  /// Returns the record of a server with a limit, its tokens up to date; null
  /// if there is none.
  record *refill(const backend_id &Server, core_time Now);

  std::map<backend_id, record> Records;
  std::size_t Limited = 0;
};

} // namespace jasminecroft
