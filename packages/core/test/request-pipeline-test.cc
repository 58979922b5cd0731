// Requests, attempts and outcomes: each failure and what the caller is told.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "pipeline-fixture.h"

#include <doctest/doctest.h>

using namespace pipeline_fixture;

TEST_CASE("answers of ended, repeated and foreign attempts reach nobody") {
  bench Bench;
  Bench.configure("ab");
  Bench.request(bench::call(1));
  attempt_id First = Bench.last();
  Bench.succeed(attempt_id(99), "foreign");
  Bench.succeed(First, "mid");
  Bench.succeed(First, "repeated");
  Bench.fail(First, backend_error::Broken);
  REQUIRE(Bench.Started.size() == 2);
  CHECK(Bench.Started[1].Input == "mid");
  Bench.succeed(Bench.last(), "out");
  CHECK(Bench.answer(1).Body == "out");
  Bench.succeed(Bench.last(), "late");
  CHECK(Bench.answers(1) == 1);
  for (const status_counter &Counter : Bench.Pipeline->counters())
    if (Counter.Name == "late_answers")
      CHECK(Counter.Value == 4);
}

TEST_CASE("a hedge's loser is cancelled and its answer dropped") {
  bench Bench;
  Bench.configure("a");
  Bench.request(bench::call(1));
  Bench.Scheduler->HedgeWanted.push_back(
      Bench.Scheduler->Running.begin()->second);
  Bench.Scheduler->NextBackend = "b2";
  Bench.advance(ms(1));
  REQUIRE(Bench.Started.size() == 2);
  Bench.succeed(Bench.Started[1].Attempt, "fast");
  CHECK(Bench.answer(1).Body == "fast");
  CHECK(Bench.Cancelled == std::set<attempt_id>{Bench.Started[0].Attempt});
  Bench.succeed(Bench.Started[0].Attempt, "slow");
  CHECK(Bench.answers(1) == 1);
  CHECK(Bench.Scheduler->Running.empty());
  CHECK(Bench.Scheduler->Known.empty());
}

TEST_CASE("a non-repeatable call is never hedged") {
  bench Bench;
  Bench.configure("B");
  Bench.request(bench::keyed(1, 1));
  Bench.settleStore();
  Bench.Scheduler->HedgeWanted.push_back(
      Bench.Scheduler->Running.begin()->second);
  Bench.advance(ms(1));
  CHECK(Bench.Started.size() == 1);
  CHECK(Bench.answers(1) == 0);
  Bench.succeed(Bench.last(), "out");
  CHECK(Bench.answer(1).Outcome == outcome_kind::Complete);
}

TEST_CASE("refusals keep their order and say what is true of the key") {
  bench Bench;
  request_received Call = bench::call(1);
  SUBCASE("no configuration, no key") {
    Bench.request(Call);
    CHECK(Bench.answer(1).Code == error_code::NotReady);
    CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
  }
  SUBCASE("no configuration, a key used before") {
    Bench.request(bench::keyed(1, 2));
    CHECK(Bench.answer(1).Outcome == outcome_kind::Unknown);
    CHECK(Bench.answer(1).RetryAfter);
  }
  SUBCASE("a body too large comes before a missing key") {
    Bench.configure("B");
    Call.Body.assign(101, 'x');
    Bench.request(Call);
    CHECK(Bench.answer(1).Code == error_code::BodyTooLarge);
  }
  SUBCASE("missing key") {
    Bench.configure("aB");
    Bench.request(Call);
    CHECK(Bench.answer(1).Code == error_code::MissingIdempotencyKey);
    CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
    CHECK(Bench.Store.Made == 0);
  }
  SUBCASE("a pipeline without stages") {
    Bench.configure("");
    Bench.request(Call);
    CHECK(Bench.answer(1).Code == error_code::UnknownPipeline);
  }
  SUBCASE("rejected by the scheduler") {
    Bench.configure("B");
    Bench.Scheduler->Rejection = rejection{error_code::Overloaded, ms(7)};
    Bench.request(bench::keyed(1, 1));
    Bench.request(bench::keyed(2, 2));
    Bench.request(bench::keyed(3, std::nullopt));
    CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
    CHECK(Bench.answer(2).Outcome == outcome_kind::Unknown);
    CHECK(Bench.answer(3).Outcome == outcome_kind::Unknown);
    CHECK(Bench.answer(3).RetryAfter == ms(7));
  }
  SUBCASE("shutting down") {
    Bench.configure("a");
    Bench.Pipeline->beginShutdown();
    Bench.request(Call);
    CHECK(Bench.answer(1).Code == error_code::ShuttingDown);
    CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
  }
  CHECK(Bench.Started.empty());
  CHECK(Bench.Pipeline->inFlight() == 0);
}

TEST_CASE("a failed repeatable stage is tried again, then given up") {
  bench Bench;
  Bench.configure("a");
  Bench.Scheduler->Retries = 1;
  Bench.request(bench::call(1));
  SUBCASE("it may have run") {
    Bench.fail(Bench.last(), backend_error::Broken);
    REQUIRE(Bench.Started.size() == 2);
    Bench.fail(Bench.last(), backend_error::ExecutionFailed);
    CHECK(Bench.answer(1).Outcome == outcome_kind::Failed);
    CHECK(Bench.answer(1).Code == error_code::BackendFailed);
  }
  SUBCASE("it certainly didn't run") {
    Bench.fail(Bench.last(), backend_error::NotConnected);
    Bench.fail(Bench.last(), backend_error::Refused);
    CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
    CHECK(Bench.answer(1).Code == error_code::NoBackendAvailable);
  }
  CHECK(Bench.answers(1) == 1);
}

