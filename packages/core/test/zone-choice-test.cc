// Plays the load of 80 hosts at the queues of four zones, and checks what
// callers get from both rules by which hosts choose the zone of a queue.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "batch-owner-fixture.h"

#include "jasminecroft/core/serving/zone_choice.h"

#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <xxhash.h>

using namespace jasminecroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Zones = 4;
constexpr std::size_t HostsPerZone = 20;
/// Of 8 pieces in 400 ms each: 240 a second in a zone.
constexpr int ServersPerZone = 12;
constexpr std::uint32_t PiecesPerJob = 2;
constexpr core_duration TimeToStart = milliseconds(400);
/// By priority: what crosses zones if a job leaves.
constexpr std::uint64_t Bytes[] = {16'000, 250'000, 1'600'000};

using rule = zone_decision (*)(const zone_query &);
/// Jobs a second in each zone.
using rates = std::array<double, Zones>;

constexpr rates Usual = {72, 72, 72, 72};
constexpr rates FirstFull = {210, 60, 60, 60};
constexpr rates SecondFull = {60, 210, 60, 60};

zone_id zoneName(std::size_t Zone) {
  return zone_id("z" + std::to_string(Zone));
}

class player {
public:
  explicit player(rule Rule) : Rule(Rule) {
    for (std::size_t Zone = 0; Zone < Zones; ++Zone)
      Queues.push_back(std::make_unique<batch_owner_fixture>(ServersPerZone));
  }

  // Goes evenly from some rates to others.
  void play(const rates &From, const rates &To, core_duration Time) {
    for (core_time Start = now(); now() < Start + Time;) {
      double Part = std::chrono::duration<double>(now() - Start) /
                    std::chrono::duration<double>(Time);
      for (std::size_t Zone = 0; Zone < Zones; ++Zone)
        for (Due[Zone] += std::lerp(From[Zone], To[Zone], Part) / 200;
             Due[Zone] >= 1; Due[Zone] -= 1)
          ask(Zone);
      run();
    }
  }
  void play(const rates &At, core_duration Time) { play(At, At, Time); }

  void addServers(std::size_t Zone, int Count) {
    for (int I = 0; I < Count; ++I)
      Queues[Zone]->Servers.update(
          batch_owner_fixture::server(ServersPerZone + I));
  }

  // What callers got, once all is done.
  double onTime() {
    play({}, seconds(3));
    std::size_t Count = 0;
    for (const asked_job &Job : Jobs)
      Count +=
          Job.DoneAt && *Job.DoneAt <= Job.At + TimeToStart + milliseconds(420);
    return static_cast<double>(Count) / static_cast<double>(Jobs.size());
  }

  double megabytesMoved() const {
    std::uint64_t Sum = 0;
    for (const asked_job &Job : Jobs)
      Sum += Job.Zone == Job.Queue ? 0 : Bytes[Job.Priority];
    return static_cast<double>(Sum) / 1e6;
  }

  // Part of a zone's jobs that left it, of those asked for between the times.
  double left(std::size_t Zone, double From, double To) const {
    double Asked = 0;
    double Left = 0;
    for (const asked_job &Job : Jobs) {
      double At = std::chrono::duration<double>(Job.At - Begin).count();
      if (Job.Zone != Zone || At < From || At >= To)
        continue;
      ++Asked;
      Left += Job.Queue != Zone;
    }
    return Asked == 0 ? 0 : Left / Asked;
  }

  // How often the part that left began to rise or fall by more than a fifth.
  int turns(std::size_t Zone, double From, double To) const {
    int Turns = 0;
    int Direction = 0;
    double Extreme = left(Zone, From, From + 1);
    for (double At = From + 1; At < To; At += 1) {
      double Change = left(Zone, At, At + 1) - Extreme;
      int Sign = Change > 0 ? 1 : -1;
      if (Sign != Direction && std::abs(Change) > 0.2) {
        Direction = Sign;
        ++Turns;
      }
      if (Sign == Direction || Direction == 0)
        Extreme += Direction == 0 ? 0 : Change;
    }
    return Turns;
  }

private:
  /// What a host knows of each zone, and since when.
  using reports =
      std::array<std::optional<std::pair<core_time, queue_wait>>, Zones>;

  struct asked_job {
    std::size_t Zone = 0;
    std::size_t Queue = 0;
    std::uint32_t Priority = 0;
    core_time At;
    std::optional<core_time> DoneAt;
  };

  core_time now() const { return Queues.front()->Now; }

  void ask(std::size_t Zone) {
    std::uint64_t Id = Jobs.size() + 1;
    std::uint64_t Hash = XXH3_64bits(&Id, sizeof Id);
    reports &Known = Reports[Zone * HostsPerZone + Hash % HostsPerZone];
    asked_job &Asked = Jobs.emplace_back();
    Asked = {Zone, Zone, static_cast<std::uint32_t>(Hash >> 32) % 3, now(), {}};
    zone_query Query;
    Query.Near = zoneName(Zone);
    Query.Bytes = Bytes[Asked.Priority];
    Query.StartIn = TimeToStart;
    Query.Spread = XXH3_64bits_withSeed(&Id, sizeof Id, 1);
    for (std::size_t I = 0; I < Zones; ++I) {
      zone_option &Option = Query.Zones.emplace_back();
      Option.Zone = zoneName(I);
      if (Known[I])
        Option.Report = {now() - Known[I]->first,
                         Known[I]->second.OnTime[Asked.Priority],
                         Known[I]->second.OnTime.back(), milliseconds(8)};
    }
    zone_id Chosen = Rule(Query).Zone;
    while (zoneName(Asked.Queue) != Chosen)
      Asked.Queue = (Asked.Queue + 1) % Zones;
    piece_job Job = batch_owner_fixture::job(Id, PiecesPerJob);
    Job.Priority = Asked.Priority;
    Job.StartBy = TimeToStart;
    Known[Asked.Queue] = {now(), Queues[Asked.Queue]->submit(Job)};
  }

