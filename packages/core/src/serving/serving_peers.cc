// Messages between hosts, and the public interface of the serving core.
#include "serving_state.h"

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval and maximum number of heartbeats to the seeds, which end once a
/// peer and the configuration are known.
constexpr core_duration SeedInterval = milliseconds(500);
constexpr std::uint32_t MaxSeedHeartbeats = 20;
/// A host that sent a message within this time is alive, even if messages to it
/// were dropped.
constexpr core_duration AliveWindow = seconds(1);
constexpr core_duration Never = std::chrono::hours(24);

} // namespace

using namespace detail;

void serving_impl::start(core_time) {
  NextSeedHeartbeat = Now;
  LastWakeup = Now;
  Gossip.start(Now);
  Following.start(Now);
}

host_heartbeat serving_impl::makeHeartbeat(bool WantsReply) const {
  host_heartbeat Heartbeat;
  Heartbeat.Self = Hosts.self();
  Heartbeat.WantsReply = WantsReply;
  Heartbeat.Leaving = Leaving;
  Heartbeat.Config = Gossip.progress().Config;
  Heartbeat.Backends = Gossip.progress().Backends;
  return Heartbeat;
}

// Sends heartbeats to the seeds until a peer and a configuration are known,
// from the seeds or from the platform, and a peer has confirmed the latter.
void serving_impl::sendSeedHeartbeats() {
  bool Enough = configConfirmed() && !Hosts.others().empty();
  if (Enough || SeedHeartbeats >= MaxSeedHeartbeats) {
    NextSeedHeartbeat = Now + Never;
    return;
  }
  ++SeedHeartbeats;
  NextSeedHeartbeat = Now + SeedInterval;
  for (const endpoint &Seed : Settings.Seeds)
    if (Seed != Settings.PeerAddress)
      Actions.sendToPeer({entry_host_id(Seed.Value), zone_id(), Seed, 0},
                         makeHeartbeat(true));
}

void serving_impl::processStoreGossip() {
  store_gossip::due_actions Due = Gossip.takeDueActions(Now);
  for (const batching_host &Host : Due.AnnounceTo) {
    Actions.sendToPeer(Host, makeHeartbeat(false));
    sendRulingsAndLimits(Host);
  }
  for (const batching_host &Host : Due.Probe)
    Actions.sendToPeer(Host, makeHeartbeat(true));
  for (const entry_host_id &Host : Due.Unresponsive)
    suspect(Host, "host does not respond and no longer watches the store");
  if (Due.PullConfigFrom)
    sendToHost(*Due.PullConfigFrom,
               operator_config_pull{Gossip.progress().Config});
  for (store_kind Kind : Due.Resync) {
    Following.pollNow(Now);
    log(event_number::StoreViewBehind, event_severity::Warning,
        "view of the platform store is behind that of a peer",
        {{"kind", Kind == store_kind::Config ? "config" : "backends"},
         {"config", std::to_string(Gossip.progress().Config.Value)}});
    Actions.resyncStore(Kind);
  }
  // The hosts that announce changes first may follow a watcher of their zone.
  bool IsClose = Following.isFirstWatcher();
  if (IsClose != CloseWatcher) {
    CloseWatcher = IsClose;
    Actions.setStoreWatcher(IsClose);
  }
}

// Repeats to a host what it may have missed: it was not reached, or has just
// started.
void serving_impl::sendRulingsAndLimits(const batching_host &Host) {
  std::vector<part_ruling> Decided = Quarantine.decided(Now);
  if (!Decided.empty())
    Actions.sendToPeer(Host, part_rulings{std::move(Decided)});
  std::vector<server_limit_news> Limits = Servers.limits().inForce(Now);
  if (!Limits.empty())
    Actions.sendToPeer(Host, server_limit_list{std::move(Limits)});
  if (!Emptied.empty())
    Actions.sendToPeer(Host, zone_orders{Emptied.orders()});
  std::vector<cold_server_news> Cold = ColdServers.all(Now);
  if (!Cold.empty())
    Actions.sendToPeer(Host, cold_server_list{std::move(Cold)});
}

void serving_impl::onHost(const batching_host &Host, core_time) {
  Hosts.addListed(Host, Now);
  Hosts.markAlive(Host.Host);
  askAtStart(Host);
  transferQueues();
}

