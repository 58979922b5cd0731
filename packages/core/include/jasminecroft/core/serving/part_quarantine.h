// Parts of prompts that crash backend servers: what each entry host knows of
// them. Hosts exchange rulings; the newer one of a part counts at every host.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminecroft {

using prompt_part_id = strong_number<struct prompt_part_tag>;

/// In ascending order of precedence within a round.
enum class part_standing {
  /// Was in a request that may have crashed a server. Hosts report the next
  /// reply to a request with it.
  Suspected,
  /// Requests with it are refused.
  Quarantined,
  /// A request with it got a reply after the crashes.
  Cleared,
};

std::string_view toText(part_standing Standing);

struct part_ruling {
  prompt_part_id Part;
  /// Grows with each suspicion and each trial.
  std::uint32_t Round = 0;
  part_standing Standing = part_standing::Suspected;
  /// Number of trials so far; each doubles the time until the next one.
  std::uint32_t Trials = 0;
  /// Time for which it holds, counted from the sending of the message; of a
  /// quarantine, the time until the next trial.
  core_duration Remaining{0};
  bool operator==(const part_ruling &) const = default;
};

/// Returns whether A replaces B.
bool isNewer(const part_ruling &A, const part_ruling &B);

/// Parts to which this host has recently relayed replies, the most recent ones.
class served_parts {
public:
  void add(prompt_part_id Part, core_time Now);
  bool contains(prompt_part_id Part) const { return Times.contains(Part); }

private:
  std::map<prompt_part_id, core_time> Times;
  /// In the order of the times; outdated entries are skipped.
  std::deque<std::pair<prompt_part_id, core_time>> Order;
};

class part_quarantine {
public:
  /// Returns true if the ruling replaced the known one.
  bool apply(part_ruling Ruling, core_time Now);
  /// Returns the ruling on a part, if there is one.
  std::optional<part_ruling> find(prompt_part_id Part, core_time Now) const;
  /// Returns all rulings except suspicions, for hosts that may lack them.
  std::vector<part_ruling> decided(core_time Now) const;

  /// Each of these applies a new ruling and returns it for the other hosts.
  /// Suspects a part that is neither suspected nor quarantined; nothing if it
  /// is.
  std::optional<part_ruling> suspect(prompt_part_id Part, core_time Now);
  part_ruling quarantine(prompt_part_id Part, core_time Now);
  /// Clears a part that is suspected or quarantined; nothing if it is not.
  std::optional<part_ruling> clear(prompt_part_id Part, core_time Now);
  /// Begins a trial of a quarantined part: the quarantine goes on in a new
  /// round, which only the trial's success ends.
  part_ruling beginTrial(prompt_part_id Part, core_time Now);

  bool isQuarantined(prompt_part_id Part) const;
  /// Time since a trial has been due; absent if none is.
  std::optional<core_duration> trialDueFor(prompt_part_id Part,
                                           core_time Now) const;
  bool empty() const { return Records.empty(); }
  std::size_t quarantinedCount() const;
  /// Erases rulings that no longer hold.
  void expire(core_time Now);

private:
  struct record {
    part_ruling Ruling;
    /// Time of Remaining.
    core_time Until;
  };
  part_ruling put(part_ruling Ruling, core_time Now);
  void makeRoom();

  std::map<prompt_part_id, record> Records;
};

} // namespace jasminecroft
