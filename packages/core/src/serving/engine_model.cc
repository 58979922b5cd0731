// Smoothing of times between events, and which engines are slow.
#include "jasminecroft/core/serving/engine_model.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::seconds;

/// Streams after which older ones lose weight.
constexpr std::uint32_t MaxWeight = 12;
/// Streams from which an estimate counts: single ones vary with the neighbours
/// of the machine.
constexpr std::uint32_t MinStreams = 4;
/// An estimate without a stream for this time is dropped.
constexpr core_duration EstimateLifetime = seconds(60);
constexpr core_duration ApplyInterval = seconds(1);
/// Engines known of a pool from which its median counts.
constexpr std::size_t MinEngines = 4;
/// Times relative to the median from which an engine is slow, and below which
/// it is no longer.
constexpr double SlowFactor = 1.5;
constexpr double UsualFactor = 1.25;
constexpr double MaxFactor = 8;

double medianOf(std::vector<double> Values) {
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

engine_model::engine &engine_model::of(const backend_id &Server,
                                       incarnation Run) {
  engine &Engine = Engines[Server];
  if (Engine.Run != Run)
    Engine = engine{Run, {}, {}, false};
  return Engine;
}

void engine_model::add(estimate &Estimate, core_duration Mean,
                       std::uint32_t Streams, core_time Now) {
  if (Now - Estimate.At > EstimateLifetime)
    Estimate.Streams = 0;
  std::uint32_t Sum = Estimate.Streams + Streams;
  Estimate.Micros += (static_cast<double>(Mean.count()) - Estimate.Micros) *
                     Streams / std::max(Sum, 1U);
  Estimate.Streams = std::min(Sum, MaxWeight);
  Estimate.At = Now;
}

void engine_model::observe(const backend_id &Server, incarnation Run,
                           core_duration Mean, bool Reported, core_time Now) {
  add(of(Server, Run).Seen, Mean, 1, Now);
  if (!Reported ||
      (Unreported.size() >= MaxEngineTimes && !Unreported.contains(Server)))
    return;
  engine_time &Time = Unreported[Server];
  if (Time.Run != Run)
    Time = {Server, Run, core_duration{0}, 0};
  ++Time.Streams;
  Time.Mean += (Mean - Time.Mean) / Time.Streams;
}

void engine_model::onSeen(const std::vector<engine_time> &Times,
                          core_time Now) {
  for (const engine_time &Time : Times)
    if (Time.Streams > 0)
      add(of(Time.Server, Time.Run).Seen, Time.Mean,
          std::min(Time.Streams, MaxWeight), Now);
}

void engine_model::onKnown(const std::vector<engine_time> &Times,
                           core_time Now) {
  for (const engine_time &Time : Times)
    of(Time.Server, Time.Run).Told = {static_cast<double>(Time.Mean.count()),
                                      std::min(Time.Streams, MaxWeight), Now};
}

std::vector<engine_time> engine_model::takeSeen() {
  std::vector<engine_time> Result;
  for (const std::pair<const backend_id, engine_time> &Time : Unreported)
    Result.push_back(Time.second);
  Unreported.clear();
  return Result;
}

std::vector<engine_time> engine_model::known(core_time Now) const {
  std::vector<engine_time> Result;
  for (const std::pair<const backend_id, engine> &Engine : Engines) {
    const estimate &Seen = Engine.second.Seen;
    if (Seen.Streams >= MinStreams && Now - Seen.At <= EstimateLifetime)
      Result.push_back({Engine.first, Engine.second.Run,
                        core_duration(static_cast<std::int64_t>(Seen.Micros)),
                        Seen.Streams});
  }
  if (Result.size() <= MaxEngineTimes)
    return Result;
  std::size_t Parts = (Result.size() + MaxEngineTimes - 1) / MaxEngineTimes;
  std::size_t Part =
      static_cast<std::size_t>(Now.time_since_epoch() / seconds(1)) % Parts;
  auto First = Result.begin() +
               static_cast<std::ptrdiff_t>(Part * Result.size() / Parts);
  auto Last = Result.begin() +
              static_cast<std::ptrdiff_t>((Part + 1) * Result.size() / Parts);
  return {First, Last};
}

// Returns the estimate with more streams; null if neither has enough.
const engine_model::estimate *engine_model::best(const engine &Engine,
                                                 core_time Now) {
  const estimate *Best = nullptr;
  if (Engine.Seen.Streams >= MinStreams &&
      Now - Engine.Seen.At <= EstimateLifetime)
    Best = &Engine.Seen;
  if (Engine.Told.Streams >= MinStreams &&
      Now - Engine.Told.At <= EstimateLifetime &&
      (!Best || Engine.Told.Streams > Best->Streams))
    Best = &Engine.Told;
  return Best;
}

std::vector<engine_change> engine_model::apply(backend_directory &Servers,
                                               core_time Now) {
  std::vector<engine_change> Changes;
  if (Now < NextApply)
    return Changes;
  NextApply = Now + ApplyInterval;
  std::erase_if(Engines, [&Servers](const auto &Engine) {
    const backend_state *State = Servers.find(Engine.first);
    return !State || State->Entry.Run != Engine.second.Run;
  });
  std::map<pool_id, std::vector<double>> Times;
  for (const std::pair<const backend_id, engine> &Engine : Engines)
    if (const estimate *Known = best(Engine.second, Now))
      Times[Servers.find(Engine.first)->Entry.Pool].push_back(Known->Micros);
  std::map<pool_id, double> Medians;
  for (const std::pair<const pool_id, std::vector<double>> &Pool : Times)
    if (Pool.second.size() >= MinEngines)
      Medians.emplace(Pool.first, medianOf(Pool.second));
  Slow = 0;
  for (std::pair<const backend_id, engine> &Entry : Engines) {
    engine &Engine = Entry.second;
    backend_state &State = *Servers.find(Entry.first);
    const estimate *Known = best(Engine, Now);
    auto Median = Medians.find(State.Entry.Pool);
    double Factor = Known && Median != Medians.end() && Median->second > 0
                        ? std::min(Known->Micros / Median->second, MaxFactor)
                        : 1;
    bool IsSlow = Factor >= (Engine.Slow ? UsualFactor : SlowFactor);
    if (IsSlow != Engine.Slow)
      Changes.push_back({Entry.first, IsSlow, Factor,
                         Known == &Engine.Told ? "peer" : "streams"});
    Engine.Slow = IsSlow;
    State.Slowness = IsSlow ? Factor : 1;
    Slow += IsSlow ? 1 : 0;
  }
  return Changes;
}

} // namespace jasminecroft
