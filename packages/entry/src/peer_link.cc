// Joins the peers' transport with the core.
#include "jasminecroft/entry/peer_link.h"

namespace jasminecroft {

namespace {

constexpr std::size_t MaxLoggedSenders = 1'024;

part_failure toFailure(transport_problem Problem) {
  switch (Problem) {
  case transport_problem::AddressInUse:
    return {part_kind::Peers, part_problem::AddressInUse};
  case transport_problem::AddressRefused:
    return {part_kind::Peers, part_problem::AddressRefused};
  case transport_problem::TlsFilesRefused:
    return {part_kind::Peers, part_problem::TlsFilesRefused};
  case transport_problem::Broken:
    return {part_kind::Peers, part_problem::ListenerBroken};
  }
  return {part_kind::Peers, part_problem::ListenerBroken};
}

} // namespace

peer_link::peer_link(boost::asio::io_context &Context,
                     const nng_transport_settings &Settings, event_sink &Events,
                     event_logger &Log, failure_listener &Failures)
    : Context(Context), Settings(Settings), Events(Events), Log(Log),
      Failures(Failures) {}

std::optional<part_failure> peer_link::start() {
  transport_result Result = makeNngTransport(Context, Settings, *this);
  if (transport_problem *Problem = std::get_if<transport_problem>(&Result))
    return toFailure(*Problem);
  Transport = std::move(std::get<std::unique_ptr<nng_peer_transport>>(Result));
  return std::nullopt;
}

void peer_link::stop() { Transport.reset(); }

void peer_link::perform(const send_to_peer &Action) {
  if (Transport)
    Transport->send(Action.Host, Action.Address, Action.Message);
}

peer_transport_counters peer_link::counters() const {
  return Transport ? Transport->counters() : peer_transport_counters{};
}

void peer_link::onReceived(peer_message Message) {
  Events.post(peer_received{std::move(Message)});
}

void peer_link::onUnreachable(const entry_host_id &Host) {
  Events.post(peer_unreachable{Host});
}

void peer_link::onRefused(const refused_peer_message &Refused) {
  bool Known = LoggedSenders.contains(Refused.Sender);
  if (Known || LoggedSenders.size() >= MaxLoggedSenders)
    return;
  LoggedSenders.insert(Refused.Sender);
  Log.write({event_number::PeerMessageRefused,
             event_severity::Warning,
             "peer message refused",
             {{"sender", Refused.Sender},
              {"reason", std::string(toText(Refused.Reason))}}});
}

void peer_link::onBroken(transport_problem Problem) {
  Failures.onPartFailed(toFailure(Problem));
}

} // namespace jasminecroft
