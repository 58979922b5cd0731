// Long runs of the serving soak, by hand: seeds are printed with what was
// broken.
#include "jasminecroft/processes/serving_soak.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <map>

using namespace jasminecroft::processes;
namespace po = boost::program_options;

namespace {

constexpr int UsageError = 2;

const std::map<std::string, soak_servers> ServersByName = {
    {"sound", soak_servers::Sound},
    {"troubled", soak_servers::Troubled},
    {"unnamed", soak_servers::Unnamed},
    {"wishing", soak_servers::Wishing},
    {"contradicting", soak_servers::Contradicting}};

void print(std::uint64_t Seed, const soak_report &Report) {
  std::cout << "seed " << Seed << ": requests " << Report.Requests
            << ", served " << Report.Served << ", refused " << Report.Refused
            << ", unanswered " << Report.Unanswered << ", faults "
            << Report.Faults.size() << ", at most once " << Report.AtMostOnce
            << ", refused and ran " << Report.RefusedAndRan << ", ran twice "
            << Report.RanTwice << ", broken " << Report.Broken.size()
            << std::endl;
  for (const std::string &What : Report.Broken)
    std::cout << "  broken: " << What << "\n";
  if (!Report.Broken.empty())
    for (const std::string &Fault : Report.Faults)
      std::cout << "  fault: " << Fault << "\n";
}

} // namespace

int main(int Count, char **Values) {
  std::uint64_t First = 1;
  std::uint64_t Last = 1;
  int Seconds = 6;
  soak_options Options;
  std::string Servers;
  po::options_description Described("Soak of the serving path");
  Described.add_options()("help", "show this text")(
      "first", po::value(&First)->default_value(First),
      "first seed")("last", po::value(&Last)->default_value(Last), "last seed")(
      "seconds", po::value(&Seconds)->default_value(Seconds),
      "time with faults")(
      "hosts", po::value(&Options.Hosts)->default_value(Options.Hosts),
      "entry hosts")("zones",
                     po::value(&Options.Zones)->default_value(Options.Zones),
                     "availability zones")(
      "callers", po::value(&Options.Callers)->default_value(Options.Callers),
      "callers at once")(
      "servers", po::value(&Servers)->default_value("troubled"),
      "sound, troubled, unnamed (refusals without an id), wishing (limits and "
      "pauses) or contradicting "
      "(answers with the status of a refusal to what they ran)");
  po::positional_options_description Seeds;
  Seeds.add("first", 1).add("last", 1).add("seconds", 1);
  try {
    po::variables_map Chosen;
    po::store(po::command_line_parser(Count, Values)
                  .options(Described)
                  .positional(Seeds)
                  .run(),
              Chosen);
    po::notify(Chosen);
    if (Chosen.count("help") > 0) {
      std::cout << Described;
      return EXIT_SUCCESS;
    }
  } catch (const po::error &Problem) {
    std::cerr << Problem.what() << "\n" << Described;
    return UsageError;
  }
  auto Known = ServersByName.find(Servers);
  if (Known == ServersByName.end()) {
    std::cerr << "unknown kind of servers: " << Servers << "\n" << Described;
    return UsageError;
  }
  Options.Servers = Known->second;
  Options.FaultTime = std::chrono::seconds(Seconds);
  std::size_t Failed = 0;
  for (Options.Seed = First; Options.Seed <= Last; ++Options.Seed) {
    soak_report Report = runSoak(Options);
    print(Options.Seed, Report);
    Failed += Report.Broken.empty() ? 0 : 1;
  }
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
