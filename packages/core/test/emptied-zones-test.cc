// Tests of zones that the operator empties and takes back: orders in any order
// of arrival, and what a host does with them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/emptied_zones.h"

#include "serving-fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const zone_id Near("z0");
const zone_id Far("z1");

zone_order order(const zone_id &Zone, std::uint64_t Revision, bool Emptied) {
  return {Zone, object_version(Revision), Emptied};
}

/// A host in zone z0 with servers there and in z1.
class two_zones : public serving_fixture {
public:
  explicit two_zones(int StageServers = 2) {
    addAllPools();
    addFar("plain", 3);
    addFar("engine", 3);
    addFar("first", StageServers);
    addFar("second", StageServers);
  }
  void addFar(const std::string &Pool, int Count) {
    for (int I = 0; I < Count; ++I) {
      backend_entry Entry;
      Entry.Id = backend_id(Pool + "-far" + std::to_string(I));
      Entry.Pool = pool_id(Pool);
      Entry.Address = endpoint("10.0.1." + std::to_string(I) + ":80");
      Entry.Zone = Far;
      Entry.Run = incarnation(1);
      Core.onBackend(Entry, Now);
    }
  }
  void empty(const zone_id &Zone, std::uint64_t Revision) {
    Core.onZoneOrder(order(Zone, Revision, true), Now);
  }
  void takeBack(const zone_id &Zone, std::uint64_t Revision) {
    Core.onZoneOrder(order(Zone, Revision, false), Now);
  }
  void hear(const zone_order &Order) {
    Core.onPeer(Peer, zone_orders{{Order}}, Now);
  }
  void addPeer() {
    Core.onHost({Peer.Host, Far, endpoint("10.0.9.2:1"), 500}, Now);
  }
  /// Zones that a number of requests reach.
  std::set<zone_id> zonesUsed() {
    Actions.Forwards.clear();
    for (int I = 0; I < 12; ++I)
      sendRequest("once");
    std::set<zone_id> Zones;
    for (const std::pair<const call_id, forward_call> &Call : Actions.Forwards)
      Zones.insert(Call.second.Server.Zone);
    return Zones;
  }
  std::vector<zone_order> lastOrdersTo(const entry_host_id &Host) const {
    std::vector<zone_order> Last;
    for (const std::pair<entry_host_id, peer_body> &Message : Actions.Sent)
      if (const zone_orders *Body = std::get_if<zone_orders>(&Message.second))
        if (Message.first == Host)
          Last = Body->Orders;
    return Last;
  }

  const host_run Peer{entry_host_id("h2"), incarnation(1)};
};

} // namespace

TEST_CASE("the latest order for a zone holds, whatever the order of arrival") {
  emptied_zones Zones;
  CHECK(Zones.apply(order(Far, 10, true)));
  CHECK(Zones.apply(order(Far, 12, false)));
  CHECK_FALSE(Zones.apply(order(Far, 11, true)));
  CHECK_FALSE(Zones.isEmptied(Far));
  CHECK(Zones.isOutdated(order(Far, 10, true)));
  CHECK(Zones.apply(order(Far, 13, true)));
  // A removal may carry the revision of the removed entry.
  CHECK(Zones.apply(order(Far, 13, false)));
  CHECK_FALSE(Zones.apply(order(Far, 13, true)));
  CHECK(Zones.count() == 0);
}

TEST_CASE("a list takes back the zones that it lacks, but no later order") {
  emptied_zones Zones;
  Zones.apply(order(Near, 10, true));
  Zones.apply(order(Far, 25, true));
  std::vector<zone_order> Changed =
      Zones.replaceAll({}, object_version(20), core_time());
  CHECK(Changed == std::vector<zone_order>{order(Near, 20, false)});
  CHECK(Zones.isEmptied(Far));
  // What a peer still says of a time before the list is out of date.
  zone_order Late = order(zone_id("z2"), 15, true);
  CHECK_FALSE(Zones.applyTold(Late));
  CHECK(Zones.isOutdated(Late));
  CHECK(Zones.applyTold(order(zone_id("z2"), 21, true)));
}

