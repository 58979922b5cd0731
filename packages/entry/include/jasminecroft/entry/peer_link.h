// The link to other entry hosts: their transport as a supervised part.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/entry/core_runner.h"
#include "jasminecroft/entry/event_logger.h"
#include "jasminecroft/entry/supervised_part.h"
#include "jasminecroft/wire/nng_transport.h"

#include <memory>
#include <set>
#include <string>

namespace jasminecroft {

/// Sends and receives peer messages. A restart loses messages on their way
/// and the memory of what was received before; both are made good by the
/// core's own retries and versions.
class peer_link final : public supervised_part,
                        private peer_transport_listener {
public:
  peer_link(boost::asio::io_context &Context,
            const nng_transport_settings &Settings, event_sink &Events,
            event_logger &Log, failure_listener &Failures);

  std::optional<part_failure> start() override;
  void stop() override;
  void perform(const send_to_peer &Action);
  peer_transport_counters counters() const;
  bool idle() const { return !Transport || Transport->idle(); }

private:
  void onReceived(peer_message Message) override;
  void onUnreachable(const entry_host_id &Host) override;
  void onRefused(const refused_peer_message &Refused) override;
  void onBroken(transport_problem Problem) override;

  boost::asio::io_context &Context;
  nng_transport_settings Settings;
  event_sink &Events;
  event_logger &Log;
  failure_listener &Failures;
  std::unique_ptr<nng_peer_transport> Transport;
  /// Senders whose refused messages were logged; bounded.
  std::set<std::string> LoggedSenders;
};

} // namespace jasminecroft
