// Gossip of member records, and the rumors that carry urgent updates of all
// gossip participants.
#include "jasminecroft/core/detail/membership.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration RumorInterval = std::chrono::milliseconds(200);
constexpr std::size_t RumorFanout = 3;
constexpr std::size_t LeaveFanout = 8;
constexpr std::size_t RotatedMembersBetweenZones = 1;
constexpr std::size_t RotatedMembers = 1;

bool isAlive(const member_record &Record) {
  return Record.Update.State == member_state::Alive;
}

} // namespace

void membership::applyGossip(const peer_message &Message,
                             const gossip_payload &Gossip) {
  for (const member_update &Update : Gossip.Members) {
    if (Update.Host.empty())
      continue;
    if (Update.Host == Own.Host)
      refute(Update);
    else if (Table.merge(Update))
      scheduleRumors();
  }
  Table.raiseConfigVersion(Message.Sender.Host, Gossip.Config);
  if (!NextProbe)
    scheduleProbe();
  const member_record *Sender = Table.find(Message.Sender.Host);
  zone_id Zone = Sender ? Sender->Update.Zone : zone_id();
  for (gossip_participant *Part : Parts)
    Part->onGossip(Gossip, Message.Sender, Zone);
}

void membership::refute(const member_update &Suspicion) {
  if (Suspicion.Run != Own.Run || Suspicion.Refutation < Own.Refutation ||
      Suspicion.State == member_state::Alive || Own.State == member_state::Left)
    return;
  Own.Refutation = Suspicion.Refutation + 1;
  OwnRoundsLeft = OwnRumorRounds;
  scheduleRumors();
  Context.log(event_number::MemberRefuted, event_severity::Warning,
              "refuted a suspicion that this host had failed",
              {{"refutation", std::to_string(Own.Refutation)}});
}

gossip_recipient membership::recipientOf(const entry_host_id &Host,
                                         bool UrgentOnly) const {
  const member_record *Record = Table.find(Host);
  bool SameZone = !Record || Record->Update.Zone == Own.Zone;
  return {Host, SameZone, UrgentOnly};
}

gossip_payload membership::makePayload(const gossip_recipient &To,
                                       bool WithOwn) {
  gossip_payload Payload;
  Payload.Config = Own.Config;
  addMembers(Payload, To, WithOwn);
  for (gossip_participant *Part : Parts)
    Part->appendGossip(Payload, To);
  return Payload;
}

void membership::addMembers(gossip_payload &Payload, const gossip_recipient &To,
                            bool WithOwn) {
  std::vector<member_update> &Out = Payload.Members;
  if (WithOwn || OwnRoundsLeft > 0)
    Out.push_back(Own);
  // A host must receive the suspicion about itself to be able to refute it.
  const member_record *Receiver = Table.find(To.Host);
  if (Receiver && !isAlive(*Receiver))
    Out.push_back(Receiver->Update);
  std::vector<const member_record *> Others;
  for (const std::pair<const entry_host_id, member_record> &Entry :
       Table.all()) {
    if (Entry.first == To.Host || !Entry.second.Confirmed)
      continue;
    if (Entry.second.RoundsLeft > 0 && Out.size() < MaxMemberUpdatesPerMessage)
      Out.push_back(Entry.second.Update);
    else
      Others.push_back(&Entry.second);
  }
  if (To.UrgentOnly)
    return;
  std::size_t Rotated =
      To.SameZone ? RotatedMembers : RotatedMembersBetweenZones;
  for (std::size_t I = 0; I < Rotated && !Others.empty() &&
                          Out.size() < MaxMemberUpdatesPerMessage;
       ++I) {
    std::size_t Pick = Context.randomBelow(Others.size());
    Out.push_back(Others[Pick]->Update);
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Pick));
  }
}

bool membership::hasUrgentUpdates() const {
  if (OwnRoundsLeft > 0 || Table.hasUrgentUpdates())
    return true;
  return std::any_of(
      Parts.begin(), Parts.end(),
      [](const gossip_participant *Part) { return Part->hasUrgentUpdates(); });
}

void membership::scheduleRumors() {
  if (!NextRumor)
    NextRumor =
        Context.now() +
        core_duration(static_cast<std::int64_t>(Context.randomBelow(20'000)));
}

void membership::sendRumors() {
  NextRumor.reset();
  if (!hasUrgentUpdates())
    return;
  std::vector<entry_host_id> Targets =
      randomPeers(RumorFanout, [](const member_record &) { return true; });
  if (isDelegate())
    for (const entry_host_id &Host : otherZoneDelegates())
      Targets.push_back(Host);
  for (const entry_host_id &Target : Targets)
    send(Target, rumor{makePayload(recipientOf(Target, true), false)});
  if (OwnRoundsLeft > 0)
    --OwnRoundsLeft;
  Table.onRumorsSent();
  for (gossip_participant *Part : Parts)
    Part->onRumorsSent();
  if (hasUrgentUpdates())
    NextRumor = Context.now() + RumorInterval;
}

void membership::leave() {
  Own.State = member_state::Left;
  RankingCache.clear();
  OwnRoundsLeft = OwnRumorRounds;
  std::vector<entry_host_id> Targets =
      randomPeers(LeaveFanout, [](const member_record &) { return true; });
  for (const entry_host_id &Host : otherZoneDelegates())
    Targets.push_back(Host);
  for (const entry_host_id &Target : Targets)
    send(Target, rumor{makePayload(recipientOf(Target, true), true)});
  scheduleRumors();
}

} // namespace jasminecroft::detail
