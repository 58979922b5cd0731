// Runs the fleet fuzz over a range of seeds: for long runs and for repeating a
// failing case. support/fuzz builds and calls it.
#include "jasminecroft/testing/fuzz_check.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

using namespace jasminecroft::testing;

namespace {

constexpr int UsageError = 2;

struct fuzz_arguments {
  std::uint64_t First = 1;
  std::uint64_t Last = 100;
  std::size_t Commands = 400;
  bool KeepGoing = false;
  bool Shrink = true;
  bool Replay = false;
  promise_set Judged = allPromises();
};

bool parseSeeds(const std::string &Text, fuzz_arguments &Arguments) {
  std::size_t Dash = Text.find('-');
  Arguments.First = std::strtoull(Text.c_str(), nullptr, 10);
  Arguments.Last = Arguments.First;
  if (Dash != std::string::npos)
    Arguments.Last = std::strtoull(Text.c_str() + Dash + 1, nullptr, 10);
  return Arguments.First != 0 && Arguments.Last >= Arguments.First;
}

bool parse(int Count, char **Values, fuzz_arguments &Arguments) {
  for (int I = 1; I < Count; ++I) {
    std::string Name = Values[I];
    if (Name == "--keep-going") {
      Arguments.KeepGoing = true;
      continue;
    }
    if (Name == "--replay") {
      Arguments.Replay = true;
      continue;
    }
    if (Name == "--no-shrink") {
      Arguments.Shrink = false;
      continue;
    }
    if (I + 1 == Count)
      return false;
    std::string Value = Values[++I];
    if (Name == "--seeds") {
      if (!parseSeeds(Value, Arguments))
        return false;
    } else if (Name == "--commands") {
      Arguments.Commands = std::strtoull(Value.c_str(), nullptr, 10);
    } else if (Name == "--line") {
      Arguments.Judged = {static_cast<promise>(std::atoi(Value.c_str()))};
    } else {
      return false;
    }
  }
  return Arguments.Commands != 0;
}

/// Runs all seeds, prints each failure, and counts them by promise.
bool runAll(const fuzz_arguments &Arguments) {
  fuzz_report Total;
  std::map<promise, std::uint64_t> Broken;
  for (std::uint64_t Seed = Arguments.First; Seed <= Arguments.Last; ++Seed) {
    fuzz_plan Plan;
    Plan.FirstSeed = Seed;
    Plan.CommandsPerCase = Arguments.Commands;
    Plan.Shrink = Arguments.Shrink;
    Plan.Judged = Arguments.Judged;
    fuzz_result Result = checkFleet(Plan);
    Total.add(Result.Report);
    if (Result.Failure.empty())
      continue;
    ++Broken[Result.Report.Violations.front().Promise];
    if (Arguments.Shrink)
      std::cout << Result.Failure << std::flush;
    else
      std::cout << "case " << Seed << ": "
                << toText(Result.Report.Violations.front()) << std::endl;
    if (!Arguments.KeepGoing)
      break;
  }
  std::cout << Total;
  for (const std::pair<const promise, std::uint64_t> &Entry : Broken)
    std::cout << "cases that break " << toText(Entry.first) << ": "
              << Entry.second << "\n";
  return Broken.empty();
}

/// Runs the case printed on the standard input and prints what happens.
bool replay(const fuzz_arguments &Arguments) {
  fuzz_report Report =
      runCase(readCase(std::cin), Arguments.Judged, &std::cout);
  for (const violation &Violation : Report.Violations)
    std::cout << "broken: " << toText(Violation) << "\n";
  return Report.Violations.empty();
}

} // namespace

int main(int Count, char **Values) {
  fuzz_arguments Arguments;
  if (!parse(Count, Values, Arguments)) {
    std::cerr << "usage: fleet-fuzz [--seeds A-B] [--commands N] "
                 "[--line N] [--keep-going] [--no-shrink]\n"
                 "       fleet-fuzz --replay [--line N] <CASE\n";
    return UsageError;
  }
  bool Passed = Arguments.Replay ? replay(Arguments) : runAll(Arguments);
  return Passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
