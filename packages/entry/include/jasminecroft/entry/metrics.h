// Metrics of one entry host, as text for operators' collectors.
#pragma once

#include "jasminecroft/core/stored_objects.h"
#include "jasminecroft/entry/backend_client.h"
#include "jasminecroft/entry/front.h"
#include "jasminecroft/wire/nng_transport.h"

#include <memory>
#include <string>

namespace jasminecroft {

/// Counts that other parts keep.
struct metrics_sources {
  front_counters Front;
  backend_counters Backends;
  peer_transport_counters Peers;
  std::uint64_t Restarts = 0;
  bool Ready = false;
};

/// Collects observations. The number of series is bounded: pipelines beyond
/// MaxPipelines are counted together as "other".
class metrics {
public:
  static constexpr std::size_t MaxPipelines = 64;

  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  void observe(const answered_request &Answered);
  void observe(call_purpose Purpose, const platform_result &Result,
               std::chrono::microseconds Latency);
  /// Times are in seconds, as the names say.
  std::string render(const metrics_sources &Sources) const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace jasminecroft
