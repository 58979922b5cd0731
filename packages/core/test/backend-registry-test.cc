// The backend registry of one host: leaving servers, restarts, loads, demand.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/detail/backend_registry.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using namespace jasminecroft::detail;

namespace {

const pool_id Pool("p");
const backend_id B1("b1");

core_settings settings() {
  core_settings Settings;
  Settings.Fleet = fleet_id("f");
  Settings.Self = {entry_host_id("e1"), incarnation(1)};
  Settings.Zone = zone_id("z");
  Settings.Address = endpoint("1");
  return Settings;
}

listed_host server(const std::string &Name, std::uint64_t Run = 1,
                   const std::string &Zone = "z") {
  listed_host Host;
  Host.Name = Name;
  Host.Zone = zone_id(Zone);
  Host.Address = endpoint(Name);
  Host.Pool = Pool;
  Host.Run = incarnation(Run);
  return Host;
}

listed_host entryHost(const std::string &Name, const std::string &Zone = "z") {
  listed_host Host = server(Name, 1, Zone);
  Host.Kind = host_kind::EntryHost;
  Host.Pool = pool_id();
  return Host;
}

struct fixture {
  fixture()
      : Context(settings()), Members(Context), Registry(Context, Members) {
    Context.begin(Now);
    Members.start();
    Members.addParticipant(Registry);
  }
  void list(const std::vector<listed_host> &Hosts) {
    Members.onHostList({Hosts});
    Registry.onHostList({Hosts});
  }
  void at(core_duration Later) {
    Now += Later;
    Context.begin(Now);
  }
  void report(std::uint64_t Run, std::uint32_t InFlight, bool Leaving = false) {
    Registry.onLoadReport({B1, incarnation(Run), InFlight, 0, 4, Leaving});
  }
  std::size_t usable() { return Registry.replicas(Pool, Now).size(); }
  replica_view view() { return Registry.replicas(Pool, Now).at(0); }
  void receiveGossip(gossip_payload Payload, const std::string &Host = "e2") {
    Members.onPeer({fleet_id("f"),
                    {entry_host_id(Host), incarnation(1)},
                    rumor{std::move(Payload)}});
  }
  void reportLeaving(const std::string &Source) {
    listed_host Listed = server("b1");
    Listed.State = host_state::Leaving;
    gossip_payload Payload;
    Payload.Leaving.push_back({B1, incarnation(1)});
    if (Source == "list")
      list({Listed});
    if (Source == "report")
      report(1, 0, true);
    if (Source == "refusal")
      Registry.onLeavingRefusal(B1);
    if (Source == "peer")
      receiveGossip(Payload);
  }
  std::size_t polls() {
    std::size_t Count = 0;
    for (const action &Action : Context.takeActions())
      Count += std::holds_alternative<poll_load>(Action);
    return Count;
  }
  core_time Now{std::chrono::seconds(10)};
  core_context Context;
  membership Members;
  backend_registry Registry;
};

} // namespace

TEST_CASE(
    "a leaving server gets no work, whatever the source of the leaving fact") {
  for (bool NextRunByReport : {true, false}) {
    for (std::string Source : {"list", "report", "refusal", "peer"}) {
      CAPTURE(Source);
      fixture F;
      F.list({server("b1")});
      REQUIRE(F.usable() == 1);
      F.reportLeaving(Source);
      CHECK(F.usable() == 0);
      CHECK(F.Registry.hasUrgentUpdates());
      // A leaving fact is never revoked for the same run.
      F.list({server("b1")});
      F.report(1, 0, false);
      CHECK(F.usable() == 0);
      if (NextRunByReport)
        F.report(2, 0);
      else
        F.list({server("b1", 2)});
      REQUIRE(F.usable() == 1);
      CHECK(F.view().Run == incarnation(2));
    }
  }
}

TEST_CASE("a leaving fact applies to a server that becomes known later") {
  fixture F;
  gossip_payload Payload;
  Payload.Leaving.push_back({B1, incarnation(1)});
  F.receiveGossip(Payload);
  F.list({server("b1")});
  CHECK(F.usable() == 0);
}

TEST_CASE("a leaving fact about a later run overrides an outdated host list") {
  fixture F;
  F.list({server("b1", 1)});
  CHECK(F.usable() == 1);
  gossip_payload Payload;
  Payload.Leaving.push_back({B1, incarnation(2)});
  F.receiveGossip(Payload);
  CHECK(F.usable() == 0);
  F.list({server("b1", 1)});
  CHECK(F.usable() == 0);
  F.list({server("b1", 3)});
  CHECK(F.usable() == 1);

  fixture Unknown;
  Unknown.receiveGossip(Payload);
  Unknown.list({server("b1", 1)});
  CHECK(Unknown.usable() == 0);
}

TEST_CASE("a server that is missing from the host list gets no work") {
  fixture F;
  F.list({server("b1"), server("b2")});
  F.Registry.onAttemptStarted(B1);
  F.list({server("b2")});
  CHECK(F.usable() == 1);
  F.Registry.onAttemptEnded(B1);
  F.list({server("b1"), server("b2")});
  CHECK(F.usable() == 2);
}

