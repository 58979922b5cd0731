// Requests with non-repeatable stages: what runs, what is recorded and what
// the caller is told.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "pipeline-fixture.h"

#include <doctest/doctest.h>

using namespace pipeline_fixture;

namespace {

// A bench whose request 1 has its non-repeatable stage under way.
struct dispatched : bench {
  explicit dispatched(const std::string &Stages = "B", bool Streamed = false) {
    configure(Stages);
    request_received Call = keyed(1, 1);
    Call.Streamed = Streamed;
    request(Call);
    settleStore();
  }
};

} // namespace

TEST_CASE("a claimed call is dispatched once and its outcome recorded") {
  dispatched Bench;
  REQUIRE(Bench.Started.size() == 1);
  CHECK_FALSE(Bench.Started[0].Repeatable);
  Bench.succeed(Bench.last(), "out");
  // The answer doesn't wait for the outcome's write.
  CHECK(Bench.answer(1).Body == "out");
  CHECK_FALSE(Bench.answer(1).Replayed);
  Bench.settleStore();
  CHECK(Bench.Store.Stored->State == claim_state::Done);
  CHECK(Bench.Store.Made == 2);
}

TEST_CASE("a done stage is not run again and later stages go on") {
  dispatched Bench("Bc");
  Bench.succeed(Bench.last(), "b");
  Bench.settleStore();
  Bench.fail(Bench.last(), backend_error::ExecutionFailed);
  CHECK(Bench.answer(1).Outcome == outcome_kind::RanUnanswered);
  Bench.request(bench::keyed(2, 2));
  Bench.settleStore();
  REQUIRE(Bench.Started.size() == 3);
  CHECK(Bench.Started[2].Stage == stage_id("c"));
  CHECK(Bench.Started[2].Input == "b");
  Bench.succeed(Bench.last(), "c");
  CHECK(Bench.answer(2).Outcome == outcome_kind::Complete);
  CHECK_FALSE(Bench.answer(2).Replayed);
}

TEST_CASE("a recorded answer is replayed") {
  dispatched Bench("B", true);
  Bench.piece(Bench.last(), 0, "x");
  Bench.piece(Bench.last(), 1, "y");
  Bench.end(Bench.last(), 2, "xy");
  CHECK(Bench.answer(1).StreamCount == 2);
  Bench.settleStore();
  CHECK(Bench.Store.Stored->Output == "xy");
  request_received Again = bench::keyed(2, 2);
  SUBCASE("as a whole") {
    Bench.request(Again);
    Bench.settleStore();
    CHECK(Bench.answer(2).Body == "xy");
  }
  SUBCASE("as a stream") {
    Again.Streamed = true;
    Bench.request(Again);
    Bench.settleStore();
    CHECK(Bench.caller(2).Text == "xy");
    CHECK(Bench.answer(2).StreamCount == 1);
    CHECK(Bench.answer(2).StreamDigest == XXH3_64bits("xy", 2));
  }
  CHECK(Bench.answer(2).Replayed);
  CHECK(Bench.Started.size() == 1);
}

TEST_CASE("a call that left without an answer is unknown, never repeated") {
  dispatched Bench("B", true);
  Bench.Scheduler->Retries = 5;
  SUBCASE("broken") { Bench.fail(Bench.last(), backend_error::Broken); }
  SUBCASE("timed out") { Bench.fail(Bench.last(), backend_error::TimedOut); }
  SUBCASE("ran and failed") {
    Bench.fail(Bench.last(), backend_error::ExecutionFailed);
  }
  SUBCASE("cut in mid-stream") {
    Bench.piece(Bench.last(), 0, "x");
    Bench.end(Bench.last(), 2, "xy");
  }
  SUBCASE("with a wrong digest") {
    Bench.piece(Bench.last(), 0, "x");
    Bench.end(Bench.last(), 1, "y");
  }
  CHECK(Bench.answer(1).Outcome == outcome_kind::Unknown);
  CHECK(Bench.Started.size() == 1);
  Bench.settleStore();
  CHECK(Bench.Store.Stored->State == claim_state::Unknown);
  Bench.request(bench::keyed(2, 2));
  Bench.settleStore();
  CHECK(Bench.answer(2).Outcome == outcome_kind::Unknown);
  CHECK(Bench.Started.size() == 1);
}

TEST_CASE("a call that didn't leave is tried elsewhere under its claim") {
  dispatched Bench;
  Bench.Scheduler->Retries = 1;
  Bench.fail(Bench.last(), backend_error::NotConnected);
  REQUIRE(Bench.Started.size() == 2);
  CHECK(Bench.Store.Made == 1);
  SUBCASE("and succeeds") {
    Bench.succeed(Bench.last(), "out");
    CHECK(Bench.answer(1).Outcome == outcome_kind::Complete);
  }
  SUBCASE("and is given up") {
    Bench.fail(Bench.last(), backend_error::RefusedLeaving);
    CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
    Bench.settleStore();
    CHECK(Bench.Store.Stored->State == claim_state::NotRun);
  }
}

TEST_CASE("idempotent stages before an undecided claim are said to have run") {
  bench Bench;
  Bench.configure("aB");
  Bench.request(bench::keyed(1, 1));
  Bench.succeed(Bench.last(), "a");
  Bench.Store.Away = true;
  Bench.Claims->checkStore();
  Bench.collect();
  CHECK(Bench.answer(1).Outcome == outcome_kind::Failed);
  CHECK(Bench.answer(1).Code == error_code::PlatformUnavailable);
  CHECK(Bench.answer(1).RetryAfter);
}

