// Stand-in of a backend server.
#include "jasminecroft/standins/backend_server.h"

#include "detail/query.h"

#include <algorithm>
#include <boost/json.hpp>
#include <xxhash.h>

namespace jasminecroft::standins {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t PiecesOfStream = 8;
constexpr std::size_t MaxQueued = 10'000;
constexpr std::size_t MaxEchoed = 160;
constexpr int RefusedRetryMs = 100;

std::string hex(std::uint64_t Number) {
  char Text[20];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

std::string digest(std::string_view Text) {
  return hex(XXH3_64bits(Text.data(), Text.size()));
}

std::vector<std::string> cut(const std::string &Text) {
  std::size_t Size = std::max<std::size_t>(1, Text.size() / PiecesOfStream);
  std::vector<std::string> Pieces;
  for (std::size_t I = 0; I < Text.size(); I += Size)
    Pieces.push_back(Text.substr(I, Size));
  return Pieces;
}

std::string refusal(bool Leaving) {
  return json::serialize(json::object{{"refused", true},
                                      {"leaving", Leaving},
                                      {"retry_after_ms", RefusedRetryMs}});
}

} // namespace

std::string standInOutput(std::string_view Stage, std::string_view Input) {
  std::string Whole(Stage);
  Whole += '|';
  Whole += Input;
  std::string Output(Stage);
  Output += '(';
  Output += Input.substr(0, MaxEchoed);
  Output += ")#" + digest(Whole);
  return Output;
}

backend_server::backend_server(asio::io_context &Io, std::string_view Address,
                               std::uint64_t Run, backend_behaviour Behaviour)
    : Io(Io), Run(Run), Behaviour(Behaviour),
      Server(serveHttp(Io, Address, [this](const exchange_ptr &Exchange) {
        onRequest(Exchange);
      })) {
  sampleLoad();
}

void backend_server::onRequest(const exchange_ptr &Exchange) {
  detail::split_target Target = detail::splitTarget(Exchange->target());
  if (Target.Path == "/v1/run")
    onRun(Exchange);
  else if (Target.Path == "/v1/cancel")
    onCancel(Exchange);
  else if (Target.Path == "/v1/load")
    onLoad(Exchange);
  else if (Target.Path == "/test/runs")
    onRuns(Exchange);
  else if (Target.Path == "/test/steer")
    onSteer(Exchange);
  else
    Exchange->respond(404, "{}");
}

void backend_server::onRun(const exchange_ptr &Exchange) {
  bool Full = Interactive.size() + Batch.size() >= MaxQueued;
  if (Behaviour.Leaving || Behaviour.Refuse || Full) {
    Exchange->respond(503, refusal(Behaviour.Leaving));
    return;
  }
  call_ptr Call = std::make_shared<call>();
  Call->Exchange = Exchange;
  Call->Attempt = Exchange->header("X-Attempt");
  Call->Stage = Exchange->header("X-Stage");
  Call->Output = standInOutput(Call->Stage, Exchange->body());
  Call->Streamed = Exchange->header("X-Stream") == "1";
  Call->ResumeFrom =
      detail::numberOr(std::string(Exchange->header("X-Resume-From")), 0);
  Call->Time = Behaviour.BaseTime +
               Behaviour.TimePerKilobyte *
                   static_cast<std::int64_t>(Exchange->body().size()) / 1000;
  bool IsBatch = Exchange->header("X-Priority") == "batch";
  (IsBatch ? Batch : Interactive).push_back(Call);
  startNext();
}

void backend_server::startNext() {
  while (Running.size() < Behaviour.Slots &&
         !(Interactive.empty() && Batch.empty())) {
    std::deque<call_ptr> &Queue = Interactive.empty() ? Batch : Interactive;
    call_ptr Call = Queue.front();
    Queue.pop_front();
    Running.push_back(Call);
    begin(Call);
  }
  sampleLoad();
}

void backend_server::begin(const call_ptr &Call) {
  run_record Line;
  Line.Attempt = Call->Attempt;
  Line.Workspace = Call->Exchange->header("X-Workspace");
  Line.Stage = Call->Stage;
  Line.InputDigest = digest(Call->Exchange->body());
  Line.Repeatable = Call->Exchange->header("X-Repeatable") != "0";
  Record.push_back(std::move(Line));

  Call->Timer = std::make_unique<asio::steady_timer>(Io);
  std::chrono::microseconds Time =
      std::chrono::duration_cast<std::chrono::microseconds>(
          Call->Time * Behaviour.SlowFactor);
  if (Call->Streamed && !Behaviour.Fail) {
    Call->Pieces = cut(Call->Output);
    Call->NextPiece = Call->ResumeFrom;
    Call->Time = Time / static_cast<std::int64_t>(Call->Pieces.size());
    Call->Exchange->beginEvents();
    streamNext(Call);
    return;
  }
  Call->Timer->expires_after(Time);
  Call->Timer->async_wait([this, Call](boost::system::error_code Error) {
    if (!Error)
      finish(Call);
  });
}

void backend_server::streamNext(const call_ptr &Call) {
  Call->Timer->expires_after(Call->Time);
  Call->Timer->async_wait([this, Call](boost::system::error_code Error) {
    if (Error)
      return;
    if (Call->NextPiece >= Call->Pieces.size()) {
      finish(Call);
      return;
    }
    json::object Piece{{"attempt", Call->Attempt},
                       {"seq", Call->NextPiece},
                       {"text", Call->Pieces[Call->NextPiece]}};
    Call->Exchange->sendEvent("", json::serialize(Piece));
    ++Call->NextPiece;
    bool Half = Call->NextPiece * 2 >= Call->Pieces.size();
    if (Behaviour.BreakAnswers && Half)
      finish(Call);
    else
      streamNext(Call);
  });
}

void backend_server::finish(const call_ptr &Call) {
  release(Call);
  if (Behaviour.BreakAnswers) {
    Call->Exchange->breakConnection();
  } else if (Behaviour.Fail) {
    Call->Exchange->respond(500, R"({"ran":true})");
  } else if (Call->Streamed) {
    json::object End{{"attempt", Call->Attempt},
                     {"count", Call->Pieces.size()},
                     {"digest", digest(Call->Output)}};
    Call->Exchange->sendEvent("end", json::serialize(End));
    Call->Exchange->endEvents();
  } else {
    json::object Answer{{"attempt", Call->Attempt}, {"output", Call->Output}};
    Call->Exchange->respond(200, json::serialize(Answer));
  }
  startNext();
}

void backend_server::release(const call_ptr &Call) { Running.remove(Call); }

void backend_server::onCancel(const exchange_ptr &Exchange) {
  json::error_code Error;
  json::value Value = json::parse(Exchange->body(), Error);
  const json::object *Object = Error ? nullptr : Value.if_object();
  const json::value *Attempt =
      Object ? Object->if_contains("attempt") : nullptr;
  if (!Attempt || !Attempt->is_string()) {
    Exchange->respond(400, "{}");
    return;
  }
  std::string Name(Attempt->as_string());
  std::erase_if(Interactive, [&Name](const call_ptr &Call) {
    return Call->Attempt == Name;
  });
  std::erase_if(
      Batch, [&Name](const call_ptr &Call) { return Call->Attempt == Name; });
  std::list<call_ptr> Copy = Running;
  for (const call_ptr &Call : Copy) {
    if (Call->Attempt != Name)
      continue;
    Call->Timer->cancel();
    release(Call);
    Call->Exchange->breakConnection();
  }
  startNext();
  Exchange->respond(200, "{}");
}

void backend_server::sampleLoad() {
  std::chrono::steady_clock::time_point Now = std::chrono::steady_clock::now();
  Samples.push_back(
      {Now, static_cast<std::uint32_t>(Running.size()),
       static_cast<std::uint32_t>(Interactive.size() + Batch.size())});
  while (Samples.size() > 1 && Samples[1].At + Behaviour.LoadLag < Now)
    Samples.pop_front();
}

void backend_server::onLoad(const exchange_ptr &Exchange) {
  sampleLoad();
  const load_sample &Old = Samples.front();
  json::object Load{{"run", Run},
                    {"in_flight", Old.InFlight},
                    {"queued", Old.Queued},
                    {"slots", Behaviour.Slots},
                    {"leaving", Behaviour.Leaving}};
  Exchange->respond(200, json::serialize(Load));
}

void backend_server::onRuns(const exchange_ptr &Exchange) {
  json::array Runs;
  for (const run_record &Line : Record)
    Runs.push_back(json::object{{"attempt", Line.Attempt},
                                {"workspace", Line.Workspace},
                                {"stage", Line.Stage},
                                {"input_digest", Line.InputDigest},
                                {"repeatable", Line.Repeatable}});
  Exchange->respond(200, json::serialize(json::object{{"runs", Runs}}));
}

void backend_server::onSteer(const exchange_ptr &Exchange) {
  json::error_code Error;
  json::value Value = json::parse(Exchange->body(), Error);
  const json::object *Object = Error ? nullptr : Value.if_object();
  if (!Object) {
    Exchange->respond(400, "{}");
    return;
  }
  if (const json::value *Slow = Object->if_contains("slow_factor"))
    Behaviour.SlowFactor = Slow->to_number<double>();
  if (const json::value *Leaving = Object->if_contains("leaving"))
    Behaviour.Leaving = Leaving->as_bool();
  if (const json::value *Refuse = Object->if_contains("refuse"))
    Behaviour.Refuse = Refuse->as_bool();
  if (const json::value *Fail = Object->if_contains("fail"))
    Behaviour.Fail = Fail->as_bool();
  if (const json::value *Break = Object->if_contains("break_answers"))
    Behaviour.BreakAnswers = Break->as_bool();
  if (const json::value *Base = Object->if_contains("base_us"))
    Behaviour.BaseTime = std::chrono::microseconds(Base->as_int64());
  Exchange->respond(200, "{}");
}

} // namespace jasminecroft::standins
