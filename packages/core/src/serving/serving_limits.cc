// Limits that backend servers name in their replies, and what hosts tell each
// other of them.
#include "serving_state.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// A limited server that got no request for this time of a host that counts
/// them gets its next one: only a reply shows that the limit has ended.
constexpr core_duration MaxUnusedTime = std::chrono::seconds(2);

/// Callers that were refused because of a pause, or of a server that is cold,
/// are asked to come back spread over this time after its end.
constexpr core_duration PauseEndSpread = milliseconds(500);

// Returns whether an obstacle ends at a time that callers can be told.
bool hasKnownEnd(const admission_answer &Answer) {
  return Answer.Until && (Answer.Obstacle == admission_obstacle::Paused ||
                          Answer.Obstacle == admission_obstacle::Cold);
}

} // namespace

using namespace detail;

void serving_impl::onStatedLimit(call_id Call, const stated_limit &Stated) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  const backend_entry &Server = Found->second.Server;
  if (!Servers.isPresentRun(Server.Id, Server.Run))
    return;
  limit_change Change = Servers.limits().onReply(Server.Id, Server.Run, Stated,
                                                 Found->second.SentAt, Now);
  if (Change == limit_change::None)
    return;
  logLimit(Server.Id, Change, "reply");
  tellLimit(Server, Change);
}

// Returns the hosts that count the requests of all hosts to a limited server.
std::vector<batching_host>
serving_impl::limitCounters(const backend_id &Server) const {
  return Rate.holders(server_limits::key(Server),
                      Servers.limits().holderCount(Server));
}

// All hosts need to know whether a server has a limit; its value only matters
// where requests are counted.
void serving_impl::tellLimit(const backend_entry &Server, limit_change Change) {
  server_limit_list List{{*Servers.limits().news(Server.Id, Now)}};
  if (Change == limit_change::Changed) {
    for (const batching_host &Counter :
         Rate.holders(server_limits::key(Server.Id), shared_rate::Holders))
      sendToHost(Counter.Host, List);
    return;
  }
  for (const batching_host &Host : Hosts.ring())
    sendToHost(Host.Host, List);
}

void serving_impl::on(const host_run &, const server_limit_list &Body) {
  for (const server_limit_news &News : Body.Limits)
    applyLimit(News);
}

// Applies what another host knows of a limit, unless it is of another run than
// the present one.
void serving_impl::applyLimit(const server_limit_news &News) {
  if (!Servers.isPresentRun(News.Server, News.Run))
    return;
  limit_change Change = Servers.limits().apply(News, Now);
  if (Change != limit_change::None)
    logLimit(News.Server, Change, "peer");
}

// Returns whether the run was not known to leave.
bool serving_impl::markLeaving(const backend_id &Server, incarnation Run,
                               std::string_view Source) {
  if (!Servers.markLeaving(Server, Run))
    return false;
  log(event_number::BackendLeaving, event_severity::Info,
      "backend server says that it leaves",
      {{"backend", Server.Value}, {"source", std::string(Source)}});
  return true;
}

void serving_impl::onServerLeaving(const backend_entry &Server) {
  if (!markLeaving(Server.Id, Server.Run, "reply"))
    return;
  for (const batching_host &Host : Hosts.ring())
    sendToHost(Host.Host, server_leaving{Server.Id, Server.Run});
}

void serving_impl::on(const host_run &, const server_leaving &Body) {
  markLeaving(Body.Server, Body.Run, "peer");
}

void serving_impl::onServerPause(const backend_entry &Server,
                                 const stated_pause &Stated) {
  if (!Stated.Time) {
    ++Counters.OddPauses;
    log(event_number::ServerPauseUnreadable, event_severity::Warning,
        "backend server asks for a pause that cannot be read",
        {{"backend", Server.Id.Value}});
    return;
  }
  if (Servers.pause(Server, Now + *Stated.Time, Now))
    log(event_number::ServerPaused, event_severity::Info,
        "backend server wants no requests from this host for a while",
        {{"backend", Server.Id.Value},
         {"for_ms",
          std::to_string(std::chrono::duration_cast<milliseconds>(*Stated.Time)
                             .count())}});
}

// Ends a request for which no server may be called. If all servers of its pool
// want nothing from this host, or may not get more now, the caller is told when
// one will.
void serving_impl::failUnserved(active_request &State, refusal_kind Kind,
                                core_duration RetryAfter) {
  admission_answer Opening =
      Admission.firstOpening(State.Pool, subjectOf(State), Now);
  if (!hasKnownEnd(Opening)) {
    failRequest(State, Kind, RetryAfter);
    return;
  }
  bool Paused = Opening.Obstacle == admission_obstacle::Paused;
  if (Paused)
    ++Counters.RefusedByPause;
  std::uint64_t Point = XXH3_64bits(State.Request.CallerId.Value.data(),
                                    State.Request.CallerId.Value.size());
  core_duration Spread(static_cast<std::int64_t>(
      Point % static_cast<std::uint64_t>(PauseEndSpread.count())));
  failRequest(State, Paused ? refusal_kind::Paused : Kind,
              *Opening.Until - Now + Spread);
}

// Refuses a request whose call would be due while no server may be called.
bool serving_impl::refusePaused(active_request &State) {
  admission_answer Opening =
      Admission.firstOpening(State.Pool, subjectOf(State), Now);
  if (!hasKnownEnd(Opening) || *Opening.Until <= Now + State.Forecast)
    return false;
  failUnserved(State, refusal_kind::NoBackend, core_duration{0});
  return true;
}

// Returns a limited server that has to be asked whether its limit goes on.
backend_state *serving_impl::unusedLimitedServer(const active_request &State) {
  if (Servers.limits().count() == 0)
    return nullptr;
  for (backend_state *Server :
       Admission.candidates(State.Pool, subjectOf(State), Now)) {
    const backend_id &Id = Server->Entry.Id;
    if (Servers.isLimited(Server->Entry) && Server->AvoidUntil <= Now &&
        !State.TriedServers.contains(Id) &&
        Servers.limits().holdsPart(Id, Now) &&
        Servers.limits().unusedFor(Id, Now) >= MaxUnusedTime)
      return Server;
  }
  return nullptr;
}

void serving_impl::logLimit(const backend_id &Server, limit_change Change,
                            std::string_view Source) {
  std::optional<server_limit_news> News = Servers.limits().news(Server, Now);
  std::vector<event_field> Fields = {{"server", Server.Value},
                                     {"source", std::string(Source)}};
  if (Change == limit_change::Ended || !News || !News->MicrosPerSecond) {
    log(event_number::ServerLimitEnded, event_severity::Info,
        "backend server no longer names a limit", std::move(Fields));
    return;
  }
  constexpr double MicrosPerRequest = 1e6;
  Fields.push_back({"per_second",
                    std::to_string(static_cast<double>(*News->MicrosPerSecond) /
                                   MicrosPerRequest)});
  Fields.push_back(
      {"age_ms",
       std::to_string(
           std::chrono::duration_cast<milliseconds>(News->Age).count())});
  std::string Counters;
  for (const batching_host &Counter : limitCounters(Server))
    Counters += (Counters.empty() ? "" : " ") + Counter.Host.Value;
  Fields.push_back({"counted_at", std::move(Counters)});
  log(event_number::ServerLimited, event_severity::Warning,
      "backend server names a limit for all hosts together", std::move(Fields));
}

} // namespace jasminecroft
