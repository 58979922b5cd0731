// Scenarios of the policy experiment and the figures drawn from them.
#include "jasminecroft/testing/experiment_suite.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace jasminecroft::experiment {

namespace {

constexpr core_duration Second{1'000'000};
constexpr double WantedWaitRatio = 10;
constexpr double WantedSlowRatio = 1.5;
constexpr double WantedCrestPoints = 20;
/// A seed's attainment this close to the capacity bound counts as at it.
constexpr double BoundTolerancePoints = 2;
constexpr double AllowedExtraPercent = 5;
constexpr double AllowedLossPoints = 1;
constexpr double WantedFlatness = 0.9;
/// Waits below this are equal to none.
constexpr double NoWaitMs = 1;

/// Both policies' results of one scenario, a run for each seed.
struct runs {
  std::vector<run_result> Baseline;
  std::vector<run_result> Policy;
};

runs runBoth(const workload &Workload, const scenario &Scenario,
             std::size_t Seeds) {
  runs Runs;
  for (std::size_t Seed = 1; Seed <= Seeds; ++Seed) {
    Runs.Baseline.push_back(
        runScenario(Workload, Scenario, scheduler_kind::Baseline, Seed));
    Runs.Policy.push_back(
        runScenario(Workload, Scenario, scheduler_kind::Full, Seed));
  }
  return Runs;
}

template <typename Function>
std::vector<double> each(const std::vector<run_result> &Results,
                         Function Value) {
  std::vector<double> Values;
  Values.reserve(Results.size());
  for (const run_result &Result : Results)
    Values.push_back(Value(Result));
  return Values;
}

std::vector<double> latenciesOf(const run_result &Result,
                                const std::string &Class) {
  std::vector<double> All;
  for (const class_result &Line : Result.Classes)
    if (Class.empty() ? Line.Short : Line.Name == Class)
      All.insert(All.end(), Line.LatencyMs.begin(), Line.LatencyMs.end());
  return All;
}

double p99Latency(const run_result &Result, const std::string &Class) {
  return percentile(latenciesOf(Result, Class), 99);
}

double workspaceAttainment(const run_result &Result, std::size_t Workspace) {
  if (Result.AskedOf[Workspace] == 0)
    return 100;
  return 100 * static_cast<double>(Result.InTimeOf[Workspace]) /
         static_cast<double>(Result.AskedOf[Workspace]);
}

class suite {
public:
  explicit suite(const suite_options &Options) : Options(Options) {}

  std::vector<figure> run() {
    for (const workload &Workload :
         {escalerasWorkload(), consorcioWorkload()}) {
      Current = &Workload;
      if (wanted("end-to-end"))
        endToEnd();
      if (wanted("crest"))
        crest();
      if (wanted("short-behind-long"))
        shortBehindLong();
      if (wanted("slowed"))
        slowed();
      if (wanted("greedy"))
        greedy();
      if (wanted("overload"))
        overload();
    }
    return Figures;
  }

private:
  bool wanted(const std::string &Part) const {
    return Options.Only.empty() ||
           (Current->Name + "/" + Part).find(Options.Only) != std::string::npos;
  }

  figure &add(const std::string &Measure, const std::string &Unit,
              std::vector<double> Baseline, std::vector<double> Policy) {
    Figures.push_back({Current->Name, Measure, Unit, std::move(Baseline),
                       std::move(Policy), "", std::nullopt});
    return Figures.back();
  }

  template <typename Function>
  figure &add(const std::string &Measure, const std::string &Unit,
              const runs &Runs, Function Value) {
    return add(Measure, Unit, each(Runs.Baseline, Value),
               each(Runs.Policy, Value));
  }

  template <typename Function>
  static void target(figure &Figure, const std::string &Text,
                     Function Reached) {
    Figure.Target = Text;
    Figure.Met = true;
    for (std::size_t I = 0; I < Figure.Policy.size(); ++I)
      Figure.Met = *Figure.Met && Reached(Figure.Baseline[I], Figure.Policy[I]);
  }

  void addExtraLoad(const std::string &Scenario, const runs &Runs) {
    figure &Extra =
        add(Scenario + ": extra load by second attempts", "%", Runs, extraLoad);
    target(Extra, "<= 5",
           [](double, double Policy) { return Policy <= AllowedExtraPercent; });
  }

