// Plays fuzz cases of the serving path: serving-fuzz FIRST LAST [COMMANDS]
// [LINE] [shared|ids]. LINE counts violations of one promise only, by its
// number; 0 counts all. With `shared`, stages of drafts share inputs; with
// `ids`, servers start again under their ids.
#include "jasminecroft/testing/serving_fuzz.h"

#include <cstdlib>
#include <iostream>
#include <string_view>

using namespace jasminecroft::testing;

int main(int Count, char **Values) {
  constexpr int UsageError = 2;
  constexpr std::size_t DefaultCommands = 250;
  if (Count < 3) {
    std::cerr
        << "usage: serving-fuzz FIRST LAST [COMMANDS] [LINE] [shared|ids]\n";
    return UsageError;
  }
  std::uint64_t First = std::strtoull(Values[1], nullptr, 10);
  std::uint64_t Last = std::strtoull(Values[2], nullptr, 10);
  std::size_t Commands =
      Count > 3 ? std::strtoull(Values[3], nullptr, 10) : DefaultCommands;
  int Line = Count > 4 ? std::atoi(Values[4]) : 0;
  std::string_view Kind = Count > 5 ? Values[5] : "";
  serving_fuzz_world World;
  if (Kind == "shared")
    World.Drafts = draft_shape::Shared;
  World.ServersKeepIds = Kind == "ids";
  serving_fuzz_report Total;
  std::uint64_t Failed = 0;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    serving_fuzz_report Report = runServingCase(Seed, Commands, World);
    if (Line != 0)
      std::erase_if(Report.Violations, [Line](const violation &Violation) {
        return static_cast<int>(Violation.Promise) != Line;
      });
    if (!Report.Violations.empty()) {
      ++Failed;
      std::cout << "seed " << Seed << ": " << toText(Report.Violations.front())
                << "\n";
    }
    Total.add(Report);
  }
  Total.Violations.clear();
  std::cout << Last - First + 1 << " seeds, " << Failed
            << " with a broken promise; " << Total;
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
