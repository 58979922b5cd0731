// Hands cases to rapidcheck: the generator is ours, so that a case is known by
// its seed alone; running, shortening and reporting are rapidcheck's.
#include "jasminecroft/testing/fuzz_check.h"

#include <chrono>
#include <cstdlib>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>
#include <sstream>

namespace jasminecroft::testing {

namespace {

using wall_clock = std::chrono::steady_clock;

rc::Seq<fuzz_command> shrinkCommand(const fuzz_command &Command) {
  fuzz_command Shorter = Command;
  Shorter.Milliseconds = Command.Milliseconds / 2;
  if (Command.Milliseconds <= 100)
    return rc::Seq<fuzz_command>();
  return rc::seq::just(Shorter);
}

rc::Seq<fuzz_case> shrinkCase(const fuzz_case &Case) {
  rc::Seq<std::vector<fuzz_command>> Fewer =
      rc::shrink::removeChunks(Case.Commands);
  rc::Seq<std::vector<fuzz_command>> Shorter =
      rc::shrink::eachElement(Case.Commands, shrinkCommand);
  return rc::seq::map(rc::seq::concat(std::move(Fewer), std::move(Shorter)),
                      [Case](const std::vector<fuzz_command> &Commands) {
                        fuzz_case Smaller = Case;
                        Smaller.Commands = Commands;
                        return Smaller;
                      });
}

rc::Gen<fuzz_case> caseOf(std::uint64_t Seed, std::size_t Length) {
  return [Seed, Length](const rc::Random &, int) {
    const auto Shrink = [](const fuzz_case &Case) { return shrinkCase(Case); };
    return rc::shrinkable::shrinkRecur(makeCase(Seed, Length), Shrink);
  };
}

std::string describe(const fuzz_case &Case, const violation_list &Violations) {
  std::ostringstream Text;
  Text << Case;
  for (const violation &Violation : Violations)
    Text << "  broken: " << toText(Violation) << "\n";
  return Text.str();
}

/// One case, and its shorter forms after it has failed.
class case_check {
public:
  case_check(std::uint64_t Seed, const fuzz_plan &Plan)
      : Seed(Seed), Plan(Plan) {}

  fuzz_report run();
  const std::string &failure() const { return Failure; }

private:
  bool passes(const fuzz_case &Case);

  std::uint64_t Seed;
  const fuzz_plan &Plan;
  std::optional<fuzz_report> First;
  std::string Failure;
  wall_clock::time_point FailedAt;
};

bool case_check::passes(const fuzz_case &Case) {
  // Once the time is up, no shorter form counts as failing: rapidcheck stops.
  if (!Failure.empty() && wall_clock::now() - FailedAt > Plan.ShrinkTime)
    return true;
  fuzz_report Report = runCase(Case, Plan.Judged);
  if (!First)
    First = Report;
  if (Report.Violations.empty())
    return true;
  // A shorter form must break the same promise.
  if (Report.Violations.front().Promise != First->Violations.front().Promise)
    return true;
  if (Failure.empty())
    FailedAt = wall_clock::now();
  Failure = describe(Case, Report.Violations);
  return false;
}

fuzz_report case_check::run() {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = 1;
  Params.disableShrinking = !Plan.Shrink;
  rc::detail::TestMetadata Metadata;
  Metadata.id = "fleet-fuzz";
  rc::detail::TestListenerAdapter Silent;
  rc::detail::checkTestable(
      [this] { RC_ASSERT(passes(*caseOf(Seed, Plan.CommandsPerCase))); },
      Metadata, Params, Silent,
      std::unordered_map<std::string, rc::detail::Reproduce>());
  return *First;
}

} // namespace

fuzz_result checkFleet(const fuzz_plan &Plan) {
  fuzz_result Result;
  for (std::uint64_t I = 0; I < Plan.Cases; ++I) {
    std::uint64_t Seed = Plan.FirstSeed + I;
    case_check Check(Seed, Plan);
    Result.Report.add(Check.run());
    if (Check.failure().empty())
      continue;
    Result.Failure = "case " + std::to_string(Seed) + " of " +
                     std::to_string(Plan.CommandsPerCase) +
                     " commands, shortened: " + Check.failure();
    break;
  }
  return Result;
}

double fuzzScale() {
  const char *Text = std::getenv("JASMINECROFT_FUZZ_SCALE");
  return Text ? std::strtod(Text, nullptr) : 1;
}

} // namespace jasminecroft::testing