  void addStages(const runs &Runs) {
    for (const std::pair<const std::string, stage_usage> &Entry :
         Runs.Policy.front().Stages) {
      std::string Name = Entry.first;
      addStage(Runs, Name, "slot time useful", &stage_usage::UsefulMs);
      addStage(Runs, Name, "wasted, lost", &stage_usage::LostMs);
      addStage(Runs, Name, "wasted, hedged", &stage_usage::HedgedMs);
      addStage(Runs, Name, "wasted, late", &stage_usage::LateMs);
    }
  }

  void addStage(const runs &Runs, const std::string &Stage,
                const std::string &What, double stage_usage::*Part) {
    add("end-to-end: stage " + Stage + ", " + What, "s", Runs,
        [Stage, Part](const run_result &Result) {
          auto Found = Result.Stages.find(Stage);
          return Found == Result.Stages.end() ? 0 : Found->second.*Part / 1'000;
        });
  }

  void endToEnd() {
    runs Runs = runBoth(*Current, normalScenario(), Options.Seeds);
    add("end-to-end: attainment", "%", Runs, attainment);
    for (std::size_t C = 0; C < Current->Classes.size(); ++C)
      add("end-to-end: attainment of " +
              Current->Classes[C].Pipeline.Name.Value,
          "%", Runs, [C](const run_result &Result) {
            const class_result &Line = Result.Classes[C];
            return Line.Asked == 0 ? 100
                                   : 100 * static_cast<double>(Line.InTime) /
                                         static_cast<double>(Line.Asked);
          });
    for (std::size_t W = 0; W < Current->WorkspaceShares.size(); ++W)
      add("end-to-end: attainment of workspace " + std::to_string(W), "%", Runs,
          [W](const run_result &Result) {
            return workspaceAttainment(Result, W);
          });
    add("end-to-end: p99 latency of short classes", "ms", Runs,
        [](const run_result &Result) { return p99Latency(Result, ""); });
    addExtraLoad("end-to-end", Runs);
    addStages(Runs);
  }

  void crest() {
    runs Runs = runBoth(*Current, crestScenario(), Options.Seeds);
    std::vector<double> Bounds = each(Runs.Policy, [](const run_result &R) {
      return R.CapacityBoundPercent;
    });
    double Bound = *std::min_element(Bounds.begin(), Bounds.end());
    figure &Figure = add("crest: attainment", "%", Runs, attainment);
    target(Figure, ">= baseline + 20 or bound", [Bound](double Base, double P) {
      return P >= Base + WantedCrestPoints || P >= Bound - BoundTolerancePoints;
    });
    add("crest: bound set by capacity", "%", Bounds, Bounds);
    scenario OneHost = crestScenario();
    OneHost.OneHost = true;
    add("crest: attainment if one entry host saw all", "%",
        runBoth(*Current, OneHost, Options.Seeds), attainment);
    for (std::size_t W = 0; W < Current->WorkspaceShares.size(); ++W)
      add("crest: attainment of workspace " + std::to_string(W), "%", Runs,
          [W](const run_result &Result) {
            return workspaceAttainment(Result, W);
          });
    addExtraLoad("crest", Runs);
  }

  void shortBehindLong() {
    runs Runs = runBoth(*Current, longBurstScenario(), Options.Seeds);
    add("short-behind-long: p50 wait of short work", "ms", Runs,
        [](const run_result &R) { return percentile(shortWaits(R), 50); });
    figure &Wait =
        add("short-behind-long: p99 wait of short work", "ms", Runs,
            [](const run_result &R) { return percentile(shortWaits(R), 99); });
    target(Wait, "10x below baseline", [](double Base, double Policy) {
      return Policy * WantedWaitRatio <= std::max(Base, NoWaitMs);
    });
    add("short-behind-long: attainment", "%", Runs, attainment);
    for (std::size_t C = 0; C < Current->Classes.size(); ++C)
      if (!Current->Classes[C].Short)
        add("short-behind-long: attainment of " +
                Current->Classes[C].Pipeline.Name.Value,
            "%", Runs, [C](const run_result &Result) {
              const class_result &Line = Result.Classes[C];
              return Line.Asked == 0 ? 100
                                     : 100 * static_cast<double>(Line.InTime) /
                                           static_cast<double>(Line.Asked);
            });
    addExtraLoad("short-behind-long", Runs);
  }

