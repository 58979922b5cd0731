// Parts of prompts that crash backend servers: reports of crashes to the hosts
// that judge them, rulings of these, and requests with a quarantined part.
#include "serving_state.h"

#include <array>
#include <charconv>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view JudgesKey = "crash-judges";
/// Each judges all reports, so that the loss of one loses none.
constexpr std::size_t Judges = 2;
constexpr std::size_t HostsAskedAtStart = 3;
/// Time in which one host may begin a trial before it is the next one's turn.
constexpr core_duration TrialTurn = seconds(3);

std::string inMs(core_duration Time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Time).count());
}

} // namespace

using namespace detail;

std::string detail::partName(prompt_part_id Part) {
  std::array<char, 16> Text{};
  std::to_chars_result Result =
      std::to_chars(Text.data(), Text.data() + Text.size(), Part.Value, 16);
  return std::string(Text.data(), Result.ptr);
}

// Asks the first hosts that it learns of for the rulings made before its start.
void serving_impl::askAtStart(const batching_host &Host) {
  if (AskedAtStart >= HostsAskedAtStart || Host.Host == Settings.Self.Host)
    return;
  ++AskedAtStart;
  HeartbeatSentTo.insert(Host.Host);
  Actions.sendToPeer(Host, makeHeartbeat(true));
}

// Reports a call that broke before the first event of its reply, as it may have
// crashed its server.
void serving_impl::reportCrash(const active_request &State) {
  const std::vector<prompt_block> &Prefix = State.Request.Prefix;
  if (State.Progress == call_progress::Events || Prefix.size() < 2)
    return;
  crash_report Report;
  Report.Server = State.Server.Id;
  Report.Run = State.Server.Run;
  Report.HeadArrived = State.Progress == call_progress::Head;
  for (std::size_t I = 0;
       I + 1 < std::min(Prefix.size(), MaxPartsPerReport + 1); ++I) {
    prompt_part_id Part(Prefix[I].Id);
    Report.Parts.push_back({Part, ServedParts.contains(Part)});
  }
  for (const batching_host &Judge : Hosts.ranked(JudgesKey, Judges)) {
    if (Judge.Host == Settings.Self.Host)
      Crashes.onReport(Report, Now);
    else
      sendToHost(Judge.Host, Report);
  }
}

void serving_impl::on(const host_run &, const crash_report &Body) {
  Crashes.onReport(Body, Now);
}

void serving_impl::processCrashes() {
  Quarantine.expire(Now);
  std::optional<core_time> Next = Crashes.nextWakeup();
  if (Next && *Next <= Now)
    applyVerdicts(Crashes.takeVerdicts(Quarantine, Now));
}

void serving_impl::applyVerdicts(const crash_attribution::verdicts &Verdicts) {
  std::vector<part_ruling> Rulings;
  for (prompt_part_id Part : Verdicts.Suspected)
    if (std::optional<part_ruling> Ruling = Quarantine.suspect(Part, Now)) {
      Rulings.push_back(*Ruling);
      logRuling(*Ruling, "crashes");
    }
  for (prompt_part_id Part : Verdicts.Guilty) {
    Rulings.push_back(Quarantine.quarantine(Part, Now));
    logRuling(Rulings.back(), "crashes");
  }
  for (prompt_part_id Part : Verdicts.Innocent)
    if (std::optional<part_ruling> Ruling = Quarantine.clear(Part, Now)) {
      Rulings.push_back(*Ruling);
      logRuling(*Ruling, "crashes");
    }
  sendRulings(Rulings);
  for (prompt_part_id Part : Verdicts.Guilty)
    endQuarantined(Part);
}

void serving_impl::sendRulings(const std::vector<part_ruling> &Rulings) {
  if (Rulings.empty())
    return;
  for (const batching_host &Host : Hosts.ring())
    sendToHost(Host.Host, part_rulings{Rulings});
}

void serving_impl::on(const host_run &Sender, const part_rulings &Body) {
  std::vector<part_ruling> Newer;
  for (const part_ruling &Ruling : Body.Rulings) {
    bool WasQuarantined = Quarantine.isQuarantined(Ruling.Part);
    if (!Quarantine.apply(Ruling, Now)) {
      std::optional<part_ruling> Known = Quarantine.find(Ruling.Part, Now);
      if (Known && isNewer(*Known, Ruling))
        Newer.push_back(*Known);
      continue;
    }
    bool Quarantined = Ruling.Standing == part_standing::Quarantined;
    if (Quarantined || WasQuarantined)
      logRuling(Ruling, "peer");
    if (Quarantined) {
      Crashes.onJudgedElsewhere();
      endQuarantined(Ruling.Part);
    } else if (Ruling.Standing == part_standing::Cleared) {
      Crashes.onCleared(Ruling.Part);
    }
  }
  if (!Newer.empty())
    sendToHost(Sender.Host, part_rulings{std::move(Newer)});
}

