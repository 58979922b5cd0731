// Tests of the choice of backend servers for requests' own calls.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/placement.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id Pool("pool");
const core_time Now{seconds(100)};

backend_directory servers(int Count) {
  backend_directory Servers;
  for (int I = 0; I < Count; ++I) {
    backend_entry Entry;
    Entry.Id = backend_id("s" + std::to_string(I));
    Entry.Pool = Pool;
    Entry.Zone = zone_id("z" + std::to_string(I % 3));
    Servers.update(Entry);
  }
  return Servers;
}

std::vector<backend_state *> all(backend_directory &Servers) {
  return Servers.usable(Pool, Now);
}

placement_query query(std::uint64_t Session = 0) {
  placement_query Query;
  Query.NearZone = zone_id("z0");
  if (Session != 0)
    Query.Prefix = {{1, 500}, {Session, 4'000}};
  return Query;
}

} // namespace

TEST_CASE("a plain call stays in its zone until its server there is busy") {
  backend_directory Servers = servers(3);
  CHECK(choosePlain(all(Servers), query(), Now)->Entry.Id == backend_id("s0"));
  Servers.onLoad(backend_id("s0"), {6, 4, 6, 100}, Now);
  CHECK(choosePlain(all(Servers), query(), Now)->Entry.Id != backend_id("s0"));
}

TEST_CASE("failed and tried servers come last but are not excluded") {
  backend_directory Servers = servers(2);
  Servers.onCallFailed(backend_id("s0"), Now);
  CHECK(choosePlain(all(Servers), query(), Now)->Entry.Id == backend_id("s1"));
  placement_query Query = query();
  Query.Avoid.insert(backend_id("s1"));
  CHECK(choosePlain(all(Servers), Query, Now)->Entry.Id == backend_id("s1"));
  CHECK(choosePlain(all(Servers), Query, Now + seconds(10))->Entry.Id ==
        backend_id("s0"));
}

TEST_CASE("a session keeps its engine unless the engine is overloaded") {
  backend_directory Servers = servers(9);
  engine_rules Rules;
  Rules.Slots = 64;
  backend_id First =
      chooseEngine(all(Servers), query(77), Rules, Now)->Entry.Id;
  CHECK(chooseEngine(all(Servers), query(77), Rules, Now)->Entry.Id == First);
  Servers.onLoad(First, {3, 0, 64, 100}, Now);
  CHECK(chooseEngine(all(Servers), query(77), Rules, Now)->Entry.Id == First);
  Servers.onLoad(First, {40, 0, 64, 100}, Now);
  CHECK(chooseEngine(all(Servers), query(77), Rules, Now)->Entry.Id != First);
}

TEST_CASE("sessions are distributed over the engines") {
  backend_directory Servers = servers(9);
  engine_rules Rules;
  Rules.Slots = 64;
  std::map<backend_id, int> Chosen;
  for (std::uint64_t Session = 1; Session <= 900; ++Session)
    ++Chosen[chooseEngine(all(Servers), query(Session * 7919), Rules, Now)
                 ->Entry.Id];
  CHECK(Chosen.size() == 9);
  for (const std::pair<const backend_id, int> &Entry : Chosen)
    CHECK(Entry.second < 300);
}
