// Exchanges summaries of zones.
#include "jasminecroft/core/detail/zone_views.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration SummaryKept{30'000'000};
constexpr core_duration RelayedWhileYounger{15'000'000};
/// While a summary is younger, a lower sequence cannot replace it.
constexpr core_duration SequenceRules{5'000'000};
constexpr std::size_t OwnSummariesPerMessage = 6;
constexpr std::size_t RelayedSummaries = 3;
constexpr std::size_t RelayedReports = 2;
constexpr std::uint32_t TimesRelayed = 6;

} // namespace

std::vector<pool_summary> zone_views::otherZones(const pool_id &Pool) const {
  std::vector<pool_summary> Out;
  for (auto It = Summaries.lower_bound({Pool, zone_id()});
       It != Summaries.end() && It->first.Pool == Pool; ++It)
    if (Context.now() - It->second.At <= SummaryKept)
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
  for (const std::pair<const zone_id, held<zone_report>> &Entry : Reports)
    Out.push_back(Entry.second.Value);
  return Out;
}

void zone_views::appendGossip(gossip_payload &Payload,
                              const gossip_recipient &To) {
  if (To.UrgentOnly)
    return;
  if (To.SameZone)
    relay(Payload);
  else if (Members.isDelegate())
    addOwn(Payload);
}

void zone_views::addOwn(gossip_payload &Payload) {
  // Two delegates number apart; while both live, receivers take the higher
  // numbers, and after the other one's death any number once its own is old.
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

template <typename Key, typename Told>
void zone_views::relayFrom(std::map<Key, held<Told>> &Map,
                           std::vector<Told> &Out, std::size_t Count) {
  std::vector<held<Told> *> Candidates;
  for (std::pair<const Key, held<Told>> &Entry : Map)
    if (Entry.second.Sent < TimesRelayed &&
        Context.now() - Entry.second.At <= RelayedWhileYounger)
      Candidates.push_back(&Entry.second);
  // What one message cannot hold: work spills within the region first.
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const held<Told> *A, const held<Told> *B) {
                     if (A->SameRegion != B->SameRegion)
                       return A->SameRegion;
                     return A->Sent < B->Sent;
                   });
  // The last place goes to another region, so that none is never heard of.
  auto Far = std::find_if(Candidates.begin(), Candidates.end(),
                          [](const held<Told> *A) { return !A->SameRegion; });
  std::size_t FarAt = static_cast<std::size_t>(Far - Candidates.begin());
  if (FarAt >= Count && Far != Candidates.end())
    std::swap(Candidates[Count - 1], *Far);
  for (std::size_t I = 0; I < Candidates.size() && I < Count; ++I) {
    ++Candidates[I]->Sent;
    Out.push_back(Candidates[I]->Value);
  }
}

void zone_views::relay(gossip_payload &Payload) {
  relayFrom(Summaries, Payload.Summaries, RelayedSummaries);
  relayFrom(Reports, Payload.Zones, RelayedReports);
}

template <typename Key, typename Told>
void zone_views::accept(std::map<Key, held<Told>> &Map, const Key &Where,
                        const Told &Value) {
  auto Found = Map.find(Where);
  if (Found != Map.end()) {
    bool Young = Context.now() - Found->second.At <= SequenceRules;
    if (Young && Value.Sequence <= Found->second.Value.Sequence)
      return;
  }
  Map[Where] = {Value, Context.now(), 0, Members.inOwnRegion(Value.Zone)};
}

void zone_views::onGossip(const gossip_payload &Payload, const host_run &,
                          const zone_id &) {
  const zone_id &Own = Context.settings().Zone;
  for (const pool_summary &Summary : Payload.Summaries)
    if (Summary.Zone != Own)
      accept(Summaries, {Summary.Pool, Summary.Zone}, Summary);
  for (const zone_report &Report : Payload.Zones)
    if (Report.Zone != Own)
      accept(Reports, Report.Zone, Report);
  std::erase_if(
      Summaries,
      [this](const std::pair<const summary_key, held<pool_summary>> &Entry) {
        return Context.now() - Entry.second.At > SummaryKept;
      });
}

} // namespace jasminecroft::detail
