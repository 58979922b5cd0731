// Queues messages to one peer and hands them to nng one by one.
#include "nng_peer_push.h"

#include "jasminecroft/wire/peer_codec.h"

#include <nng/protocol/pipeline0/push.h>
#include <nng/supplemental/tls/tls.h>

namespace jasminecroft::detail {

namespace asio = boost::asio;

namespace {

constexpr nng_duration SendTimeoutMs = 1'000;
constexpr nng_duration ReconnectMinMs = 100;
constexpr nng_duration ReconnectMaxMs = 2'000;
/// Bursts of small messages between hosts that batch together.
constexpr std::size_t MaxQueuedPerPeer = 2'048;
constexpr std::size_t MaxQueuedBytesPerPeer = 2 * MaxPeerMessageBytes;

} // namespace

std::string urlOf(const endpoint &Address, bool Tls) {
  return (Tls ? "tls+tcp://" : "tcp://") + Address.Value;
}

peer_push::peer_push(asio::io_context &Context, const entry_host_id &Host,
                     endpoint Address, const std::optional<peer_tls_files> &Tls,
                     push_listener &Listener)
    : Context(Context), Host(Host), Address(std::move(Address)), Tls(Tls),
      Listener(Listener) {}

peer_push::~peer_push() {
  Aio.reset();
  if (Open)
    nng_close(Socket);
}

bool peer_push::start() {
  if (nng_push0_open(&Socket) != 0)
    return false;
  Open = true;
  Aio = std::make_unique<posted_aio>(Context, weak_from_this(),
                                     [this] { onComplete(); });
  if (!Aio->get())
    return false;
  nng_aio_set_timeout(Aio->get(), SendTimeoutMs);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
  nng_dialer Dialer = NNG_DIALER_INITIALIZER;
  std::string Url = urlOf(Address, Tls.has_value());
  if (nng_dialer_create(&Dialer, Socket, Url.c_str()) != 0)
    return false;
  if (Tls && !setTls(Dialer))
    return false;
  return nng_dialer_start(Dialer, NNG_FLAG_NONBLOCK) == 0;
}

void peer_push::send(message_ptr Message) {
  LastUse = clock::now();
  std::size_t Bytes = nng_msg_len(Message.get());
  if (Queue.size() >= MaxQueuedPerPeer ||
      QueuedBytes + Bytes > MaxQueuedBytesPerPeer) {
    Listener.onDropped(Host, 1);
    return;
  }
  QueuedBytes += Bytes;
  Queue.push_back(std::move(Message));
  if (!Sending)
    sendNext();
}

// The peer has to prove the name that it is known by.
bool peer_push::setTls(nng_dialer Dialer) const {
  return nng_dialer_set_int(Dialer, NNG_OPT_TLS_AUTH_MODE,
                            NNG_TLS_AUTH_MODE_REQUIRED) == 0 &&
         nng_dialer_set_string(Dialer, NNG_OPT_TLS_CA_FILE,
                               Tls->Authority.c_str()) == 0 &&
         nng_dialer_set_string(Dialer, NNG_OPT_TLS_CERT_KEY_FILE,
                               Tls->CertificateAndKey.c_str()) == 0 &&
         nng_dialer_set_string(Dialer, NNG_OPT_TLS_SERVER_NAME,
                               Host.Value.c_str()) == 0;
}

void peer_push::sendNext() {
  if (Queue.empty())
    return;
  Sending = true;
  SendingBytes = nng_msg_len(Queue.front().get());
  QueuedBytes -= SendingBytes;
  nng_aio_set_msg(Aio->get(), Queue.front().release());
  Queue.pop_front();
  nng_send_aio(Socket, Aio->get());
}

// nng owns a message that was sent; one that was not is ours again.
void peer_push::onComplete() {
  Sending = false;
  if (nng_aio_result(Aio->get()) == 0) {
    nng_aio_set_msg(Aio->get(), nullptr);
    Listener.onSent(SendingBytes);
    sendNext();
    return;
  }
  message_ptr Unsent(nng_aio_get_msg(Aio->get()));
  nng_aio_set_msg(Aio->get(), nullptr);
  std::size_t Dropped = Queue.size() + 1;
  Queue.clear();
  QueuedBytes = 0;
  Listener.onDropped(Host, Dropped);
}

} // namespace jasminecroft::detail
