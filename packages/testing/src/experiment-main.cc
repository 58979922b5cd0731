// Command of the policy experiment: prints the measures of both workloads,
// policy beside baseline, as a table and, on request, as JSON.
#include "jasminecroft/testing/experiment_suite.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace jasminecroft::experiment;

boost::json::array toJson(const std::vector<figure> &Figures) {
  boost::json::array Lines;
  for (const figure &Figure : Figures) {
    boost::json::object Line;
    Line["workload"] = Figure.Workload;
    Line["measure"] = Figure.Measure;
    Line["unit"] = Figure.Unit;
    Line["baseline"] =
        boost::json::array(Figure.Baseline.begin(), Figure.Baseline.end());
    Line["policy"] =
        boost::json::array(Figure.Policy.begin(), Figure.Policy.end());
    if (Figure.Met) {
      Line["target"] = Figure.Target;
      Line["met"] = *Figure.Met;
    }
    Lines.push_back(std::move(Line));
  }
  return Lines;
}

int run(int Count, char **Arguments) {
  suite_options Suite;
  std::string JsonFile;
  options::options_description Description("Policy experiment");
  Description.add_options()("help", "print this text")(
      "slopes", "measure processor time and memory instead")(
      "seeds", options::value<std::size_t>(&Suite.Seeds)->default_value(3),
      "runs of each scenario")("only", options::value<std::string>(&Suite.Only),
                               "only parts whose WORKLOAD/PART contains this")(
      "json", options::value<std::string>(&JsonFile), "also write JSON here");
  options::variables_map Values;
  options::store(options::parse_command_line(Count, Arguments, Description),
                 Values);
  options::notify(Values);
  if (Values.contains("help") || Suite.Seeds == 0) {
    std::cout << Description;
    return Values.contains("help") ? 0 : 1;
  }
  if (Values.contains("slopes")) {
    std::cout << measureSlopes();
    return 0;
  }
  std::vector<figure> Figures = runSuite(Suite);
  std::cout << toTable(Figures);
  if (!JsonFile.empty()) {
    std::ofstream Out(JsonFile);
    Out << toJson(Figures) << "\n";
  }
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
}
