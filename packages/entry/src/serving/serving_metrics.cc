// Registry, families and their text form.
#include "serving_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <map>

namespace jasminecroft::detail {

namespace {

/// Bounds in seconds, from a plain call's goal to a stream's deadline.
const prometheus::Histogram::BucketBoundaries LatencyBounds = {
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 1.7, 2.7, 5, 10, 20};
const prometheus::Histogram::BucketBoundaries BatchBounds = {1,  2,  4,  8,
                                                             14, 20, 38, 56};
/// Routes beyond this number share one label.
constexpr std::size_t MaxRoutes = 64;

/// Whether the request was served as its caller needs it.
std::string_view serviceOf(const finished_request &Answered) {
  if (Answered.Outcome == "caller_left")
    return "caller_left";
  if (Answered.Outcome == "failed" || Answered.Outcome == "timed_out" ||
      Answered.Outcome == "broken_off" || Answered.Outcome == "server_error")
    return "failed";
  if (Answered.Outcome != "complete")
    return "refused";
  return Answered.FirstByte.value_or(Answered.TotalTime) <= Answered.Goal
             ? "on_time"
             : "late";
}

double inSeconds(core_duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

class serving_metrics::implementation {
public:
  implementation()
      : FirstByte(prometheus::BuildHistogram()
                      .Name("jasminecroft_first_byte_seconds")
                      .Help("Time from a request to its answer's first byte")
                      .Register(Registry)),
        TotalTime(prometheus::BuildHistogram()
                      .Name("jasminecroft_request_seconds")
                      .Help("Time from a request to its answer's end")
                      .Register(Registry)),
        Outcomes(prometheus::BuildCounter()
                     .Name("jasminecroft_requests_total")
                     .Help("Requests by route and outcome")
                     .Register(Registry)),
        ByPriority(prometheus::BuildCounter()
                       .Name("jasminecroft_requests_by_priority_total")
                       .Help("Requests by priority: on time, late, refused")
                       .Register(Registry)),
        Batches(prometheus::BuildHistogram()
                    .Name("jasminecroft_batch_pieces")
                    .Help("Pieces of each call to a batching backend server")
                    .Register(Registry)
                    .Add({}, BatchBounds)),
        Values(prometheus::BuildGauge()
                   .Name("jasminecroft_state")
                   .Help("State and counts since the start, by name")
                   .Register(Registry)) {}

  std::string route(const route_id &Route) {
    if (Routes.size() >= MaxRoutes && !Routes.contains(Route))
      return "other";
    Routes[Route] = true;
    return Route.Value;
  }

  void set(const std::string &Name, double Value) {
    Values.Add({{"name", Name}}).Set(Value);
  }

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Histogram> &FirstByte;
  prometheus::Family<prometheus::Histogram> &TotalTime;
  prometheus::Family<prometheus::Counter> &Outcomes;
  prometheus::Family<prometheus::Counter> &ByPriority;
  prometheus::Histogram &Batches;
  prometheus::Family<prometheus::Gauge> &Values;
  std::map<route_id, bool> Routes;
};

serving_metrics::serving_metrics() : Impl(std::make_unique<implementation>()) {}
serving_metrics::~serving_metrics() = default;

void serving_metrics::observe(const finished_request &Answered) {
  std::string Route = Impl->route(Answered.Route);
  Impl->Outcomes
      .Add({{"route", Route}, {"outcome", std::string(Answered.Outcome)}})
      .Increment();
  Impl->ByPriority
      .Add({{"priority", std::to_string(urgencyRank(Answered.Priority))},
            {"service", std::string(serviceOf(Answered))}})
      .Increment();
  if (Answered.FirstByte)
    Impl->FirstByte.Add({{"route", Route}}, LatencyBounds)
        .Observe(inSeconds(*Answered.FirstByte));
  Impl->TotalTime.Add({{"route", Route}}, LatencyBounds)
      .Observe(inSeconds(Answered.TotalTime));
}

void serving_metrics::observeBatch(std::size_t Pieces) {
  Impl->Batches.Observe(static_cast<double>(Pieces));
}

std::string serving_metrics::render(const serving_counters &Counters,
                                    const serving_gauges &Gauges) {
  Impl->set("requests", static_cast<double>(Counters.Requests));
  Impl->set("complete", static_cast<double>(Counters.Complete));
  Impl->set("refused", static_cast<double>(Counters.Refused));
  Impl->set("failed", static_cast<double>(Counters.Failed));
  Impl->set("broken_off", static_cast<double>(Counters.BrokenOff));
  Impl->set("caller_left", static_cast<double>(Counters.CallerLeft));
  Impl->set("repeats", static_cast<double>(Counters.Repeats));
  Impl->set("refused_by_limit", static_cast<double>(Counters.RefusedByLimit));
  Impl->set("promises_after_calls",
            static_cast<double>(Counters.PromisesAfterCalls));
  Impl->set("refused_by_pause", static_cast<double>(Counters.RefusedByPause));
  Impl->set("odd_pauses", static_cast<double>(Counters.OddPauses));
  Impl->set("limited_servers", static_cast<double>(Counters.LimitedServers));
  Impl->set("cold_servers", static_cast<double>(Counters.ColdServers));
  Impl->set("quarantined", static_cast<double>(Counters.Quarantined));
  Impl->set("quarantined_parts",
            static_cast<double>(Counters.QuarantinedParts));
  Impl->set("emptied_zones", static_cast<double>(Counters.EmptiedZones));
  Impl->set("refused_by_emptied_zones",
            static_cast<double>(Counters.RefusedByEmptiedZones));
  Impl->set("batches", static_cast<double>(Counters.Batches));
  Impl->set("batched_pieces", static_cast<double>(Counters.BatchedPieces));
  for (std::size_t Rank = 0; Rank < UrgencyRanks; ++Rank)
    Impl->set("late_pauses_urgency_" + std::to_string(Rank),
              static_cast<double>(Counters.LatePauses[Rank]));
  Impl->set("raised_urgencies", static_cast<double>(Counters.RaisedUrgencies));
  Impl->set("slow_engines", static_cast<double>(Counters.SlowEngines));
  Impl->set("prompts_asked", static_cast<double>(Counters.PromptsAsked));
  Impl->set("prompts_held", static_cast<double>(Counters.PromptsHeld));
  Impl->set("prompts_unanswered",
            static_cast<double>(Counters.PromptsUnanswered));
  Impl->set("in_progress", static_cast<double>(Counters.InProgress));
  Impl->set("connections", static_cast<double>(Gauges.Connections));
  Impl->set("config_version", static_cast<double>(Gauges.ConfigVersion));
  Impl->set("ready", Gauges.Ready ? 1 : 0);
  Impl->set("backends", static_cast<double>(Gauges.Backends));
  Impl->set("peers", static_cast<double>(Gauges.Peers));
  Impl->set("backend_connections_opened",
            static_cast<double>(Gauges.BackendConnectionsOpened));
  Impl->set("log_lines_dropped", static_cast<double>(Gauges.LogLinesDropped));
  Impl->set("store_calls_failed", static_cast<double>(Gauges.StoreCallsFailed));
  Impl->set("unreadable_objects",
            static_cast<double>(Gauges.UnreadableObjects));
  for (const std::pair<std::string_view, std::chrono::milliseconds> &Silence :
       Gauges.StoreSilences)
    Impl->set("store_silent_ms_" + std::string(Silence.first),
              static_cast<double>(Silence.second.count()));
  for (const std::pair<std::string, std::uint64_t> &Calls : Gauges.StoreCalls)
    Impl->set("store_calls_" + Calls.first, static_cast<double>(Calls.second));
  Impl->set("held_request_bytes", static_cast<double>(Gauges.HeldRequestBytes));
  Impl->set("held_arriving_bytes",
            static_cast<double>(Gauges.HeldArrivingBytes));
  Impl->set("held_unread_bytes", static_cast<double>(Gauges.HeldUnreadBytes));
  Impl->set("slow_readers_ended", static_cast<double>(Gauges.SlowReadersEnded));
  Impl->set("unusable_handles", static_cast<double>(Gauges.UnusableHandles));
  Impl->set("unwritable_heads", static_cast<double>(Gauges.UnwritableHeads));
  return prometheus::TextSerializer().Serialize(Impl->Registry.Collect());
}

} // namespace jasminecroft::detail
