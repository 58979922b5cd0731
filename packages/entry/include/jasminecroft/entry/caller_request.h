// Turns a caller's HTTP request into an event, or into a typed refusal.
#pragma once

#include "jasminecroft/core/events.h"
#include "jasminecroft/core/outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jasminecroft {

/// What the front refuses or breaks off by itself; nothing of these requests
/// has reached the core, but for the last three.
enum class front_error {
  MalformedRequest,
  HeaderTooLarge,
  BodyTooLarge,
  RequestTimeout,
  UnknownPath,
  MethodNotAllowed,
  TooManyConnections,
  /// The caller closed its sending side while its request was in progress.
  HalfClosed,
  /// The caller reads its stream more slowly than it is produced.
  SlowReader,
  /// The pieces passed on do not have the digest of the whole stream.
  StreamDamaged,
};

std::string_view toText(front_error Error);
unsigned httpStatusOf(front_error Error);

/// A refusal, with the part of the request that caused it.
struct front_refusal {
  front_error Error = front_error::MalformedRequest;
  /// Name of the header, or "body", "target" and the like.
  std::string_view Where;
  /// What is known of the request; NotRun unless the core had it.
  outcome_kind Outcome = outcome_kind::NotRun;
};

/// The parts of an HTTP request that matter; absent headers are absent here.
struct raw_request {
  std::string_view Method;
  std::string_view Target;
  std::optional<std::string_view> DeadlineMs;
  std::optional<std::string_view> IdempotencyKey;
  std::optional<std::string_view> Attempt;
  std::optional<std::string_view> TokenLimit;
  std::optional<std::string_view> Accept;
};

using interpreted_request = std::variant<request_received, front_refusal>;

/// Everything but the body and the request's number, from target and headers.
interpreted_request interpretRequest(const raw_request &Raw);
/// Whether Text is one well-formed JSON document of bounded depth.
bool isWellFormedJson(std::string_view Text);
/// Whether the path belongs to callers' requests.
bool isCallerPath(std::string_view Target);
/// Whether the path is one of the pages for operators and the balancer.
bool isOperatorPath(std::string_view Target);

} // namespace jasminecroft
