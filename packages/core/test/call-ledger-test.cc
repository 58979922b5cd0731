// What is known of a request's calls, and its text in logs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/call_ledger.h"

#include <doctest/doctest.h>

using namespace jasminecroft;

namespace {

const backend_id First("i-1");
const backend_id Second("i-2");

answer_evidence refusal(unsigned Status, answer_subject Subject, bool Reused) {
  answer_evidence Answer;
  Answer.Status = Status;
  Answer.Subject = Subject;
  Answer.Connection.Reused = Reused;
  Answer.Statement = not_run_statement::Plain;
  return Answer;
}

} // namespace

TEST_CASE("a request without a call is proved not to have run") {
  call_ledger Ledger;
  CHECK(Ledger.provesNotRun());
  CHECK(Ledger.describe() == "none");
}

TEST_CASE("only refused and unconnected calls prove that nothing ran") {
  for (call_fate Fate :
       {call_fate::InFlight, call_fate::Answered, call_fate::Broken,
        call_fate::TimedOut, call_fate::GivenUp}) {
    call_ledger Ledger;
    Ledger.begin(First);
    Ledger.end(Fate);
    CHECK_FALSE(Ledger.provesNotRun());
  }
  call_ledger Ledger;
  Ledger.begin(First);
  CHECK_FALSE(Ledger.provesNotRun());
  Ledger.end(call_fate::NotConnected);
  CHECK(Ledger.provesNotRun());
  Ledger.begin(Second);
  Ledger.end(call_fate::Refused,
             refusal(503, answer_subject::ThisRequest, false));
  CHECK(Ledger.provesNotRun());
  CHECK(Ledger.describe() ==
        "i-1=not_connected,i-2=refused_503_named_new_stated");
}

TEST_CASE("a later refusal does not outweigh a call that may have run") {
  call_ledger Ledger;
  Ledger.begin(First);
  Ledger.end(call_fate::TimedOut);
  Ledger.begin(Second);
  Ledger.end(call_fate::Refused, refusal(429, answer_subject::Unnamed, true));
  CHECK_FALSE(Ledger.provesNotRun());
  CHECK(Ledger.describe() ==
        "i-1=timed_out,i-2=refused_429_unnamed_reused_stated");
}

TEST_CASE("a refusal without a name counts only on a new connection") {
  for (bool Named : {false, true})
    for (bool Reused : {false, true}) {
      call_ledger Ledger;
      Ledger.begin(First);
      Ledger.end(call_fate::Refused, refusal(503,
                                             Named ? answer_subject::ThisRequest
                                                   : answer_subject::Unnamed,
                                             Reused));
      CHECK(Ledger.provesNotRun() == (Named || !Reused));
    }
}

TEST_CASE("a call that may have run counts also when its record is dropped") {
  call_ledger Ledger;
  Ledger.begin(First);
  Ledger.end(call_fate::Broken);
  for (int I = 0; I < 100; ++I) {
    Ledger.begin(Second);
    Ledger.end(call_fate::NotConnected);
  }
  CHECK_FALSE(Ledger.provesNotRun());
  CHECK(Ledger.count() == 101);
  CHECK(Ledger.describe().starts_with("93_earlier_may_have_run,i-2="));
}
