// Reads, changes and conditionally updates the configuration object.
#include "jasminecroft/testing/operator_driver.h"

#include "jasminecroft/core/config_edit.h"

namespace jasminecroft::testing {

namespace {

constexpr core_duration CallTimeout{2'000'000};
constexpr core_duration RetryDelay{300'000};
constexpr std::uint32_t MaxTries = 4;
constexpr std::size_t MostExceptions = 3;
constexpr std::chrono::hours ReviewAfter{24};
/// Every so many changes, one's record cannot be replayed by the hosts, as if
/// another version of the command line had written it.
constexpr std::uint64_t ForeignRecordEvery = 5;

config_difference newDefault(const fleet_config &Base, std::uint64_t Choice) {
  struct range {
    setting_key Key;
    std::uint64_t Least;
    std::uint64_t Count;
  };
  // Small enough to be reached by a burst, not by the requests at the end.
  static constexpr range Ranges[] = {
      {setting_key::WorkspaceWeight, 1, 900},
      {setting_key::PoolMaxQueued, 4, 20},
      {setting_key::WorkspaceMaxInFlight, 30, 100},
      {setting_key::LongWorkMs, 50, 2'000}};
  const range &Range = Ranges[Choice % std::size(Ranges)];
  setting_key Key = Range.Key;
  std::int64_t Before = settingValue(Base, Key, {});
  std::int64_t After =
      static_cast<std::int64_t>(Range.Least + Choice % Range.Count);
  if (After == Before)
    ++After;
  return default_set{Key, Before, After};
}

config_difference newException(const fleet_config &Base, const change_id &Id,
                               std::uint64_t Choice) {
  if (Base.Exceptions.size() >= MostExceptions)
    return exception_removed{Base.Exceptions.front()};
  config_exception Exception;
  Exception.Id = exception_id("x-" + Id.Value);
  Exception.Scope.Workspace = *Base.Workspaces.begin();
  Exception.Key = setting_key::WorkspaceWeight;
  Exception.Value = 1 + static_cast<std::int64_t>(Choice % 900);
  Exception.Reason = "fuzz";
  Exception.Author = operator_name("operator");
  Exception.ReviewBy = Exception.MadeAt + ReviewAfter;
  return exception_added{Exception};
}

} // namespace

fleet_config changedConfig(const fleet_config &Base, const change_id &Id,
                           std::uint64_t Choice) {
  change_request Change;
  Change.Id = Id;
  Change.Author = operator_name("operator");
  Change.Reason = "fuzz";
  Change.Differences.push_back(Choice % 2 == 0
                                   ? newDefault(Base, Choice / 2)
                                   : newException(Base, Id, Choice / 2));
  fleet_config Changed =
      std::get<edited_config>(applyChange(Base, Change)).Config;
  if (Choice % ForeignRecordEvery == 0)
    Changed.Changes.back().Differences.clear();
  return Changed;
}

void operator_driver::change(const zone_id &From, std::uint64_t Choice) {
  ++Tally.Tried;
  change_id Id("change-" + std::to_string(++LastChange));
  read({Id, From, Choice, 0});
}

void operator_driver::call(const zone_id &From,
                           const platform_operation &Operation,
                           const fake_platform::reply_function &Reply) {
  call_platform Call;
  Call.Operation = Operation;
  Call.Timeout = CallTimeout;
  Platform.call(From, Call, Reply);
}

void operator_driver::read(const pending_change &Change) {
  call(Change.From, get_object{configKey()},
       [this, Change](const platform_result &Result) {
         onRead(Change, Result);
       });
}

void operator_driver::again(const pending_change &Change) {
  if (Change.Tries >= MaxTries) {
    ++Tally.GivenUp;
    return;
  }
  pending_change Next = Change;
  ++Next.Tries;
  Queue.after(RetryDelay, [this, Next] { read(Next); });
}

void operator_driver::onRead(pending_change Change,
                             const platform_result &Result) {
  const object_found *Found = std::get_if<object_found>(&Result);
  if (!Found) {
    again(Change);
    return;
  }
  const fleet_config &Base = std::get<fleet_config>(Found->Value);
  for (const change_record &Record : Base.Changes)
    if (Record.Id == Change.Id) {
      ++Tally.Accepted;
      return;
    }
  // A later try of a change is another change: the earlier one's update may
  // still take effect.
  if (Change.Tries != 0)
    Change.Id = change_id("change-" + std::to_string(++LastChange));
  Offering(Change.Id);
  fleet_config Changed = changedConfig(Base, Change.Id, Change.Choice);
  call(Change.From, update_object{configKey(), Changed, Found->Version},
       [this, Change](const platform_result &Answer) {
         onUpdated(Change, Answer);
       });
}

void operator_driver::onUpdated(const pending_change &Change,
                                const platform_result &Result) {
  if (std::holds_alternative<object_written>(Result)) {
    ++Tally.Accepted;
    return;
  }
  if (std::holds_alternative<version_conflict>(Result))
    ++Tally.Conflicts;
  if (std::holds_alternative<platform_no_answer>(Result))
    ++Tally.AnswersLost;
  again(Change);
}

} // namespace jasminecroft::testing
