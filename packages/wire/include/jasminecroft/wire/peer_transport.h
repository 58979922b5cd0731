// Carries messages between entry hosts.
#pragma once

#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/wire/codec_result.h"

#include <functional>

namespace jasminecroft {

/// Sends and receives peer messages; delivery is best effort, order is not
/// kept. Used from one thread.
class peer_transport {
public:
  using received_handler = std::function<void(peer_message)>;
  using unreachable_handler = std::function<void(entry_host_id)>;
  using refused_handler = std::function<void(codec_error)>;

  virtual ~peer_transport() = default;
  virtual void send(const entry_host_id &Host, const endpoint &Address,
                    const peer_message &Message) = 0;
  /// Stops receiving and drops what is not sent yet.
  virtual void close() = 0;
};

} // namespace jasminecroft