// A request got the first event of its reply, or all of it.
void serving_impl::onPartsServed(const active_request &State) {
  const std::vector<prompt_block> &Prefix = State.Request.Prefix;
  std::vector<part_ruling> Rulings;
  for (std::size_t I = 0; I + 1 < Prefix.size(); ++I) {
    prompt_part_id Part(Prefix[I].Id);
    ServedParts.add(Part, Now);
    if (std::optional<part_ruling> Ruling = Quarantine.clear(Part, Now)) {
      Crashes.onCleared(Part);
      Rulings.push_back(*Ruling);
      logRuling(*Ruling, "reply");
    }
  }
  sendRulings(Rulings);
}

std::optional<prompt_part_id>
serving_impl::blockingPart(const active_request &State) const {
  for (const prompt_block &Block : State.Request.Prefix)
    if (Quarantine.isQuarantined(prompt_part_id(Block.Id)))
      return prompt_part_id(Block.Id);
  return std::nullopt;
}

// Ends a request with a quarantined part unless it is a trial. All ways to a
// backend server lead through here.
bool serving_impl::refuseQuarantined(active_request &State) {
  if (Quarantine.empty() || State.Trial)
    return false;
  std::optional<prompt_part_id> Part = blockingPart(State);
  if (!Part || tryBeginTrial(State))
    return false;
  State.QuarantinedPart = Part;
  ++Counters.Quarantined;
  failRequest(State, refusal_kind::Quarantined,
              Quarantine.find(*Part, Now)->Remaining);
  return true;
}

// Begins a trial if one is due for each quarantined part and it is this host's
// turn: the hosts take turns in the order of their ranks, so that no two begin
// one at once.
bool serving_impl::tryBeginTrial(active_request &State) {
  std::vector<prompt_part_id> Parts;
  for (const prompt_block &Block : State.Request.Prefix) {
    prompt_part_id Part(Block.Id);
    if (!Quarantine.isQuarantined(Part))
      continue;
    std::optional<core_duration> DueFor = Quarantine.trialDueFor(Part, Now);
    if (!DueFor)
      return false;
    std::size_t Turn = static_cast<std::size_t>(*DueFor / TrialTurn);
    if (Hosts.rankOfSelf(partName(Part)) != Turn % Hosts.liveCount())
      return false;
    Parts.push_back(Part);
  }
  State.Trial = true;
  std::vector<part_ruling> Rulings;
  for (prompt_part_id Part : Parts) {
    Rulings.push_back(Quarantine.beginTrial(Part, Now));
    log(event_number::PartTrial, event_severity::Warning,
        "one request with a quarantined part of a prompt is tried",
        {{"part", partName(Part)},
         {"round", std::to_string(Rulings.back().Round)},
         {"trials", std::to_string(Rulings.back().Trials)},
         {"for_ms", inMs(Rulings.back().Remaining)},
         {"request", State.Request.CallerId.Value}});
  }
  sendRulings(Rulings);
  return true;
}

// Ends the requests with the part that have no event yet.
void serving_impl::endQuarantined(prompt_part_id Part) {
  std::vector<request_id> Ended;
  for (const std::pair<const request_id, active_request> &Entry : Requests) {
    const active_request &State = Entry.second;
    bool Running = State.CurrentCall && State.Progress == call_progress::Events;
    if (Running || State.Trial)
      continue;
    for (const prompt_block &Block : State.Request.Prefix)
      if (prompt_part_id(Block.Id) == Part) {
        Ended.push_back(Entry.first);
        break;
      }
  }
  for (request_id Request : Ended) {
    active_request *State = find(Request);
    if (!State)
      continue;
    refuseQuarantined(*State);
  }
}

void serving_impl::logRuling(const part_ruling &Ruling,
                             std::string_view Source) {
  std::vector<event_field> Fields = {{"part", partName(Ruling.Part)},
                                     {"round", std::to_string(Ruling.Round)},
                                     {"trials", std::to_string(Ruling.Trials)},
                                     {"for_ms", inMs(Ruling.Remaining)},
                                     {"source", std::string(Source)}};
  if (std::size_t Count = Crashes.crashesOf(Ruling.Part))
    Fields.push_back({"crashes", std::to_string(Count)});
  switch (Ruling.Standing) {
  case part_standing::Suspected:
    log(event_number::PartSuspected, event_severity::Info,
        "a part of a prompt may crash backend servers", std::move(Fields));
    return;
  case part_standing::Quarantined:
    log(event_number::PartQuarantined, event_severity::Warning,
        "a part of a prompt crashes backend servers; requests with it are "
        "refused",
        std::move(Fields));
    return;
  case part_standing::Cleared:
    log(event_number::PartCleared, event_severity::Info,
        "requests with this part of a prompt are served", std::move(Fields));
    return;
  }
}

} // namespace jasminecroft
