// Changes of the store between its watchers and the hosts that follow them.
#include "serving_state.h"

#include <algorithm>
#include <utility>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Changes in quick succession are pushed together.
constexpr core_duration PushDelay = milliseconds(20);
/// A follower that has not polled for this time gets no further pushes.
constexpr core_duration FollowerLifetime = seconds(3);
/// A gap between two wake-ups after which what was read may be out of date:
/// the process was paused. Wake-ups are at most a gossip interval apart.
constexpr core_duration StallTime = seconds(2);
/// Watchers hand on configurations up to this size: sent to a zone's followers,
/// larger ones would fill the link of a watcher for longer than their requests
/// can wait.
constexpr std::size_t MaxHandedOnBytes = 32'768;

} // namespace

using namespace detail;

void serving_impl::onStoreRead(store_kind Kind) {
  bool WasCurrent = storeCurrent();
  setCurrent(Kind, true);
  if (!WasCurrent && storeCurrent())
    pushNews();
}

void serving_impl::onStoreLost(store_kind Kind) { setCurrent(Kind, false); }

void serving_impl::setCurrent(store_kind Kind, bool Current) {
  if (Kind == store_kind::Config)
    ConfigCurrent = Current;
  else if (Kind == store_kind::Backends)
    BackendsCurrent = Current;
  else
    ZonesCurrent = Current;
}

void serving_impl::resyncAll() {
  Actions.resyncStore(store_kind::Config);
  Actions.resyncStore(store_kind::Backends);
  if (Settings.EmptiedZones)
    Actions.resyncStore(store_kind::EmptiedZones);
}

// The store came back from a copy: what was read before may be gone, and the
// revisions after the copy are given out again.
void serving_impl::onStoreEra(store_era Era) {
  store_era Before = Gossip.era();
  if (Era <= Before)
    return;
  bool WasRead = Emptied.readTo() != object_version() ||
                 Gossip.backendsReadTo() != object_version();
  Gossip.onStoreEra(Era, Now);
  if (!WasRead)
    return;
  log(event_number::StoreCameBack, event_severity::Warning,
      "the platform's store came back from an older copy",
      {{"era", std::to_string(Era.Value)},
       {"before", std::to_string(Before.Value)}});
  setAllOutdated();
  Removals.clear();
  resyncAll();
}

// Returns whether what was read at a revision is of the latest era.
bool serving_impl::acceptEra(object_version Revision) {
  onStoreEra(Revision.Era);
  return Revision.Era == Gossip.era();
}

void serving_impl::setAllOutdated() {
  ConfigCurrent = false;
  BackendsCurrent = false;
  ZonesCurrent = false;
}

// Returns whether this host may tell others that what it knows is current.
bool serving_impl::storeCurrent() const {
  bool ZonesRead = ZonesCurrent && Emptied.readTo().Era == Gossip.era();
  return Source == store_source::Watch && ConfigCurrent && BackendsCurrent &&
         Gossip.backendsReadTo().Era == Gossip.era() &&
         (ZonesRead || !Settings.EmptiedZones) && !Leaving;
}

void serving_impl::onBackendRemoved(const backend_id &Id,
                                    object_version Revision) {
  Servers.remove(Id, Revision, Now);
  Removals.push_back(Id);
  onBackendsRead(Revision, Revision);
}

void serving_impl::onBackendsRead(object_version Revision,
                                  object_version Newest) {
  bool Further = Revision > Gossip.backendsReadTo();
  Gossip.onBackendsRead(Revision, Newest, Now);
  // The store may report a removal under the revision of the removed entry,
  // which followers already have.
  bool AllRead = Newest == object_version();
  if (AllRead)
    for (const backend_id &Removed : std::exchange(Removals, {}))
      Servers.setRemovedBy(Removed, Revision);
  if (Further)
    pushNews();
}

void serving_impl::pushNews() {
  if (!PushAt && !Followers.empty())
    PushAt = Now + PushDelay;
}

store_news serving_impl::newsSince(object_version Since) const {
  store_news News;
  News.Current = true;
  News.Config = Gossip.progress().Config;
  News.From = Since;
  News.To = Gossip.backendsReadTo();
  if (Since >= News.To)
    return News;
  backend_changes Changes = Servers.changesSince(Since);
  News.Complete = Changes.Complete;
  for (const backend_entry &Entry : Changes.Listed)
    News.Backends.push_back({Entry.Id, Entry.Revision, true, Entry.Pool,
                             Entry.Address, Entry.Zone, Entry.Draining,
                             Entry.Run, ColdServers.statedLeft(Entry, Now)});
  for (const std::pair<backend_id, object_version> &Removed :
       Changes.Unlisted) {
    backend_news Entry;
    Entry.Id = Removed.first;
    Entry.Revision = Removed.second;
    News.Backends.push_back(std::move(Entry));
  }
  return News;
}

