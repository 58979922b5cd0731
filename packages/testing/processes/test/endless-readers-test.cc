// Bytes without end for each reader of an entry host: memory stays within that
// of a machine, and other callers are served meanwhile.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/endless_server.h"
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <algorithm>
#include <atomic>
#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft::processes;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds CallBound{10};
/// Memory of the users' smaller machines.
constexpr std::size_t MemoryBound = 160ULL << 20U;
/// Goal of the plain routes, four times.
constexpr milliseconds InTime{2'000};
constexpr std::size_t Callers = 24;
const std::vector<endless_part> Parts = {
    endless_part::Line,    endless_part::Head,   endless_part::SlowHead,
    endless_part::Body,    endless_part::Chunks, endless_part::ChunkLine,
    endless_part::Trailer, endless_part::Event,  endless_part::Interim,
    endless_part::Foreign};

using endless_servers = std::vector<std::unique_ptr<endless_server>>;

/// Plain requests of other callers, one after the other.
void checkServed(users_fleet &Fleet, const std::string &Name) {
  constexpr std::size_t Requests = 20;
  std::size_t Served = 0;
  milliseconds Longest{0};
  for (std::size_t I = 0; I < Requests; ++I) {
    steady::time_point Begin = steady::now();
    http_reply Reply =
        exchange(Fleet.call("read", Name + std::to_string(I)), CallBound);
    Served += Reply.Status == 200 ? 1 : 0;
    Longest = std::max(Longest, std::chrono::duration_cast<milliseconds>(
                                    steady::now() - Begin));
  }
  CHECK(Served == Requests);
  CAPTURE(Longest.count());
  CHECK(Longest < InTime);
}

void checkMemory(const users_fleet &Fleet) {
  std::size_t Memory = Fleet.Processes[0]->highestMemory();
  CAPTURE(Memory);
  CHECK(Memory > 0);
  CHECK(Memory < MemoryBound);
}

/// Runs Act in threads of its own while other callers are served.
void beside(users_fleet &Fleet, const std::string &Name,
            const std::function<void(std::size_t)> &Act) {
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Callers; ++I)
    Threads.emplace_back([&Act, I] { Act(I); });
  checkServed(Fleet, Name);
  for (std::thread &Thread : Threads)
    Thread.join();
  checkMemory(Fleet);
}

/// Two servers of each kind in the stages' pool.
endless_servers addToStages(users_fleet &Fleet, const std::string &Only) {
  endless_servers Servers;
  Fleet.on([&] {
    for (std::size_t I = 0; I < 2 * Parts.size(); ++I) {
      Servers.push_back(std::make_unique<endless_server>(
          Fleet.Context, Parts[I % Parts.size()], Only));
      Fleet.listAt("stage", "endless-" + std::to_string(I),
                   Servers.back()->address());
    }
  });
  std::this_thread::sleep_for(milliseconds(900));
  return Servers;
}

std::size_t requestsTo(users_fleet &Fleet, const endless_servers &Servers) {
  std::size_t Requests = 0;
  Fleet.on([&] {
    for (const std::unique_ptr<endless_server> &Server : Servers)
      Requests += Server->requests();
  });
  return Requests;
}

bool allEnd(users_fleet &Fleet, const endless_servers &Servers) {
  return waitUntil([&] {
    std::size_t Sending = 0;
    Fleet.on([&] {
      for (const std::unique_ptr<endless_server> &Server : Servers)
        Sending += Server->sending();
    });
    return Sending == 0;
  });
}

/// Streams that need pieces, while the stages' servers do not end.
void checkStages(const std::string &Only) {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  endless_servers Servers = addToStages(Fleet, Only);
  for (int Round = 0; Round < 3; ++Round) {
    std::string Name = "s" + std::to_string(Round) + "-";
    beside(Fleet, Name, [&](std::size_t I) {
      http_reply Reply =
          exchange(Fleet.draft(Name + "d" + std::to_string(I)), CallBound);
      CHECK(Reply.Status != 0);
    });
  }
  CHECK(requestsTo(Fleet, Servers) >= Parts.size());
  Fleet.on([&] {
    for (std::size_t I = 0; I < Servers.size(); ++I)
      Fleet.Store->remove("servers", "endless-" + std::to_string(I));
  });
  CHECK(allEnd(Fleet, Servers));
  Fleet.on([&] { Servers.clear(); });
}

} // namespace

