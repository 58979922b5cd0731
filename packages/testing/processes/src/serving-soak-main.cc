// Soaks real entry hosts: serving-soak FIRST LAST [SECONDS]. Seeds are printed
// with what was broken.
#include "jasminecroft/processes/serving_soak.h"

#include <cstdlib>
#include <iostream>

using namespace jasminecroft::processes;

int main(int Count, char **Values) {
  constexpr int UsageError = 2;
  if (Count < 3) {
    std::cerr << "usage: serving-soak FIRST LAST [SECONDS]\n";
    return UsageError;
  }
  std::uint64_t Last = std::strtoull(Values[2], nullptr, 10);
  std::size_t Failed = 0;
  for (std::uint64_t Seed = std::strtoull(Values[1], nullptr, 10); Seed <= Last;
       ++Seed) {
    soak_options Options;
    Options.Seed = Seed;
    if (Count > 3)
      Options.FaultTime = std::chrono::seconds(std::atoi(Values[3]));
    soak_report Report = runSoak(Options);
    std::cout << "seed " << Seed << ": requests " << Report.Requests
              << ", served " << Report.Served << ", refused " << Report.Refused
              << ", unanswered " << Report.Unanswered << ", faults "
              << Report.Faults.size() << ", broken " << Report.Broken.size()
              << std::endl;
    for (const std::string &What : Report.Broken)
      std::cout << "  broken: " << What << "\n";
    if (!Report.Broken.empty()) {
      ++Failed;
      for (const std::string &Fault : Report.Faults)
        std::cout << "  fault: " << Fault << "\n";
    }
  }
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
