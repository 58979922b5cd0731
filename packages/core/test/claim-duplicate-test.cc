// Several calls with one idempotency key, on one entry host and on several.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "claim-fixture.h"

#include <doctest/doctest.h>

using namespace claim_fixture;

TEST_CASE("a recorded outcome answers the same key") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  CHECK(E1.Manager.dispatch(Claim));
  E1.Manager.recordDone(Claim, "out");
  host E2(Store, "e2");
  SUBCASE("on the same host, before the write is acknowledged") {
    claim_decision Decision = std::get<claim_decision>(E1.startAcquire());
    CHECK(std::get<claim_already_done>(Decision).Output == "out");
  }
  SUBCASE("through another host") {
    Store.answerAllCalls();
    E2.acquire();
    Store.answerAllCalls();
    REQUIRE(E2.Recorder.alreadyDone());
    CHECK(E2.Recorder.alreadyDone()->Output == "out");
  }
  SUBCASE("through another host, before the write is acknowledged") {
    connectHosts(E1, E2);
    Store.Calls.clear();
    E2.acquire();
    Store.answerAllCalls();
    exchangeMessages(E1, E2);
    REQUIRE(E2.Recorder.alreadyDone());
    CHECK(E2.Recorder.alreadyDone()->Output == "out");
  }
  SUBCASE("with another body, as a reused key") {
    Store.answerAllCalls();
    E2.acquire(2);
    Store.answerAllCalls();
    REQUIRE(E2.Recorder.denied());
    CHECK(E2.Recorder.denied()->Code == error_code::KeyReusedWithOtherBody);
    CHECK(E2.Recorder.denied()->Key == key_status::Uncertain);
  }
}

TEST_CASE("an output too large to record is reported as not kept") {
  fake_store Store;
  host E1(Store);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  CHECK(E1.Manager.dispatch(Claim));
  E1.Manager.recordDone(Claim, std::string(MaxRecordedOutputBytes + 1, 'x'));
  Store.answerAllCalls();
  CHECK_FALSE(Store.Stored->Output);
  E1.acquire();
  Store.answerAllCalls();
  REQUIRE(E1.Recorder.denied());
  CHECK(E1.Recorder.denied()->Code == error_code::AnswerNotKept);
  CHECK(E1.Recorder.denied()->Key == key_status::Ran);
}

TEST_CASE("exactly one of two racing callers is granted the claim") {
  fake_store Store;
  host E1(Store);
  SUBCASE("on one host") {
    claim_handle First = E1.acquire();
    claim_decision Second = std::get<claim_decision>(E1.startAcquire());
    CHECK(std::get<claim_denied>(Second).Code == error_code::KeyInProgress);
    Store.answerAllCalls();
    CHECK(E1.Recorder.granted());
    CHECK(E1.Manager.dispatch(First));
  }
  SUBCASE("on two hosts") {
    host E2(Store, "e2");
    connectHosts(E1, E2);
    E1.acquire();
    E2.acquire();
    Store.answerAllCalls();
    exchangeMessages(E1, E2);
    CHECK(E1.Recorder.granted());
    REQUIRE(E2.Recorder.denied());
    CHECK(E2.Recorder.denied()->Code == error_code::KeyInProgress);
    CHECK(E2.Recorder.denied()->Key == key_status::Uncertain);
  }
}

TEST_CASE("an abandoned claim is replaced once its holder confirms") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  connectHosts(E1, E2);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  E1.Manager.abandon(Claim);
  Store.Calls.clear(); // the release is lost
  E2.acquire();
  Store.answerAllCalls();
  exchangeMessages(E1, E2);
  Store.answerAllCalls();
  REQUIRE(E2.Recorder.granted());
  CHECK(Store.Stored->Holder == E2.Context.self());
  CHECK_FALSE(E1.Manager.dispatch(Claim));
}

TEST_CASE("a released claim is replaced only by a later call") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  connectHosts(E1, E2);
  E1.CallNumber = 2;
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  E1.Manager.abandon(Claim);
  SUBCASE("when the release is stored") { Store.answerAllCalls(); }
  SUBCASE("when only its holder knows of the release") { Store.Calls.clear(); }
  bool Later = false;
  SUBCASE("by a call with a lower number") { E2.CallNumber = 1; }
  SUBCASE("by a call with the same number") { E2.CallNumber = 2; }
  SUBCASE("by a call without a number") {}
  SUBCASE("by a later call") {
    E2.CallNumber = 3;
    Later = true;
  }
  E2.acquire();
  Store.answerAllCalls();
  exchangeMessages(E1, E2);
  Store.answerAllCalls();
  CHECK(E2.Recorder.granted() == Later);
  if (Later)
    return;
  REQUIRE(E2.Recorder.denied());
  CHECK(E2.Recorder.denied()->Code == error_code::SupersededByLaterCall);
  CHECK(E2.Recorder.denied()->Key == key_status::NeverRan);
}

