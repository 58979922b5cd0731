// Backend servers whose answers do not end, beside sound ones.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/endless_server.h"
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/users_fleet.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace jasminecroft::processes;
using namespace jasminecroft::standins;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds CallBound{10};
constexpr std::size_t Callers = 24;
/// Memory of the users' smaller machines.
constexpr std::size_t MemoryBound = 160ULL << 20U;
/// Goal of the plain routes.
constexpr milliseconds Goal{500};
/// Deadline of the callers, and the time of the last word after it.
constexpr milliseconds Timeout{3'000};
constexpr milliseconds Slack{500};

struct heard_answers {
  std::size_t Whole = 0;
  milliseconds Longest{0};
};

/// Many callers at once; each expects the whole answer of a sound server.
heard_answers askTogether(users_fleet &Fleet, bool Streams,
                          const std::string &Name) {
  heard_answers Heard;
  std::mutex Guard;
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  for (std::size_t I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      std::string Id = Name + std::to_string(I);
      steady::time_point Begin = steady::now();
      http_reply Reply = exchange(
          Streams ? Fleet.draft(Id) : Fleet.call("read", Id), CallBound);
      bool Whole = Reply.Status == 200 &&
                   Reply.Body.find(Streams ? "id: 3\n" : "\"by\":\"plain-") !=
                       std::string::npos;
      std::lock_guard<std::mutex> Lock(Guard);
      Heard.Whole += Whole ? 1 : 0;
      Heard.Longest = std::max(
          Heard.Longest,
          std::chrono::duration_cast<milliseconds>(steady::now() - Begin));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  return Heard;
}

/// Most servers of the pool are in trouble and many calls meet them at once:
/// each caller has its last word in time, and memory stays bounded.
void checkMany(endless_part Part, bool Streams, const char *Pool = nullptr) {
  std::string Troubled = Pool ? Pool : Streams ? "engine" : "plain";
  constexpr std::size_t ManyServers = 24;
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  std::vector<std::unique_ptr<endless_server>> Servers;
  Fleet.on([&] {
    for (std::size_t I = 0; I < ManyServers; ++I) {
      Servers.push_back(std::make_unique<endless_server>(Fleet.Context, Part));
      Fleet.listAt(Troubled, "endless-" + std::to_string(I),
                   Servers.back()->address());
    }
  });
  std::this_thread::sleep_for(milliseconds(900));
  for (int Round = 0; Round < 3; ++Round) {
    heard_answers Heard =
        askTogether(Fleet, Streams, "m" + std::to_string(Round) + "-");
    CHECK(Heard.Longest < Timeout + Slack);
  }
  std::size_t Met = 0;
  std::string SendingTo;
  bool Ended = waitUntil([&] {
    std::size_t Sending = 0;
    Met = 0;
    SendingTo.clear();
    Fleet.on([&] {
      for (const std::unique_ptr<endless_server> &Server : Servers) {
        Sending += Server->sending();
        Met += Server->requests();
        for (const std::string &Head : Server->sendingTo())
          SendingTo += Head + "\n--\n";
      }
    });
    return Sending == 0;
  });
  // Whose calls they were: the host's own name an endless server.
  CAPTURE(SendingTo);
  CHECK(Ended);
  CHECK(Met >= ManyServers / 2);
  std::size_t Memory = Fleet.Processes[0]->highestMemory();
  CAPTURE(Memory);
  CHECK(Memory > 0);
  CHECK(Memory < MemoryBound);
  Fleet.on([&] { Servers.clear(); });
}

void check(endless_part Part, bool Streams) {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  std::unique_ptr<endless_server> Server;
  Fleet.on([&] {
    Server = std::make_unique<endless_server>(Fleet.Context, Part);
    Fleet.listAt(Streams ? "engine" : "plain", "endless", Server->address());
  });
  std::this_thread::sleep_for(milliseconds(900));
  std::size_t Met = 0;
  for (int Round = 0; Round < 4; ++Round) {
    heard_answers Heard =
        askTogether(Fleet, Streams, "e" + std::to_string(Round) + "-");
    CHECK(Heard.Whole == Callers);
    if (!Streams)
      CHECK(Heard.Longest < 4 * Goal);
    Fleet.on([&] { Met = Server->requests(); });
  }
  CHECK(Met > 0);
  CHECK(waitUntil([&] {
    std::size_t Sending = 0;
    Fleet.on([&] { Sending = Server->sending(); });
    return Sending == 0;
  }));
  std::size_t Memory = Fleet.Processes[0]->highestMemory();
  CAPTURE(Memory);
  CHECK(Memory > 0);
  CHECK(Memory < MemoryBound);
  Fleet.on([&] { Server.reset(); });
}

} // namespace

TEST_CASE("a line without end costs one try") {
  check(endless_part::Line, false);
}
TEST_CASE("a head without end costs one try") {
  check(endless_part::Head, false);
}
TEST_CASE("a head that arrives byte by byte costs one try") {
  check(endless_part::SlowHead, false);
}
TEST_CASE("a body without end costs one try") {
  check(endless_part::Body, false);
}
TEST_CASE("chunks without end cost one try") {
  check(endless_part::Chunks, false);
}
TEST_CASE("interim answers without end cost one try") {
  check(endless_part::Interim, false);
}
TEST_CASE("answers to others without end cost one try") {
  check(endless_part::Foreign, false);
}
TEST_CASE("an event without end costs one try") {
  check(endless_part::Event, true);
}
TEST_CASE("a stream's head without end costs one try") {
  check(endless_part::Head, true);
}

TEST_CASE("many lines without end take bounded time and memory") {
  checkMany(endless_part::Line, false);
}
TEST_CASE("many heads without end take bounded time and memory") {
  checkMany(endless_part::Head, false);
}
TEST_CASE("many slow heads take bounded time and memory") {
  checkMany(endless_part::SlowHead, false);
}
TEST_CASE("many bodies without end take bounded time and memory") {
  checkMany(endless_part::Body, false);
}
TEST_CASE("many endless chunked bodies take bounded time and memory") {
  checkMany(endless_part::Chunks, false);
}
TEST_CASE("many endless interim answers take bounded time and memory") {
  checkMany(endless_part::Interim, false);
}
TEST_CASE("many endless answers to others take bounded time and memory") {
  checkMany(endless_part::Foreign, false);
}
TEST_CASE("many events without end take bounded time and memory") {
  checkMany(endless_part::Event, true);
}
TEST_CASE("many chunk sizes without end take bounded time and memory") {
  checkMany(endless_part::ChunkLine, false);
}
TEST_CASE("many endless trailers take bounded time and memory") {
  checkMany(endless_part::Trailer, false);
}
TEST_CASE("many endless bodies of calls for pieces take bounded time and "
          "memory") {
  checkMany(endless_part::Body, true, "stage");
}
