// The supervisor tree of one entry host, in reading order: log, metrics, core,
// platform link, peer link, backend client, operators' front, callers' front.
#include "jasminecroft/entry/entry_supervisor.h"

#include "jasminecroft/entry/backend_client.h"
#include "jasminecroft/entry/core_runner.h"
#include "jasminecroft/entry/event_logger.h"
#include "jasminecroft/entry/front.h"
#include "jasminecroft/entry/metrics.h"
#include "jasminecroft/entry/operator_front.h"
#include "jasminecroft/entry/peer_link.h"
#include "jasminecroft/entry/platform_link.h"
#include "jasminecroft/entry/restart_policy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <random>
#include <sys/resource.h>

namespace jasminecroft {

namespace asio = boost::asio;
using error = boost::system::error_code;

namespace {

/// Time that the kernel gets at least to send the last answers and messages.
constexpr std::chrono::milliseconds LastAnswersInterval{100};
constexpr std::chrono::seconds LastAnswersTime{30};
/// Share of the process's descriptors that callers may hold; the rest is for
/// backend servers, peers and the platform.
constexpr std::size_t CallersDescriptorDivisor = 2;

front_limits makeFrontLimits() {
  front_limits Limits;
  rlimit Descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &Descriptors) == 0)
    Limits.MaxConnections = std::min<std::size_t>(
        Limits.MaxConnections, Descriptors.rlim_cur / CallersDescriptorDivisor);
  return Limits;
}

core_settings makeCoreSettings(const daemon_settings &Settings) {
  std::chrono::milliseconds Start =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  std::random_device Source;
  core_settings Result;
  Result.Fleet = Settings.Fleet;
  Result.Self = {Settings.Host,
                 incarnation(static_cast<std::uint64_t>(Start.count()))};
  Result.Zone = Settings.Zone;
  Result.Region = Settings.Region;
  Result.Address = Settings.Peers;
  Result.Seeds = Settings.Seeds;
  Result.Seed = (std::uint64_t{Source()} << 32) | Source();
  return Result;
}

