// Publishes, caches and relays the summaries of zones.
#include "jasminecroft/core/detail/zone_views.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration SummaryTtl = std::chrono::seconds(30);
constexpr core_duration MaxRelayAge = std::chrono::seconds(15);
/// Until a summary is older than this, only a higher sequence number replaces
/// it.
constexpr core_duration SequenceGuardPeriod = std::chrono::seconds(5);
constexpr std::size_t OwnSummariesPerMessage = 6;
constexpr std::size_t RelayedSummaries = 3;
constexpr std::size_t RelayedReports = 2;
constexpr std::uint32_t MaxRelaysPerValue = 6;

} // namespace

std::vector<pool_summary> zone_views::otherZones(const pool_id &Pool) const {
  std::vector<pool_summary> Out;
  for (auto It = Summaries.lower_bound({Pool, zone_id()});
       It != Summaries.end() && It->first.Pool == Pool; ++It)
    if (Context.now() - It->second.ReceivedAt <= SummaryTtl)
      Out.push_back(It->second.Value);
  return Out;
}

zone_report zone_views::ownReport() const {
  zone_report Report;
  Report.Zone = Context.settings().Zone;
  Report.LiveHosts = 1;
  Report.LowestConfig = Members.own().Config;
  Report.LaggingHost = Members.own().Host;
  for (const std::pair<const entry_host_id, member_record> &Entry :
       Members.table().all()) {
    const member_update &Member = Entry.second.Update;
    if (Member.Zone != Report.Zone || Member.State > member_state::Suspect)
      continue;
    ++Report.LiveHosts;
    if (Member.Config >= Report.LowestConfig)
      continue;
    Report.LowestConfig = Member.Config;
    Report.LaggingHost = Member.Host;
  }
  return Report;
}

std::vector<zone_report> zone_views::reports() const {
  std::vector<zone_report> Out{ownReport()};
  for (const std::pair<const zone_id, cached_value<zone_report>> &Entry :
       Reports)
    Out.push_back(Entry.second.Value);
  return Out;
}

void zone_views::appendGossip(gossip_payload &Payload,
                              const gossip_recipient &To) {
  if (To.UrgentOnly)
    return;
  if (To.SameZone)
    addRelayed(Payload);
  else if (Members.isDelegate())
    addOwnZone(Payload);
}

void zone_views::addOwnZone(gossip_payload &Payload) {
  // The two delegates number their summaries independently. While both are
  // alive, receivers accept the higher numbers. After one has failed, they
  // accept any number once its last summary is older than SequenceGuardPeriod.
  LastSequence =
      std::max(LastSequence + 1,
               static_cast<std::uint64_t>(
                   Context.wallNow().time_since_epoch().count() & 0xffffffff));
  std::vector<pool_summary> Own = Source.ownZoneSummaries();
  for (std::size_t I = 0; I < Own.size() && I < OwnSummariesPerMessage; ++I) {
    pool_summary Summary = Own[Rotation++ % Own.size()];
    Summary.Sequence = LastSequence;
    Payload.Summaries.push_back(std::move(Summary));
  }
  zone_report Report = ownReport();
  Report.Sequence = LastSequence;
  Payload.Zones.push_back(std::move(Report));
}

template <typename Key, typename ValueType>
void zone_views::addRelayedFrom(std::map<Key, cached_value<ValueType>> &Map,
                                std::vector<ValueType> &Out,
                                std::size_t Count) {
  std::vector<cached_value<ValueType> *> Candidates;
  for (std::pair<const Key, cached_value<ValueType>> &Entry : Map)
    if (Entry.second.RelayCount < MaxRelaysPerValue &&
        Context.now() - Entry.second.ReceivedAt <= MaxRelayAge)
      Candidates.push_back(&Entry.second);
  // Zones of the same region come first if a message cannot hold all, because
  // work spills over within the region first.
  std::stable_sort(
      Candidates.begin(), Candidates.end(),
      [](const cached_value<ValueType> *A, const cached_value<ValueType> *B) {
        if (A->SameRegion != B->SameRegion)
          return A->SameRegion;
        return A->RelayCount < B->RelayCount;
      });
  // Reserves the last place for another region, so that summaries of other
  // regions are always relayed too.
  auto OtherRegion = std::find_if(
      Candidates.begin(), Candidates.end(),
      [](const cached_value<ValueType> *A) { return !A->SameRegion; });
  std::size_t OtherRegionIndex =
      static_cast<std::size_t>(OtherRegion - Candidates.begin());
  if (OtherRegionIndex >= Count && OtherRegion != Candidates.end())
    std::swap(Candidates[Count - 1], *OtherRegion);
  for (std::size_t I = 0; I < Candidates.size() && I < Count; ++I) {
    ++Candidates[I]->RelayCount;
    Out.push_back(Candidates[I]->Value);
  }
}

void zone_views::addRelayed(gossip_payload &Payload) {
  addRelayedFrom(Summaries, Payload.Summaries, RelayedSummaries);
  addRelayedFrom(Reports, Payload.Zones, RelayedReports);
}

template <typename Key, typename ValueType>
void zone_views::storeIfNewer(std::map<Key, cached_value<ValueType>> &Map,
                              const Key &MapKey, const ValueType &Value) {
  auto Found = Map.find(MapKey);
  if (Found != Map.end()) {
    bool Young =
        Context.now() - Found->second.ReceivedAt <= SequenceGuardPeriod;
    if (Young && Value.Sequence <= Found->second.Value.Sequence)
      return;
  }
  Map[MapKey] = {Value, Context.now(), 0, Members.inOwnRegion(Value.Zone)};
}

void zone_views::onGossip(const gossip_payload &Payload, const host_run &,
                          const zone_id &) {
  const zone_id &Own = Context.settings().Zone;
  for (const pool_summary &Summary : Payload.Summaries)
    if (Summary.Zone != Own)
      storeIfNewer(Summaries, {Summary.Pool, Summary.Zone}, Summary);
  for (const zone_report &Report : Payload.Zones)
    if (Report.Zone != Own)
      storeIfNewer(Reports, Report.Zone, Report);
  std::erase_if(Summaries,
                [this](const std::pair<const summary_key,
                                       cached_value<pool_summary>> &Entry) {
                  return Context.now() - Entry.second.ReceivedAt > SummaryTtl;
                });
}

} // namespace jasminecroft::detail