void serving_impl::onHostRemoved(const entry_host_id &Host) {
  Hosts.setLeaving(Host, true);
  Hosts.removeListed(Host, Now);
}

void serving_impl::onPeerUnreachable(const entry_host_id &Host) {
  HeartbeatSentTo.erase(Host);
  if (Hosts.receivedSince(Host, Now - AliveWindow))
    return;
  suspect(Host,
          "messages to a host were dropped; its queues move to another host");
}

void serving_impl::suspect(const entry_host_id &Host, std::string_view Reason) {
  if (Hosts.suspect(Host, Now))
    log(event_number::HostSuspected, event_severity::Warning, Reason,
        {{"host", Host.Value}});
  reassignJobs(Host);
}

// Precedes the first message to a host by a heartbeat with this host's address,
// so that the host can reply.
void serving_impl::sendToHost(const entry_host_id &Host, peer_body Body) {
  const batching_host *Known = Hosts.find(Host);
  if (!Known || Host == Settings.Self.Host)
    return;
  const batching_host Target = *Known;
  if (HeartbeatSentTo.insert(Host).second)
    Actions.sendToPeer(Target, makeHeartbeat(false));
  Actions.sendToPeer(Target, std::move(Body));
}

void serving_impl::onPeer(const host_run &Sender, const peer_body &Body,
                          core_time) {
  if (Hosts.onPeerMessage(Sender.Host, Now)) {
    log(event_number::HostHeardAgain, event_severity::Info,
        "suspected host responds again", {{"host", Sender.Host.Value}});
    transferQueues();
  }
  std::visit([&](const auto &Message) { on(Sender, Message); }, Body);
}

void serving_impl::on(const host_run &Sender, const host_heartbeat &Body) {
  if (Body.Self.Host != Sender.Host)
    return;
  bool KnowsOthers = Hosts.find(Sender.Host) && Body.Config > config_version();
  Hosts.add(Body.Self, Now);
  Hosts.setLeaving(Sender.Host, Body.Leaving);
  if (Body.Leaving)
    return;
  for (const batching_host &Other : Body.Others)
    if (!Hosts.find(Other.Host))
      Hosts.add(Other, Now);
  onStoreEra(Body.Backends.Era);
  if (Body.WantsReply) {
    host_heartbeat Reply = makeHeartbeat(false);
    if (!KnowsOthers)
      Reply.Others = Hosts.others();
    HeartbeatSentTo.insert(Sender.Host);
    Actions.sendToPeer(Body.Self, std::move(Reply));
    sendRulingsAndLimits(Body.Self);
  }
  if (!View && Body.Config > config_version()) {
    PeersConfig = std::max(PeersConfig, Body.Config);
    sendToHost(Sender.Host, operator_config_pull{});
    return;
  }
  onPeersConfig(Sender.Host, Body.Config);
  Gossip.onPeerMessage(Sender.Host, {Body.Config, Body.Backends}, Now);
  if (Body.Config < Gossip.progress().Config && !Body.WantsReply)
    sendToHost(Sender.Host, makeHeartbeat(false));
}

// A large configuration goes only to hosts that did not get on by themselves:
// they ask again with the same version.
void serving_impl::on(const host_run &Sender,
                      const operator_config_pull &Body) {
  if (!View || View->Config->Version <= Body.Have)
    return;
  if (readsConfigFromStore() && Body.Have != config_version()) {
    auto Asked = ConfigAskedWith.find(Sender.Host);
    if (Asked == ConfigAskedWith.end() || Asked->second != Body.Have) {
      ConfigAskedWith[Sender.Host] = Body.Have;
      return;
    }
    ConfigAskedWith.erase(Asked);
  }
  sendToHost(Sender.Host,
             operator_config_push{View->Config->Version, ConfigText});
}

void serving_impl::on(const host_run &, const operator_config_push &Body) {
  if (!View || Body.Version > View->Config->Version)
    Actions.onOperatorConfig(Body);
}

void serving_impl::on(const host_run &Sender, const piece_request &Body) {
  queue_wait Wait = Owner.submit(Sender, Body.Job, Now);
  sendToHost(Sender.Host, pieces_accepted{Body.Job.Job, Wait});
}

void serving_impl::on(const host_run &Sender, const pieces_accepted &Body) {
  if (isAssignedTo(Sender.Host, Body.Job))
    onJobAccepted(Body.Job, Body.Wait);
}

