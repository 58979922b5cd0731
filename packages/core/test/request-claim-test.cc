// Requests with non-repeatable stages: which calls run, which outcomes are
// recorded and which answers callers get.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "pipeline-fixture.h"

#include <doctest/doctest.h>

using namespace pipeline_fixture;

namespace {

// A harness whose request 1 has its non-repeatable stage in flight.
struct dispatched_harness : harness {
  explicit dispatched_harness(const std::string &Stages = "B",
                              bool Streamed = false) {
    configure(Stages);
    request_received Call = keyed(1, 1);
    Call.Streamed = Streamed;
    request(Call);
    answerStoreCalls();
  }
};

} // namespace

TEST_CASE("a claimed call is dispatched once and its outcome recorded") {
  dispatched_harness Harness;
  REQUIRE(Harness.Started.size() == 1);
  CHECK_FALSE(Harness.Started[0].Repeatable);
  Harness.succeed(Harness.last(), "out");
  // The answer doesn't wait for the write of the outcome.
  CHECK(Harness.answer(1).Body == "out");
  CHECK_FALSE(Harness.answer(1).Replayed);
  Harness.answerStoreCalls();
  CHECK(Harness.Store.Stored->State == claim_state::Done);
  CHECK(Harness.Store.CallCount == 2);
}

TEST_CASE("a completed stage is not run again and later stages run") {
  dispatched_harness Harness("Bc");
  Harness.succeed(Harness.last(), "b");
  Harness.answerStoreCalls();
  Harness.fail(Harness.last(), backend_error::ExecutionFailed);
  CHECK(Harness.answer(1).Outcome == outcome_kind::RanUnanswered);
  Harness.request(harness::keyed(2, 2));
  Harness.answerStoreCalls();
  REQUIRE(Harness.Started.size() == 3);
  CHECK(Harness.Started[2].Stage == stage_id("c"));
  CHECK(Harness.Started[2].Input == "b");
  Harness.succeed(Harness.last(), "c");
  CHECK(Harness.answer(2).Outcome == outcome_kind::Complete);
  CHECK_FALSE(Harness.answer(2).Replayed);
}

TEST_CASE("a recorded answer is replayed") {
  dispatched_harness Harness("B", true);
  Harness.piece(Harness.last(), 0, "x");
  Harness.piece(Harness.last(), 1, "y");
  Harness.end(Harness.last(), 2, "xy");
  CHECK(Harness.answer(1).StreamCount == 2);
  Harness.answerStoreCalls();
  CHECK(Harness.Store.Stored->Output == "xy");
  request_received Again = harness::keyed(2, 2);
  SUBCASE("as a whole") {
    Harness.request(Again);
    Harness.answerStoreCalls();
    CHECK(Harness.answer(2).Body == "xy");
  }
  SUBCASE("as a stream") {
    Again.Streamed = true;
    Harness.request(Again);
    Harness.answerStoreCalls();
    CHECK(Harness.caller(2).Text == "xy");
    CHECK(Harness.answer(2).StreamCount == 1);
    CHECK(Harness.answer(2).StreamDigest == XXH3_64bits("xy", 2));
  }
  CHECK(Harness.answer(2).Replayed);
  CHECK(Harness.Started.size() == 1);
}

TEST_CASE("a call sent without an answer is unknown and never repeated") {
  dispatched_harness Harness("B", true);
  Harness.Scheduler->Retries = 5;
  SUBCASE("broken") { Harness.fail(Harness.last(), backend_error::Broken); }
  SUBCASE("timed out") {
    Harness.fail(Harness.last(), backend_error::TimedOut);
  }
  SUBCASE("ran and failed") {
    Harness.fail(Harness.last(), backend_error::ExecutionFailed);
  }
  SUBCASE("broken off in mid-stream") {
    Harness.piece(Harness.last(), 0, "x");
    Harness.end(Harness.last(), 2, "xy");
  }
  SUBCASE("with a wrong digest") {
    Harness.piece(Harness.last(), 0, "x");
    Harness.end(Harness.last(), 1, "y");
  }
  CHECK(Harness.answer(1).Outcome == outcome_kind::Unknown);
  CHECK(Harness.Started.size() == 1);
  Harness.answerStoreCalls();
  CHECK(Harness.Store.Stored->State == claim_state::Unknown);
  Harness.request(harness::keyed(2, 2));
  Harness.answerStoreCalls();
  CHECK(Harness.answer(2).Outcome == outcome_kind::Unknown);
  CHECK(Harness.Started.size() == 1);
}

