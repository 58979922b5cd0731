// Permits of the hosts that count the calls to limited servers: for requests
// that only limited servers could run, and for calls of the queues that this
// host owns.
#include "serving_state.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// A host that has not answered by then is taken as a refusal.
constexpr core_duration PermitTimeout = milliseconds(200);
/// It is not asked again for this time.
constexpr core_duration SilentTime = std::chrono::seconds(2);
/// Asks of a request before it is refused: all that hold a part of one limit.
constexpr std::size_t MaxPermitAsks = shared_rate::Holders;
/// Retry-After if no host said when to come back.
constexpr core_duration LimitedRetryAfter = milliseconds(500);

void keepEarlier(std::optional<core_time> &Earliest, core_time Time) {
  if (!Earliest || Time < *Earliest)
    Earliest = Time;
}

} // namespace

using namespace detail;

// The request was admitted by a server and counted.
void serving_impl::onLimitSpent(active_request &State,
                                const backend_id &Server) {
  if (State.Permit == Server)
    State.Permit.reset();
  State.PermitAsks.clear();
  State.PermitNextAt.reset();
}

// Returns whether the servers that would admit the request are all limited and
// none can take it now.
bool serving_impl::needsPermit(const active_request &State) {
  return Servers.limits().count() != 0 &&
         Admission.candidates(State.Pool, subjectOf(State), Now).empty() &&
         !openServers(State).empty();
}

// Asks for a permit, or refuses the request, if all servers of its pool are
// limited and none can take it now. Returns false if it may go on.
bool serving_impl::waitForPermit(active_request &State) {
  if (State.Permit || !needsPermit(State))
    return false;
  requestPermit(State);
  return true;
}

// Returns the other hosts that count the calls to a server and may answer.
std::vector<entry_host_id>
serving_impl::openCounters(const backend_id &Server) const {
  std::vector<entry_host_id> Result;
  for (const batching_host &Counter : limitCounters(Server)) {
    auto Silent = SilentCounters.find(Counter.Host);
    bool IsSilent = Silent != SilentCounters.end() && Now < Silent->second;
    if (Counter.Host != Settings.Self.Host && Hosts.find(Counter.Host) &&
        !Hosts.suspected(Counter.Host) && !IsSilent)
      Result.push_back(Counter.Host);
  }
  return Result;
}

// Returns whom a request asks for which server, in an order of its own: each
// server once, then each again at another host.
std::vector<serving_impl::permit_ask>
serving_impl::permitAsks(const active_request &State) {
  std::uint64_t Seed = XXH3_64bits(State.Request.CallerId.Value.data(),
                                   State.Request.CallerId.Value.size());
  std::vector<std::pair<std::uint64_t, backend_id>> Ranked;
  for (const backend_state *Server : openServers(State))
    if (Servers.isLimited(Server->Entry))
      Ranked.emplace_back(XXH3_64bits_withSeed(Server->Entry.Id.Value.data(),
                                               Server->Entry.Id.Value.size(),
                                               Seed),
                          Server->Entry.Id);
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::vector<permit_ask>> Rounds(shared_rate::Holders);
  for (const std::pair<std::uint64_t, backend_id> &Server : Ranked) {
    if (Rounds.front().size() == MaxPermitAsks)
      break;
    std::vector<entry_host_id> Counters = openCounters(Server.second);
    for (std::size_t I = 0; I < Counters.size(); ++I)
      Rounds[I].push_back(
          {Server.second, Counters[(Server.first + I) % Counters.size()]});
  }
  std::vector<permit_ask> Asks;
  for (const std::vector<permit_ask> &Round : Rounds)
    Asks.insert(Asks.end(), Round.begin(), Round.end());
  return Asks;
}

// Asks the next host that counts for leave to send the request.
void serving_impl::requestPermit(active_request &State) {
  std::vector<permit_ask> Asks = permitAsks(State);
  auto Next =
      std::find_if(Asks.begin(), Asks.end(), [&State](const permit_ask &Ask) {
        return !State.PermitAsks.contains({Ask.Server, Ask.Counter});
      });
  if (Next == Asks.end() || State.PermitAsks.size() >= MaxPermitAsks) {
    refuseLimited(State);
    return;
  }
  const permit_ask Ask = *Next;
  State.PermitAsks.emplace(Ask.Server, Ask.Counter);
  State.PermitAskedOf = Ask.Server;
  State.PermitCounter = Ask.Counter;
  State.PermitAskedAt = Now;
  addTimer(Now + PermitTimeout, timer_kind::PermitTimeout,
           State.Request.Number.Value);
  sendToHost(Ask.Counter,
             send_permit_request{*Servers.limits().news(Ask.Server, Now),
                                 State.Request.Number});
}

