// Limits of servers, bounded in number.
#include "jasminecroft/core/serving/server_limits.h"

#include <algorithm>

namespace jasminecroft {

namespace {

constexpr std::size_t MaxServers = 4'096;

} // namespace

// Returns the record of a server; null if there are too many limited servers.
server_limits::record *server_limits::makeRecord(const backend_id &Server) {
  auto Known = Records.find(Server);
  if (Known != Records.end())
    return &Known->second;
  if (Records.size() >= MaxServers)
    std::erase_if(Records,
                  [](const std::pair<const backend_id, record> &Entry) {
                    return !Entry.second.PerSecond;
                  });
  if (Records.size() >= MaxServers)
    return nullptr;
  return &Records[Server];
}

limit_change server_limits::onReply(const backend_id &Server, incarnation Run,
                                    const stated_limit &Stated,
                                    core_time SentAt, core_time Now) {
  if (!Stated.PerSecond && !find(Server, Run))
    return limit_change::None;
  record *Known = makeRecord(Server);
  if (!Known || Run < Known->Run)
    return limit_change::None;
  if (Known->Run < Run)
    *Known = record{Run, std::nullopt, core_time{}};
  bool Limited = Known->PerSecond.has_value();
  if (Limited == Stated.PerSecond.has_value()) {
    bool Same = Known->PerSecond == Stated.PerSecond;
    Known->PerSecond = Stated.PerSecond;
    return Same ? limit_change::None : limit_change::Changed;
  }
  if (SentAt < Known->Since)
    return limit_change::None;
  Known->PerSecond = Stated.PerSecond;
  Known->Since = Now;
  return Limited ? limit_change::Ended : limit_change::Began;
}

std::optional<double> server_limits::find(const backend_id &Server,
                                          incarnation Run) const {
  auto Known = Records.find(Server);
  if (Known == Records.end() || Known->second.Run != Run)
    return std::nullopt;
  return Known->second.PerSecond;
}

std::size_t server_limits::count() const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(),
                    [](const std::pair<const backend_id, record> &Entry) {
                      return Entry.second.PerSecond.has_value();
                    }));
}

} // namespace jasminecroft
