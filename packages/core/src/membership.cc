// Failure detection of entry hosts: probes, acknowledgements and timeouts.
#include "jasminecroft/core/detail/membership.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration ProbeInterval = std::chrono::seconds(1);
constexpr core_duration ProbeJitter = std::chrono::milliseconds(100);
constexpr core_duration ResendAfter = std::chrono::milliseconds(300);
constexpr core_duration IndirectProbeAfter = std::chrono::milliseconds(600);
constexpr core_duration SuspectAfter = std::chrono::milliseconds(1400);
constexpr core_duration RelayTimeout = std::chrono::seconds(2);
/// A wakeup that is late by this much means that the process was paused.
constexpr core_duration PauseThreshold = std::chrono::milliseconds(1500);
constexpr std::size_t IndirectProbes = 3;
constexpr std::size_t MaxRelays = 64;
constexpr std::size_t MaxRefusedSenders = 1'000;

bool isGone(const member_record &Record) {
  return Record.Update.State == member_state::Dead ||
         Record.Update.State == member_state::Left;
}

} // namespace

void membership::start() {
  const core_settings &Settings = Context.settings();
  Own.Host = Settings.Self.Host;
  Own.Run = Settings.Self.Run;
  Own.Zone = Settings.Zone;
  Own.Region = Settings.Region;
  Own.Address = Settings.Address;
  for (const peer_seed &Seed : Settings.Seeds) {
    if (Seed.Host == Own.Host)
      continue;
    member_update Member;
    Member.Host = Seed.Host;
    Member.Zone = Seed.Zone;
    Member.Address = Seed.Address;
    Table.mergeSeed(Member, false);
  }
  NextDeadProbe = Context.now() + DeadProbeInterval;
  NextZoneProbe = Context.now() + ProbeInterval / 2;
  OwnRoundsLeft = OwnRumorRounds;
  scheduleRumors();
  scheduleProbe();
}

void membership::onHostList(const host_list &Hosts) {
  Table.beginHostList();
  for (const listed_host &Listed : Hosts.Hosts) {
    if (Listed.Kind != host_kind::EntryHost || Listed.Name == Own.Host.Value)
      continue;
    member_update Member;
    Member.Host = entry_host_id(Listed.Name);
    Member.Run = Listed.Run;
    Member.Zone = Listed.Zone;
    Member.Region = Listed.Region;
    Member.Address = Listed.Address;
    Table.mergeSeed(Member, true);
  }
  Table.endHostList();
  if (!NextProbe)
    scheduleProbe();
}

void membership::scheduleProbe() {
  NextProbe.reset();
  if (Table.all().empty())
    return;
  std::uint64_t Jitter = Context.randomBelow(
      2 * static_cast<std::uint64_t>(ProbeJitter.count()) + 1);
  NextProbe = Context.now() + ProbeInterval - ProbeJitter +
              core_duration(static_cast<std::int64_t>(Jitter));
}

void membership::detectPause() {
  std::optional<core_time> Due = nextWakeup();
  if (!Due || Context.now() - *Due < PauseThreshold)
    return;
  // The process was paused, so missing answers do not indicate failed peers.
  Pending.clear();
  ZoneProbes.clear();
  Relays.clear();
  Table.restartSuspicionTimers();
  ++Own.Refutation;
  OwnRoundsLeft = OwnRumorRounds;
  NextDeadProbe = Context.now() + DeadProbeInterval;
  scheduleRumors();
  scheduleProbe();
}

bool membership::refuse(const peer_message &Message, std::string_view Reason) {
  ++Refused;
  if (RefusedSenders.size() >= MaxRefusedSenders ||
      !RefusedSenders.insert(Message.Sender.Host).second)
    return false;
  Context.log(
      event_number::PeerMessageRefused, event_severity::Warning,
      "peer message refused",
      {{"sender", Message.Sender.Host.Value}, {"reason", std::string(Reason)}});
  return false;
}

bool membership::onPeer(const peer_message &Message) {
  if (Message.Fleet != Context.settings().Fleet)
    return refuse(Message, "another fleet");
  if (Message.Sender.Host == Own.Host)
    return refuse(Message, "this host's own name");
  const member_record *Record = Table.find(Message.Sender.Host);
  if (Record && Message.Sender.Run < Record->Update.Run)
    return refuse(Message, "an earlier run");
  recordContact(Message);
  std::visit([&](const auto &Body) { on(Message, Body); }, Message.Body);
  return true;
}

void membership::recordContact(const peer_message &Message) {
  LastMessageAt = Context.now();
  member_record *Record = Table.find(Message.Sender.Host);
  if (!Record)
    return;
  if (Record->Update.Run < Message.Sender.Run) {
    member_update Update = Record->Update;
    Update.Run = Message.Sender.Run;
    Update.Refutation = 0;
    Update.State = member_state::Alive;
    Update.Config = config_version();
    Table.merge(Update);
  }
  Record->Confirmed = true;
  // Only the host itself can refute the suspicion. This leaves it time to
  // receive and refute it before it is declared dead.
  if (Record->SuspectUntil)
    Record->SuspectUntil =
        std::max(*Record->SuspectUntil, Context.now() + SuspectAfter);
  auto ProbeState = ZoneProbeStates.find(Record->Update.Zone);
  if (ProbeState != ZoneProbeStates.end())
    ProbeState->second.Unanswered = 0;
}

void membership::on(const peer_message &Message, const probe &Body) {
  applyGossip(Message, Body.Gossip);
  probe_ack Ack;
  Ack.Sequence = Body.Sequence;
  Ack.Gossip = makePayload(recipientOf(Message.Sender.Host, false), false);
  send(Message.Sender.Host, std::move(Ack));
}

