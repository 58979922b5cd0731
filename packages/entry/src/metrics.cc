// Latency quantiles and counts, by Boost.Accumulators.
#include "jasminecroft/entry/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <sstream>
#include <string_view>
#include <utility>

namespace jasminecroft {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 5> Probabilities = {0.5, 0.9, 0.95, 0.99, 0.999};
/// The estimator's markers; with fewer observations it has no estimate yet.
constexpr std::size_t MarkerCount = 2 * Probabilities.size() + 3;
constexpr std::string_view OtherPipelines = "other";

using latency_accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count,
                                accumulators::tag::sum, accumulators::tag::max,
                                accumulators::tag::extended_p_square_quantile>>;

latency_accumulator makeAccumulator() {
  return latency_accumulator(accumulators::extended_p_square_probabilities =
                                 Probabilities);
}

double seconds(std::chrono::microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

std::string_view nameOf(call_purpose Purpose) {
  switch (Purpose) {
  case call_purpose::Config:
    return "config";
  case call_purpose::HostList:
    return "host_list";
  case call_purpose::Claim:
    return "claim";
  case call_purpose::Audit:
    return "audit";
  case call_purpose::Cleanup:
    return "cleanup";
  case call_purpose::Probe:
    return "probe";
  }
  return "config";
}

// In the order of platform_result's alternatives.
constexpr std::array<std::string_view, 9> ResultNames = {
    "found",   "absent",    "written",   "conflict", "watch_expired",
    "refused", "no_answer", "malformed", "listed"};
static_assert(ResultNames.size() == std::variant_size_v<platform_result>);

bool namesPipelineInForce(const final_answer &Answer) {
  return Answer.Code != error_code::UnknownPipeline &&
         Answer.Code != error_code::UnknownWorkspace &&
         Answer.Code != error_code::NotReady &&
         Answer.Code != error_code::ShuttingDown;
}

std::string escaped(std::string_view Text) {
  std::string Result;
  for (char Character : Text) {
    if (Character == '"' || Character == '\\')
      Result += '\\';
    Result += Character;
  }
  return Result;
}

void writeQuantiles(std::ostream &Out, std::string_view Name,
                    const std::string &Label,
                    const latency_accumulator &Latency) {
  for (double Probability : Probabilities)
    Out << Name << "_seconds{" << Label << ",quantile=\"" << Probability
        << "\"} "
        << accumulators::quantile(Latency, accumulators::quantile_probability =
                                               Probability)
        << '\n';
}

void writeLatency(std::ostream &Out, std::string_view Name,
                  const std::string &Label,
                  const latency_accumulator &Latency) {
  if (accumulators::count(Latency) >= MarkerCount)
    writeQuantiles(Out, Name, Label, Latency);
  Out << Name << "_seconds_count{" << Label << "} "
      << accumulators::count(Latency) << '\n';
  Out << Name << "_seconds_sum{" << Label << "} " << accumulators::sum(Latency)
      << '\n';
  Out << Name << "_seconds_max{" << Label << "} " << accumulators::max(Latency)
      << '\n';
}

void writeValue(std::ostream &Out, std::string_view Name, std::uint64_t Value) {
  Out << "jasminecroft_" << Name << ' ' << Value << '\n';
}

} // namespace

class metrics::implementation {
public:
  void observe(const answered_request &Answered) {
    ++Outcomes[{Answered.Answer.Outcome, Answered.Answer.Code}];
    if (!namesPipelineInForce(Answered.Answer))
      return;
    if (Answered.Answer.Outcome != outcome_kind::Complete)
      return;
    pipelineLatency(Answered.Pipeline)(seconds(Answered.Latency));
  }

  void observe(call_purpose Purpose, const platform_result &Result,
               std::chrono::microseconds Latency) {
    ++PlatformCalls[{Purpose, Result.index()}];
    // A watch waits on purpose.
    if (Purpose == call_purpose::Config || Purpose == call_purpose::HostList)
      return;
    PlatformLatency.try_emplace(Purpose, makeAccumulator())
        .first->second(seconds(Latency));
  }

