// Sums up a run of a policy experiment: attainment, waits, cost by stage.
#include "jasminecroft/testing/experiment_parts.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft::experiment {

namespace {

constexpr double UsPerMs = 1e3;
constexpr double MsPerSecond = 1e3;

double bottleneckSlots(const workload &Workload) {
  double Slots = 0;
  for (std::size_t I = 0; I < Workload.Pools.size(); ++I)
    if (Workload.Pools[I].Name == Workload.Bottleneck)
      Slots += static_cast<double>(Workload.Replicas[I]) *
               Workload.Pools[I].SlotsPerBackend;
  return Slots;
}

void addStages(const workload &Workload, const ask &Ask, run_result &Result) {
  const pipeline_definition &Pipeline = Workload.Classes[Ask.Class].Pipeline;
  for (const usage &Usage : Ask.Usage) {
    stage_usage &Stage = Result.Stages[Pipeline.Stages[Usage.Stage].Name.Value];
    double SlotMs = millis(Usage.To - Usage.From);
    ++Stage.Attempts;
    if (Usage.Extra)
      Stage.ExtraMs += SlotMs;
    else
      ++Stage.Calls;
    if (Usage.Kind == usage_kind::Lost)
      Stage.LostMs += SlotMs;
    else if (!Ask.InTime)
      Stage.LateMs += SlotMs;
    else if (Usage.Kind == usage_kind::Hedged)
      Stage.HedgedMs += SlotMs;
    else
      Stage.UsefulMs += SlotMs;
  }
}

// Requests with a deadline up to Deadline that cannot be met: they must fit
// into the slots from the start of a crest to Deadline after its end. The
// largest are left out first.
std::size_t leastMissed(const workload &Workload,
                        const std::vector<const ask *> &Measured,
                        core_duration Deadline, double SlotMs) {
  std::vector<double> Works;
  double Sum = 0;
  for (const ask *Ask : Measured) {
    if (Ask->Deadline > Deadline)
      continue;
    Works.push_back(bottleneckWorkMs(Workload, Workload.Classes[Ask->Class]));
    Sum += Works.back();
  }
  std::sort(Works.begin(), Works.end());
  std::size_t Missed = 0;
  while (Sum > SlotMs) {
    Sum -= Works.back();
    Works.pop_back();
    ++Missed;
  }
  return Missed;
}

double capacityBound(const workload &Workload, const scenario &Scenario,
                     const std::vector<const ask *> &Measured) {
  std::set<core_duration> Deadlines;
  for (const request_class &Class : Workload.Classes)
    Deadlines.insert(Class.Deadline);
  std::size_t Missed = 0;
  for (core_duration Deadline : Deadlines) {
    double OpenMs = 0;
    for (const load_crest &Crest : Scenario.Crests)
      OpenMs += millis(Crest.Length + Deadline);
    Missed = std::max(Missed, leastMissed(Workload, Measured, Deadline,
                                          OpenMs * bottleneckSlots(Workload)));
  }
  if (Measured.empty())
    return 100;
  return 100 - 100 * static_cast<double>(Missed) /
                   static_cast<double>(Measured.size());
}

void addAsk(const ask &Ask, run_result &Result) {
  class_result &Line = Result.Classes[Ask.Class];
  bool InTime = Ask.EventuallyInTime;
  double DeadlineMs = millis(Ask.Deadline);
  ++Line.Asked;
  Line.InTime += InTime ? 1 : 0;
  Line.Refused += Ask.InTime ? 0 : 1;
  ++Result.AskedOf[Ask.Workspace];
  Result.InTimeOf[Ask.Workspace] += InTime ? 1 : 0;
  Line.LatencyMs.push_back(Ask.Answered ? Ask.LatencyMs : DeadlineMs);
  Line.WaitMs.push_back(Ask.Answered ? Ask.WaitMs : DeadlineMs);
}

// Slot time of the bottleneck pool that the use has within the window.
double bottleneckMs(const workload &Workload, const ask &Ask,
                    const usage &Usage, core_time From, core_time To) {
  const pipeline_definition &Pipeline = Workload.Classes[Ask.Class].Pipeline;
  if (Pipeline.Stages[Usage.Stage].Pool != Workload.Bottleneck)
    return 0;
  core_time Start = std::max(Usage.From, From);
  core_time End = std::min(Usage.To, To);
  return std::max(0.0, millis(End - Start));
}

// Goodput counts what was answered in time within the window, and the slot
// time within the window that served requests answered in time.
void addGoodput(const workload &Workload, const std::deque<ask> &Asks,
                core_time From, core_time To, run_result &Result) {
  double UsefulMs = 0;
  double AllMs = 0;
  std::uint64_t Good = 0;
  for (const ask &Ask : Asks) {
    core_time Ended =
        Ask.Called + core_duration(std::llround(Ask.LatencyMs * UsPerMs));
    Good += Ask.InTime && Ended >= From && Ended < To ? 1 : 0;
    for (const usage &Usage : Ask.Usage) {
      double Ms = bottleneckMs(Workload, Ask, Usage, From, To);
      AllMs += Ms;
      UsefulMs += Ask.InTime && Usage.Kind == usage_kind::Won ? Ms : 0;
    }
  }
  double WindowMs = millis(To - From);
  double CapacityMs = WindowMs * bottleneckSlots(Workload);
  Result.GoodputPerSecond = static_cast<double>(Good) * MsPerSecond / WindowMs;
  Result.UsefulShare = UsefulMs / CapacityMs;
  Result.BusyShare = AllMs / CapacityMs;
}

} // namespace

