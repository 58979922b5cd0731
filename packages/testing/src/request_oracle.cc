// The simple model of requests: who asked what, what ran, who was told what.
#include "jasminecroft/testing/request_oracle.h"

#include <algorithm>
#include <xxhash.h>

namespace jasminecroft::testing {

namespace {

/// How late a final answer may be after the deadline.
constexpr core_duration AnswerTolerance{50'000};

std::string inputKey(const workspace_id &Workspace, const stage_id &Stage,
                     const std::string &Input) {
  return Workspace.Value + '\n' + Stage.Value + '\n' + Input;
}

std::string name(const host_run &Host) {
  return Host.Host.Value + "#" + std::to_string(Host.Run.Value);
}

bool isPrefix(const std::string &Part, const std::string &Whole) {
  return Whole.compare(0, Part.size(), Part) == 0;
}

} // namespace

request_oracle::request_oracle(const event_queue &Queue,
                               const fleet_config &Config,
                               violation_list &Violations)
    : Queue(Queue), Config(Config), Violations(Violations) {}

void request_oracle::report(promise Promise, const std::string &What) {
  Violations.push_back({Promise, Queue.now(), What});
}

void request_oracle::report(promise Promise, const asked_request &Asked,
                            const std::string &What) {
  report(Promise, "request " + std::to_string(Asked.Id.Value) + " (" +
                      Asked.Family->Texts.front() + ", " +
                      Asked.Family->Pipeline->Name.Value + ") on " +
                      name(Asked.Host) + ": " + What);
}

void request_oracle::onEvent(const host_run &Host, const event &Event) {
  if (const request_received *Call = std::get_if<request_received>(&Event))
    onAsked(Host, *Call);
  if (const caller_disconnected *Gone =
          std::get_if<caller_disconnected>(&Event)) {
    auto Found = Requests.find(Gone->Request);
    if (Found != Requests.end())
      Found->second.CallerGone = true;
    Open.erase(Gone->Request);
  }
  if (std::holds_alternative<shutdown_requested>(Event))
    ShutdownAt.emplace(Host, Queue.now());
}

void request_oracle::onAction(const host_run &Host, const action &Action) {
  if (const start_attempt *Start = std::get_if<start_attempt>(&Action))
    onStarted(Host, *Start);
  if (const stream_to_caller *Piece = std::get_if<stream_to_caller>(&Action))
    onStreamed(Host, *Piece);
  if (const answer_caller *Answer = std::get_if<answer_caller>(&Action))
    onAnswered(Host, *Answer);
  if (std::holds_alternative<cancel_attempt>(Action))
    ++Tally.Cancelled;
}

core_duration request_oracle::remainingOf(const request_received &Call) const {
  setting_context Where{Call.Workspace, Call.Pipeline, {}, {}};
  return Call.Remaining.value_or(std::chrono::milliseconds(
      settingValue(Config, setting_key::DeadlineMs, Where)));
}

std::shared_ptr<request_oracle::work_family>
request_oracle::familyOf(const request_received &Call) {
  std::string Key = Call.Workspace.Value + '\n';
  Key += Call.Key ? "key " + Call.Key->Value
                  : "request " + std::to_string(Call.Request.Value);
  std::shared_ptr<key_history> &History = Histories[Key];
  if (!History)
    History = std::make_shared<key_history>();
  std::shared_ptr<work_family> &Family =
      Families[Key + '\n' + Call.Pipeline.Value + '\n' + Call.Body];
  if (Family)
    return Family;
  Family = std::make_shared<work_family>();
  Family->Workspace = Call.Workspace;
  Family->Pipeline = &Config.Pipelines.at(Call.Pipeline);
  Family->History = History;
  Family->Texts.push_back(Call.Body);
  for (const stage_definition &Stage : Family->Pipeline->Stages) {
    std::string Input = Family->Texts.back();
    ByInput[inputKey(Call.Workspace, Stage.Name, Input)] = {
        Family, Family->Texts.size() - 1};
    Family->Texts.push_back(answerText(Stage.Name, Input));
  }
  return Family;
}

void request_oracle::onAsked(const host_run &Host,
                             const request_received &Call) {
  ++Tally.Asked;
  asked_request Asked;
  Asked.Host = Host;
  Asked.Id = Call.Request;
  Asked.Family = familyOf(Call);
  Asked.At = Queue.now();
  Asked.Deadline = Queue.now() + remainingOf(Call);
  Asked.Streamed = Call.Streamed;
  key_history &History = *Asked.Family->History;
  History.Requests.push_back(Call.Request);
  Asked.Family->Requests.push_back(Call.Request);
  Requests.emplace(Call.Request, std::move(Asked));
  Open.insert(Call.Request);
}

void request_oracle::onStarted(const host_run &Host,
                               const start_attempt &Start) {
  ++Tally.Attempts;
  if (Start.ResumeFrom != 0)
    ++Tally.Resumed;
  auto Found =
      ByInput.find(inputKey(Start.Workspace, Start.Stage, Start.Input));
  if (Found == ByInput.end()) {
    report(promise::ResultsBelong,
           "attempt of stage " + Start.Stage.Value + " on " + name(Host) +
               " has an input that is no request's: " + Start.Input);
    return;
  }
  known_attempt Known;
  Known.Family = Found->second.first;
  Known.Stage = Found->second.second;
  Known.Run.Repeatable = Known.Family->Pipeline->Stages[Known.Stage].Repeatable;
  checkStart(Host, Start, Known);
  Attempts[{Host, Start.Attempt}] = std::move(Known);
}

void request_oracle::checkStart(const host_run &Host,
                                const start_attempt &Start,
                                known_attempt &Known) {
  bool ToldNothingRan = false;
  for (request_id Id : Known.Family->Requests) {
    const asked_request &Asked = Requests.at(Id);
    if (Asked.Host != Host)
      continue;
    if (Asked.Told)
      ToldNothingRan |= Asked.Told->Outcome == outcome_kind::NotRun;
    else
      Known.Run.Candidates.push_back(Id);
  }
  std::string What = "attempt " + std::to_string(Start.Attempt.Value) +
                     " of stage " + Start.Stage.Value + " on " + name(Host) +
                     " for " + Known.Family->Texts.front();
  if (Start.Repeatable != Known.Run.Repeatable)
    report(promise::AtMostOnce, What + " is wrongly marked as repeatable");
  if (Start.Pipeline != Known.Family->Pipeline->Name)
    report(promise::ResultsBelong, What + " names another pipeline");
  if (Known.Run.Candidates.empty())
    report(ToldNothingRan ? promise::TruthfulOutcomes : promise::ResultsBelong,
           What + " is made for no request in progress");
}

void request_oracle::onBackendRun(const backend_run &Run) {
  ++Tally.Runs;
  auto Found = Attempts.find({Run.Caller, Run.Attempt});
  if (Found == Attempts.end())
    return;
  const known_attempt &Known = Found->second;
  key_history &History = *Known.Family->History;
  if (!Known.Run.Repeatable) {
    ++Tally.NonRepeatableRuns;
    std::uint32_t Count = ++History.NonRepeatableRuns[Run.Stage];
    if (Count > 1)
      report(promise::AtMostOnce,
             "stage " + Run.Stage.Value + " for " + Run.Input + " ran " +
                 std::to_string(Count) + " times, last for " +
                 name(Run.Caller) + " on " + Run.Backend.Value);
  }
  checkRunAgainstTold(Known);
  History.Runs.push_back(Known.Run);
}

bool request_oracle::saysNothingRan(request_id Request, bool Repeatable) const {
  const asked_request &Asked = Requests.at(Request);
  if (!Asked.Told)
    return false;
  if (Asked.Told->Outcome == outcome_kind::NotRun)
    return true;
  return !Repeatable && Asked.Told->Outcome == outcome_kind::Failed;
}

void request_oracle::checkRunAgainstTold(const known_attempt &Known) {
  const attempt_run &Run = Known.Run;
  if (Run.Candidates.empty())
    return;
  // Numbers are given in the order of asking, not of arrival.
  request_id LastAsked;
  bool AllSay = true;
  for (request_id Id : Run.Candidates) {
    AllSay = AllSay && saysNothingRan(Id, Run.Repeatable);
    LastAsked = std::max(LastAsked, Id);
  }
  if (AllSay)
    report(promise::TruthfulOutcomes, Requests.at(Run.Candidates.front()),
           "ran after its caller was told that it did not");
  if (Run.Repeatable)
    return;
  for (request_id Id : Known.Family->History->Requests) {
    const asked_request &Asked = Requests.at(Id);
    if (Asked.Id > LastAsked && saysNothingRan(Id, false) &&
        Asked.Told->Code != error_code::KeyReusedWithOtherBody)
      report(promise::TruthfulOutcomes, Asked,
             "an earlier call with its key ran after its caller was told " +
                 std::string(toText(Asked.Told->Outcome)));
  }
}

void request_oracle::onStreamed(const host_run &Host,
                                const stream_to_caller &Piece) {
  auto Found = Requests.find(Piece.Request);
  if (Found == Requests.end() || Found->second.Host != Host) {
    report(promise::ResultsBelong, "a piece for no request of " + name(Host));
    return;
  }
  asked_request &Asked = Found->second;
  if (Asked.Told)
    report(promise::WholeAnswers, Asked, "a piece after the final answer");
  if (!Asked.Streamed)
    report(promise::WholeAnswers, Asked, "a piece of a stream not wanted");
  if (Piece.Sequence != Asked.Pieces)
    report(promise::WholeAnswers, Asked,
           "piece " + std::to_string(Piece.Sequence) + " after " +
               std::to_string(Asked.Pieces) + " pieces");
  ++Asked.Pieces;
  Asked.Text += Piece.Text;
  const std::string &Right = Asked.Family->Texts.back();
  if (isPrefix(Asked.Text, Right))
    return;
  if (Right.find(Piece.Text) != std::string::npos)
    report(promise::WholeAnswers, Asked, "a piece out of its order");
  else
    report(promise::ResultsBelong, Asked, "a foreign piece: " + Piece.Text);
}

core_time request_oracle::dueBy(const asked_request &Asked) const {
  auto Resumed = ResumedAt.find(Asked.Host);
  core_time Due = Asked.Deadline;
  if (Resumed != ResumedAt.end())
    Due = std::max(Due, Resumed->second);
  return Due + AnswerTolerance;
}

void request_oracle::onAnswered(const host_run &Host,
                                const answer_caller &Answer) {
  auto Found = Requests.find(Answer.Request);
  if (Found == Requests.end() || Found->second.Host != Host) {
    report(promise::ResultsBelong, "an answer for no request of " + name(Host));
    return;
  }
  asked_request &Asked = Found->second;
  if (Asked.Told) {
    report(promise::WholeAnswers, Asked, "a second final answer");
    return;
  }
  Asked.Told = Answer.Answer;
  Open.erase(Answer.Request);
  ++Tally.Told[Answer.Answer.Outcome];
  ++Tally.Codes[Answer.Answer.Code];
  if (Answer.Answer.Replayed)
    ++Tally.Replayed;
  if (Queue.now() > dueBy(Asked) && !Asked.Overdue && !Asked.CallerGone)
    report(promise::WholeAnswers, Asked, "answered after its deadline");
  auto Shutdown = ShutdownAt.find(Host);
  if (Asked.Told->Code == error_code::ShuttingDown &&
      (Shutdown == ShutdownAt.end() || Asked.At < Shutdown->second))
    report(promise::GracefulStop, Asked, "cut off by a planned stop");
  if (Asked.Told->Outcome == outcome_kind::Complete)
    checkComplete(Asked);
  else
    checkNothingRan(Asked);
}

void request_oracle::checkComplete(const asked_request &Asked) {
  const std::string &Right = Asked.Family->Texts.back();
  if (Asked.Streamed) {
    checkWholeStream(Asked);
    return;
  }
  const std::string &Body = Asked.Told->Body;
  if (Body == Right)
    return;
  if (isPrefix(Body, Right))
    report(promise::WholeAnswers, Asked, "complete, but cut: " + Body);
  else
    report(promise::ResultsBelong, Asked,
           "complete with what is not its answer: " + Body);
}

void request_oracle::checkWholeStream(const asked_request &Asked) {
  const std::string &Right = Asked.Family->Texts.back();
  const final_answer &Told = *Asked.Told;
  if (Asked.Text != Right)
    report(promise::WholeAnswers, Asked,
           "complete, but the stream is not whole: " + Asked.Text);
  if (Told.StreamCount != Asked.Pieces ||
      Told.StreamDigest != XXH3_64bits(Right.data(), Right.size()))
    report(promise::WholeAnswers, Asked,
           "complete with a wrong count or digest, count " +
               std::to_string(Told.StreamCount) + " after " +
               std::to_string(Asked.Pieces) + " pieces");
  if (!Told.Body.empty())
    report(promise::WholeAnswers, Asked, "a stream answered with a body too");
  ++Tally.StreamsWhole;
}

void request_oracle::checkNothingRan(const asked_request &Asked) {
  const key_history &History = *Asked.Family->History;
  const final_answer &Told = *Asked.Told;
  bool HasNonRepeatable = false;
  for (const stage_definition &Stage : Asked.Family->Pipeline->Stages)
    HasNonRepeatable |= !Stage.Repeatable;
  if (Told.Outcome == outcome_kind::RanUnanswered &&
      History.NonRepeatableRuns.empty())
    report(promise::TruthfulOutcomes, Asked,
           "told that it ran, but nothing non-repeatable did");
  // A host without configuration cannot know what a pipeline holds.
  if (Told.Outcome == outcome_kind::Unknown && !HasNonRepeatable &&
      Told.Code != error_code::NotReady)
    report(promise::TruthfulOutcomes, Asked,
           "told unknown, but nothing non-repeatable can run");
  bool SaysNothing = Told.Outcome == outcome_kind::NotRun ||
                     Told.Outcome == outcome_kind::Failed;
  if (!SaysNothing)
    return;
  std::string Outcome(toText(Told.Outcome));
  for (const attempt_run &Run : History.Runs) {
    bool AllSay = !Run.Candidates.empty();
    bool Mine = false;
    bool Earlier = !Run.Candidates.empty();
    for (request_id Id : Run.Candidates) {
      AllSay = AllSay && saysNothingRan(Id, Run.Repeatable);
      Mine = Mine || Id == Asked.Id;
      Earlier = Earlier && Id < Asked.Id;
    }
    if (Mine && AllSay)
      report(promise::TruthfulOutcomes, Asked, "told " + Outcome + " but ran");
    else if (Earlier && !Run.Repeatable &&
             Told.Code != error_code::KeyReusedWithOtherBody)
      report(promise::TruthfulOutcomes, Asked,
             "told " + Outcome + ", but an earlier call with its key ran");
  }
}

void request_oracle::onHostDied(const host_run &Host) {
  for (auto It = Open.begin(); It != Open.end();) {
    asked_request &Asked = Requests.at(*It);
    bool Mine = Asked.Host == Host;
    if (Mine) {
      Asked.HostLost = true;
      ++Tally.HostLost;
    }
    It = Mine ? Open.erase(It) : std::next(It);
  }
}

void request_oracle::onHostStopped(const host_run &Host) {
  for (request_id Id : Open)
    if (Requests.at(Id).Host == Host)
      report(promise::GracefulStop, Requests.at(Id),
             "the host stopped without answering it");
  onHostDied(Host);
}

void request_oracle::onHostResumed(const host_run &Host) {
  ResumedAt[Host] = Queue.now();
}

void request_oracle::checkDeadlines(const std::set<host_run> &Frozen) {
  for (request_id Id : Open) {
    asked_request &Asked = Requests.at(Id);
    if (Asked.Overdue || Frozen.contains(Asked.Host) ||
        Queue.now() <= dueBy(Asked))
      continue;
    Asked.Overdue = true;
    report(promise::WholeAnswers, Asked, "not answered by its deadline");
  }
}

std::optional<core_time>
request_oracle::latestOpenDeadline(const host_run &Host) const {
  std::optional<core_time> Latest;
  for (request_id Id : Open) {
    const asked_request &Asked = Requests.at(Id);
    if (Asked.Host == Host && (!Latest || Asked.Deadline > *Latest))
      Latest = Asked.Deadline;
  }
  return Latest;
}

const final_answer *request_oracle::answerTo(request_id Request) const {
  auto Found = Requests.find(Request);
  if (Found == Requests.end() || !Found->second.Told)
    return nullptr;
  return &*Found->second.Told;
}

} // namespace jasminecroft::testing
