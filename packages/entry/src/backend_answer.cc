// Parses the JSON of backend servers' answers, streams and load reports.
#include "backend_answer.h"

#include <boost/json.hpp>

#include <charconv>
#include <limits>

namespace jasminecroft::detail {

namespace json = boost::json;

namespace {

json::object parseObject(std::string_view Text) {
  json::error_code Failure;
  json::value Value =
      json::parse(json::string_view(Text.data(), Text.size()), Failure);
  if (Failure || !Value.is_object())
    return {};
  return std::move(Value.get_object());
}

std::optional<std::string> textMember(const json::object &Object,
                                      std::string_view Name) {
  const json::value *Member =
      Object.if_contains(json::string_view(Name.data(), Name.size()));
  if (!Member || !Member->is_string())
    return std::nullopt;
  const json::string &Text = Member->get_string();
  return std::string(Text.data(), Text.size());
}

std::optional<std::uint64_t> numberMember(const json::object &Object,
                                          std::string_view Name) {
  const json::value *Member =
      Object.if_contains(json::string_view(Name.data(), Name.size()));
  if (!Member || !Member->is_number())
    return std::nullopt;
  json::error_code Failure;
  std::uint64_t Number = Member->to_number<std::uint64_t>(Failure);
  if (Failure)
    return std::nullopt;
  return Number;
}

std::optional<std::uint32_t> smallMember(const json::object &Object,
                                         std::string_view Name) {
  std::optional<std::uint64_t> Number = numberMember(Object, Name);
  if (!Number || *Number > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return static_cast<std::uint32_t>(*Number);
}

bool boolMember(const json::object &Object, std::string_view Name) {
  const json::value *Member =
      Object.if_contains(json::string_view(Name.data(), Name.size()));
  return Member && Member->is_bool() && Member->get_bool();
}

attempt_failed failed(attempt_id Attempt, backend_error Error) {
  return attempt_failed{Attempt, Error, std::nullopt};
}

attempt_failed readFailure(attempt_id Attempt, unsigned Status,
                           const json::object &Body) {
  if (Status == 503 && boolMember(Body, "refused")) {
    attempt_failed Result = failed(Attempt, boolMember(Body, "leaving")
                                                ? backend_error::RefusedLeaving
                                                : backend_error::Refused);
    if (std::optional<std::uint32_t> Milliseconds =
            smallMember(Body, "retry_after_ms"))
      Result.RetryAfter = std::chrono::milliseconds(*Milliseconds);
    return Result;
  }
  if (Status == 500 && boolMember(Body, "ran"))
    return failed(Attempt, backend_error::ExecutionFailed);
  return failed(Attempt, backend_error::Broken);
}

std::optional<std::uint64_t> digestMember(const json::object &Object) {
  std::optional<std::string> Text = textMember(Object, "digest");
  if (!Text || Text->empty())
    return std::nullopt;
  std::uint64_t Digest = 0;
  const char *End = Text->data() + Text->size();
  std::from_chars_result Result =
      std::from_chars(Text->data(), End, Digest, 16);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Digest;
}

} // namespace

std::variant<attempt_succeeded, attempt_failed>
readWholeAnswer(attempt_id Attempt, std::string_view AttemptText,
                unsigned Status, std::string_view Body) {
  json::object Object = parseObject(Body);
  if (Status != 200)
    return readFailure(Attempt, Status, Object);
  std::optional<std::string> Output = textMember(Object, "output");
  if (!Output || textMember(Object, "attempt") != AttemptText)
    return failed(Attempt, backend_error::Broken);
  attempt_succeeded Result;
  Result.Attempt = Attempt;
  Result.Output = std::move(*Output);
  return Result;
}

std::variant<attempt_piece, attempt_succeeded, attempt_failed>
readStreamEvent(attempt_id Attempt, std::string_view AttemptText,
                const sse_event &Event) {
  json::object Object = parseObject(Event.Data);
  if (textMember(Object, "attempt") != AttemptText)
    return failed(Attempt, backend_error::Broken);
  if (Event.Name.empty()) {
    std::optional<std::uint64_t> Sequence = numberMember(Object, "seq");
    std::optional<std::string> Text = textMember(Object, "text");
    if (!Sequence || !Text)
      return failed(Attempt, backend_error::Broken);
    return attempt_piece{Attempt, *Sequence, std::move(*Text)};
  }
  std::optional<std::uint64_t> Count = numberMember(Object, "count");
  std::optional<std::uint64_t> Digest = digestMember(Object);
  if (Event.Name != "end" || !Count || !Digest)
    return failed(Attempt, backend_error::Broken);
  attempt_succeeded Result;
  Result.Attempt = Attempt;
  Result.Count = *Count;
  Result.Digest = *Digest;
  return Result;
}

std::optional<load_reported> readLoad(const backend_id &Backend,
                                      std::string_view Body) {
  json::object Object = parseObject(Body);
  std::optional<std::uint64_t> Run = numberMember(Object, "run");
  std::optional<std::uint32_t> InFlight = smallMember(Object, "in_flight");
  std::optional<std::uint32_t> Queued = smallMember(Object, "queued");
  std::optional<std::uint32_t> Slots = smallMember(Object, "slots");
  if (!Run || !InFlight || !Queued || !Slots)
    return std::nullopt;
  load_reported Report;
  Report.Backend = Backend;
  Report.Run = incarnation(*Run);
  Report.InFlight = *InFlight;
  Report.Queued = *Queued;
  Report.Slots = *Slots;
  Report.Leaving = boolMember(Object, "leaving");
  return Report;
}

} // namespace jasminecroft::detail
