// Feeds events to the core, performs its actions in order and keeps its timer.
#include "jasminecroft/entry/core_runner.h"

#include "steady_time.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>

namespace jasminecroft {

namespace asio = boost::asio;
using namespace detail;

namespace {

constexpr std::chrono::seconds WallClockInterval{10};

} // namespace

class core_runner::implementation {
public:
  implementation(asio::io_context &Context, const core_settings &Settings,
                 action_sink &Sink)
      : Core(Settings), Sink(Sink), Timer(Context), WallClockTimer(Context) {}

  void post(event Event) {
    Waiting.push_back(std::move(Event));
    if (Draining)
      return;
    Draining = true;
    while (!Waiting.empty()) {
      event Next = std::move(Waiting.front());
      Waiting.pop_front();
      performAll(Core.handle(Next, now()));
    }
    Draining = false;
    armTimer();
  }

  void observeWallClock() {
    wall_time Wall = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    post(wall_clock_observed{Wall});
    if (Stopped)
      return;
    WallClockTimer.expires_after(WallClockInterval);
    WallClockTimer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        observeWallClock();
    });
  }

  void stop() {
    Stopped = true;
    ArmedFor.reset();
    Timer.cancel();
    WallClockTimer.cancel();
  }

private:
  void performAll(action_list Actions) {
    for (action &Action : Actions)
      std::visit(
          [this](auto &One) { // NOLINT(bugprone-use-after-move)
            Sink.perform(std::move(One));
          },
          Action);
  }

  // An armed timer that fires too early only arms itself again.
  void armTimer() {
    std::optional<core_time> Next = Core.nextWakeup();
    if (Stopped || !Next || (ArmedFor && *ArmedFor <= *Next))
      return;
    ArmedFor = Next;
    Timer.expires_at(toSteady(*Next));
    Timer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        onTimer();
    });
  }

  void onTimer() {
    ArmedFor.reset();
    std::optional<core_time> Next = Core.nextWakeup();
    if (Next && *Next <= now())
      post(wakeup{});
    else
      armTimer();
  }

  entry_core Core;
  action_sink &Sink;
  asio::steady_timer Timer;
  asio::steady_timer WallClockTimer;
  /// Time that Timer waits for; absent if it does not run.
  std::optional<core_time> ArmedFor;
  std::deque<event> Waiting;
  bool Draining = false;
  bool Stopped = false;
};

core_runner::core_runner(asio::io_context &Context,
                         const core_settings &Settings, action_sink &Sink)
    : Impl(std::make_unique<implementation>(Context, Settings, Sink)) {}

core_runner::~core_runner() = default;

void core_runner::start() { Impl->observeWallClock(); }

void core_runner::post(event Event) { Impl->post(std::move(Event)); }

void core_runner::stop() { Impl->stop(); }

} // namespace jasminecroft
