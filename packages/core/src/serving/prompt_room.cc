// Booking of long prompts, and estimates of the time that they take.
#include "jasminecroft/core/serving/prompt_room.h"

#include "jasminecroft/core/serving/engine_urgency.h"

#include <algorithm>
#include <set>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An engine's bound is the shortest objective of its pool divided by this:
/// what a short prompt waits for leaves most of its objective.
constexpr int BoundDivisor = 4;
/// A prompt that takes this part of the bound to read is long.
constexpr int LongDivisor = 2;
/// A booking ends after this multiple of its reading time and this time more,
/// if nobody ends it.
constexpr int ExpiryFactor = 3;
constexpr core_duration ExpirySlack = milliseconds(200);
/// A prompt that takes longer than expected is expected to take this part of
/// its reading time more.
constexpr int OverdueDivisor = 2;
constexpr std::size_t MaxBookings = 4'096;
/// The first engine may have this part of a prompt cached, which another one
/// would read again.
constexpr int CachedDivisor = 2;

/// Time for a token while there are too few samples: 10,000 tokens a second.
constexpr double DefaultTokenMicros = 100;
/// Of prompts with fewer tokens, what does not depend on them weighs too much.
constexpr std::uint64_t MinSampleTokens = 1'024;
constexpr std::size_t MaxSamples = 16;
/// A single one may have waited, or come from a slow engine.
constexpr std::size_t MinSamples = 4;
constexpr core_duration SampleLifetime = seconds(60);
/// More is not believed of a prompt.
constexpr std::uint64_t MaxTokens = 100'000'000;
/// The sample that counts is above this part of the others.
constexpr std::size_t QuantileDivisor = 4;

/// Engines keep parts for longer if they have room; this is what they surely
/// keep unless their memory is short.
constexpr core_duration PartLifetime = seconds(30);
constexpr std::size_t MaxPartsPerEngine = 64;
constexpr std::size_t MaxEngines = 1'024;

// Erases the entry whose time is the earliest.
template <typename Map, typename Time>
void eraseOldest(Map &Entries, Time TimeOf) {
  Entries.erase(std::min_element(Entries.begin(), Entries.end(),
                                 [&TimeOf](const auto &A, const auto &B) {
                                   return TimeOf(A.second) < TimeOf(B.second);
                                 }));
}

} // namespace

bool prompt_bound::isLong(core_duration Time) const {
  return Time >= Reading / LongDivisor;
}

prompt_bounds findPromptBounds(const route_config &Config) {
  std::map<pool_id, std::set<core_duration>> Goals;
  for (const serving_route &Route : Config.Routes)
    for (const pool_share &Share : Route.Pools)
      if (Route.Goal > core_duration{0})
        Goals[Share.Pool].insert(Route.Goal);
  prompt_bounds Result;
  for (const std::pair<const pool_id, std::uint32_t> &Pool :
       findRankedPools(Config)) {
    auto Found = Goals.find(Pool.first);
    if (Found != Goals.end())
      Result[Pool.first] = {*Found->second.begin() / BoundDivisor,
                            Found->second.size() > 1};
  }
  return Result;
}

core_time prompt_room::expiry(const booking &Booking) {
  return Booking.Begin + ExpiryFactor * Booking.Reading + ExpirySlack;
}

core_time prompt_room::expectedEnd(const booking &Booking, core_time Now) {
  core_time End = Booking.Begin + Booking.Reading;
  if (End > Now)
    return End;
  return std::min(expiry(Booking), Now + Booking.Reading / OverdueDivisor);
}

void prompt_room::expire(core_time Now) {
  std::erase_if(Bookings, [Now](const auto &Booking) {
    return expiry(Booking.second) <= Now;
  });
}

// Returns the time after which the engine has room: what begins there later
// counts as if it had begun.
core_duration prompt_room::roomIn(const prompt_offer &Offer,
                                  core_duration Bound, core_time Now) const {
  std::vector<std::pair<core_time, core_duration>> Ends;
  core_duration Sum{0};
  for (const std::pair<const prompt_key, booking> &Entry : Bookings)
    if (Entry.second.Server == Offer.Server) {
      Ends.emplace_back(expectedEnd(Entry.second, Now), Entry.second.Reading);
      Sum += Entry.second.Reading;
    }
  std::sort(Ends.begin(), Ends.end());
  core_duration In{0};
  for (const std::pair<core_time, core_duration> &End : Ends) {
    if (Sum + Offer.Reading <= Bound)
      break;
    Sum -= End.second;
    In = End.first - Now;
  }
  return In;
}