double millis(core_duration Duration) {
  return static_cast<double>(Duration.count()) / UsPerMs;
}

run_result collectResult(const workload &Workload, const scenario &Scenario,
                         const std::deque<ask> &Asks, core_time Start) {
  run_result Result;
  Result.AskedOf.resize(Workload.WorkspaceShares.size());
  Result.InTimeOf.resize(Workload.WorkspaceShares.size());
  for (const request_class &Class : Workload.Classes) {
    class_result Line;
    Line.Name = Class.Pipeline.Name.Value;
    Line.Short = Class.Short;
    Result.Classes.push_back(Line);
  }
  std::vector<const ask *> Measured;
  for (const ask &Ask : Asks) {
    addStages(Workload, Ask, Result);
    if (Ask.Repeated || !Ask.Measured)
      continue;
    Measured.push_back(&Ask);
    addAsk(Ask, Result);
  }
  addGoodput(Workload, Asks, Start + Scenario.MeasureFrom,
             Start + Scenario.Length, Result);
  if (Scenario.MeasureCrestsOnly)
    Result.CapacityBoundPercent = capacityBound(Workload, Scenario, Measured);
  return Result;
}

double percentile(std::vector<double> Values, double Percent) {
  if (Values.empty())
    return 0;
  std::size_t Rank = static_cast<std::size_t>(
      std::ceil(Percent / 100 * static_cast<double>(Values.size())));
  Rank = std::clamp<std::size_t>(Rank, 1, Values.size()) - 1;
  auto Nth = Values.begin() + static_cast<std::ptrdiff_t>(Rank);
  std::nth_element(Values.begin(), Nth, Values.end());
  return *Nth;
}

double attainment(const run_result &Result) {
  std::uint64_t Asked = 0;
  std::uint64_t InTime = 0;
  for (const class_result &Class : Result.Classes) {
    Asked += Class.Asked;
    InTime += Class.InTime;
  }
  if (Asked == 0)
    return 100;
  return 100 * static_cast<double>(InTime) / static_cast<double>(Asked);
}

double extraLoad(const run_result &Result) {
  double Extra = 0;
  double All = 0;
  for (const std::pair<const std::string, stage_usage> &Entry : Result.Stages) {
    const stage_usage &Usage = Entry.second;
    Extra += Usage.ExtraMs;
    All += Usage.UsefulMs + Usage.LostMs + Usage.HedgedMs + Usage.LateMs;
  }
  return All == 0 ? 0 : 100 * Extra / All;
}

std::vector<double> shortWaits(const run_result &Result) {
  std::vector<double> Waits;
  for (const class_result &Class : Result.Classes)
    if (Class.Short)
      Waits.insert(Waits.end(), Class.WaitMs.begin(), Class.WaitMs.end());
  return Waits;
}

} // namespace jasminecroft::experiment
