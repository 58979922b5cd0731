// The link to the platform's object API.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/entry/core_runner.h"
#include "jasminecroft/entry/metrics.h"
#include "jasminecroft/entry/supervised_part.h"
#include "jasminecroft/platform/object_api.h"

#include <memory>

namespace jasminecroft {

/// Carries out platform calls and reports each result as one event. A restart
/// loses nothing: calls in progress still answer.
class platform_link final : public supervised_part {
public:
  platform_link(std::unique_ptr<object_api> Api, event_sink &Events,
                metrics &Metrics);

  std::optional<part_failure> start() override;
  void stop() override;
  void perform(call_platform Action);

private:
  std::unique_ptr<object_api> Api;
  event_sink &Events;
  metrics &Metrics;
};

} // namespace jasminecroft
