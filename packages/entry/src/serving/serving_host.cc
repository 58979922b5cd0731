// The root of an entry host on the serving path: joins the serving core with
// callers, backend servers, the platform's store and peers.
#include "jasminecroft/entry/serving_settings.h"

#include "../steady_time.h"
#include "host_environment.h"
#include "jasminecroft/wire/nng_transport.h"
#include "line_log.h"
#include "page_listener.h"
#include "platform/front/caller_requests.h"
#include "serving_backends.h"
#include "serving_front.h"
#include "serving_metrics.h"
#include "serving_store.h"
#include "text_events.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace jasminecroft {

namespace asio = boost::asio;
using namespace detail;
using error = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t BytesPerMegabyte = 1'000'000;

/// The balancer sends new connections until it has missed two answers, one a
/// second.
constexpr milliseconds BalancerLag{2'600};
/// Connections that are idle are closed this long before the end.
constexpr milliseconds IdleCloseLead{300};
constexpr milliseconds ShutdownCheck{50};
/// The process ends this long before it would be ended by force.
constexpr milliseconds GraceMargin{500};
/// Callers have this long to read the final replies before the process ends.
constexpr milliseconds LastReplyLead{300};

class serving_host final : private serving_actions,
                           private serving_front_listener,
                           private backend_results,
                           private peer_transport_listener {
public:
  serving_host(const serving_host_settings &Settings, std::string File)
      : Settings(Settings),
        File(std::move(File)), Self{Settings.Host, thisRun()},
        Held(sharesOf(Settings.MemoryBytes)),
        Signals(Context, SIGTERM, SIGINT, SIGHUP), WakeTimer(Context),
        StopTimer(Context), Log(Context, Settings.Host.Value, Settings.Log),
        Core(coreSettings(Settings, Self), *this),
        Front(Context, *this, maxCallers(), Held),
        Backends(
            Context, *this,
            [this] { return Core.backends().listedAddresses(); }, &Held),
        Store(Context, Settings, Core, Log, [this] { arm(); }) {}

  std::variant<exit_code, settings_error> run() {
    if (std::optional<settings_error> Problem = startAll())
      return *Problem;
    write(event_number::ProcessStarted, event_severity::Info,
          "entry host started",
          {{"run", std::to_string(Self.Run.Value)},
           {"zone", Settings.Zone.Value},
           {"capacity", std::to_string(Settings.Capacity)},
           {"memory_mb",
            std::to_string(Settings.MemoryBytes / BytesPerMegabyte)}});
    awaitSignal();
    Core.start(now());
    arm();
    Context.run();
    Log.flush();
    return exit_code::Ok;
  }

private:
  std::optional<settings_error> startAll() {
    nng_transport_settings Transport;
    Transport.Fleet = Settings.Fleet;
    Transport.Self = Self;
    Transport.Listen = Settings.PeersListen;
    transport_result Result = makeNngTransport(Context, Transport, *this);
    if (std::holds_alternative<transport_problem>(Result))
      return cannotListen("peers");
    Peers = std::move(std::get<std::unique_ptr<nng_peer_transport>>(Result));
    std::optional<asio::ip::tcp::endpoint> Callers = toSocket(Settings.Callers);
    if (!Callers || !Front.start(*Callers))
      return cannotListen("callers");
    std::optional<asio::ip::tcp::endpoint> Ready = toSocket(Settings.Readiness);
    if (Ready)
      ReadinessPage =
          makePageListener(Context, *Ready, [this](std::string_view Path) {
            return readinessPage(Path);
          });
    if (!ReadinessPage)
      return cannotListen("readiness");
    if (Settings.MetricsPort != 0 && Ready)
      MetricsPage =
          makePageListener(Context, {Ready->address(), Settings.MetricsPort},
                           [this](std::string_view) {
                             return page{200, renderMetrics()};
                           });
    Store.start();
    return std::nullopt;
  }

  page readinessPage(std::string_view Path) {
    if (Path != platform::ReadinessPath)
      return {404, ""};
    return Core.ready() ? page{200, "ready\n"} : page{503, "not ready\n"};
  }

  std::string renderMetrics() {
    serving_gauges Gauges;
    Gauges.Connections = Front.connections();
    Gauges.ConfigVersion = Core.configVersion().Value;
    Gauges.Ready = Core.ready();
    Gauges.Backends = Core.backends().all().size();
    Gauges.Peers = Core.peers().size();
    Gauges.BackendConnectionsOpened = Backends.counters().Opened;
    Gauges.LogLinesDropped = Log.dropped();
    Store.addTo(Gauges);
    Gauges.HeldRequestBytes = Held.held(held_kind::RequestBody);
    Gauges.HeldArrivingBytes = Held.held(held_kind::ArrivingAnswer);
    Gauges.HeldUnreadBytes = Held.held(held_kind::UnreadAnswer);
    Gauges.SlowReadersEnded = SlowReaders;
    Gauges.UnusableHandles = UnusableHandles;
    Gauges.UnwritableHeads = UnwritableHeads;
    return Metrics.render(Core.counters(), Gauges);
  }

  // Signals.

  void awaitSignal() {
    Signals.async_wait([this](const error &Error, int Signal) {
      if (Error)
        return;
      if (Signal == SIGHUP)
        reload();
      else
        beginShutdown();
      awaitSignal();
    });
  }

  // Requests in progress are not touched, and neither is a stop that has begun.
  void reload() {
    serving_settings_result Read = readServingSettings(File);
    if (settings_error *Problem = std::get_if<settings_error>(&Read)) {
      write(event_number::SettingsRefused, event_severity::Error,
            "settings refused; the earlier ones stay in force",
            {{"at", describe(*Problem, File)}});
      return;
    }
    serving_host_settings &New = std::get<serving_host_settings>(Read);
    if (ShuttingDown)
      New.Grace = Settings.Grace;
    settings_changes Changes = takeOver(Settings, New);
    Core.setRetryLimits(Settings.Retries);
    Held.setShares(sharesOf(Settings.MemoryBytes));
    write(event_number::SettingsReloaded,
          Changes.AtRestart.empty() ? event_severity::Info
                                    : event_severity::Warning,
          "settings read again",
          {{"file", File},
           {"applied", listKeys(Changes.Applied)},
           {"at_restart", listKeys(Changes.AtRestart)}});
  }

  void beginShutdown() {
    if (ShuttingDown)
      return;
    ShuttingDown = true;
    StopBegan = std::chrono::steady_clock::now();
    write(event_number::ShutdownBegun, event_severity::Info,
          "graceful shutdown begun",
          {{"in_progress", std::to_string(Core.counters().InProgress)}});
    Front.closeAfterAnswers();
    Core.beginDraining({now() + BalancerLag, now() + lastReplies()}, now());
    arm();
    Store.leave();
    checkShutdown();
  }

  /// From SIGTERM to the last replies.
  milliseconds lastReplies() const {
    return Settings.Grace - GraceMargin - LastReplyLead;
  }

  void checkShutdown() {
    milliseconds Past = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - StopBegan);
    if (Past >= BalancerLag && !IdleClosed) {
      IdleClosed = true;
      Front.stopAccepting();
    }
    if (IdleClosed)
      Front.closeIdle();
    if (Past >= lastReplies())
      Front.refuseArriving();
    bool Done = Past >= BalancerLag + IdleCloseLead &&
                Core.counters().InProgress == 0 && Front.idle() &&
                Core.queuesIdle();
    if (Done || Past >= Settings.Grace - GraceMargin) {
      finishShutdown(Done);
      return;
    }
    StopTimer.expires_after(ShutdownCheck);
    StopTimer.async_wait([this](const error &Error) {
      if (!Error)
        checkShutdown();
    });
  }

  void finishShutdown(bool Clean) {
    write(event_number::ShutdownFinished,
          Clean ? event_severity::Info : event_severity::Warning,
          Clean ? "graceful shutdown finished"
                : "grace is over with requests in progress",
          {{"in_progress", std::to_string(Core.counters().InProgress)},
           {"store_calls", Store.describeCalls()}});
    Log.flush();
    Store.stop();
    Context.stop();
  }

  // Wake-ups of the core.

  void arm() {
    std::optional<core_time> Next = Core.nextWakeup(now());
    if (!Next || (ArmedFor && *ArmedFor <= *Next))
      return;
    ArmedFor = Next;
    WakeTimer.expires_at(toSteady(*Next));
    WakeTimer.async_wait([this](const error &Error) {
      if (Error)
        return;
      ArmedFor.reset();
      Core.onWakeup(now());
      arm();
    });
  }

  void write(event_number Number, event_severity Severity,
             std::string_view Message, std::vector<event_field> Fields) {
    Log.write({Number, Severity, Message, std::move(Fields)});
  }

  // serving_front_listener
  void onRequest(serving_request Request) override {
    Core.onRequest(std::move(Request), now());
    arm();
  }
  void onCallerDisconnected(request_id Request) override {
    Core.onCallerDisconnected(Request, now());
    arm();
  }
  void onRefusedEarly(std::string_view CallerId, unsigned Status,
                      std::string_view Why) override {
    write(event_number::RequestRejected, event_severity::Info,
          "request rejected before it was whole",
          {{"request", std::string(CallerId)},
           {"status", std::to_string(Status)},
           {"why", std::string(Why)},
           {"calls", "none"}});
  }
  void onSlowReader(std::string_view CallerId, std::size_t Unread,
                    std::string_view Why) override {
    ++SlowReaders;
    write(event_number::SlowReaderEnded, event_severity::Warning,
          "answer ended before its caller read it",
          {{"request", std::string(CallerId)},
           {"unread", std::to_string(Unread)},
           {"why", std::string(Why)},
           {"held", std::to_string(Held.total())}});
  }
  void onCut(const cut_connection &Cut) override {
    write(event_number::CallerConnectionCut, event_severity::Info,
          "caller's connection closed beside a request without an answer",
          {{"request", std::string(Cut.CallerId)},
           {"cause", std::string(toText(Cut.Cause))},
           {"phase", std::string(Cut.Phase)},
           {"unread", std::to_string(Cut.Unread)}});
  }
  caller_bounds bounds() const override {
    std::shared_ptr<const route_config> Config = Core.config();
    return Config ? Config->Bounds : caller_bounds();
  }

  // serving_actions
  void refuse(request_id Request, const refusal &Refusal) override {
    std::shared_ptr<caller_session> Session = Front.session(Request);
    Front.forget(Request);
    if (Session)
      Session->refuse(Refusal);
  }
  void relayReply(request_id Request, const backend_reply_head &Head,
                  std::string Body) override {
    std::shared_ptr<caller_session> Session = Front.session(Request);
    Front.forget(Request);
    if (Session)
      Session->relayReply(Head, Body);
  }
  void relayStreamHead(request_id Request,
                       const backend_reply_head &Head) override {
    if (std::shared_ptr<caller_session> Session = Front.session(Request))
      Session->relayStreamHead(Head);
  }
  void relayStreamEvents(request_id Request, std::string Text) override {
    if (std::shared_ptr<caller_session> Session = Front.session(Request))
      Session->relayStreamEvents(Text);
  }
  void relayStreamEnd(request_id Request) override {
    std::shared_ptr<caller_session> Session = Front.session(Request);
    Front.forget(Request);
    if (Session)
      Session->relayStreamEnd();
  }
  void abortResponse(request_id Request) override {
    std::shared_ptr<caller_session> Session = Front.session(Request);
    Front.forget(Request);
    if (Session)
      Session->abortResponse();
  }
  void forward(call_id Call, call_permit Permit,
               const forward_call &Forward) override {
    Backends.forward(Call, std::move(Permit), Forward);
  }
  void runPieces(call_id Call, call_permit Permit,
                 std::vector<batch_item> Items,
                 core_duration Timeout) override {
    Metrics.observeBatch(Items.size());
    Backends.runPieces(Call, std::move(Permit), Items, Timeout);
  }
  void readServer(call_permit Permit) override {
    Backends.readServer(std::move(Permit));
  }
  void freeResults(call_permit Permit,
                   std::vector<result_handle> Results) override {
    Backends.freeResults(std::move(Permit), Results);
  }
  void cancelCall(call_id Call) override { Backends.cancel(Call); }
  void sendToPeer(const batching_host &Host, peer_body Body) override {
    Peers->send(Host.Host, Host.Address,
                peer_message{Settings.Fleet, Self, std::move(Body)});
  }
  void reconnectPeer(const entry_host_id &Host) override {
    Peers->reconnect(Host);
  }
  void onOperatorConfig(const operator_config_push &Config) override {
    asio::post(Context, [this, Text = Config.Text] { Store.takeConfig(Text); });
  }
  void resyncStore(store_kind Kind) override {
    asio::post(Context, [this, Kind] { Store.readAgain(Kind); });
  }
  void setStoreWatcher(bool Closely) override {
    asio::post(Context, [this, Closely] { Store.watchClosely(Closely); });
  }
  void setStoreSource(store_source Source) override {
    asio::post(Context, [this, Source] { Store.setSource(Source); });
  }
  void onBackendsTold(object_version Revision) override {
    asio::post(Context, [this, Revision] { Store.onBackendsTold(Revision); });
  }
  void onRequestFinished(const finished_request &Answered) override {
    Metrics.observe(Answered);
  }
  void log(const event_record &Record) override { Log.write(Record); }

  // backend_results
  void onCompleteReply(call_id Call, const backend_reply_head &Head,
                       std::string Body) override {
    Core.onCompleteReply(Call, Head, std::move(Body), now());
    arm();
  }
  void onStreamHead(call_id Call, const backend_reply_head &Head) override {
    Core.onStreamHead(Call, Head, now());
    arm();
  }
  void onStreamEvents(call_id Call, std::string Text, std::uint64_t First,
                      std::uint64_t Last) override {
    Core.onStreamEvents(Call, std::move(Text), First, Last, now());
    arm();
  }
  void onStreamEnd(call_id Call) override {
    Core.onStreamEnd(Call, now());
    arm();
  }
  void onStatedLimit(call_id Call, const stated_limit &Stated) override {
    Core.onStatedLimit(Call, Stated, now());
  }
  void onServerLeaving(const backend_entry &Server) override {
    Core.onServerLeaving(Server, now());
  }
  void onServerPause(const backend_entry &Server,
                     const stated_pause &Stated) override {
    Core.onServerPause(Server, Stated, now());
  }
  void onServerCold(const backend_entry &Server, core_duration Left) override {
    Core.onServerCold(Server, Left, now());
  }
  void onCallFailed(call_id Call, call_failure Failure) override {
    Core.onCallFailed(Call, Failure, now());
    arm();
  }
  void onPiecesAnswered(call_id Call,
                        const std::vector<batch_item_result> &Results,
                        const std::optional<backend_load> &Load) override {
    Core.onPiecesAnswered(Call, Results, Load, now());
    arm();
  }
  void onPiecesRefused(call_id Call, bool WrongServer) override {
    Core.onPiecesRefused(Call, WrongServer, now());
    arm();
  }
  void onServerLoad(const backend_id &Server,
                    const std::optional<pieces_load> &Load) override {
    Core.onServerLoad(Server, Load, now());
    arm();
  }

  void onUnusableHandles(const backend_entry &Server, std::size_t Count,
                         const std::string &First) override {
    UnusableHandles += Count;
    Log.write(unusableHandles(Server.Id, Count, First));
  }
  void onUnwritable(const backend_entry &Server,
                    const caller_request_id &CallerId,
                    const platform::unwritable_head &Head) override {
    ++UnwritableHeads;
    Log.write(unwritableCall(Server.Id, CallerId, Head));
  }
  std::size_t unreadBytes(request_id Request) const override {
    std::shared_ptr<caller_session> Session = Front.session(Request);
    return Session ? Session->unreadBytes() : 0;
  }

  // peer_transport_listener
  void onReceived(peer_message Message) override {
    Core.onPeer(Message.Sender, Message.Body, now());
    arm();
  }
  void onUnreachable(const entry_host_id &Host) override {
    Core.onPeerUnreachable(Host, now());
    arm();
  }
  void onRefused(const refused_peer_message &Refused) override {
    write(event_number::PeerMessageRefused, event_severity::Warning,
          "peer message refused",
          {{"sender", Refused.Sender},
           {"reason", std::string(toText(Refused.Reason))}});
  }
  void onBroken(transport_problem) override {
    write(event_number::ChildRestarted, event_severity::Error,
          "peer transport failed; the process ends", {});
    Context.stop();
  }

  serving_host_settings Settings;
  std::string File;
  host_run Self;
  /// What callers and calls hold, also while Context ends.
  held_memory Held;
  asio::io_context Context{1};
  asio::signal_set Signals;
  io_timer WakeTimer;
  io_timer StopTimer;
  line_log Log;
  serving_metrics Metrics;
  serving_core Core;
  serving_front Front;
  serving_backends Backends;
  serving_store Store;
  std::unique_ptr<nng_peer_transport> Peers;
  std::unique_ptr<page_listener> ReadinessPage;
  std::unique_ptr<page_listener> MetricsPage;
  /// Time that WakeTimer waits for; absent if it does not run.
  std::optional<core_time> ArmedFor;
  std::uint64_t SlowReaders = 0;
  std::uint64_t UnusableHandles = 0;
  std::uint64_t UnwritableHeads = 0;
  bool ShuttingDown = false;
  bool IdleClosed = false;
  std::chrono::steady_clock::time_point StopBegan;
};

} // namespace

std::variant<exit_code, settings_error>
runServingHost(const serving_host_settings &Settings, const std::string &File) {
  serving_host Host(Settings, File);
  return Host.run();
}

} // namespace jasminecroft
