// Counts and times platform calls and hands their results to the core.
#include "jasminecroft/entry/platform_link.h"

#include <chrono>

namespace jasminecroft {

platform_link::platform_link(std::unique_ptr<object_api> Api,
                             event_sink &Events, metrics &Metrics)
    : Api(std::move(Api)), Events(Events), Metrics(Metrics) {}

std::optional<part_failure> platform_link::start() { return std::nullopt; }

void platform_link::stop() {}

void platform_link::perform(call_platform Action) {
  std::chrono::steady_clock::time_point Began =
      std::chrono::steady_clock::now();
  Api->call(std::move(Action.Operation), Action.Timeout,
            [this, Began, Call = Action.Call,
             Purpose = Action.Purpose](platform_result Result) {
              std::chrono::microseconds Latency =
                  std::chrono::duration_cast<std::chrono::microseconds>(
                      std::chrono::steady_clock::now() - Began);
              Metrics.observe(Purpose, Result, Latency);
              Events.post(platform_replied{Call, std::move(Result)});
            });
}

} // namespace jasminecroft
