// Balancer stand-in: readiness checks, one connection per call or a kept one.
#include "load_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <optional>
#include <xxhash.h>

namespace jasminecroft::standins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;
using stream_ptr = std::unique_ptr<beast::tcp_stream>;

constexpr std::chrono::milliseconds ReadinessInterval{50};
constexpr std::chrono::milliseconds ReadinessTimeout{500};
constexpr std::chrono::seconds GraceAfterDeadline{5};
constexpr std::size_t MaxIdlePerHost = 64;

struct host {
  std::string Name;
  tcp::endpoint Endpoint;
  bool Ready = false;
  std::vector<stream_ptr> Idle;
};

std::string textMember(const json::value &Value, std::string_view Name) {
  const json::object *Object = Value.if_object();
  const json::value *Member = Object ? Object->if_contains(Name) : nullptr;
  if (!Member || !Member->is_string())
    return {};
  return std::string(Member->as_string());
}

/// Checks a streamed answer: no hole, right count and digest.
std::string streamOutcome(const std::string &Text) {
  std::string Whole;
  std::uint64_t Count = 0;
  std::string Event;
  std::size_t Start = 0;
  while (Start < Text.size()) {
    std::size_t End = Text.find('\n', Start);
    if (End == std::string::npos)
      break;
    std::string Line = Text.substr(Start, End - Start);
    Start = End + 1;
    if (Line.starts_with("event: "))
      Event = Line.substr(7);
    if (!Line.starts_with("data: "))
      continue;
    json::error_code Error;
    json::value Data = json::parse(Line.substr(6), Error);
    if (Error)
      return "bad_stream";
    if (Event == "error")
      return textMember(Data, "outcome");
    if (Event == "end") {
      char Digest[20];
      std::snprintf(Digest, sizeof Digest, "%016llx",
                    static_cast<unsigned long long>(
                        XXH3_64bits(Whole.data(), Whole.size())));
      bool Right =
          textMember(Data, "digest") == Digest &&
          Data.as_object()["count"].to_number<std::uint64_t>() == Count;
      return Right ? textMember(Data, "outcome") : "bad_stream";
    }
    if (Data.as_object()["seq"].to_number<std::uint64_t>() != Count)
      return "bad_stream";
    ++Count;
    Whole += textMember(Data, "text");
  }
  return "bad_stream";
}

} // namespace

class balancer::implementation
    : public std::enable_shared_from_this<implementation> {
public:
  implementation(asio::io_context &Io, const std::vector<std::string> &Targets)
      : Io(Io) {
    for (const std::string &Target : Targets) {
      std::size_t Colon = Target.rfind(':');
      host Host;
      Host.Name = Target;
      Host.Endpoint = {
          asio::ip::make_address(Target.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoi(Target.substr(Colon + 1)))};
      Hosts.push_back(std::move(Host));
    }
  }

  class probe;
  class sending;

  void start(std::function<void()> Ready) {
    OnReady = std::move(Ready);
    for (std::size_t I = 0; I < Hosts.size(); ++I)
      probeHost(I);
  }
  void probeHost(std::size_t Index);
  void onProbed(std::size_t Index, bool Ready) {
    Hosts[Index].Ready = Ready;
    if (Ready && OnReady)
      std::exchange(OnReady, nullptr)();
    if (Stopped)
      return;
    std::shared_ptr<asio::steady_timer> Timer =
        std::make_shared<asio::steady_timer>(Io, ReadinessInterval);
    Timer->async_wait(
        [Self = shared_from_this(), Index, Timer](boost::system::error_code) {
          if (!Self->Stopped)
            Self->probeHost(Index);
        });
  }
  /// Next ready host in turn; absent if none is.
  std::optional<std::size_t> nextHost() {
    for (std::size_t I = 0; I < Hosts.size(); ++I) {
      std::size_t Index = (Turn + I) % Hosts.size();
      if (!Hosts[Index].Ready)
        continue;
      Turn = Index + 1;
      return Index;
    }
    return std::nullopt;
  }

  asio::io_context &Io;
  std::vector<host> Hosts;
  std::function<void()> OnReady;
  std::size_t Turn = 0;
  bool Stopped = false;
};

/// One GET /readyz.
class balancer::implementation::probe
    : public std::enable_shared_from_this<probe> {
public:
  probe(std::shared_ptr<implementation> Owner, std::size_t Index)
      : Owner(std::move(Owner)), Index(Index), Stream(this->Owner->Io) {}

  void start() {
    Stream.expires_after(ReadinessTimeout);
    Stream.async_connect(Owner->Hosts[Index].Endpoint,
                         [Self = shared_from_this()](beast::error_code Error) {
                           if (Error)
                             Self->Owner->onProbed(Self->Index, false);
                           else
                             Self->ask();
                         });
  }

private:
  void ask() {
    Request.method(http::verb::get);
    Request.target("/readyz");
    Request.set(http::field::host, "balancer");
    Request.keep_alive(false);
    http::async_write(
        Stream, Request,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            Self->Owner->onProbed(Self->Index, false);
          else
            Self->read();
        });
  }
  void read() {
    http::async_read(
        Stream, Buffer, Response,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          bool Ready = !Error && Self->Response.result() == http::status::ok;
          Self->Owner->onProbed(Self->Index, Ready);
        });
  }

  std::shared_ptr<implementation> Owner;
  std::size_t Index;
  beast::tcp_stream Stream;
  http::request<http::empty_body> Request;
  http::response<http::string_body> Response;
  beast::flat_buffer Buffer;
};

