// Plays the calls of 80 hosts to four plain servers of six slots, each host
// with reports of its own, and checks what callers get by choosePlain: as it
// is, and with two servers drawn for each call, of which the better is taken.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/placement.h"

#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <random>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Zones = 4;
constexpr std::size_t HostsPerZone = 20;
constexpr std::size_t Slots = 6;
/// A full server turns calls away.
constexpr std::size_t QueueLength = 24;
constexpr core_duration Aim = milliseconds(150);
const pool_id Pool("plain");

struct outcome {
  double OnTime = 0;
  std::size_t TurnedAway = 0;
};

class player {
public:
  explicit player(bool TwoDrawn) : TwoDrawn(TwoDrawn) {
    for (backend_directory &Host : Hosts)
      for (std::size_t Zone = 0; Zone < Zones; ++Zone) {
        backend_entry Entry;
        Entry.Id = id(Zone);
        Entry.Pool = Pool;
        Entry.Zone = zone_id("z" + std::to_string(Zone));
        Host.update(Entry);
      }
  }

  // Returns what becomes of the calls of 60 s.
  outcome play(const std::array<double, Zones> &PerSecond) {
    std::exponential_distribution<double> Gap(1);
    std::array<double, Zones> Next{};
    for (core_time End = Now + seconds(60); Now < End; Now += milliseconds(1)) {
      for (std::size_t Zone = 0; Zone < Zones; ++Zone)
        for (Next[Zone] -= PerSecond[Zone] / 1e3; Next[Zone] <= 0;
             Next[Zone] += Gap(Random))
          ask(Zone);
      for (std::size_t I = 0; I < Zones; ++I)
        run(I);
    }
    return {OnTime / Asked, TurnedAway};
  }

private:
  struct call {
    std::size_t Host = 0;
    core_time At;
    core_time EndAt;
  };
  struct server {
    std::vector<call> Running;
    std::deque<call> Waiting;
    /// Other work on its machine.
    double Slowness = 1;
    core_time NextNoise;

    backend_load load() const {
      return {static_cast<std::uint32_t>(Running.size()),
              static_cast<std::uint32_t>(Waiting.size()), Slots,
              static_cast<std::uint32_t>(Slowness * 100)};
    }
  };

  static backend_id id(std::size_t Server) {
    return backend_id(std::to_string(Server));
  }

  // One try more after a server that was full.
  void ask(std::size_t Zone) {
    ++Asked;
    call Call{Zone * HostsPerZone + Random() % HostsPerZone, Now, {}};
    backend_directory &Host = Hosts[Call.Host];
    placement_query Query;
    Query.NearZone = zone_id("z" + std::to_string(Zone));
    Query.LiveHosts = Zones * HostsPerZone;
    for (int Try = 0; Try < 2; ++Try) {
      std::vector<backend_state *> Servers = Host.usable(Pool, Now);
      while (TwoDrawn && Servers.size() > 2)
        Servers.erase(Servers.begin() +
                      static_cast<std::ptrdiff_t>(Random() % Servers.size()));
      backend_id Id = choosePlain(Servers, Query, Now)->Entry.Id;
      server &Server = All[std::stoul(Id.Value)];
      if (Server.Waiting.size() < QueueLength) {
        Host.onCallStarted(Id);
        Server.Waiting.push_back(Call);
        return;
      }
      ++TurnedAway;
      Host.onLoad(Id, Server.load(), Now);
      Query.Avoid.insert(Id);
    }
  }

  void run(std::size_t Number) {
    server &Server = All[Number];
    if (Now >= Server.NextNoise) {
      Server.NextNoise = Now + milliseconds(600);
      Server.Slowness = Noise() % 100 < 15 ? 2.5 : 1;
    }
    for (std::size_t I = 0; I < Server.Running.size();) {
      if (Server.Running[I].EndAt > Now) {
        ++I;
        continue;
      }
      call Call = Server.Running[I];
      Server.Running.erase(Server.Running.begin() +
                           static_cast<std::ptrdiff_t>(I));
      backend_directory &Host = Hosts[Call.Host];
      Host.onCallEnded(id(Number));
      Host.onCallSucceeded(id(Number),
                           static_cast<double>((Now - Call.At).count()));
      Host.onLoad(id(Number), Server.load(), Now);
      OnTime += Now - Call.At <= Aim;
    }
    for (; Server.Running.size() < Slots && !Server.Waiting.empty();
         Server.Waiting.pop_front()) {
      // 30 ms in the mean.
      std::lognormal_distribution<double> Work(std::log(30e3) - 0.125, 0.5);
      Server.Running.push_back(Server.Waiting.front());
      Server.Running.back().EndAt =
          Now + core_duration(
                    static_cast<std::int64_t>(Work(Random) * Server.Slowness));
    }
  }

  bool TwoDrawn;
  std::vector<backend_directory> Hosts{Zones * HostsPerZone};
  std::array<server, Zones> All;
  std::mt19937_64 Random{7};
  std::mt19937_64 Noise{8};
  core_time Now{seconds(1'000)};
  double Asked = 0;
  double OnTime = 0;
  std::size_t TurnedAway = 0;
};

} // namespace

// Answers 2.8 times the usual 80 calls a second, of 800 that the servers make.
TEST_CASE("many hosts before few slots are on time at a crest") {
  for (const std::array<double, Zones> &PerSecond :
       {std::array<double, Zones>{55, 55, 55, 55}, {132, 44, 22, 22}}) {
    outcome Outcome = player(false).play(PerSecond);
    CHECK(Outcome.OnTime >= 0.99);
    CHECK(Outcome.TurnedAway == 0);
  }
}

// Answers 400 to 620 calls a second, evenly and most of them from one zone.
TEST_CASE("many hosts before few slots do no worse than with two drawn") {
  for (double Total : {400, 500, 620})
    for (const std::array<double, Zones> &Parts :
         {std::array<double, Zones>{0.25, 0.25, 0.25, 0.25},
          {0.6, 0.2, 0.1, 0.1}}) {
      std::array<double, Zones> PerSecond = Parts;
      for (double &Rate : PerSecond)
        Rate *= Total;
      double Present = player(false).play(PerSecond).OnTime;
      double Drawn = player(true).play(PerSecond).OnTime;
      CAPTURE(Total);
      CHECK(Present >= Drawn);
    }
}
