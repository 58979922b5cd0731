// Who watches closely, who is told, and when this host is behind.
#include "jasminecroft/core/serving/store_gossip.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view WatchersKey = "store-watchers";
constexpr std::size_t Watchers = 2;
/// Hosts that rank next check whether the watchers live.
constexpr std::size_t Checkers = 2;
/// Changes in quick succession are told together.
constexpr core_duration SpreadGap = milliseconds(100);
/// Up to this distance in the ring every host is told of a change; beyond it
/// those at distances that double, who tell on what is new to them.
constexpr std::size_t NearHosts = 8;

} // namespace

std::size_t store_gossip::rank() const { return Hosts.rankOfSelf(WatchersKey); }

bool store_gossip::isWatcher() const { return rank() < Watchers; }

void store_gossip::tellSoon(core_time Now) {
  if (!SpreadAt)
    SpreadAt = std::max(Now, LastSpread + SpreadGap);
}

void store_gossip::onConfig(config_version Version, core_time Now) {
  if (Version <= Progress.Config)
    return;
  Progress.Config = Version;
  if (ConfigBehind || isWatcher())
    tellSoon(Now);
  ConfigBehind = false;
  NewerConfig.reset();
}

void store_gossip::onBackendsRead(object_version Revision,
                                  object_version Newest, core_time Now) {
  BackendsReadTo = std::max(BackendsReadTo, Revision);
  if (Newest > Progress.Backends) {
    Progress.Backends = Newest;
    if (BackendsBehind || isWatcher())
      tellSoon(Now);
  }
  BackendsBehind = false;
  NewerBackends.reset();
}

void store_gossip::onPeerMessage(const entry_host_id &From,
                                 const store_progress &Theirs, core_time Now) {
  if (Theirs.Config > Progress.Config && !NewerConfig) {
    ConfigBehind = true;
    NewerConfig = newer{Now + PropagationTime, From};
  }
  if (Theirs.Backends > BackendsReadTo && !NewerBackends) {
    BackendsBehind = true;
    NewerBackends = newer{Now + PropagationTime, From};
  }
}

void store_gossip::addWatcherChecks(due_actions &Due, core_time Now) {
  std::size_t Rank = rank();
  bool Checks = Rank >= Watchers && Rank < Watchers + Checkers;
  // After a standstill of this host answers may wait to be read.
  bool CanJudge = Now - AskedAt < 2 * GossipInterval;
  std::set<entry_host_id> Before = std::exchange(Asked, {});
  if (!Checks)
    return;
  for (const batching_host &Watcher : Hosts.ranked(WatchersKey, Watchers)) {
    bool Unresponsive = CanJudge && Before.contains(Watcher.Host) &&
                        !Hosts.receivedSince(Watcher.Host, AskedAt);
    if (Unresponsive) {
      Due.Unresponsive.push_back(Watcher.Host);
    } else {
      Due.Probe.push_back(Watcher);
      Asked.insert(Watcher.Host);
    }
  }
  AskedAt = Now;
}

store_gossip::due_actions store_gossip::takeDueActions(core_time Now) {
  due_actions Due;
  std::vector<batching_host> Ring;
  bool Turned = TellAt <= Now;
  bool Spreads = SpreadAt && *SpreadAt <= Now;
  if (Turned || Spreads)
    Ring = Hosts.ring();
  if (Spreads) {
    SpreadAt.reset();
    LastSpread = Now;
    for (std::size_t I = 0; I < Ring.size();
         I = I + 1 < NearHosts ? I + 1 : I * 2 + 1)
      Due.AnnounceTo.push_back(Ring[I]);
  }
  if (Turned) {
    TellAt = Now + GossipInterval;
    // Distances 1, 2, 4 and so on, one a turn.
    std::size_t Distance = std::size_t(1) << Turn;
    if (Distance > Ring.size()) {
      Turn = 0;
      Distance = 1;
    }
    ++Turn;
    if (Distance <= Ring.size())
      Due.AnnounceTo.push_back(Ring[Distance - 1]);
    addWatcherChecks(Due, Now);
  }
  if (NewerConfig && NewerConfig->ReadBy <= Now) {
    Due.PullConfigFrom = NewerConfig->Heard;
    Due.Resync.push_back(store_kind::Config);
    NewerConfig.reset();
  }
  if (NewerBackends && NewerBackends->ReadBy <= Now) {
    Due.Resync.push_back(store_kind::Backends);
    NewerBackends.reset();
  }
  return Due;
}

std::optional<core_time> store_gossip::nextWakeup() const {
  core_time Next = TellAt;
  if (SpreadAt)
    Next = std::min(Next, *SpreadAt);
  if (NewerConfig)
    Next = std::min(Next, NewerConfig->ReadBy);
  if (NewerBackends)
    Next = std::min(Next, NewerBackends->ReadBy);
  return Next;
}

} // namespace jasminecroft