  void run() {
    for (const std::unique_ptr<batch_owner_fixture> &Queue : Queues) {
      Queue->advance(milliseconds(5));
      std::map<batch_id, recorded_batches::call> Running = Queue->Actions.Calls;
      for (const std::pair<const batch_id, recorded_batches::call> &Call :
           Running) {
        core_time Start =
            StartedAt.try_emplace({Queue.get(), Call.first}, Queue->Now)
                .first->second;
        if (Queue->Now - Start >= expectedCallTime(batch_owner_fixture::rules(),
                                                   Call.second.Items.size()))
          Queue->answerAll(Call.first);
      }
      for (const std::pair<const piece_job_id, std::vector<completed_piece>>
               &Job : std::exchange(Queue->Actions.Completed, {}))
        Jobs[Job.first.Value - 1].DoneAt = Queue->Now;
    }
  }

  rule Rule;
  std::vector<std::unique_ptr<batch_owner_fixture>> Queues;
  core_time Begin = batch_owner_fixture().Now;
  rates Due{};
  /// By host.
  std::map<std::size_t, reports> Reports;
  std::map<std::pair<batch_owner_fixture *, batch_id>, core_time> StartedAt;
  std::vector<asked_job> Jobs;
};

// The demand of one zone moves to another within 2 s, and back.
player playMove(rule Rule) {
  player Player(Rule);
  Player.play(Usual, seconds(3));
  Player.play(FirstFull, seconds(8));
  Player.play(FirstFull, SecondFull, seconds(2));
  Player.play(SecondFull, seconds(8));
  Player.play(SecondFull, FirstFull, seconds(2));
  Player.play(FirstFull, seconds(6));
  return Player;
}

} // namespace

// Answers 1.75 times what a zone's servers make, while the others have half to
// do.
TEST_CASE("demand that moves between zones is on time, for fewer bytes") {
  player Before = playMove(chooseShortestZone);
  player Player = playMove(chooseZoneTogether);
  CHECK(Player.onTime() >= Before.onTime() - 0.001);
  CHECK(Player.megabytesMoved() < 0.7 * Before.megabytesMoved());
}

TEST_CASE("work leaves within seconds and returns, without swinging") {
  player Player = playMove(chooseZoneTogether);
  CHECK(Player.left(0, 1, 3) < 0.1);
  CHECK(Player.left(0, 4, 11) > 0.35);
  CHECK(Player.left(0, 14, 21) < 0.15);
  CHECK(Player.left(1, 14, 21) > 0.35);
  CHECK(Player.left(0, 24, 29) > 0.35);
  CHECK(Player.left(1, 24, 29) < 0.15);
  CHECK(Player.turns(0, 2, 29) == 3);
  CHECK(Player.turns(1, 2, 29) == 2);
}

TEST_CASE("work returns within seconds to a zone that gets more servers") {
  player Player(chooseZoneTogether);
  Player.play(FirstFull, seconds(6));
  CHECK(Player.left(0, 2, 6) > 0.35);
  Player.addServers(0, ServersPerZone);
  Player.play(FirstFull, seconds(6));
  CHECK(Player.left(0, 8, 12) < 0.1);
}

// Answers 1.25 times what the servers make, in each zone.
TEST_CASE("little work moves between zones that are equally full") {
  std::vector<double> OnTime;
  std::vector<double> Moved;
  for (rule Rule : {chooseShortestZone, chooseZoneTogether}) {
    player Player(Rule);
    Player.play({150, 150, 150, 150}, seconds(8));
    OnTime.push_back(Player.onTime());
    Moved.push_back(Player.megabytesMoved());
  }
  CHECK(OnTime[1] >= OnTime[0] - 0.005);
  CHECK(Moved[1] < 0.8 * Moved[0]);
}

TEST_CASE("work of few bytes leaves first, a part of it, to several zones") {
  zone_query Query;
  Query.Near = zoneName(0);
  Query.StartIn = seconds(1);
  queue_report Long{core_duration{0}, milliseconds(130), milliseconds(130), {}};
  Query.Zones = {{zoneName(0), Long},
                 {zoneName(1), queue_report{}},
                 {zoneName(2), queue_report{}},
                 {zoneName(3), Long}};
  std::map<zone_id, int> Chosen;
  for (std::uint64_t Id = 0; Id < 1'000; ++Id) {
    Query.Spread = XXH3_64bits(&Id, sizeof Id);
    Query.Bytes = Bytes[0];
    ++Chosen[chooseZoneTogether(Query).Zone];
    Query.Bytes = Bytes[2];
    CHECK(chooseZoneTogether(Query).Reason == zone_reason::Near);
  }
  CHECK(Chosen[zoneName(0)] > 250);
  CHECK(Chosen[zoneName(1)] > 250);
  CHECK(Chosen[zoneName(2)] > 250);
  CHECK(Chosen[zoneName(3)] == 0);
  // What this host has sent there since counts.
  Query.Bytes = 0;
  Query.Zones[1].Report->OwnWork = milliseconds(100);
  Query.Zones[2].Report->OwnWork = milliseconds(100);
  CHECK(chooseZoneTogether(Query).Zone == zoneName(0));
  // Without servers in the zone of the inputs.
  Query.Near = zoneName(7);
  CHECK(chooseZoneTogether(Query).Reason == zone_reason::NoneNear);
}
