// Carries messages between entry hosts over nng.
#pragma once

#include "jasminecroft/wire/peer_transport.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jasminecroft {

/// Files in PEM form. Each host proves its name by a certificate that the
/// authority has signed; the name stands in it as a DNS name.
struct peer_tls_files {
  /// The host's certificate, followed by its private key.
  std::string CertificateAndKey;
  std::string Authority;
};

struct nng_transport_settings {
  fleet_id Fleet;
  host_run Self;
  /// Where this host listens for its peers.
  endpoint Listen;
  /// Absent: messages travel in plain text.
  std::optional<peer_tls_files> Tls;
};

/// Why a message from the network was not taken.
enum class peer_refusal {
  Malformed,
  TooLarge,
  ForeignFleet,
  /// Seen before, too old to tell, or of an earlier run of its sender.
  Replayed,
  /// It claims to come from this host.
  OwnName,
};
std::string_view toText(peer_refusal Reason);

struct refused_peer_message {
  peer_refusal Reason = peer_refusal::Malformed;
  /// Name of the host if it could be read, else its IP address.
  std::string Sender;
};

enum class transport_problem {
  AddressInUse,
  AddressRefused,
  /// A file of the TLS settings cannot be read or used.
  TlsFilesRefused,
  Broken
};

/// Counts since the transport was made.
struct peer_transport_counters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Not sent because the peer was slow or could not be reached.
  std::uint64_t Dropped = 0;
  std::uint64_t Refused = 0;
};

/// Hears of the transport, on the io_context's thread.
class peer_transport_listener {
public:
  virtual ~peer_transport_listener() = default;
  virtual void onReceived(peer_message Message) = 0;
  /// Messages to Host were dropped; a hint, never proof of death.
  virtual void onUnreachable(const entry_host_id &Host) = 0;
  virtual void onRefused(const refused_peer_message &Refused) = 0;
  /// Nothing more will be received.
  virtual void onBroken(transport_problem Problem) = 0;
};

class nng_peer_transport : public peer_transport {
public:
  virtual peer_transport_counters counters() const = 0;
  /// Ends the connection to a peer; the next message opens a new one.
  virtual void reconnect(const entry_host_id &Host) = 0;
  /// Whether no message waits to be sent.
  virtual bool idle() const = 0;
};

using transport_result =
    std::variant<std::unique_ptr<nng_peer_transport>, transport_problem>;

/// Listens at Settings.Listen. Listener must outlive the transport.
transport_result makeNngTransport(boost::asio::io_context &Context,
                                  const nng_transport_settings &Settings,
                                  peer_transport_listener &Listener);

} // namespace jasminecroft
