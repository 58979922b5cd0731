// Several calls with one idempotency key, on one host and on several.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "claim-fixture.h"

#include <doctest/doctest.h>

using namespace claim_fixture;

TEST_CASE("a recorded outcome answers the same key") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  CHECK(E1.Keeper.dispatch(Claim));
  E1.Keeper.recordDone(Claim, "out");
  host E2(Store, "e2");
  SUBCASE("here, before the write is acknowledged") {
    claim_decision Decision = std::get<claim_decision>(E1.wantStart());
    CHECK(std::get<claim_done_before>(Decision).Output == "out");
  }
  SUBCASE("through another host") {
    Store.settleAll();
    E2.want();
    Store.settleAll();
    REQUIRE(E2.Heard.doneBefore());
    CHECK(E2.Heard.doneBefore()->Output == "out");
  }
  SUBCASE("through another host, before the write is acknowledged") {
    introduce(E1, E2);
    Store.Calls.clear();
    E2.want();
    Store.settleAll();
    converse(E1, E2);
    REQUIRE(E2.Heard.doneBefore());
    CHECK(E2.Heard.doneBefore()->Output == "out");
  }
  SUBCASE("with another body it is a typed error") {
    Store.settleAll();
    E2.want(2);
    Store.settleAll();
    REQUIRE(E2.Heard.denied());
    CHECK(E2.Heard.denied()->Code == error_code::KeyReusedWithOtherBody);
    CHECK(E2.Heard.denied()->Key == key_status::Uncertain);
  }
}

TEST_CASE("an output too large to keep is said to be so") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  CHECK(E1.Keeper.dispatch(Claim));
  E1.Keeper.recordDone(Claim, std::string(MaxRecordedOutputBytes + 1, 'x'));
  Store.settleAll();
  CHECK_FALSE(Store.Stored->Output);
  E1.want();
  Store.settleAll();
  REQUIRE(E1.Heard.denied());
  CHECK(E1.Heard.denied()->Code == error_code::AnswerNotKept);
  CHECK(E1.Heard.denied()->Key == key_status::Ran);
}

TEST_CASE("of two racing callers one is granted the claim") {
  fake_store Store;
  host E1(Store);
  SUBCASE("on one host") {
    claim_handle First = E1.want();
    claim_decision Second = std::get<claim_decision>(E1.wantStart());
    CHECK(std::get<claim_denied>(Second).Code == error_code::KeyInProgress);
    Store.settleAll();
    CHECK(E1.Heard.granted());
    CHECK(E1.Keeper.dispatch(First));
  }
  SUBCASE("on two hosts") {
    host E2(Store, "e2");
    introduce(E1, E2);
    E1.want();
    E2.want();
    Store.settleAll();
    converse(E1, E2);
    CHECK(E1.Heard.granted());
    REQUIRE(E2.Heard.denied());
    CHECK(E2.Heard.denied()->Code == error_code::KeyInProgress);
    CHECK(E2.Heard.denied()->Key == key_status::Uncertain);
  }
}

TEST_CASE("a claim that its holder gave up is replaced after its promise") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  introduce(E1, E2);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  E1.Keeper.abandon(Claim);
  Store.Calls.clear(); // the release doesn't get through
  E2.want();
  Store.settleAll();
  converse(E1, E2);
  Store.settleAll();
  REQUIRE(E2.Heard.granted());
  CHECK(Store.Stored->Holder == E2.Context.self());
  CHECK_FALSE(E1.Keeper.dispatch(Claim));
}

TEST_CASE("a released claim is replaced only by a later call") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  introduce(E1, E2);
  E1.CallNumber = 2;
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  E1.Keeper.abandon(Claim);
  SUBCASE("when the release is stored") { Store.settleAll(); }
  SUBCASE("when only its holder knows of the release") { Store.Calls.clear(); }
  bool Later = false;
  SUBCASE("by a call with a lower number") { E2.CallNumber = 1; }
  SUBCASE("by a call with the same number") { E2.CallNumber = 2; }
  SUBCASE("by a call without a number") {}
  SUBCASE("by a later call") {
    E2.CallNumber = 3;
    Later = true;
  }
  E2.want();
  Store.settleAll();
  converse(E1, E2);
  Store.settleAll();
  CHECK(E2.Heard.granted() == Later);
  if (Later)
    return;
  REQUIRE(E2.Heard.denied());
  CHECK(E2.Heard.denied()->Code == error_code::SupersededByLaterCall);
  CHECK(E2.Heard.denied()->Key == key_status::Clean);
}

TEST_CASE("releases of several calls keep the highest number") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  E1.CallNumber = 1;
  claim_handle Early = E1.want();
  E1.Keeper.abandon(Early);
  std::vector<fake_store::call> Held;
  Held.swap(Store.Calls);
  E2.CallNumber = 2;
  claim_handle Later = E2.want();
  Store.applyAndAnswer();
  E2.Keeper.abandon(Later);
  Store.settleAll();
  Store.Calls.swap(Held);
  Store.settleAll();
  CHECK(Store.Stored->State == claim_state::NotRun);
  CHECK(Store.Stored->CallNumber == 2);
}

