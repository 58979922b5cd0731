// Replication of the configuration and the host list among entry hosts: change
// records are pushed at once, every message carries versions for anti-entropy,
// and a host that receives a higher version pulls it.
#include "jasminecroft/core/config_edit.h"
#include "jasminecroft/core/detail/config_replicator.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr std::uint32_t PushRoundsPerVersion = 4;
constexpr core_duration PushInterval = std::chrono::milliseconds(100);
constexpr std::size_t PushFanout = 3;
constexpr std::uint32_t RumorRoundsPerVersion = 3;
/// Delay before a pull, since a push from the peer may be in flight.
constexpr core_duration PullDelay = std::chrono::milliseconds(150);
constexpr core_duration PullInterval = std::chrono::seconds(1);
/// Shorter than PullInterval, since changes that cannot be replayed may follow
/// each other quickly.
constexpr core_duration WholePullInterval = std::chrono::milliseconds(500);
constexpr core_duration OfferInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxDifferencesPerPush = 2'000;

} // namespace

std::optional<config_changes>
config_replicator::changesSince(config_version Version) const {
  if (!Config || Version.Value == 0 || Version >= Config->Version)
    return std::nullopt;
  config_changes Out;
  Out.Digest = ConfigDigest;
  std::size_t Differences = 0;
  config_version Reached = Version;
  for (const change_record &Record : Config->Changes) {
    if (Record.Base != Reached)
      continue;
    Reached = Record.Result;
    Differences += Record.Differences.size();
    Out.Changes.push_back(Record);
  }
  if (Reached != Config->Version || Differences > MaxDifferencesPerPush)
    return std::nullopt;
  return Out;
}

void config_replicator::beginPush(update_source Source, config_version Before) {
  FromPlatform = Source == update_source::Platform;
  PushedTo.clear();
  PushRounds = PushRoundsPerVersion;
  // If the records can be pushed, one rumor round of the version is enough.
  bool Pushable = changesSince(Before).has_value();
  RumorRounds = std::max(RumorRounds, Pushable ? 1 : RumorRoundsPerVersion);
  NextPush = Context.now();
  Members.scheduleRumors();
}

void config_replicator::runPushRound() {
  NextPush.reset();
  if (PushRounds == 0 || !Config)
    return;
  config_version Version = Config->Version;
  std::vector<entry_host_id> Targets =
      Members.randomPeers(PushFanout, [&](const member_record &Record) {
        return Record.Update.Config < Version &&
               !PushedTo.contains(Record.Update.Host);
      });
  if (FromPlatform || Members.isDelegate())
    for (const entry_host_id &Host : Members.otherZoneDelegates())
      if (!PushedTo.contains(Host))
        Targets.push_back(Host);
  for (const entry_host_id &Target : Targets) {
    const member_record *Record = Members.table().find(Target);
    if (!Record || Record->Update.Config >= Version)
      continue;
    std::optional<config_changes> Changes = changesSince(Record->Update.Config);
    if (!Changes)
      continue;
    PushedTo.insert(Target);
    Members.send(Target, std::move(*Changes));
  }
  --PushRounds;
  if (PushRounds > 0)
    NextPush = Context.now() + PushInterval;
}

void config_replicator::offerChanges(const entry_host_id &Host,
                                     config_version Have) {
  std::optional<config_changes> Changes = changesSince(Have);
  if (!Changes)
    return;
  auto Last = OfferedAt.find(Host);
  if (Last != OfferedAt.end() && Context.now() - Last->second < OfferInterval)
    return;
  OfferedAt[Host] = Context.now();
  std::erase_if(OfferedAt,
                [this](const std::pair<const entry_host_id, core_time> &Entry) {
                  return Context.now() - Entry.second > OfferInterval;
                });
  Members.send(Host, std::move(*Changes));
}

