// Sums by server.
#include "jasminecroft/core/serving/request_bytes.h"

namespace jasminecroft {

void request_bytes::begin(const backend_id &Server, std::size_t Bytes) {
  if (Bytes > LargeRequestBytes)
    ByServer[Server] += Bytes;
}

void request_bytes::end(const backend_id &Server, std::size_t Bytes) {
  auto Found = ByServer.find(Server);
  if (Bytes <= LargeRequestBytes || Found == ByServer.end())
    return;
  Found->second -= Bytes;
  if (Found->second == 0)
    ByServer.erase(Found);
}

std::size_t request_bytes::inProgress(const backend_id &Server) const {
  auto Found = ByServer.find(Server);
  return Found == ByServer.end() ? 0 : Found->second;
}

// The end of a call in progress cannot be foreseen.
admission_answer request_bytes::check(const backend_state &Server,
                                      const call_subject &Subject, core_time) {
  if (Subject.RequestBytes <= LargeRequestBytes)
    return {};
  std::size_t Held = inProgress(Server.Entry.Id);
  if (Held == 0 || Held + Subject.RequestBytes <= Bound)
    return {};
  return {admission_obstacle::RequestBytes, std::nullopt};
}

} // namespace jasminecroft