  std::string render(const metrics_sources &Sources) const {
    std::ostringstream Out;
    writeRequests(Out);
    writePlatform(Out);
    writeSources(Out, Sources);
    return Out.str();
  }

private:
  latency_accumulator &pipelineLatency(const pipeline_id &Pipeline) {
    bool Known = Latencies.contains(Pipeline);
    bool Room = Latencies.size() < MaxPipelines;
    pipeline_id Name =
        Known || Room ? Pipeline : pipeline_id(std::string(OtherPipelines));
    return Latencies.try_emplace(Name, makeAccumulator()).first->second;
  }

  void writeRequests(std::ostream &Out) const {
    for (const std::pair<const std::pair<outcome_kind, error_code>,
                         std::uint64_t> &Entry : Outcomes)
      Out << "jasminecroft_requests_total{outcome=\""
          << toText(Entry.first.first) << "\",code=\""
          << toText(Entry.first.second) << "\"} " << Entry.second << '\n';
    for (const std::pair<const pipeline_id, latency_accumulator> &Entry :
         Latencies)
      writeLatency(Out, "jasminecroft_request",
                   "pipeline=\"" + escaped(Entry.first.Value) + "\"",
                   Entry.second);
  }

  void writePlatform(std::ostream &Out) const {
    for (const std::pair<const std::pair<call_purpose, std::size_t>,
                         std::uint64_t> &Entry : PlatformCalls)
      Out << "jasminecroft_platform_calls_total{purpose=\""
          << nameOf(Entry.first.first) << "\",result=\""
          << ResultNames[Entry.first.second] << "\"} " << Entry.second << '\n';
    for (const std::pair<const call_purpose, latency_accumulator> &Entry :
         PlatformLatency)
      writeLatency(Out, "jasminecroft_platform_call",
                   "purpose=\"" + std::string(nameOf(Entry.first)) + "\"",
                   Entry.second);
  }

  static void writeSources(std::ostream &Out, const metrics_sources &Sources) {
    writeValue(Out, "front_requests_accepted_total", Sources.Front.Accepted);
    writeValue(Out, "front_requests_refused_total", Sources.Front.Refused);
    writeValue(Out, "front_callers_gone_total", Sources.Front.CallersGone);
    writeValue(Out, "front_slow_readers_total", Sources.Front.SlowReaders);
    writeValue(Out, "front_connections", Sources.Front.Connections);
    writeValue(Out, "backend_attempts_total", Sources.Backends.Attempts);
    writeValue(Out, "backend_cancelled_total", Sources.Backends.Cancelled);
    writeValue(Out, "backend_load_polls_total", Sources.Backends.LoadPolls);
    writeValue(Out, "backend_connections_opened_total",
               Sources.Backends.ConnectionsOpened);
    writeValue(Out, "backend_connections_reused_total",
               Sources.Backends.ConnectionsReused);
    writeValue(Out, "peer_messages_sent_total", Sources.Peers.MessagesSent);
    writeValue(Out, "peer_bytes_sent_total", Sources.Peers.BytesSent);
    writeValue(Out, "peer_messages_received_total",
               Sources.Peers.MessagesReceived);
    writeValue(Out, "peer_bytes_received_total", Sources.Peers.BytesReceived);
    writeValue(Out, "peer_messages_dropped_total", Sources.Peers.Dropped);
    writeValue(Out, "peer_messages_refused_total", Sources.Peers.Refused);
    writeValue(Out, "part_restarts_total", Sources.Restarts);
    writeValue(Out, "ready", Sources.Ready ? 1 : 0);
  }

  std::map<std::pair<outcome_kind, error_code>, std::uint64_t> Outcomes;
  std::map<pipeline_id, latency_accumulator> Latencies;
  std::map<std::pair<call_purpose, std::size_t>, std::uint64_t> PlatformCalls;
  std::map<call_purpose, latency_accumulator> PlatformLatency;
};

metrics::metrics() : Impl(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

void metrics::observe(const answered_request &Answered) {
  Impl->observe(Answered);
}

void metrics::observe(call_purpose Purpose, const platform_result &Result,
                      std::chrono::microseconds Latency) {
  Impl->observe(Purpose, Result, Latency);
}

std::string metrics::render(const metrics_sources &Sources) const {
  return Impl->render(Sources);
}

} // namespace jasminecroft
