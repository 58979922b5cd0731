// Fixed shares of a rate, and their buckets.
#include "jasminecroft/core/serving/shared_rate.h"

#include <algorithm>

namespace jasminecroft {

namespace {

/// The list may lack hosts that started together with this one, which would
/// rank too high.
constexpr core_duration RosterTime = std::chrono::seconds(3);
/// Until then a small fleet may be a large one of which little is known.
constexpr core_duration SmallRosterTime = std::chrono::seconds(15);

} // namespace

void share_bucket::fill(double PerSecond, core_time Now) {
  if (Now <= FilledAt)
    return;
  double Seconds = std::chrono::duration<double>(Now - FilledAt).count();
  Tokens = std::min(1.0, Tokens + PerSecond * Seconds);
  FilledAt = Now;
}

bool share_bucket::take() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

std::optional<core_duration> share_bucket::timeToNext(double PerSecond,
                                                      core_time Now) const {
  if (Tokens >= 1)
    return core_duration{0};
  if (PerSecond <= 0)
    return std::nullopt;
  // Rounded up, so that the token is there after this time.
  core_duration Filling =
      std::chrono::duration_cast<core_duration>(
          std::chrono::duration<double>((1 - Tokens) / PerSecond)) +
      core_duration{1};
  return std::max(FilledAt, Now) - Now + Filling;
}

std::uint64_t shared_rate::generation(core_time Now) const {
  std::optional<core_time> ReadAt = Hosts.listReadAt();
  std::uint64_t Phase = !ReadAt || Now < *ReadAt + RosterTime ? 0
                        : Now < *ReadAt + SmallRosterTime     ? 1
                                                              : 2;
  return 3 * Hosts.rosterGeneration() + Phase;
}

double shared_rate::fraction(std::string_view Key, core_time Now,
                             std::size_t Most) const {
  std::optional<core_time> ReadAt = Hosts.listReadAt();
  if (!ReadAt || Now < *ReadAt + RosterTime)
    return 0;
  std::size_t Known = Hosts.rosterCount();
  bool Settled = Known >= Holders || Now >= *ReadAt + SmallRosterTime;
  if (!Settled && Known == 1)
    return 0;
  if (Hosts.rosterRankOfSelf(Key) >= Most)
    return 0;
  std::size_t Shares = Settled ? std::min(Known, Most) : Most;
  return 1.0 / static_cast<double>(Shares);
}

double shared_rate::firstTokens(std::string_view Key, std::size_t Most) const {
  std::size_t Shares = std::min(Hosts.rosterCount(), Most);
  std::size_t Rank = Hosts.rosterRankOfSelf(Key);
  return Rank >= Shares
             ? 0
             : 1 - static_cast<double>(Rank + 1) / static_cast<double>(Shares);
}

} // namespace jasminecroft
