// Tests of merging the platform's list with the outcomes of a host's calls.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/backend_directory.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const pool_id Pool("pool");
const core_time Start{seconds(100)};

backend_entry entry(const char *Id, std::uint64_t Run, std::uint64_t Revision,
                    bool Draining = false) {
  backend_entry Entry;
  Entry.Id = backend_id(Id);
  Entry.Pool = Pool;
  Entry.Address = endpoint("10.0.0.1:80");
  Entry.Run = incarnation(Run);
  Entry.Revision = object_version(Revision);
  Entry.Draining = Draining;
  return Entry;
}

} // namespace

TEST_CASE("a run that was seen draining never becomes ready again") {
  backend_directory Servers;
  Servers.update(entry("a", 1, 10));
  Servers.update(entry("a", 1, 11, true));
  CHECK(Servers.usable(Pool, Start).empty());
  // A late entry, even with a newer revision, does not make the run usable.
  Servers.update(entry("a", 1, 12));
  CHECK(Servers.usable(Pool, Start).empty());
  Servers.update(entry("a", 2, 13));
  CHECK(Servers.usable(Pool, Start).size() == 1);
}

TEST_CASE("older revisions and earlier runs are ignored") {
  backend_directory Servers;
  Servers.update(entry("a", 2, 10));
  backend_entry Old = entry("a", 1, 20);
  Old.Address = endpoint("10.0.0.9:80");
  Servers.update(Old);
  Old = entry("a", 2, 9);
  Old.Address = endpoint("10.0.0.9:80");
  Servers.update(Old);
  CHECK(Servers.find(backend_id("a"))->Entry.Address ==
        endpoint("10.0.0.1:80"));
  Servers.remove(backend_id("a"), object_version(9), Start);
  CHECK(Servers.usable(Pool, Start + seconds(5)).size() == 1);
}

TEST_CASE("unlisted servers are used briefly if no listed one is left") {
  backend_directory Servers;
  Servers.update(entry("a", 1, 1));
  Servers.update(entry("b", 1, 2));
  Servers.remove(backend_id("a"), object_version(3), Start);
  REQUIRE(Servers.usable(Pool, Start).size() == 1);
  CHECK(Servers.usable(Pool, Start)[0]->Entry.Id == backend_id("b"));
  Servers.replaceAll({}, object_version(4), Start);
  CHECK(Servers.usable(Pool, Start + milliseconds(500)).size() == 2);
  CHECK(Servers.usable(Pool, Start + seconds(2)).empty());
  // The same run is listed again after an outage of the platform.
  Servers.update(entry("a", 1, 5));
  CHECK(Servers.usable(Pool, Start + seconds(3)).size() == 1);
}

TEST_CASE("a server that reports its shutdown receives no new work") {
  backend_directory Servers;
  Servers.update(entry("a", 1, 1));
  Servers.markLeaving(backend_id("a"));
  CHECK(Servers.isLeaving(backend_id("a")));
  CHECK(Servers.usable(Pool, Start).empty());
}

TEST_CASE("the backoff grows with consecutive failures") {
  backend_directory Servers;
  Servers.update(entry("a", 1, 1));
  const backend_id Id("a");
  Servers.onCallFailed(Id, Start);
  core_duration First = Servers.find(Id)->AvoidUntil - Start;
  Servers.onCallFailed(Id, Start);
  CHECK(Servers.find(Id)->AvoidUntil - Start == 2 * First);
  Servers.onCallSucceeded(Id, 1000);
  CHECK(Servers.find(Id)->AvoidUntil <= Start);
}