TEST_CASE("a released claim is replaced by conditional update") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  E1.Keeper.abandon(E1.want());
  Store.settleAll();
  claim_handle Claim = E2.want();
  Store.applyAndAnswer();
  Store.applyAndAnswer();
  REQUIRE(Store.Calls.size() == 1);
  REQUIRE(Store.Calls[0].Kind == fake_store::kind::Replace);
  SUBCASE("its answer arrives") { Store.applyAndAnswer(); }
  SUBCASE("its answer is lost after the effect") { Store.applyAndLose(); }
  SUBCASE("it is lost before the effect") { Store.answer(claim_call_lost{}); }
  Store.settleAll();
  CHECK(E2.Heard.granted());
  CHECK(E2.Keeper.dispatch(Claim));
}

TEST_CASE("a late replacement finds the released record changed") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  E1.Keeper.abandon(E1.want());
  Store.settleAll();
  claim_handle Claim = E2.want();
  Store.applyAndAnswer();
  Store.applyAndAnswer();
  fake_store::call Late = Store.Calls.front();
  Store.answer(claim_call_lost{});
  E2.Keeper.abandon(Claim);
  Store.settleAll();
  Store.Calls.push_back(Late);
  CHECK(std::holds_alternative<claim_conflict>(Store.apply()));
  CHECK(Store.Stored->State == claim_state::NotRun);
}

TEST_CASE("a claim of a run that has ended is unknown and stays") {
  fake_store Store;
  host E2(Store, "e2");
  claim_record Held;
  {
    host E1(Store);
    E1.want();
    Store.applyAndAnswer();
    Held = *Store.Stored;
  }
  SUBCASE("asked on its successor") {
    host Successor(Store, "e1", 2);
    Successor.want();
    Store.settleAll();
    REQUIRE(Successor.Heard.denied());
    CHECK(Successor.Heard.denied()->Code == error_code::OutcomeUnknown);
  }
  SUBCASE("asked elsewhere, the successor answers") {
    host Successor(Store, "e1", 2);
    introduce(E2, Successor);
    E2.want();
    Store.settleAll();
    converse(E2, Successor);
    REQUIRE(E2.Heard.denied());
    CHECK(E2.Heard.denied()->Code == error_code::OutcomeUnknown);
  }
  CHECK(*Store.Stored == Held);
}

TEST_CASE("a silent holder leaves the claim undecided") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  introduce(E1, E2);
  E1.want();
  Store.applyAndAnswer();
  E2.want();
  Store.settleAll();
  for (int Step = 0; Step < 4; ++Step)
    E2.advance(ms(150));
  REQUIRE(E2.Heard.denied());
  CHECK(E2.Heard.denied()->Code == error_code::ClaimUndecided);
  CHECK(E2.Heard.denied()->Key == key_status::Uncertain);
  CHECK(E2.Heard.denied()->RetryAfter);
}

TEST_CASE("a holder that settled meanwhile makes the record be read again") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  introduce(E1, E2);
  claim_handle Claim = E1.want();
  Store.applyAndAnswer();
  CHECK(E1.Keeper.dispatch(Claim));
  E2.want();
  Store.applyAndAnswer();
  Store.applyAndAnswer();
  E1.Keeper.recordDone(Claim, "out");
  Store.settleAll();
  converse(E1, E2);
  Store.settleAll();
  REQUIRE(E2.Heard.doneBefore());
  CHECK(E2.Heard.doneBefore()->Output == "out");
}

TEST_CASE("stale and foreign replies of holders are ignored") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  introduce(E1, E2);
  E1.want();
  Store.applyAndAnswer();
  E2.want();
  Store.settleAll();
  std::vector<peer_message> Asked = E2.sent();
  REQUIRE(Asked.size() == 1);
  claim_query Query = std::get<claim_query>(Asked[0].Body);
  claim_query_reply Reply{
      Query.Sequence, Query.Claim, Query.Attempt, claim_answer::Abandoned, {}};
  peer_message Message{fleet_id("test"), E1.Context.self(), Reply};
  SUBCASE("of another host") { Message.Sender.Host = entry_host_id("e3"); }
  SUBCASE("of another attempt") { Reply.Attempt = attempt_id(99); }
  SUBCASE("of another question") { ++Reply.Sequence; }
  SUBCASE("of an earlier run") { Message.Sender.Run = incarnation(0); }
  Message.Body = Reply;
  E2.Keeper.onPeer(Message);
  CHECK(Store.Calls.empty());
  CHECK(E2.Heard.Decisions.empty());
}
