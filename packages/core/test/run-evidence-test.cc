// Which answers prove that a request has not run.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/run_evidence.h"

#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace jasminecroft;

namespace {

answer_evidence stated(unsigned Status) {
  answer_evidence Answer;
  Answer.Status = Status;
  Answer.Subject = answer_subject::ThisRequest;
  Answer.Statement = not_run_statement::Plain;
  return Answer;
}

answer_evidence misdirected() {
  answer_evidence Answer;
  Answer.Status = 421;
  Answer.Source = answer_source::OtherServer;
  return Answer;
}

using change = std::pair<std::string, std::function<void(answer_evidence &)>>;

/// Each of them contradicts a statement that nothing ran.
const std::vector<change> Contradictions = {
    {"signature", [](answer_evidence &Answer) { Answer.Signed = true; }},
    {"unclear statement",
     [](answer_evidence &Answer) {
       Answer.Statement = not_run_statement::Unclear;
     }},
    {"two names",
     [](answer_evidence &Answer) { Answer.Subject = answer_subject::Unclear; }},
    {"two servers",
     [](answer_evidence &Answer) { Answer.Source = answer_source::Unclear; }},
    {"interim answer",
     [](answer_evidence &Answer) { Answer.Connection.InterimSpoke = true; }},
    {"unnamed on a used connection",
     [](answer_evidence &Answer) {
       Answer.Subject = answer_subject::Unnamed;
       Answer.Connection.Reused = true;
     }},
    {"unnamed behind another answer", [](answer_evidence &Answer) {
       Answer.Subject = answer_subject::Unnamed;
       Answer.Connection.OtherAnswers = true;
     }}};

} // namespace

TEST_CASE("the statement proves that nothing ran with the statuses that "
          "servers give it") {
  for (unsigned Status = 100; Status < 600; ++Status) {
    CAPTURE(Status);
    bool Listed = Status == 400 || Status == 409 || Status == 421 ||
                  Status == 429 || Status == 503;
    CHECK(provesNotRun(judge(stated(Status))) == Listed);
  }
}

TEST_CASE("another server at the address has not run the request") {
  CHECK(judge(misdirected()) == answer_verdict::WrongServer);
  answer_evidence Stated = misdirected();
  Stated.Statement = not_run_statement::Plain;
  CHECK(judge(Stated) == answer_verdict::WrongServer);
}

TEST_CASE("a 421 of the expected server or of nobody proves nothing") {
  for (answer_source Source :
       {answer_source::Unsaid, answer_source::ExpectedServer}) {
    answer_evidence Answer = misdirected();
    Answer.Source = Source;
    CHECK(judge(Answer) == answer_verdict::Unproven);
  }
}

TEST_CASE("a 421 with the statement is a refusal unless the expected server "
          "gives it") {
  answer_evidence Answer = misdirected();
  Answer.Statement = not_run_statement::Plain;
  Answer.Source = answer_source::Unsaid;
  CHECK(judge(Answer) == answer_verdict::NotRun);
  Answer.Source = answer_source::ExpectedServer;
  CHECK(judge(Answer) == answer_verdict::Unproven);
}

TEST_CASE("an answer that contradicts itself proves nothing") {
  for (const change &Change : Contradictions)
    for (answer_evidence Answer : {stated(503), stated(429), misdirected()}) {
      CAPTURE(Change.first);
      CAPTURE(Answer.Status);
      Change.second(Answer);
      CHECK(judge(Answer) == answer_verdict::Unproven);
    }
  answer_evidence Elsewhere = stated(503);
  Elsewhere.Source = answer_source::OtherServer;
  CHECK(judge(Elsewhere) == answer_verdict::Unproven);
}

TEST_CASE("without a statement a status proves nothing") {
  for (unsigned Status : {200U, 408U, 429U, 500U, 503U, 504U}) {
    answer_evidence Answer;
    Answer.Status = Status;
    Answer.Subject = answer_subject::ThisRequest;
    CHECK(judge(Answer) == answer_verdict::Unusable);
    Answer.Signed = true;
    CHECK(judge(Answer) == answer_verdict::Answered);
  }
}

TEST_CASE("four statuses tell a caller that its request has not run") {
  for (unsigned Status = 100; Status < 600; ++Status) {
    CAPTURE(Status);
    bool Listed =
        Status == 408 || Status == 421 || Status == 429 || Status == 503;
    CHECK(promisesNotRun(Status) == Listed);
  }
}
