// Prints what acting together costs fleets of several sizes.
#include "jasminecroft/bench/fleet_bench.h"

#include <boost/program_options.hpp>
#include <iostream>

int main(int Count, char **Arguments) {
  namespace options = boost::program_options;
  std::uint64_t Seed = 1;
  std::uint32_t MaxHosts = 390;
  options::options_description Description("options");
  Description.add_options()("help", "show this text")(
      "seed", options::value<std::uint64_t>(&Seed),
      "seed of the runs")("max-hosts", options::value<std::uint32_t>(&MaxHosts),
                          "leave out larger fleets");
  options::variables_map Values;
  options::store(options::parse_command_line(Count, Arguments, Description),
                 Values);
  options::notify(Values);
  if (Values.count("help") != 0) {
    std::cout << Description;
    return 0;
  }
  std::vector<jasminecroft::bench::fleet_results> Results;
  for (const jasminecroft::bench::fleet_size &Size :
       jasminecroft::bench::capacitySizes())
    if (Size.EntryHosts <= MaxHosts)
      Results.push_back(jasminecroft::bench::measureFleet(Size, Seed));
  jasminecroft::bench::printTables(std::cout, Results);
  jasminecroft::bench::printMemory(std::cout,
                                   jasminecroft::bench::measureMemory());
  return 0;
}