void config_replicator::sendUpdate(const entry_host_id &Host,
                                   config_version Have) {
  if (!Config || Have >= Config->Version)
    return;
  if (std::optional<config_changes> Changes = changesSince(Have))
    Members.send(Host, std::move(*Changes));
  else
    Members.send(Host, config_push{*Config});
}

void config_replicator::schedulePull(std::optional<pending_pull> &Pull,
                                     core_time LastAt,
                                     const entry_host_id &Host, bool HaveNone) {
  if (Pull)
    return;
  core_time At = Context.now();
  if (!HaveNone)
    At += PullDelay;
  if (LastAt != core_time{})
    At = std::max(At, LastAt + PullInterval);
  Pull = pending_pull{Host, At};
}

void config_replicator::sendDuePulls() {
  if (ConfigPull && ConfigPull->At <= Context.now()) {
    const member_record *Record = Members.table().find(ConfigPull->Host);
    if (Record && Record->Update.Config > currentVersion()) {
      LastConfigPull = Context.now();
      Members.send(ConfigPull->Host, config_pull{currentVersion()});
    }
    ConfigPull.reset();
  }
  if (HostsPull && HostsPull->At <= Context.now()) {
    LastHostsPull = Context.now();
    Members.send(HostsPull->Host, host_list_pull{HostsVersion});
    HostsPull.reset();
  }
}

void config_replicator::appendGossip(gossip_payload &Payload,
                                     const gossip_recipient &) {
  Payload.Config = currentVersion();
  Payload.HostList = HostsVersion;
}

void config_replicator::onGossip(const gossip_payload &Payload,
                                 const host_run &Sender, const zone_id &) {
  if (Payload.Config > currentVersion())
    schedulePull(ConfigPull, LastConfigPull, Sender.Host, !Config);
  else if (Payload.Config < currentVersion())
    offerChanges(Sender.Host, Payload.Config);
  if (Payload.HostList > HostsVersion)
    schedulePull(HostsPull, LastHostsPull, Sender.Host, !Hosts);
  else if (HostsPull && Payload.HostList <= HostsVersion &&
           HostsPull->Host == Sender.Host)
    HostsPull.reset();
}

void config_replicator::onRumorsSent() {
  if (RumorRounds > 0)
    --RumorRounds;
}

void config_replicator::onPeer(const peer_message &Message) {
  std::visit([&](const auto &Body) { on(Message, Body); }, Message.Body);
}

void config_replicator::on(const peer_message &Message,
                           const config_pull &Body) {
  sendUpdate(Message.Sender.Host, Body.Have);
}

void config_replicator::on(const peer_message &, const config_push &Body) {
  acceptConfig(Body.Config, update_source::Peer);
}

void config_replicator::on(const peer_message &Message,
                           const config_changes &Body) {
  if (Body.Changes.empty() || Body.Changes.back().Result <= currentVersion())
    return;
  if (Config) {
    fleet_config Next = *Config;
    for (const change_record &Record : Body.Changes) {
      if (Record.Result <= Next.Version)
        continue;
      std::variant<edited_config, edit_error> Result =
          replayChange(Next, Record);
      if (!std::holds_alternative<edited_config>(Result))
        break;
      Next = std::move(std::get<edited_config>(Result).Config);
    }
    if (Next.Version == Body.Changes.back().Result &&
        configDigest(Next) == Body.Digest) {
      acceptConfig(Next, update_source::Peer);
      return;
    }
  }
  // The records have a gap or were made on a different configuration.
  if (LastWholePull && Context.now() - *LastWholePull < WholePullInterval)
    return;
  LastWholePull = Context.now();
  Members.send(Message.Sender.Host, config_pull{config_version()});
}

void config_replicator::on(const peer_message &Message,
                           const host_list_pull &Body) {
  if (Hosts && HostsVersion > Body.Have)
    Members.send(Message.Sender.Host, host_list_push{*Hosts, HostsVersion});
}

void config_replicator::on(const peer_message &, const host_list_push &Body) {
  acceptHostList(Body.Hosts, Body.Version);
}

} // namespace jasminecroft::detail
