// Peer messages over nng: each host listens on one pull socket and has one
// push socket per peer. A message is a sequence number and the encoded body.
#include "jasminecroft/wire/nng_transport.h"

#include "jasminecroft/wire/peer_codec.h"
#include "jasminecroft/wire/replay_window.h"
#include "nng_operation.h"
#include "nng_peer_push.h"

#include <arpa/inet.h>
#include <boost/asio/post.hpp>
#include <chrono>
#include <map>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/supplemental/tls/tls.h>
#include <optional>
#include <span>
#include <vector>

namespace jasminecroft {

namespace asio = boost::asio;
using namespace detail;

namespace {

constexpr std::size_t SequenceBytes = sizeof(std::uint64_t);
/// Longer messages end the connection before they are read.
constexpr std::size_t MaxFrameBytes = 2 * MaxPeerMessageBytes;
constexpr std::size_t MaxPeers = 512;
constexpr std::chrono::seconds IdlePeerTime{120};

using clock = std::chrono::steady_clock;

transport_problem toProblem(int Result) {
  if (Result == NNG_EADDRINUSE)
    return transport_problem::AddressInUse;
  if (Result == NNG_EADDRINVAL || Result == NNG_EPERM)
    return transport_problem::AddressRefused;
  return transport_problem::Broken;
}

std::string remoteAddress(nng_msg *Message) {
  nng_sockaddr Address;
  nng_pipe Pipe = nng_msg_get_pipe(Message);
  if (nng_pipe_get_addr(Pipe, NNG_OPT_REMADDR, &Address) != 0)
    return "unknown";
  std::array<char, INET6_ADDRSTRLEN> Text{};
  if (Address.s_family == NNG_AF_INET)
    inet_ntop(AF_INET, &Address.s_in.sa_addr, Text.data(), Text.size());
  else if (Address.s_family == NNG_AF_INET6)
    inet_ntop(AF_INET6, Address.s_in6.sa_addr, Text.data(), Text.size());
  return Text.data();
}

class nng_transport_impl final
    : public nng_peer_transport,
      public push_listener,
      public std::enable_shared_from_this<nng_transport_impl> {
public:
  nng_transport_impl(asio::io_context &Context,
                     const nng_transport_settings &Settings,
                     peer_transport_listener &Listener)
      : Context(Context), Settings(Settings), Listener(Listener) {}
  ~nng_transport_impl() override { close(); }

  std::optional<transport_problem> start() {
    int Result = nng_pull0_open(&Socket);
    if (Result != 0)
      return toProblem(Result);
    Open = true;
    nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxFrameBytes);
    if (std::optional<transport_problem> Problem = listen())
      return Problem;
    Receive = std::make_unique<posted_aio>(Context, weak_from_this(),
                                           [this] { onReceived(); });
    if (!Receive->get())
      return transport_problem::Broken;
    nng_recv_aio(Socket, Receive->get());
    return std::nullopt;
  }

  void send(const entry_host_id &Host, const endpoint &Address,
            const peer_message &Message) override {
    if (!Open)
      return;
    std::shared_ptr<peer_push> Peer = peerFor(Host, Address);
    std::vector<std::uint8_t> Bytes = encodePeer(Message);
    nng_msg *Raw = nullptr;
    if (!Peer || Bytes.size() > MaxPeerMessageBytes ||
        nng_msg_alloc(&Raw, 0) != 0) {
      onDropped(Host, 1);
      return;
    }
    message_ptr Frame(Raw);
    nng_msg_append_u64(Raw, ++LastSequence);
    nng_msg_append(Raw, Bytes.data(), Bytes.size());
    Peer->send(std::move(Frame));
  }

  void close() override {
    if (!Open)
      return;
    Open = false;
    Peers.clear();
    Receive.reset();
    nng_close(Socket);
  }

  void reconnect(const entry_host_id &Host) override { Peers.erase(Host); }

  peer_transport_counters counters() const override { return Counters; }

  bool idle() const override {
    for (const std::pair<const entry_host_id, std::shared_ptr<peer_push>>
             &Entry : Peers)
      if (!Entry.second->idle())
        return false;
    return true;
  }

private:
  std::optional<transport_problem> listen() {
    nng_listener Listening = NNG_LISTENER_INITIALIZER;
    std::string Url = urlOf(Settings.Listen, Settings.Tls.has_value());
    int Result = nng_listener_create(&Listening, Socket, Url.c_str());
    if (Result != 0)
      return toProblem(Result);
    if (Settings.Tls && !setTls(Listening))
      return transport_problem::TlsFilesRefused;
    Result = nng_listener_start(Listening, 0);
    if (Result != 0)
      return toProblem(Result);
    return std::nullopt;
  }

  // Only hosts with a certificate of the authority may connect.
  bool setTls(nng_listener Listening) const {
    return nng_listener_set_int(Listening, NNG_OPT_TLS_AUTH_MODE,
                                NNG_TLS_AUTH_MODE_REQUIRED) == 0 &&
           nng_listener_set_string(Listening, NNG_OPT_TLS_CA_FILE,
                                   Settings.Tls->Authority.c_str()) == 0 &&
           nng_listener_set_string(Listening, NNG_OPT_TLS_CERT_KEY_FILE,
                                   Settings.Tls->CertificateAndKey.c_str()) ==
               0;
  }

