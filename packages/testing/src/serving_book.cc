// Checks of single answers as they come, and of what is still owed.
#include "jasminecroft/testing/serving_book.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace jasminecroft::testing {

namespace {

/// A final answer may come this much after the deadline.
constexpr core_duration AnswerSlack = std::chrono::milliseconds(500);

/// Requests with a crashing part count after this many crashes and this time.
constexpr std::size_t CrashesBeforeBound = 5;
constexpr core_duration TimeAfterCrashes = std::chrono::seconds(3);
/// Bounds of the users' rule on limits: from when they count, at which hosts,
/// and what may arrive in any window.
constexpr core_duration LimitCountsAfter = std::chrono::seconds(3);
constexpr core_duration ToldBefore = std::chrono::milliseconds(500);
constexpr core_duration LimitWindow = std::chrono::seconds(4);
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;
/// Bounds of the users' rule on cold servers.
constexpr core_duration ColdWindow = std::chrono::seconds(1);
constexpr double ColdFactor = 1.5;
constexpr double ColdSlack = 5;
/// Bounds of the users' rule on pauses.
constexpr core_duration PauseCountsAfter = std::chrono::milliseconds(500);
constexpr std::size_t MostInPause = 2;
/// Bound of the users' rule on emptied zones, and the time after which a host
/// that watches the store has heard of one.
constexpr core_duration EmptiedBound = std::chrono::seconds(5);
constexpr core_duration EmptiedBoundAtWatchers = std::chrono::milliseconds(200);
/// Of the shortest objective, the part for which an engine may read long
/// prompts at a time.
constexpr int PromptBoundDivisor = 4;
/// A request that is held arrives this much before it would be late.
constexpr core_duration PromptSlack = std::chrono::milliseconds(100);
/// A call that was sent before its host was told arrives by then.
constexpr core_duration OnTheWay = std::chrono::milliseconds(10);

} // namespace

booked_request *serving_book::find(const caller_request_id &Id) {
  auto Found = Requests.find(Id);
  return Found == Requests.end() ? nullptr : &Found->second;
}

void serving_book::add(promise Promise, core_time Now, std::string What) {
  Violations.push_back({Promise, Now, std::move(What)});
}

std::size_t serving_book::crashingSentLate() const {
  if (PartCrashes.size() < CrashesBeforeBound)
    return 0;
  core_time Bound = PartCrashes[CrashesBeforeBound - 1] + TimeAfterCrashes;
  return static_cast<std::size_t>(
      std::count_if(CrashingSent.begin(), CrashingSent.end(),
                    [Bound](core_time Sent) { return Sent > Bound; }));
}

void serving_book::onLimit(const backend_id &Server,
                           std::optional<double> PerSecond, core_time Now) {
  Limits[Server] = {PerSecond, Now, {}};
}

void serving_book::onLimitTold(const backend_id &Server, std::size_t Host,
                               core_time Now) {
  Limits[Server].ToldAt.emplace(Host, Now);
}

void serving_book::onCold(const backend_id &Server, double PerSecond,
                          bool Fresh, core_time Until, core_time Now) {
  Cold[Server] = {PerSecond, Fresh, Now, Until, {}};
}

void serving_book::onColdTold(const backend_id &Server, std::size_t Host,
                              core_time Now) {
  auto Found = Cold.find(Server);
  if (Found != Cold.end())
    Found->second.ToldAt.emplace(Host, Now);
}

void serving_book::judgeCold(const backend_id &Server, core_time Now) {
  auto Found = Cold.find(Server);
  if (Found == Cold.end() || Now >= Found->second.Until)
    return;
  const cold_server &State = Found->second;
  std::size_t Counted = 0;
  for (const std::pair<core_time, std::size_t> &Arrival : Arrivals[Server]) {
    auto Told = State.ToldAt.find(Arrival.second);
    bool Knew = State.Fresh || (Told != State.ToldAt.end() &&
                                Told->second + OnTheWay <= Arrival.first);
    if (Knew && Arrival.first >= State.Since &&
        Arrival.first > Now - ColdWindow)
      ++Counted;
  }
  if (static_cast<double>(Counted) > ColdFactor * State.PerSecond + ColdSlack)
    add(promise::ColdServersSpared, Now,
        Server.Value + " got " + std::to_string(Counted) +
            " requests in a second while it was cold");
}

