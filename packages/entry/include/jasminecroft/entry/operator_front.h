// Answers to operators and to the balancer: health, readiness, metrics, status.
#pragma once

#include "jasminecroft/core/actions.h"
#include "jasminecroft/entry/core_runner.h"
#include "jasminecroft/entry/front.h"

#include <functional>
#include <map>

namespace jasminecroft {

/// A restart loses status queries on their way; their callers time out.
class operator_front {
public:
  using metrics_source = std::function<std::string()>;

  operator_front(event_sink &Events, metrics_source Metrics);

  void onGet(std::string_view Target, front_handler::page_handler Done);
  void perform(const set_readiness &Action) { State = Action.State; }
  void perform(const reply_status &Action);
  /// Not ready from now on, whatever the core says.
  void beginShutdown() { ShuttingDown = true; }
  bool ready() const { return !ShuttingDown && State == readiness::Ready; }

private:
  http_answer readyPage() const;
  void onStatus(std::string_view Topic, front_handler::page_handler Done);

  event_sink &Events;
  metrics_source Metrics;
  readiness State = readiness::NoConfig;
  bool ShuttingDown = false;
  status_query_id LastQuery;
  std::map<status_query_id, front_handler::page_handler> Queries;
};

} // namespace jasminecroft