TEST_CASE("more orders than a message holds push out the oldest") {
  emptied_zones Zones;
  for (std::uint64_t I = 0; I <= MaxZoneOrdersPerMessage; ++I)
    Zones.apply(order(zone_id(std::to_string(I)), I + 1, true));
  CHECK(Zones.orders().size() == MaxZoneOrdersPerMessage);
  CHECK(Zones.count() == MaxZoneOrdersPerMessage);
  CHECK_FALSE(Zones.isEmptied(zone_id("0")));
}

TEST_CASE("zones that were taken back make room for orders in force") {
  emptied_zones Zones;
  Zones.apply(order(zone_id("first"), 1, true));
  for (std::uint64_t I = 2; I <= MaxZoneOrdersPerMessage + 5; ++I)
    Zones.apply(order(zone_id(std::to_string(I)), I, false));
  CHECK(Zones.isEmptied(zone_id("first")));
  CHECK(Zones.orders().size() == MaxZoneOrdersPerMessage);
  CHECK(Zones.takeForgotten().empty());
  // What was named last is known.
  std::uint64_t Last = MaxZoneOrdersPerMessage + 5;
  CHECK(Zones.isOutdated(order(zone_id(std::to_string(Last)), Last, true)));
}

TEST_CASE("an order in force that is pushed out is logged, not each time") {
  two_zones Test;
  for (std::uint64_t I = 0; I < MaxZoneOrdersPerMessage + 9; ++I)
    Test.Core.onZoneOrder(order(zone_id(std::to_string(I)), I + 1, true),
                          Test.Now);
  CHECK(std::count_if(Test.Actions.Log.begin(), Test.Actions.Log.end(),
                      [](const event_record &Record) {
                        return Record.Number == event_number::ZoneForgotten;
                      }) == 1);
}

TEST_CASE("an emptied zone gets nothing new and what runs there ends") {
  two_zones Test;
  request_id Request = Test.sendRequest("once");
  call_id Call = Test.Actions.LastForward;
  zone_id Zone = Test.lastForward().Server.Zone;
  Test.empty(Zone, 5);
  CHECK(Test.Actions.Cancelled.empty());
  CHECK_FALSE(Test.zonesUsed().contains(Zone));
  Test.Core.onCompleteReply(Call, serving_fixture::successHead(), "whole",
                            Test.Now);
  CHECK(Test.Actions.Replies[Request].size() == 1);
  Test.takeBack(Zone, 6);
  CHECK(Test.zonesUsed().contains(Zone));
}

TEST_CASE("a zone taken back and emptied again within a second is empty") {
  two_zones Test;
  Test.empty(Near, 5);
  Test.takeBack(Near, 6);
  Test.advance(milliseconds(300));
  Test.empty(Near, 7);
  CHECK(Test.zonesUsed() == std::set<zone_id>{Far});
  // News of the removal that come late do not undo it.
  Test.hear(order(Near, 6, false));
  CHECK(Test.zonesUsed() == std::set<zone_id>{Far});
}

TEST_CASE(
    "a host tells all others an order that it reads after a peer told it") {
  two_zones Test;
  Test.addPeer();
  // Each host reads the first list itself.
  Test.Core.onZoneList({}, object_version(4), Test.Now);
  Test.hear(order(Near, 5, true));
  std::size_t Before = Test.sentTo<zone_orders>(Test.Peer.Host);
  Test.empty(Near, 5);
  CHECK(Test.sentTo<zone_orders>(Test.Peer.Host) == Before + 1);
  // The removal at 6 was missed.
  Test.Core.onZoneList({order(Near, 7, true)}, object_version(7), Test.Now);
  CHECK(Test.sentTo<zone_orders>(Test.Peer.Host) == Before + 2);
  Test.Core.onZoneList({order(Near, 7, true)}, object_version(8), Test.Now);
  CHECK(Test.sentTo<zone_orders>(Test.Peer.Host) == Before + 2);
}

TEST_CASE("an order for a zone without servers changes nothing") {
  two_zones Test;
  Test.empty(zone_id("elsewhere"), 5);
  CHECK(Test.zonesUsed() == std::set<zone_id>{Near, Far});
  CHECK(Test.Core.counters().EmptiedZones == 1);
  CHECK(Test.Actions.Refusals.empty());
}