/// One call with its tries to connect.
class balancer::implementation::sending
    : public std::enable_shared_from_this<sending> {
public:
  sending(std::shared_ptr<implementation> Owner, load_call Call,
          std::function<void(const load_answer &)> Done)
      : Owner(std::move(Owner)), Call(std::move(Call)), Done(std::move(Done)),
        Start(steady::now()),
        Expiry(Start + std::chrono::milliseconds(this->Call.DeadlineMs) +
               GraceAfterDeadline) {}

  void start() {
    std::optional<std::size_t> Chosen = Owner->nextHost();
    bool TooMany = Moved > 2 * Owner->Hosts.size();
    if (!Chosen || TooMany) {
      finish("no_host");
      return;
    }
    Index = *Chosen;
    host &Host = Owner->Hosts[Index];
    // A call that must not repeat never risks a connection closed while idle.
    if (Call.Key.empty() && !Host.Idle.empty()) {
      Stream = std::move(Host.Idle.back());
      Host.Idle.pop_back();
      Kept = true;
      write();
      return;
    }
    Kept = false;
    Stream = std::make_unique<beast::tcp_stream>(Owner->Io);
    Stream->expires_at(Expiry);
    Stream->async_connect(Host.Endpoint,
                          [Self = shared_from_this()](beast::error_code Error) {
                            if (Error)
                              Self->move();
                            else
                              Self->write();
                          });
  }

private:
  void move() {
    ++Moved;
    start();
  }

  void write() {
    Request = {};
    Request.version(11);
    Request.method(http::verb::post);
    Request.target(Call.Target);
    Request.set(http::field::host, "balancer");
    Request.set(http::field::content_type, "application/json");
    Request.set("Jasminecroft-Deadline-Ms", std::to_string(Call.DeadlineMs));
    if (!Call.Key.empty()) {
      Request.set("Idempotency-Key", Call.Key);
      Request.set("Jasminecroft-Attempt", "1");
    }
    if (Call.Streamed)
      Request.set(http::field::accept, "text/event-stream");
    Request.body() = Call.Body;
    Request.prepare_payload();
    Stream->expires_at(Expiry);
    http::async_write(
        *Stream, Request,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            Self->onBroken(Error);
          else
            Self->read();
        });
  }

  void read() {
    Parser.emplace();
    Parser->body_limit(64'000'000);
    Buffer.clear();
    http::async_read(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            Self->onBroken(Error);
          else
            Self->onResponse();
        });
  }

  // A kept connection that the host had closed before it read anything is
  // indistinguishable from one that broke in mid-answer unless no byte came;
  // balancers send again in that case only on kept connections.
  void onBroken(beast::error_code Error) {
    bool NoByteCame = Buffer.size() == 0 && (!Parser || !Parser->got_some());
    bool Closed = Error == http::error::end_of_stream ||
                  Error == asio::error::connection_reset ||
                  Error == asio::error::broken_pipe;
    if (Kept && NoByteCame && Closed)
      move();
    else
      finish(Error == beast::error::timeout ? "no_answer" : "cut_off");
  }

  void onResponse() {
    const http::response<http::string_body> &Response = Parser->get();
    std::string Outcome;
    if (Response[http::field::content_type].starts_with("text/event-stream")) {
      Outcome = streamOutcome(Response.body());
    } else {
      json::error_code Error;
      json::value Body = json::parse(Response.body(), Error);
      Outcome = Error ? "malformed_answer" : textMember(Body, "outcome");
      std::string Code = Error ? "" : textMember(Body, "code");
      if (!Code.empty())
        Outcome += ":" + Code;
    }
    host &Host = Owner->Hosts[Index];
    if (Response.keep_alive() && Host.Idle.size() < MaxIdlePerHost) {
      Stream->expires_never();
      Host.Idle.push_back(std::move(Stream));
    }
    finish(Outcome);
  }

  void finish(const std::string &Outcome) {
    load_answer Answer;
    Answer.Outcome = Outcome;
    Answer.Moved = Moved;
    Answer.Latency = std::chrono::duration_cast<std::chrono::microseconds>(
        steady::now() - Start);
    std::exchange(Done, nullptr)(Answer);
  }

  std::shared_ptr<implementation> Owner;
  load_call Call;
  std::function<void(const load_answer &)> Done;
  steady::time_point Start;
  steady::time_point Expiry;
  std::size_t Index = 0;
  std::uint32_t Moved = 0;
  bool Kept = false;
  stream_ptr Stream;
  http::request<http::string_body> Request;
  std::optional<http::response_parser<http::string_body>> Parser;
  beast::flat_buffer Buffer;
};

void balancer::implementation::probeHost(std::size_t Index) {
  std::make_shared<probe>(shared_from_this(), Index)->start();
}

balancer::balancer(asio::io_context &Io,
                   const std::vector<std::string> &Targets)
    : Impl(std::make_shared<implementation>(Io, Targets)) {}

balancer::~balancer() = default;

void balancer::start(std::function<void()> Ready) {
  Impl->start(std::move(Ready));
}

void balancer::send(load_call Call,
                    std::function<void(const load_answer &)> Done) {
  std::make_shared<implementation::sending>(Impl, std::move(Call),
                                            std::move(Done))
      ->start();
}

void balancer::stop() {
  Impl->Stopped = true;
  for (host &Host : Impl->Hosts)
    Host.Idle.clear();
}

} // namespace jasminecroft::standins
