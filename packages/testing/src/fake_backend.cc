// Runs calls in slots and answers them, right or with the faults asked for.
#include "jasminecroft/testing/fake_backend.h"

#include <algorithm>
#include <cstdio>
#include <xxhash.h>

namespace jasminecroft::testing {

namespace {

constexpr std::uint64_t MaxPieces = 5;
constexpr core_duration ShortestService{2'000};
constexpr core_duration LongestService{120'000};
constexpr core_duration ReportLag{300'000};
constexpr core_duration LongestLateness{1'500'000};
constexpr core_duration RefusalRetryAfter{200'000};
constexpr std::uint32_t Half = 500;
/// Attempt numbers that no core of a test reaches.
constexpr std::uint64_t ForeignAttempts = 1'000'000'000;

std::string hexText(std::uint64_t Number) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

std::uint64_t hashOf(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

core_duration defaultServiceTime(const start_attempt &, random_source &Random) {
  return Random.between(ShortestService, LongestService);
}

} // namespace

std::vector<std::string> answerPieces(const stage_id &Stage,
                                      const std::string &Input) {
  std::uint64_t Seed = hashOf(Stage.Value + '\n' + Input);
  std::vector<std::string> Pieces;
  for (std::uint64_t I = 0; I < 1 + Seed % MaxPieces; ++I)
    Pieces.push_back(hexText(hashOf(hexText(Seed) + std::to_string(I))));
  return Pieces;
}

std::string answerText(const stage_id &Stage, const std::string &Input) {
  std::string Text;
  for (const std::string &Piece : answerPieces(Stage, Input))
    Text += Piece;
  return Text;
}

fake_backend::fake_backend(event_queue &Queue, random_source &Random,
                           const backend_spec &Spec, incarnation Run,
                           backend_observer &Observer)
    : Queue(Queue), Random(Random), Spec(Spec), Run(Run), Observer(Observer),
      ServiceTime(defaultServiceTime) {}

void fake_backend::setServiceTime(service_time_function Function) {
  ServiceTime = std::move(Function);
}

void fake_backend::leave(bool Refuses) {
  if (State != backend_state::Live)
    return;
  State = backend_state::Leaving;
  LeavingSince = Queue.now();
  RefusesNew = Refuses;
}

void fake_backend::die() {
  if (State == backend_state::Dead)
    return;
  State = backend_state::Dead;
  std::vector<backend_call_pointer> Open(Waiting.begin(), Waiting.end());
  for (const running_pointer &Call : Running)
    Open.push_back(Call->Call);
  Waiting.clear();
  Running.clear();
  for (const backend_call_pointer &Call : Open)
    if (Random.chance(Half))
      fail(Call, backend_error::Broken);
}

void fake_backend::deliver(const backend_call_pointer &Call,
                           const event &Event) {
  if (!Call->Closed || Random.chance(Faults.SendsLate))
    Call->Deliver(Event);
}

void fake_backend::fail(const backend_call_pointer &Call, backend_error Error) {
  attempt_failed Failed{Call->Start.Attempt, Error, {}};
  if (Error == backend_error::Refused)
    Failed.RetryAfter = RefusalRetryAfter;
  deliver(Call, Failed);
}

void fake_backend::receive(const backend_call_pointer &Call) {
  if (State == backend_state::Dead) {
    fail(Call, backend_error::NotConnected);
    return;
  }
  if (State == backend_state::Leaving && RefusesNew) {
    fail(Call, backend_error::RefusedLeaving);
    return;
  }
  if (Waiting.size() >= Spec.MaxQueued || Random.chance(Faults.Refuses)) {
    fail(Call, backend_error::Refused);
    return;
  }
  Observer.onBackendReceived(Spec.Name, Run, *Call);
  Waiting.push_back(Call);
  startNext();
}

void fake_backend::startNext() {
  while (Running.size() < Spec.Slots && !Waiting.empty()) {
    backend_call_pointer Call = Waiting.front();
    Waiting.pop_front();
    if (!Call->Cancelled)
      startCall(Call);
  }
}

void fake_backend::startCall(const backend_call_pointer &Call) {
  const start_attempt &Start = Call->Start;
  Observer.onBackendRun({Spec.Name, Run, Spec.Zone, Call->Caller, Start.Attempt,
                         Start.Workspace, Start.Stage, Start.Input,
                         Start.Repeatable, Queue.now()});
  running_pointer Mine = std::make_shared<running_call>();
  Mine->Call = Call;
  Running.push_back(Mine);
  double Scaled =
      static_cast<double>(ServiceTime(Start, Random).count()) * Slowness;
  core_duration Service(static_cast<std::int64_t>(Scaled));
  if (Start.Streamed)
    schedulePieces(Mine, Service);
  Queue.after(Service, [this, Mine] {
    if (State != backend_state::Dead)
      finish(Mine);
  });
}

void fake_backend::schedulePieces(const running_pointer &Call,
                                  core_duration Service) {
  const start_attempt &Start = Call->Call->Start;
  std::uint64_t Count = answerPieces(Start.Stage, Start.Input).size();
  Call->Truncated = Random.chance(Faults.Truncates);
  Call->LosesPiece = Random.chance(Faults.LosesPiece);
  Call->LostPiece = Random.below(Count);
  std::uint64_t Last = Call->Truncated ? Random.below(Count) : Count;
  core_duration Step = Service / static_cast<std::int64_t>(Count + 1);
  for (std::uint64_t I = Start.ResumeFrom; I < Last; ++I) {
    if (Call->LosesPiece && I == Call->LostPiece)
      continue;
    core_duration At = Step * static_cast<std::int64_t>(I + 1);
    if (Random.chance(Faults.Reorders))
      At += Step + Step / 2;
    Queue.after(At, [this, Call, I] {
      if (State != backend_state::Dead)
        sendPiece(Call, I);
    });
  }
}

void fake_backend::sendPiece(const running_pointer &Call, std::uint64_t Index) {
  const start_attempt &Start = Call->Call->Start;
  std::vector<std::string> Pieces = answerPieces(Start.Stage, Start.Input);
  attempt_piece Piece{Start.Attempt, Index, Pieces[Index]};
  deliver(Call->Call, Piece);
  if (Random.chance(Faults.Duplicates))
    deliver(Call->Call, Piece);
}

void fake_backend::finish(const running_pointer &Call) {
  std::erase(Running, Call);
  startNext();
  if (Call->Call->Cancelled && !Random.chance(Faults.SendsLate))
    return;
  if (Random.chance(Faults.SendsForeign))
    sendForeign(Call);
  if (Random.chance(Faults.RunsAndFails)) {
    fail(Call->Call, backend_error::ExecutionFailed);
    return;
  }
  bool Cut = Call->Call->Start.Streamed ? Call->Truncated
                                        : Random.chance(Faults.Truncates);
  if (Cut) {
    fail(Call->Call, backend_error::Broken);
    return;
  }
  sendEnd(Call);
}

void fake_backend::sendEnd(const running_pointer &Call) {
  const start_attempt &Start = Call->Call->Start;
  std::string Text = answerText(Start.Stage, Start.Input);
  attempt_succeeded End;
  End.Attempt = Start.Attempt;
  if (Start.Streamed) {
    End.Count = answerPieces(Start.Stage, Start.Input).size();
    End.Digest = hashOf(Text);
  } else {
    End.Output = Text;
  }
  deliver(Call->Call, End);
  if (!Random.chance(Faults.Duplicates))
    return;
  backend_call_pointer Again = Call->Call;
  Queue.after(Random.between(core_duration(0), LongestLateness),
              [Again, End] { Again->Deliver(End); });
}

void fake_backend::sendForeign(const running_pointer &Call) {
  // Attempts that this caller never made.
  attempt_id Unknown(Call->Call->Start.Attempt.Value + ForeignAttempts);
  attempt_succeeded Foreign;
  Foreign.Attempt = Unknown;
  Foreign.Output = "foreign " + Call->Call->Start.Input;
  Call->Call->Deliver(attempt_piece{Unknown, 0, "foreign"});
  Call->Call->Deliver(Foreign);
}

void fake_backend::cancel(const backend_call_pointer &Call) {
  Call->Cancelled = true;
  Call->Closed = true;
  std::erase(Waiting, Call);
}

load_reported fake_backend::report() {
  if (!ReportedAt || Queue.now() - *ReportedAt > ReportLag) {
    ReportedAt = Queue.now();
    LastReport.Backend = Spec.Name;
    LastReport.Run = Run;
    LastReport.InFlight = static_cast<std::uint32_t>(Running.size());
    LastReport.Queued = static_cast<std::uint32_t>(Waiting.size());
    LastReport.Slots = Spec.Slots;
    LastReport.Leaving = State == backend_state::Leaving;
  }
  return LastReport;
}

} // namespace jasminecroft::testing
