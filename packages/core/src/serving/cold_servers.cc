// The times for which servers are cold, and this host's calls to them.
#include "jasminecroft/core/serving/cold_servers.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jasminecroft {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer statements are cut to this.
constexpr core_duration MaxColdTime = seconds(60);
/// Part of the rate that is used: hosts whose lists differ for a while hold
/// more shares than there are.
constexpr double UsedFraction = 0.8;
/// Calls to a warm server in the last second count when it turns cold.
constexpr core_duration CountedTime = seconds(1);
/// Servers end their cold time by their own clocks.
constexpr core_duration EndMargin = milliseconds(200);
/// During the ramp the rate grows by this multiple of the cold one.
constexpr double RampGrowth = 3;

// Spreads the hosts' first calls after the cold time.
double pointOf(const entry_host_id &Host, const backend_id &Server) {
  std::uint64_t Seed = XXH3_64bits(Host.Value.data(), Host.Value.size());
  std::uint64_t Hash =
      XXH3_64bits_withSeed(Server.Value.data(), Server.Value.size(), Seed);
  return std::ldexp(static_cast<double>(Hash), -64);
}

} // namespace

void cold_servers::configure(const std::map<pool_id, serving_pool> &Pools) {
  Rules.clear();
  for (const std::pair<const pool_id, serving_pool> &Pool : Pools)
    if (Pool.second.WarmUp)
      Rules.emplace(Pool.first, *Pool.second.WarmUp);
}

cold_servers::record *cold_servers::find(const backend_entry &Server) {
  auto Found = Records.find(Server.Id);
  bool Same = Found != Records.end() && Found->second.Run == Server.Run;
  return Same ? &Found->second : nullptr;
}

const cold_servers::record *
cold_servers::find(const backend_entry &Server) const {
  auto Found = Records.find(Server.Id);
  bool Same = Found != Records.end() && Found->second.Run == Server.Run;
  return Same ? &Found->second : nullptr;
}

bool cold_servers::setCold(const backend_entry &Server, core_duration Left,
                           bool Started, core_time Now) {
  auto Rule = Rules.find(Server.Pool);
  if (Rule == Rules.end() || Left <= core_duration{0})
    return false;
  Left = std::min(Left, MaxColdTime);
  record *Same = find(Server);
  bool WasCold = Same && Now < Same->ColdUntil;
  if (!WasCold) {
    Records[Server.Id] = record{};
    Same = &Records[Server.Id];
    Same->Pool = Server.Pool;
    Same->Run = Server.Run;
    Same->Cold = share_bucket(0, Started ? Now : Now + CountedTime);
  }
  Same->ColdUntil = std::max(Same->ColdUntil, Now + Left + EndMargin);
  Same->RampEnd = Same->ColdUntil + Rule->second.ColdTime;
  Same->Ramp =
      share_bucket(pointOf(Hosts.self().Host, Server.Id), Same->ColdUntil);
  return !WasCold;
}

bool cold_servers::onEntry(const backend_entry &Entry,
                           const backend_state *Known, core_time Now) {
  bool NewRun = !Known || Known->Entry.Run != Entry.Run;
  if (Known && Entry.Revision <= Known->Entry.Revision)
    return false;
  // A copy repeats what the entry said some time ago.
  if (!NewRun && Known->Entry.Revision.Era < Entry.Revision.Era)
    return false;
  auto Rule = Rules.find(Entry.Pool);
  bool Assumed = NewRun && ListRead && Rule != Rules.end();
  if (!Entry.ColdLeft && !Assumed)
    return false;
  core_duration Left = Entry.ColdLeft ? *Entry.ColdLeft : Rule->second.ColdTime;
  bool Began = setCold(Entry, Left, NewRun, Now);
  noteStated(Entry, Left, Now);
  return Began;
}

bool cold_servers::onStated(const backend_entry &Server, core_duration Left,
                            core_time Now) {
  bool Began = setCold(Server, Left, false, Now);
  noteStated(Server, Left, Now);
  return Began;
}

bool cold_servers::onTold(const backend_entry &Server, core_duration Left,
                          core_time Now) {
  return setCold(Server, Left, false, Now);
}

void cold_servers::noteStated(const backend_entry &Server, core_duration Left,
                              core_time Now) {
  if (record *Record = find(Server))
    Record->StatedUntil =
        std::max(Record->StatedUntil, Now + std::min(Left, MaxColdTime));
}

core_duration cold_servers::timeLeft(const backend_entry &Server,
                                     core_time Now) const {
  const record *Record = find(Server);
  return Record ? std::max(Record->ColdUntil - Now, core_duration{0})
                : core_duration{0};
}

