// Servers that say in their answers that they leave, or want nothing for a
// while, while the platform's list still calls them ready.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <thread>

using namespace jasminecroft::processes;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds CallBound{12};
constexpr int Calls = 24;

/// Requests that reach a raw server: one while it is alone in its pool, then
/// those of both hosts beside another server.
int arrivals(const std::function<std::string(const std::string &Id)> &Answer) {
  std::atomic<int> Arrived = 0;
  raw_server Server(
      [&](const raw_request &Request, int, const raw_server::writer &Write) {
        ++Arrived;
        Write(Answer(Request.Id));
      });
  users_fleet Fleet(2);
  REQUIRE(Fleet.waitReady());
  Fleet.on([&] {
    Fleet.listAt("plain", "raw", Server.port());
    Fleet.Store->remove("servers", "plain-0");
    Fleet.Store->remove("servers", "plain-1");
  });
  std::this_thread::sleep_for(milliseconds(1'500));
  exchange(Fleet.call("read", "first"), CallBound);
  CHECK(Arrived == 1);
  Fleet.on([&] { Fleet.list("plain", "plain-1", "ready"); });
  std::this_thread::sleep_for(milliseconds(1'500));
  for (int I = 0; I < Calls; ++I)
    exchange(Fleet.call("read", "c" + std::to_string(I), "key-1",
                        static_cast<std::size_t>(I % 2)),
             CallBound);
  return Arrived;
}

std::string withLeaving(const std::string &Id, const std::string &Value) {
  return answer(signature(Id) + "Server-Leaving: " + Value + "\r\n", "done");
}

std::string turnedAway(const std::string &Id, const std::string &RetryAfter) {
  return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
         "X-Request-Id: " +
         Id + "\r\nRetry-After: " + RetryAfter +
         "\r\nContent-Length: 0\r\n\r\n";
}

/// The only server of its pool, which turns all calls of two hosts away.
class alone_server {
public:
  explicit alone_server(const std::string &RetryAfter)
      : Server([this, RetryAfter](const raw_request &Request, int,
                                  const raw_server::writer &Write) {
          ++Arrived;
          Write(turnedAway(Request.Id, RetryAfter));
        }) {
    users_fleet Fleet(2);
    REQUIRE(Fleet.waitReady());
    Fleet.on([&] {
      Fleet.listAt("plain", "raw", Server.port());
      Fleet.Store->remove("servers", "plain-0");
      Fleet.Store->remove("servers", "plain-1");
    });
    std::this_thread::sleep_for(milliseconds(1'500));
    for (int I = 0; I < Calls; ++I) {
      http_reply Reply =
          exchange(Fleet.call("once", "a" + std::to_string(I), "key-1",
                              static_cast<std::size_t>(I % 2)),
                   CallBound);
      Refused += Reply.Status == 503 ? 1 : 0;
      LastHead = Reply.Head;
    }
  }

  int arrived() const { return Arrived; }
  bool refusedAll() const { return Refused == Calls; }
  double lastRetryAfter() const {
    const std::string Name = "Retry-After: ";
    std::size_t At = LastHead.find(Name);
    return At == std::string::npos
               ? 0
               : std::stod(LastHead.substr(At + Name.size()));
  }

private:
  std::atomic<int> Arrived = 0;
  int Refused = 0;
  std::string LastHead;
  raw_server Server;
};

} // namespace

TEST_CASE("a server that says it leaves gets nothing more from any host") {
  CHECK(arrivals([](const std::string &Id) { return withLeaving(Id, "1"); }) ==
        1);
}

TEST_CASE("a server that leaves and refuses gets nothing more either") {
  CHECK(arrivals([](const std::string &Id) {
          return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                 "X-Request-Id: " +
                 Id + "\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
        }) == 1);
}

TEST_CASE("an odd value of the header means nothing") {
  CHECK(arrivals([](const std::string &Id) { return withLeaving(Id, "0"); }) >
        1);
}

TEST_CASE("a server that asks for a pause gets nothing more from that host") {
  alone_server Server("20.5");
  CHECK(Server.refusedAll());
  // Each host keeps an account of its own.
  CHECK(Server.arrived() == 2);
  CHECK(Server.lastRetryAfter() > 15);
  CHECK(Server.lastRetryAfter() < 21.5);
}

TEST_CASE("a wish for a pause that cannot be read binds no host") {
  alone_server Server("soon");
  CHECK(Server.refusedAll());
  CHECK(Server.arrived() >= Calls);
}
