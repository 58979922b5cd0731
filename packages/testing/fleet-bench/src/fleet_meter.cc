// Counts by looking at the actions of the cores.
#include "jasminecroft/bench/fleet_meter.h"

#include "jasminecroft/wire/peer_codec.h"

#include <algorithm>

namespace jasminecroft::bench {

namespace {

constexpr core_duration SameSuspicion{5'000'000};

const std::string *fieldOf(const event_record &Record, std::string_view Name) {
  for (const event_field &Field : Record.Fields)
    if (Field.Name == Name)
      return &Field.Value;
  return nullptr;
}

} // namespace

void fleet_meter::onEvent(const host_run &Host, const event &Event) {
  const peer_received *Received = std::get_if<peer_received>(&Event);
  if (!Received)
    return;
  host_traffic &Traffic = this->Traffic[Host.Host];
  Traffic.ReceivedBytes += encodePeer(Received->Message).size();
  ++Traffic.ReceivedMessages;
}

void fleet_meter::onAction(const host_run &Host, const action &Action) {
  if (!Queue)
    return;
  if (const send_to_peer *Send = std::get_if<send_to_peer>(&Action)) {
    std::uint64_t Bytes = encodePeer(Send->Message).size();
    host_traffic &Traffic = this->Traffic[Host.Host];
    Traffic.SentBytes += Bytes;
    ++Traffic.SentMessages;
    ByKind[Send->Message.Body.index()] += Bytes;
    bool Whole = std::holds_alternative<config_push>(Send->Message.Body) ||
                 std::holds_alternative<host_list_push>(Send->Message.Body);
    if (!Whole)
      Largest = std::max(Largest, Bytes);
  } else if (const call_platform *Call = std::get_if<call_platform>(&Action)) {
    Calls[Call->Purpose].push_back(Queue->now());
  } else if (std::holds_alternative<poll_load>(Action)) {
    ++Traffic[Host.Host].LoadPolls;
  } else if (const log_event *Log = std::get_if<log_event>(&Action)) {
    onLog(Host, Log->Record);
  }
}

void fleet_meter::onLog(const host_run &Host, const event_record &Record) {
  if (Record.Number == event_number::MemberChanged) {
    const std::string *State = fieldOf(Record, "state");
    if (State && *State == "suspect")
      onSuspicion(*fieldOf(Record, "member"));
    if (State && *State == "dead")
      ++Deaths;
  }
  if (Record.Number != AwaitedNumber || AwaitedValue.empty())
    return;
  const std::string *Value = fieldOf(Record, AwaitedField);
  if (Value && *Value == AwaitedValue &&
      SeenBy.emplace(Host.Host, Queue->now()).second)
    Seen.push_back({Host.Host, Queue->now()});
}

// All hosts that hear of one suspicion log it.
void fleet_meter::onSuspicion(const std::string &Member) {
  auto Last = SuspectedAt.find(Member);
  if (Last == SuspectedAt.end() || Queue->now() - Last->second > SameSuspicion)
    ++Suspicions;
  SuspectedAt[Member] = Queue->now();
}

void fleet_meter::reset() {
  Traffic.clear();
  ByKind.clear();
  Calls.clear();
  Largest = 0;
  Suspicions = 0;
  Deaths = 0;
}

void fleet_meter::await(event_number Number, std::string_view Field,
                        const std::string &Value) {
  AwaitedNumber = Number;
  AwaitedField = Field;
  AwaitedValue = Value;
  SeenBy.clear();
  Seen.clear();
}

} // namespace jasminecroft::bench
