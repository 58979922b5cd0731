// The shell's small parts: callers' requests, server-sent events, backend
// answers, restarts and log lines.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "../src/backend_answer.h"
#include "../src/sse_reader.h"
#include "../src/stream_digest.h"
#include "jasminecroft/entry/answer_text.h"
#include "jasminecroft/entry/caller_request.h"
#include "jasminecroft/entry/event_logger.h"
#include "jasminecroft/entry/restart_policy.h"

#include <doctest/doctest.h>

using namespace jasminecroft;
using namespace jasminecroft::detail;

namespace {

raw_request requestTo(std::string_view Target) {
  raw_request Raw;
  Raw.Method = "POST";
  Raw.Target = Target;
  return Raw;
}

std::string refusedPart(const raw_request &Raw) {
  interpreted_request Result = interpretRequest(Raw);
  if (front_refusal *Refusal = std::get_if<front_refusal>(&Result))
    return std::string(toText(Refusal->Error)) + " " +
           std::string(Refusal->Where);
  return "accepted";
}

constexpr std::string_view Target = "/v1/workspaces/w%201/pipelines/part-check";

} // namespace

TEST_CASE("a request is read from its target and headers") {
  raw_request Raw = requestTo(Target);
  Raw.DeadlineMs = "1500";
  Raw.IdempotencyKey = "k";
  Raw.Attempt = "2";
  Raw.TokenLimit = "64";
  Raw.Accept = "text/event-stream";
  interpreted_request Result = interpretRequest(Raw);
  REQUIRE(std::holds_alternative<request_received>(Result));
  const request_received &Call = std::get<request_received>(Result);
  CHECK(Call.Workspace.Value == "w 1");
  CHECK(Call.Pipeline.Value == "part-check");
  CHECK(Call.Remaining == std::chrono::milliseconds(1500));
  CHECK(Call.Key->Value == "k");
  CHECK(Call.AttemptNumber == 2);
  CHECK(Call.TokenLimit == 64);
  CHECK(Call.Streamed);
}

TEST_CASE("wrong parts of a request are named") {
  CHECK(refusedPart(requestTo("/v1/other")) == "unknown_path target");
  CHECK(refusedPart(requestTo("/v1/workspaces/w/pipelines")) ==
        "unknown_path target");
  CHECK(refusedPart(requestTo("/v1/workspaces//pipelines/p")) ==
        "malformed_request workspace");
  CHECK(refusedPart(requestTo("/v1/workspaces/w/pipelines/%0a")) ==
        "malformed_request pipeline");
  raw_request Raw = requestTo(Target);
  Raw.DeadlineMs = "soon";
  CHECK(refusedPart(Raw) == "malformed_request Jasminecroft-Deadline-Ms");
  Raw.DeadlineMs = "-5";
  CHECK(refusedPart(Raw) == "accepted");
  Raw.IdempotencyKey = "";
  CHECK(refusedPart(Raw) == "malformed_request Idempotency-Key");
  Raw.IdempotencyKey.reset();
  Raw.Attempt = "0";
  CHECK(refusedPart(Raw) == "malformed_request Jasminecroft-Attempt");
  Raw.Attempt.reset();
  Raw.TokenLimit = "99999999999";
  CHECK(refusedPart(Raw) == "malformed_request Jasminecroft-Token-Limit");
  Raw.Method = "GET";
  CHECK(refusedPart(Raw) == "method_not_allowed method");
}

