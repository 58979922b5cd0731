// Requests and attempts: each failure and the outcome that the caller gets.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "pipeline-fixture.h"

#include <doctest/doctest.h>

using namespace pipeline_fixture;

TEST_CASE("late, repeated and foreign answers are dropped") {
  harness Harness;
  Harness.configure("ab");
  Harness.request(harness::call(1));
  attempt_id First = Harness.last();
  Harness.succeed(attempt_id(99), "foreign");
  Harness.succeed(First, "mid");
  Harness.succeed(First, "repeated");
  Harness.fail(First, backend_error::Broken);
  REQUIRE(Harness.Started.size() == 2);
  CHECK(Harness.Started[1].Input == "mid");
  Harness.succeed(Harness.last(), "out");
  CHECK(Harness.answer(1).Body == "out");
  Harness.succeed(Harness.last(), "late");
  CHECK(Harness.answers(1) == 1);
  for (const status_counter &Counter : Harness.Pipeline->counters())
    if (Counter.Name == "late_answers")
      CHECK(Counter.Value == 4);
}

TEST_CASE("the slower of two hedged attempts is cancelled and dropped") {
  harness Harness;
  Harness.configure("a");
  Harness.request(harness::call(1));
  Harness.Scheduler->HedgeQueue.push_back(
      Harness.Scheduler->Running.begin()->second);
  Harness.Scheduler->NextBackend = "b2";
  Harness.advance(ms(1));
  REQUIRE(Harness.Started.size() == 2);
  Harness.succeed(Harness.Started[1].Attempt, "fast");
  CHECK(Harness.answer(1).Body == "fast");
  CHECK(Harness.Cancelled == std::set<attempt_id>{Harness.Started[0].Attempt});
  Harness.succeed(Harness.Started[0].Attempt, "slow");
  CHECK(Harness.answers(1) == 1);
  CHECK(Harness.Scheduler->Running.empty());
  CHECK(Harness.Scheduler->Known.empty());
}

TEST_CASE("a non-repeatable call is never hedged") {
  harness Harness;
  Harness.configure("B");
  Harness.request(harness::keyed(1, 1));
  Harness.answerStoreCalls();
  Harness.Scheduler->HedgeQueue.push_back(
      Harness.Scheduler->Running.begin()->second);
  Harness.advance(ms(1));
  CHECK(Harness.Started.size() == 1);
  CHECK(Harness.answers(1) == 0);
  Harness.succeed(Harness.last(), "out");
  CHECK(Harness.answer(1).Outcome == outcome_kind::Complete);
}

TEST_CASE("refusals are checked in order and report the key's outcome") {
  harness Harness;
  request_received Call = harness::call(1);
  SUBCASE("no configuration, no key") {
    Harness.request(Call);
    CHECK(Harness.answer(1).Code == error_code::NotReady);
    CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
  }
  SUBCASE("no configuration, a key used before") {
    Harness.request(harness::keyed(1, 2));
    CHECK(Harness.answer(1).Outcome == outcome_kind::Unknown);
    CHECK(Harness.answer(1).RetryAfter);
  }
  SUBCASE("a body too large comes before a missing key") {
    Harness.configure("B");
    Call.Body.assign(101, 'x');
    Harness.request(Call);
    CHECK(Harness.answer(1).Code == error_code::BodyTooLarge);
  }
  SUBCASE("missing key") {
    Harness.configure("aB");
    Harness.request(Call);
    CHECK(Harness.answer(1).Code == error_code::MissingIdempotencyKey);
    CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
    CHECK(Harness.Store.CallCount == 0);
  }
  SUBCASE("a pipeline without stages") {
    Harness.configure("");
    Harness.request(Call);
    CHECK(Harness.answer(1).Code == error_code::UnknownPipeline);
  }
  SUBCASE("rejected by the scheduler") {
    Harness.configure("B");
    Harness.Scheduler->Rejection = rejection{error_code::Overloaded, ms(7)};
    Harness.request(harness::keyed(1, 1));
    Harness.request(harness::keyed(2, 2));
    Harness.request(harness::keyed(3, std::nullopt));
    CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
    CHECK(Harness.answer(2).Outcome == outcome_kind::Unknown);
    CHECK(Harness.answer(3).Outcome == outcome_kind::Unknown);
    CHECK(Harness.answer(3).RetryAfter == ms(7));
  }
  SUBCASE("shutting down") {
    Harness.configure("a");
    Harness.Pipeline->beginShutdown();
    Harness.request(Call);
    CHECK(Harness.answer(1).Code == error_code::ShuttingDown);
    CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
  }
  CHECK(Harness.Started.empty());
  CHECK(Harness.Pipeline->inFlight() == 0);
}

TEST_CASE("a failed repeatable stage is retried, then fails the request") {
  harness Harness;
  Harness.configure("a");
  Harness.Scheduler->Retries = 1;
  Harness.request(harness::call(1));
  SUBCASE("it may have run") {
    Harness.fail(Harness.last(), backend_error::Broken);
    REQUIRE(Harness.Started.size() == 2);
    Harness.fail(Harness.last(), backend_error::ExecutionFailed);
    CHECK(Harness.answer(1).Outcome == outcome_kind::Failed);
    CHECK(Harness.answer(1).Code == error_code::BackendFailed);
  }
  SUBCASE("it certainly didn't run") {
    Harness.fail(Harness.last(), backend_error::NotConnected);
    Harness.fail(Harness.last(), backend_error::Refused);
    CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
    CHECK(Harness.answer(1).Code == error_code::NoBackendAvailable);
  }
  CHECK(Harness.answers(1) == 1);
}