class entry_supervisor final : private action_sink,
                               private event_sink,
                               private front_handler,
                               private failure_listener {
public:
  explicit entry_supervisor(const daemon_settings &Settings)
      : Settings(Settings), Core(makeCoreSettings(Settings)), Log(Settings.Log),
        Signals(Context, SIGTERM, SIGINT), LagTimer(Context),
        LastAnswersTimer(Context), Runner(Context, Core, *this),
        Platform(makeHttpObjectApi(Context, Settings.Platform), *this, Metrics),
        Peers(Context,
              {Settings.Fleet, Core.Self, Settings.Peers, Settings.PeerTls},
              *this, Log, *this),
        Backends(makeBackendClient(Context, Core.Self, *this)),
        Operators(*this, [this] { return renderMetrics(); }),
        Callers(makeFront(Context, Settings.Callers, makeFrontLimits(), *this,
                          *this)) {}

  std::variant<exit_code, settings_error> run() {
    if (std::optional<settings_error> Error = startAll())
      return *Error;
    Signals.async_wait([this](const error &Error, int) {
      if (!Error)
        beginShutdown();
    });
    Runner.start();
    Context.run();
    return Result;
  }

private:
  std::optional<settings_error> startAll() {
    for (part_kind Part : {part_kind::Platform, part_kind::Peers,
                           part_kind::Backends, part_kind::Front})
      if (std::optional<part_failure> Failure = part(Part).start())
        return toSettingsError(*Failure);
    return std::nullopt;
  }

  static settings_error toSettingsError(const part_failure &Failure) {
    settings_error Error;
    if (Failure.Problem == part_problem::TlsFilesRefused)
      return {settings_problem::InvalidValue, "peer_tls", 0,
              "PEM files: a certificate with its key, and its authority"};
    Error.Key = Failure.Part == part_kind::Peers ? "peers" : "callers";
    Error.Problem = Failure.Problem == part_problem::AddressInUse
                        ? settings_problem::AddressInUse
                        : settings_problem::InvalidValue;
    Error.Expected = "an address of this host that is free";
    return Error;
  }

  supervised_part &part(part_kind Kind) {
    switch (Kind) {
    case part_kind::Front:
      return *Callers;
    case part_kind::Backends:
      return *Backends;
    case part_kind::Platform:
      return Platform;
    case part_kind::Peers:
      return Peers;
    }
    return Platform;
  }

  // A failed part is stopped and started again after a while; one that fails
  // too often takes the process with it.
  void onPartFailed(part_failure Failure) override {
    if (ShuttingDown && Failure.Part == part_kind::Front)
      return;
    std::optional<std::chrono::milliseconds> Delay =
        Restarts[Failure.Part].onFailure(std::chrono::steady_clock::now());
    Log.write({event_number::ChildRestarted,
               Delay ? event_severity::Warning : event_severity::Error,
               Delay ? "part failed and is started again"
                     : "part failed too often; the process exits",
               {{"part", std::string(toText(Failure.Part))},
                {"problem", std::string(toText(Failure.Problem))}}});
    ++RestartCount;
    if (!Delay) {
      Result = exit_code::Internal;
      Context.stop();
      return;
    }
    std::shared_ptr<asio::steady_timer> Timer =
        std::make_shared<asio::steady_timer>(Context, *Delay);
    Timer->async_wait([this, Timer, Part = Failure.Part](const error &) {
      if (ShuttingDown && Part == part_kind::Front)
        return;
      part(Part).stop();
      if (std::optional<part_failure> Again = part(Part).start())
        onPartFailed(*Again);
    });
  }

  void post(event Event) override { Runner.post(std::move(Event)); }

  // front_handler
  void onRequest(request_received Call) override { post(std::move(Call)); }
  void onCallerGone(request_id Request) override {
    post(caller_disconnected{Request});
  }
  void onAnswered(const answered_request &Answered) override {
    Metrics.observe(Answered);
  }
  void onOperatorGet(std::string_view Target, page_handler Done) override {
    Operators.onGet(Target, std::move(Done));
  }

  // action_sink
  void perform(answer_caller Action) override { Callers->perform(Action); }
  void perform(stream_to_caller Action) override { Callers->perform(Action); }
  void perform(start_attempt Action) override {
    Backends->perform(std::move(Action));
  }
  void perform(cancel_attempt Action) override { Backends->perform(Action); }
  void perform(poll_load Action) override { Backends->perform(Action); }
  void perform(call_platform Action) override {
    Platform.perform(std::move(Action));
  }
  void perform(send_to_peer Action) override { Peers.perform(Action); }
  void perform(set_readiness Action) override { Operators.perform(Action); }
  void perform(log_event Action) override { Log.write(Action.Record); }
  void perform(reply_status Action) override { Operators.perform(Action); }
  void perform(stop_process) override {
    LastAnswersEnd = std::chrono::steady_clock::now() + LastAnswersTime;
    waitForLastAnswers();
  }

  // Not ready at once; the balancer may still send requests for a while, and
  // these are served.
  void beginShutdown() {
    ShuttingDown = true;
    Operators.beginShutdown();
    Callers->closeAfterAnswers();
    LagTimer.expires_after(Settings.BalancerLag);
    LagTimer.async_wait([this](const error &Error) {
      if (Error)
        return;
      Callers->stopAccepting();
      post(shutdown_requested{});
    });
  }

  // The core has finished; its last answers to callers and messages to peers
  // may still be on their way out.
  void waitForLastAnswers() {
    LastAnswersTimer.expires_after(LastAnswersInterval);
    LastAnswersTimer.async_wait([this](const error &) {
      bool Late = std::chrono::steady_clock::now() >= LastAnswersEnd;
      if ((Callers->idle() && Peers.idle()) || Late)
        stopAll();
      else
        waitForLastAnswers();
    });
  }

  void stopAll() {
    Runner.stop();
    Context.stop();
  }

  std::string renderMetrics() const {
    metrics_sources Sources;
    Sources.Front = Callers->counters();
    Sources.Backends = Backends->counters();
    Sources.Peers = Peers.counters();
    Sources.Restarts = RestartCount;
    Sources.Ready = Operators.ready();
    return Metrics.render(Sources);
  }

  daemon_settings Settings;
  core_settings Core;
  event_logger Log;
  metrics Metrics;
  asio::io_context Context{1};
  asio::signal_set Signals;
  asio::steady_timer LagTimer;
  asio::steady_timer LastAnswersTimer;
  core_runner Runner;
  platform_link Platform;
  peer_link Peers;
  std::unique_ptr<backend_client> Backends;
  operator_front Operators;
  std::unique_ptr<front> Callers;
  std::map<part_kind, restart_policy> Restarts;
  std::uint64_t RestartCount = 0;
  std::chrono::steady_clock::time_point LastAnswersEnd;
  exit_code Result = exit_code::Ok;
  /// Set by the signal; from then on the front is not started again.
  bool ShuttingDown = false;
};

} // namespace

std::variant<exit_code, settings_error>
runEntryHost(const daemon_settings &Settings) {
  entry_supervisor Supervisor(Settings);
  return Supervisor.run();
}

} // namespace jasminecroft