void serving_impl::on(const host_run &Sender, const pieces_completed &Body) {
  handlePiecesCompleted(Body.Job, Body.Request, Sender.Host, Body.Pieces);
}

void serving_impl::on(const host_run &Sender, const inputs_fetched &Body) {
  handleInputsFetched(Body.Job, Sender.Host);
}

void serving_impl::on(const host_run &Sender, const demand_forecast &Body) {
  Owner.onDemandForecast(Sender.Host, Body.Pool, Body.QueueZone, Body.Pieces,
                         Now);
}

void serving_impl::on(const host_run &Sender, const pieces_failed &Body) {
  handleJobFailure(Body.Job, Sender.Host, Body.Failure);
}

void serving_impl::on(const host_run &Sender, const pieces_cancelled &Body) {
  Owner.cancel(Sender, Body.Job, Now);
}

void serving_impl::on(const host_run &, const results_released &Body) {
  Owner.release(Body.Results, Now);
}

// Public interface: sets the time, handles the event and runs the queues.

serving_core::serving_core(const serving_settings &Settings,
                           serving_actions &Actions)
    : Impl(std::make_unique<serving_impl>(Settings, Actions)) {}
serving_core::~serving_core() = default;

namespace {

/// Sets the time of an event, and runs the queues after it was handled.
class event_scope {
public:
  event_scope(serving_impl &Core, core_time Time) : Core(Core) {
    Core.Now = Time;
  }
  ~event_scope() {
    Core.Owner.dispatch(Core.Now);
    Core.askForQueues();
  }
  event_scope(const event_scope &) = delete;
  event_scope &operator=(const event_scope &) = delete;

private:
  serving_impl &Core;
};

} // namespace