TEST_CASE("with all zones emptied, requests are refused at once, not run") {
  two_zones Test;
  Test.empty(Near, 5);
  Test.empty(Far, 6);
  for (const char *Path : {"once", "plain", "stream"}) {
    request_id Request = Test.sendRequest(Path);
    REQUIRE(Test.Actions.Refusals[Request].size() == 1);
    const refusal &Refusal = Test.Actions.Refusals[Request].front();
    CHECK(Refusal.Kind == refusal_kind::NoBackend);
    CHECK(Refusal.RetryAfter >= seconds(1));
  }
  CHECK(Test.Actions.Forwards.empty());
  CHECK(Test.Core.counters().RefusedByEmptiedZones == 3);
  Test.takeBack(Far, 7);
  CHECK(Test.zonesUsed() == std::set<zone_id>{Far});
}

TEST_CASE("a stage whose pool lies in emptied zones ends its request at once") {
  two_zones Test;
  request_id Waiting = Test.sendRequest("staged", {1, 2});
  REQUIRE(Test.Actions.Pieces.size() == 1);
  // Both servers of the next stage's pool that are in use elsewhere are spared.
  Test.empty(Near, 5);
  Test.empty(Far, 6);
  CHECK(Test.Actions.Refusals[Waiting].empty());
  Test.completePieces();
  REQUIRE(Test.Actions.Refusals[Waiting].size() == 1);
  CHECK(Test.Actions.Refusals[Waiting].front().Kind == refusal_kind::NoBackend);
}

TEST_CASE("retries and resumed streams avoid an emptied zone") {
  two_zones Test;
  Test.sendRequest("plain");
  zone_id First = Test.lastForward().Server.Zone;
  call_id Plain = Test.Actions.LastForward;
  Test.sendRequest("resumable");
  REQUIRE(Test.lastForward().Server.Zone == First);
  call_id Stream = Test.Actions.LastForward;
  Test.Core.onStreamHead(Stream, serving_fixture::successHead(), Test.Now);
  Test.Core.onStreamEvents(Stream, "1\n", 1, 1, Test.Now);
  Test.empty(First, 5);
  Test.Core.onCallFailed(Plain, call_failure::Broken, Test.Now);
  CHECK(Test.lastForward().Server.Zone != First);
  Test.Core.onCallFailed(Stream, call_failure::Broken, Test.Now);
  CHECK(Test.lastForward().ResumeAfter == 1);
  CHECK(Test.lastForward().Server.Zone != First);
}

TEST_CASE("jobs that wait in the queue of an emptied zone move to another") {
  // Load: more jobs than the servers of one zone take at once.
  constexpr int ServersPerZone = 6;
  constexpr int Jobs = 20;
  two_zones Test(ServersPerZone);
  Test.addServers("first", ServersPerZone);
  for (int I = 0; I < Jobs; ++I)
    Test.sendRequest("staged", {8, 1});
  std::set<call_id> Before;
  for (const std::pair<const call_id, recorded_actions::pieces_call> &Call :
       Test.Actions.Pieces)
    Before.insert(Call.first);
  Test.empty(Near, 5);
  Test.advance(milliseconds(100));
  // What ran in the zone goes on.
  CHECK(Test.Actions.Cancelled.empty());
  constexpr int Rounds = 3;
  for (int Round = 0; Round < Rounds; ++Round)
    Test.completeStage(0);
  for (const std::pair<const request_id, std::vector<refusal>> &Refused :
       Test.Actions.Refusals)
    CHECK(Refused.second.empty());
  for (const std::pair<const call_id, recorded_actions::pieces_call> &Call :
       Test.Actions.Pieces)
    if (!Before.contains(Call.first))
      CHECK(Call.second.Server.Zone == Far);
}

TEST_CASE("an order read from the store is told to all hosts once") {
  two_zones Test;
  Test.addPeer();
  Test.empty(Far, 5);
  Test.empty(Far, 5);
  CHECK(Test.sentTo<zone_orders>(Test.Peer.Host) == 1);
  // What a peer tells is not told on.
  Test.hear(order(Near, 6, true));
  CHECK(Test.sentTo<zone_orders>(Test.Peer.Host) == 1);
}