void serving_book::onHostLost(std::size_t Host) {
  for (std::pair<const backend_id, cold_server> &Server : Cold)
    Server.second.ToldAt.erase(Host);
  for (std::pair<const backend_id, limited_server> &Limit : Limits)
    Limit.second.ToldAt.erase(Host);
  std::erase_if(LeavingTold,
                [Host](const auto &Told) { return Told.first.second == Host; });
  std::erase_if(
      Pauses, [Host](const auto &Pause) { return Pause.first.second == Host; });
}

void serving_book::onPauseTold(const backend_id &Server, std::size_t Host,
                               core_time Until, core_time Now) {
  Pauses.emplace(std::pair(Server, Host),
                 asked_pause{Now + PauseCountsAfter, Until, 0});
}

void serving_book::onPauseEnded(const backend_id &Server) {
  std::erase_if(Pauses, [&Server](const auto &Pause) {
    return Pause.first.first == Server;
  });
}

void serving_book::onRestart(const backend_id &Server) {
  Limits.erase(Server);
  Cold.erase(Server);
  Arrivals.erase(Server);
  onPauseEnded(Server);
  std::erase_if(LeavingTold, [&Server](const auto &Told) {
    return Told.first.first == Server;
  });
}

void serving_book::onLeavingTold(const backend_id &Server, std::size_t Host,
                                 core_time Now) {
  LeavingTold.emplace(std::pair(Server, Host), Now);
}

void serving_book::onArrival(const backend_id &Server, std::size_t Host,
                             core_time Now) {
  Arrivals[Server].emplace_back(Now, Host);
  judgeLimit(Server, Now);
  judgeCold(Server, Now);
}

void serving_book::onCall(const backend_id &Server, std::size_t Host,
                          core_time Now) {
  auto Told = LeavingTold.find({Server, Host});
  if (Told != LeavingTold.end() && Now > Told->second + OnTheWay)
    onLeavingUsed(Server, Now - Told->second, Now);
  auto Pause = Pauses.find({Server, Host});
  if (Pause != Pauses.end() && Now >= Pause->second.Until)
    Pauses.erase(Pause);
  else if (Pause != Pauses.end() && Now > Pause->second.CountsFrom &&
           ++Pause->second.Calls > MostInPause)
    add(promise::PausesKept, Now,
        Server.Value + " gets a call of a host that it asked for a pause");
  onArrival(Server, Host, Now);
}

void serving_book::judgeLimit(const backend_id &Server, core_time Now) {
  auto Limit = Limits.find(Server);
  if (Limit == Limits.end() || !Limit->second.PerSecond ||
      Now < Limit->second.Since + LimitCountsAfter)
    return;
  std::size_t Counted = 0;
  for (const std::pair<core_time, std::size_t> &Arrival : Arrivals[Server]) {
    auto Told = Limit->second.ToldAt.find(Arrival.second);
    if (Arrival.first > Now - LimitWindow &&
        Told != Limit->second.ToldAt.end() &&
        Told->second + ToldBefore <= Arrival.first)
      ++Counted;
  }
  double Window = std::chrono::duration<double>(LimitWindow).count();
  double Allowed = LimitFactor * Window * *Limit->second.PerSecond + LimitSlack;
  if (static_cast<double>(Counted) > Allowed)
    add(promise::LimitsKept, Now,
        Server.Value + " got " + std::to_string(Counted) +
            " requests in 4 s with a limit of " +
            std::to_string(*Limit->second.PerSecond) + " a second");
}

std::size_t serving_book::arrivalsSince(const backend_id &Server,
                                        core_time From) const {
  auto Found = Arrivals.find(Server);
  if (Found == Arrivals.end())
    return 0;
  return static_cast<std::size_t>(
      std::count_if(Found->second.begin(), Found->second.end(),
                    [From](const std::pair<core_time, std::size_t> &Arrival) {
                      return Arrival.first >= From;
                    }));
}

void serving_book::onAsked(booked_request Request) {
  caller_request_id Id = Request.Id;
  Requests.emplace(Id, std::move(Request));
}

void serving_book::onExcused(const caller_request_id &Id) {
  if (booked_request *Request = find(Id))
    Request->Excused = true;
}

