// Choice of watchers, gossip targets, and detection of stale reads.
#include "jasminecroft/core/serving/store_gossip.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view WatchersKey = "store-watchers";
constexpr std::size_t Watchers = 2;
/// Number of hosts, ranked after the watchers, that probe the watchers.
constexpr std::size_t Probers = 2;
/// Minimum interval of announcements: changes in quick succession are merged.
constexpr core_duration MinAnnouncementGap = milliseconds(100);
/// A change is announced to all hosts up to this distance in the ring and to
/// hosts at doubling distances beyond it, which announce it in turn if it is
/// new to them.
constexpr std::size_t NearHosts = 8;

} // namespace

std::size_t store_gossip::rank() const {
  if (!Rank || Rank->first != Hosts.generation())
    Rank = {Hosts.generation(), Hosts.rankOfSelf(WatchersKey)};
  return Rank->second;
}

core_duration store_gossip::propagationTime() const {
  return Following ? FollowerPropagationTime : PropagationTime;
}

void store_gossip::setFollowing(bool Follows) { Following = Follows; }

bool store_gossip::isWatcher() const { return rank() < Watchers; }

void store_gossip::scheduleAnnouncement(core_time Now) {
  if (!AnnounceAt)
    AnnounceAt = std::max(Now, LastAnnouncement + MinAnnouncementGap);
}

void store_gossip::onStoreEra(store_era Era, core_time Now) {
  if (Era <= era())
    return;
  bool KnewStore = Progress.Backends != object_version();
  Progress.Backends = {Era, 0};
  if (KnewStore)
    scheduleAnnouncement(Now);
}

void store_gossip::onConfig(config_version Version, core_time Now) {
  if (Version <= Progress.Config)
    return;
  Progress.Config = Version;
  if (ConfigStale || isWatcher())
    scheduleAnnouncement(Now);
  ConfigStale = false;
  NewerConfig.reset();
}

void store_gossip::onBackendsRead(object_version Revision,
                                  object_version Newest, core_time Now) {
  BackendsReadTo = std::max(BackendsReadTo, Revision);
  if (Newest > Progress.Backends) {
    Progress.Backends = Newest;
    if (BackendsStale || isWatcher())
      scheduleAnnouncement(Now);
  }
  BackendsStale = false;
  NewerBackends.reset();
}

void store_gossip::onPeerMessage(const entry_host_id &From,
                                 const store_progress &Theirs, core_time Now) {
  if (Theirs.Config > Progress.Config && !NewerConfig) {
    ConfigStale = true;
    NewerConfig = newer_version{Now + propagationTime(), From};
  }
  onStoreEra(Theirs.Backends.Era, Now);
  if (Theirs.Backends > BackendsReadTo && !NewerBackends) {
    BackendsStale = true;
    NewerBackends = newer_version{Now + propagationTime(), From};
  }
}

void store_gossip::addWatcherProbes(due_actions &Due, core_time Now) {
  std::size_t Rank = rank();
  bool IsProber = Rank >= Watchers && Rank < Watchers + Probers;
  // After a stall of this host, answers may be waiting in its receive queue.
  bool ProbedRecently = Now - ProbedAt < 2 * GossipInterval;
  std::set<entry_host_id> PreviouslyProbed = std::exchange(Probed, {});
  if (!IsProber)
    return;
  for (const batching_host &Watcher : Hosts.ranked(WatchersKey, Watchers)) {
    bool Unresponsive = ProbedRecently &&
                        PreviouslyProbed.contains(Watcher.Host) &&
                        !Hosts.receivedSince(Watcher.Host, ProbedAt);
    if (Unresponsive) {
      Due.Unresponsive.push_back(Watcher.Host);
    } else {
      Due.Probe.push_back(Watcher);
      Probed.insert(Watcher.Host);
    }
  }
  ProbedAt = Now;
}

store_gossip::due_actions store_gossip::takeDueActions(core_time Now) {
  due_actions Due;
  std::vector<batching_host> Ring;
  bool GossipDue = NextGossipAt <= Now;
  bool Announces = AnnounceAt && *AnnounceAt <= Now;
  if (GossipDue || Announces)
    Ring = Hosts.ring();
  if (Announces) {
    AnnounceAt.reset();
    LastAnnouncement = Now;
    for (std::size_t I = 0; I < Ring.size();
         I = I + 1 < NearHosts ? I + 1 : I * 2 + 1)
      Due.AnnounceTo.push_back(Ring[I]);
  }
  if (GossipDue) {
    NextGossipAt = Now + GossipInterval;
    // Distances 1, 2, 4 and so on, one per interval.
    std::size_t Distance = std::size_t(1) << Round;
    if (Distance > Ring.size()) {
      Round = 0;
      Distance = 1;
    }
    ++Round;
    if (Distance <= Ring.size())
      Due.AnnounceTo.push_back(Ring[Distance - 1]);
    addWatcherProbes(Due, Now);
  }
  if (NewerConfig && NewerConfig->Deadline <= Now) {
    Due.PullConfigFrom = NewerConfig->Source;
    Due.Resync.push_back(store_kind::Config);
    NewerConfig.reset();
  }
  if (NewerBackends && NewerBackends->Deadline <= Now) {
    Due.Resync.push_back(store_kind::Backends);
    NewerBackends.reset();
  }
  return Due;
}

std::optional<core_time> store_gossip::nextWakeup() const {
  core_time Next = NextGossipAt;
  if (AnnounceAt)
    Next = std::min(Next, *AnnounceAt);
  if (NewerConfig)
    Next = std::min(Next, NewerConfig->Deadline);
  if (NewerBackends)
    Next = std::min(Next, NewerBackends->Deadline);
  return Next;
}

} // namespace jasminecroft
