// The claim of one call from its acquisition to its outcome record, with each
// failure of the store.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "claim-fixture.h"

#include <doctest/doctest.h>

using namespace claim_fixture;

TEST_CASE("a claim takes two store calls: create and outcome") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  REQUIRE(E1.Recorder.granted());
  CHECK(E1.Manager.dispatch(Claim));
  CHECK_FALSE(E1.Manager.dispatch(Claim));
  E1.Manager.recordDone(Claim, "out");
  CHECK(E1.Manager.pendingWrites() == 1);
  Store.applyAndAnswer();
  CHECK(E1.Manager.pendingWrites() == 0);
  CHECK(Store.Stored->State == claim_state::Done);
  CHECK(Store.Stored->Output == "out");
  CHECK(Store.CallCount == 2);
}

TEST_CASE("a create that took effect without an answer is read back") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  Store.applyAndLose();
  CHECK_FALSE(E1.Manager.dispatch(Claim));
  Store.applyAndAnswer();
  REQUIRE(E1.Recorder.granted());
  CHECK(E1.Manager.dispatch(Claim));
}

TEST_CASE("a create that was lost before it took effect is retried") {
  fake_store Store;
  host E1(Store);
  E1.acquire();
  attempt_id First = Store.Calls.front().Record.Attempt;
  Store.answer(claim_call_lost{});
  Store.applyAndAnswer();
  REQUIRE(Store.Calls.size() == 1);
  CHECK(Store.Calls[0].Kind == fake_store::kind::Create);
  CHECK(Store.Calls[0].Record.Attempt == First);
  Store.applyAndAnswer();
  CHECK(E1.Recorder.granted());
}

TEST_CASE("a late create can't replace the released record") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  claim_record Late = Store.Calls.front().Record;
  Store.answer(claim_call_lost{});
  Store.answer(claim_call_lost{});
  E1.advance(ms(800));
  REQUIRE(E1.Recorder.denied());
  CHECK(E1.Recorder.denied()->Key == key_status::Unread);
  CHECK(E1.Recorder.denied()->RetryAfter);
  CHECK_FALSE(E1.Manager.dispatch(Claim));
  CHECK(E1.Manager.pendingWrites() == 1);
  SUBCASE("the create takes effect after the release") {
    Store.answerAllCalls();
    Store.create(E1.Manager, Late);
    CHECK(std::holds_alternative<claim_conflict>(Store.apply()));
  }
  SUBCASE("the create takes effect before the release") {
    Store.Stored = Late;
    Store.Version = object_version(7);
    Store.answerAllCalls();
  }
  CHECK(Store.Stored->State == claim_state::NotRun);
  CHECK(E1.Manager.pendingWrites() == 0);
}

TEST_CASE("a claim abandoned while its create is in flight is released") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  E1.Manager.abandon(Claim);
  CHECK(E1.Manager.pendingWrites() == 1);
  Store.answerAllCalls();
  CHECK(Store.Stored->State == claim_state::NotRun);
  CHECK(E1.Recorder.Decisions.empty());
  CHECK_FALSE(E1.Manager.dispatch(Claim));
}

TEST_CASE("a claim whose creates were all refused needs no release") {
  fake_store Store;
  host E1(Store);
  E1.acquire();
  Store.answer(claim_call_refused{});
  E1.advance(ms(800));
  REQUIRE(E1.Recorder.denied());
  CHECK(E1.Manager.pendingWrites() == 0);
  CHECK(Store.CallCount == 1);
}

TEST_CASE("an unavailable store denies claims at once") {
  fake_store Store;
  host E1(Store);
  SUBCASE("before the claim is acquired") {
    Store.Unavailable = true;
    acquire_result Start = E1.startAcquire();
    claim_decision Decision = std::get<claim_decision>(Start);
    CHECK(std::get<claim_denied>(Decision).Code ==
          error_code::PlatformUnavailable);
    CHECK(Store.CallCount == 0);
  }
  SUBCASE("while the claim is undecided") {
    E1.acquire();
    Store.Unavailable = true;
    E1.Manager.checkStore();
    REQUIRE(E1.Recorder.denied());
    CHECK(E1.Recorder.denied()->Code == error_code::PlatformUnavailable);
    CHECK(E1.Manager.pendingWrites() == 1);
    // The release is retried until the store is available again.
    E1.advance(ms(150));
    Store.answer(claim_call_lost{});
    Store.answer(claim_call_lost{});
    Store.Unavailable = false;
    E1.advance(ms(150));
    Store.answerAllCalls();
    CHECK(E1.Manager.pendingWrites() == 0);
    CHECK(Store.Stored->State == claim_state::NotRun);
  }
}

TEST_CASE("a paused holder doesn't dispatch after its deadline") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  E1.Context.begin(E1.Context.now() + ms(1000));
  CHECK_FALSE(E1.Manager.dispatch(Claim));
  E1.Manager.abandon(Claim);
  Store.answerAllCalls();
  CHECK(Store.Stored->State == claim_state::NotRun);
}

TEST_CASE("a call that wasn't sent may be dispatched again") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  CHECK(E1.Manager.dispatch(Claim));
  E1.Manager.revertDispatch(Claim);
  CHECK(E1.Manager.dispatch(Claim));
}

TEST_CASE("a dispatched claim can't be abandoned") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  CHECK(E1.Manager.dispatch(Claim));
  E1.Manager.abandon(Claim);
  CHECK(E1.Manager.pendingWrites() == 0);
  E1.Manager.recordUnknown(Claim);
  Store.answerAllCalls();
  CHECK(Store.Stored->State == claim_state::Unknown);
}

TEST_CASE("an outcome write is retried through lost answers and an outage") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  CHECK(E1.Manager.dispatch(Claim));
  E1.Manager.recordDone(Claim, "out");
  SUBCASE("applied but the answer lost") { Store.applyAndLose(); }
  SUBCASE("not applied") { Store.answer(claim_call_lost{}); }
  SUBCASE("refused") { Store.answer(claim_call_refused{}); }
  for (int Failure = 0; Failure < 20; ++Failure) {
    E1.advance(ms(100));
    Store.answer(claim_call_lost{});
  }
  CHECK(E1.Manager.pendingWrites() == 1);
  E1.advance(ms(100));
  Store.answerAllCalls();
  CHECK(E1.Manager.pendingWrites() == 0);
  CHECK(Store.Stored->State == claim_state::Done);
}

TEST_CASE("a claimed request takes two platform calls") {
  core_context Context(settingsOf("e1", 1));
  Context.begin(core_time{});
  platform_gateway Gateway(Context);
  per_key_claim_store Store(Gateway);
  membership Members(Context);
  decision_recorder Recorder;
  claim_manager Manager(Context, Store, Members, Recorder);
  claim_params Params;
  Params.Workspace = workspace_id("w");
  Params.Key = idempotency_key("k");
  Params.Stage = stage_id("book");
  Params.DecideBy = Params.Deadline = Context.now() + ms(1000);
  claim_handle Claim = std::get<claim_handle>(Manager.acquire(Params));
  Gateway.onReply({platform_call_id(1), object_written{object_version(1)}});
  REQUIRE(Recorder.granted());
  CHECK(Manager.dispatch(Claim));
  Manager.recordDone(Claim, "out");
  Gateway.onReply({platform_call_id(2), object_written{object_version(2)}});
  CHECK(Manager.pendingWrites() == 0);
  CHECK(Gateway.callCount(call_purpose::Claim) == 2);
}
