// Final answers and refusals as HTTP status and JSON, and pieces of streams
// as server-sent events.
#pragma once

#include "jasminecroft/core/outcome.h"
#include "jasminecroft/entry/caller_request.h"

#include <string>
#include <string_view>

namespace jasminecroft {

/// HTTP status, headers that vary, and body of an answer.
struct http_answer {
  unsigned Status = 200;
  std::string Body;
  std::string_view ContentType = "application/json";
  /// Whole seconds for Retry-After; 0 for none.
  std::uint64_t RetryAfterSeconds = 0;
};

unsigned httpStatusOf(error_code Code);

http_answer renderAnswer(const final_answer &Answer);
http_answer renderRefusal(const front_refusal &Refusal);

std::string renderPiece(std::uint64_t Sequence, std::string_view Text);
std::string renderStreamEnd(std::uint64_t Count, std::uint64_t Digest);
/// The error event that ends a stream; Answer is not complete.
std::string renderStreamError(const final_answer &Answer);
/// A stream that the front itself broke off.
std::string renderStreamError(front_error Error, outcome_kind Outcome);

std::string hexDigest(std::uint64_t Digest);

} // namespace jasminecroft