TEST_CASE("a request that ends frees its place for those that wait") {
  bench Bench;
  Bench.configure("B");
  Bench.Scheduler->SubmitRejection = rejection{error_code::Overloaded, ms(1)};
  Bench.request(bench::keyed(1, 1));
  Bench.Scheduler->Queue.push_back(work_id(77));
  Bench.settleStore();
  CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
  CHECK(Bench.Scheduler->Queue.empty());
  CHECK(Bench.Claims->pendingWrites() == 0);
  CHECK(Bench.Store.Stored->State == claim_state::NotRun);
}

TEST_CASE("a request is given up at its deadline whatever it waits for") {
  bench Bench;
  Bench.configure("a");
  Bench.Scheduler->Hold = true;
  Bench.request(bench::call(1));
  CHECK(Bench.Pipeline->nextWakeup() == Bench.Context.now() + ms(1000));
  Bench.advance(ms(1000));
  CHECK(Bench.answer(1).Code == error_code::DeadlinePassed);
  CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
  CHECK(Bench.Pipeline->inFlight() == 0);
}

TEST_CASE("infeasible work gets its final answer at once") {
  bench Bench;
  Bench.configure("aB");
  Bench.Scheduler->Hold = true;
  Bench.request(bench::keyed(1, 1));
  Bench.Scheduler->Expired.push_back(Bench.Scheduler->Queue.front());
  Bench.advance(ms(1));
  CHECK(Bench.answer(1).Code == error_code::DeadlineInfeasible);
  CHECK(Bench.answer(1).Outcome == outcome_kind::NotRun);
}

TEST_CASE("a second stage's refusal doesn't hide that an earlier one ran") {
  bench Bench;
  Bench.configure("BC");
  Bench.request(bench::keyed(1, 1));
  Bench.settleStore();
  Bench.Store.Stored.reset(); // the second stage's claim has its own record
  Bench.succeed(Bench.last(), "b");
  Bench.Store.Calls.erase(Bench.Store.Calls.begin());
  Bench.settleStore();
  REQUIRE(Bench.Started.size() == 2);
  CHECK(Bench.Started[1].Stage == stage_id("C"));
  Bench.fail(Bench.last(), backend_error::Refused);
  CHECK(Bench.answer(1).Outcome == outcome_kind::RanUnanswered);
}

TEST_CASE("a cut stream is taken up again without hole or doubling") {
  bench Bench;
  Bench.configure("a");
  Bench.Scheduler->Retries = 1;
  request_received Call = bench::call(1);
  Call.Streamed = true;
  Bench.request(Call);
  Bench.piece(Bench.last(), 0, "a");
  Bench.piece(Bench.last(), 1, "b");
  SUBCASE("resumed at the same backend server") {
    Bench.fail(Bench.last(), backend_error::Broken);
    CHECK(Bench.Started[1].ResumeFrom == 2);
    Bench.piece(Bench.Started[0].Attempt, 2, "late");
  }
  SUBCASE("repeated at another one") {
    Bench.Scheduler->NextBackend = "b2";
    Bench.fail(Bench.last(), backend_error::TimedOut);
    CHECK(Bench.Started[1].ResumeFrom == 0);
    Bench.piece(Bench.last(), 0, "a");
    Bench.piece(Bench.last(), 1, "b");
  }
  SUBCASE("after an end that came before all pieces") {
    Bench.end(Bench.last(), 3, "abc");
    REQUIRE(Bench.Started.size() == 2);
  }
  Bench.piece(Bench.last(), 2, "c");
  Bench.end(Bench.last(), 3, "abc");
  CHECK(Bench.caller(1).Text == "abc");
  CHECK(Bench.caller(1).InSequence);
  CHECK(Bench.answer(1).Outcome == outcome_kind::Complete);
  CHECK(Bench.answer(1).StreamCount == 3);
  CHECK(Bench.answer(1).StreamDigest == XXH3_64bits("abc", 3));
}

TEST_CASE("a repeat with other text ends in a typed error") {
  bench Bench;
  Bench.configure("a");
  Bench.Scheduler->Retries = 5;
  request_received Call = bench::call(1);
  Call.Streamed = true;
  Bench.request(Call);
  Bench.piece(Bench.last(), 0, "a");
  Bench.Scheduler->NextBackend = "b2";
  Bench.fail(Bench.last(), backend_error::Broken);
  Bench.piece(Bench.last(), 0, "x");
  CHECK(Bench.answer(1).Code == error_code::StreamDiverged);
  CHECK(Bench.answer(1).Outcome == outcome_kind::Failed);
  CHECK(Bench.caller(1).Text == "a");
  CHECK(Bench.Cancelled.contains(Bench.last()));
}

TEST_CASE("a caller that is gone ends repeatable work") {
  bench Bench;
  Bench.configure("ab");
  Bench.request(bench::call(1));
  Bench.callerGone(1);
  CHECK(Bench.Cancelled.contains(Bench.last()));
  CHECK(Bench.Pipeline->inFlight() == 0);
  CHECK(Bench.Scheduler->Known.empty());
  CHECK(Bench.answers(1) == 0);
}