void serving_book::answerOnce(const booked_request &Request, core_time Now) {
  if (Request.answered())
    add(promise::WholeAnswers, Now, Request.Id.Value + " is answered twice");
}

void serving_book::onRefused(const caller_request_id &Id, refusal_kind Kind,
                             core_time Now) {
  booked_request *Request = find(Id);
  if (!Request)
    return;
  answerOnce(*Request, Now);
  Request->Refused = Kind;
  if (guaranteesNotRun(Kind) && !Request->Runs.empty())
    add(promise::TruthfulOutcomes, Now,
        Id.Value + " is said not to have run, but ran");
}

void serving_book::onWhole(const caller_request_id &Id,
                           const backend_reply_head &Head,
                           const std::string &Body, core_time Now) {
  booked_request *Request = find(Id);
  if (!Request)
    return;
  answerOnce(*Request, Now);
  Request->Status = Head.Status;
  Request->FirstByteAt = Now;
  if (promisesNotRun(Head.Status) && !Request->Runs.empty())
    add(promise::TruthfulOutcomes, Now,
        Id.Value + " gets a status that says that it has not run, but ran");
  bool Own = !Request->Runs.empty() &&
             Body == Id.Value + "@" + Request->Runs.back().Value;
  if (!Own)
    add(promise::WholeAnswers, Now, Id.Value + " gets the body " + Body);
}

void serving_book::onHead(const caller_request_id &Id, core_time Now) {
  if (booked_request *Request = find(Id)) {
    answerOnce(*Request, Now);
    Request->FirstByteAt = Now;
  }
}

void serving_book::onEvent(const caller_request_id &Id, std::uint64_t Event,
                           core_time Now) {
  booked_request *Request = find(Id);
  if (!Request)
    return;
  if (Event != Request->LastEvent + 1)
    add(promise::WholeAnswers, Now,
        Id.Value + " gets event " + std::to_string(Event) + " after " +
            std::to_string(Request->LastEvent));
  Request->LastEvent = Event;
}

void serving_book::onEnd(const caller_request_id &Id, core_time Now) {
  booked_request *Request = find(Id);
  if (!Request)
    return;
  answerOnce(*Request, Now);
  Request->Ended = true;
  if (Request->LastEvent != Events)
    add(promise::WholeAnswers, Now,
        Id.Value + " ends after event " + std::to_string(Request->LastEvent));
}

void serving_book::onBrokenOff(const caller_request_id &Id) {
  if (booked_request *Request = find(Id))
    Request->BrokenOff = true;
}

void serving_book::onRun(const caller_request_id &Id, const backend_id &Server,
                         core_time Now) {
  booked_request *Request = find(Id);
  if (!Request) {
    add(promise::TruthfulOutcomes, Now, Id.Value + " runs, but nobody sent it");
    return;
  }
  Request->Runs.push_back(Server);
  const serving_route &Route = Request->Route;
  if (Request->Refused && guaranteesNotRun(*Request->Refused) &&
      !Route.Repeatable)
    add(promise::TruthfulOutcomes, Now,
        Id.Value + " was said not to have run and runs later");
  if (!Route.Repeatable && !Route.Resumable && Request->Runs.size() > 1)
    add(promise::AtMostOnce, Now, Id.Value + " runs again");
  if (Request->Runs.size() > Route.MaxAttempts)
    add(promise::AtMostOnce, Now,
        Id.Value + " runs at more servers than allowed");
}

void serving_book::onRanked(const caller_request_id &Id,
                            std::optional<std::uint32_t> Urgency,
                            core_time Now) {
  const booked_request *Request = find(Id);
  if (!Request)
    return;
  if (!Urgency)
    add(promise::EnginesRanked, Now, Id.Value + " reaches an engine unranked");
  else if (*Urgency > Request->Route.Priority)
    add(promise::EnginesRanked, Now,
        Id.Value + " reaches an engine with urgency " +
            std::to_string(*Urgency) + " instead of " +
            std::to_string(Request->Route.Priority));
}

