// Callers' connections that rest between requests, and requests that arrive
// while the host is about to close them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/json/parse.hpp>

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace jasminecroft::processes;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds Bound{5};
constexpr milliseconds IdleLimit{2'000};

void setIdleLimit(users_fleet &Fleet, unsigned Version, milliseconds Limit) {
  Fleet.on([&] {
    json::value Config = json::parse(usersConfig());
    Config.as_object()["version"] = Version;
    Config.at("limits").as_object()["idle_timeout_ms"] = Limit.count();
    Fleet.Store->put("config", "main", Config);
  });
  std::string Applied = "\"version\":\"" + std::to_string(Version) + "\"";
  REQUIRE(waitUntil(
      [&] { return Fleet.logOf(0).find(Applied) != std::string::npos; }));
}

/// Serves one request, so that the connection is one that was in use before.
void use(users_fleet &Fleet, const http_connection &Connection,
         const std::string &Id) {
  REQUIRE(Connection.send(requestText(Fleet.call("once", Id))));
  REQUIRE(Connection.readReply(Bound).Status == 200);
}

void pause(milliseconds Time) { std::this_thread::sleep_for(Time); }

} // namespace

TEST_CASE("a request that arrives while its host is stalled past the idle "
          "limit is not lost") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  setIdleLimit(Fleet, 4, IdleLimit);
  http_connection Kept(Fleet.CallerPorts[0]);
  use(Fleet, Kept, "first");
  pause(IdleLimit / 2);
  Fleet.Processes[0]->signal(SIGSTOP);
  REQUIRE(Kept.send(requestText(Fleet.call("once", "second"))));
  pause(IdleLimit);
  Fleet.Processes[0]->signal(SIGCONT);
  CHECK(Kept.readReply(Bound).Status == 200);
  CHECK(Fleet.ranTimes("second") == 1);
}

TEST_CASE("a request that arrives while a stopping host is stalled is not "
          "lost") {
  milliseconds StalledAfter{2'300};
  milliseconds Stall{700};
  // Idle connections are closed 2.6 s after the signal, and the process ends
  // from 2.9 s on.
  SUBCASE("when idle connections are closed") {}
  SUBCASE("until the end is due") { Stall = milliseconds(1'500); }
  SUBCASE("for most of the stop") {
    StalledAfter = milliseconds(1'000);
    Stall = milliseconds(2'500);
  }
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  http_connection Kept(Fleet.CallerPorts[0]);
  use(Fleet, Kept, "first");
  Fleet.Processes[0]->signal(SIGTERM);
  pause(StalledAfter);
  Fleet.Processes[0]->signal(SIGSTOP);
  REQUIRE(Kept.send(requestText(Fleet.call("once", "second"))));
  pause(Stall);
  Fleet.Processes[0]->signal(SIGCONT);
  CHECK(Kept.readReply(Bound).Status == 200);
  CHECK(Fleet.ranTimes("second") == 1);
  CHECK(Fleet.Processes[0]->waitExit(seconds(8)) == 0);
}

TEST_CASE("an idle connection lasts as long as a newer configuration allows") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  setIdleLimit(Fleet, 4, IdleLimit);
  http_connection Kept(Fleet.CallerPorts[0]);
  use(Fleet, Kept, "first");
  setIdleLimit(Fleet, 5, 3 * IdleLimit);
  pause(2 * IdleLimit);
  use(Fleet, Kept, "second");
}

TEST_CASE("an idle connection that rested under a longer limit is not closed "
          "early by a shorter one") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  setIdleLimit(Fleet, 4, 3 * IdleLimit);
  http_connection Kept(Fleet.CallerPorts[0]);
  use(Fleet, Kept, "first");
  setIdleLimit(Fleet, 5, IdleLimit);
  pause(2 * IdleLimit);
  use(Fleet, Kept, "second");
}

namespace {

constexpr int LittleRoom = 4'096;
constexpr std::size_t LargeBodyBytes = 30'000;

/// The only server of the plain requests; its answers fill a caller's room.
class large_answers {
public:
  explicit large_answers(users_fleet &Fleet)
      : Server([](const raw_request &Request, int,
                  const raw_server::writer &Write) {
          Write("HTTP/1.1 200 OK\r\n" + signature(Request.Id) +
                "Content-Length: " + std::to_string(LargeBodyBytes) +
                "\r\n\r\n" + std::string(LargeBodyBytes, 'x'));
        }) {
    Fleet.on([&] {
      Fleet.listAt("plain", "plain-raw", Server.port());
      for (const char *Old : {"plain-0", "plain-1"})
        Fleet.Store->remove("servers", Old);
    });
    pause(milliseconds(1'500));
  }

private:
  raw_server Server;
};

} // namespace

TEST_CASE("a connection does not rest while its caller still reads the "
          "answer") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  setIdleLimit(Fleet, 4, IdleLimit);
  large_answers Server(Fleet);
  http_connection Kept(Fleet.CallerPorts[0], LittleRoom);
  REQUIRE(Kept.send(requestText(Fleet.call("once", "first"))));
  pause(IdleLimit + milliseconds(1'000));
  REQUIRE(Kept.readReply(Bound).Body.size() == LargeBodyBytes);
  pause(IdleLimit / 2);
  REQUIRE(Kept.send(requestText(Fleet.call("once", "second"))));
  CHECK(Kept.readReply(Bound).Status == 200);
}

TEST_CASE("a caller that never takes its answer does not keep its connection "
          "for ever") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  setIdleLimit(Fleet, 4, IdleLimit);
  large_answers Server(Fleet);
  http_connection Silent(Fleet.CallerPorts[0], LittleRoom);
  REQUIRE(Silent.send(requestText(Fleet.call("once", "first"))));
  // Time to write an answer, the idle limit, and some sweeps.
  pause(milliseconds(20'000) + IdleLimit + milliseconds(1'500));
  Silent.readReply(Bound);
  Silent.send(requestText(Fleet.call("once", "second")));
  CHECK(Silent.readReply(Bound).Status == 0);
}