void serving_core::start(core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->start(Now);
}
void serving_core::onRequest(serving_request Request, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onRequest(std::move(Request), Now);
}
void serving_core::onCallerDisconnected(request_id Request, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onCallerDisconnected(Request, Now);
}
void serving_core::onCompleteReply(call_id Call, const backend_reply_head &Head,
                                   std::string Body, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onCompleteReply(Call, Head, std::move(Body), Now);
}
void serving_core::onStreamHead(call_id Call, const backend_reply_head &Head,
                                core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onStreamHead(Call, Head, Now);
}
void serving_core::onStreamEvents(call_id Call, std::string Text,
                                  std::uint64_t FirstEvent,
                                  std::uint64_t LastEvent, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onStreamEvents(Call, std::move(Text), FirstEvent, LastEvent, Now);
}
void serving_core::onStreamEnd(call_id Call, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onStreamEnd(Call, Now);
}
void serving_core::onStatedLimit(call_id Call, const stated_limit &Stated,
                                 core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onStatedLimit(Call, Stated);
}
void serving_core::onServerLeaving(const backend_entry &Server, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onServerLeaving(Server);
}
void serving_core::onServerPause(const backend_entry &Server,
                                 const stated_pause &Stated, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onServerPause(Server, Stated);
}
void serving_core::onServerCold(const backend_entry &Server, core_duration Left,
                                core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onServerCold(Server, Left);
}
void serving_core::onCallFailed(call_id Call, call_failure Failure,
                                core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onCallFailed(Call, Failure, Now);
}
void serving_core::onPiecesAnswered(
    call_id Call, const std::vector<batch_item_result> &Results,
    const std::optional<backend_load> &Load, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onPiecesAnswered(Call, Results, Load, Now);
}
void serving_core::onPiecesRefused(call_id Call, bool WrongServer,
                                   core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onPiecesRefused(Call, WrongServer, Now);
}
void serving_core::onServerLoad(const backend_id &Server,
                                const std::optional<pieces_load> &Load,
                                core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->Owner.onServerLoad(Server, Load, Now);
}
bool serving_core::onConfig(std::shared_ptr<const route_config> Config,
                            std::string Text, core_time Now) {
  event_scope Event(*Impl, Now);
  if (Impl->View && Config->Version <= Impl->View->Config->Version)
    return false;
  Impl->onConfig(std::move(Config), std::move(Text), Now);
  return true;
}
void serving_core::onBackend(const backend_entry &Entry, core_time Now) {
  event_scope Event(*Impl, Now);
  if (!Impl->acceptEra(Entry.Revision))
    return;
  Impl->updateServer(Entry);
  Impl->onBackendsRead(Entry.Revision, Entry.Revision);
}
void serving_core::onBackendRemoved(const backend_id &Id,
                                    object_version Revision, core_time Now) {
  event_scope Event(*Impl, Now);
  if (!Impl->acceptEra(Revision))
    return;
  Impl->onBackendRemoved(Id, Revision);
}
void serving_core::onBackendList(const std::vector<backend_entry> &Entries,
                                 object_version Revision, core_time Now) {
  event_scope Event(*Impl, Now);
  if (!Impl->acceptEra(Revision))
    return;
  Impl->replaceServers(Entries, Revision);
  object_version Newest;
  for (const backend_entry &Entry : Entries)
    Newest = std::max(Newest, Entry.Revision);
  Impl->onBackendsRead(Revision, Newest);
}
void serving_core::onBackendsRead(object_version Revision, core_time Now) {
  event_scope Event(*Impl, Now);
  if (!Impl->acceptEra(Revision))
    return;
  Impl->onBackendsRead(Revision, object_version());
}
void serving_core::onZoneOrder(const zone_order &Order, core_time Now) {
  event_scope Event(*Impl, Now);
  if (!Impl->acceptEra(Order.Revision))
    return;
  Impl->onZoneOrder(Order);
}
void serving_core::onZoneList(const std::vector<zone_order> &Emptied,
                              object_version Revision, core_time Now) {
  event_scope Event(*Impl, Now);
  if (!Impl->acceptEra(Revision))
    return;
  Impl->onZoneList(Emptied, Revision);
}
void serving_core::onZonesRead(object_version Revision, core_time Now) {
  event_scope Event(*Impl, Now);
  if (!Impl->acceptEra(Revision))
    return;
  Impl->onZonesRead(Revision);
}
void serving_core::onStoreRead(store_kind Kind, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onStoreRead(Kind);
}
void serving_core::onStoreLost(store_kind Kind, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onStoreLost(Kind);
}
void serving_core::onStoreEra(store_era Era, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onStoreEra(Era);
}
void serving_core::onHost(const batching_host &Host, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onHost(Host, Now);
}
void serving_core::onHostRemoved(const entry_host_id &Host, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onHostRemoved(Host);
}
void serving_core::onHostsRead(core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onHostListRead();
}
void serving_core::onPeer(const host_run &Sender, const peer_body &Body,
                          core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onPeer(Sender, Body, Now);
}
void serving_core::onWakeup(core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onWakeup(Now);
}
std::optional<core_time> serving_core::nextWakeup(core_time Now) const {
  return Impl->nextWakeup(Now);
}
void serving_core::setRetryLimits(const retry_limits &Limits) {
  Impl->Budget.setLimits(Limits.Ratio, Limits.Slack);
}

void serving_core::beginDraining(const drain_plan &Plan, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->beginDraining(Plan);
}
void serving_core::onPeerUnreachable(const entry_host_id &Host, core_time Now) {
  event_scope Event(*Impl, Now);
  Impl->onPeerUnreachable(Host);
}
bool serving_core::queuesIdle() const { return Impl->Owner.idle(); }
const host_run &serving_core::self() const { return Impl->Settings.Self; }
batching_host serving_core::selfAsHost() const { return Impl->Hosts.self(); }
bool serving_core::ready() const { return Impl->ready(); }
config_version serving_core::configVersion() const {
  return Impl->View ? Impl->View->Config->Version : config_version();
}
std::shared_ptr<const route_config> serving_core::config() const {
  return Impl->View ? Impl->View->Config : nullptr;
}
const backend_directory &serving_core::backends() const {
  return Impl->Servers;
}
std::vector<batching_host> serving_core::peers() const {
  return Impl->Hosts.others();
}
serving_counters serving_core::counters() const {
  serving_counters Result = Impl->Counters;
  Result.Batches = Impl->Owner.batchesStarted();
  Result.BatchedPieces = Impl->Owner.piecesStarted();
  Result.LimitedServers = Impl->limitedServers();
  Result.QuarantinedParts = Impl->quarantinedParts();
  Result.EmptiedZones = Impl->emptiedZones();
  Result.ColdServers = Impl->coldServers();
  return Result;
}

} // namespace jasminecroft