TEST_CASE("a call that wasn't sent is retried under the same claim") {
  dispatched_harness Harness;
  Harness.Scheduler->Retries = 1;
  Harness.fail(Harness.last(), backend_error::NotConnected);
  REQUIRE(Harness.Started.size() == 2);
  CHECK(Harness.Store.CallCount == 1);
  SUBCASE("and succeeds") {
    Harness.succeed(Harness.last(), "out");
    CHECK(Harness.answer(1).Outcome == outcome_kind::Complete);
  }
  SUBCASE("and fails") {
    Harness.fail(Harness.last(), backend_error::RefusedLeaving);
    CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
    Harness.answerStoreCalls();
    CHECK(Harness.Store.Stored->State == claim_state::NotRun);
  }
}

TEST_CASE("stages run before an undecided claim are reported as run") {
  harness Harness;
  Harness.configure("aB");
  Harness.request(harness::keyed(1, 1));
  Harness.succeed(Harness.last(), "a");
  Harness.Store.Unavailable = true;
  Harness.Claims->checkStore();
  Harness.collect();
  CHECK(Harness.answer(1).Outcome == outcome_kind::Failed);
  CHECK(Harness.answer(1).Code == error_code::PlatformUnavailable);
  CHECK(Harness.answer(1).RetryAfter);
}

TEST_CASE("a platform that is too slow leaves claims undecided") {
  harness Harness;
  Harness.configure("B");
  Harness.request(harness::keyed(1, 1));
  Harness.request([] {
    request_received Other = harness::keyed(2, 2);
    Other.Key = idempotency_key("other");
    return Other;
  }());
  Harness.advance(ms(750));
  CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
  CHECK(Harness.answer(1).Code == error_code::ClaimUndecided);
  CHECK(Harness.answer(2).Outcome == outcome_kind::Unknown);
  CHECK(Harness.answer(2).RetryAfter);
  Harness.Store.applyAndAnswer();
  Harness.collect();
  CHECK(Harness.Started.empty());
}

TEST_CASE("at the deadline the caller is answered and its call kept") {
  dispatched_harness Harness;
  Harness.advance(ms(1000));
  CHECK(Harness.answer(1).Outcome == outcome_kind::Unknown);
  CHECK(Harness.answer(1).Code == error_code::OutcomeUnknown);
  CHECK(Harness.Pipeline->inFlight() == 1);
  CHECK(Harness.Scheduler->Known.empty());
  CHECK(Harness.Scheduler->Running.empty());
  SUBCASE("its answer is recorded for a retry") {
    Harness.succeed(Harness.last(), "out");
    Harness.answerStoreCalls();
    CHECK(Harness.Store.Stored->State == claim_state::Done);
  }
  SUBCASE("no answer is recorded as unknown") {
    Harness.advance(std::chrono::duration_cast<ms>(NonRepeatableGrace));
    Harness.answerStoreCalls();
    CHECK(Harness.Store.Stored->State == claim_state::Unknown);
  }
  SUBCASE("a refusal releases the claim") {
    Harness.fail(Harness.last(), backend_error::Refused);
    Harness.answerStoreCalls();
    CHECK(Harness.Store.Stored->State == claim_state::NotRun);
  }
  CHECK(Harness.answers(1) == 1);
  CHECK(Harness.Pipeline->inFlight() == 0);
  CHECK(Harness.Pipeline->nextWakeup() == std::nullopt);
}

