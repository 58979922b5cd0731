// Reads target and headers of a caller's request; checks its body as JSON.
#include "jasminecroft/entry/caller_request.h"

#include <boost/json/basic_parser_impl.hpp>

#include <charconv>
#include <limits>
#include <vector>

namespace jasminecroft {

namespace json = boost::json;

namespace {

constexpr std::string_view CallerPrefix = "/v1/workspaces/";
constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::size_t MaxJsonDepth = 64;
constexpr std::int64_t MaxDeadlineMs = 86'400'000;

// Accepts every well-formed document and keeps nothing.
struct discarding_handler {
  static constexpr std::size_t max_object_size = -1; // NOLINT: library's name
  static constexpr std::size_t max_array_size = -1;  // NOLINT: library's name
  static constexpr std::size_t max_key_size = -1;    // NOLINT: library's name
  static constexpr std::size_t max_string_size = -1; // NOLINT: library's name

  // NOLINTBEGIN(readability-identifier-naming): names set by the library
  bool on_document_begin(json::error_code &) { return true; }
  bool on_document_end(json::error_code &) { return true; }
  bool on_object_begin(json::error_code &) { return true; }
  bool on_object_end(std::size_t, json::error_code &) { return true; }
  bool on_array_begin(json::error_code &) { return true; }
  bool on_array_end(std::size_t, json::error_code &) { return true; }
  bool on_key_part(json::string_view, std::size_t, json::error_code &) {
    return true;
  }
  bool on_key(json::string_view, std::size_t, json::error_code &) {
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code &) {
    return true;
  }
  bool on_string(json::string_view, std::size_t, json::error_code &) {
    return true;
  }
  bool on_number_part(json::string_view, json::error_code &) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code &) {
    return true;
  }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code &) {
    return true;
  }
  bool on_double(double, json::string_view, json::error_code &) { return true; }
  bool on_bool(bool, json::error_code &) { return true; }
  bool on_null(json::error_code &) { return true; }
  bool on_comment_part(json::string_view, json::error_code &) { return true; }
  bool on_comment(json::string_view, json::error_code &) { return true; }
  // NOLINTEND(readability-identifier-naming)
};

int hexValue(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  if (Character >= 'a' && Character <= 'f')
    return Character - 'a' + 10;
  if (Character >= 'A' && Character <= 'F')
    return Character - 'A' + 10;
  return -1;
}

// A path segment with its %XX escapes resolved; absent if malformed.
std::optional<std::string> unescape(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Result += Text[I];
      continue;
    }
    if (I + 2 >= Text.size())
      return std::nullopt;
    int High = hexValue(Text[I + 1]);
    int Low = hexValue(Text[I + 2]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Result += static_cast<char>(High * 16 + Low);
    I += 2;
  }
  return Result;
}

std::optional<std::string> nameSegment(std::string_view Text) {
  std::optional<std::string> Name = unescape(Text);
  if (!Name || Name->empty() || Name->size() > MaxNameBytes)
    return std::nullopt;
  for (char Character : *Name)
    if (static_cast<unsigned char>(Character) < 0x20 || Character == 0x7f)
      return std::nullopt;
  return Name;
}

std::vector<std::string_view> split(std::string_view Path) {
  std::vector<std::string_view> Segments;
  while (true) {
    std::size_t Slash = Path.find('/');
    Segments.push_back(Path.substr(0, Slash));
    if (Slash == std::string_view::npos)
      return Segments;
    Path.remove_prefix(Slash + 1);
  }
}

std::optional<std::int64_t> wholeNumber(std::string_view Text) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  std::from_chars_result Result = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Number;
}