// Refuses a request with the earliest time that a host named, or at which this
// host may send one itself.
void serving_impl::refuseLimited(active_request &State) {
  const backend_id *Own = nullptr;
  std::vector<backend_state *> Open = openServers(State);
  for (const backend_state *Server : Open)
    if (Servers.isLimited(Server->Entry) &&
        Servers.limits().holdsPart(Server->Entry.Id, Now) &&
        (!Own || Servers.limits().timeToNext(Server->Entry.Id, Now) <
                     Servers.limits().timeToNext(*Own, Now)))
      Own = &Server->Entry.Id;
  if (Own)
    keepEarlier(State.PermitNextAt,
                Now + Servers.limits().suggestRetry(*Own, Now));
  State.PermitAskedOf.reset();
  ++Counters.RefusedByLimit;
  bool Known = State.PermitNextAt && *State.PermitNextAt > Now;
  failRequest(State, refusal_kind::Limited,
              Known ? *State.PermitNextAt - Now : LimitedRetryAfter);
}

void serving_impl::on(const host_run &Sender, const send_permit_request &Body) {
  server_limits &Limits = Servers.limits();
  applyLimit(Body.Limit);
  send_permit_reply Reply;
  Reply.Server = Body.Limit.Server;
  Reply.Request = Body.Request;
  Reply.Granted = Limits.tryAcquire(Reply.Server, Now);
  if (!Reply.Granted)
    Reply.RetryIn = Limits.suggestRetry(Reply.Server, Now);
  sendToHost(Sender.Host, Reply);
}

// A refusal of a host that was asked earlier says nothing of the one that is
// asked now.
void serving_impl::on(const host_run &Sender, const send_permit_reply &Body) {
  SilentCounters.erase(Sender.Host);
  if (Body.Request == request_id()) {
    onQueuePermit(Sender.Host, Body);
    return;
  }
  active_request *State = find(Body.Request);
  if (State && State->PermitAskedOf == Body.Server &&
      (Body.Granted || State->PermitCounter == Sender.Host))
    onPermitReply(*State, Body.Granted, Body.RetryIn);
}

void serving_impl::onPermitReply(active_request &State, bool Granted,
                                 core_duration RetryIn) {
  if (RetryIn > core_duration{0})
    keepEarlier(State.PermitNextAt, Now + RetryIn);
  if (!Granted && needsPermit(State)) {
    requestPermit(State);
    return;
  }
  std::optional<backend_id> AskedOf =
      std::exchange(State.PermitAskedOf, std::nullopt);
  if (Granted)
    State.Permit = std::move(AskedOf);
  continueRequest(State);
}

// An ask that comes later has a timer of its own.
void serving_impl::onPermitTimeout(request_id Request) {
  active_request *State = find(Request);
  if (!State || !State->PermitAskedOf ||
      Now < State->PermitAskedAt + PermitTimeout)
    return;
  SilentCounters[State->PermitCounter] = Now + SilentTime;
  onPermitReply(*State, false, core_duration{0});
}

// Asks for calls of this host's queues that wait for a limited server.
void serving_impl::askForQueues() {
  for (const backend_id &Server : Servers.limits().takeWanted())
    askForQueue(Server);
  if (Servers.limits().count() == 0)
    QueueAsks.clear();
}

void serving_impl::askForQueue(const backend_id &Server) {
  server_limits &Limits = Servers.limits();
  queue_ask &Ask = QueueAsks[Server];
  if (Ask.Counter && Now < Ask.AskedAt + PermitTimeout)
    return;
  if (Ask.Counter)
    SilentCounters[*std::exchange(Ask.Counter, std::nullopt)] =
        Now + SilentTime;
  if (!Limits.mayAsk(Server, Now))
    return;
  for (const entry_host_id &Counter : openCounters(Server))
    if (!Ask.Refused.contains(Counter)) {
      Ask.Counter = Counter;
      Ask.AskedAt = Now;
      sendToHost(Counter,
                 send_permit_request{*Limits.news(Server, Now), request_id()});
      return;
    }
  // All have refused or cannot be reached.
  Limits.setNextAsk(Server, Ask.NextAt.value_or(Now + LimitedRetryAfter));
  Ask = {};
}

void serving_impl::onQueuePermit(const entry_host_id &Counter,
                                 const send_permit_reply &Reply) {
  auto Found = QueueAsks.find(Reply.Server);
  if (Found == QueueAsks.end())
    return;
  queue_ask &Ask = Found->second;
  if (Reply.Granted) {
    Servers.limits().hold(Reply.Server, Now);
    Ask = {};
  } else if (Ask.Counter == Counter) {
    Ask.Counter.reset();
    Ask.Refused.insert(Counter);
    if (Reply.RetryIn > core_duration{0})
      keepEarlier(Ask.NextAt, Now + Reply.RetryIn);
  }
  Owner.onPermit();
}

} // namespace jasminecroft
