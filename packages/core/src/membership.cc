// Failure detection and spread of news among entry hosts.
#include "jasminecroft/core/detail/membership.h"

#include <algorithm>

namespace jasminecroft::detail {

namespace {

constexpr core_duration ProbeInterval{1'000'000};
constexpr core_duration ProbeJitter{100'000};
constexpr core_duration ResendAfter{300'000};
constexpr core_duration AskOthersAfter{600'000};
constexpr core_duration SuspectAfter{1'400'000};
constexpr core_duration RelayKept{2'000'000};
/// A wakeup that comes later than this means that this host stood still.
constexpr core_duration FrozenAfter{1'500'000};
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
    Table.seed(Member, false);
  }
  NextGoneProbe = Context.now() + DeadProbeInterval;
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
    Table.seed(Member, true);
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
  if (!Due || Context.now() - *Due < FrozenAfter)
    return;
  // This host stood still: silence of others in that time says nothing.
  Pending.clear();
  ZoneProbes.clear();
  Relays.clear();
  Table.restartSuspicions();
  ++Own.Refutation;
  OwnRoundsLeft = OwnRumorRounds;
  NextGoneProbe = Context.now() + DeadProbeInterval;
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
  heardFrom(Message);
  std::visit([&](const auto &Body) { on(Message, Body); }, Message.Body);
  return true;
}

void membership::heardFrom(const peer_message &Message) {
  LastHeard = Context.now();
  member_record *Record = Table.find(Message.Sender.Host);
  if (!Record)
    return;
  if (Record->Update.Run < Message.Sender.Run) {
    member_update Update = Record->Update;
    Update.Run = Message.Sender.Run;
    Update.Refutation = 0;
    Update.State = member_state::Alive;
    Update.Config = config_version();
    Table.offer(Update);
  }
  Record->Heard = true;
  // Only the host itself can refute, but it need not die before it has heard.
  if (Record->SuspectUntil)
    Record->SuspectUntil =
        std::max(*Record->SuspectUntil, Context.now() + SuspectAfter);
  auto Contact = Contacts.find(Record->Update.Zone);
  if (Contact != Contacts.end())
    Contact->second.Unanswered = 0;
}

void membership::on(const peer_message &Message, const probe &Body) {
  takeGossip(Message, Body.Gossip);
  probe_ack Ack;
  Ack.Sequence = Body.Sequence;
  Ack.Gossip = makePayload(audienceOf(Message.Sender.Host, false), false);
  send(Message.Sender.Host, std::move(Ack));
}

void membership::on(const peer_message &Message, const probe_ack &Body) {
  takeGossip(Message, Body.Gossip);
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
  takeGossip(Message, Body.Gossip);
}

void membership::onUnreachable(const entry_host_id &Host) {
  // Only a hint: asks others at once instead of waiting for the resend.
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
  Probe.Gossip = makePayload(audienceOf(Target, false), true);
  send(Target, std::move(Probe));
}

void membership::probeNext() {
  if (NextInRing >= Ring.size()) {
    Ring.clear();
    NextInRing = 0;
    for (const std::pair<const entry_host_id, member_record> &Entry :
         Table.all())
      if (Entry.second.Update.Zone == Own.Zone && !isGone(Entry.second))
        Ring.push_back(Entry.first);
    for (std::size_t I = Ring.size(); I > 1; --I)
      std::swap(Ring[I - 1], Ring[Context.randomBelow(I)]);
  }
  while (NextInRing < Ring.size()) {
    const entry_host_id &Target = Ring[NextInRing++];
    const member_record *Record = Table.find(Target);
    if (!Record || isGone(*Record))
      continue;
    Pending.emplace(++LastSequence,
                    pending_probe{Target, Context.now(), false, false});
    sendProbe(Target, LastSequence);
    return;
  }
}

void membership::checkPending() {
  core_time Now = Context.now();
  std::vector<entry_host_id> Silent;
  for (auto It = Pending.begin(); It != Pending.end();) {
    pending_probe &Probe = It->second;
    core_duration Waited = Now - Probe.SentAt;
    if (Waited >= SuspectAfter) {
      Silent.push_back(Probe.Target);
      It = Pending.erase(It);
      continue;
    }
    if (Waited >= ResendAfter && !Probe.Resent) {
      Probe.Resent = true;
      sendProbe(Probe.Target, It->first);
    }
    if (Waited >= AskOthersAfter && !Probe.AskedOthers) {
      Probe.AskedOthers = true;
      const entry_host_id Target = Probe.Target;
      for (const entry_host_id &Helper :
           randomPeers(IndirectProbes, [&](const member_record &Record) {
             return Record.Update.Host != Target;
           }))
        send(Helper, indirect_probe{It->first, Target});
    }
    ++It;
  }
  for (const entry_host_id &Host : Silent) {
    Table.suspect(Host);
    scheduleRumors();
  }
  std::erase_if(
      Relays,
      [Now](const std::pair<const std::uint64_t, relayed_probe> &Entry) {
        return Now - Entry.second.SentAt > RelayKept;
      });
}

void membership::onWakeup() {
  checkPending();
  std::uint64_t Epoch = Table.epoch();
  Table.expire();
  if (Table.epoch() != Epoch)
    scheduleRumors();
  probeOtherZone();
  if (NextProbe && *NextProbe <= Context.now()) {
    probeNext();
    probeGone();
    scheduleProbe();
  }
  if (NextRumor && *NextRumor <= Context.now())
    spreadRumors();
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
    if (!Entry.second.AskedOthers)
      Wait = AskOthersAfter;
    if (!Entry.second.Resent)
      Wait = ResendAfter;
    Consider(Entry.second.SentAt + Wait);
  }
  return Next;
}

} // namespace jasminecroft::detail
