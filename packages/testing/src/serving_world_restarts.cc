// Backend servers of a serving world that crash, start again, or are replaced.
#include "serving_world_parts.h"

#include "jasminecroft/testing/serving_world.h"

namespace jasminecroft::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// After a change, so that every host that watches the store has heard of it.
constexpr core_duration StoreLag = milliseconds(100);
/// Work that was on its way when a server was known to leave may still come.
constexpr core_duration LeavingSlack = milliseconds(100);
/// A leaving server goes on serving this long.
constexpr core_duration LeavingTime = seconds(3);
/// A server that crashed is off the list, and another one there, after these.
constexpr core_duration LapseTime = milliseconds(1'500);
constexpr core_duration RestartTime = milliseconds(2'000);
/// One that starts again under its id may be back before it is off the list.
constexpr core_duration ShortRestartTime = milliseconds(800);
/// Bound of the users' rules: leaving servers get no new work after it.
constexpr core_duration DrainTime = seconds(2);

} // namespace

// Before: the entry under whose id the server starts again, if there is one.
std::unique_ptr<world_server>
serving_world::startServer(const server_slot &Slot,
                           const backend_entry *Before) {
  std::unique_ptr<world_server> Server = makeServer(Slot.Pool, Slot.Zone);
  if (Before) {
    Server->Entry.Id = Before->Id;
    Server->Entry.Address = Before->Address;
    // Earlier or later than before.
    std::uint64_t Start = 1 + Random.below(2 * Before->Run.Value);
    Server->Entry.Run =
        incarnation(Start < Before->Run.Value ? Start : Start + 1);
    Book.onRestart(Before->Id);
  }
  if (Options.WarmUp) {
    Server->Entry.ColdLeft = Options.WarmUp->ColdTime;
    Server->ColdUntil = now() + Options.WarmUp->ColdTime;
    Book.onCold(Server->Entry.Id, Options.WarmUp->PerSecond, true,
                Server->ColdUntil, now());
  }
  return Server;
}

void serving_world::crashServer(std::size_t Number) {
  std::size_t Index = Number % Servers.size();
  world_server &Crashed = *Servers[Index].Server;
  if (!Crashed.Up)
    return;
  Crashed.Up = false;
  const backend_entry Entry = Crashed.Entry;
  for (const std::unique_ptr<world_host> &Host : Hosts)
    Host->breakCalls(Entry.Id);
  bool IsShort = Options.ServersKeepIds && Random.below(2) == 0;
  if (!IsShort)
    after(LapseTime, [this, Entry] { tellHosts(Entry, true); });
  after(IsShort ? ShortRestartTime : RestartTime, [this, Index, Entry] {
    server_slot &Slot = Servers[Index];
    if (Slot.Server->Entry.Id != Entry.Id)
      return;
    Slot.Server = startServer(Slot, Options.ServersKeepIds ? &Entry : nullptr);
    tellHosts(Slot.Server->Entry, false);
  });
}

void serving_world::crashServer(const backend_id &Id) {
  for (std::size_t I = 0; I < Servers.size(); ++I)
    if (Servers[I].Server->Entry.Id == Id)
      crashServer(I);
}

void serving_world::replaceServer(std::size_t Number) {
  server_slot &Slot = Servers[Number % Servers.size()];
  if (!Slot.Server->Up)
    return;
  backend_entry Entry = Slot.Server->Entry;
  Entry.Draining = true;
  Entry.Revision = object_version(++LastRevision);
  Slot.Server->Entry = Entry;
  Slot.Server->LeavingKnownAt = now() + StoreLag + LeavingSlack;
  Slot.Server->LeavingToldAt = now() + DrainTime;
  tellHosts(Entry, false);
  Leaving.push_back(std::move(Slot.Server));
  Slot.Server = startServer(Slot);
  tellHosts(Slot.Server->Entry, false);
  after(LeavingTime, [this, Entry] {
    if (world_server *Server = findServer(Entry.Id))
      Server->Up = false;
    for (const std::unique_ptr<world_host> &Host : Hosts)
      Host->breakCalls(Entry.Id);
    tellHosts(Entry, true);
  });
}

void serving_world::replaceSilently(std::size_t Number) {
  server_slot &Slot = Servers[Number % Servers.size()];
  if (!Slot.Server->Up)
    return;
  const backend_entry Entry = Slot.Server->Entry;
  Slot.Server->SaysLeaving = true;
  Leaving.push_back(std::move(Slot.Server));
  Slot.Server = startServer(Slot);
  tellHosts(Slot.Server->Entry, false);
  after(LeavingTime, [this, Entry] { tellHosts(Entry, true); });
  after(2 * LeavingTime, [this, Entry] {
    if (world_server *Server = findServer(Entry.Id))
      Server->Up = false;
    for (const std::unique_ptr<world_host> &Host : Hosts)
      Host->breakCalls(Entry.Id);
  });
}

} // namespace jasminecroft::testing
