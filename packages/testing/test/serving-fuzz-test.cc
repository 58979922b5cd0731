// The fuzz of the serving path as CI runs it: fixed seeds, all promises.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "serving-fuzz-cases.h"

using namespace jasminecroft::testing;

TEST_CASE("hosts keep their promises to callers and servers under faults") {
  playCases({});
}

// 12, 595, 818: a leaving host waited for calls that nobody wanted any more.
// 460, 927, 948, 973: a call of a host's earlier run answered a job of its
// later run.
TEST_CASE("seeds that once broke a promise in longer runs keep it") {
  for (std::uint64_t Seed : {12, 460, 595, 818, 927, 948, 973}) {
    serving_fuzz_report Report = runServingCase(Seed, CommandsPerCase);
    INFO("seed ", Seed);
    for (const violation &Violation : Report.Violations)
      FAIL_CHECK(toText(Violation));
  }
}
