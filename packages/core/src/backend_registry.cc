// State of the backend servers, from the host list and load reports.
#include "jasminecroft/core/detail/backend_registry.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

/// Maximum regular polls per second of one host. The first poll of a newly
/// assigned server is not limited.
constexpr std::int64_t PollsPerSecond = 6;
/// The second poller takes over when a report is older than this many
/// intervals.
constexpr std::int64_t IntervalsUntilSecondPoller = 3;
/// Maximum time between reports shared with peers. A report is shared at once
/// if the in-flight calls have changed by at least 1/8 of the slots.
constexpr core_duration ShareInterval = std::chrono::milliseconds(1500);
constexpr std::uint32_t ShareChangeDivisor = 8;
/// A host that is not a poller of a server polls it when the last report is
/// older than this.
constexpr core_duration FallbackPollAfter = std::chrono::seconds(8);
constexpr std::size_t MaxFallbackPolls = 1;
constexpr std::size_t MaxOwnCallChanges = 1'024;

} // namespace

std::vector<replica_view> backend_registry::replicas(const pool_id &Pool,
                                                     core_time Now) const {
  std::vector<replica_view> Views;
  auto Found = ByPool.find(Pool);
  if (Found == ByPool.end())
    return Views;
  Views.reserve(Found->second.size());
  for (const backend_id &Id : Found->second) {
    const entry &Entry = Backends.at(Id);
    if (Entry.View.Leaving || !Entry.Listed)
      continue;
    replica_view &View = Views.emplace_back(Entry.View);
    if (!View.Reported)
      continue;
    View.ReportAge = Now - Entry.ReportedAt;
    std::int64_t Corrected =
        std::int64_t{View.ReportedInFlight} + Entry.UnreportedCalls;
    View.ReportedInFlight =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, Corrected));
  }
  return Views;
}

std::uint32_t backend_registry::liveEntryHosts() const {
  return Members.liveHostsInZone(Context.settings().Zone);
}

std::uint32_t backend_registry::liveEntryHostsIn(const zone_id &Zone) const {
  return Members.liveHostsInZone(Zone);
}

std::uint32_t
backend_registry::demandElsewhere(const workspace_id &Workspace) const {
  return Demand.elsewhere(Workspace);
}

std::vector<pool_summary>
backend_registry::otherZones(const pool_id &Pool) const {
  return Zones.otherZones(Pool);
}

std::vector<pool_summary> backend_registry::ownZoneSummaries() const {
  std::vector<pool_summary> Out;
  for (const std::pair<const pool_id, std::vector<backend_id>> &Pool : ByPool) {
    pool_summary Summary;
    Summary.Zone = Context.settings().Zone;
    Summary.Pool = Pool.first;
    for (const backend_id &Id : Pool.second) {
      const entry &Entry = Backends.at(Id);
      if (Entry.View.Zone != Summary.Zone || Entry.View.Leaving ||
          !Entry.Listed)
        continue;
      ++Summary.Backends;
      Summary.Slots += Entry.View.Slots;
      Summary.InFlight +=
          std::max(Entry.View.OwnInFlight, Entry.View.ReportedInFlight);
    }
    if (Summary.Backends > 0)
      Out.push_back(std::move(Summary));
  }
  return Out;
}

void backend_registry::configure(const fleet_config &Config) {
  SlotsByPool.clear();
  for (const std::pair<const pool_id, pool_definition> &Entry : Config.Pools)
    SlotsByPool[Entry.first] = Entry.second.SlotsPerBackend;
  for (std::pair<const backend_id, entry> &Entry : Backends)
    if (!Entry.second.View.Reported)
      Entry.second.View.Slots = SlotsByPool[Entry.second.View.Pool];
}

void backend_registry::onHostList(const host_list &Hosts) {
  for (std::pair<const backend_id, entry> &Entry : Backends)
    Entry.second.Listed = false;
  for (const listed_host &Listed : Hosts.Hosts) {
    if (Listed.Kind != host_kind::BackendServer)
      continue;
    backend_id Id(Listed.Name);
    entry &Entry = Backends[Id];
    Entry.Listed = true;
    replica_view &View = Entry.View;
    View.Backend = Id;
    View.Address = Listed.Address;
    View.Pool = Listed.Pool;
    View.Zone = Listed.Zone;
    auto Slots = SlotsByPool.find(Listed.Pool);
    if (!View.Reported && Slots != SlotsByPool.end())
      View.Slots = Slots->second;
    if (Listed.State == host_state::Leaving)
      markLeaving({Id, Listed.Run}, "host list");
    applyRun(Entry, std::max(View.Run, Listed.Run));
  }
  std::erase_if(Backends, [](const std::pair<const backend_id, entry> &Entry) {
    return !Entry.second.Listed && Entry.second.View.OwnInFlight == 0;
  });
  rebuildIndex();
}

