// Writes answers to callers as JSON and as server-sent events.
#include "jasminecroft/entry/answer_text.h"

#include <boost/json.hpp>

namespace jasminecroft {

namespace json = boost::json;

namespace {

constexpr std::uint64_t RetryAfterRefusalSeconds = 1;

// Whether the same request may fare better a little later.
bool mayComeBack(front_error Error) {
  return Error == front_error::TooManyConnections ||
         Error == front_error::HalfClosed;
}

std::string_view messageOf(error_code Code) {
  switch (Code) {
  case error_code::None:
    return "";
  case error_code::MalformedRequest:
    return "the request is not well-formed";
  case error_code::UnknownWorkspace:
    return "the configuration has no such workspace";
  case error_code::UnknownPipeline:
    return "the configuration has no such pipeline";
  case error_code::BodyTooLarge:
    return "the body is too large";
  case error_code::MissingIdempotencyKey:
    return "this pipeline needs an Idempotency-Key";
  case error_code::KeyReusedWithOtherBody:
    return "the key was used before with another request";
  case error_code::KeyInProgress:
    return "a request with this key is in progress";
  case error_code::DeadlinePassed:
    return "the time for the request has gone";
  case error_code::DeadlineInfeasible:
    return "the deadline cannot be met any more";
  case error_code::Overloaded:
    return "the request cannot be served in time";
  case error_code::WorkspaceLimitReached:
    return "the workspace has too many requests in progress";
  case error_code::NotReady:
    return "this entry host has no configuration yet";
  case error_code::ShuttingDown:
    return "this entry host is shutting down";
  case error_code::NoBackendAvailable:
    return "no backend server may take the work";
  case error_code::BackendFailed:
    return "the stage failed on every backend server that was tried";
  case error_code::PlatformUnavailable:
    return "the platform does not answer";
  case error_code::ClaimUndecided:
    return "whether the key was used before could not be read in time";
  case error_code::OutcomeUnknown:
    return "the call left the host and no answer came";
  case error_code::AnswerNotKept:
    return "the work ran before and its answer was too large to be kept";
  case error_code::StreamDiverged:
    return "a repeat of the stream differed from what was delivered";
  case error_code::SupersededByLaterCall:
    return "a later call with this key was told that it was not run";
  }
  return "";
}

std::string_view messageOf(front_error Error) {
  switch (Error) {
  case front_error::MalformedRequest:
    return "the request is not well-formed";
  case front_error::HeaderTooLarge:
    return "the request's headers are too large";
  case front_error::BodyTooLarge:
    return "the body is too large";
  case front_error::RequestTimeout:
    return "the request did not arrive in time";
  case front_error::UnknownPath:
    return "there is nothing at this path";
  case front_error::MethodNotAllowed:
    return "the path does not take this method";
  case front_error::TooManyConnections:
    return "this entry host has too many connections";
  case front_error::HalfClosed:
    return "the caller closed its sending side before its answer came";
  case front_error::SlowReader:
    return "the stream was not read as fast as it came";
  case front_error::StreamDamaged:
    return "the stream does not have the digest of the whole";
  }
  return "";
}

std::uint64_t milliseconds(core_duration Duration) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Duration).count());
}

std::string errorBody(const final_answer &Answer) {
  json::object Body{{"outcome", toText(Answer.Outcome)},
                    {"code", toText(Answer.Code)},
                    {"message", messageOf(Answer.Code)}};
  if (Answer.RetryAfter)
    Body["retry_after_ms"] = milliseconds(*Answer.RetryAfter);
  return json::serialize(Body);
}

std::string sseEvent(std::string_view Name, std::string_view Data) {
  std::string Text;
  if (!Name.empty()) {
    Text += "event: ";
    Text += Name;
    Text += '\n';
  }
  Text += "data: ";
  Text += Data;
  Text += "\n\n";
  return Text;
}

std::string quoted(std::string_view Text) {
  return json::serialize(json::string_view(Text.data(), Text.size()));
}

} // namespace

unsigned httpStatusOf(error_code Code) {
  switch (Code) {
  case error_code::None:
    return 200;
  case error_code::MalformedRequest:
  case error_code::MissingIdempotencyKey:
    return 400;
  case error_code::UnknownWorkspace:
  case error_code::UnknownPipeline:
    return 404;
  case error_code::BodyTooLarge:
    return 413;
  case error_code::KeyReusedWithOtherBody:
    return 422;
  case error_code::KeyInProgress:
  case error_code::SupersededByLaterCall:
    return 409;
  case error_code::DeadlinePassed:
    return 504;
  case error_code::WorkspaceLimitReached:
    return 429;
  case error_code::DeadlineInfeasible:
  case error_code::Overloaded:
  case error_code::NotReady:
  case error_code::ShuttingDown:
  case error_code::NoBackendAvailable:
  case error_code::PlatformUnavailable:
  case error_code::ClaimUndecided:
    return 503;
  case error_code::BackendFailed:
  case error_code::OutcomeUnknown:
  case error_code::AnswerNotKept:
  case error_code::StreamDiverged:
    return 502;
  }
  return 502;
}

http_answer renderAnswer(const final_answer &Answer) {
  http_answer Result;
  if (Answer.Outcome == outcome_kind::Complete) {
    Result.Body =
        "{\"outcome\":\"complete\",\"output\":" + quoted(Answer.Body) +
        ",\"replayed\":" + (Answer.Replayed ? "true" : "false") + "}";
    return Result;
  }
  Result.Status = httpStatusOf(Answer.Code);
  Result.Body = errorBody(Answer);
  if (Answer.RetryAfter)
    Result.RetryAfterSeconds = (milliseconds(*Answer.RetryAfter) + 999) / 1000;
  return Result;
}

http_answer renderRefusal(const front_refusal &Refusal) {
  http_answer Result;
  Result.Status = httpStatusOf(Refusal.Error);
  json::object Body{{"outcome", toText(Refusal.Outcome)},
                    {"code", toText(Refusal.Error)},
                    {"message", messageOf(Refusal.Error)}};
  if (!Refusal.Where.empty())
    Body["where"] = Refusal.Where;
  if (mayComeBack(Refusal.Error)) {
    Result.RetryAfterSeconds = RetryAfterRefusalSeconds;
    Body["retry_after_ms"] = RetryAfterRefusalSeconds * 1000;
  }
  Result.Body = json::serialize(Body);
  return Result;
}

std::string renderPiece(std::uint64_t Sequence, std::string_view Text) {
  return sseEvent("", "{\"seq\":" + std::to_string(Sequence) +
                          ",\"text\":" + quoted(Text) + "}");
}

std::string renderStreamEnd(std::uint64_t Count, std::uint64_t Digest) {
  return sseEvent(
      "end", "{\"outcome\":\"complete\",\"count\":" + std::to_string(Count) +
                 ",\"digest\":\"" + hexDigest(Digest) + "\"}");
}

std::string renderStreamError(const final_answer &Answer) {
  return sseEvent("error", errorBody(Answer));
}

std::string renderStreamError(front_error Error, outcome_kind Outcome) {
  json::object Body{{"outcome", toText(Outcome)},
                    {"code", toText(Error)},
                    {"message", messageOf(Error)}};
  return sseEvent("error", json::serialize(Body));
}

std::string hexDigest(std::uint64_t Digest) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(16, '0');
  for (std::size_t I = 16; I-- > 0; Digest >>= 4)
    Text[I] = Digits[Digest & 15];
  return Text;
}

} // namespace jasminecroft
