// Sums and prints what the fuzz reached and found.
#include "jasminecroft/testing/fleet_fuzz.h"

#include <ostream>

namespace jasminecroft::testing {

namespace {

void addTo(request_tally &Sum, const request_tally &Part) {
  Sum.Asked += Part.Asked;
  for (const std::pair<const outcome_kind, std::uint64_t> &Entry : Part.Told)
    Sum.Told[Entry.first] += Entry.second;
  for (const std::pair<const error_code, std::uint64_t> &Entry : Part.Codes)
    Sum.Codes[Entry.first] += Entry.second;
  Sum.Replayed += Part.Replayed;
  Sum.Attempts += Part.Attempts;
  Sum.Resumed += Part.Resumed;
  Sum.Cancelled += Part.Cancelled;
  Sum.Runs += Part.Runs;
  Sum.NonRepeatableRuns += Part.NonRepeatableRuns;
  Sum.StreamsWhole += Part.StreamsWhole;
  Sum.HostLost += Part.HostLost;
}

void addTo(oracle_tally &Sum, const oracle_tally &Part) {
  Sum.ConfigsAccepted += Part.ConfigsAccepted;
  Sum.ConfigReadings += Part.ConfigReadings;
  Sum.LeavingFacts += Part.LeavingFacts;
  Sum.StopsAsked += Part.StopsAsked;
  Sum.StopsDone += Part.StopsDone;
  Sum.Kills += Part.Kills;
  Sum.Freezes += Part.Freezes;
  Sum.ReceivedWhileLeaving += Part.ReceivedWhileLeaving;
}

void addTo(operator_tally &Sum, const operator_tally &Part) {
  Sum.Tried += Part.Tried;
  Sum.Accepted += Part.Accepted;
  Sum.Conflicts += Part.Conflicts;
  Sum.AnswersLost += Part.AnswersLost;
  Sum.GivenUp += Part.GivenUp;
}

void addTo(platform_counts &Sum, const platform_counts &Part) {
  Sum.Calls += Part.Calls;
  Sum.ClaimCalls += Part.ClaimCalls;
  Sum.Refused += Part.Refused;
  Sum.AnswersLost += Part.AnswersLost;
  Sum.AppliedLate += Part.AppliedLate;
  Sum.StaleAnswers += Part.StaleAnswers;
}

void addTo(network_counts &Sum, const network_counts &Part) {
  Sum.Sent += Part.Sent;
  Sum.Dropped += Part.Dropped;
  Sum.Duplicated += Part.Duplicated;
  Sum.Delayed += Part.Delayed;
}

void print(std::ostream &Out, const char *Name, std::uint64_t Count) {
  Out << "  " << Name << " " << Count << "\n";
}

void printRequests(std::ostream &Out, const request_tally &Tally) {
  Out << "requests " << Tally.Asked << ", told:\n";
  for (const std::pair<const outcome_kind, std::uint64_t> &Entry : Tally.Told)
    Out << "  " << jasminecroft::toText(Entry.first) << " " << Entry.second
        << "\n";
  Out << "codes:\n";
  for (const std::pair<const error_code, std::uint64_t> &Entry : Tally.Codes)
    Out << "  " << jasminecroft::toText(Entry.first) << " " << Entry.second
        << "\n";
  Out << "work:\n";
  print(Out, "replayed answers", Tally.Replayed);
  print(Out, "attempts", Tally.Attempts);
  print(Out, "streams resumed", Tally.Resumed);
  print(Out, "attempts cancelled", Tally.Cancelled);
  print(Out, "runs", Tally.Runs);
  print(Out, "non-repeatable runs", Tally.NonRepeatableRuns);
  print(Out, "whole streams", Tally.StreamsWhole);
  print(Out, "requests lost with their host", Tally.HostLost);
}

} // namespace

void fuzz_report::add(const fuzz_report &Other) {
  Cases += Other.Cases;
  Commands += Other.Commands;
  for (std::size_t I = 0; I < CommandKindCount; ++I)
    ByKind[I] += Other.ByKind[I];
  Violations.insert(Violations.end(), Other.Violations.begin(),
                    Other.Violations.end());
  addTo(Requests, Other.Requests);
  addTo(Fleet, Other.Fleet);
  addTo(Operators, Other.Operators);
  addTo(Platform, Other.Platform);
  addTo(Network, Other.Network);
  Counts.Events += Other.Counts.Events;
  Counts.Actions += Other.Counts.Actions;
  Counts.SpinningWakeups += Other.Counts.SpinningWakeups;
}

std::ostream &operator<<(std::ostream &Out, const fuzz_report &Report) {
  Out << "cases " << Report.Cases << ", commands " << Report.Commands
      << ", violations " << Report.Violations.size() << "\n";
  Out << "commands:\n";
  for (std::size_t I = 0; I < CommandKindCount; ++I)
    Out << "  " << toText(static_cast<command_kind>(I)) << " "
        << Report.ByKind[I] << "\n";
  printRequests(Out, Report.Requests);
  Out << "faults and fleet:\n";
  print(Out, "hosts killed", Report.Fleet.Kills);
  print(Out, "hosts frozen", Report.Fleet.Freezes);
  print(Out, "stops asked", Report.Fleet.StopsAsked);
  print(Out, "stops done", Report.Fleet.StopsDone);
  print(Out, "leaving facts learnt", Report.Fleet.LeavingFacts);
  print(Out, "calls received while leaving", Report.Fleet.ReceivedWhileLeaving);
  print(Out, "configurations accepted", Report.Fleet.ConfigsAccepted);
  print(Out, "operators' conflicts", Report.Operators.Conflicts);
  print(Out, "operators' lost answers", Report.Operators.AnswersLost);
  print(Out, "platform calls", Report.Platform.Calls);
  print(Out, "platform calls for claims", Report.Platform.ClaimCalls);
  print(Out, "platform calls refused", Report.Platform.Refused);
  print(Out, "platform answers lost", Report.Platform.AnswersLost);
  print(Out, "platform effects late", Report.Platform.AppliedLate);
  print(Out, "platform answers stale", Report.Platform.StaleAnswers);
  print(Out, "peer messages", Report.Network.Sent);
  print(Out, "peer messages lost", Report.Network.Dropped);
  print(Out, "peer messages doubled", Report.Network.Duplicated);
  print(Out, "peer messages delayed", Report.Network.Delayed);
  print(Out, "events handled", Report.Counts.Events);
  print(Out, "actions", Report.Counts.Actions);
  print(Out, "spinning wake-ups", Report.Counts.SpinningWakeups);
  return Out;
}

} // namespace jasminecroft::testing