void backend_registry::rebuildIndex() {
  ByPool.clear();
  for (bool OwnZone : {true, false})
    for (const std::pair<const backend_id, entry> &Entry : Backends)
      if ((Entry.second.View.Zone == Context.settings().Zone) == OwnZone)
        ByPool[Entry.second.View.Pool].push_back(Entry.first);
  AssignedEpoch = 0;
  if (!NextPoll && !Backends.empty())
    NextPoll = Context.now();
}

// A later run of a server counts as a new server, which may receive work again.
// A leaving fact about a later run implies that the earlier runs have ended.
void backend_registry::applyRun(entry &Entry, incarnation Run) {
  replica_view &View = Entry.View;
  for (auto It = Leaving.lower_bound({View.Backend, Run});
       It != Leaving.end() && It->first.Backend == View.Backend; ++It)
    Run = It->first.Run;
  View.Run = Run;
  View.Leaving = Leaving.contains({View.Backend, Run});
  auto First = Leaving.lower_bound({View.Backend, incarnation(0)});
  auto Last = Leaving.lower_bound({View.Backend, Run});
  Leaving.erase(First, Last);
}

// Small changes wait for the next regular update, so that messages have room
// for significant ones.
bool backend_registry::shouldShare(const entry &Entry,
                                   const load_reported &Report) const {
  if (!Entry.SharedAt || Report.Run != Entry.View.Run ||
      Context.now() - *Entry.SharedAt >= ShareInterval ||
      Entry.SharedQueued != (Report.Queued > 0))
    return true;
  std::uint32_t Change = std::max(Entry.SharedInFlight, Report.InFlight) -
                         std::min(Entry.SharedInFlight, Report.InFlight);
  return Change > 0 && Change * ShareChangeDivisor >= Report.Slots;
}

void backend_registry::onLoadReport(const load_reported &Report) {
  auto Found = Backends.find(Report.Backend);
  if (Found == Backends.end())
    return;
  entry &Entry = Found->second;
  load_delta Delta;
  Delta.Backend = Report.Backend;
  Delta.Run = Report.Run;
  Delta.Sequence = Entry.ReportSequence;
  Delta.InFlight = Report.InFlight;
  Delta.Queued = Report.Queued;
  Delta.Slots = Report.Slots;
  std::uint32_t SentBefore = Entry.Sent;
  bool Share = shouldShare(Entry, Report);
  if (Share) {
    ++Delta.Sequence;
    Entry.SharedAt = Context.now();
    Entry.SharedInFlight = Report.InFlight;
    Entry.SharedQueued = Report.Queued > 0;
  }
  applyReport(Entry, Delta, Context.now());
  if (!Share)
    Entry.Sent = SentBefore;
  if (Report.Leaving)
    markLeaving({Report.Backend, Report.Run}, "load report");
}

void backend_registry::applyReport(entry &Entry, const load_delta &Report,
                                   core_time At) {
  replica_view &View = Entry.View;
  if (Report.Run < View.Run)
    return;
  if (Report.Run > View.Run)
    applyRun(Entry, Report.Run);
  View.ReportedInFlight = Report.InFlight;
  View.ReportedQueued = Report.Queued;
  View.Slots = std::max<std::uint32_t>(1, Report.Slots);
  View.Reported = true;
  Entry.ReportedAt = At;
  Entry.ReportSequence = Report.Sequence;
  Entry.Sent = 0;
  while (!Entry.OwnCallChanges.empty() &&
         Entry.OwnCallChanges.front().At <= At) {
    Entry.UnreportedCalls -= Entry.OwnCallChanges.front().Delta;
    Entry.OwnCallChanges.pop_front();
  }
}

void backend_registry::onLoadPollFailed(const load_poll_failed &) {
  // Nothing to update; the last report continues to age.
}

void backend_registry::onLeavingRefusal(const backend_id &Backend) {
  auto Found = Backends.find(Backend);
  if (Found != Backends.end())
    markLeaving({Backend, Found->second.View.Run}, "refusal");
}

