// Connects the components of an entry host and dispatches events to them.
#include "jasminecroft/core/entry_core.h"

#include "jasminecroft/core/detail/backend_registry.h"
#include "jasminecroft/core/detail/claim_cleanup.h"
#include "jasminecroft/core/detail/claim_manager.h"
#include "jasminecroft/core/detail/config_replicator.h"
#include "jasminecroft/core/detail/core_context.h"
#include "jasminecroft/core/detail/membership.h"
#include "jasminecroft/core/detail/platform_gateway.h"
#include "jasminecroft/core/detail/request_pipeline.h"

#include <algorithm>

namespace jasminecroft {

using namespace detail;

namespace {

/// Maximum time that shutdown waits for outcome writes after the last request.
constexpr core_duration OutcomeFlushTimeout = std::chrono::seconds(30);

std::unique_ptr<work_scheduler>
makeSchedulerFor(const core_settings &Settings,
                 const replica_directory &Replicas) {
  if (Settings.Scheduler == scheduler_kind::Baseline)
    return makeBaselineScheduler(Replicas);
  return makeScheduler(Replicas, Settings.Zone, Settings.Seed);
}

} // namespace

class entry_core::implementation final : public config_listener,
                                         public demand_source {
public:
  explicit implementation(const core_settings &Settings)
      : Context(Settings), Gateway(Context), Members(Context),
        Registry(Context, Members),
        Replicator(Context, Gateway, Members, *this),
        Pipeline(Context, Registry, makeSchedulerFor(Settings, Registry)),
        ClaimStore(Gateway), Claims(Context, ClaimStore, Members, Pipeline),
        Cleanup(Context, Gateway, Members) {
    Pipeline.setClaimManager(Claims);
    Registry.setDemandSource(*this);
    Members.addParticipant(Registry);
    Members.addParticipant(Replicator);
  }

  action_list handle(const event &Event, core_time Now) {
    Context.begin(Now);
    if (!Started)
      start();
    Members.detectPause();
    std::visit([this](const auto &E) { on(E); }, Event);
    updateReadiness();
    finishShutdown();
    return Context.takeActions();
  }

  std::optional<core_time> nextWakeup() const {
    std::optional<core_time> Next;
    for (std::optional<core_time> Time :
         {Members.nextWakeup(), Registry.nextWakeup(), Replicator.nextWakeup(),
          Pipeline.nextWakeup(), Claims.nextWakeup(), Gateway.nextWakeup(),
          Cleanup.nextWakeup(), flushWakeup()})
      if (Time && (!Next || *Time < *Next))
        Next = Time;
    return Next;
  }

  void onConfig(const fleet_config &Config) override {
    Registry.configure(Config);
    Pipeline.configure(Config);
    Cleanup.configure(Config);
  }

  std::map<workspace_id, std::uint32_t> demand() const override {
    return Pipeline.demand();
  }

  void onHostList(const host_list &Hosts) override {
    Members.onHostList(Hosts);
    Registry.onHostList(Hosts);
  }

private:
  void start() {
    Started = true;
    Context.log(event_number::ProcessStarted, event_severity::Info,
                "entry host started",
                {{"host", Context.self().Host.Value},
                 {"run", std::to_string(Context.self().Run.Value)}});
    Members.start();
    Replicator.start();
  }

  void on(const request_received &E) { Pipeline.onRequest(E); }
  void on(const caller_disconnected &E) { Pipeline.onCallerGone(E); }
  void on(const attempt_piece &E) { Pipeline.onPiece(E); }
  void on(const attempt_succeeded &E) { Pipeline.onSucceeded(E); }
  void on(const attempt_failed &E) { Pipeline.onFailed(E); }
  void on(const load_reported &E) {
    Registry.onLoadReport(E);
    Pipeline.onWakeup();
  }
  void on(const load_poll_failed &E) { Registry.onLoadPollFailed(E); }
  void on(const platform_replied &E) {
    Gateway.onReply(E);
    Claims.checkStore();
  }
  void on(const peer_received &E) { onPeer(E.Message); }
  void on(const peer_unreachable &E) { Members.onUnreachable(E.Host); }
  void on(const wall_clock_observed &E) { Context.observeWallClock(E.Now); }
  void on(const wakeup &) {
    Gateway.onWakeup();
    Claims.checkStore();
    Members.onWakeup();
    Registry.onWakeup();
    Replicator.onWakeup();
    Claims.onWakeup();
    Cleanup.onWakeup();
    Pipeline.onWakeup();
  }
  void on(const shutdown_requested &) {
    if (ShuttingDown)
      return;
    ShuttingDown = true;
    Context.log(event_number::ShutdownBegun, event_severity::Info,
                "graceful shutdown begun", {});
    Pipeline.beginShutdown();
    Members.leave();
  }
  void on(const status_requested &E) {
    Context.emit(reply_status{E.Query, statusOf(E.Topic)});
  }

  void onPeer(const peer_message &Message) {
    if (!Members.onPeer(Message))
      return;
    Replicator.onPeer(Message);
    Claims.onPeer(Message);
  }

  status_document statusOf(status_topic Topic) const {
    switch (Topic) {
    case status_topic::Summary:
      return summary();
    case status_topic::Members:
      return members();
    case status_topic::Backends:
      return Registry.status();
    case status_topic::Config:
      return config_status{Replicator.config().value_or(fleet_config{})};
    case status_topic::Decisions:
      return Context.recentDecisions();
    }
    return summary();
  }

  members_status members() const {
    members_status Status = Members.status();
    Status.Zones = Registry.zoneReports();
    return Status;
  }

  summary_status summary() const {
    summary_status Status;
    Status.Self = Context.self();
    Status.Zone = Context.settings().Zone;
    if (Replicator.config())
      Status.Config = Replicator.config()->Version;
    Status.PlatformAway = Gateway.away();
    Status.InFlight = Pipeline.inFlight();
    Status.PendingOutcomeWrites = Claims.pendingWrites();
    Status.Counters = Pipeline.counters();
    Status.Costs = Pipeline.costs();
    Status.PlatformCalls = Gateway.counters();
    Status.PeerMessagesRefused = Members.refusedMessages();
    return Status;
  }

  readiness currentReadiness() const {
    if (ShuttingDown)
      return readiness::ShuttingDown;
    if (!Replicator.config())
      return readiness::NoConfig;
    if (!Registry.hasBackends())
      return readiness::NoBackends;
    return readiness::Ready;
  }

  void updateReadiness() {
    readiness Current = currentReadiness();
    if (Current == LastReadiness)
      return;
    LastReadiness = Current;
    Context.emit(set_readiness{Current});
  }

  std::optional<core_time> flushWakeup() const {
    return Stopped ? std::nullopt : FlushDeadline;
  }

  // Stops the process once no request is in flight and no outcome write is
  // pending, or OutcomeFlushTimeout has passed.
  void finishShutdown() {
    if (!ShuttingDown || Stopped)
      return;
    if (Pipeline.inFlight() != 0)
      return;
    if (!FlushDeadline)
      FlushDeadline = Context.now() + OutcomeFlushTimeout;
    std::size_t Unwritten = Claims.pendingWrites();
    if (Unwritten != 0 && Context.now() < *FlushDeadline)
      return;
    Stopped = true;
    Context.log(event_number::ShutdownFinished,
                Unwritten == 0 ? event_severity::Info : event_severity::Error,
                "graceful shutdown finished",
                {{"unwritten_outcomes", std::to_string(Unwritten)}});
    Context.emit(stop_process{});
  }

  core_context Context;
  platform_gateway Gateway;
  membership Members;
  backend_registry Registry;
  config_replicator Replicator;
  request_pipeline Pipeline;
  per_key_claim_store ClaimStore;
  claim_manager Claims;
  claim_cleanup Cleanup;
  readiness LastReadiness = readiness::NoConfig;
  bool Started = false;
  bool ShuttingDown = false;
  bool Stopped = false;
  /// Deadline of pending outcome writes; set once no request is in flight.
  std::optional<core_time> FlushDeadline;
};

entry_core::entry_core(const core_settings &Settings)
    : Impl(std::make_unique<implementation>(Settings)) {}

entry_core::~entry_core() = default;

action_list entry_core::handle(const event &Event, core_time Now) {
  return Impl->handle(Event, Now);
}

std::optional<core_time> entry_core::nextWakeup() const {
  return Impl->nextWakeup();
}

} // namespace jasminecroft