std::optional<std::uint32_t> positiveNumber(std::string_view Text) {
  std::optional<std::int64_t> Number = wholeNumber(Text);
  if (!Number || *Number < 1 ||
      *Number > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return static_cast<std::uint32_t>(*Number);
}

front_refusal malformed(std::string_view Where) {
  return {front_error::MalformedRequest, Where};
}

std::optional<front_refusal> readPath(std::string_view Target,
                                      request_received &Call) {
  std::vector<std::string_view> Segments =
      split(Target.substr(CallerPrefix.size()));
  if (Segments.size() != 3 || Segments[1] != "pipelines")
    return front_refusal{front_error::UnknownPath, "target"};
  std::optional<std::string> Workspace = nameSegment(Segments[0]);
  std::optional<std::string> Pipeline = nameSegment(Segments[2]);
  if (!Workspace)
    return malformed("workspace");
  if (!Pipeline)
    return malformed("pipeline");
  Call.Workspace = workspace_id(std::move(*Workspace));
  Call.Pipeline = pipeline_id(std::move(*Pipeline));
  return std::nullopt;
}

// A deadline of zero or less is well-formed: it has passed.
std::optional<front_refusal> readDeadline(const raw_request &Raw,
                                          request_received &Call) {
  if (!Raw.DeadlineMs)
    return std::nullopt;
  std::optional<std::int64_t> Milliseconds = wholeNumber(*Raw.DeadlineMs);
  if (!Milliseconds || *Milliseconds > MaxDeadlineMs ||
      *Milliseconds < -MaxDeadlineMs)
    return malformed("Jasminecroft-Deadline-Ms");
  Call.Remaining = std::chrono::milliseconds(*Milliseconds);
  return std::nullopt;
}

std::optional<front_refusal> readHeaders(const raw_request &Raw,
                                         request_received &Call) {
  if (Raw.IdempotencyKey) {
    if (Raw.IdempotencyKey->empty() || Raw.IdempotencyKey->size() > MaxKeyBytes)
      return malformed("Idempotency-Key");
    Call.Key = idempotency_key(std::string(*Raw.IdempotencyKey));
  }
  if (Raw.Attempt) {
    Call.AttemptNumber = positiveNumber(*Raw.Attempt);
    if (!Call.AttemptNumber)
      return malformed("Jasminecroft-Attempt");
  }
  if (Raw.TokenLimit) {
    Call.TokenLimit = positiveNumber(*Raw.TokenLimit);
    if (!Call.TokenLimit)
      return malformed("Jasminecroft-Token-Limit");
  }
  Call.Streamed = Raw.Accept && Raw.Accept->find("text/event-stream") !=
                                    std::string_view::npos;
  return std::nullopt;
}

} // namespace

std::string_view toText(front_error Error) {
  switch (Error) {
  case front_error::MalformedRequest:
    return "malformed_request";
  case front_error::HeaderTooLarge:
    return "header_too_large";
  case front_error::BodyTooLarge:
    return "body_too_large";
  case front_error::RequestTimeout:
    return "request_timeout";
  case front_error::UnknownPath:
    return "unknown_path";
  case front_error::MethodNotAllowed:
    return "method_not_allowed";
  case front_error::TooManyConnections:
    return "too_many_connections";
  case front_error::HalfClosed:
    return "half_closed";
  case front_error::SlowReader:
    return "slow_reader";
  case front_error::StreamDamaged:
    return "stream_damaged";
  }
  return "malformed_request";
}

unsigned httpStatusOf(front_error Error) {
  switch (Error) {
  case front_error::MalformedRequest:
  case front_error::HalfClosed:
    return 400;
  case front_error::HeaderTooLarge:
    return 431;
  case front_error::BodyTooLarge:
    return 413;
  case front_error::RequestTimeout:
    return 408;
  case front_error::UnknownPath:
    return 404;
  case front_error::MethodNotAllowed:
    return 405;
  case front_error::TooManyConnections:
    return 503;
  case front_error::SlowReader:
  case front_error::StreamDamaged:
    return 502;
  }
  return 400;
}

bool isCallerPath(std::string_view Target) {
  return Target.starts_with(CallerPrefix);
}

bool isOperatorPath(std::string_view Target) {
  return Target == "/healthz" || Target == "/readyz" || Target == "/metrics" ||
         Target.starts_with("/status/");
}

interpreted_request interpretRequest(const raw_request &Raw) {
  if (!isCallerPath(Raw.Target))
    return front_refusal{front_error::UnknownPath, "target"};
  request_received Call;
  if (std::optional<front_refusal> Refusal = readPath(Raw.Target, Call))
    return *Refusal;
  if (Raw.Method != "POST")
    return front_refusal{front_error::MethodNotAllowed, "method"};
  if (std::optional<front_refusal> Refusal = readDeadline(Raw, Call))
    return *Refusal;
  if (std::optional<front_refusal> Refusal = readHeaders(Raw, Call))
    return *Refusal;
  return Call;
}

bool isWellFormedJson(std::string_view Text) {
  json::parse_options Options;
  Options.max_depth = MaxJsonDepth;
  json::basic_parser<discarding_handler> Parser(Options);
  json::error_code Failure;
  std::size_t Consumed =
      Parser.write_some(false, Text.data(), Text.size(), Failure);
  return !Failure && Consumed == Text.size() && Parser.done();
}

} // namespace jasminecroft