TEST_CASE("a platform that is slow past the deadline") {
  bench Bench;
  Bench.configure("B");
  Bench.request(bench::keyed(1, 1));
  Bench.request([] {
    request_received Other = bench::keyed(2, 2);
    Other.Key = idempotency_key("other");
    return Other;
  }());
  Bench.advance(ms(750));
  CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
  CHECK(Bench.answer(1).Code == error_code::ClaimUndecided);
  CHECK(Bench.answer(2).Outcome == outcome_kind::Unknown);
  CHECK(Bench.answer(2).RetryAfter);
  Bench.Store.applyAndAnswer();
  Bench.collect();
  CHECK(Bench.Started.empty());
}

TEST_CASE("at the deadline the caller is answered and the call waited for") {
  dispatched Bench;
  Bench.advance(ms(1000));
  CHECK(Bench.answer(1).Outcome == outcome_kind::Unknown);
  CHECK(Bench.answer(1).Code == error_code::OutcomeUnknown);
  CHECK(Bench.Pipeline->inFlight() == 1);
  CHECK(Bench.Scheduler->Known.empty());
  CHECK(Bench.Scheduler->Running.empty());
  SUBCASE("its answer is recorded for a retry") {
    Bench.succeed(Bench.last(), "out");
    Bench.settleStore();
    CHECK(Bench.Store.Stored->State == claim_state::Done);
  }
  SUBCASE("no answer is recorded as unknown") {
    Bench.advance(std::chrono::duration_cast<ms>(NonRepeatableGrace));
    Bench.settleStore();
    CHECK(Bench.Store.Stored->State == claim_state::Unknown);
  }
  SUBCASE("a refusal releases the claim") {
    Bench.fail(Bench.last(), backend_error::Refused);
    Bench.settleStore();
    CHECK(Bench.Store.Stored->State == claim_state::NotRun);
  }
  CHECK(Bench.answers(1) == 1);
  CHECK(Bench.Pipeline->inFlight() == 0);
  CHECK(Bench.Pipeline->nextWakeup() == std::nullopt);
}

TEST_CASE("a caller that is gone doesn't stop a call that has left") {
  dispatched Bench("Bc");
  Bench.callerGone(1);
  CHECK(Bench.Cancelled.empty());
  CHECK(Bench.Scheduler->Running.size() == 1);
  Bench.succeed(Bench.last(), "b");
  Bench.settleStore();
  CHECK(Bench.Store.Stored->State == claim_state::Done);
  CHECK(Bench.Started.size() == 1);
  CHECK(Bench.Pipeline->inFlight() == 0);
  CHECK(Bench.answers(1) == 0);
}

TEST_CASE("a caller that is gone before dispatch has its claim released") {
  bench Bench;
  Bench.configure("B");
  Bench.Scheduler->Hold = true;
  Bench.request(bench::keyed(1, 1));
  SUBCASE("while it is undecided") {}
  SUBCASE("after it was granted") { Bench.settleStore(); }
  Bench.callerGone(1);
  Bench.settleStore();
  CHECK(Bench.Store.Stored->State == claim_state::NotRun);
  Bench.Scheduler->Hold = false;
  Bench.advance(ms(1));
  CHECK(Bench.Started.empty());
}

TEST_CASE("a claim that lapsed in the queue is not dispatched") {
  bench Bench;
  Bench.configure("B");
  Bench.Scheduler->Hold = true;
  Bench.request(bench::keyed(1, 1));
  Bench.settleStore();
  Bench.Scheduler->Hold = false;
  // The host was paused: the next thing it sees is long after the deadline.
  Bench.Context.begin(Bench.Context.now() + ms(5000));
  Bench.request(bench::call(2));
  CHECK(Bench.Started.empty());
  CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
}

TEST_CASE("the same key with another body is a typed error") {
  dispatched Bench;
  request_received Other = bench::keyed(2, 1);
  Other.Body = "other";
  SUBCASE("while the first is in progress") { Bench.request(Other); }
  SUBCASE("after it") {
    Bench.succeed(Bench.last(), "out");
    Bench.settleStore();
    Bench.request(Other);
    Bench.settleStore();
  }
  CHECK(Bench.answer(2).Code == error_code::KeyReusedWithOtherBody);
  CHECK(Bench.answer(2).Outcome == outcome_kind::Unknown);
  CHECK(Bench.Started.size() == 1);
}

TEST_CASE("the same key in progress here is said at once") {
  dispatched Bench;
  Bench.request(bench::keyed(2, 1));
  CHECK(Bench.answer(2).Code == error_code::KeyInProgress);
  CHECK(Bench.answer(2).Outcome == outcome_kind::Unknown);
  CHECK(Bench.answer(2).RetryAfter);
}

TEST_CASE("not run is promised only to calls that declare their number") {
  bench Bench;
  Bench.configure("B");
  SUBCASE("declared") {
    Bench.request(bench::keyed(1, 4));
    Bench.settleStore();
    Bench.fail(Bench.last(), backend_error::Refused);
    CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
  }
  SUBCASE("not declared") {
    Bench.request(bench::keyed(1, std::nullopt));
    Bench.settleStore();
    Bench.fail(Bench.last(), backend_error::Refused);
    CHECK(Bench.answer(1).Outcome == outcome_kind::Unknown);
    CHECK(Bench.answer(1).RetryAfter);
  }
}

TEST_CASE("a call overtaken by one that was told not run doesn't run") {
  bench Bench;
  Bench.configure("B");
  Bench.request(bench::keyed(2, 2));
  Bench.settleStore();
  Bench.fail(Bench.last(), backend_error::Refused);
  CHECK(Bench.answer(2).Outcome == outcome_kind::NotRun);
  Bench.settleStore();
  // The first call was held up on its way.
  Bench.request(bench::keyed(1, 1));
  Bench.settleStore();
  CHECK(Bench.Started.size() == 1);
  CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
  CHECK(Bench.answer(1).Code == error_code::SupersededByLaterCall);
}