void backend_registry::recordOwnCall(const backend_id &Backend,
                                     std::int32_t Delta) {
  auto Found = Backends.find(Backend);
  if (Found == Backends.end())
    return;
  entry &Entry = Found->second;
  if (Delta < 0 && Entry.View.OwnInFlight == 0)
    return;
  Entry.View.OwnInFlight += static_cast<std::uint32_t>(Delta);
  if (!Entry.View.Reported)
    return;
  Entry.OwnCallChanges.push_back({Context.now(), Delta});
  Entry.UnreportedCalls += Delta;
  if (Entry.OwnCallChanges.size() > MaxOwnCallChanges) {
    Entry.UnreportedCalls -= Entry.OwnCallChanges.front().Delta;
    Entry.OwnCallChanges.pop_front();
  }
}

void backend_registry::onAttemptStarted(const backend_id &Backend) {
  recordOwnCall(Backend, 1);
}

void backend_registry::onAttemptEnded(const backend_id &Backend) {
  recordOwnCall(Backend, -1);
}

core_duration backend_registry::pollInterval() const {
  std::int64_t Count = static_cast<std::int64_t>(AssignedBackends);
  return std::max(LoadPollInterval, core_duration(std::chrono::seconds(1)) *
                                        Count / PollsPerSecond);
}

// The two highest-ranked hosts of the zone poll each server: the first one
// regularly, the second one when reports are missing.
void backend_registry::assignPollers() {
  if (AssignedEpoch == Members.table().epoch())
    return;
  AssignedEpoch = Members.table().epoch();
  AssignedBackends = 0;
  for (std::pair<const backend_id, entry> &Entry : Backends) {
    poller_rank Before = Entry.second.Rank;
    Entry.second.Rank = poller_rank::None;
    if (Entry.second.View.Zone != Context.settings().Zone)
      continue;
    std::vector<entry_host_id> Pollers = Members.ranked(
        Context.settings().Zone, Entry.first.Value, HostsPerTask);
    for (std::size_t I = 0; I < Pollers.size(); ++I)
      if (Pollers[I] == Context.self().Host)
        Entry.second.Rank = I == 0 ? poller_rank::First : poller_rank::Second;
    if (Entry.second.Rank == poller_rank::First)
      ++AssignedBackends;
    if (Before == poller_rank::None)
      Entry.second.PollDue = Context.now();
  }
}

// Returns whether a server of the own zone has no recent report from its
// pollers, so that this host polls it.
bool backend_registry::needsFallbackPoll(const entry &Entry) const {
  return Entry.View.Zone == Context.settings().Zone && Entry.View.Reported &&
         Context.now() - Entry.ReportedAt > FallbackPollAfter &&
         Entry.PollDue <= Context.now();
}

void backend_registry::onWakeup() {
  if (!NextPoll || *NextPoll > Context.now())
    return;
  assignPollers();
  core_duration Interval = pollInterval();
  core_time Next = Context.now() + Interval;
  std::size_t FallbackPollsLeft = MaxFallbackPolls;
  for (std::pair<const backend_id, entry> &Pair : Backends) {
    entry &Entry = Pair.second;
    if (Entry.Rank == poller_rank::None) {
      if (FallbackPollsLeft > 0 && needsFallbackPoll(Entry)) {
        --FallbackPollsLeft;
        Context.emit(poll_load{Pair.first, Entry.View.Address});
        Entry.PollDue = Context.now() + FallbackPollAfter;
      }
      continue;
    }
    if (Entry.PollDue <= Context.now()) {
      bool Stale =
          !Entry.View.Reported || Context.now() - Entry.ReportedAt >
                                      Interval * IntervalsUntilSecondPoller;
      if (Entry.Rank == poller_rank::First || Stale)
        Context.emit(poll_load{Pair.first, Entry.View.Address});
      Entry.PollDue = Context.now() + Interval;
    }
    Next = std::min(Next, Entry.PollDue);
  }
  NextPoll = Next;
}

backends_status backend_registry::status() const {
  backends_status Status;
  for (const std::pair<const backend_id, entry> &Entry : Backends) {
    const replica_view &View = Entry.second.View;
    backend_status Line;
    Line.Backend = View.Backend;
    Line.Run = View.Run;
    Line.Zone = View.Zone;
    Line.Pool = View.Pool;
    Line.Leaving = View.Leaving;
    Line.Slots = View.Slots;
    Line.OwnInFlight = View.OwnInFlight;
    Line.ReportedInFlight = View.ReportedInFlight;
    if (View.Reported)
      Line.ReportAge = Context.now() - Entry.second.ReportedAt;
    Status.Backends.push_back(std::move(Line));
  }
  return Status;
}

} // namespace jasminecroft::detail
