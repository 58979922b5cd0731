// A rate that all hosts keep together without messages. A few hosts hold fixed
// shares of it and all others have none, so that the shares add up to no more
// than the rate whoever cannot hear whom.
#pragma once

#include "jasminecroft/core/serving/fleet_hosts.h"

#include <string_view>

namespace jasminecroft {

/// Calls that one host may make now. Holds one at most: the holders of a rate
/// may use up what they hold in the same instant.
class share_bucket {
public:
  share_bucket() = default;
  /// Fills from Start on.
  share_bucket(double Tokens, core_time Start)
      : Tokens(Tokens), FilledAt(Start) {}

  /// Adds what PerSecond gives since the last time.
  void fill(double PerSecond, core_time Now);
  /// Takes a token; returns false if there is none.
  bool take();
  /// Returns the time until there is a token; absent if there will be none.
  std::optional<core_duration> timeToNext(double PerSecond,
                                          core_time Now) const;

private:
  double Tokens = 0;
  core_time FilledAt;
};

/// This host's shares. The holders are the first in rank of all hosts on the
/// platform's list, suspected or not: hosts that cannot hear each other still
/// agree about them. A host that has not read the list has no share.
class shared_rate {
public:
  /// Hosts that hold a share. More would lose less with one of them, but each
  /// may send one call more in any second.
  static constexpr std::size_t Holders = 4;

  explicit shared_rate(const fleet_hosts &Hosts) : Hosts(Hosts) {}

  /// Changes whenever a part may have changed.
  std::uint64_t generation(core_time Now) const;
  /// Returns this host's part of the rate that Key names; zero for most hosts.
  /// At most Most hosts hold a part.
  double fraction(std::string_view Key, core_time Now,
                  std::size_t Most = Holders) const;
  /// Returns the hosts that hold a part, whether they can be reached or not.
  std::vector<batching_host> holders(std::string_view Key,
                                     std::size_t Most = Holders) const {
    return Hosts.rosterRanked(Key, Most);
  }
  /// Returns with which part of a call this host begins if all holders begin
  /// together: their first calls then follow each other.
  double firstTokens(std::string_view Key, std::size_t Most = Holders) const;

private:
  const fleet_hosts &Hosts;
};

} // namespace jasminecroft