void membership::on(const peer_message &Message, const probe_ack &Body) {
  applyGossip(Message, Body.Gossip);
  Pending.erase(Body.Sequence);
  ZoneProbes.erase(Body.Sequence);
  auto Relay = Relays.find(Body.Sequence);
  if (Relay == Relays.end())
    return;
  send(Relay->second.Origin,
       indirect_ack{Relay->second.Sequence, Message.Sender.Host});
  Relays.erase(Relay);
}

void membership::on(const peer_message &Message, const indirect_probe &Body) {
  if (Relays.size() >= MaxRelays || !Table.find(Body.Target))
    return;
  Relays.emplace(++LastSequence, relayed_probe{Message.Sender.Host,
                                               Body.Sequence, Context.now()});
  sendProbe(Body.Target, LastSequence);
}

void membership::on(const peer_message &, const indirect_ack &Body) {
  auto Found = Pending.find(Body.Sequence);
  if (Found != Pending.end() && Found->second.Target == Body.Target)
    Pending.erase(Found);
}

void membership::on(const peer_message &Message, const rumor &Body) {
  applyGossip(Message, Body.Gossip);
}

void membership::onUnreachable(const entry_host_id &Host) {
  // Only a hint: skips the resend of the probe, so that indirect probes follow
  // next.
  for (std::pair<const std::uint64_t, pending_probe> &Entry : Pending)
    if (Entry.second.Target == Host)
      Entry.second.Resent = true;
}

void membership::send(const entry_host_id &Host, peer_body Body) {
  std::optional<endpoint> Address = addressOf(Host);
  if (Address && !Address->empty())
    Context.send(Host, *Address, std::move(Body));
}

void membership::sendProbe(const entry_host_id &Target,
                           std::uint64_t Sequence) {
  probe Probe;
  Probe.Sequence = Sequence;
  Probe.Gossip = makePayload(recipientOf(Target, false), true);
  send(Target, std::move(Probe));
}

void membership::probeNext() {
  if (NextInOrder >= ProbeOrder.size()) {
    ProbeOrder.clear();
    NextInOrder = 0;
    for (const std::pair<const entry_host_id, member_record> &Entry :
         Table.all())
      if (Entry.second.Update.Zone == Own.Zone && !isGone(Entry.second))
        ProbeOrder.push_back(Entry.first);
    for (std::size_t I = ProbeOrder.size(); I > 1; --I)
      std::swap(ProbeOrder[I - 1], ProbeOrder[Context.randomBelow(I)]);
  }
  while (NextInOrder < ProbeOrder.size()) {
    const entry_host_id &Target = ProbeOrder[NextInOrder++];
    const member_record *Record = Table.find(Target);
    if (!Record || isGone(*Record))
      continue;
    Pending.emplace(++LastSequence,
                    pending_probe{Target, Context.now(), false, false});
    sendProbe(Target, LastSequence);
    return;
  }
}

void membership::checkPendingProbes() {
  core_time Now = Context.now();
  std::vector<entry_host_id> Unresponsive;
  for (auto It = Pending.begin(); It != Pending.end();) {
    pending_probe &Probe = It->second;
    core_duration Waited = Now - Probe.SentAt;
    if (Waited >= SuspectAfter) {
      Unresponsive.push_back(Probe.Target);
      It = Pending.erase(It);
      continue;
    }
    if (Waited >= ResendAfter && !Probe.Resent) {
      Probe.Resent = true;
      sendProbe(Probe.Target, It->first);
    }
    if (Waited >= IndirectProbeAfter && !Probe.IndirectSent) {
      Probe.IndirectSent = true;
      const entry_host_id Target = Probe.Target;
      for (const entry_host_id &Helper :
           randomPeers(IndirectProbes, [&](const member_record &Record) {
             return Record.Update.Host != Target;
           }))
        send(Helper, indirect_probe{It->first, Target});
    }
    ++It;
  }
  for (const entry_host_id &Host : Unresponsive) {
    Table.suspect(Host);
    scheduleRumors();
  }
  std::erase_if(
      Relays,
      [Now](const std::pair<const std::uint64_t, relayed_probe> &Entry) {
        return Now - Entry.second.SentAt > RelayTimeout;
      });
}

void membership::onWakeup() {
  checkPendingProbes();
  std::uint64_t Epoch = Table.epoch();
  Table.expire();
  if (Table.epoch() != Epoch)
    scheduleRumors();
  probeOtherZone();
  if (NextProbe && *NextProbe <= Context.now()) {
    probeNext();
    probeDead();
    scheduleProbe();
  }
  if (NextRumor && *NextRumor <= Context.now())
    sendRumors();
}

std::optional<core_time> membership::nextWakeup() const {
  std::optional<core_time> Next = Table.nextExpiry();
  auto Consider = [&Next](std::optional<core_time> Time) {
    if (Time && (!Next || *Time < *Next))
      Next = Time;
  };
  Consider(NextProbe);
  if (NextProbe && isDelegate())
    Consider(std::max(NextZoneProbe, Context.now()));
  Consider(NextRumor);
  for (const std::pair<const std::uint64_t, pending_probe> &Entry : Pending) {
    core_duration Wait = SuspectAfter;
    if (!Entry.second.IndirectSent)
      Wait = IndirectProbeAfter;
    if (!Entry.second.Resent)
      Wait = ResendAfter;
    Consider(Entry.second.SentAt + Wait);
  }
  return Next;
}

} // namespace jasminecroft::detail
