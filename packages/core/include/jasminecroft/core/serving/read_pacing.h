// Decides when a stream is read from its server while its caller reads slowly.
// Waiting keeps the rest at the server instead of in this host's memory, but a
// server cuts a response that remains unread for some seconds.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstddef>
#include <optional>

namespace jasminecroft {

/// Reading waits while the caller has more unread than this, and goes on when
/// it has at most ResumeBytes unread.
inline constexpr std::size_t MaxAheadBytes = 65'536;
inline constexpr std::size_t ResumeBytes = 32'768;
/// What a server has sent stays unread for this time at most.
inline constexpr core_duration MaxReadWait = std::chrono::seconds(1);
/// Bytes that may be received and not read while reading waits.
inline constexpr std::size_t WaitingReceiveBytes = 32'768;

class read_pacing {
public:
  /// Returns whether to read now. Unread: what the caller has not read.
  bool mayRead(std::size_t Unread, core_time Now);

private:
  std::optional<core_time> WaitsSince;
  /// It has waited long enough: all is read until the caller has read again.
  bool CatchingUp = false;
};

} // namespace jasminecroft
