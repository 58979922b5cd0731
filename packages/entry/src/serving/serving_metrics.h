// Counters and latency histograms of the serving path, in the text format that
// monitoring systems read.
#pragma once

#include "jasminecroft/core/serving/serving_core.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminecroft::detail {

/// Values read at the time of a scrape.
struct serving_gauges {
  std::size_t Connections = 0;
  std::uint64_t ConfigVersion = 0;
  bool Ready = false;
  std::size_t Backends = 0;
  std::size_t Peers = 0;
  std::uint64_t BackendConnectionsOpened = 0;
  std::uint64_t LogLinesDropped = 0;
  std::uint64_t StoreCallsFailed = 0;
  std::uint64_t UnreadableObjects = 0;
  /// Time since the store last answered, by kind of objects.
  std::vector<std::pair<std::string_view, std::chrono::milliseconds>>
      StoreSilences;
  /// Calls of the store since the start, by kind of objects and purpose.
  std::vector<std::pair<std::string, std::uint64_t>> StoreCalls;
  /// Bytes held for callers and servers, by kind.
  std::size_t HeldRequestBytes = 0;
  std::size_t HeldArrivingBytes = 0;
  std::size_t HeldUnreadBytes = 0;
  /// Answers that ended because their callers did not read them.
  std::uint64_t SlowReadersEnded = 0;
  /// Handles of servers that were not used, and calls that were not sent, as
  /// their texts cannot stand in a head.
  std::uint64_t UnusableHandles = 0;
  std::uint64_t UnwritableHeads = 0;
};

class serving_metrics {
public:
  serving_metrics();
  ~serving_metrics();

  void observe(const finished_request &Answered);
  void observeBatch(std::size_t Pieces);
  std::string render(const serving_counters &Counters,
                     const serving_gauges &Gauges);

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace jasminecroft::detail
