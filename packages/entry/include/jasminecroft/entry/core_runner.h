// Adapts one process to one entry_core: feeds it events with the time, hands
// its actions to a sink and wakes it up when it asks to be woken.
#pragma once

#include "jasminecroft/core/entry_core.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace jasminecroft {

/// Carries out the core's actions. Called on the io_context's thread; may
/// post further events, which are handled after the actions at hand.
class action_sink {
public:
  virtual ~action_sink() = default;
  virtual void perform(answer_caller Action) = 0;
  virtual void perform(stream_to_caller Action) = 0;
  virtual void perform(start_attempt Action) = 0;
  virtual void perform(cancel_attempt Action) = 0;
  virtual void perform(poll_load Action) = 0;
  virtual void perform(call_platform Action) = 0;
  virtual void perform(send_to_peer Action) = 0;
  virtual void perform(set_readiness Action) = 0;
  virtual void perform(log_event Action) = 0;
  virtual void perform(reply_status Action) = 0;
  virtual void perform(stop_process Action) = 0;
};

/// Takes events for the core; used from the io_context's thread only.
class event_sink {
public:
  virtual ~event_sink() = default;
  virtual void post(event Event) = 0;
};

/// Drives one entry_core on the thread of an io_context.
class core_runner final : public event_sink {
public:
  core_runner(boost::asio::io_context &Context, const core_settings &Settings,
              action_sink &Sink);
  ~core_runner() override;

  /// Tells the core the wall time and lets it begin.
  void start();
  void post(event Event) override;
  /// Stops the timers, so that the io_context can run out of work.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace jasminecroft
