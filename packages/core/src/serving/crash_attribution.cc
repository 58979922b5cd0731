// Counts the crashes at which each part was a candidate since the last reply
// to a request with it.
#include "jasminecroft/core/serving/crash_attribution.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

/// Reports of one crash arrive within this time.
constexpr core_duration CollectTime = milliseconds(50);
/// Servers that end within this time may have one other cause, such as the
/// loss of a machine, and count as one crash.
constexpr core_duration SameCause = milliseconds(200);
constexpr core_duration EvidenceTime = minutes(1);
constexpr std::uint32_t CrashesWithHead = 2;
constexpr std::uint32_t CrashesInAll = 3;
constexpr std::size_t MaxCrashes = 256;
constexpr std::size_t MaxReportsPerCrash = 256;
constexpr std::size_t MaxEvidence = 4'096;

bool contains(const std::vector<prompt_part_id> &Parts, prompt_part_id Part) {
  return std::find(Parts.begin(), Parts.end(), Part) != Parts.end();
}

} // namespace

bool crash_attribution::evidence::sufficient() const {
  std::uint32_t More = ServedBefore ? 1 : 0;
  return WithHead >= CrashesWithHead + More ||
         WithHead + WithoutHead >= CrashesInAll + More;
}

void crash_attribution::onReport(const crash_report &Report, core_time Now) {
  auto Found = std::find_if(
      Crashes.begin(), Crashes.end(), [&Report](const crash &Crash) {
        return Crash.Server == Report.Server && Crash.Run == Report.Run;
      });
  if (Found == Crashes.end()) {
    if (Crashes.size() >= MaxCrashes)
      return;
    Crashes.push_back({Report.Server, Report.Run, Now, {}});
    Found = std::prev(Crashes.end());
  }
  if (Found->Reports.size() < MaxReportsPerCrash)
    Found->Reports.push_back(Report);
}

std::optional<core_time> crash_attribution::nextWakeup() const {
  if (Crashes.empty())
    return std::nullopt;
  return Crashes.front().At + CollectTime;
}

crash_attribution::verdicts
crash_attribution::takeVerdicts(const part_quarantine &Quarantine,
                                core_time Now) {
  verdicts Verdicts;
  while (!Crashes.empty() && Crashes.front().At + CollectTime <= Now) {
    crash Crash = std::move(Crashes.front());
    Crashes.pop_front();
    attribute(Crash, Quarantine, Verdicts);
  }
  return Verdicts;
}

void crash_attribution::attribute(const crash &Crash,
                                  const part_quarantine &Quarantine,
                                  verdicts &Verdicts) {
  bool AnyHead = false;
  for (const crash_report &Report : Crash.Reports) {
    AnyHead = AnyHead || Report.HeadArrived;
    for (const crash_candidate &Candidate : Report.Parts)
      if (Quarantine.isQuarantined(Candidate.Part) ||
          contains(Verdicts.Guilty, Candidate.Part))
        return;
  }
  std::set<prompt_part_id> Counted;
  for (const crash_report &Report : Crash.Reports)
    if (Report.HeadArrived == AnyHead)
      for (const crash_candidate &Candidate : Report.Parts)
        if (Counted.insert(Candidate.Part).second)
          count(Candidate, Crash, AnyHead);
  for (const crash_report &Report : Crash.Reports)
    if (Report.HeadArrived == AnyHead)
      judge(Report, Verdicts);
  for (prompt_part_id Part : Counted)
    if (AnyHead || crashesOf(Part) >= CrashesWithHead)
      Verdicts.Suspected.push_back(Part);
}

void crash_attribution::count(const crash_candidate &Candidate,
                              const crash &Crash, bool HeadArrived) {
  if (!Evidence.contains(Candidate.Part) && Evidence.size() >= MaxEvidence)
    makeRoom();
  evidence &Known = Evidence[Candidate.Part];
  if (Crash.At - Known.LastAt > EvidenceTime)
    Known = evidence{};
  Known.ServedBefore = Known.ServedBefore || Candidate.ServedBefore;
  bool SameCrash =
      !Known.Servers.empty() && Crash.At - Known.LastAt < SameCause;
  if (SameCrash || !Known.Servers.insert({Crash.Server, Crash.Run}).second)
    return;
  ++(HeadArrived ? Known.WithHead : Known.WithoutHead);
  Known.LastAt = Crash.At;
}

// Holds one part of the request guilty if there is enough evidence: first one
// without earlier replies, then the one with most evidence, then the last one,
// which the fewest other requests have. If it was another one, further crashes
// without the held one tell.
void crash_attribution::judge(const crash_report &Report, verdicts &Verdicts) {
  std::vector<prompt_part_id> Sufficient;
  for (const crash_candidate &Candidate : Report.Parts)
    if (Evidence[Candidate.Part].sufficient())
      Sufficient.push_back(Candidate.Part);
  if (Sufficient.empty())
    return;
  std::stable_sort(Sufficient.begin(), Sufficient.end(),
                   [this](prompt_part_id A, prompt_part_id B) {
                     return Evidence[A].strength() < Evidence[B].strength();
                   });
  prompt_part_id Guilty = Sufficient.back();
  if (contains(Verdicts.Guilty, Guilty))
    return;
  Verdicts.Guilty.push_back(Guilty);
  for (const std::pair<const prompt_part_id, std::vector<prompt_part_id>>
           &Earlier : Alternatives)
    if (contains(Earlier.second, Guilty))
      Verdicts.Innocent.push_back(Earlier.first);
  for (prompt_part_id Part : Verdicts.Innocent)
    onCleared(Part);
  // Its crashes are explained: evidence against the others starts anew.
  std::uint32_t Weight = Evidence[Guilty].weight();
  std::vector<prompt_part_id> &Others = Alternatives[Guilty];
  for (const crash_candidate &Candidate : Report.Parts) {
    if (Candidate.Part == Guilty)
      continue;
    evidence &Other = Evidence[Candidate.Part];
    if (Other.weight() >= Weight)
      Others.push_back(Candidate.Part);
    bool ServedBefore = Other.ServedBefore;
    Other = evidence{};
    Other.ServedBefore = ServedBefore;
  }
}

void crash_attribution::onCleared(prompt_part_id Part) {
  Evidence.erase(Part);
  Alternatives.erase(Part);
}

void crash_attribution::onJudgedElsewhere() { Evidence.clear(); }

std::size_t crash_attribution::crashesOf(prompt_part_id Part) const {
  auto Found = Evidence.find(Part);
  return Found == Evidence.end()
             ? 0
             : Found->second.WithHead + Found->second.WithoutHead;
}

// Erases the oldest evidence.
void crash_attribution::makeRoom() {
  auto Oldest =
      std::min_element(Evidence.begin(), Evidence.end(),
                       [](const std::pair<const prompt_part_id, evidence> &A,
                          const std::pair<const prompt_part_id, evidence> &B) {
                         return A.second.LastAt < B.second.LastAt;
                       });
  Alternatives.erase(Oldest->first);
  Evidence.erase(Oldest);
}

} // namespace jasminecroft