TEST_CASE("calls for pieces whose answers do not end") { checkStages(""); }

TEST_CASE("questions for a load whose answers do not end") {
  checkStages("/report");
}

TEST_CASE("a store whose answers do not end") {
  for (endless_part Part : Parts) {
    CAPTURE(static_cast<int>(Part));
    users_fleet Fleet(1, true);
    REQUIRE(Fleet.waitReady());
    std::unique_ptr<endless_server> Server;
    Fleet.on([&] {
      Server = std::make_unique<endless_server>(Fleet.Context, Part);
      Fleet.Proxies[users_fleet::storeProxy(0)]->setTarget(Server->address());
      Fleet.Proxies[users_fleet::storeProxy(0)]->resetAll();
    });
    std::this_thread::sleep_for(milliseconds(1'500));
    checkServed(Fleet, "store");
    std::size_t Met = 0;
    Fleet.on([&] { Met = Server->requests(); });
    CHECK(Met > 0);
    checkMemory(Fleet);
    Fleet.on([&] { Server.reset(); });
  }
}

TEST_CASE("other hosts whose messages do not end") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  // The transport's greeting; then a length of 4 GiB, frames, or noise.
  const std::string Greeting("\0SP\0\0\x50\0\0", 8);
  const std::string Huge("\0\0\0\1\0\0\0\0", 8);
  const std::string Frame =
      std::string("\0\0\0\0\0\1\0\0", 8) + std::string(65'536, 'x');
  const std::vector<std::string> Texts = {Greeting + Huge +
                                              std::string(65'536, 'x'),
                                          Frame, std::string(65'536, 'x')};
  beside(Fleet, "peers", [&](std::size_t I) {
    http_connection Peer(Fleet.PeerPorts[0]);
    REQUIRE(Peer.connected());
    const std::string &Text = Texts[I % Texts.size()];
    if (I % Texts.size() == 1)
      Peer.send(Greeting);
    constexpr std::size_t Sends = 2'000;
    for (std::size_t Sent = 0; Sent < Sends && Peer.send(Text); ++Sent) {
    }
  });
}

TEST_CASE("callers whose requests do not end") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  const std::string Begin = "POST /read/x HTTP/1.1\r\nHost: localhost\r\n";
  const std::vector<std::pair<std::string, std::string>> Texts = {
      {"", std::string(65'536, 'x')},
      {Begin, "X-More: 0123456789\r\n"},
      {Begin + "Transfer-Encoding: chunked\r\n\r\n",
       "10\r\n0123456789abcdef\r\n"},
      {Begin + "Transfer-Encoding: chunked\r\n\r\n10;x=",
       std::string(65'536, 'x')}};
  beside(Fleet, "callers", [&](std::size_t I) {
    http_connection Caller(Fleet.CallerPorts[0]);
    REQUIRE(Caller.connected());
    const std::pair<std::string, std::string> &Text = Texts[I % Texts.size()];
    Caller.send(Text.first);
    steady::time_point End = steady::now() + std::chrono::seconds(4);
    while (steady::now() < End && Caller.send(Text.second)) {
    }
  });
}

TEST_CASE("large bodies of requests in progress take bounded memory") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  constexpr std::size_t LargeBytes = 4'000'000;
  std::atomic<bool> Released = false;
  raw_server Plain(
      [&](const raw_request &Request, int, const raw_server::writer &Write) {
        while (Request.Body.size() == LargeBytes && !Released)
          std::this_thread::sleep_for(milliseconds(20));
        Write(answer(signature(Request.Id),
                     "{\"by\":\"plain-raw\",\"id\":\"" + Request.Id + "\"}"));
      });
  std::string Config = usersConfig();
  const std::string Bound = "\"max_body_bytes\":100000";
  Config.replace(Config.find(Bound), Bound.size(),
                 "\"max_body_bytes\":5000000");
  Config.replace(Config.find("\"version\":1"), 11, "\"version\":2");
  Fleet.on([&] {
    Fleet.Store->put("config", "main", boost::json::parse(Config));
    Fleet.listAt("plain", "plain-raw", Plain.port());
    for (const char *Old : {"plain-0", "plain-1"})
      Fleet.Store->remove("servers", Old);
  });
  std::this_thread::sleep_for(milliseconds(1'500));
  constexpr std::size_t LargeCallers = 40;
  std::atomic<std::size_t> Served = 0;
  std::atomic<std::size_t> Refused = 0;
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < LargeCallers; ++I)
    Threads.emplace_back([&, I] {
      http_call Call = Fleet.call("once", "large" + std::to_string(I));
      Call.Body.assign(LargeBytes, 'x');
      unsigned Status =
          jasminecroft::processes::exchange(Call, CallBound).Status;
      Served += Status == 200 ? 1 : 0;
      Refused += Status == 503 ? 1 : 0;
    });
  std::this_thread::sleep_for(milliseconds(1'500));
  checkServed(Fleet, "small");
  Released = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  checkMemory(Fleet);
  CHECK(Served > 0);
  CHECK(Served + Refused == LargeCallers);
}

TEST_CASE("whole answers and streams that their callers do not read take "
          "bounded memory") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  constexpr std::size_t LargeBytes = 8'000'000;
  const std::string Large(LargeBytes, 'x');
  raw_server Plain(
      [&](const raw_request &Request, int, const raw_server::writer &Write) {
        Write(answer(signature(Request.Id), Large));
      });
  Fleet.on([&] {
    Fleet.listAt("plain", "plain-large", Plain.port());
    for (const char *Old : {"plain-0", "plain-1"})
      Fleet.Store->remove("servers", Old);
  });
  std::this_thread::sleep_for(milliseconds(1'500));
  std::vector<std::unique_ptr<http_connection>> Silent;
  constexpr std::size_t SilentCallers = 40;
  for (std::size_t I = 0; I < SilentCallers; ++I) {
    Silent.push_back(std::make_unique<http_connection>(Fleet.CallerPorts[0]));
    REQUIRE(Silent.back()->connected());
    Silent.back()->send(
        requestText(Fleet.call("read", "silent" + std::to_string(I))));
    std::this_thread::sleep_for(milliseconds(60));
  }
  std::this_thread::sleep_for(milliseconds(1'000));
  checkMemory(Fleet);
  // A caller that reads has its answer.
  http_reply Reply = exchange(Fleet.call("read", "reading"), CallBound);
  CHECK(Reply.Status == 200);
  CHECK(Reply.Body.size() == LargeBytes);
}

TEST_CASE("many streams whose first event does not end take bounded memory") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  // Shorter than the longest event, so that its end may still come.
  const std::string Begin =
      chunkOf("id: 1\ndata: " + std::string(250'000, 'x'));
  std::atomic<std::size_t> Begun = 0;
  std::atomic<bool> Released = false;
  raw_server Engine(
      [&](const raw_request &Request, int, const raw_server::writer &Write) {
        Write(eventsHead(Request.Id) + Begin);
        ++Begun;
        while (!Released)
          std::this_thread::sleep_for(milliseconds(20));
        Write("");
      });
  constexpr std::size_t Engines = 20;
  Fleet.on([&] {
    for (std::size_t I = 0; I < Engines; ++I)
      Fleet.listAt("engine", "endless-" + std::to_string(I), Engine.port());
    Fleet.Store->remove("servers", "engine-0");
  });
  std::this_thread::sleep_for(milliseconds(1'500));
  constexpr std::size_t Streams = 900;
  std::vector<std::unique_ptr<http_connection>> Waiting;
  for (std::size_t I = 0; I < Streams; ++I) {
    http_call Call = Fleet.stream("note", "event" + std::to_string(I));
    const std::string Stages = "X-Pieces: 1,2";
    Call.Headers.replace(Call.Headers.find(Stages), Stages.size(),
                         "X-Pieces: 0,0");
    Waiting.push_back(std::make_unique<http_connection>(Fleet.CallerPorts[0]));
    REQUIRE(Waiting.back()->connected());
    Waiting.back()->send(requestText(Call));
  }
  checkServed(Fleet, "beside");
  CHECK(waitUntil([&] { return Begun >= 2 * Streams / 3; }));
  checkMemory(Fleet);
  Released = true;
}
