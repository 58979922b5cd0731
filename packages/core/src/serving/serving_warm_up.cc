// Servers that are cold: what entries, replies and other hosts say of them, and
// which requests warm them.
#include "serving_state.h"

#include <algorithm>

namespace jasminecroft {

namespace {

/// A request may warm a server if this multiple of the usual time to its first
/// byte is left until its goal.
constexpr int PatientFactor = 2;

} // namespace

using namespace detail;

void serving_impl::logCold(const backend_entry &Server,
                           std::string_view Source) {
  log(event_number::ServerCold, event_severity::Info,
      "backend server is cold; all hosts together send it few calls",
      {{"server", Server.Id.Value},
       {"pool", Server.Pool.Value},
       {"for_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           ColdServers.timeLeft(Server, Now))
                           .count())},
       {"source", std::string(Source)}});
}

void serving_impl::applyEntry(const backend_entry &Entry) {
  if (ColdServers.onEntry(Entry, Servers.find(Entry.Id), Now))
    logCold(Entry, "entry");
}

void serving_impl::updateServer(const backend_entry &Entry) {
  applyEntry(Entry);
  Servers.update(Entry);
}

void serving_impl::replaceServers(const std::vector<backend_entry> &Entries,
                                  object_version Revision) {
  for (const backend_entry &Entry : Entries)
    if (!Servers.mayBeCopied(Entry))
      applyEntry(Entry);
  Servers.replaceAll(Entries, Revision, Now);
  ColdServers.onListRead();
}

void serving_impl::onServerCold(const backend_entry &Server,
                                core_duration Left) {
  if (!Servers.isPresentRun(Server.Id, Server.Run) ||
      !ColdServers.onStated(Server, Left, Now))
    return;
  logCold(Server, "reply");
  cold_server_list List{
      {{Server.Id, Server.Run, ColdServers.statedLeft(Server, Now)}}};
  for (const batching_host &Host : Hosts.ring())
    sendToHost(Host.Host, List);
}

// Other hosts name no pool: a server that is not listed here yet will be listed
// with its own time.
void serving_impl::on(const host_run &, const cold_server_list &Body) {
  for (const cold_server_news &News : Body.Servers) {
    const backend_state *Server = Servers.find(News.Server);
    if (Server && Server->Entry.Run == News.Run &&
        ColdServers.onTold(Server->Entry, News.Left, Now))
      logCold(Server->Entry, "peer");
  }
}

void serving_impl::processWarm() {
  for (const backend_id &Server : ColdServers.takeWarm(Now))
    log(event_number::ServerWarm, event_severity::Info,
        "backend server is warm; its calls grow in steps",
        {{"server", Server.Value}});
}

// Requests that gain least from speed warm the cold servers; the others go
// there if no warm one admits them.
void serving_impl::preferByWarmth(
    const active_request &State, std::vector<backend_state *> &Admitted) const {
  if (!ColdServers.active(Now))
    return;
  bool Patient = State.GoalAt - Now >= PatientFactor * firstByteTime(State);
  auto Preferred = [&](const backend_state *Server) {
    bool IsCold = ColdServers.timeLeft(Server->Entry, Now) > core_duration{0};
    return IsCold == Patient && Server->AvoidUntil <= Now &&
           !State.TriedServers.contains(Server->Entry.Id);
  };
  if (std::any_of(Admitted.begin(), Admitted.end(), Preferred))
    std::erase_if(Admitted, [&](const backend_state *Server) {
      return !Preferred(Server);
    });
}

} // namespace jasminecroft