  std::shared_ptr<peer_push> peerFor(const entry_host_id &Host,
                                     const endpoint &Address) {
    auto Found = Peers.find(Host);
    if (Found != Peers.end() && Found->second->address() == Address)
      return Found->second;
    if (Found != Peers.end())
      Peers.erase(Found);
    forgetIdlePeers();
    if (Peers.size() >= MaxPeers)
      return nullptr;
    std::shared_ptr<peer_push> Peer = std::make_shared<peer_push>(
        Context, Host, Address, Settings.Tls, *this);
    if (!Peer->start())
      return nullptr;
    Peers.emplace(Host, Peer);
    return Peer;
  }

  void forgetIdlePeers() {
    clock::time_point Oldest = clock::now() - IdlePeerTime;
    std::erase_if(Peers, [Oldest](const auto &Entry) {
      return Entry.second->unusedSince(Oldest);
    });
  }

  void onReceived() {
    if (!Open)
      return;
    int Result = nng_aio_result(Receive->get());
    if (Result != 0) {
      Listener.onBroken(transport_problem::Broken);
      return;
    }
    message_ptr Message(nng_aio_get_msg(Receive->get()));
    nng_aio_set_msg(Receive->get(), nullptr);
    Counters.BytesReceived += nng_msg_len(Message.get());
    ++Counters.MessagesReceived;
    take(Message.get());
    if (Open)
      nng_recv_aio(Socket, Receive->get());
  }

  void take(nng_msg *Frame) {
    std::uint64_t Sequence = 0;
    if (nng_msg_len(Frame) > MaxPeerMessageBytes + SequenceBytes) {
      refuse(peer_refusal::TooLarge, remoteAddress(Frame));
      return;
    }
    if (nng_msg_trim_u64(Frame, &Sequence) != 0) {
      refuse(peer_refusal::Malformed, remoteAddress(Frame));
      return;
    }
    const std::uint8_t *Body =
        static_cast<const std::uint8_t *>(nng_msg_body(Frame));
    codec_result<peer_message> Decoded =
        decodePeer(std::span<const std::uint8_t>(Body, nng_msg_len(Frame)));
    peer_message *Message = std::get_if<peer_message>(&Decoded);
    if (!Message) {
      refuse(peer_refusal::Malformed, remoteAddress(Frame));
      return;
    }
    if (std::optional<peer_refusal> Reason = check(*Message, Sequence)) {
      refuse(*Reason, Message->Sender.Host.Value);
      return;
    }
    Listener.onReceived(std::move(*Message));
  }

  std::optional<peer_refusal> check(const peer_message &Message,
                                    std::uint64_t Sequence) {
    if (Message.Fleet != Settings.Fleet)
      return peer_refusal::ForeignFleet;
    if (Message.Sender.Host == Settings.Self.Host)
      return peer_refusal::OwnName;
    if (!Replays.accept(Message.Sender, Sequence, clock::now()))
      return peer_refusal::Replayed;
    return std::nullopt;
  }

  void refuse(peer_refusal Reason, std::string Sender) {
    ++Counters.Refused;
    Listener.onRefused({Reason, std::move(Sender)});
  }

  void onSent(std::size_t Bytes) override {
    ++Counters.MessagesSent;
    Counters.BytesSent += Bytes;
  }

  // Posted, because it may come while the core performs its actions.
  void onDropped(const entry_host_id &Host, std::size_t Messages) override {
    Counters.Dropped += Messages;
    asio::post(Context, [Weak = weak_from_this(), Host] {
      std::shared_ptr<nng_transport_impl> Self = Weak.lock();
      if (Self && Self->Open)
        Self->Listener.onUnreachable(Host);
    });
  }

  asio::io_context &Context;
  nng_transport_settings Settings;
  peer_transport_listener &Listener;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  bool Open = false;
  std::unique_ptr<posted_aio> Receive;
  std::map<entry_host_id, std::shared_ptr<peer_push>> Peers;
  replay_window Replays;
  std::uint64_t LastSequence = 0;
  peer_transport_counters Counters;
};

// Completions reach the transport only while this owner keeps it alive.
class transport_owner final : public nng_peer_transport {
public:
  explicit transport_owner(std::shared_ptr<nng_transport_impl> Impl)
      : Impl(std::move(Impl)) {}
  ~transport_owner() override { Impl->close(); }
  void send(const entry_host_id &Host, const endpoint &Address,
            const peer_message &Message) override {
    Impl->send(Host, Address, Message);
  }
  void close() override { Impl->close(); }
  void reconnect(const entry_host_id &Host) override { Impl->reconnect(Host); }
  peer_transport_counters counters() const override { return Impl->counters(); }
  bool idle() const override { return Impl->idle(); }

private:
  std::shared_ptr<nng_transport_impl> Impl;
};

} // namespace

std::string_view toText(peer_refusal Reason) {
  switch (Reason) {
  case peer_refusal::Malformed:
    return "malformed";
  case peer_refusal::TooLarge:
    return "too_large";
  case peer_refusal::ForeignFleet:
    return "foreign_fleet";
  case peer_refusal::Replayed:
    return "replayed";
  case peer_refusal::OwnName:
    return "own_name";
  }
  return "malformed";
}

transport_result makeNngTransport(asio::io_context &Context,
                                  const nng_transport_settings &Settings,
                                  peer_transport_listener &Listener) {
  std::shared_ptr<nng_transport_impl> Impl =
      std::make_shared<nng_transport_impl>(Context, Settings, Listener);
  if (std::optional<transport_problem> Problem = Impl->start())
    return *Problem;
  return std::make_unique<transport_owner>(std::move(Impl));
}

} // namespace jasminecroft
