// Events about texts of others that cannot stand in a head.
#pragma once

#include "jasminecroft/core/event_log.h"
#include "jasminecroft/core/serving/pieces.h"
#include "platform/head_writer.h"

#include <cstddef>
#include <string>

namespace jasminecroft::detail {

/// Handles of one answer, and the first of them.
event_record unusableHandles(const backend_id &Server, std::size_t Count,
                             const std::string &First);
/// A call that was not sent.
event_record unwritableCall(const backend_id &Server,
                            const caller_request_id &CallerId,
                            const platform::unwritable_head &Head);

} // namespace jasminecroft::detail
