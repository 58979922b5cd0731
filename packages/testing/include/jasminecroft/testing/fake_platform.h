// The platform's object API in memory, with its faults.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/testing/virtual_time.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace jasminecroft::testing {

enum class platform_fault {
  None,
  /// Calls fail or hang; open watches break or hang.
  Away,
  /// Calls take up to seconds; some take effect after the caller gave up.
  Slow,
  /// Half of the calls are refused without effect.
  Refuses,
  /// Half of the answers are lost after the effect.
  LosesAnswers,
  /// Half of the calls take effect only after the caller's time-out.
  AppliesLate,
  /// Half of the watches answer at once with the object's previous value.
  StaleWatches,
};
inline constexpr std::uint32_t PlatformFaultCount = 7;

/// What the platform did; calls are counted by purpose as a tally of load.
struct platform_counts {
  std::uint64_t Calls = 0;
  std::uint64_t ClaimCalls = 0;
  std::uint64_t Refused = 0;
  std::uint64_t AnswersLost = 0;
  std::uint64_t AppliedLate = 0;
  std::uint64_t StaleAnswers = 0;
};

class fake_platform {
public:
  using reply_function = std::function<void(const platform_result &)>;
  using write_listener =
      std::function<void(const object_key &, const stored_object &)>;

  fake_platform(event_queue &Queue, random_source &Random)
      : Queue(Queue), Random(Random) {}

  void setFault(platform_fault NewFault);
  platform_fault fault() const { return Fault; }
  /// Since when there has been no fault; meaningful only while there is none.
  core_time healthySince() const { return HealthySince; }
  void cutZone(const zone_id &Zone);
  void healZone(const zone_id &Zone);
  void healAllZones();
  bool reachable(const zone_id &Zone) const { return !CutZones.contains(Zone); }
  core_time reachableSince(const zone_id &Zone) const;

  /// Reply comes exactly once: the answer, or no answer after Timeout.
  void call(const zone_id &From, const call_platform &Call,
            const reply_function &Reply);
  /// The platform's own write; always succeeds.
  void put(const object_key &Key, const stored_object &Value);
  /// Absent objects give null.
  const stored_object *find(const object_key &Key) const;
  /// Called for each write and delete that took effect; a delete hands over
  /// the value deleted.
  void onWrite(write_listener Listener) { Written = std::move(Listener); }
  const platform_counts &counts() const { return Counts; }
  std::size_t objectCount() const { return Objects.size(); }

private:
  struct stored_entry {
    stored_object Value;
    object_version Version;
    std::optional<stored_object> Previous;
    object_version PreviousVersion;
  };
  /// A call under way; answered at most once.
  struct pending_call {
    zone_id From;
    platform_operation Operation;
    core_duration Timeout{0};
    reply_function Reply;
    bool Answered = false;
  };
  using pending_pointer = std::shared_ptr<pending_call>;

  core_duration requestDelay(core_duration Timeout);
  void arrive(const pending_pointer &Pending);
  void answer(const pending_pointer &Pending, const platform_result &Result);
  void answerLater(const pending_pointer &Pending,
                   const platform_result &Result);
  void watch(const pending_pointer &Pending, const watch_object &Watch);
  void breakWatches(const std::function<bool(const zone_id &)> &Broken);
  void notify(const object_key &Key);
  void store(const object_key &Key, const stored_object &Value);

  platform_result apply(const get_object &Get);
  platform_result apply(const create_object &Create);
  platform_result apply(const update_object &Update);
  platform_result apply(const delete_object &Delete);
  platform_result apply(const watch_object &Watch);
  platform_result apply(const list_objects &List);

  event_queue &Queue;
  random_source &Random;
  platform_fault Fault = platform_fault::None;
  core_time HealthySince{};
  std::set<zone_id> CutZones;
  std::map<zone_id, core_time> ReachableSince;
  std::map<object_key, stored_entry> Objects;
  /// Versions are never used twice, so a recreated object has a new one.
  object_version Last;
  std::map<object_key, std::vector<pending_pointer>> Watches;
  write_listener Written;
  platform_counts Counts;
};

} // namespace jasminecroft::testing
