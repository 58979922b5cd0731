// Selection of the backend server for a request's own call, and the times that
// the call is expected to take.
#include "serving_state.h"

#include <algorithm>
#include <xxhash.h>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// A retryable call is retried on another server after this multiple of the
/// usual time, but not before the minimum.
constexpr double AttemptTimeoutFactor = 4;
constexpr core_duration MinPlainAttemptTimeout = milliseconds(120);
constexpr core_duration MinEngineAttemptTimeout = milliseconds(1'200);
/// While this host drains, a plain request needs this multiple of the expected
/// time: a refusal lets its caller go elsewhere, a cut reply does not.
constexpr int PlainReplyMargin = 2;
/// Weight of a new sample in the smoothed time to the first byte.
constexpr double FirstByteGain = 0.1;

pool_id drawPool(const std::vector<pool_share> &Shares, std::uint64_t Seed) {
  std::uint64_t Total = 0;
  for (const pool_share &Share : Shares)
    Total += Share.Weight;
  if (Total == 0)
    return Shares.empty() ? pool_id() : Shares.front().Pool;
  std::uint64_t Point = Seed % Total;
  for (const pool_share &Share : Shares) {
    if (Point < Share.Weight)
      return Share.Pool;
    Point -= Share.Weight;
  }
  return Shares.back().Pool;
}

} // namespace

using namespace detail;

// Draws one of a route's pools by their weights.
pool_id serving_impl::selectPool(const serving_route &Route,
                                 const caller_request_id &Id) {
  std::vector<pool_share> Shares = Route.Pools;
  std::uint64_t Seed = XXH3_64bits(Id.Value.data(), Id.Value.size());
  pool_id Drawn = drawPool(Shares, Seed);
  if (!poolEmptied(Drawn))
    return Drawn;
  // The others take its share while it lies in emptied zones only.
  std::erase_if(Shares, [this](const pool_share &Share) {
    return Share.Weight == 0 || poolEmptied(Share.Pool);
  });
  return Shares.empty() ? Drawn : drawPool(Shares, Seed);
}

// The size of a request only leads it to another server: if no untried one is
// left, it is not considered.
call_subject serving_impl::subjectOf(const active_request &State) {
  call_subject Subject;
  Subject.Quarantined =
      !Quarantine.empty() && !State.Trial && blockingPart(State).has_value();
  Subject.CountedFor = State.Permit;
  if (!BytesInProgress.active(Now))
    return Subject;
  Subject.RequestBytes = State.Request.Message->Body.size();
  if (Subject.RequestBytes <= LargeRequestBytes)
    return Subject;
  std::vector<backend_state *> Admitted =
      Admission.candidates(State.Pool, Subject, Now);
  bool HasUntried = std::any_of(
      Admitted.begin(), Admitted.end(), [&State](const backend_state *Server) {
        return !State.TriedServers.contains(Server->Entry.Id);
      });
  if (!HasUntried)
    Subject.RequestBytes = 0;
  return Subject;
}

// Returns the servers that admit the request now, and the limited ones that do
// so once it is counted.
std::vector<backend_state *>
serving_impl::openServers(const active_request &State) {
  std::vector<backend_state *> Result;
  for (const std::pair<backend_state *, admission_answer> &Entry :
       Admission.survey(State.Pool, subjectOf(State), Now))
    if (Entry.second.admitted() ||
        Entry.second.Obstacle == admission_obstacle::Limited)
      Result.push_back(Entry.first);
  return Result;
}

bool serving_impl::hasUntriedServer(const active_request &State) {
  std::vector<backend_state *> Open = openServers(State);
  return std::any_of(Open.begin(), Open.end(),
                     [&State](const backend_state *Server) {
                       return !State.TriedServers.contains(Server->Entry.Id);
                     });
}

