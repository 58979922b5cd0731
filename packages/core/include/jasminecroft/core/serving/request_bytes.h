// Bytes of large requests in progress at each backend server. A server that
// reads slowly holds them, and ends if they exceed its memory: further large
// requests go to other servers.
#pragma once

#include "jasminecroft/core/serving/call_admission.h"

#include <cstddef>
#include <unordered_map>

namespace jasminecroft {

/// Smaller requests are neither counted nor turned down.
inline constexpr std::size_t LargeRequestBytes = 65'536;

class request_bytes final : public admission_source {
public:
  /// Bytes of large requests that one server gets from this host at a time. One
  /// request may be larger.
  void setBound(std::size_t Bytes) { Bound = Bytes; }
  void begin(const backend_id &Server, std::size_t Bytes);
  void end(const backend_id &Server, std::size_t Bytes);
  std::size_t inProgress(const backend_id &Server) const;

  bool active(core_time) const override { return !ByServer.empty(); }
  admission_answer check(const backend_state &Server,
                         const call_subject &Subject, core_time Now) override;

private:
  std::size_t Bound = 0;
  /// Servers with large requests in progress.
  std::unordered_map<backend_id, std::size_t> ByServer;
};

} // namespace jasminecroft