TEST_CASE("a disconnected caller doesn't stop a call in flight") {
  dispatched_harness Harness("Bc");
  Harness.callerGone(1);
  CHECK(Harness.Cancelled.empty());
  CHECK(Harness.Scheduler->Running.size() == 1);
  Harness.succeed(Harness.last(), "b");
  Harness.answerStoreCalls();
  CHECK(Harness.Store.Stored->State == claim_state::Done);
  CHECK(Harness.Started.size() == 1);
  CHECK(Harness.Pipeline->inFlight() == 0);
  CHECK(Harness.answers(1) == 0);
}

TEST_CASE("a claim is released if its caller disconnects before dispatch") {
  harness Harness;
  Harness.configure("B");
  Harness.Scheduler->DispatchPaused = true;
  Harness.request(harness::keyed(1, 1));
  SUBCASE("while it is undecided") {}
  SUBCASE("after it was granted") { Harness.answerStoreCalls(); }
  Harness.callerGone(1);
  Harness.answerStoreCalls();
  CHECK(Harness.Store.Stored->State == claim_state::NotRun);
  Harness.Scheduler->DispatchPaused = false;
  Harness.advance(ms(1));
  CHECK(Harness.Started.empty());
}

TEST_CASE("a claim that expired in the queue is not dispatched") {
  harness Harness;
  Harness.configure("B");
  Harness.Scheduler->DispatchPaused = true;
  Harness.request(harness::keyed(1, 1));
  Harness.answerStoreCalls();
  Harness.Scheduler->DispatchPaused = false;
  // The host was paused: its next event arrives long after the deadline.
  Harness.Context.begin(Harness.Context.now() + ms(5000));
  Harness.request(harness::call(2));
  CHECK(Harness.Started.empty());
  CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
}

TEST_CASE("the same key with another body is rejected as reused") {
  dispatched_harness Harness;
  request_received Other = harness::keyed(2, 1);
  Other.Body = "other";
  SUBCASE("while the first is in progress") { Harness.request(Other); }
  SUBCASE("after it") {
    Harness.succeed(Harness.last(), "out");
    Harness.answerStoreCalls();
    Harness.request(Other);
    Harness.answerStoreCalls();
  }
  CHECK(Harness.answer(2).Code == error_code::KeyReusedWithOtherBody);
  CHECK(Harness.answer(2).Outcome == outcome_kind::Unknown);
  CHECK(Harness.Started.size() == 1);
}

TEST_CASE("a key in progress on this host is reported at once") {
  dispatched_harness Harness;
  Harness.request(harness::keyed(2, 1));
  CHECK(Harness.answer(2).Code == error_code::KeyInProgress);
  CHECK(Harness.answer(2).Outcome == outcome_kind::Unknown);
  CHECK(Harness.answer(2).RetryAfter);
}

TEST_CASE("not run is reported only to calls that declare their number") {
  harness Harness;
  Harness.configure("B");
  SUBCASE("declared") {
    Harness.request(harness::keyed(1, 4));
    Harness.answerStoreCalls();
    Harness.fail(Harness.last(), backend_error::Refused);
    CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
  }
  SUBCASE("not declared") {
    Harness.request(harness::keyed(1, std::nullopt));
    Harness.answerStoreCalls();
    Harness.fail(Harness.last(), backend_error::Refused);
    CHECK(Harness.answer(1).Outcome == outcome_kind::Unknown);
    CHECK(Harness.answer(1).RetryAfter);
  }
}

TEST_CASE("a call delayed past a later one answered not run doesn't run") {
  harness Harness;
  Harness.configure("B");
  Harness.request(harness::keyed(2, 2));
  Harness.answerStoreCalls();
  Harness.fail(Harness.last(), backend_error::Refused);
  CHECK(Harness.answer(2).Outcome == outcome_kind::NotRun);
  Harness.answerStoreCalls();
  // The first call was delayed in transit.
  Harness.request(harness::keyed(1, 1));
  Harness.answerStoreCalls();
  CHECK(Harness.Started.size() == 1);
  CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
  CHECK(Harness.answer(1).Code == error_code::SupersededByLaterCall);
}
