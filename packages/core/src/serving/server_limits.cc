// Limits of servers as token buckets, bounded in number.
#include "jasminecroft/core/serving/server_limits.h"

#include "jasminecroft/core/serving/shared_rate.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft {

namespace {

constexpr std::size_t MaxServers = 4'096;
constexpr double MicrosPerRequest = 1e6;
/// Fraction of a limit that is spent: hosts whose lists differ for a while hold
/// more parts than there are.
constexpr double SpendableFraction = 0.7;
/// Requests a second to a server with a lower limit, or one of zero: without
/// any request nobody learns that it has ended.
constexpr double MinPerSecond = 0.25;
/// Limits above it are as good as none.
constexpr double MaxPerSecond = 1e6;
/// Time whose requests may be sent at once.
constexpr double BurstSeconds = 0.25;
constexpr core_duration MaxSuggestion = std::chrono::seconds(3);
/// Below this limit two hosts hold parts: each holder may save up one call,
/// which counts for more the slower the limit is.
constexpr double SlowPerSecond = 2;
constexpr std::size_t SlowHolders = 2;
/// A call of a queue that another host has counted is sent within this time,
/// or not at all.
constexpr core_duration HeldTime = std::chrono::milliseconds(500);
/// Time in which another host is expected to count a call.
constexpr core_duration AskTime = std::chrono::milliseconds(200);

double seconds(core_duration Time) {
  return std::chrono::duration<double>(Time).count();
}

core_duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<core_duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

double server_limits::record::rate() const {
  return Part *
         std::max(MinPerSecond, SpendableFraction * PerSecond.value_or(0));
}

std::string server_limits::key(const backend_id &Server) {
  return "server-limit/" + Server.Value;
}

std::size_t server_limits::holderCount(const backend_id &Server) const {
  auto Known = Records.find(Server);
  bool IsSlow = Known == Records.end() ||
                Known->second.PerSecond.value_or(0) < SlowPerSecond;
  return IsSlow ? SlowHolders : shared_rate::Holders;
}

void server_limits::updatePart(const backend_id &Server, record &Record,
                               core_time Now) const {
  if (!Shares)
    return;
  std::uint64_t Generation = Shares->generation(Now);
  if (Record.PartOf == Generation)
    return;
  Record.PartOf = Generation;
  Record.Part = Shares->fraction(key(Server), Now, holderCount(Server));
  // What another host holds now is not held here as well.
  if (Record.Part <= 0)
    Record.Tokens = 0;
}

// Tokens from before do not count: all hosts learn of the limit at about the
// same time, while earlier calls reach the server.
void server_limits::begin(const backend_id &Server, record &Record,
                          core_time Now) const {
  Record.RefilledAt = Now;
  Record.PartOf.reset();
  updatePart(Server, Record, Now);
  Record.Tokens = Shares && Record.Part > 0
                      ? Shares->firstTokens(key(Server), holderCount(Server))
                      : 0;
}

void server_limits::set(record &Record, std::optional<double> PerSecond) {
  if (PerSecond)
    PerSecond = std::clamp(*PerSecond, 0.0, MaxPerSecond);
  if (Record.PerSecond)
    --Limited;
  if (PerSecond)
    ++Limited;
  Record.PerSecond = PerSecond;
  // The number of holders depends on it.
  Record.PartOf.reset();
}

// Returns the record of a server; null if there are too many limited servers.
server_limits::record *server_limits::makeRecord(const backend_id &Server) {
  auto Known = Records.find(Server);
  if (Known != Records.end())
    return &Known->second;
  if (Records.size() >= MaxServers)
    std::erase_if(Records,
                  [](const std::pair<const backend_id, record> &Entry) {
                    return !Entry.second.PerSecond;
                  });
  if (Records.size() >= MaxServers)
    return nullptr;
  return &Records[Server];
}

limit_change server_limits::onReply(const backend_id &Server, incarnation Run,
                                    const stated_limit &Stated,
                                    core_time SentAt, core_time Now) {
  if (!Stated.PerSecond && !find(Server, Run))
    return limit_change::None;
  record *Known = makeRecord(Server);
  if (!Known)
    return limit_change::None;
  if (Known->Run != Run) {
    set(*Known, std::nullopt);
    *Known = record{};
    Known->Run = Run;
  }
  bool WasLimited = Known->PerSecond.has_value();
  if (WasLimited == Stated.PerSecond.has_value()) {
    if (Known->PerSecond == Stated.PerSecond)
      return limit_change::None;
    set(*Known, Stated.PerSecond);
    Known->ChangedAt = Now;
    return limit_change::Changed;
  }
  if (SentAt < Known->Since)
    return limit_change::None;
  set(*Known, Stated.PerSecond);
  Known->Since = Now;
  Known->ChangedAt = Now;
  begin(Server, *Known, Now);
  return WasLimited ? limit_change::Ended : limit_change::Began;
}

limit_change server_limits::apply(const server_limit_news &News,
                                  core_time Now) {
  record *Known = makeRecord(News.Server);
  if (!Known)
    return limit_change::None;
  core_time ChangedAt = Now - std::max(News.ChangeAge, core_duration{0});
  if (Known->Run == News.Run && ChangedAt <= Known->ChangedAt)
    return limit_change::None;
  bool WasLimited = Known->Run == News.Run && Known->PerSecond;
  if (Known->Run != News.Run) {
    set(*Known, std::nullopt);
    *Known = record{};
    Known->Run = News.Run;
  }
  std::optional<double> PerSecond;
  if (News.MicrosPerSecond)
    PerSecond = static_cast<double>(*News.MicrosPerSecond) / MicrosPerRequest;
  bool Same = Known->PerSecond == PerSecond;
  set(*Known, PerSecond);
  Known->ChangedAt = ChangedAt;
  if (WasLimited == PerSecond.has_value())
    return Same ? limit_change::None : limit_change::Changed;
  Known->Since = Now - std::max(News.Age, core_duration{0});
  begin(News.Server, *Known, Now);
  return WasLimited ? limit_change::Ended : limit_change::Began;
}

std::optional<server_limit_news> server_limits::news(const backend_id &Server,
                                                     core_time Now) const {
  auto Known = Records.find(Server);
  if (Known == Records.end())
    return std::nullopt;
  const record &Record = Known->second;
  server_limit_news News;
  News.Server = Server;
  News.Run = Record.Run;
  if (Record.PerSecond)
    News.MicrosPerSecond = static_cast<std::uint64_t>(
        std::llround(*Record.PerSecond * MicrosPerRequest));
  News.Age = Now - Record.Since;
  News.ChangeAge = Now - Record.ChangedAt;
  return News;
}

std::vector<server_limit_news> server_limits::inForce(core_time Now) const {
  std::vector<server_limit_news> Result;
  if (Limited == 0)
    return Result;
  for (const std::pair<const backend_id, record> &Entry : Records)
    if (Entry.second.PerSecond)
      Result.push_back(*news(Entry.first, Now));
  return Result;
}

std::optional<double> server_limits::find(const backend_id &Server,
                                          incarnation Run) const {
  if (Limited == 0)
    return std::nullopt;
  auto Known = Records.find(Server);
  if (Known == Records.end() || Known->second.Run != Run)
    return std::nullopt;
  return Known->second.PerSecond;
}

server_limits::record *server_limits::refill(const backend_id &Server,
                                             core_time Now) {
  auto Known = Records.find(Server);
  if (Known == Records.end() || !Known->second.PerSecond)
    return nullptr;
  record &Record = Known->second;
  double Burst = std::max(1.0, Record.rate() * BurstSeconds);
  Record.Tokens = std::min(
      Burst, Record.Tokens + Record.rate() * seconds(Now - Record.RefilledAt));
  Record.RefilledAt = Now;
  updatePart(Server, Record, Now);
  return &Record;
}

bool server_limits::holdsPart(const backend_id &Server, core_time Now) {
  record *Known = refill(Server, Now);
  return Known && Known->Part > 0;
}

bool server_limits::tryAcquire(const backend_id &Server, core_time Now) {
  record *Known = refill(Server, Now);
  if (!Known)
    return true;
  if (Known->Tokens < 1)
    return false;
  Known->Tokens -= 1;
  Known->LastAcquiredAt = Now;
  return true;
}

core_duration server_limits::unusedFor(const backend_id &Server,
                                       core_time Now) const {
  auto Known = Records.find(Server);
  if (Known == Records.end() || !Known->second.PerSecond)
    return core_duration{0};
  return Now - std::max(Known->second.LastAcquiredAt, Known->second.Since);
}

core_duration server_limits::timeToNext(const backend_id &Server,
                                        core_time Now) {
  record *Known = refill(Server, Now);
  if (!Known || Known->Tokens >= 1)
    return core_duration{0};
  if (Known->Part <= 0)
    return MaxSuggestion;
  // Rounded up, so that the token is there after this time.
  return fromSeconds((1 - Known->Tokens) / Known->rate()) + core_duration{1};
}

void server_limits::want(const backend_id &Server) { Wanted.insert(Server); }

void server_limits::hold(const backend_id &Server, core_time Now) {
  auto Known = Records.find(Server);
  if (Known != Records.end())
    Known->second.HeldUntil = Now + HeldTime;
}

void server_limits::setNextAsk(const backend_id &Server, core_time Time) {
  auto Known = Records.find(Server);
  if (Known != Records.end())
    Known->second.NextAskAt = Time;
}

bool server_limits::mayAsk(const backend_id &Server, core_time Now) const {
  auto Known = Records.find(Server);
  return Known != Records.end() && Known->second.PerSecond &&
         Now >= Known->second.NextAskAt;
}

void server_limits::acquireForQueue(const backend_id &Server, core_time Now) {
  auto Known = Records.find(Server);
  if (Known != Records.end() && Now < Known->second.HeldUntil)
    Known->second.HeldUntil = Now;
  else
    tryAcquire(Server, Now);
}

core_duration server_limits::timeToNextForQueue(const backend_id &Server,
                                                core_time Now) {
  record *Known = refill(Server, Now);
  if (!Known || Now < Known->HeldUntil)
    return core_duration{0};
  if (Known->Part > 0)
    return timeToNext(Server, Now);
  return std::max(Known->NextAskAt - Now, AskTime);
}

core_duration server_limits::suggestRetry(const backend_id &Server,
                                          core_time Now) {
  record *Known = refill(Server, Now);
  if (!Known || Known->Part <= 0)
    return core_duration{0};
  core_time Next =
      std::max(Now + timeToNext(Server, Now),
               Known->SuggestedAt + fromSeconds(1 / Known->rate()));
  Known->SuggestedAt = std::min(Next, Now + MaxSuggestion);
  return Known->SuggestedAt - Now;
}

} // namespace jasminecroft
