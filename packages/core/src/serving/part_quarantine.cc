// Rulings on parts of prompts, bounded in number and time.
#include "jasminecroft/core/serving/part_quarantine.h"

#include <algorithm>
#include <tuple>

namespace jasminecroft {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Time until the first trial. Later ones come after twice as long each.
constexpr core_duration FirstQuarantine = seconds(30);
constexpr std::uint32_t MaxDoublings = 5;
/// A quarantined part that no request has had for this time after a trial was
/// due is forgotten.
constexpr core_duration UntriedRetention = minutes(10);
constexpr core_duration SuspicionTime = minutes(1);
/// Keeps late rulings of an earlier round from being applied again.
constexpr core_duration ClearedRetention = minutes(2);
constexpr std::size_t MaxRecords = 1'024;
constexpr std::size_t MaxServedParts = 8'192;

core_duration quarantineTime(std::uint32_t Trials) {
  return FirstQuarantine * (1 << std::min(Trials, MaxDoublings));
}

} // namespace

std::string_view toText(part_standing Standing) {
  switch (Standing) {
  case part_standing::Suspected:
    return "suspected";
  case part_standing::Quarantined:
    return "quarantined";
  case part_standing::Cleared:
    return "cleared";
  }
  return "suspected";
}

bool isNewer(const part_ruling &A, const part_ruling &B) {
  return std::tie(A.Round, A.Standing) > std::tie(B.Round, B.Standing);
}

void served_parts::add(prompt_part_id Part, core_time Now) {
  Times[Part] = Now;
  Order.emplace_back(Part, Now);
  while (Order.size() > MaxServedParts) {
    auto Known = Times.find(Order.front().first);
    if (Known != Times.end() && Known->second == Order.front().second)
      Times.erase(Known);
    Order.pop_front();
  }
}

part_ruling part_quarantine::put(part_ruling Ruling, core_time Now) {
  if (!Records.contains(Ruling.Part) && Records.size() >= MaxRecords)
    makeRoom();
  Records[Ruling.Part] = {Ruling, Now + Ruling.Remaining};
  return Ruling;
}

// Erases the ruling that ends first, quarantines last.
void part_quarantine::makeRoom() {
  auto Key = [](const std::pair<const prompt_part_id, record> &Entry) {
    bool Quarantined =
        Entry.second.Ruling.Standing == part_standing::Quarantined;
    return std::pair(Quarantined, Entry.second.Until);
  };
  Records.erase(std::min_element(
      Records.begin(), Records.end(),
      [&Key](const std::pair<const prompt_part_id, record> &A,
             const std::pair<const prompt_part_id, record> &B) {
        return Key(A) < Key(B);
      }));
}

bool part_quarantine::apply(part_ruling Ruling, core_time Now) {
  Ruling.Remaining = std::clamp(Ruling.Remaining, core_duration{0},
                                quarantineTime(MaxDoublings));
  auto Known = Records.find(Ruling.Part);
  if (Known != Records.end() && !isNewer(Ruling, Known->second.Ruling))
    return false;
  put(Ruling, Now);
  return true;
}

std::optional<part_ruling> part_quarantine::find(prompt_part_id Part,
                                                 core_time Now) const {
  auto Known = Records.find(Part);
  if (Known == Records.end())
    return std::nullopt;
  part_ruling Ruling = Known->second.Ruling;
  Ruling.Remaining = std::max(core_duration{0}, Known->second.Until - Now);
  return Ruling;
}

std::vector<part_ruling> part_quarantine::decided(core_time Now) const {
  std::vector<part_ruling> Result;
  for (const std::pair<const prompt_part_id, record> &Entry : Records)
    if (Entry.second.Ruling.Standing != part_standing::Suspected)
      Result.push_back(*find(Entry.first, Now));
  return Result;
}

std::optional<part_ruling> part_quarantine::suspect(prompt_part_id Part,
                                                    core_time Now) {
  auto Known = Records.find(Part);
  part_ruling Ruling{Part, 1, part_standing::Suspected, 0, SuspicionTime};
  if (Known != Records.end()) {
    if (Known->second.Ruling.Standing != part_standing::Cleared)
      return std::nullopt;
    Ruling.Round = Known->second.Ruling.Round + 1;
  }
  return put(Ruling, Now);
}

part_ruling part_quarantine::quarantine(prompt_part_id Part, core_time Now) {
  suspect(Part, Now);
  part_ruling Ruling = Records.at(Part).Ruling;
  Ruling.Standing = part_standing::Quarantined;
  Ruling.Trials = 0;
  Ruling.Remaining = quarantineTime(0);
  return put(Ruling, Now);
}

std::optional<part_ruling> part_quarantine::clear(prompt_part_id Part,
                                                  core_time Now) {
  auto Known = Records.find(Part);
  if (Known == Records.end() ||
      Known->second.Ruling.Standing == part_standing::Cleared)
    return std::nullopt;
  part_ruling Ruling = Known->second.Ruling;
  Ruling.Standing = part_standing::Cleared;
  Ruling.Remaining = ClearedRetention;
  return put(Ruling, Now);
}

part_ruling part_quarantine::beginTrial(prompt_part_id Part, core_time Now) {
  part_ruling Ruling = Records.at(Part).Ruling;
  ++Ruling.Round;
  ++Ruling.Trials;
  Ruling.Remaining = quarantineTime(Ruling.Trials);
  return put(Ruling, Now);
}

bool part_quarantine::isQuarantined(prompt_part_id Part) const {
  auto Known = Records.find(Part);
  return Known != Records.end() &&
         Known->second.Ruling.Standing == part_standing::Quarantined;
}

std::optional<core_duration> part_quarantine::trialDueFor(prompt_part_id Part,
                                                          core_time Now) const {
  auto Known = Records.find(Part);
  if (!isQuarantined(Part) || Now < Known->second.Until)
    return std::nullopt;
  return Now - Known->second.Until;
}

std::size_t part_quarantine::quarantinedCount() const {
  return static_cast<std::size_t>(std::count_if(
      Records.begin(), Records.end(),
      [](const std::pair<const prompt_part_id, record> &Entry) {
        return Entry.second.Ruling.Standing == part_standing::Quarantined;
      }));
}

void part_quarantine::expire(core_time Now) {
  std::erase_if(
      Records, [Now](const std::pair<const prompt_part_id, record> &Entry) {
        const record &Record = Entry.second;
        bool Quarantined = Record.Ruling.Standing == part_standing::Quarantined;
        return Record.Until +
                   (Quarantined ? UntriedRetention : core_duration{0}) <=
               Now;
      });
}

} // namespace jasminecroft
