// Rulings on parts of prompts: precedence, trials, bounds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/part_quarantine.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const prompt_part_id Part(7);
const core_time Start{seconds(1'000)};

part_ruling ruling(std::uint32_t Round, part_standing Standing) {
  return {Part, Round, Standing, 0, seconds(30)};
}

} // namespace

TEST_CASE("the later round of a ruling counts, and within a round the later "
          "standing") {
  part_quarantine Quarantine;
  CHECK(Quarantine.apply(ruling(2, part_standing::Quarantined), Start));
  CHECK_FALSE(Quarantine.apply(ruling(1, part_standing::Cleared), Start));
  CHECK_FALSE(Quarantine.apply(ruling(2, part_standing::Suspected), Start));
  CHECK_FALSE(Quarantine.apply(ruling(2, part_standing::Quarantined), Start));
  CHECK(Quarantine.isQuarantined(Part));
  CHECK(Quarantine.apply(ruling(2, part_standing::Cleared), Start));
  CHECK_FALSE(Quarantine.isQuarantined(Part));
  CHECK(Quarantine.apply(ruling(3, part_standing::Suspected), Start));
}

TEST_CASE("a cleared part is suspected again in a new round") {
  part_quarantine Quarantine;
  CHECK(Quarantine.suspect(Part, Start)->Round == 1);
  CHECK_FALSE(Quarantine.suspect(Part, Start));
  CHECK(Quarantine.clear(Part, Start)->Round == 1);
  CHECK_FALSE(Quarantine.clear(Part, Start));
  CHECK(Quarantine.suspect(Part, Start)->Round == 2);
  CHECK(Quarantine.quarantine(Part, Start).Round == 2);
}

TEST_CASE("each trial doubles the time until the next one") {
  part_quarantine Quarantine;
  core_duration First = Quarantine.quarantine(Part, Start).Remaining;
  CHECK_FALSE(Quarantine.trialDueFor(Part, Start));
  CHECK(Quarantine.trialDueFor(Part, Start + First + seconds(2)) == seconds(2));
  core_time Due = Start + First;
  part_ruling Trial = Quarantine.beginTrial(Part, Due);
  CHECK(Trial.Standing == part_standing::Quarantined);
  CHECK(Trial.Round == 2);
  CHECK(Trial.Remaining == 2 * First);
  CHECK_FALSE(Quarantine.trialDueFor(Part, Due + First));
  CHECK(Quarantine.clear(Part, Due + seconds(1))->Round == 2);
}

TEST_CASE("the time that a ruling holds does not restart when it is repeated") {
  part_quarantine Quarantine;
  core_duration Time = Quarantine.quarantine(Part, Start).Remaining;
  CHECK(Quarantine.find(Part, Start + seconds(10))->Remaining ==
        Time - seconds(10));
  std::vector<part_ruling> Decided = Quarantine.decided(Start + seconds(10));
  REQUIRE(Decided.size() == 1);
  CHECK_FALSE(Quarantine.apply(Decided[0], Start + seconds(10)));
}

TEST_CASE("rulings that no request has had for long are forgotten") {
  part_quarantine Quarantine;
  Quarantine.quarantine(Part, Start);
  Quarantine.suspect(prompt_part_id(8), Start);
  Quarantine.expire(Start + minutes(2));
  CHECK(Quarantine.isQuarantined(Part));
  CHECK_FALSE(Quarantine.find(prompt_part_id(8), Start + minutes(2)));
  Quarantine.expire(Start + minutes(20));
  CHECK(Quarantine.empty());
}

TEST_CASE("ten thousand parts take bounded memory, quarantines stay") {
  part_quarantine Quarantine;
  Quarantine.quarantine(Part, Start);
  for (std::uint64_t I = 100; I < 10'100; ++I)
    Quarantine.suspect(prompt_part_id(I), Start);
  CHECK(Quarantine.isQuarantined(Part));
  std::size_t Known = 0;
  for (std::uint64_t I = 100; I < 10'100; ++I)
    Known += Quarantine.find(prompt_part_id(I), Start) ? 1 : 0;
  CHECK(Known < 2'000);
  served_parts Served;
  for (std::uint64_t I = 0; I < 20'000; ++I)
    Served.add(prompt_part_id(I), Start);
  CHECK_FALSE(Served.contains(prompt_part_id(0)));
  CHECK(Served.contains(prompt_part_id(19'999)));
}

TEST_CASE("a ruling with an impossible time is bounded") {
  part_quarantine Quarantine;
  part_ruling Ruling = ruling(1, part_standing::Quarantined);
  Ruling.Remaining = core_duration::max();
  Quarantine.apply(Ruling, Start);
  CHECK(Quarantine.find(Part, Start)->Remaining < minutes(30));
  Ruling.Round = 2;
  Ruling.Remaining = core_duration::min();
  Quarantine.apply(Ruling, Start);
  CHECK(Quarantine.find(Part, Start)->Remaining == core_duration{0});
}
