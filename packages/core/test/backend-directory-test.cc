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

object_version eraVersion(std::uint64_t Era, std::uint64_t Number) {
  return {store_era(Era), Number};
}

backend_entry entry(const char *Id, std::uint64_t Run, object_version Revision,
                    bool Draining = false) {
  backend_entry Entry = entry(Id, Run, 0, Draining);
  Entry.Revision = Revision;
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

TEST_CASE("older revisions are ignored, whatever run they state") {
  backend_directory Servers;
  Servers.update(entry("a", 2, 10));
  for (std::uint64_t Run : {1, 2, 3}) {
    backend_entry Old = entry("a", Run, 9);
    Old.Address = endpoint("10.0.0.9:80");
    Servers.update(Old);
  }
  CHECK(Servers.find(backend_id("a"))->Entry == entry("a", 2, 10));
  Servers.remove(backend_id("a"), object_version(9), Start);
  CHECK(Servers.usable(Pool, Start + seconds(5)).size() == 1);
}

// Guards against DRAIN of review case 7: the clock of the server's machine was
// ahead at its first start.
TEST_CASE("a server that starts again with an earlier start time is seen to "
          "drain") {
  backend_directory Servers;
  Servers.update(entry("a", 2, 10));
  Servers.update(entry("a", 1, 20));
  CHECK(Servers.find(backend_id("a"))->Entry.Run == incarnation(1));
  CHECK(Servers.usable(Pool, Start).size() == 1);
  Servers.update(entry("a", 1, 21, true));
  CHECK(Servers.usable(Pool, Start).empty());
}

TEST_CASE("the server that was listed last stands for an address") {
  backend_directory Servers;
  Servers.update(entry("a", 9, 10));
  Servers.update(entry("b", 1, 11));
  CHECK(Servers.findByAddress(endpoint("10.0.0.1:80"))->Entry.Id ==
        backend_id("b"));
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

TEST_CASE("a server that a copy of the store lacks is used until it could be "
          "written again, and no longer") {
  backend_directory Servers;
  Servers.update(entry("a", 1, eraVersion(1, 10)));
  Servers.update(entry("b", 1, eraVersion(1, 11)));
  Servers.replaceAll({entry("b", 1, eraVersion(2, 5))}, eraVersion(2, 6),
                     Start);
  Servers.replaceAll({entry("b", 1, eraVersion(2, 5))}, eraVersion(2, 7),
                     Start + seconds(1));
  core_time Last = Start + backend_directory::RewriteTime - milliseconds(1);
  Servers.settleCopied(Last);
  CHECK(Servers.usable(Pool, Last).size() == 2);
  core_time End = Start + backend_directory::RewriteTime;
  SUBCASE("written again") {
    Servers.update(entry("a", 1, eraVersion(2, 8)));
    Servers.settleCopied(End);
    CHECK(Servers.usable(Pool, End).size() == 2);
  }
  SUBCASE("still missing") {
    CHECK(Servers.nextSettling() == End);
    Servers.settleCopied(End);
    CHECK(Servers.usable(Pool, End).size() == 1);
    Servers.remove(backend_id("b"), eraVersion(2, 8), End - seconds(1));
    CHECK(Servers.usable(Pool, End).empty());
    CHECK_FALSE(Servers.nextSettling());
    Servers.update(entry("a", 1, eraVersion(2, 9)));
    CHECK(Servers.usable(Pool, End).size() == 1);
  }
}

TEST_CASE("a leaving server that a copy of the store lists as ready, or lacks, "
          "gets no requests") {
  backend_directory Servers;
  Servers.update(entry("a", 1, eraVersion(1, 10)));
  Servers.update(entry("a", 1, eraVersion(1, 11), true));
  Servers.update(entry("b", 1, eraVersion(1, 12), true));
  Servers.replaceAll({entry("a", 1, eraVersion(2, 10))}, eraVersion(2, 10),
                     Start);
  CHECK(Servers.usable(Pool, Start).empty());
}

TEST_CASE("a server that was removed gets no requests only because a copy of "
          "the store lists it") {
  backend_directory Servers;
  Servers.update(entry("a", 1, eraVersion(1, 10)));
  Servers.remove(backend_id("a"), eraVersion(1, 12), Start);
  core_time ListedAt = Start + seconds(10);
  Servers.replaceAll({entry("a", 1, eraVersion(2, 10))}, eraVersion(2, 11),
                     ListedAt);
  CHECK(Servers.usable(Pool, ListedAt).empty());
  core_time End = ListedAt + backend_directory::ReturnTime;
  SUBCASE("written again") {
    Servers.update(entry("a", 1, eraVersion(2, 12)));
    CHECK(Servers.usable(Pool, ListedAt).size() == 1);
  }
  SUBCASE("removed again") {
    Servers.remove(backend_id("a"), eraVersion(2, 12), ListedAt);
    Servers.settleCopied(End);
    CHECK(Servers.usable(Pool, End).empty());
  }
  SUBCASE("missing from a later list") {
    Servers.replaceAll({}, eraVersion(2, 12), ListedAt + seconds(1));
    Servers.settleCopied(End);
    CHECK(Servers.usable(Pool, End).empty());
  }
  SUBCASE("listed for longer than a silent server would be") {
    Servers.replaceAll({entry("a", 1, eraVersion(2, 10))}, eraVersion(2, 12),
                       End - milliseconds(1));
    Servers.settleCopied(End - milliseconds(1));
    CHECK(Servers.usable(Pool, End).empty());
    Servers.settleCopied(End);
    CHECK(Servers.usable(Pool, End).size() == 1);
  }
}

TEST_CASE("a server that was removed and written after the copy is used at "
          "once") {
  backend_directory Servers;
  Servers.update(entry("a", 1, eraVersion(1, 10)));
  Servers.remove(backend_id("a"), eraVersion(1, 12), Start);
  Servers.replaceAll({entry("a", 1, eraVersion(2, 11))}, eraVersion(2, 11),
                     Start);
  CHECK(Servers.usable(Pool, Start).size() == 1);
}

TEST_CASE("an earlier run that a copy of the store lists does not stand for "
          "the run that is known") {
  backend_directory Servers;
  Servers.update(entry("a", 2, eraVersion(1, 10)));
  Servers.replaceAll({entry("a", 1, eraVersion(2, 5))}, eraVersion(2, 6),
                     Start);
  REQUIRE(Servers.usable(Pool, Start).size() == 1);
  CHECK(Servers.usable(Pool, Start)[0]->Entry.Run == incarnation(2));
  core_time End = Start + backend_directory::RewriteTime;
  Servers.settleCopied(End);
  CHECK(Servers.usable(Pool, End).empty());
}

TEST_CASE("another run that a copy of the store lists is used once the copy is "
          "not all that speaks for it") {
  for (std::uint64_t Other : {1, 3}) {
    CAPTURE(Other);
    backend_directory Servers;
    auto RunAt = [&Servers](core_time Now) {
      std::vector<backend_state *> Usable = Servers.usable(Pool, Now);
      return Usable.empty() ? incarnation() : Usable[0]->Entry.Run;
    };
    Servers.update(entry("a", 2, eraVersion(1, 10)));
    Servers.update(entry("a", 2, eraVersion(1, 11), true));
    const backend_entry Copied = entry("a", Other, eraVersion(2, 5));
    Servers.replaceAll({Copied}, eraVersion(2, 6), Start);
    CHECK(RunAt(Start) == incarnation());
    SUBCASE("it is written again") {
      Servers.update(entry("a", Other, eraVersion(2, 7)));
      CHECK(RunAt(Start) == incarnation(Other));
    }
    SUBCASE("it stays in the list") {
      core_time Settled = Start + backend_directory::RewriteTime;
      Servers.settleCopied(Settled);
      Servers.replaceAll({Copied}, eraVersion(2, 8), Settled);
      CHECK(RunAt(Settled) == incarnation());
      core_time Returned = Start + backend_directory::ReturnTime;
      Servers.settleCopied(Returned);
      CHECK(RunAt(Returned) == incarnation(Other));
    }
    SUBCASE("it is written after the copy") {
      Servers.replaceAll({entry("a", Other, eraVersion(2, 12))},
                         eraVersion(2, 12), Start);
      CHECK(RunAt(Start) == incarnation(Other));
    }
  }
}

TEST_CASE("changes since an earlier era are the whole list, whatever the "
          "numbers") {
  backend_directory Servers;
  Servers.update(entry("a", 1, eraVersion(1, 400)));
  Servers.update(entry("b", 1, eraVersion(1, 401)));
  Servers.replaceAll({entry("b", 1, eraVersion(2, 5))}, eraVersion(2, 6),
                     Start);
  backend_changes Changes = Servers.changesSince(eraVersion(1, 500));
  CHECK(Changes.Complete);
  REQUIRE(Changes.Listed.size() == 1);
  CHECK(Changes.Listed[0].Id == backend_id("b"));
  CHECK_FALSE(Servers.changesSince(eraVersion(2, 6)).Complete);
}