// Requests that would be late if they were held are sent at once.
void serving_book::onPromptRead(const caller_request_id &Id,
                                const backend_id &Server, core_duration Reading,
                                core_time Now) {
  std::vector<prompt_reading> &Readings = PromptsRead[Server];
  std::erase_if(Readings, [Now](const prompt_reading &Earlier) {
    return Earlier.Until <= Now;
  });
  core_duration Sum = Reading;
  core_time Free = Now;
  for (const prompt_reading &Earlier : Readings) {
    Sum += Earlier.Reading;
    Free = std::max(Free, Earlier.Until);
  }
  bool Alone = Readings.empty();
  Readings.push_back({Reading, Now + Reading});
  const booked_request *Request = find(Id);
  if (!JudgesPrompts || Alone || !Request ||
      Sum <= Request->Route.Goal / PromptBoundDivisor ||
      Free + Reading + PromptSlack > Request->Sent + Request->Route.Goal)
    return;
  add(promise::LongPromptsBounded, Now,
      Server.Value + " reads " + std::to_string(Readings.size()) +
          " long prompts at a time");
}

void serving_book::onInputs(const caller_request_id &Id,
                            std::optional<std::uint32_t> Stage,
                            const std::vector<input> &Inputs, core_time Now) {
  booked_request *Request = find(Id);
  if (!Request)
    return;
  const std::vector<route_stage> &Stages = Request->Route.Stages;
  std::set<std::uint32_t> Needed;
  for (std::uint32_t Other = 0; Other < Stages.size(); ++Other) {
    bool IsLast = std::none_of(
        Stages.begin(), Stages.end(), [Other](const route_stage &Next) {
          return std::count(Next.After.begin(), Next.After.end(), Other) > 0;
        });
    if (Stage ? std::count(Stages[*Stage].After.begin(),
                           Stages[*Stage].After.end(), Other) > 0
              : IsLast)
      Needed.insert(Other);
  }
  std::set<std::tuple<std::uint32_t, std::uint32_t>> Wanted;
  for (std::uint32_t Other : Needed)
    for (std::uint32_t Piece = 0; Piece < Request->Pieces[Other]; ++Piece)
      Wanted.insert({Other, Piece});
  std::set<std::tuple<std::uint32_t, std::uint32_t>> Got;
  bool Foreign = false;
  for (const input &Input : Inputs) {
    Foreign = Foreign || Input.Request != Id;
    Got.insert({Input.Stage, Input.Piece});
  }
  if (!Foreign && Got == Wanted && Inputs.size() == Wanted.size())
    return;
  std::string What =
      Id.Value + (Stage ? " stage " + std::to_string(*Stage) : "") + " needs " +
      std::to_string(Wanted.size()) + " inputs and gets";
  for (const input &Input : Inputs)
    What += " " + Input.Request.Value + "." + std::to_string(Input.Stage) +
            "." + std::to_string(Input.Piece);
  add(promise::ResultsBelong, Now, std::move(What));
}

void serving_book::onLeavingUsed(const backend_id &Server, core_duration After,
                                 core_time Now) {
  add(promise::LeavingIsLeft, Now,
      Server.Value + " gets work " +
          std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(After)
                  .count()) +
          " ms after it was known to leave");
}

void serving_book::onZoneOrder(const zone_order &Order, core_time Now) {
  if (Order.Emptied)
    EmptiedAt.emplace(Order.Zone, Now);
  else
    EmptiedAt.erase(Order.Zone);
}

void serving_book::onZoneUsed(const zone_id &Zone, bool Watches,
                              core_time Now) {
  auto Emptied = EmptiedAt.find(Zone);
  if (Emptied == EmptiedAt.end())
    return;
  core_duration After = Now - Emptied->second;
  if (After <= (Watches ? EmptiedBoundAtWatchers : EmptiedBound))
    return;
  add(promise::EmptiedIsSpared, Now,
      "a server of " + Zone.Value + " is used " +
          std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(After)
                  .count()) +
          " ms after the zone was emptied");
}

void serving_book::judge(core_time Now) {
  for (std::pair<const caller_request_id, booked_request> &Entry : Requests) {
    booked_request &Request = Entry.second;
    if (Request.Excused || Request.answered() ||
        Now < Request.Deadline + AnswerSlack)
      continue;
    add(promise::WholeAnswers, Now,
        Request.Id.Value + " on " + Request.Route.Name.Value +
            " has no final answer after its deadline");
    Request.Excused = true;
  }
}

} // namespace jasminecroft::testing
