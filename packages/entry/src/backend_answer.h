// Reads what backend servers answer; see docs/PROTOCOLS.md.
#pragma once

#include "jasminecroft/core/events.h"
#include "sse_reader.h"

#include <optional>
#include <string_view>
#include <variant>

namespace jasminecroft::detail {

/// The whole answer of an attempt, or how it failed. An answer to another
/// attempt counts as broken.
std::variant<attempt_succeeded, attempt_failed>
readWholeAnswer(attempt_id Attempt, std::string_view AttemptText,
                unsigned Status, std::string_view Body);

/// One event of a stream: a piece, its end, or how it failed.
std::variant<attempt_piece, attempt_succeeded, attempt_failed>
readStreamEvent(attempt_id Attempt, std::string_view AttemptText,
                const sse_event &Event);

std::optional<load_reported> readLoad(const backend_id &Backend,
                                      std::string_view Body);

} // namespace jasminecroft::detail
