// Texts and fields of the events.
#include "text_events.h"

namespace jasminecroft::detail {

event_record unusableHandles(const backend_id &Server, std::size_t Count,
                             const std::string &First) {
  return {event_number::ResultHandleUnusable,
          event_severity::Warning,
          "handle of a result cannot be used; its piece is made again",
          {{"server", Server.Value},
           {"count", std::to_string(Count)},
           {"first", First}}};
}

event_record unwritableCall(const backend_id &Server,
                            const caller_request_id &CallerId,
                            const platform::unwritable_head &Head) {
  return {event_number::CallNotWritable,
          event_severity::Error,
          "call not sent: a text cannot stand in its head",
          {{"request", CallerId.Value},
           {"server", Server.Value},
           {"field", Head.Field},
           {"text", Head.Text}}};
}

} // namespace jasminecroft::detail
