// Limits of requests a second that backend servers name in their replies. Each
// is for all hosts together and holds as long as replies name it.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminecroft {

class shared_rate;

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

/// The limits, and this host's part in keeping them. A few hosts hold fixed
/// parts of each limit; every call is counted at one of these.
class server_limits {
public:
  /// The parts of this host; without it, this host holds the limits whole.
  void shareBy(const shared_rate &Rate) { Shares = &Rate; }
  /// Names the limit of a server where parts are held.
  static std::string key(const backend_id &Server);
  /// Returns how many hosts hold a part of a server's limit.
  std::size_t holderCount(const backend_id &Server) const;

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

  /// Returns whether this host holds a part of a server's limit.
  bool holdsPart(const backend_id &Server, core_time Now);
  /// Counts a request to a server with a limit; returns false if it would
  /// exceed this host's part.
  bool tryAcquire(const backend_id &Server, core_time Now);
  /// Returns the time until tryAcquire succeeds; zero if there is no limit, and
  /// long if this host holds no part.
  core_duration timeToNext(const backend_id &Server, core_time Now);

  /// Calls of the queues that this host owns: another host may have counted one
  /// of them ahead, and is asked for that where it is wanted.
  void want(const backend_id &Server);
  std::set<backend_id> takeWanted() { return std::exchange(Wanted, {}); }
  /// Another host has counted a call that may be sent soon.
  void hold(const backend_id &Server, core_time Now);
  /// No other host counts a call before this time.
  void setNextAsk(const backend_id &Server, core_time Time);
  bool mayAsk(const backend_id &Server, core_time Now) const;
  /// The same as above for calls of queues.
  void acquireForQueue(const backend_id &Server, core_time Now);
  core_duration timeToNextForQueue(const backend_id &Server, core_time Now);
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
    /// This host's part, as of a generation of the shared rate.
    double Part = 1;
    std::optional<std::uint64_t> PartOf;
    /// Requests that may be sent now, and the time of this number.
    double Tokens = 0;
    core_time RefilledAt;
    core_time LastAcquiredAt;
    /// A call of a queue that another host has counted may be sent before.
    core_time HeldUntil;
    core_time NextAskAt;
    /// Latest time that was suggested to a refused request.
    core_time SuggestedAt;
    double rate() const;
  };
  record *makeRecord(const backend_id &Server);
  void set(record &Record, std::optional<double> PerSecond);
  /// Returns the record of a server with a limit, its tokens up to date; null
  /// if there is none.
  record *refill(const backend_id &Server, core_time Now);

  /// Brings the part up to date; the tokens of the time before are counted.
  void updatePart(const backend_id &Server, record &Record,
                  core_time Now) const;
  void begin(const backend_id &Server, record &Record, core_time Now) const;

  const shared_rate *Shares = nullptr;
  std::map<backend_id, record> Records;
  std::size_t Limited = 0;
  /// Servers for which a call of a queue waits.
  std::set<backend_id> Wanted;
};

} // namespace jasminecroft