core_duration cold_servers::statedLeft(const backend_entry &Server,
                                       core_time Now) const {
  const record *Record = find(Server);
  return Record ? std::max(Record->StatedUntil - Now, core_duration{0})
                : core_duration{0};
}

std::vector<cold_server_news> cold_servers::all(core_time Now) const {
  std::vector<cold_server_news> Result;
  for (const std::pair<const backend_id, record> &Entry : Records)
    if (Now < Entry.second.StatedUntil)
      Result.push_back(
          {Entry.first, Entry.second.Run, Entry.second.StatedUntil - Now});
  return Result;
}

std::vector<backend_id> cold_servers::takeWarm(core_time Now) {
  std::vector<backend_id> Warm;
  for (std::pair<const backend_id, record> &Entry : Records) {
    record &Record = Entry.second;
    if (Record.ToldWarm || Now < Record.ColdUntil)
      continue;
    Record.ToldWarm = true;
    Warm.push_back(Entry.first);
  }
  std::erase_if(Records, [Now](const std::pair<const backend_id, record> &It) {
    return Now >= It.second.RampEnd;
  });
  return Warm;
}

std::optional<core_time> cold_servers::nextWakeup() const {
  std::optional<core_time> Next;
  for (const std::pair<const backend_id, record> &Entry : Records) {
    core_time End =
        Entry.second.ToldWarm ? Entry.second.RampEnd : Entry.second.ColdUntil;
    if (!Next || End < *Next)
      Next = End;
  }
  return Next;
}

std::size_t cold_servers::count(core_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(),
                    [Now](const std::pair<const backend_id, record> &Entry) {
                      return Now < Entry.second.ColdUntil;
                    }));
}

double cold_servers::coldRate(const backend_id &Server, record &Record,
                              core_time Now) {
  auto Rule = Rules.find(Record.Pool);
  if (Rule == Rules.end())
    return 0;
  std::uint64_t Generation = Rate.generation(Now);
  if (Record.FractionOf != Generation) {
    Record.Fraction = Rate.fraction("cold-server/" + Server.Value, Now);
    Record.FractionOf = Generation;
  }
  return UsedFraction * Rule->second.PerSecond * Record.Fraction;
}

double cold_servers::rampRate(const record &Record, core_time Now) const {
  auto Rule = Rules.find(Record.Pool);
  if (Rule == Rules.end())
    return 0;
  double Passed = std::chrono::duration<double>(Now - Record.ColdUntil).count();
  double Whole = std::chrono::duration<double>(Rule->second.ColdTime).count();
  // The mean since the end of the cold time: a refill may reach back to it.
  return Rule->second.PerSecond * (1 + RampGrowth * Passed / Whole / 2) /
         static_cast<double>(Hosts.rosterCount());
}

std::pair<share_bucket *, double>
cold_servers::fill(const backend_id &Server, record &Record, core_time Now) {
  bool IsCold = Now < Record.ColdUntil;
  share_bucket *Bucket = IsCold ? &Record.Cold : &Record.Ramp;
  double PerSecond =
      IsCold ? coldRate(Server, Record, Now) : rampRate(Record, Now);
  Bucket->fill(PerSecond, Now);
  return {Bucket, PerSecond};
}

// The ramp is for requests: any host may send those. Each queue has one owner,
// which sends one call at a time to a server.
bool cold_servers::binds(const record &Record, const call_subject &Subject,
                         core_time Now) const {
  bool Ramps = Subject.Purpose == admission_purpose::Request;
  return Now < (Ramps ? Record.RampEnd : Record.ColdUntil) &&
         Rules.contains(Record.Pool);
}

admission_answer cold_servers::check(const backend_state &Server,
                                     const call_subject &Subject,
                                     core_time Now) {
  record *Record = find(Server.Entry);
  if (!Record || !binds(*Record, Subject, Now))
    return {};
  std::pair<share_bucket *, double> Filled =
      fill(Server.Entry.Id, *Record, Now);
  std::optional<core_duration> Wait =
      Filled.first->timeToNext(Filled.second, Now);
  if (Wait == core_duration{0})
    return {};
  core_time End = Now < Record->ColdUntil ? Record->ColdUntil : Record->RampEnd;
  return {admission_obstacle::Cold, Wait ? std::min(Now + *Wait, End) : End};
}

void cold_servers::onAdmitted(const backend_state &Server,
                              const call_subject &Subject, core_time Now) {
  record *Record = find(Server.Entry);
  if (!Record || !binds(*Record, Subject, Now))
    return;
  fill(Server.Entry.Id, *Record, Now).first->take();
}

} // namespace jasminecroft
