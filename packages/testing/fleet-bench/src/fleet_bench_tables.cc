// Tables of the fleet bench.
#include "jasminecroft/bench/fleet_bench.h"

#include <iomanip>

namespace jasminecroft::bench {

namespace {

constexpr int NameWidth = 20;
constexpr int Width = 11;

double millis(core_duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// Writes one row: a name and cells of the same width.
class row_writer {
public:
  row_writer(std::ostream &Out, const std::string &Name) : Out(Out) {
    Out << std::left << std::setw(NameWidth) << Name << std::right;
  }
  ~row_writer() { Out << '\n'; }
  row_writer(const row_writer &) = delete;
  row_writer &operator=(const row_writer &) = delete;

  row_writer &cell(const char *Text) {
    Out << ' ' << std::setw(Width) << Text;
    return *this;
  }
  row_writer &cell(std::uint64_t Number) {
    Out << ' ' << std::setw(Width) << Number;
    return *this;
  }
  row_writer &cell(double Number) {
    Out << ' ' << std::setw(Width) << std::fixed << std::setprecision(1)
        << Number;
    return *this;
  }

private:
  std::ostream &Out;
};

void printSteady(std::ostream &Out, const std::string &Name,
                 const steady_result &R) {
  row_writer(Out, Name)
      .cell(R.MeanSentBytes)
      .cell(R.MostSentBytes)
      .cell(R.MeanBothBytes)
      .cell(R.MostBothBytes)
      .cell(R.MeanSentMessages)
      .cell(R.LargestMessage)
      .cell(R.LoadPolls)
      .cell(R.CpuMicros)
      .cell(R.Suspicions)
      .cell(R.Deaths)
      .cell(R.PlatformCalls);
}

void printSteadyHead(std::ostream &Out, const std::string &Title) {
  Out << '\n' << Title << '\n';
  row_writer(Out, "")
      .cell("sent")
      .cell("sent most")
      .cell("both")
      .cell("both most")
      .cell("messages")
      .cell("largest B")
      .cell("polls")
      .cell("cpu us")
      .cell("suspected")
      .cell("dead")
      .cell("platform/s");
}

void printSpread(std::ostream &Out, const std::string &Name,
                 const spread_result &R) {
  row_writer(Out, Name)
      .cell(millis(R.Median))
      .cell(millis(R.Longest))
      .cell(R.Missing)
      .cell(R.Samples);
}

void printSpreadHead(std::ostream &Out, const std::string &Title) {
  Out << '\n' << Title << '\n';
  row_writer(Out, "").cell("median").cell("longest").cell("missing").cell(
      "samples");
}

} // namespace

void printTables(std::ostream &Out, const std::vector<fleet_results> &Results) {
  printSteadyHead(Out, "Steady state, 2% loss: bytes, messages, polls and "
                       "processor time per host and second");
  for (const fleet_results &R : Results)
    printSteady(Out, R.Size.Name, R.Steady);
  printSteadyHead(Out, "One zone cut off from the others and the platform");
  for (const fleet_results &R : Results)
    if (R.Size.Zones > 1)
      printSteady(Out, R.Size.Name, R.Cut);
  printSpreadHead(Out, "Configuration change in force, ms after the write");
  for (const fleet_results &R : Results)
    printSpread(Out, R.Size.Name, R.ConfigChange);
  printSpreadHead(Out, "Change written at the end of an outage, ms");
  for (const fleet_results &R : Results)
    printSpread(Out, R.Size.Name, R.Outage.ChangeAtReturn);
  printSpreadHead(Out, "Change in the zone that was cut, ms after healing");
  for (const fleet_results &R : Results)
    if (R.Size.Zones > 1)
      printSpread(Out, R.Size.Name, R.ChangeAfterHeal);
  printSpreadHead(Out, "Leaving backend server known, ms after it leaves");
  for (const fleet_results &R : Results)
    printSpread(Out, R.Size.Name, R.Leaving);
  printSpreadHead(Out, "The same while the platform is away");
  for (const fleet_results &R : Results)
    printSpread(Out, R.Size.Name, R.LeavingWithoutPlatform);
  Out << "\nPlatform calls per second, whole fleet\n";
  row_writer(Out, "").cell("steady").cell("outage").cell("most after");
  for (const fleet_results &R : Results)
    row_writer(Out, R.Size.Name)
        .cell(R.Outage.CallsBefore)
        .cell(R.Outage.CallsDuring)
        .cell(R.Outage.MostAfter);
}

void printMemory(std::ostream &Out, const memory_slopes &Slopes) {
  Out << "\nMemory of one core, bytes\n";
  row_writer(Out, "")
      .cell("per member")
      .cell("per backend")
      .cell("per worksp.")
      .cell("at target");
  row_writer(Out, "")
      .cell(Slopes.PerMember)
      .cell(Slopes.PerBackend)
      .cell(Slopes.PerWorkspace)
      .cell(Slopes.AtTarget);
}

} // namespace jasminecroft::bench
