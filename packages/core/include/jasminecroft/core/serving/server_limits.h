// Limits of requests a second that backend servers name in their replies. Each
// is for all hosts together and holds as long as replies name it.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstddef>
#include <map>
#include <optional>

namespace jasminecroft {

/// What a reply says of its server's limit.
struct stated_limit {
  /// Requests a second from all hosts together; absent if there is no limit.
  std::optional<double> PerSecond;
  bool operator==(const stated_limit &) const = default;
};

enum class limit_change { None, Began, Changed, Ended };

class server_limits {
public:
  /// Records what a reply to a call says that was sent at SentAt. The end of a
  /// limit shows in replies to calls that were sent after it began: an earlier
  /// reply may have been on its way.
  limit_change onReply(const backend_id &Server, incarnation Run,
                       const stated_limit &Stated, core_time SentAt,
                       core_time Now);
  /// Returns the limit of a run of a server, in requests a second.
  std::optional<double> find(const backend_id &Server, incarnation Run) const;
  /// Number of servers with a limit.
  std::size_t count() const;

private:
  struct record {
    incarnation Run;
    std::optional<double> PerSecond;
    /// Time of the last beginning or end.
    core_time Since;
  };
  record *makeRecord(const backend_id &Server);

  std::map<backend_id, record> Records;
};

} // namespace jasminecroft
