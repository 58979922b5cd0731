// Interface of components that exchange state by gossip.
#pragma once

#include "jasminecroft/core/peer_messages.h"

namespace jasminecroft::detail {

/// The host that receives a payload.
struct gossip_recipient {
  entry_host_id Host;
  bool SameZone = true;
  /// Restricts the payload to updates whose rumor rounds are not over.
  bool UrgentOnly = false;
};

/// A component of the core that exchanges state by gossip.
class gossip_participant {
public:
  virtual ~gossip_participant() = default;
  /// Appends updates to a payload, within the limits of peer_messages.h.
  virtual void appendGossip(gossip_payload &Payload,
                            const gossip_recipient &To) = 0;
  /// Processes the payload of a peer's message that membership has accepted.
  virtual void onGossip(const gossip_payload &Payload, const host_run &Sender,
                        const zone_id &SenderZone) = 0;
  /// Returns true while there are updates that should not wait for the next
  /// probe.
  virtual bool hasUrgentUpdates() const = 0;
  /// Called after each round of rumors.
  virtual void onRumorsSent() = 0;
};

} // namespace jasminecroft::detail
