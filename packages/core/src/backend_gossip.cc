// Gossip of the backend registry: load reports and leaving servers.
#include "jasminecroft/core/detail/backend_registry.h"

#include <algorithm>
#include <bit>

namespace jasminecroft::detail {

namespace {

constexpr std::size_t LoadsPerMessage = 28;
/// Lower limit for messages to or from delegates, whose messages also carry the
/// gossip between zones.
constexpr std::size_t LoadsWithDelegate = 8;
constexpr std::size_t RotatedLeaving = 2;
constexpr std::uint32_t LeavingRumorRounds = 5;
constexpr std::size_t MaxLeavingFacts = 10'000;
/// Reports older than this are not relayed and are replaced by any newer
/// report, whatever its sequence number.
constexpr core_duration MaxReportAge = std::chrono::seconds(6);

} // namespace

void backend_registry::markLeaving(const leaving_fact &Fact,
                                   std::string_view Source) {
  auto Found = Backends.find(Fact.Backend);
  if (Found != Backends.end() && Fact.Run < Found->second.View.Run)
    return;
  if (Leaving.size() >= MaxLeavingFacts ||
      !Leaving.emplace(Fact, leaving_state{LeavingRumorRounds}).second)
    return;
  if (Found != Backends.end())
    applyRun(Found->second, Fact.Run);
  Context.log(event_number::BackendLeaving, event_severity::Info,
              "backend server is leaving",
              {{"backend", Fact.Backend.Value},
               {"run", std::to_string(Fact.Run.Value)},
               {"source", std::string(Source)}});
  Members.scheduleRumors();
}

std::uint32_t backend_registry::maxReportRelays() const {
  return 2 + static_cast<std::uint32_t>(std::bit_width(liveEntryHosts()));
}

void backend_registry::appendGossip(gossip_payload &Payload,
                                    const gossip_recipient &To) {
  addLeaving(Payload, To.UrgentOnly);
  if (To.SameZone && !To.UrgentOnly)
    addLoads(Payload, To.Host);
  Demand.appendGossip(Payload, To);
  Zones.appendGossip(Payload, To);
}

void backend_registry::addLeaving(gossip_payload &Payload, bool UrgentOnly) {
  std::vector<leaving_fact> Settled;
  for (const std::pair<const leaving_fact, leaving_state> &Entry : Leaving) {
    if (Entry.second.RoundsLeft == 0)
      Settled.push_back(Entry.first);
    else if (Payload.Leaving.size() < MaxLeavingFactsPerMessage)
      Payload.Leaving.push_back(Entry.first);
  }
  if (UrgentOnly)
    return;
  for (std::size_t I = 0; I < RotatedLeaving && I < Settled.size() &&
                          Payload.Leaving.size() < MaxLeavingFactsPerMessage;
       ++I)
    Payload.Leaving.push_back(Settled[LeavingRotation++ % Settled.size()]);
}

void backend_registry::addLoads(gossip_payload &Payload,
                                const entry_host_id &To) {
  std::vector<entry *> Candidates;
  std::uint32_t Relays = maxReportRelays();
  for (std::pair<const backend_id, entry> &Pair : Backends) {
    entry &Entry = Pair.second;
    if (Entry.View.Reported && Entry.Sent < Relays &&
        Entry.View.Zone == Context.settings().Zone &&
        Context.now() - Entry.ReportedAt <= MaxReportAge)
      Candidates.push_back(&Entry);
  }
  bool Delegate = Members.isDelegate() || Members.isDelegateOfOwnZone(To);
  std::size_t Count = std::min(Delegate ? LoadsWithDelegate : LoadsPerMessage,
                               Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
                    Candidates.end(), [](const entry *A, const entry *B) {
                      if (A->Sent != B->Sent)
                        return A->Sent < B->Sent;
                      if (A->SentAt != B->SentAt)
                        return A->SentAt < B->SentAt;
                      return A->View.Backend < B->View.Backend;
                    });
  for (std::size_t I = 0; I < Count; ++I) {
    entry &Entry = *Candidates[I];
    ++Entry.Sent;
    Entry.SentAt = Context.now();
    load_delta Delta;
    Delta.Backend = Entry.View.Backend;
    Delta.Run = Entry.View.Run;
    Delta.Sequence = Entry.ReportSequence;
    Delta.InFlight = Entry.View.ReportedInFlight;
    Delta.Queued = Entry.View.ReportedQueued;
    Delta.Slots = Entry.View.Slots;
    Delta.Age = Context.now() - Entry.ReportedAt;
    Payload.Loads.push_back(std::move(Delta));
  }
}

void backend_registry::onGossip(const gossip_payload &Payload,
                                const host_run &Sender,
                                const zone_id &SenderZone) {
  for (const leaving_fact &Fact : Payload.Leaving)
    markLeaving(Fact, "peer");
  for (const load_delta &Delta : Payload.Loads) {
    auto Found = Backends.find(Delta.Backend);
    if (Found == Backends.end())
      continue;
    entry &Entry = Found->second;
    core_time At = Context.now() - Delta.Age;
    if (Entry.View.Reported && Delta.Run == Entry.View.Run) {
      bool CurrentIsOld = Context.now() - Entry.ReportedAt > MaxReportAge;
      if (At <= Entry.ReportedAt)
        continue;
      if (!CurrentIsOld && Delta.Sequence <= Entry.ReportSequence)
        continue;
    }
    applyReport(Entry, Delta, At);
  }
  Demand.onGossip(Payload, Sender, SenderZone);
  Zones.onGossip(Payload, Sender, SenderZone);
}

bool backend_registry::hasUrgentUpdates() const {
  return std::any_of(
      Leaving.begin(), Leaving.end(),
      [](const std::pair<const leaving_fact, leaving_state> &Entry) {
        return Entry.second.RoundsLeft > 0;
      });
}

void backend_registry::onRumorsSent() {
  // A message carries a limited number of facts. Only those that were carried
  // have used a round.
  std::size_t Carried = 0;
  for (std::pair<const leaving_fact, leaving_state> &Entry : Leaving) {
    if (Entry.second.RoundsLeft == 0 || Carried == MaxLeavingFactsPerMessage)
      continue;
    --Entry.second.RoundsLeft;
    ++Carried;
  }
}

} // namespace jasminecroft::detail
