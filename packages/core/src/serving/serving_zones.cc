// Zones that the operator empties: what hosts tell each other of them, and
// requests for which that leaves no backend server.
#include "serving_state.h"

#include <algorithm>
#include <utility>

namespace jasminecroft {

namespace {

/// Retry-After if all servers of a pool are in emptied zones: the operator may
/// take one back at any time.
constexpr core_duration EmptiedRetryAfter = std::chrono::seconds(2);
/// Hosts repeat to each other what does not fit, so that it is forgotten often.
constexpr core_duration ForgottenLogInterval = std::chrono::seconds(60);

} // namespace

using namespace detail;

void serving_impl::onZoneOrder(const zone_order &Order) {
  if (Emptied.apply(Order))
    logZone(Order, "store");
  logForgottenZones();
  announceZones({Order});
}

void serving_impl::onZoneList(const std::vector<zone_order> &Listed,
                              object_version Revision) {
  // Every host reads the first list itself.
  bool First = Emptied.readTo() == object_version();
  std::vector<zone_order> Changed = Emptied.replaceAll(Listed, Revision, Now);
  for (const zone_order &Order : Changed)
    logZone(Order, "store");
  logForgottenZones();
  for (const zone_order &Order : Listed)
    if (std::find(Changed.begin(), Changed.end(), Order) == Changed.end())
      Changed.push_back(Order);
  if (!First)
    announceZones(Changed);
}

// Tells all hosts the orders that this host has not yet told them, also those
// that it heard from another host, which may have failed before it told all.
void serving_impl::announceZones(const std::vector<zone_order> &Read) {
  zone_orders Untold;
  for (const zone_order &Order : Read) {
    auto Told = ToldZones.find(Order.Zone);
    bool IsTold =
        Told != ToldZones.end() &&
        (Order.Revision < Told->second.Revision || Order == Told->second);
    if (IsTold || Emptied.isOutdated(Order))
      continue;
    ToldZones[Order.Zone] = Order;
    Untold.Orders.push_back(Order);
  }
  if (ToldZones.size() > MaxZoneOrdersPerMessage)
    ToldZones.clear();
  if (Untold.Orders.empty())
    return;
  for (const batching_host &Host : Hosts.ring())
    sendToHost(Host.Host, Untold);
}

// A sender that does not know later orders is told.
void serving_impl::on(const host_run &Sender, const zone_orders &Body) {
  bool Outdated = false;
  for (const zone_order &Order : Body.Orders) {
    onStoreEra(Order.Revision.Era);
    if (Emptied.applyTold(Order))
      logZone(Order, "peer");
    Outdated = Outdated || Emptied.isOutdated(Order);
  }
  logForgottenZones();
  if (Outdated)
    sendToHost(Sender.Host, zone_orders{Emptied.orders()});
}

void serving_impl::logZone(const zone_order &Order, std::string_view Source) {
  log(Order.Emptied ? event_number::ZoneEmptied : event_number::ZoneTakenBack,
      event_severity::Info,
      Order.Emptied ? "nothing more is sent to the backend servers of a zone"
                    : "the backend servers of a zone are used again",
      {{"zone", Order.Zone.Value},
       {"revision", std::to_string(Order.Revision.Value)},
       {"source", std::string(Source)}});
}

void serving_impl::logForgottenZones() {
  std::vector<zone_order> Forgotten = Emptied.takeForgotten();
  if (Forgotten.empty() || Now < NextForgottenLog)
    return;
  NextForgottenLog = Now + ForgottenLogInterval;
  log(event_number::ZoneForgotten, event_severity::Error,
      "more zones are emptied than a host can know; servers of the zone that "
      "was "
      "emptied first are used again",
      {{"zone", Forgotten.front().Zone.Value},
       {"revision", std::to_string(Forgotten.front().Revision.Value)},
       {"known", std::to_string(MaxZoneOrdersPerMessage)}});
}

// Returns whether all usable servers of a pool are in emptied zones.
bool serving_impl::poolEmptied(const pool_id &Pool) {
  if (Emptied.count() == 0)
    return false;
  std::vector<backend_state *> Usable = Servers.usable(Pool, Now);
  return !Usable.empty() &&
         std::all_of(Usable.begin(), Usable.end(),
                     [this](const backend_state *Server) {
                       return Emptied.isEmptied(Server->Entry.Zone);
                     });
}

// Refuses a request that needs a pool without a server outside emptied zones.
// Returns whether it was refused.
bool serving_impl::refuseEmptied(active_request &State) {
  bool Unserved = poolEmptied(State.Pool);
  for (std::size_t Stage = 0; Stage < State.Stages.size(); ++Stage)
    Unserved = Unserved || (State.Request.Pieces[Stage] != 0 &&
                            poolEmptied(State.Route->Stages[Stage].Pool));
  if (Unserved)
    refuseForEmptiedZones(State);
  return Unserved;
}

void serving_impl::refuseForEmptiedZones(active_request &State) {
  ++Counters.RefusedByEmptiedZones;
  failRequest(State, refusal_kind::NoBackend, EmptiedRetryAfter);
}

// Returns the zone near which results are wanted; none if it was emptied.
zone_id serving_impl::keptZone(const zone_id &Zone) const {
  return Emptied.isEmptied(Zone) ? zone_id() : Zone;
}

} // namespace jasminecroft