  void slowed() {
    scenario Slow = slowedScenario();
    scenario Plain = Slow;
    Plain.SlowFifth = 1;
    runs Before = runBoth(*Current, Plain, Options.Seeds);
    runs After = runBoth(*Current, Slow, Options.Seeds);
    addSlowed("", Before, After);
    for (const request_class &Class : Current->Classes)
      if (Class.Short)
        addSlowed(Class.Pipeline.Name.Value, Before, After);
    add("slowed: attainment", "%", After, attainment);
    addExtraLoad("slowed", After);
  }

  void addSlowed(const std::string &Class, const runs &Before,
                 const runs &After) {
    auto Value = [&Class](const run_result &Result) {
      return p99Latency(Result, Class);
    };
    std::string Name = Class.empty() ? "short classes" : Class;
    add("slowed: p99 latency of " + Name + ", none slowed", "ms", Before,
        Value);
    add("slowed: p99 latency of " + Name + ", a fifth 5x", "ms", After, Value);
    std::vector<double> Baseline;
    std::vector<double> Policy;
    for (std::size_t I = 0; I < Options.Seeds; ++I) {
      Baseline.push_back(Value(After.Baseline[I]) / Value(Before.Baseline[I]));
      Policy.push_back(Value(After.Policy[I]) / Value(Before.Policy[I]));
    }
    figure &Ratio =
        add("slowed: ratio of p99 of " + Name, "x", Baseline, Policy);
    if (Class.empty())
      target(Ratio, "<= 1.5",
             [](double, double P) { return P <= WantedSlowRatio; });
  }

  void greedy() {
    scenario Greedy = greedyWorkspaceScenario();
    scenario Plain = Greedy;
    Plain.LastWorkspaceFactor = 1;
    runs Before = runBoth(*Current, Plain, Options.Seeds);
    runs After = runBoth(*Current, Greedy, Options.Seeds);
    std::vector<double> Baseline;
    std::vector<double> Policy;
    for (std::size_t I = 0; I < Options.Seeds; ++I) {
      Baseline.push_back(largestLoss(Before.Baseline[I], After.Baseline[I]));
      Policy.push_back(largestLoss(Before.Policy[I], After.Policy[I]));
    }
    figure &Loss = add("greedy: largest loss of another workspace", "points",
                       Baseline, Policy);
    target(Loss, "<= 1",
           [](double, double P) { return P <= AllowedLossPoints; });
    std::size_t Last = Current->WorkspaceShares.size() - 1;
    add("greedy: attainment of the greedy workspace", "%", After,
        [Last](const run_result &R) { return workspaceAttainment(R, Last); });
    add("greedy: useful slot time", "%", After,
        [](const run_result &R) { return 100 * R.UsefulShare; });
  }

  // Compares with the first load's figure, which First keeps.
  static void wantFlat(figure &Figure, std::vector<double> &First) {
    if (First.empty())
      First = Figure.Policy;
    std::size_t Seed = 0;
    target(Figure, ">= 0.9 of that at 1x", [&](double, double Policy) {
      return Policy >= WantedFlatness * First[Seed++];
    });
  }

  void overload() {
    std::vector<double> FirstRate;
    std::vector<double> FirstWork;
    for (double Load : {1.0, 1.5, 3.0, 10.0}) {
      runs Runs = runBoth(*Current, overloadScenario(Load), Options.Seeds);
      char Name[32];
      std::snprintf(Name, sizeof Name, "overload %gx: ", Load);
      figure &Goodput =
          add(Name + std::string("goodput"), "requests/s", Runs,
              [](const run_result &R) { return R.GoodputPerSecond; });
      wantFlat(Goodput, FirstRate);
      figure &Work =
          add(Name + std::string("useful slot time"), "%", Runs,
              [](const run_result &R) { return 100 * R.UsefulShare; });
      wantFlat(Work, FirstWork);
      add(Name + std::string("busy slot time"), "%", Runs,
          [](const run_result &R) { return 100 * R.BusyShare; });
      addExtraLoad(std::string(Name, std::string(Name).size() - 2), Runs);
    }
  }

