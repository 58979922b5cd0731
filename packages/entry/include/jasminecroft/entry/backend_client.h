// Calls to backend servers: attempts, their cancellation, and load polls.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/entry/core_runner.h"
#include "jasminecroft/entry/supervised_part.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace jasminecroft {

/// Counts of the backend client since its start.
struct backend_counters {
  std::uint64_t Attempts = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t ConnectionsOpened = 0;
  std::uint64_t ConnectionsReused = 0;
  std::uint64_t LoadPolls = 0;
};

/// Carries out attempts and reports what becomes of each as one event.
/// Used from the io_context's thread only. A restart loses the attempts in
/// progress: each is reported as broken, or as not connected if no byte left.
class backend_client : public supervised_part {
public:
  virtual void perform(start_attempt Action) = 0;
  virtual void perform(const cancel_attempt &Action) = 0;
  virtual void perform(const poll_load &Action) = 0;
  virtual backend_counters counters() const = 0;
};

std::unique_ptr<backend_client>
makeBackendClient(boost::asio::io_context &Context, const host_run &Self,
                  event_sink &Events);

} // namespace jasminecroft
