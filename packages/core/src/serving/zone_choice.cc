// Answers demand that moves from one zone to another within seconds, before 80
// hosts that know the waits from reports of different ages: they must neither
// all leave at once, nor send work to and fro between zones that are equally
// full.
#include "jasminecroft/core/serving/zone_choice.h"

#include "jasminecroft/core/serving/batch_plan.h"

#include <algorithm>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;

/// Age at which a report counts no more.
constexpr double ReportLifetimeSeconds = 1.5;
/// Added to the wait in queues of other zones. Wait estimates are some tens of
/// milliseconds old, so a smaller difference is not significant.
constexpr core_duration CrossZonePenalty = milliseconds(60);
/// Results that were made elsewhere cross zones again for the next stage.
constexpr int Crossings = 2;
/// Wait in a queue of which nothing is known, relative to the near one: work
/// that would wait as long elsewhere must not leave, and an empty queue is only
/// found by those that do.
constexpr double UnknownPart = 0.5;
/// However many bytes cross, a request leaves before the difference of the
/// waits is more than this part of the time left.
constexpr int MaxLossDivisor = 4;
/// All leave where the difference has grown by a further tenth of the time
/// left, which is the difference at which a zone settles that has too much.
constexpr int RangeDivisor = 10;
constexpr core_duration MinRange = milliseconds(20);
constexpr core_duration MaxRange = milliseconds(200);

struct zone_estimate {
  core_duration Wait{0};
  core_duration AllWait{0};
};

zone_estimate estimate(const std::optional<queue_report> &Report,
                       const zone_estimate &Unknown) {
  if (!Report)
    return Unknown;
  double Weight = reportWeight(Report->Age);
  auto Blend = [&](core_duration Known, core_duration Else) {
    return scaled(Known + Report->OwnWork, Weight) + scaled(Else, 1 - Weight);
  };
  return {Blend(Report->Wait, Unknown.Wait),
          Blend(Report->AllWait, Unknown.AllWait)};
}

/// Difference of the waits within which first a few and then all leave.
core_duration leavingRange(const zone_query &Query) {
  return Query.StartIn > core_duration{0}
             ? std::clamp(Query.StartIn / RangeDivisor, MinRange, MaxRange)
             : MaxRange;
}

/// Difference of the waits from which the first requests leave.
core_duration leastGap(const zone_query &Query) {
  core_duration Gap = CrossZonePenalty + Crossings * transferDelay(Query.Bytes);
  if (Query.StartIn > core_duration{0})
    Gap =
        std::clamp(Gap, CrossZonePenalty,
                   std::max(CrossZonePenalty, Query.StartIn / MaxLossDivisor));
  return Gap;
}

// Returns a number from 0 to 1, of the upper or the lower half of the bits.
double fraction(std::uint64_t Bits) {
  constexpr double Range = 0x1p32;
  return static_cast<double>(Bits & 0xFFFF'FFFF) / Range;
}

} // namespace

std::string_view toText(zone_reason Reason) {
  switch (Reason) {
  case zone_reason::OnlyQueue:
    return "only_queue";
  case zone_reason::Near:
    return "near";
  case zone_reason::Kept:
    return "kept";
  case zone_reason::Left:
    return "left";
  case zone_reason::NoneNear:
    return "none_near";
  }
  return "only_queue";
}

double reportWeight(core_duration Age) {
  double Seconds = std::chrono::duration<double>(Age).count();
  return std::clamp(1 - Seconds / ReportLifetimeSeconds, 0.0, 1.0);
}

zone_decision chooseShortestZone(const zone_query &Query) {
  const zone_option *Best = nullptr;
  core_duration BestTime{0};
  bool HasNear = false;
  for (const zone_option &Option : Query.Zones) {
    core_duration Time{0};
    if (Option.Report)
      Time = scaled(Option.Report->Wait, reportWeight(Option.Report->Age));
    if (Option.Zone == Query.Near)
      HasNear = true;
    else
      Time += transferDelay(Query.Bytes) + CrossZonePenalty;
    if (!Best || Time < BestTime) {
      Best = &Option;
      BestTime = Time;
    }
  }
  if (!HasNear)
    return {Best->Zone, zone_reason::NoneNear};
  return {Best->Zone,
          Best->Zone == Query.Near ? zone_reason::Near : zone_reason::Left};
}

zone_decision chooseZoneTogether(const zone_query &Query) {
  auto Near = std::find_if(
      Query.Zones.begin(), Query.Zones.end(),
      [&](const zone_option &Option) { return Option.Zone == Query.Near; });
  if (Near == Query.Zones.end())
    return chooseShortestZone(Query);
  zone_estimate Here = estimate(Near->Report, {});
  zone_estimate Unknown{scaled(Here.Wait, UnknownPart),
                        scaled(Here.AllWait, UnknownPart)};
  core_duration LeastGap = leastGap(Query);
  // By how much leaving for each zone pays.
  std::vector<core_duration> Gains(Query.Zones.size());
  core_duration Sum{0};
  core_duration Most{0};
  for (std::size_t I = 0; I < Gains.size(); ++I) {
    zone_estimate There = estimate(Query.Zones[I].Report, Unknown);
    // Other classes may wait less there, and the request's own longer.
    if (Query.Zones[I].Zone == Query.Near ||
        There.Wait > Here.Wait + CrossZonePenalty)
      continue;
    Gains[I] =
        std::max(core_duration{0}, Here.AllWait - There.AllWait - LeastGap);
    Sum += Gains[I];
    Most = std::max(Most, Gains[I]);
  }
  if (Sum == core_duration{0})
    return {Query.Near, zone_reason::Near};
  constexpr int HalfBits = 32;
  if (scaled(leavingRange(Query), fraction(Query.Spread)) >= Most)
    return {Query.Near, zone_reason::Kept};
  core_duration Point = scaled(Sum, fraction(Query.Spread >> HalfBits));
  std::size_t Chosen = 0;
  while (Point >= Gains[Chosen])
    Point -= Gains[Chosen++];
  return {Query.Zones[Chosen].Zone, zone_reason::Left};
}

} // namespace jasminecroft
