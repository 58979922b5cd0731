// Tests of the assignment of pieces to calls.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/core/serving/batch_plan.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace jasminecroft;
using std::chrono::milliseconds;

namespace {

batch_rules rules() {
  batch_rules Rules;
  Rules.MaxPieces = 8;
  Rules.CallTime = milliseconds(240);
  Rules.PieceTime = milliseconds(26);
  Rules.ResultCapacityBytes = 9'600'000;
  return Rules;
}

planned_server server(const char *Id, const char *Zone = "z") {
  planned_server Server;
  Server.Id = backend_id(Id);
  Server.Zone = zone_id(Zone);
  Server.FreeBytes = 9'600'000;
  Server.Idle = true;
  return Server;
}

/// Owns the jobs that a plan refers to.
class job_list {
public:
  void add(std::uint32_t Pieces, std::uint64_t Bytes = 1'000,
           const char *Near = "") {
    piece_job &Job = Jobs.emplace_back();
    Job.ResultBytes = Bytes;
    Job.NearZone = zone_id(Near);
    planned_job Planned;
    Planned.Job = &Job;
    for (std::uint32_t Piece = 0; Piece < Pieces; ++Piece) {
      Job.Pieces.push_back(Piece);
      Planned.Pieces.push_back(Piece);
    }
    List.push_back(Planned);
  }
  std::vector<planned_job> List;

private:
  std::deque<piece_job> Jobs;
};

} // namespace

TEST_CASE("small jobs share one call") {
  job_list Jobs;
  for (int I = 0; I < 4; ++I)
    Jobs.add(2);
  std::vector<planned_call> Calls =
      planCalls(rules(), Jobs.List, {server("a")});
  REQUIRE(Calls.size() == 1);
  CHECK(Calls[0].Pieces.size() == 8);
}

TEST_CASE("a job that exceeds the free capacity does not block smaller ones") {
  job_list Jobs;
  Jobs.add(2, 800'000);
  Jobs.add(2, 8'000);
  planned_server Limited = server("a");
  Limited.FreeBytes = 900'000;
  std::vector<planned_call> Calls = planCalls(rules(), Jobs.List, {Limited});
  REQUIRE(Calls.size() == 1);
  std::map<std::size_t, int> Taken;
  for (const std::pair<std::size_t, std::uint32_t> &Piece : Calls[0].Pieces)
    ++Taken[Piece.first];
  CHECK(Taken[0] == 1);
  CHECK(Taken[1] == 2);
}

TEST_CASE("a nearly full call is not filled with part of a job") {
  job_list Jobs;
  Jobs.add(6);
  Jobs.add(4);
  Jobs.add(2);
  std::vector<planned_call> Calls =
      planCalls(rules(), Jobs.List, {server("a")});
  REQUIRE(Calls.size() == 1);
  for (const std::pair<std::size_t, std::uint32_t> &Piece : Calls[0].Pieces)
    CHECK(Piece.first != 1);
  CHECK(Calls[0].Pieces.size() == 8);
}

TEST_CASE("only jobs with large results wait for a server in their zone") {
  job_list Big;
  Big.add(2, 800'000, "far");
  planned_server Near = server("near", "far");
  Near.Idle = false;
  Near.FreeIn = milliseconds(60);
  // Transferring 1.6 MB costs 80 ms: the job waits for the busy server.
  CHECK(planCalls(rules(), Big.List, {server("a"), Near}).empty());
  job_list Small;
  Small.add(2, 8'000, "far");
  CHECK(planCalls(rules(), Small.List, {server("a"), Near}).size() == 1);
}

TEST_CASE("a slow server is not used while a fast one is free soon") {
  job_list Jobs;
  Jobs.add(2);
  planned_server Slow = server("slow");
  Slow.Slowness = 5;
  planned_server Fast = server("quick");
  Fast.Idle = false;
  Fast.FreeIn = milliseconds(200);
  CHECK(planCalls(rules(), Jobs.List, {Slow, Fast}).empty());
  Fast.FreeIn = milliseconds(2'000);
  CHECK(planCalls(rules(), Jobs.List, {Slow, Fast}).size() == 1);
}

TEST_CASE("a job avoids a server that failed to execute it") {
  job_list Jobs;
  Jobs.add(2);
  std::set<backend_id> FailedServers{backend_id("a")};
  Jobs.List[0].FailedServers = &FailedServers;
  std::vector<planned_call> Calls =
      planCalls(rules(), Jobs.List, {server("a"), server("b")});
  REQUIRE(Calls.size() == 1);
  CHECK(Calls[0].Server == 1);
}

TEST_CASE("plans respect call size, capacity and idleness, each piece once") {
  CHECK(rc::check("bounds", [] {
    job_list Jobs;
    std::size_t Count = *rc::gen::inRange<std::size_t>(0, 30);
    for (std::size_t I = 0; I < Count; ++I)
      Jobs.add(*rc::gen::inRange<std::uint32_t>(1, 11),
               *rc::gen::element<std::uint64_t>(6'000, 60'000, 800'000),
               *rc::gen::element("", "x", "y"));
    std::vector<planned_server> Servers;
    std::size_t Many = *rc::gen::inRange<std::size_t>(1, 6);
    for (std::size_t I = 0; I < Many; ++I) {
      planned_server Server =
          server(std::to_string(I).c_str(), *rc::gen::element("x", "y"));
      Server.Idle = *rc::gen::arbitrary<bool>();
      Server.FreeIn = milliseconds(Server.Idle ? 0 : *rc::gen::inRange(0, 500));
      Server.FreeBytes = *rc::gen::inRange<std::uint64_t>(0, 4'000'000);
      Servers.push_back(Server);
    }
    std::set<std::pair<std::size_t, std::uint32_t>> Seen;
    std::set<std::size_t> Used;
    for (const planned_call &Call : planCalls(rules(), Jobs.List, Servers)) {
      RC_ASSERT(Servers[Call.Server].Idle);
      RC_ASSERT(Used.insert(Call.Server).second);
      RC_ASSERT(!Call.Pieces.empty() &&
                Call.Pieces.size() <= rules().MaxPieces);
      std::uint64_t Bytes = 0;
      for (const std::pair<std::size_t, std::uint32_t> &Piece : Call.Pieces) {
        RC_ASSERT(Seen.insert(Piece).second);
        Bytes += Jobs.List[Piece.first].Job->ResultBytes;
      }
      RC_ASSERT(Bytes <= Servers[Call.Server].FreeBytes);
    }
  }));
}
