// Entries of another writer among those of the backend servers: hosts that run
// and hosts that start go on following the list.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/users_fleet.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft::processes;
using std::chrono::milliseconds;

namespace {

/// The users' bound for servers that leave.
constexpr milliseconds DrainBound{2'000};

std::string nested(std::size_t Depth, const char *Open, const char *Close) {
  std::string Text;
  for (std::size_t I = 0; I < Depth; ++I)
    Text += Open;
  Text += "1";
  for (std::size_t I = 0; I < Depth; ++I)
    Text += Close;
  return Text;
}

std::string entry(const std::string &Address, const std::string &More) {
  return R"({"service":"plain","address":")" + Address +
         R"(","az":"z","version":"v1","slots":6,"state":"ready","seq":1)" +
         More + "}";
}

std::vector<std::string> oddSpecs() {
  const std::string Sound = "127.0.0.1:9";
  return {
      entry(Sound, R"(,"x":)" + nested(100, "[", "]")),
      entry(Sound, R"(,"x":)" + nested(50'000, "[", "]")),
      entry(Sound, R"(,"x":)" + nested(50'000, "{\"x\":", "}")),
      entry(Sound, R"(,"born":1e999999999)"),
      entry(Sound, R"(,"born":99999999999999999999999999)"),
      entry(Sound, R"(,"born":18446744073709551615)"),
      entry(Sound, R"(,"born":-1)"),
      entry(Sound, R"(,"x":1e400)"),
      entry(Sound, R"(,"x":)" + std::string(10'000, '9')),
      entry("127.0.0.1:65536", ""),
      entry("127.0.0.1:99999999999", ""),
      entry("127.0.0.1:0", ""),
      entry("127.0.0.1:-1", ""),
      entry("127.0.0.1", ""),
      entry("", ""),
      entry("nowhere:80", ""),
      entry(Sound, R"(,"x":"\udcff")"),
      entry(Sound, ",\"x\":\"\xff\xfe\""),
      entry(Sound, std::string(",\"x\":\"\x01\x7f\"")),
      entry(Sound, R"(,"state":"sleeping")"),
      entry(Sound, R"(,"service":7)"),
      R"({"service":"plain"})",
      "{}",
      "[]",
      "null",
      "1e999",
      "\"text\"",
  };
}

void addOddEntries(users_fleet &Fleet) {
  std::vector<std::string> Specs = oddSpecs();
  Fleet.on([&] {
    for (std::size_t I = 0; I < Specs.size(); ++I)
      Fleet.Store->putText("servers", "odd-" + std::to_string(I), Specs[I]);
  });
}

bool served(const users_fleet &Fleet, const std::string &Id) {
  return exchange(Fleet.call("once", Id)).Status == 200;
}

/// Adds a server, lets the earlier ones leave, and checks who runs what
/// comes after the bound.
void checkFollowsList(users_fleet &Fleet, const std::string &Round) {
  std::string Added = "late-" + Round;
  const jasminecroft::standins::users_backend &Late =
      Fleet.add("plain", {Added});
  Fleet.on([&] {
    Fleet.list("plain", "plain-0", "draining");
    Fleet.Store->remove("servers", "plain-1");
  });
  std::this_thread::sleep_for(DrainBound);
  std::size_t Served = 0;
  constexpr std::size_t Calls = 8;
  for (std::size_t I = 0; I < Calls; ++I)
    Served += served(Fleet, Round + "-" + std::to_string(I)) ? 1 : 0;
  CHECK(Served == Calls);
  std::size_t RanAtLate = 0;
  Fleet.on([&] { RanAtLate = Late.ran().size(); });
  CHECK(RanAtLate == Calls);
}

} // namespace

// review/1 and a report of other operators: hosts ended or stopped following.
TEST_CASE("odd entries do not keep a running host from the others") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  addOddEntries(Fleet);
  checkFollowsList(Fleet, "running");
  CHECK_FALSE(Fleet.Processes[0]->waitExit(std::chrono::seconds(0)));
}

TEST_CASE("a host starts and follows the list beside odd entries") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  addOddEntries(Fleet);
  Fleet.Processes[0]->signal(SIGKILL);
  REQUIRE(Fleet.Processes[0]->waitExit(std::chrono::seconds(5)));
  Fleet.startHost(0);
  REQUIRE(Fleet.waitReady());
  checkFollowsList(Fleet, "started");
  CHECK_FALSE(Fleet.Processes[0]->waitExit(std::chrono::seconds(0)));
}

TEST_CASE("an odd entry is logged once, with its name and reason") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  Fleet.on([&] {
    Fleet.Store->putText("servers", "odd-born",
                         entry("127.0.0.1:9", R"(,"born":-1)"));
  });
  std::this_thread::sleep_for(DrainBound);
  std::string Log = Fleet.logOf(0);
  std::size_t First = Log.find("\"odd-born\"");
  REQUIRE(First != std::string::npos);
  CHECK(Log.find("\"born\"", First) != std::string::npos);
  CHECK(Log.find("\"problem\":\"wrong type\"") != std::string::npos);
  CHECK(Log.find("cannot be read", Log.find("cannot be read") + 1) ==
        std::string::npos);
}

TEST_CASE("a server whose entry turns unreadable is not used") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  Fleet.on([&] {
    Fleet.Store->putText("servers", "plain-0",
                         entry("127.0.0.1:65536", R"(,"x":"\udcff")"));
  });
  std::this_thread::sleep_for(DrainBound);
  std::size_t Before = 0;
  Fleet.on([&] { Before = Fleet.Backends["plain-0"]->ran().size(); });
  for (int I = 0; I < 8; ++I)
    CHECK(served(Fleet, "turned-" + std::to_string(I)));
  std::size_t After = 0;
  Fleet.on([&] { After = Fleet.Backends["plain-0"]->ran().size(); });
  CHECK(After == Before);
}

TEST_CASE("odd entries of hosts do not end a host or hide the servers") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  const std::vector<std::string> Specs = {
      R"({"zone":"z","peers":"127.0.0.1:65536","capacity":1,"run":1})",
      R"({"zone":"z","peers":"","capacity":1,"run":1})",
      R"({"zone":"z","peers":"127.0.0.1:9","capacity":1e99,"run":1})",
      R"({"zone":"z","peers":"127.0.0.1:9","capacity":-1,"run":1})",
      R"({"zone":"z","peers":"127.0.0.1:9","capacity":18446744073709551615})",
      R"({"zone":"z","peers":"127.0.0.1:9","capacity":1,"run":1,"x":)" +
          nested(50'000, "[", "]") + "}",
      "[]"};
  Fleet.on([&] {
    for (std::size_t I = 0; I < Specs.size(); ++I)
      Fleet.Store->putText("entry-hosts", "odd-" + std::to_string(I), Specs[I]);
  });
  std::this_thread::sleep_for(DrainBound);
  checkFollowsList(Fleet, "hosts");
  CHECK_FALSE(Fleet.Processes[0]->waitExit(std::chrono::seconds(0)));
}

// review/13: bookings ran without their body and workspace.
TEST_CASE("an entry whose name would end a head is not used as a server") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  const std::vector<std::string> Names = {
      "plain-0\r\n", "plain-0\n",         "plain-0\r", "plain-0 ",
      " plain-0",    "plain-0\r\nX-A: b", "plain,0",   std::string(300, 'x')};
  Fleet.on([&] {
    std::string Address =
        "127.0.0.1:" + std::to_string(Fleet.Backends["plain-0"]->port());
    for (const std::string &Name : Names)
      Fleet.Store->putText("servers", Name, entry(Address, ""));
  });
  std::this_thread::sleep_for(DrainBound);
  // Beside each other, so that all servers are used.
  constexpr std::size_t Callers = 8;
  constexpr std::size_t CallsEach = 12;
  constexpr std::size_t Calls = Callers * CallsEach;
  std::atomic<std::size_t> Served = 0;
  std::vector<std::thread> Threads;
  for (std::size_t Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back([&Fleet, &Served, Caller] {
      for (std::size_t I = 0; I < CallsEach; ++I)
        Served += served(Fleet, "named-" + std::to_string(Caller) + "-" +
                                    std::to_string(I))
                      ? 1
                      : 0;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Served == Calls);
  Fleet.on([&] {
    std::size_t Ran = 0;
    for (const char *Id : {"plain-0", "plain-1"}) {
      const jasminecroft::standins::users_backend &Server = *Fleet.Backends[Id];
      Ran += Server.ran().size();
      for (const std::string &Name : Server.workspaces())
        CHECK(Name == "w1");
    }
    CHECK(Ran == Calls);
  });
  std::string Log = Fleet.logOf(0);
  CHECK(Log.find("\"field\":\"name\"") != std::string::npos);
}
