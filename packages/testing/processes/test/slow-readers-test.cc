// Several hundred callers that read slowly or not at all, at one host with the
// memory of the smallest machine: it stays within that, servers are read in
// time, and other callers are served meanwhile.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <algorithm>
#include <atomic>
#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft::processes;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds CallBound{10};
constexpr std::size_t MemoryBound = 120'000'000;
/// Goal of the plain routes, four times.
constexpr milliseconds InTime{2'000};
/// A server cuts a response that remains unread for longer.
constexpr milliseconds UnreadBound{2'500};
constexpr std::size_t SilentReaders = 250;
constexpr std::size_t SlowReaders = 100;
constexpr int ReceiveBytes = 16'384;
constexpr std::size_t EventBytes = 16'000;
/// Of a stream that nobody reads, and of one that is read slowly.
constexpr int SilentEvents = 600;
constexpr int SlowEvents = 40;

std::string event(int Id) {
  return chunkOf("id: " + std::to_string(Id) +
                 "\ndata: " + std::string(EventBytes, 'x') + "\n\n");
}

/// Streams events without a pause, to each of its callers.
class event_server {
public:
  std::uint16_t port() const { return Server.port(); }
  std::size_t begun() const { return Begun; }
  milliseconds longestWrite() const { return milliseconds(Longest.load()); }

private:
  void serve(const raw_request &Request, const raw_server::writer &Write) {
    ++Begun;
    int Events = Request.Id.starts_with("slow") ? SlowEvents : SilentEvents;
    bool Taken = Write(eventsHead(Request.Id));
    for (int Id = 1; Taken && Id <= Events; ++Id) {
      steady::time_point Begin = steady::now();
      Taken = Write(event(Id));
      std::int64_t Time =
          std::chrono::duration_cast<milliseconds>(steady::now() - Begin)
              .count();
      std::int64_t Before = Longest;
      while (Time > Before && !Longest.compare_exchange_weak(Before, Time)) {
      }
    }
    if (Taken)
      Write("0\r\n\r\n");
  }

  std::atomic<std::int64_t> Longest = 0;
  std::atomic<std::size_t> Begun = 0;
  raw_server Server{
      [this](const raw_request &Request, int, const raw_server::writer &Write) {
        serve(Request, Write);
      }};
};

std::string requestFor(const users_fleet &Fleet, const std::string &Id) {
  http_call Call = Fleet.stream("note", Id);
  const std::string Stages = "X-Pieces: 1,2";
  Call.Headers.replace(Call.Headers.find(Stages), Stages.size(),
                       "X-Pieces: 0,0");
  const std::string Deadline = "X-Deadline-Ms: 3000";
  Call.Headers.replace(Call.Headers.find(Deadline), Deadline.size(),
                       "X-Deadline-Ms: 20000");
  return requestText(Call);
}

/// Reads the streams of some callers by turns; returns how many ended whole.
std::size_t
readSlowly(const std::vector<std::unique_ptr<http_connection>> &Connections) {
  constexpr milliseconds Turn{100};
  const std::string End = "0\r\n\r\n";
  std::vector<std::string> Tails(Connections.size());
  std::vector<bool> Ended(Connections.size());
  std::size_t Open = Connections.size();
  std::size_t Whole = 0;
  steady::time_point Bound = steady::now() + std::chrono::seconds(20);
  while (Open > 0 && steady::now() < Bound) {
    steady::time_point Next = steady::now() + Turn;
    for (std::size_t I = 0; I < Connections.size(); ++I) {
      if (Ended[I])
        continue;
      std::string Bytes = Connections[I]->receive(std::chrono::seconds(1));
      Tails[I] =
          (Tails[I] + Bytes)
              .substr(std::max(End.size(), Tails[I].size() + Bytes.size()) -
                      End.size());
      Whole += Tails[I] == End ? 1 : 0;
      Ended[I] = Bytes.empty() || Tails[I] == End;
      Open -= Ended[I] ? 1 : 0;
    }
    std::this_thread::sleep_until(Next);
  }
  return Whole;
}

/// Plain requests of other callers, one after the other.
void checkServed(users_fleet &Fleet) {
  constexpr std::size_t Requests = 30;
  std::size_t Served = 0;
  milliseconds Longest{0};
  for (std::size_t I = 0; I < Requests; ++I) {
    steady::time_point Begin = steady::now();
    http_reply Reply =
        exchange(Fleet.call("read", "beside" + std::to_string(I)), CallBound);
    Served += Reply.Status == 200 ? 1 : 0;
    Longest = std::max(Longest, std::chrono::duration_cast<milliseconds>(
                                    steady::now() - Begin));
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(Served == Requests);
  CAPTURE(Longest.count());
  CHECK(Longest < InTime);
}

} // namespace

TEST_CASE("hundreds of slow readers of streams take bounded memory, and the "
          "silent ones end before those that read") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  Fleet.changeSettings(0, "\"grace_s\":8", "\"grace_s\":8,\"memory_mb\":120");
  Fleet.Processes[0]->signal(SIGHUP);
  event_server Engine;
  std::string Config = usersConfig();
  for (std::size_t At = 0;
       (At = Config.find("\"timeout_ms\":8000")) != std::string::npos;)
    Config.replace(At, 17, "\"timeout_ms\":20000");
  Config.replace(Config.find("\"version\":1"), 11, "\"version\":2");
  Fleet.on([&] {
    Fleet.Store->put("config", "main", boost::json::parse(Config));
    for (std::size_t I = 0; I < 10; ++I)
      Fleet.listAt("engine", "events-" + std::to_string(I), Engine.port());
    Fleet.Store->remove("servers", "engine-0");
  });
  std::this_thread::sleep_for(milliseconds(1'500));
  std::vector<std::unique_ptr<http_connection>> Silent;
  std::vector<std::unique_ptr<http_connection>> Slow;
  auto Open = [&](std::vector<std::unique_ptr<http_connection>> &Readers,
                  const std::string &Id) {
    Readers.push_back(
        std::make_unique<http_connection>(Fleet.CallerPorts[0], ReceiveBytes));
    REQUIRE(Readers.back()->connected());
    Readers.back()->send(requestFor(Fleet, Id));
  };
  for (std::size_t I = 0; I < SilentReaders; ++I)
    Open(Silent, "silent" + std::to_string(I));
  for (std::size_t I = 0; I < SlowReaders; ++I)
    Open(Slow, "slow" + std::to_string(I));
  std::size_t Whole = 0;
  std::thread Reading([&] { Whole = readSlowly(Slow); });
  checkServed(Fleet);
  Reading.join();
  std::size_t Memory = Fleet.Processes[0]->highestMemory();
  MESSAGE("streams begun: ", Engine.begun(), ", slow ones whole: ", Whole,
          ", memory: ", Memory,
          ", longest write: ", Engine.longestWrite().count(), " ms");
  CHECK(Whole == SlowReaders);
  CHECK(Memory > 0);
  CHECK(Memory < MemoryBound);
  CHECK(Engine.longestWrite() < UnreadBound);
  CHECK(Fleet.logOf(0).find("\"event\":217") != std::string::npos);
}
