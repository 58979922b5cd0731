// Objects, versions, watches and faults of the platform fake.
#include "jasminecroft/testing/fake_platform.h"

#include <algorithm>

namespace jasminecroft::testing {

namespace {

constexpr core_duration ShortestCall{500};
constexpr core_duration LongestCall{3'000};
constexpr core_duration LongestSlowCall{4'000'000};
constexpr core_duration LongestLateEffect{5'000'000};
/// How long before the caller's time-out a watch ends without news.
constexpr core_duration WatchMargin{1'000'000};
constexpr std::uint32_t Half = 500;

} // namespace

void fake_platform::setFault(platform_fault NewFault) {
  if (NewFault == platform_fault::None && Fault != platform_fault::None)
    HealthySince = Queue.now();
  Fault = NewFault;
  if (Fault == platform_fault::Away)
    breakWatches([](const zone_id &) { return true; });
}

void fake_platform::cutZone(const zone_id &Zone) {
  CutZones.insert(Zone);
  breakWatches([&Zone](const zone_id &From) { return From == Zone; });
}

void fake_platform::healZone(const zone_id &Zone) {
  if (CutZones.erase(Zone) != 0)
    ReachableSince[Zone] = Queue.now();
}

void fake_platform::healAllZones() {
  std::set<zone_id> Zones = CutZones;
  for (const zone_id &Zone : Zones)
    healZone(Zone);
}

core_time fake_platform::reachableSince(const zone_id &Zone) const {
  auto Found = ReachableSince.find(Zone);
  core_time Since = Found == ReachableSince.end() ? core_time{} : Found->second;
  return std::max(Since, HealthySince);
}

void fake_platform::call(const zone_id &From, const call_platform &Call,
                         const reply_function &Reply) {
  ++Counts.Calls;
  if (Call.Purpose == call_purpose::Claim)
    ++Counts.ClaimCalls;
  pending_pointer Pending = std::make_shared<pending_call>(
      pending_call{From, Call.Operation, Call.Timeout, Reply, false});
  Queue.after(requestDelay(Call.Timeout), [this, Pending] { arrive(Pending); });
  Queue.after(Call.Timeout,
              [this, Pending] { answer(Pending, platform_no_answer{}); });
}

core_duration fake_platform::requestDelay(core_duration Timeout) {
  core_duration Delay = Random.between(ShortestCall, LongestCall);
  if (Fault == platform_fault::Slow)
    return Random.between(Delay, LongestSlowCall);
  if (Fault == platform_fault::AppliesLate && Random.chance(Half)) {
    ++Counts.AppliedLate;
    return Random.between(Timeout, Timeout + LongestLateEffect);
  }
  return Delay;
}

void fake_platform::arrive(const pending_pointer &Pending) {
  if (!reachable(Pending->From) || Fault == platform_fault::Away) {
    // Half are refused at once, the others hang until their time-out.
    if (Random.chance(Half))
      answer(Pending, platform_refused{});
    return;
  }
  if (Fault == platform_fault::Refuses && Random.chance(Half)) {
    ++Counts.Refused;
    answer(Pending, platform_refused{});
    return;
  }
  if (const watch_object *Watch =
          std::get_if<watch_object>(&Pending->Operation)) {
    watch(Pending, *Watch);
    return;
  }
  platform_result Result =
      std::visit([this](const auto &Operation) { return apply(Operation); },
                 Pending->Operation);
  answerLater(Pending, Result);
}

void fake_platform::answerLater(const pending_pointer &Pending,
                                const platform_result &Result) {
  core_duration Delay = Random.between(ShortestCall, LongestCall);
  if (Fault == platform_fault::Slow)
    Delay = Random.between(Delay, LongestSlowCall);
  if (Fault == platform_fault::LosesAnswers && Random.chance(Half)) {
    ++Counts.AnswersLost;
    return;
  }
  Queue.after(Delay, [this, Pending, Result] {
    if (reachable(Pending->From) && Fault != platform_fault::Away)
      answer(Pending, Result);
    else
      ++Counts.AnswersLost;
  });
}

void fake_platform::answer(const pending_pointer &Pending,
                           const platform_result &Result) {
  if (Pending->Answered)
    return;
  Pending->Answered = true;
  reply_function Reply = std::move(Pending->Reply);
  Reply(Result);
}

void fake_platform::watch(const pending_pointer &Pending,
                          const watch_object &Watch) {
  auto Found = Objects.find(Watch.Key);
  if (Found == Objects.end()) {
    answerLater(Pending, object_absent{});
    return;
  }
  const stored_entry &Entry = Found->second;
  if (Fault == platform_fault::StaleWatches && Entry.Previous &&
      Random.chance(Half)) {
    ++Counts.StaleAnswers;
    answerLater(Pending, object_found{*Entry.Previous, Entry.PreviousVersion});
    return;
  }
  if (Entry.Version > Watch.After) {
    answerLater(Pending, object_found{Entry.Value, Entry.Version});
    return;
  }
  Watches[Watch.Key].push_back(Pending);
  Queue.after(std::max(Pending->Timeout - WatchMargin, Pending->Timeout / 2),
              [this, Pending, Key = Watch.Key] {
                std::vector<pending_pointer> &Open = Watches[Key];
                if (std::erase(Open, Pending) != 0)
                  answerLater(Pending, watch_expired{});
              });
}

void fake_platform::breakWatches(
    const std::function<bool(const zone_id &)> &Broken) {
  for (std::pair<const object_key, std::vector<pending_pointer>> &Entry :
       Watches) {
    std::vector<pending_pointer> Kept;
    for (const pending_pointer &Pending : Entry.second) {
      if (!Broken(Pending->From))
        Kept.push_back(Pending);
      else if (Random.chance(Half))
        Queue.after(ShortestCall,
                    [this, Pending] { answer(Pending, platform_no_answer{}); });
    }
    Entry.second = std::move(Kept);
  }
}

void fake_platform::notify(const object_key &Key) {
  auto Open = Watches.find(Key);
  if (Open == Watches.end())
    return;
  std::vector<pending_pointer> Waiting = std::move(Open->second);
  Watches.erase(Open);
  auto Found = Objects.find(Key);
  for (const pending_pointer &Pending : Waiting) {
    if (Found == Objects.end())
      answerLater(Pending, object_absent{});
    else
      answerLater(Pending,
                  object_found{Found->second.Value, Found->second.Version});
  }
}

void fake_platform::store(const object_key &Key, const stored_object &Value) {
  Last = Last.next();
  auto Found = Objects.find(Key);
  if (Found == Objects.end()) {
    Objects.emplace(Key, stored_entry{Value, Last, {}, {}});
  } else {
    stored_entry &Entry = Found->second;
    Entry.Previous = std::move(Entry.Value);
    Entry.PreviousVersion = Entry.Version;
    Entry.Value = Value;
    Entry.Version = Last;
  }
  if (Written)
    Written(Key, Value);
  notify(Key);
}

void fake_platform::put(const object_key &Key, const stored_object &Value) {
  store(Key, Value);
}

const stored_object *fake_platform::find(const object_key &Key) const {
  auto Found = Objects.find(Key);
  return Found == Objects.end() ? nullptr : &Found->second.Value;
}

platform_result fake_platform::apply(const get_object &Get) {
  auto Found = Objects.find(Get.Key);
  if (Found == Objects.end())
    return object_absent{};
  return object_found{Found->second.Value, Found->second.Version};
}

platform_result fake_platform::apply(const create_object &Create) {
  if (Objects.contains(Create.Key))
    return version_conflict{};
  store(Create.Key, Create.Value);
  return object_written{Last};
}

platform_result fake_platform::apply(const update_object &Update) {
  auto Found = Objects.find(Update.Key);
  if (Found == Objects.end() || Found->second.Version != Update.Expected)
    return version_conflict{};
  store(Update.Key, Update.Value);
  return object_written{Last};
}

platform_result fake_platform::apply(const delete_object &Delete) {
  auto Found = Objects.find(Delete.Key);
  if (Found == Objects.end() || Found->second.Version != Delete.Expected)
    return version_conflict{};
  Objects.erase(Found);
  Last = Last.next();
  notify(Delete.Key);
  return object_written{Last};
}

platform_result fake_platform::apply(const list_objects &List) {
  objects_listed Listed;
  for (auto It = Objects.upper_bound(List.After);
       It != Objects.end() && Listed.Objects.size() < List.Limit; ++It)
    if (It->first.Value.starts_with(List.Prefix))
      Listed.Objects.push_back({It->first, It->second.Version});
  return Listed;
}

platform_result fake_platform::apply(const watch_object &) {
  return watch_expired{};
}

} // namespace jasminecroft::testing
