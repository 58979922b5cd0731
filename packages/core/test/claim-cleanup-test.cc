// Cleanup of claim records: which are deleted and which are never deleted.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "claim-fixture.h"

#include "jasminecroft/core/detail/claim_cleanup.h"

#include <doctest/doctest.h>

using namespace claim_fixture;

namespace {

// Settings of the only host of a fleet, which therefore ranks first.
core_settings singleHostSettings() {
  core_settings Settings = settingsOf("e1", 1);
  Settings.Seeds.clear();
  return Settings;
}

// A cleanup with a platform that applies its calls at once.
struct cleanup_harness {
  cleanup_harness()
      : Context(singleHostSettings()), Gateway(Context), Members(Context),
        Cleanup(Context, Gateway, Members) {
    Members.start();
    Context.begin(core_time{});
    Context.observeWallClock(wall_time(std::chrono::hours(1000)));
    fleet_config Config;
    Config.Defaults[setting_key::ClaimRetentionSeconds] = 3600;
    Cleanup.configure(Config);
  }

  void put(const std::string &Key, claim_state State, std::chrono::hours Age) {
    claim_record Record;
    Record.State = State;
    Record.ClaimedAt = Context.wallNow() - Age;
    Record.Deadline = Record.ClaimedAt;
    Objects[object_key(Key)] = Record;
  }
  bool has(const std::string &Key) const {
    return Objects.contains(object_key(Key));
  }

  platform_result apply(const list_objects &List) {
    objects_listed Listed;
    for (auto It = Objects.upper_bound(List.After);
         It != Objects.end() && Listed.Objects.size() < List.Limit; ++It)
      Listed.Objects.push_back({It->first, object_version(1)});
    return Listed;
  }
  platform_result apply(const get_object &Get) {
    auto Found = Objects.find(Get.Key);
    if (Found == Objects.end())
      return object_absent{};
    return object_found{Found->second, object_version(1)};
  }
  platform_result apply(const delete_object &Delete) {
    if (Conflicts)
      return version_conflict{};
    Objects.erase(Delete.Key);
    return object_written{};
  }
  template <typename Other> platform_result apply(const Other &) {
    return platform_refused{};
  }

  // Advances the time in steps of a second and answers the calls made.
  void run(std::chrono::seconds Time) {
    for (std::int64_t Second = 0; Second < Time.count(); ++Second) {
      Context.begin(Context.now() + std::chrono::seconds(1));
      Gateway.onWakeup();
      Cleanup.onWakeup();
      answerCalls();
    }
  }
  void answerCalls() {
    action_list Actions = Context.takeActions();
    while (!Actions.empty()) {
      for (const action &Action : Actions)
        if (const call_platform *Call = std::get_if<call_platform>(&Action))
          answer(*Call);
      Actions = Context.takeActions();
    }
  }
  void answer(const call_platform &Call) {
    platform_result Result = platform_no_answer{};
    if (!Lost)
      Result = std::visit([this](const auto &O) { return apply(O); },
                          Call.Operation);
    Gateway.onReply({Call.Call, Result});
  }

  core_context Context;
  platform_gateway Gateway;
  membership Members;
  claim_cleanup Cleanup;
  std::map<object_key, claim_record> Objects;
  bool Conflicts = false;
  bool Lost = false;
};

using hours = std::chrono::hours;
using seconds = std::chrono::seconds;

} // namespace

TEST_CASE("final claims past their retention are deleted, others are kept") {
  cleanup_harness Harness;
  Harness.put("claims/done", claim_state::Done, hours(2));
  Harness.put("claims/not-run", claim_state::NotRun, hours(2));
  Harness.put("claims/open", claim_state::Claimed, hours(900));
  Harness.put("claims/unknown", claim_state::Unknown, hours(2));
  Harness.put("claims/young", claim_state::Done, hours(0));
  Harness.run(seconds(120));
  CHECK_FALSE(Harness.has("claims/done"));
  CHECK_FALSE(Harness.has("claims/not-run"));
  CHECK_FALSE(Harness.has("claims/unknown"));
  CHECK(Harness.has("claims/open"));
  CHECK(Harness.has("claims/young"));
  CHECK(Harness.Cleanup.deletedCount() == 3);
}

TEST_CASE("a pass covers more than one list") {
  cleanup_harness Harness;
  for (std::uint32_t I = 0; I < 3 * CleanupListLimit; ++I)
    Harness.put("claims/" + std::to_string(1000 + I),
                I % 2 == 0 ? claim_state::Done : claim_state::Claimed,
                hours(2));
  Harness.run(seconds(600));
  CHECK(Harness.Cleanup.deletedCount() == 3 * CleanupListLimit / 2);
  CHECK(Harness.Objects.size() == 3 * CleanupListLimit / 2);
}

TEST_CASE("a record that changed since it was read is not deleted") {
  cleanup_harness Harness;
  Harness.put("claims/done", claim_state::Done, hours(2));
  Harness.Conflicts = true;
  Harness.run(seconds(120));
  CHECK(Harness.has("claims/done"));
  CHECK(Harness.Cleanup.deletedCount() == 0);
}

TEST_CASE("cleanup pauses while the platform doesn't answer") {
  cleanup_harness Harness;
  Harness.put("claims/done", claim_state::Done, hours(2));
  Harness.Lost = true;
  Harness.run(seconds(300));
  CHECK(Harness.Gateway.callCount(call_purpose::Cleanup) <= 5);
  Harness.Lost = false;
  Harness.run(seconds(120));
  CHECK_FALSE(Harness.has("claims/done"));
}
