// What the parts of a core put into, and take from, messages between entry
// hosts.
#pragma once

#include "jasminecroft/core/peer_messages.h"

namespace jasminecroft::detail {

/// For whom a payload is made.
struct gossip_recipient {
  entry_host_id Host;
  bool SameZone = true;
  /// Only news that is still being spread; for rumors.
  bool UrgentOnly = false;
};

/// A part of the core that spreads something by gossip.
class gossip_participant {
public:
  virtual ~gossip_participant() = default;
  /// Adds to a payload at most what the bounds of peer_messages.h allow.
  virtual void appendGossip(gossip_payload &Payload,
                            const gossip_recipient &To) = 0;
  /// Takes what a peer says; the message has passed the checks of membership.
  virtual void onGossip(const gossip_payload &Payload, const host_run &Sender,
                        const zone_id &SenderZone) = 0;
  /// True while there is news that should not wait for the next probe.
  virtual bool hasUrgentUpdates() const = 0;
  /// A round of rumors has been sent.
  virtual void onRumorsSent() = 0;
};

} // namespace jasminecroft::detail
