// Plays the shells of a fleet: carries out the actions of its cores.
#include "jasminecroft/testing/virtual_fleet.h"

namespace jasminecroft::testing {

namespace {

constexpr core_duration ConnectTimeout{500'000};
constexpr core_duration RefusedConnect{500};
constexpr core_duration UnreachableHint{100'000};
constexpr std::uint32_t Half = 500;

// Whether the event is the last one of this attempt.
bool ends(const event &Event, attempt_id Attempt) {
  if (const attempt_succeeded *End = std::get_if<attempt_succeeded>(&Event))
    return End->Attempt == Attempt;
  if (const attempt_failed *End = std::get_if<attempt_failed>(&Event))
    return End->Attempt == Attempt;
  return false;
}

} // namespace

void virtual_fleet::carryOut(std::size_t Index, const start_attempt &Start) {
  entry_host &Host = Hosts[Index];
  backend_call_pointer Call = std::make_shared<backend_call>();
  Call->Caller = hostRun(Index);
  Call->CallerZone = Host.Zone;
  Call->Start = Start;
  Call->SentAt = Queue.now();
  Host.Calls[Start.Attempt] = Call;
  Queue.after(Start.Timeout, [this, Index, Call] {
    endCall(Index, Call, backend_error::TimedOut);
  });
  auto Found = BackendByAddress.find(Start.Address);
  if (Found == BackendByAddress.end()) {
    Queue.after(RefusedConnect, [this, Index, Call] {
      endCall(Index, Call, backend_error::NotConnected);
    });
    return;
  }
  std::size_t Backend = Found->second;
  zone_id From = Backends[Backend]->spec().Zone;
  Call->Deliver = [this, Index, Weak = std::weak_ptr<backend_call>(Call),
                   From](const event &Event) {
    backend_call_pointer Held = Weak.lock();
    if (Held)
      bringBack(Index, Held, From, Event);
  };
  Queue.after(Network.latency(Host.Zone, From),
              [this, Index, Call, Backend] { connect(Index, Call, Backend); });
}

void virtual_fleet::endCall(std::size_t Index, const backend_call_pointer &Call,
                            backend_error Error) {
  if (Call->Closed)
    return;
  deliverAnswer(Index, Call, attempt_failed{Call->Start.Attempt, Error, {}});
}

void virtual_fleet::connect(std::size_t Index, const backend_call_pointer &Call,
                            std::size_t Backend) {
  // A call that was given up meanwhile may have been sent before, or not.
  if (Call->Closed && !Random.chance(Half))
    return;
  fake_backend &Server = *Backends[Backend];
  if (Network.linked(Call->CallerZone, Server.spec().Zone)) {
    Server.receive(Call);
    return;
  }
  // Connecting gives up, unless the attempt's own time-out comes first.
  Queue.after(ConnectTimeout, [this, Index, Call] {
    endCall(Index, Call, backend_error::NotConnected);
  });
}

void virtual_fleet::bringBack(std::size_t Index,
                              const backend_call_pointer &Call,
                              const zone_id &From, const event &Event) {
  if (Call->Lost)
    return;
  if (Network.linked(From, Call->CallerZone)) {
    Queue.after(
        Network.latency(From, Call->CallerZone),
        [this, Index, Call, Event] { deliverAnswer(Index, Call, Event); });
    return;
  }
  // The caller sees the connection break, or only its own time-out.
  Call->Lost = true;
  if (Random.chance(Half))
    Queue.after(ConnectTimeout, [this, Index, Call] {
      endCall(Index, Call, backend_error::Broken);
    });
}

void virtual_fleet::deliverAnswer(std::size_t Index,
                                  const backend_call_pointer &Call,
                                  const event &Event) {
  incarnation Run = Call->Caller.Run;
  if (ends(Event, Call->Start.Attempt)) {
    Call->Closed = true;
    if (Hosts[Index].Run == Run)
      Hosts[Index].Calls.erase(Call->Start.Attempt);
  }
  deliver(Index, Run, Event);
}

void virtual_fleet::carryOut(std::size_t Index, const cancel_attempt &Cancel) {
  entry_host &Host = Hosts[Index];
  auto Found = Host.Calls.find(Cancel.Attempt);
  if (Found == Host.Calls.end())
    return;
  backend_call_pointer Call = Found->second;
  Host.Calls.erase(Found);
  Call->Closed = true;
  auto Backend = BackendByAddress.find(Call->Start.Address);
  if (Backend == BackendByAddress.end())
    return;
  const zone_id &Zone = Backends[Backend->second]->spec().Zone;
  Queue.after(
      Network.latency(Host.Zone, Zone), [this, Call, Server = Backend->second] {
        if (Network.linked(Call->CallerZone, Backends[Server]->spec().Zone))
          Backends[Server]->cancel(Call);
      });
}

void virtual_fleet::carryOut(std::size_t Index, const poll_load &Poll) {
  auto Found = BackendByAddress.find(Poll.Address);
  incarnation Run = Hosts[Index].Run;
  zone_id Zone = Hosts[Index].Zone;
  load_poll_failed Failed{Poll.Backend};
  if (Found == BackendByAddress.end()) {
    Queue.after(RefusedConnect,
                [this, Index, Run, Failed] { deliver(Index, Run, Failed); });
    return;
  }
  fake_backend &Server = *Backends[Found->second];
  bool Linked = Network.linked(Zone, Server.spec().Zone);
  if (!Linked || Server.state() == backend_state::Dead) {
    Queue.after(Linked ? RefusedConnect : ConnectTimeout,
                [this, Index, Run, Failed] { deliver(Index, Run, Failed); });
    return;
  }
  core_duration RoundTrip = 2 * Network.latency(Zone, Server.spec().Zone);
  load_reported Report = Server.report();
  Queue.after(RoundTrip,
              [this, Index, Run, Report] { deliver(Index, Run, Report); });
}

void virtual_fleet::carryOut(std::size_t Index, const call_platform &Call) {
  Platform.call(Hosts[Index].Zone, Call,
                [this, Index, Run = Hosts[Index].Run,
                 Number = Call.Call](const platform_result &Result) {
                  deliver(Index, Run, platform_replied{Number, Result});
                });
}

void virtual_fleet::carryOut(std::size_t Index, const send_to_peer &Send) {
  auto Found = HostByAddress.find(Send.Address);
  if (Found == HostByAddress.end())
    return;
  std::size_t Target = Found->second;
  std::shared_ptr<const peer_message> Message =
      std::make_shared<const peer_message>(Send.Message);
  bool Sent = Network.send(
      Hosts[Index].Zone, Hosts[Target].Zone, [this, Target, Message] {
        deliver(Target, Hosts[Target].Run, peer_received{*Message});
      });
  if ((Sent && Hosts[Target].Core) || !Random.chance(Half))
    return;
  Queue.after(UnreachableHint,
              [this, Index, Run = Hosts[Index].Run, Host = Send.Host] {
                deliver(Index, Run, peer_unreachable{Host});
              });
}

void virtual_fleet::carryOut(std::size_t Index, const set_readiness &Set) {
  Hosts[Index].Readiness = Set.State;
}

void virtual_fleet::carryOut(std::size_t Index, const stop_process &) {
  Observer.beforeDisturbance();
  Observer.onHostStopped(hostRun(Index));
  down(Index);
}

} // namespace jasminecroft::testing