TEST_CASE("releases of several calls keep the highest call number") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  E1.CallNumber = 1;
  claim_handle Early = E1.acquire();
  E1.Manager.abandon(Early);
  std::vector<fake_store::call> Held;
  Held.swap(Store.Calls);
  E2.CallNumber = 2;
  claim_handle Later = E2.acquire();
  Store.applyAndAnswer();
  E2.Manager.abandon(Later);
  Store.answerAllCalls();
  Store.Calls.swap(Held);
  Store.answerAllCalls();
  CHECK(Store.Stored->State == claim_state::NotRun);
  CHECK(Store.Stored->CallNumber == 2);
}

TEST_CASE("a released claim is replaced by conditional update") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  E1.Manager.abandon(E1.acquire());
  Store.answerAllCalls();
  claim_handle Claim = E2.acquire();
  Store.applyAndAnswer();
  Store.applyAndAnswer();
  REQUIRE(Store.Calls.size() == 1);
  REQUIRE(Store.Calls[0].Kind == fake_store::kind::Replace);
  SUBCASE("its answer arrives") { Store.applyAndAnswer(); }
  SUBCASE("it takes effect but its answer is lost") { Store.applyAndLose(); }
  SUBCASE("it is lost before it takes effect") {
    Store.answer(claim_call_lost{});
  }
  Store.answerAllCalls();
  CHECK(E2.Recorder.granted());
  CHECK(E2.Manager.dispatch(Claim));
}

TEST_CASE("a late replacement of a released record fails") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  E1.Manager.abandon(E1.acquire());
  Store.answerAllCalls();
  claim_handle Claim = E2.acquire();
  Store.applyAndAnswer();
  Store.applyAndAnswer();
  fake_store::call Late = Store.Calls.front();
  Store.answer(claim_call_lost{});
  E2.Manager.abandon(Claim);
  Store.answerAllCalls();
  Store.Calls.push_back(Late);
  CHECK(std::holds_alternative<claim_conflict>(Store.apply()));
  CHECK(Store.Stored->State == claim_state::NotRun);
}

TEST_CASE("a claim of an ended run has an unknown outcome and is kept") {
  fake_store Store;
  host E2(Store, "e2");
  claim_record Held;
  {
    host E1(Store);
    E1.acquire();
    Store.applyAndAnswer();
    Held = *Store.Stored;
  }
  SUBCASE("queried on its successor") {
    host Successor(Store, "e1", 2);
    Successor.acquire();
    Store.answerAllCalls();
    REQUIRE(Successor.Recorder.denied());
    CHECK(Successor.Recorder.denied()->Code == error_code::OutcomeUnknown);
  }
  SUBCASE("queried on another host, the successor answers") {
    host Successor(Store, "e1", 2);
    connectHosts(E2, Successor);
    E2.acquire();
    Store.answerAllCalls();
    exchangeMessages(E2, Successor);
    REQUIRE(E2.Recorder.denied());
    CHECK(E2.Recorder.denied()->Code == error_code::OutcomeUnknown);
  }
  CHECK(*Store.Stored == Held);
}

TEST_CASE("an unresponsive holder leaves the claim undecided") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  connectHosts(E1, E2);
  E1.acquire();
  Store.applyAndAnswer();
  E2.acquire();
  Store.answerAllCalls();
  for (int Step = 0; Step < 4; ++Step)
    E2.advance(ms(150));
  REQUIRE(E2.Recorder.denied());
  CHECK(E2.Recorder.denied()->Code == error_code::ClaimUndecided);
  CHECK(E2.Recorder.denied()->Key == key_status::Uncertain);
  CHECK(E2.Recorder.denied()->RetryAfter);
}

TEST_CASE("a record is read again after its holder stored the outcome") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  connectHosts(E1, E2);
  claim_handle Claim = E1.acquire();
  Store.applyAndAnswer();
  CHECK(E1.Manager.dispatch(Claim));
  E2.acquire();
  Store.applyAndAnswer();
  Store.applyAndAnswer();
  E1.Manager.recordDone(Claim, "out");
  Store.answerAllCalls();
  exchangeMessages(E1, E2);
  Store.answerAllCalls();
  REQUIRE(E2.Recorder.alreadyDone());
  CHECK(E2.Recorder.alreadyDone()->Output == "out");
}

TEST_CASE("stale and foreign replies of holders are ignored") {
  fake_store Store;
  host E1(Store);
  host E2(Store, "e2");
  connectHosts(E1, E2);
  E1.acquire();
  Store.applyAndAnswer();
  E2.acquire();
  Store.answerAllCalls();
  std::vector<peer_message> Asked = E2.sent();
  REQUIRE(Asked.size() == 1);
  claim_query Query = std::get<claim_query>(Asked[0].Body);
  claim_query_reply Reply{
      Query.Sequence, Query.Claim, Query.Attempt, claim_answer::Abandoned, {}};
  peer_message Message{fleet_id("test"), E1.Context.self(), Reply};
  SUBCASE("of another host") { Message.Sender.Host = entry_host_id("e3"); }
  SUBCASE("of another attempt") { Reply.Attempt = attempt_id(99); }
  SUBCASE("of another query") { ++Reply.Sequence; }
  SUBCASE("of an earlier run") { Message.Sender.Run = incarnation(0); }
  Message.Body = Reply;
  E2.Manager.onPeer(Message);
  CHECK(Store.Calls.empty());
  CHECK(E2.Recorder.Decisions.empty());
}
