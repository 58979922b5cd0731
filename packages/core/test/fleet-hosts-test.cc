// Tests of queue ownership and host suspicion.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/fleet_hosts.h"

#include <doctest/doctest.h>
#include <map>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core_time Start{seconds(100)};

batching_host host(const std::string &Name, std::uint32_t Capacity = 250) {
  return {entry_host_id(Name), zone_id("z"), endpoint(Name + ":1"), Capacity};
}

fleet_hosts fleet(const std::string &Self, int Count) {
  fleet_hosts Hosts(host(Self));
  for (int I = 0; I < Count; ++I)
    Hosts.add(host("h" + std::to_string(I)), Start);
  return Hosts;
}

} // namespace

TEST_CASE("all hosts agree on the owner of each queue") {
  fleet_hosts First = fleet("h0", 6);
  fleet_hosts Last = fleet("h5", 6);
  std::map<entry_host_id, int> Owned;
  for (int I = 0; I < 600; ++I) {
    std::string Queue = "pool" + std::to_string(I);
    CHECK(First.owner(Queue) == Last.owner(Queue));
    ++Owned[First.owner(Queue)];
  }
  for (const std::pair<const entry_host_id, int> &Entry : Owned)
    CHECK(Entry.second > 50);
}

TEST_CASE("hosts with more capacity own more queues") {
  fleet_hosts Hosts(host("small", 125));
  Hosts.add(host("large", 500), Start);
  int Large = 0;
  for (int I = 0; I < 1'000; ++I)
    if (Hosts.owner("pool" + std::to_string(I)) == entry_host_id("large"))
      ++Large;
  CHECK(Large > 740);
  CHECK(Large < 860);
}

TEST_CASE("a suspected host owns no queue until a message arrives from it") {
  fleet_hosts Hosts = fleet("h0", 2);
  const entry_host_id Other("h1");
  CHECK(Hosts.suspect(Other, Start));
  CHECK_FALSE(Hosts.suspect(Other, Start));
  for (int I = 0; I < 50; ++I)
    CHECK(Hosts.owner(std::to_string(I)) == entry_host_id("h0"));
  CHECK(Hosts.liveCount() == 1);
  CHECK(Hosts.dueForHeartbeat(Start + seconds(1)).size() == 1);
  CHECK(Hosts.onPeerMessage(Other, Start + seconds(2)));
  CHECK(Hosts.liveCount() == 2);
}

TEST_CASE("a leaving host stays known but owns no queue, unless it is alone") {
  fleet_hosts Hosts = fleet("h0", 2);
  Hosts.setLeaving(entry_host_id("h1"), true);
  CHECK(Hosts.find(entry_host_id("h1")) != nullptr);
  CHECK(Hosts.owner("q") == entry_host_id("h0"));
  fleet_hosts Leaver = fleet("h1", 2);
  Leaver.setSelfLeaving();
  for (int I = 0; I < 50; ++I)
    CHECK(Leaver.owner(std::to_string(I)) == entry_host_id("h0"));
  fleet_hosts Alone(host("h0"));
  Alone.setSelfLeaving();
  CHECK(Alone.owner("q") == entry_host_id("h0"));
}

TEST_CASE("heartbeats to a silent host back off and then stop") {
  fleet_hosts Hosts = fleet("h0", 2);
  Hosts.suspect(entry_host_id("h1"), Start);
  int Heartbeats = 0;
  for (core_time Now = Start; Now < Start + seconds(200);
       Now += milliseconds(50))
    Heartbeats += static_cast<int>(Hosts.dueForHeartbeat(Now).size());
  CHECK(Heartbeats > 10);
  CHECK(Heartbeats < 25);
  CHECK(Hosts.find(entry_host_id("h1")) == nullptr);
}