TEST_CASE("a host cut off from the store learns orders from a peer") {
  two_zones Test;
  Test.Core.onStoreLost(store_kind::EmptiedZones, Test.Now);
  Test.hear(order(Near, 5, true));
  CHECK(Test.zonesUsed() == std::set<zone_id>{Far});
  Test.hear(order(Near, 6, false));
  CHECK(Test.zonesUsed().contains(Near));
}

TEST_CASE("a host that starts in the middle asks and is told") {
  two_zones Test;
  Test.addPeer();
  Test.hear(order(Far, 5, true));
  host_heartbeat Asking;
  Asking.Self = {Test.Peer.Host, Far, endpoint("10.0.9.2:1"), 500};
  Asking.WantsReply = true;
  Test.Core.onPeer(Test.Peer, Asking, Test.Now);
  CHECK(Test.lastOrdersTo(Test.Peer.Host) ==
        std::vector<zone_order>{order(Far, 5, true)});
}

TEST_CASE("a peer with outdated orders is told the later ones") {
  two_zones Test;
  Test.addPeer();
  Test.hear(order(Far, 9, false));
  Test.hear(order(Far, 5, true));
  CHECK(Test.lastOrdersTo(Test.Peer.Host) ==
        std::vector<zone_order>{order(Far, 9, false)});
}

TEST_CASE("where no zone was ever emptied, nothing is said of it") {
  two_zones Test;
  Test.addPeer();
  Test.Core.onZonesRead(object_version(4), Test.Now);
  Test.advance(seconds(5));
  CHECK(Test.sentTo<zone_orders>(Test.Peer.Host) == 0);
}

TEST_CASE("a weighted route uses the pools that have a zone left") {
  two_zones Test;
  std::shared_ptr<route_config> Config = serving_fixture::config(2);
  Config->Pools[pool_id("new")].Name = pool_id("new");
  for (serving_route &Route : Config->Routes)
    if (Route.Name == route_id("once"))
      Route.Pools = {{pool_id("plain"), 1}, {pool_id("new"), 1}};
  Test.Core.onConfig(Config, "text", Test.Now);
  Test.addFar("new", 3);
  CHECK(Test.zonesUsed().size() == 2);
  Test.empty(Far, 5);
  CHECK(Test.zonesUsed() == std::set<zone_id>{Near});
  CHECK(Test.Actions.Forwards.size() == 12);
  CHECK(Test.Core.counters().RefusedByEmptiedZones == 0);
  Test.empty(Near, 6);
  CHECK(Test.zonesUsed().empty());
  CHECK(Test.Core.counters().RefusedByEmptiedZones == 12);
}

TEST_CASE("an order that a copy of the store lacks holds until it could be "
          "written again") {
  two_zones Test;
  Test.Core.onZoneList({}, {store_era(1), 20}, Test.Now);
  Test.Core.onZoneOrder({Far, {store_era(1), 30}, true}, Test.Now);
  Test.Core.onStoreEra(store_era(2), Test.Now);
  Test.Core.onZoneList({}, {store_era(2), 25}, Test.Now);
  CHECK(Test.zonesUsed() == std::set<zone_id>{Near});
  Test.advance(emptied_zones::RewriteTime - milliseconds(10));
  Test.Core.onZoneList({}, {store_era(2), 26}, Test.Now);
  CHECK(Test.zonesUsed() == std::set<zone_id>{Near});
  SUBCASE("written again") {
    Test.Core.onZoneOrder({Far, {store_era(2), 27}, true}, Test.Now);
    Test.advance(milliseconds(20));
    CHECK(Test.zonesUsed() == std::set<zone_id>{Near});
  }
  SUBCASE("not written again") {
    Test.advance(milliseconds(20));
    CHECK(Test.zonesUsed().contains(Far));
  }
}

TEST_CASE("a host that knows only the copy of the store does not take back a "
          "zone for others") {
  emptied_zones Zones;
  Zones.replaceAll({}, {store_era(2), 25}, core_time());
  CHECK_FALSE(Zones.applyTold({Far, {store_era(1), 30}, true}));
  CHECK_FALSE(Zones.isEmptied(Far));
  CHECK(Zones.orders().empty());
}
