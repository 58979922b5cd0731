// What an answer says of whether its server has run the request.
#pragma once

#include <string>

namespace jasminecroft {

/// Which request an answer belongs to, by its own word.
enum class answer_subject {
  Unnamed,
  /// It names the request, once.
  ThisRequest,
  /// It names more than one request, or one more than once.
  Unclear,
  /// Answers to calls of this kind name nothing, and the call had its
  /// connection for itself.
  NotNamed,
};

/// The statement that the server did not run the request.
enum class not_run_statement {
  Absent,
  Plain,
  /// Empty, denied or given more than once.
  Unclear,
};

/// Which server answers, by its own word.
enum class answer_source {
  Unsaid,
  ExpectedServer,
  OtherServer,
  /// Given more than once.
  Unclear,
};

/// What came over an answer's connection before the answer.
struct connection_history {
  /// An earlier call was sent over it.
  bool Reused = false;
  /// Answers to other requests, since the call was sent.
  bool OtherAnswers = false;
  /// An interim answer that was signed or had the statement.
  bool InterimSpoke = false;
};

/// All that an answer and its connection tell of whether the request has run.
struct answer_evidence {
  unsigned Status = 0;
  answer_subject Subject = answer_subject::Unnamed;
  connection_history Connection;
  /// It bears a server's signature, which only servers that ran a request give.
  bool Signed = false;
  not_run_statement Statement = not_run_statement::Absent;
  answer_source Source = answer_source::Unsaid;
};

/// What an answer is worth.
enum class answer_verdict {
  /// A server's own answer to the request, which it ran.
  Answered,
  /// Its server has not run the request and never will because of this call.
  NotRun,
  /// As NotRun; another server has the expected one's address.
  WrongServer,
  /// It says that the request was not run, and its evidence does not prove it.
  Unproven,
  /// None of these: no answer to the request.
  Unusable,
};

/// The only place that decides whether an answer proves that its request has
/// not run. docs/PROTOCOLS.md lists the proofs and what contradicts them.
answer_verdict judge(const answer_evidence &Answer);

bool provesNotRun(answer_verdict Verdict);

/// Whether a status tells a caller that its request has not run and never will.
bool promisesNotRun(unsigned Status);

/// One word for logs, as in "503_named_new_stated".
std::string describe(const answer_evidence &Answer);

} // namespace jasminecroft