TEST_CASE("a request that ends frees its slot for waiting ones") {
  harness Harness;
  Harness.configure("B");
  Harness.Scheduler->SubmitRejection = rejection{error_code::Overloaded, ms(1)};
  Harness.request(harness::keyed(1, 1));
  Harness.Scheduler->Queue.push_back(work_id(77));
  Harness.answerStoreCalls();
  CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
  CHECK(Harness.Scheduler->Queue.empty());
  CHECK(Harness.Claims->pendingWrites() == 0);
  CHECK(Harness.Store.Stored->State == claim_state::NotRun);
}

TEST_CASE("a request fails at its deadline in any state") {
  harness Harness;
  Harness.configure("a");
  Harness.Scheduler->DispatchPaused = true;
  Harness.request(harness::call(1));
  CHECK(Harness.Pipeline->nextWakeup() == Harness.Context.now() + ms(1000));
  Harness.advance(ms(1000));
  CHECK(Harness.answer(1).Code == error_code::DeadlinePassed);
  CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
  CHECK(Harness.Pipeline->inFlight() == 0);
}

TEST_CASE("infeasible work gets its final answer at once") {
  harness Harness;
  Harness.configure("aB");
  Harness.Scheduler->DispatchPaused = true;
  Harness.request(harness::keyed(1, 1));
  Harness.Scheduler->Expired.push_back(Harness.Scheduler->Queue.front());
  Harness.advance(ms(1));
  CHECK(Harness.answer(1).Code == error_code::DeadlineInfeasible);
  CHECK(Harness.answer(1).Outcome == outcome_kind::NotRun);
}

TEST_CASE("a refusal of the second stage doesn't hide that the first ran") {
  harness Harness;
  Harness.configure("BC");
  Harness.request(harness::keyed(1, 1));
  Harness.answerStoreCalls();
  Harness.Store.Stored.reset(); // the second stage's claim has its own record
  Harness.succeed(Harness.last(), "b");
  Harness.Store.Calls.erase(Harness.Store.Calls.begin());
  Harness.answerStoreCalls();
  REQUIRE(Harness.Started.size() == 2);
  CHECK(Harness.Started[1].Stage == stage_id("C"));
  Harness.fail(Harness.last(), backend_error::Refused);
  CHECK(Harness.answer(1).Outcome == outcome_kind::RanUnanswered);
}

TEST_CASE("a broken stream is continued without gaps or duplicates") {
  harness Harness;
  Harness.configure("a");
  Harness.Scheduler->Retries = 1;
  request_received Call = harness::call(1);
  Call.Streamed = true;
  Harness.request(Call);
  Harness.piece(Harness.last(), 0, "a");
  Harness.piece(Harness.last(), 1, "b");
  SUBCASE("resumed at the same backend server") {
    Harness.fail(Harness.last(), backend_error::Broken);
    CHECK(Harness.Started[1].ResumeFrom == 2);
    Harness.piece(Harness.Started[0].Attempt, 2, "late");
  }
  SUBCASE("restarted at another one") {
    Harness.Scheduler->NextBackend = "b2";
    Harness.fail(Harness.last(), backend_error::TimedOut);
    CHECK(Harness.Started[1].ResumeFrom == 0);
    Harness.piece(Harness.last(), 0, "a");
    Harness.piece(Harness.last(), 1, "b");
  }
  SUBCASE("after an end that came before all pieces") {
    Harness.end(Harness.last(), 3, "abc");
    REQUIRE(Harness.Started.size() == 2);
  }
  Harness.piece(Harness.last(), 2, "c");
  Harness.end(Harness.last(), 3, "abc");
  CHECK(Harness.caller(1).Text == "abc");
  CHECK(Harness.caller(1).InSequence);
  CHECK(Harness.answer(1).Outcome == outcome_kind::Complete);
  CHECK(Harness.answer(1).StreamCount == 3);
  CHECK(Harness.answer(1).StreamDigest == XXH3_64bits("abc", 3));
}

TEST_CASE("a restarted stream with other text ends as diverged") {
  harness Harness;
  Harness.configure("a");
  Harness.Scheduler->Retries = 5;
  request_received Call = harness::call(1);
  Call.Streamed = true;
  Harness.request(Call);
  Harness.piece(Harness.last(), 0, "a");
  Harness.Scheduler->NextBackend = "b2";
  Harness.fail(Harness.last(), backend_error::Broken);
  Harness.piece(Harness.last(), 0, "x");
  CHECK(Harness.answer(1).Code == error_code::StreamDiverged);
  CHECK(Harness.answer(1).Outcome == outcome_kind::Failed);
  CHECK(Harness.caller(1).Text == "a");
  CHECK(Harness.Cancelled.contains(Harness.last()));
}

TEST_CASE("a disconnected caller cancels repeatable work") {
  harness Harness;
  Harness.configure("ab");
  Harness.request(harness::call(1));
  Harness.callerGone(1);
  CHECK(Harness.Cancelled.contains(Harness.last()));
  CHECK(Harness.Pipeline->inFlight() == 0);
  CHECK(Harness.Scheduler->Known.empty());
  CHECK(Harness.answers(1) == 0);
}
