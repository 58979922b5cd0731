// Which parts of prompts are held to crash servers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/crash_attribution.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Common = 1;
constexpr std::uint64_t Session = 2;
constexpr std::uint64_t Crashing = 3;

struct attribution_fixture {
  void report(const std::string &Server, bool HeadArrived,
              const std::vector<std::uint64_t> &Parts,
              const std::vector<std::uint64_t> &Served = {}) {
    crash_report Report;
    Report.Server = backend_id(Server);
    Report.Run = incarnation(1);
    Report.HeadArrived = HeadArrived;
    for (std::uint64_t Part : Parts)
      Report.Parts.push_back(
          {prompt_part_id(Part),
           std::find(Served.begin(), Served.end(), Part) != Served.end()});
    Attribution.onReport(Report, Now);
  }

  /// Ends the crash, and returns the parts that are held guilty.
  std::vector<prompt_part_id> judge(core_duration Time = seconds(1)) {
    Now += Time;
    Last = Attribution.takeVerdicts(Quarantine, Now);
    for (prompt_part_id Part : Last.Guilty)
      Quarantine.quarantine(Part, Now);
    return Last.Guilty;
  }

  part_quarantine Quarantine;
  crash_attribution Attribution;
  crash_attribution::verdicts Last;
  core_time Now{seconds(1'000)};
};

using parts = std::vector<prompt_part_id>;

} // namespace

TEST_CASE("a part of two requests with a head and no event is held guilty") {
  attribution_fixture Test;
  Test.report("s0", true, {Common, Crashing});
  CHECK(Test.judge().empty());
  CHECK(Test.Last.Suspected.size() == 2);
  Test.Attribution.onCleared(prompt_part_id(Common));
  Test.report("s1", true, {Common, Crashing});
  CHECK(Test.judge() == parts{prompt_part_id(Crashing)});
}

TEST_CASE("requests without a head are no candidates beside one with a head") {
  attribution_fixture Test;
  for (const char *Server : {"s0", "s1", "s2", "s3"}) {
    Test.report(Server, false, {Common, Session});
    Test.report(Server, true, {Crashing});
    Test.judge();
  }
  CHECK(Test.Attribution.crashesOf(prompt_part_id(Session)) == 0);
  CHECK(Test.Quarantine.isQuarantined(prompt_part_id(Crashing)));
}

TEST_CASE("without any head three crashes are needed") {
  attribution_fixture Test;
  Test.report("s0", false, {Crashing});
  CHECK(Test.judge().empty());
  Test.report("s1", false, {Crashing});
  CHECK(Test.judge().empty());
  Test.report("s2", false, {Crashing});
  CHECK(Test.judge() == parts{prompt_part_id(Crashing)});
}

TEST_CASE("a part that was served between two crashes is not held guilty") {
  attribution_fixture Test;
  for (int I = 0; I < 10; ++I) {
    Test.report("s" + std::to_string(I), true, {Common});
    CHECK(Test.judge().empty());
    Test.Attribution.onCleared(prompt_part_id(Common));
  }
}

TEST_CASE("servers that end at the same time count as one crash") {
  attribution_fixture Test;
  for (int I = 0; I < 10; ++I)
    Test.report("s" + std::to_string(I), true, {Session});
  CHECK(Test.judge().empty());
}

TEST_CASE("calls that break again and again at one server count once") {
  attribution_fixture Test;
  for (int I = 0; I < 10; ++I) {
    Test.report("s0", true, {Session});
    CHECK(Test.judge().empty());
  }
}

TEST_CASE("crashes by a quarantined part count against no other part") {
  attribution_fixture Test;
  Test.Quarantine.quarantine(prompt_part_id(Crashing), Test.Now);
  for (int I = 0; I < 5; ++I) {
    Test.report("s" + std::to_string(I), true, {Session});
    Test.report("s" + std::to_string(I), true, {Common, Crashing});
    CHECK(Test.judge().empty());
  }
  CHECK(Test.Attribution.crashesOf(prompt_part_id(Session)) == 0);
}

TEST_CASE("of parts with equal evidence one without earlier replies is held "
          "guilty") {
  attribution_fixture Test;
  for (const char *Server : {"s0", "s1"}) {
    Test.report(Server, true, {Common, Crashing, Session}, {Common, Session});
    Test.judge();
  }
  CHECK(Test.Last.Guilty == parts{prompt_part_id(Crashing)});
}

TEST_CASE("calls broken by the loss of a zone do not make a popular part "
          "guilty") {
  attribution_fixture Test;
  Test.report("s0", false, {Common, Session}, {Common});
  Test.judge();
  for (const char *Server : {"s1", "s2"}) {
    Test.report(Server, true, {Common, Session + 1, Crashing}, {Common});
    Test.judge();
  }
  CHECK(Test.Last.Guilty == parts{prompt_part_id(Crashing)});
}

TEST_CASE("a part with earlier replies needs one crash more") {
  attribution_fixture Test;
  for (const char *Server : {"s0", "s1"}) {
    Test.report(Server, true, {Common}, {Common});
    CHECK(Test.judge().empty());
  }
  Test.report("s2", true, {Common}, {Common});
  CHECK(Test.judge() == parts{prompt_part_id(Common)});
}

TEST_CASE("a part held guilty is cleared when a part with earlier replies "
          "explains its crashes") {
  attribution_fixture Test;
  for (const char *Server : {"s0", "s1"}) {
    Test.report(Server, true, {Crashing, Session}, {Crashing});
    Test.judge();
  }
  CHECK(Test.Last.Guilty == parts{prompt_part_id(Session)});
  for (const char *Server : {"s2", "s3", "s4"}) {
    CHECK(Test.Last.Innocent.empty());
    Test.report(Server, true, {Crashing}, {Crashing});
    Test.judge();
  }
  CHECK(Test.Last.Guilty == parts{prompt_part_id(Crashing)});
  CHECK(Test.Last.Innocent == parts{prompt_part_id(Session)});
}

TEST_CASE("a part held guilty is cleared when another one explains its "
          "crashes") {
  attribution_fixture Test;
  Test.report("s0", true, {Crashing, Session});
  Test.judge();
  Test.report("s1", true, {Crashing, Session});
  CHECK(Test.judge() == parts{prompt_part_id(Session)});
  Test.report("s2", true, {Crashing});
  CHECK(Test.judge().empty());
  Test.report("s3", true, {Crashing});
  CHECK(Test.judge() == parts{prompt_part_id(Crashing)});
  CHECK(Test.Last.Innocent == parts{prompt_part_id(Session)});
}

TEST_CASE("a single broken call does not move the guilt to another part") {
  attribution_fixture Test;
  for (const char *Server : {"s0", "s1"}) {
    Test.report(Server, true, {Session, Crashing});
    Test.judge();
  }
  CHECK(Test.Last.Guilty == parts{prompt_part_id(Crashing)});
  Test.report("s2", true, {Session});
  CHECK(Test.judge().empty());
  CHECK(Test.Last.Innocent.empty());
}

TEST_CASE("evidence starts anew once another host has held a part guilty") {
  attribution_fixture Test;
  Test.report("s0", true, {Session, Crashing});
  Test.judge();
  Test.Quarantine.quarantine(prompt_part_id(Crashing), Test.Now);
  Test.Attribution.onJudgedElsewhere();
  Test.report("s1", true, {Session});
  CHECK(Test.judge().empty());
}

TEST_CASE("a part that all requests have is held guilty if it is in all "
          "crashes") {
  attribution_fixture Test;
  Test.report("s0", true, {Common, Session});
  Test.judge();
  Test.report("s1", true, {Common, Session + 10});
  CHECK(Test.judge() == parts{prompt_part_id(Common)});
}

TEST_CASE("crashes far apart are not counted together") {
  attribution_fixture Test;
  for (int I = 0; I < 5; ++I) {
    Test.report("s" + std::to_string(I), true, {Session});
    CHECK(Test.judge(std::chrono::minutes(2)).empty());
  }
}

TEST_CASE("reports are judged once those of the same crash have arrived") {
  attribution_fixture Test;
  Test.report("s0", false, {Session});
  CHECK(Test.judge(milliseconds(1)).empty());
  Test.report("s0", true, {Crashing});
  REQUIRE(Test.Attribution.nextWakeup());
  Test.Now = *Test.Attribution.nextWakeup();
  Test.judge(core_duration{0});
  CHECK(Test.Attribution.crashesOf(prompt_part_id(Crashing)) == 1);
  CHECK(Test.Attribution.crashesOf(prompt_part_id(Session)) == 0);
}
