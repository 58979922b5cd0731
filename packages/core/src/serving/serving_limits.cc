// Limits that backend servers name in their replies.
#include "serving_state.h"

namespace jasminecroft {

using namespace detail;

void serving_impl::onStatedLimit(call_id Call, const stated_limit &Stated) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  const backend_entry &Server = Found->second.Server;
  limit_change Change =
      Limits.onReply(Server.Id, Server.Run, Stated, Found->second.SentAt, Now);
  if (Change == limit_change::None)
    return;
  std::vector<event_field> Fields = {{"server", Server.Id.Value},
                                     {"pool", Server.Pool.Value}};
  if (Change == limit_change::Ended) {
    log(event_number::ServerLimitEnded, event_severity::Info,
        "backend server no longer names a limit", std::move(Fields));
    return;
  }
  Fields.push_back({"per_second", std::to_string(*Stated.PerSecond)});
  log(event_number::ServerLimited, event_severity::Warning,
      "backend server names a limit for all hosts together", std::move(Fields));
}

} // namespace jasminecroft