prompt_grant prompt_room::book(const prompt_key &Key,
                               const std::vector<prompt_offer> &Offers,
                               core_duration Bound, core_duration HoldAtMost,
                               core_time Now) {
  expire(Now);
  Bookings.erase(Key);
  const prompt_offer *Best = nullptr;
  core_duration In{0};
  core_duration Cost{0};
  for (const prompt_offer &Offer : Offers) {
    core_duration Wait = roomIn(Offer, Bound, Now);
    core_duration Again =
        Best ? Offer.Reading / CachedDivisor : core_duration{0};
    if (!Best || Wait + Again < Cost) {
      Best = &Offer;
      In = Wait;
      Cost = Wait + Again;
    }
  }
  if (In > HoldAtMost)
    In = core_duration{0};
  add(Key, *Best, Now + In);
  return {Best->Server, In};
}

void prompt_room::add(const prompt_key &Key, const prompt_offer &Offer,
                      core_time Now) {
  if (Bookings.size() < MaxBookings)
    Bookings[Key] = {Offer.Server, Offer.Reading, Now};
}

void prompt_room::end(const prompt_key &Key) { Bookings.erase(Key); }

std::map<backend_id, core_duration> prompt_room::readings(core_time Now) {
  expire(Now);
  std::map<backend_id, core_duration> Result;
  for (const std::pair<const prompt_key, booking> &Entry : Bookings)
    Result[Entry.second.Server] += Entry.second.Reading;
  return Result;
}

void reading_speed::observe(const pool_id &Pool, std::uint64_t Tokens,
                            core_duration Time, core_time Now) {
  if (Tokens < MinSampleTokens)
    return;
  std::deque<sample> &Last = Samples[Pool];
  Last.push_back(
      {static_cast<double>(Time.count()) / static_cast<double>(Tokens), Now});
  if (Last.size() > MaxSamples)
    Last.pop_front();
}

core_duration reading_speed::timeFor(const pool_id &Pool, std::uint64_t Tokens,
                                     core_time Now) const {
  std::vector<double> Micros;
  auto Found = Samples.find(Pool);
  if (Found != Samples.end())
    for (const sample &Sample : Found->second)
      if (Now - Sample.At <= SampleLifetime)
        Micros.push_back(Sample.TokenMicros);
  std::sort(Micros.begin(), Micros.end());
  double TokenMicros = Micros.size() < MinSamples
                           ? DefaultTokenMicros
                           : Micros[Micros.size() / QuantileDivisor];
  return core_duration(static_cast<std::int64_t>(
      TokenMicros * static_cast<double>(std::min(Tokens, MaxTokens))));
}

void read_parts::onRead(const backend_entry &Server,
                        const std::vector<prompt_block> &Prompt,
                        core_time Now) {
  if (Prompt.empty())
    return;
  engine &Engine = Engines[Server.Id];
  if (Engine.Run != Server.Run)
    Engine = engine{Server.Run, Now, {}};
  Engine.At = Now;
  for (const prompt_block &Block : Prompt)
    Engine.Parts[Block.Id] = Now;
  std::erase_if(Engine.Parts, [Now](const auto &Part) {
    return Now - Part.second > PartLifetime;
  });
  while (Engine.Parts.size() > MaxPartsPerEngine)
    eraseOldest(Engine.Parts, [](core_time At) { return At; });
  if (Engines.size() > MaxEngines)
    eraseOldest(Engines, [](const engine &Entry) { return Entry.At; });
}

std::uint64_t read_parts::uncached(const backend_entry &Server,
                                   const std::vector<prompt_block> &Prompt,
                                   std::uint64_t Tokens, core_time Now) const {
  auto Found = Engines.find(Server.Id);
  if (Found == Engines.end() || Found->second.Run != Server.Run)
    return Tokens;
  // A part is cached only if all parts before it are.
  for (const prompt_block &Block : Prompt) {
    auto Part = Found->second.Parts.find(Block.Id);
    if (Part == Found->second.Parts.end() || Now - Part->second > PartLifetime)
      break;
    Tokens -= std::min<std::uint64_t>(Tokens, Block.Tokens);
  }
  return Tokens;
}

} // namespace jasminecroft