TEST_CASE("own call starts and ends adjust a load report at once") {
  fixture F;
  F.list({server("b1")});
  F.report(1, 5);
  F.at(std::chrono::milliseconds(1));
  F.Registry.onAttemptStarted(B1);
  F.Registry.onAttemptStarted(B1);
  CHECK(F.view().ReportedInFlight == 7);
  CHECK(F.view().ReportAge == core_duration(1'000));
  F.Registry.onAttemptEnded(B1);
  CHECK(F.view().ReportedInFlight == 6);
  F.at(std::chrono::milliseconds(1));
  F.report(1, 6);
  CHECK(F.view().ReportedInFlight == 6);
  // A peer's report that is older than this host's last call start.
  F.at(std::chrono::milliseconds(4000));
  F.Registry.onAttemptStarted(B1);
  gossip_payload Payload;
  Payload.Loads.push_back(
      {B1, incarnation(1), 9, 3, 0, 4, core_duration(500'000)});
  F.receiveGossip(Payload);
  CHECK(F.view().ReportedInFlight == 4);
}

TEST_CASE("an older load report never replaces a newer one") {
  fixture F;
  F.list({server("b1")});
  gossip_payload Payload;
  Payload.Loads.push_back({B1, incarnation(1), 5, 3, 0, 4, {}});
  F.receiveGossip(Payload);
  F.at(std::chrono::milliseconds(100));
  Payload.Loads[0] = {B1, incarnation(1), 4, 8, 0, 4, {}};
  F.receiveGossip(Payload);
  CHECK(F.view().ReportedInFlight == 3);
  F.at(std::chrono::milliseconds(1));
  Payload.Loads[0] = {B1, incarnation(1), 6, 8, 0, 4, core_duration(900'000)};
  F.receiveGossip(Payload);
  CHECK(F.view().ReportedInFlight == 3);
}

TEST_CASE("each server is polled by one host of its zone, not by all") {
  fixture F;
  std::vector<listed_host> Hosts;
  Hosts.reserve(50);
  for (int I = 0; I < 40; ++I)
    Hosts.push_back(server("b" + std::to_string(I)));
  for (int I = 2; I <= 5; ++I)
    Hosts.push_back(entryHost("e" + std::to_string(I)));
  Hosts.push_back(server("far", 1, "other"));
  F.list(Hosts);
  F.Registry.onWakeup();
  std::size_t First = F.polls();
  // About a fifth as first poller, and another fifth as second poller of
  // servers without a report.
  CHECK(First >= 8);
  CHECK(First <= 26);
  for (int I = 0; I < 40; ++I)
    F.Registry.onLoadReport(
        {backend_id("b" + std::to_string(I)), incarnation(1), 0, 0, 4, false});
  F.at(*F.Registry.nextWakeup() - F.Now);
  F.Registry.onWakeup();
  CHECK(F.polls() < First);
}

TEST_CASE("demand elsewhere sums peers and other zones, and expires") {
  fixture F;
  F.list({server("b1"), entryHost("e2"), entryHost("e3"),
          entryHost("f1", "other")});
  workspace_id W("w");
  CHECK(F.Registry.liveEntryHosts() == 3);
  CHECK(F.Registry.demandElsewhere(W) == 0);
  gossip_payload Payload;
  Payload.DemandsComplete = true;
  Payload.Demands.push_back({W, 4});
  F.receiveGossip(Payload);
  F.at(std::chrono::milliseconds(200));
  // One of two peers has reported; the other is assumed to have the same
  // demand.
  CHECK(F.Registry.demandElsewhere(W) == 8);
  Payload.Demands[0].InFlight = 6;
  F.receiveGossip(Payload, "e3");
  F.at(std::chrono::milliseconds(200));
  CHECK(F.Registry.demandElsewhere(W) == 10);
  gossip_payload Far;
  Far.ZoneDemands.push_back({zone_id("other"), W, 100, 1});
  F.receiveGossip(Far, "f1");
  F.at(std::chrono::milliseconds(200));
  CHECK(F.Registry.demandElsewhere(W) == 110);
  Payload.Demands.clear();
  F.receiveGossip(Payload, "e3");
  F.receiveGossip(Payload);
  F.at(std::chrono::milliseconds(200));
  CHECK(F.Registry.demandElsewhere(W) == 100);
  F.at(std::chrono::seconds(60));
  CHECK(F.Registry.demandElsewhere(W) == 0);
}

TEST_CASE("summaries of other zones are kept until they expire") {
  fixture F;
  gossip_payload Payload;
  Payload.Summaries.push_back({zone_id("other"), Pool, 8, 2, 2, 1});
  Payload.Summaries.push_back({zone_id("z"), Pool, 8, 2, 2, 1});
  F.receiveGossip(Payload, "f1");
  REQUIRE(F.Registry.otherZones(Pool).size() == 1);
  CHECK(F.Registry.otherZones(Pool)[0].Slots == 8);
  CHECK(F.Registry.otherZones(pool_id("q")).empty());
  F.at(std::chrono::seconds(60));
  CHECK(F.Registry.otherZones(Pool).empty());
}