std::vector<backend_state *>
serving_impl::admittedServers(const active_request &State) {
  std::vector<backend_state *> Admitted =
      Admission.candidates(State.Pool, subjectOf(State), Now);
  preferByWarmth(State, Admitted);
  return Admitted;
}

placement_query serving_impl::placementOf(const active_request &State) const {
  placement_query Query;
  Query.NearZone = inputZone(State);
  Query.Avoid = State.TriedServers;
  Query.LiveHosts = Hosts.liveCount();
  return Query;
}

// Returns the engines that admit the request, the best first.
std::vector<backend_state *>
serving_impl::rankedEngines(const active_request &State,
                            const engine_rules &Rules) {
  placement_query Query = placementOf(State);
  // The last part of the prompt is not shared with other requests.
  Query.Prefix = State.Request.Prefix;
  if (!Query.Prefix.empty())
    Query.Prefix.pop_back();
  const std::string &Caller = State.Request.CallerId.Value;
  Query.Spread = XXH3_64bits(Caller.data(), Caller.size());
  if (const prompt_bound *Bound = promptBound(State))
    Query.Reading = promptsBeingRead(*Bound);
  return rankEngines(admittedServers(State), Query, Rules, Now);
}

// The engine at which a long prompt has room is taken if it admits the call and
// has not failed.
backend_state *serving_impl::chooseServer(const active_request &State) {
  if (backend_state *Unused = unusedLimitedServer(State))
    return Unused;
  auto Pool = State.View->Config->Pools.find(State.Pool);
  if (Pool == State.View->Config->Pools.end() || !Pool->second.Engine)
    return choosePlain(admittedServers(State), placementOf(State), Now);
  std::vector<backend_state *> Ranked =
      rankedEngines(State, *Pool->second.Engine);
  for (backend_state *Server : Ranked)
    if (State.Prompt.Granted == Server->Entry.Id && Server->AvoidUntil <= Now)
      return Server;
  return Ranked.empty() ? nullptr : Ranked.front();
}

// Returns the expected time from sending the request to Server until the first
// byte of its reply. Calls that Server has not answered yet count as long as
// they have lasted: replies alone would not show that it has become slow.
core_duration
serving_impl::expectedReplyTime(const active_request &State,
                                const backend_state &Server) const {
  if (State.Route->Streamed)
    return firstByteTime(State);
  core_duration Expected = firstByteTime(State);
  if (Server.CallMicros > 0)
    Expected = core_duration(static_cast<std::int64_t>(Server.CallMicros));
  for (const std::pair<const call_id, call_state> &Call : Calls)
    if (Call.second.Kind == call_kind::Forward &&
        Call.second.Server.Id == Server.Entry.Id)
      Expected = std::max(Expected, Now - Call.second.SentAt);
  return PlainReplyMargin * Expected;
}

core_duration serving_impl::attemptTimeout(const active_request &State,
                                           const backend_state &Server) const {
  if (!State.Route->Streamed) {
    core_duration Usual(
        static_cast<std::int64_t>(Server.CallMicros * AttemptTimeoutFactor));
    return std::max(MinPlainAttemptTimeout, Usual);
  }
  core_duration Usual(static_cast<std::int64_t>(
      static_cast<double>(firstByteTime(State).count()) *
      AttemptTimeoutFactor));
  return std::max(MinEngineAttemptTimeout, Usual);
}

void serving_impl::observeFirstByte(const active_request &State) {
  double Micros = static_cast<double>((Now - State.SentAt).count());
  double &Known = FirstByteMicros[State.Pool];
  Known += (Known == 0 ? 1 : FirstByteGain) * (Micros - Known);
}

void serving_impl::observeStream(const active_request &State) {
  // What is left of a resumed stream says nothing of whole ones.
  if (!State.FirstByteAt || State.Request.LastEvent)
    return;
  StreamTimes[State.Route->Name].observe(Now - *State.FirstByteAt,
                                         State.Request.OutputTokens);
}

} // namespace jasminecroft
