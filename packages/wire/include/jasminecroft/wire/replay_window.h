// Tells new messages from those that were seen before.
#pragma once

#include "jasminecroft/core/stored_objects.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace jasminecroft {

/// Remembers the newest sequence numbers of each sender's latest run. Runs are
/// numbered by the time of day, which may go back between two of them: a lower
/// run is taken once the higher one is silent. Memory is bounded; a restart
/// forgets everything, and a message sent before it may then be taken twice.
class replay_window {
public:
  using clock = std::chrono::steady_clock;
  /// A run of which no message came in this time may be over.
  static constexpr std::chrono::seconds SilentRunTime{5};
  static constexpr std::size_t MaxSenders = 4'096;
  static constexpr std::uint64_t Width = 64;

  /// True if the message is new; remembers it.
  bool accept(const host_run &Sender, std::uint64_t Sequence,
              clock::time_point Now);

private:
  struct entry {
    incarnation Run;
    std::uint64_t Highest = 0;
    /// Bit N stands for Highest - N.
    std::uint64_t Seen = 0;
    /// When the last new message of the run came.
    clock::time_point HeardAt;
  };
  std::map<entry_host_id, entry> Senders;
};

} // namespace jasminecroft