  suite_options Options;
  const workload *Current = nullptr;
  std::vector<figure> Figures;
};

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (double Value : Values)
    Sum += Value;
  return Values.empty() ? 0 : Sum / static_cast<double>(Values.size());
}

std::string spread(const std::vector<double> &Values) {
  char Text[96];
  std::snprintf(Text, sizeof Text, "%.4g (%.4g..%.4g)", mean(Values),
                *std::min_element(Values.begin(), Values.end()),
                *std::max_element(Values.begin(), Values.end()));
  return Text;
}

} // namespace

scenario normalScenario() {
  scenario Scenario;
  Scenario.Name = "normal";
  Scenario.Crests = {{8 * Second, 3 * Second, 2, false},
                     {20 * Second, 3 * Second, 2, false},
                     {32 * Second, 3 * Second, 2, false}};
  return Scenario;
}

scenario crestScenario() {
  scenario Scenario;
  Scenario.Name = "crest";
  Scenario.Length = 45 * Second;
  Scenario.Load = 0.6;
  Scenario.Crests = {{8 * Second, 4 * Second, 3, false},
                     {24 * Second, 4 * Second, 3, false},
                     {38 * Second, 3 * Second, 4, false}};
  Scenario.MeasureCrestsOnly = true;
  return Scenario;
}

scenario longBurstScenario() {
  scenario Scenario;
  Scenario.Name = "long burst";
  Scenario.Load = 0.55;
  Scenario.MeasureFrom = 10 * Second;
  Scenario.Crests = {{10 * Second, 10 * Second, 6, true}};
  return Scenario;
}

scenario slowedScenario() {
  scenario Scenario;
  Scenario.Name = "slowed";
  Scenario.Length = 50 * Second;
  Scenario.Load = 0.5;
  Scenario.MeasureFrom = 10 * Second;
  Scenario.SlowSpells = false;
  Scenario.SlowFifth = 5;
  Scenario.SlowFrom = 10 * Second;
  return Scenario;
}

scenario greedyWorkspaceScenario() {
  scenario Scenario;
  Scenario.Name = "greedy workspace";
  Scenario.Load = 0.6;
  Scenario.MeasureFrom = 10 * Second;
  Scenario.LastWorkspaceFactor = 10;
  return Scenario;
}

scenario overloadScenario(double Load) {
  scenario Scenario;
  Scenario.Name = "overload";
  Scenario.Load = Load;
  Scenario.Length = 25 * Second;
  Scenario.MeasureFrom = 5 * Second;
  Scenario.CallerRetries = 3;
  return Scenario;
}

double largestLoss(const run_result &Before, const run_result &After) {
  double Largest = 0;
  for (std::size_t W = 0; W + 1 < Before.AskedOf.size(); ++W)
    Largest = std::max(Largest, workspaceAttainment(Before, W) -
                                    workspaceAttainment(After, W));
  return Largest;
}

std::vector<figure> runSuite(const suite_options &Options) {
  return suite(Options).run();
}

std::string toTable(const std::vector<figure> &Figures) {
  std::string Table;
  char Line[512];
  std::snprintf(Line, sizeof Line, "%-10s %-58s %-10s %-28s %-28s %s\n",
                "workload", "measure", "unit", "baseline mean (spread)",
                "policy mean (spread)", "target");
  Table += Line;
  for (const figure &Figure : Figures) {
    std::string Target = Figure.Target;
    if (Figure.Met)
      Target += *Figure.Met ? ": met" : ": NOT met";
    std::snprintf(Line, sizeof Line, "%-10s %-58s %-10s %-28s %-28s %s\n",
                  Figure.Workload.c_str(), Figure.Measure.c_str(),
                  Figure.Unit.c_str(), spread(Figure.Baseline).c_str(),
                  spread(Figure.Policy).c_str(), Target.c_str());
    Table += Line;
  }
  return Table;
}

} // namespace jasminecroft::experiment
