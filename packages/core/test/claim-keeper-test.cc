// One call's claim from wish to record, with each failure of the store.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "claim-fixture.h"

#include <doctest/doctest.h>

using namespace claim_fixture;

TEST_CASE("a claim costs two store calls: create and outcome") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  REQUIRE(E1.Heard.granted());
  CHECK(E1.Keeper.dispatch(Claim));
  CHECK_FALSE(E1.Keeper.dispatch(Claim));
  E1.Keeper.recordDone(Claim, "out");
  CHECK(E1.Keeper.pendingWrites() == 1);
  Store.applyAndAnswer();
  CHECK(E1.Keeper.pendingWrites() == 0);
  CHECK(Store.Stored->State == claim_state::Done);
  CHECK(Store.Stored->Output == "out");
  CHECK(Store.Made == 2);
}

TEST_CASE("a create whose answer was lost after its effect is read back") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  Store.applyAndLose();
  CHECK_FALSE(E1.Keeper.dispatch(Claim));
  Store.applyAndAnswer();
  REQUIRE(E1.Heard.granted());
  CHECK(E1.Keeper.dispatch(Claim));
}

TEST_CASE("a create that was lost before its effect is made again") {
  fake_store Store;
  host E1(Store);
  E1.want();
  attempt_id First = Store.Calls.front().Record.Attempt;
  Store.answer(claim_call_lost{});
  Store.applyAndAnswer();
  REQUIRE(Store.Calls.size() == 1);
  CHECK(Store.Calls[0].Kind == fake_store::kind::Create);
  CHECK(Store.Calls[0].Record.Attempt == First);
  Store.applyAndAnswer();
  CHECK(E1.Heard.granted());
}

TEST_CASE("a late create finds the released record in its place") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  claim_record Late = Store.Calls.front().Record;
  Store.answer(claim_call_lost{});
  Store.answer(claim_call_lost{});
  E1.advance(ms(800));
  REQUIRE(E1.Heard.denied());
  CHECK(E1.Heard.denied()->Key == key_status::Unread);
  CHECK(E1.Heard.denied()->RetryAfter);
  CHECK_FALSE(E1.Keeper.dispatch(Claim));
  CHECK(E1.Keeper.pendingWrites() == 1);
  SUBCASE("the create takes effect after the release") {
    Store.settleAll();
    Store.create(E1.Keeper, Late);
    CHECK(std::holds_alternative<claim_conflict>(Store.apply()));
  }
  SUBCASE("the create takes effect before the release") {
    Store.Stored = Late;
    Store.Version = object_version(7);
    Store.settleAll();
  }
  CHECK(Store.Stored->State == claim_state::NotRun);
  CHECK(E1.Keeper.pendingWrites() == 0);
}

TEST_CASE("a claim abandoned while its create is under way is released") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  E1.Keeper.abandon(Claim);
  CHECK(E1.Keeper.pendingWrites() == 1);
  Store.settleAll();
  CHECK(Store.Stored->State == claim_state::NotRun);
  CHECK(E1.Heard.Decisions.empty());
  CHECK_FALSE(E1.Keeper.dispatch(Claim));
}

TEST_CASE("a claim whose every create was refused leaves nothing to release") {
  fake_store Store;
  host E1(Store);
  E1.want();
  Store.answer(claim_call_refused{});
  E1.advance(ms(800));
  REQUIRE(E1.Heard.denied());
  CHECK(E1.Keeper.pendingWrites() == 0);
  CHECK(Store.Made == 1);
}

TEST_CASE("a store that is away decides claims at once") {
  fake_store Store;
  host E1(Store);
  SUBCASE("before the claim is wanted") {
    Store.Away = true;
    claim_start Start = E1.wantStart();
    claim_decision Decision = std::get<claim_decision>(Start);
    CHECK(std::get<claim_denied>(Decision).Code ==
          error_code::PlatformUnavailable);
    CHECK(Store.Made == 0);
  }
  SUBCASE("while the claim is undecided") {
    E1.want();
    Store.Away = true;
    E1.Keeper.checkStore();
    REQUIRE(E1.Heard.denied());
    CHECK(E1.Heard.denied()->Code == error_code::PlatformUnavailable);
    CHECK(E1.Keeper.pendingWrites() == 1);
    // The release waits for the store and is made when it is back.
    E1.advance(ms(150));
    Store.answer(claim_call_lost{});
    Store.answer(claim_call_lost{});
    Store.Away = false;
    E1.advance(ms(150));
    Store.settleAll();
    CHECK(E1.Keeper.pendingWrites() == 0);
    CHECK(Store.Stored->State == claim_state::NotRun);
  }
}

TEST_CASE("a paused holder doesn't dispatch after its deadline") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  E1.Context.begin(E1.Context.now() + ms(1000));
  CHECK_FALSE(E1.Keeper.dispatch(Claim));
  E1.Keeper.abandon(Claim);
  Store.settleAll();
  CHECK(Store.Stored->State == claim_state::NotRun);
}

TEST_CASE("a call that didn't leave may be dispatched again") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  CHECK(E1.Keeper.dispatch(Claim));
  E1.Keeper.revertDispatch(Claim);
  CHECK(E1.Keeper.dispatch(Claim));
}

TEST_CASE("a dispatched claim can't be abandoned") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  CHECK(E1.Keeper.dispatch(Claim));
  E1.Keeper.abandon(Claim);
  CHECK(E1.Keeper.pendingWrites() == 0);
  E1.Keeper.recordUnknown(Claim);
  Store.settleAll();
  CHECK(Store.Stored->State == claim_state::Unknown);
}

TEST_CASE("an outcome write is kept through lost answers and an outage") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  CHECK(E1.Keeper.dispatch(Claim));
  E1.Keeper.recordDone(Claim, "out");
  SUBCASE("applied but the answer lost") { Store.applyAndLose(); }
  SUBCASE("not applied") { Store.answer(claim_call_lost{}); }
  SUBCASE("refused") { Store.answer(claim_call_refused{}); }
  for (int Failure = 0; Failure < 20; ++Failure) {
    E1.advance(ms(100));
    Store.answer(claim_call_lost{});
  }
  CHECK(E1.Keeper.pendingWrites() == 1);
  E1.advance(ms(100));
  Store.settleAll();
  CHECK(E1.Keeper.pendingWrites() == 0);
  CHECK(Store.Stored->State == claim_state::Done);
}

TEST_CASE("a claimed request costs two platform calls") {
  core_context Context(settingsOf("e1", 1));
  Context.begin(core_time{});
  platform_gateway Gateway(Context);
  per_key_claim_store Store(Gateway);
  membership Members(Context);
  decisions Heard;
  claim_manager Keeper(Context, Store, Members, Heard);
  claim_wish Wish;
  Wish.Workspace = workspace_id("w");
  Wish.Key = idempotency_key("k");
  Wish.Stage = stage_id("book");
  Wish.DecideBy = Wish.Deadline = Context.now() + ms(1000);
  claim_handle Claim = std::get<claim_handle>(Keeper.want(Wish));
  Gateway.onReply({platform_call_id(1), object_written{object_version(1)}});
  REQUIRE(Heard.granted());
  CHECK(Keeper.dispatch(Claim));
  Keeper.recordDone(Claim, "out");
  Gateway.onReply({platform_call_id(2), object_written{object_version(2)}});
  CHECK(Keeper.pendingWrites() == 0);
  CHECK(Gateway.callsMade(call_purpose::Claim) == 2);
}