void serving_impl::on(const host_run &Sender, const store_poll &Body) {
  onStoreEra(Body.Backends.Era);
  if (!storeCurrent()) {
    Followers.erase(Sender.Host);
    sendToHost(Sender.Host, store_news{});
    return;
  }
  Followers[Sender.Host] = {Now, Body.Config, Body.Backends};
  sendToHost(Sender.Host, newsSince(Body.Backends));
  if (std::vector<engine_time> Known = Engines.known(Now); !Known.empty())
    sendToHost(Sender.Host, engine_times{{}, std::move(Known)});
}

void serving_impl::on(const host_run &Sender, const store_news &Body) {
  bool Current = Body.Current && acceptEra(Body.To);
  Following.onNews(Sender.Host, Current, Now);
  if (!Current)
    return;
  if (Body.Config > Gossip.progress().Config)
    fetchConfig(Sender.Host, Body.Config);
  if (Body.To <= Gossip.backendsReadTo())
    return;
  if (!Body.Complete && Body.From > Gossip.backendsReadTo()) {
    // News between have not arrived.
    Following.pollNow(Now);
    return;
  }
  applyNews(Body);
}

bool serving_impl::readsConfigFromStore() const {
  return ConfigText.size() > MaxHandedOnBytes;
}

void serving_impl::fetchConfig(const entry_host_id &From,
                               config_version Version) {
  if (readsConfigFromStore())
    Actions.resyncStore(store_kind::Config);
  else
    sendToHost(From, operator_config_pull{Gossip.progress().Config});
  // Does both if that brings nothing in time: From may have a large one.
  Gossip.onPeerMessage(From, {Version, object_version()}, Now);
}

void serving_impl::applyNews(const store_news &News) {
  object_version Known = Gossip.backendsReadTo();
  object_version Newest;
  std::vector<backend_entry> Listed;
  for (const backend_news &Entry : News.Backends) {
    bool New = Entry.Revision > Known;
    if (New)
      Newest = std::max(Newest, Entry.Revision);
    if (Entry.Listed && (New || News.Complete))
      Listed.push_back({Entry.Id, Entry.Pool, Entry.Address, Entry.Zone,
                        Entry.Draining, Entry.Run, Entry.Revision,
                        Entry.ColdLeft});
    if (New && Entry.Listed)
      log(event_number::BackendListed, event_severity::Info,
          "backend server listed, told by a watcher of the store",
          {{"server", Entry.Id.Value},
           {"pool", Entry.Pool.Value},
           {"state", Entry.Draining ? "draining" : "ready"},
           {"revision", std::to_string(Entry.Revision.Value)}});
    if (New && !Entry.Listed) {
      log(event_number::BackendUnlisted, event_severity::Info,
          "backend server left the list, told by a watcher of the store",
          {{"server", Entry.Id.Value},
           {"revision", std::to_string(Entry.Revision.Value)}});
      Servers.remove(Entry.Id, Entry.Revision, Now);
    }
  }
  if (News.Complete)
    replaceServers(Listed, News.To);
  else
    for (const backend_entry &Entry : Listed)
      updateServer(Entry);
  onBackendsRead(News.To, Newest);
  Actions.onBackendsTold(News.To);
}

// A process that was paused does not know what it has missed.
void serving_impl::checkStall() {
  bool Stalled = Now - LastWakeup > StallTime;
  LastWakeup = Now;
  if (!Stalled)
    return;
  setAllOutdated();
  resyncAll();
}

void serving_impl::processFollowing() {
  store_following::due_actions Due = Following.takeDueActions(Now);
  if (Following.source() != Source) {
    Source = Following.source();
    Gossip.setFollowing(Source == store_source::Watcher);
    log(event_number::StoreSourceChanged, event_severity::Info,
        Source == store_source::Watcher
            ? "a watcher tells the changes of the platform's store"
            : "this host watches the platform's store itself",
        {{"source", Source == store_source::Watcher ? "watcher" : "store"},
         {"watcher", Following.isWatcher() ? "yes" : "no"}});
    Actions.setStoreSource(Source);
  }
  if (Due.Poll) {
    sendToHost(Due.Poll->Host,
               store_poll{Gossip.progress().Config, Gossip.backendsReadTo()});
    if (std::vector<engine_time> Seen = Engines.takeSeen(); !Seen.empty())
      sendToHost(Due.Poll->Host, engine_times{std::move(Seen), {}});
  }
  if (Due.ReadStore)
    resyncAll();
  if (!PushAt || *PushAt > Now)
    return;
  PushAt.reset();
  for (auto It = Followers.begin(); It != Followers.end();) {
    if (Now - It->second.PolledAt > FollowerLifetime) {
      It = Followers.erase(It);
      continue;
    }
    if (storeCurrent())
      sendToHost(It->first, newsSince(It->second.Backends));
    ++It;
  }
}

} // namespace jasminecroft