TEST_CASE("bodies are checked as JSON of bounded depth") {
  CHECK(isWellFormedJson(R"({"a": [1, "x", null]})"));
  CHECK(isWellFormedJson("1"));
  for (const char *Bad : {"", "{", "{} {}", "{\"a\":}", "nul"})
    CHECK_FALSE(isWellFormedJson(Bad));
  CHECK_FALSE(isWellFormedJson(std::string(100'000, '[')));
}

TEST_CASE("server-sent events are read from pieces of any size") {
  const std::string Text = ": note\ndata: {\"a\":1}\r\n\r\n\n"
                           "event: end\ndata: x\ndata: y\n\n";
  for (std::size_t Size : {std::size_t{1}, std::size_t{7}, Text.size()}) {
    sse_reader Reader;
    std::vector<sse_event> Events;
    for (std::size_t I = 0; I < Text.size(); I += Size) {
      REQUIRE(Reader.append(std::string_view(Text).substr(I, Size)));
      while (std::optional<sse_event> Event = Reader.next())
        Events.push_back(*Event);
    }
    REQUIRE(Events.size() == 2);
    CHECK(Events[0].Data == "{\"a\":1}");
    CHECK(Events[0].Name.empty());
    CHECK(Events[1].Name == "end");
    CHECK(Events[1].Data == "x\ny");
  }
  sse_reader Endless;
  CHECK_FALSE(Endless.append(std::string(sse_reader::MaxEventBytes + 1, 'x')));
}

TEST_CASE("answers of backend servers become typed results") {
  attempt_id Attempt(7);
  std::variant<attempt_succeeded, attempt_failed> Result = readWholeAnswer(
      Attempt, "h/1/7", 200, R"({"attempt":"h/1/7","output":"o"})");
  REQUIRE(std::holds_alternative<attempt_succeeded>(Result));
  CHECK(std::get<attempt_succeeded>(Result).Output == "o");

  struct failing {
    unsigned Status;
    const char *Body;
    backend_error Error;
  };
  for (const failing &Case :
       {failing{200, R"({"attempt":"h/1/8","output":"o"})",
                backend_error::Broken},
        failing{200, "{", backend_error::Broken},
        failing{503, R"({"refused":true,"leaving":false})",
                backend_error::Refused},
        failing{503, R"({"refused":true,"leaving":true})",
                backend_error::RefusedLeaving},
        failing{503, "busy", backend_error::Broken},
        failing{500, R"({"ran":true})", backend_error::ExecutionFailed},
        failing{500, "{}", backend_error::Broken}}) {
    Result = readWholeAnswer(Attempt, "h/1/7", Case.Status, Case.Body);
    REQUIRE(std::holds_alternative<attempt_failed>(Result));
    CHECK(std::get<attempt_failed>(Result).Error == Case.Error);
  }
}

TEST_CASE("load reports lacking a member are not taken") {
  backend_id Backend("b1");
  std::optional<load_reported> Report = readLoad(
      Backend,
      R"({"run":3,"in_flight":1,"queued":2,"slots":4,"leaving":true})");
  REQUIRE(Report.has_value());
  CHECK(Report->Run.Value == 3);
  CHECK(Report->Leaving);
  CHECK_FALSE(readLoad(Backend, R"({"run":3,"in_flight":1})").has_value());
}

TEST_CASE("a digest over pieces is that of the whole") {
  stream_digest Pieces;
  Pieces.append("ladder ");
  Pieces.append("rail");
  stream_digest Whole;
  Whole.append("ladder rail");
  CHECK(Pieces.value() == Whole.value());
  CHECK(hexDigest(0xabc) == "0000000000000abc");
}

TEST_CASE("restarts back off, and too many fail the parent") {
  restart_policy Policy;
  restart_policy::clock::time_point Now{};
  std::chrono::milliseconds Last{0};
  for (std::size_t I = 0; I < restart_policy::MaxFailures; ++I) {
    std::optional<std::chrono::milliseconds> Delay = Policy.onFailure(Now);
    REQUIRE(Delay.has_value());
    CHECK(*Delay >= Last);
    Last = *Delay;
  }
  CHECK_FALSE(Policy.onFailure(Now).has_value());
  CHECK(Policy.onFailure(Now + 2 * restart_policy::Window).has_value());
}

TEST_CASE("events are numbered lines with quoted fields") {
  event_record Record{event_number::ConfigApplied,
                      event_severity::Info,
                      "configuration applied",
                      {{"version", "3"}, {"by", "Ana \"A\"\nB"}}};
  CHECK(formatEvent(Record) == "[E401] configuration applied version=3 "
                               "by=\"Ana \\\"A\\\" B\"");
  Record.Fields = {{"by", "\x1b[2J\x7f"}};
  CHECK(formatEvent(Record) == "[E401] configuration applied by=\" [2J \"");
}
