// Which answers prove that a request has not run, and evidence in logs.
#include "jasminecroft/core/serving/run_evidence.h"

namespace jasminecroft {

namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;

// Statuses that servers give with the statement.
bool hasStatementStatus(unsigned Status) {
  return Status == StatusBadRequest || Status == StatusConflict ||
         Status == StatusMisdirected || Status == StatusTooMany ||
         Status == StatusUnavailable;
}

// Whether the answer is to this request and not a copy of another one.
bool isAttributed(const answer_evidence &Answer) {
  switch (Answer.Subject) {
  case answer_subject::ThisRequest:
  case answer_subject::NotNamed:
    return true;
  case answer_subject::Unnamed:
    return !Answer.Connection.Reused && !Answer.Connection.OtherAnswers;
  case answer_subject::Unclear:
    return false;
  }
  return false;
}

} // namespace

answer_verdict judge(const answer_evidence &Answer) {
  bool Misdirected = Answer.Status == StatusMisdirected;
  bool Claims = Misdirected || Answer.Statement != not_run_statement::Absent;
  if (!Claims) {
    bool Own = Answer.Signed && Answer.Subject == answer_subject::ThisRequest;
    return Own ? answer_verdict::Answered : answer_verdict::Unusable;
  }
  bool FromOther = Answer.Source == answer_source::OtherServer;
  if (Answer.Signed || Answer.Connection.InterimSpoke ||
      Answer.Statement == not_run_statement::Unclear ||
      Answer.Source == answer_source::Unclear || !isAttributed(Answer))
    return answer_verdict::Unproven;
  if (Misdirected && FromOther)
    return answer_verdict::WrongServer;
  // Another server than the expected one answers 421, and only such a one.
  bool FromExpected = Answer.Source == answer_source::ExpectedServer;
  if (Misdirected ? FromExpected : FromOther)
    return answer_verdict::Unproven;
  if (Answer.Statement == not_run_statement::Absent ||
      !hasStatementStatus(Answer.Status))
    return answer_verdict::Unproven;
  return answer_verdict::NotRun;
}

bool provesNotRun(answer_verdict Verdict) {
  return Verdict == answer_verdict::NotRun ||
         Verdict == answer_verdict::WrongServer;
}

bool promisesNotRun(unsigned Status) {
  return Status == StatusRequestTimeout || Status == StatusMisdirected ||
         Status == StatusTooMany || Status == StatusUnavailable;
}

std::string describe(const answer_evidence &Answer) {
  std::string Text = std::to_string(Answer.Status);
  switch (Answer.Subject) {
  case answer_subject::Unnamed:
    Text += "_unnamed";
    break;
  case answer_subject::ThisRequest:
    Text += "_named";
    break;
  case answer_subject::Unclear:
    Text += "_names_unclear";
    break;
  case answer_subject::NotNamed:
    break;
  }
  Text += Answer.Connection.Reused ? "_reused" : "_new";
  Text += Answer.Connection.OtherAnswers ? "_after_others" : "";
  Text += Answer.Connection.InterimSpoke ? "_interim_spoke" : "";
  Text += Answer.Signed ? "_signed" : "";
  if (Answer.Statement != not_run_statement::Absent)
    Text += Answer.Statement == not_run_statement::Plain ? "_stated"
                                                         : "_stated_unclearly";
  switch (Answer.Source) {
  case answer_source::Unsaid:
    break;
  case answer_source::ExpectedServer:
    Text += "_by_expected";
    break;
  case answer_source::OtherServer:
    Text += "_by_other";
    break;
  case answer_source::Unclear:
    Text += "_by_several";
    break;
  }
  return Text;
}

} // namespace jasminecroft
