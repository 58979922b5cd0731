// The pages that operators, collectors and the balancer read.
#include "jasminecroft/entry/operator_front.h"

#include "jasminecroft/wire/json_codec.h"

#include <array>
#include <optional>
#include <utility>

namespace jasminecroft {

namespace {

constexpr std::string_view StatusPrefix = "/status/";

struct topic_name {
  std::string_view Name;
  status_topic Topic;
};
constexpr std::array<topic_name, 5> Topics = {{
    {"summary", status_topic::Summary},
    {"members", status_topic::Members},
    {"backends", status_topic::Backends},
    {"config", status_topic::Config},
    {"decisions", status_topic::Decisions},
}};

std::string_view nameOf(readiness State) {
  switch (State) {
  case readiness::Ready:
    return "ready";
  case readiness::NoConfig:
    return "no_config";
  case readiness::NoBackends:
    return "no_backends";
  case readiness::ShuttingDown:
    return "shutting_down";
  }
  return "no_config";
}

http_answer page(unsigned Status, std::string Body,
                 std::string_view ContentType) {
  http_answer Answer;
  Answer.Status = Status;
  Answer.Body = std::move(Body);
  Answer.ContentType = ContentType;
  return Answer;
}

} // namespace

operator_front::operator_front(event_sink &Events, metrics_source Metrics)
    : Events(Events), Metrics(std::move(Metrics)) {}

http_answer operator_front::readyPage() const {
  readiness Shown = ShuttingDown ? readiness::ShuttingDown : State;
  std::string Body = "{\"state\":\"" + std::string(nameOf(Shown)) + "\"}";
  return page(ready() ? 200 : 503, std::move(Body), "application/json");
}

void operator_front::onGet(std::string_view Target,
                           front_handler::page_handler Done) {
  if (!isOperatorPath(Target))
    Done(renderRefusal({front_error::UnknownPath, "target"}));
  else if (Target == "/healthz")
    Done(page(200, "{\"state\":\"alive\"}", "application/json"));
  else if (Target == "/readyz")
    Done(readyPage());
  else if (Target == "/metrics")
    Done(page(200, Metrics(), "text/plain; version=0.0.4"));
  else
    onStatus(Target.substr(StatusPrefix.size()), std::move(Done));
}

void operator_front::onStatus(std::string_view Topic,
                              front_handler::page_handler Done) {
  for (const topic_name &Known : Topics) {
    if (Known.Name != Topic)
      continue;
    LastQuery = LastQuery.next();
    Queries.emplace(LastQuery, std::move(Done));
    Events.post(status_requested{LastQuery, Known.Topic});
    return;
  }
  Done(renderRefusal({front_error::UnknownPath, "target"}));
}

void operator_front::perform(const reply_status &Action) {
  auto Found = Queries.find(Action.Query);
  if (Found == Queries.end())
    return;
  front_handler::page_handler Done = std::move(Found->second);
  Queries.erase(Found);
  Done(page(200, encodeStatus(Action.Document), "application/json"));
}

} // namespace jasminecroft
