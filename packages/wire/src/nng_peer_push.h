// The push socket to one peer, with its bounded queue.
#pragma once

#include "jasminecroft/wire/nng_transport.h"
#include "nng_operation.h"

#include <chrono>
#include <deque>
#include <memory>
#include <nng/nng.h>
#include <optional>
#include <string>

namespace jasminecroft::detail {

/// The URL at which nng listens or dials.
std::string urlOf(const endpoint &Address, bool Tls);

/// Hears what became of the messages to a peer.
class push_listener {
public:
  virtual ~push_listener() = default;
  virtual void onSent(std::size_t Bytes) = 0;
  virtual void onDropped(const entry_host_id &Host, std::size_t Messages) = 0;
};

/// Sends to one peer; what cannot leave in time is dropped and reported.
class peer_push : public std::enable_shared_from_this<peer_push> {
public:
  using clock = std::chrono::steady_clock;

  peer_push(boost::asio::io_context &Context, const entry_host_id &Host,
            endpoint Address, const std::optional<peer_tls_files> &Tls,
            push_listener &Listener);
  ~peer_push();
  peer_push(const peer_push &) = delete;
  peer_push &operator=(const peer_push &) = delete;

  /// False if nng refuses the address or the certificate files.
  bool start();
  void send(message_ptr Message);
  bool idle() const { return !Sending; }
  bool unusedSince(clock::time_point Time) const {
    return !Sending && LastUse < Time;
  }
  const endpoint &address() const { return Address; }

private:
  bool setTls(nng_dialer Dialer) const;
  void sendNext();
  void onComplete();

  boost::asio::io_context &Context;
  entry_host_id Host;
  endpoint Address;
  std::optional<peer_tls_files> Tls;
  push_listener &Listener;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  bool Open = false;
  bool Sending = false;
  std::unique_ptr<posted_aio> Aio;
  std::deque<message_ptr> Queue;
  /// Bytes in Queue, without the message that is being sent.
  std::size_t QueuedBytes = 0;
  std::size_t SendingBytes = 0;
  clock::time_point LastUse = clock::now();
};

} // namespace jasminecroft::detail
