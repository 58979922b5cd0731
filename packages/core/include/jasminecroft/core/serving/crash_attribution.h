// Finds the parts of prompts that crash backend servers from the calls that
// broke at each crash. Runs at two hosts, to which all others report.
#pragma once

#include "jasminecroft/core/serving/part_quarantine.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jasminecroft {

struct crash_candidate {
  prompt_part_id Part;
  /// The reporting host has relayed a reply to a request with it.
  bool ServedBefore = false;
  bool operator==(const crash_candidate &) const = default;
};

/// A call that broke before the first event of its reply.
struct crash_report {
  backend_id Server;
  incarnation Run;
  /// The head of the reply had arrived: the server had begun to work on it.
  bool HeadArrived = false;
  /// Shared parts of the prompt, in order.
  std::vector<crash_candidate> Parts;
  bool operator==(const crash_report &) const = default;
};

class crash_attribution {
public:
  struct verdicts {
    /// Candidates of recent crashes.
    std::vector<prompt_part_id> Suspected;
    std::vector<prompt_part_id> Guilty;
    /// Held guilty earlier; another guilty part explains their crashes.
    std::vector<prompt_part_id> Innocent;
  };

  void onReport(const crash_report &Report, core_time Now);
  /// Attributes the crashes of which all reports have arrived. Those with a
  /// request that has a quarantined part need no other cause.
  verdicts takeVerdicts(const part_quarantine &Quarantine, core_time Now);
  /// A request with the part got a reply.
  void onCleared(prompt_part_id Part);
  /// Another host held a part guilty, from crashes that this one may have
  /// counted against other parts too: all evidence starts anew.
  void onJudgedElsewhere();
  std::optional<core_time> nextWakeup() const;
  /// Number of crashes that count against a part.
  std::size_t crashesOf(prompt_part_id Part) const;

private:
  struct crash {
    backend_id Server;
    incarnation Run;
    core_time At;
    std::vector<crash_report> Reports;
  };
  struct evidence {
    /// Crashes at which a request with the part had a head and no event, and
    /// those at which no request had got that far.
    std::uint32_t WithHead = 0;
    std::uint32_t WithoutHead = 0;
    bool ServedBefore = false;
    core_time LastAt;
    std::set<std::pair<backend_id, incarnation>> Servers;
    bool sufficient() const;
    std::uint32_t weight() const { return 2 * WithHead + WithoutHead; }
    /// Parts without earlier replies come last.
    std::pair<bool, std::uint32_t> strength() const {
      return {!ServedBefore, weight()};
    }
  };

  void attribute(const crash &Crash, const part_quarantine &Quarantine,
                 verdicts &Verdicts);
  void count(const crash_candidate &Candidate, const crash &Crash,
             bool HeadArrived);
  void judge(const crash_report &Report, verdicts &Verdicts);
  void makeRoom();

  /// In the order of their first reports.
  std::deque<crash> Crashes;
  std::map<prompt_part_id, evidence> Evidence;
  /// Guilty parts, with those that had no less evidence against them.
  std::map<prompt_part_id, std::vector<prompt_part_id>> Alternatives;
};

} // namespace jasminecroft
