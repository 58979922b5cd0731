// Servers that run a request and answer with a status that would tell its
// caller that it has not run.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/soak_acts.h"
#include "jasminecroft/processes/users_fleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft::processes;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds Bound{12};
const std::vector<std::string> Statuses = {
    "503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"};

bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Runs each request and answers with its signature and one status.
class running_server {
public:
  running_server()
      : Server([this](const raw_request &Request, int,
                      const raw_server::writer &Write) {
          std::lock_guard<std::mutex> Lock(Guard);
          if (Refusing) {
            Write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                  "X-Request-Id: " +
                  Request.Id + "\r\nContent-Length: 4\r\n\r\nbusy");
            return;
          }
          Ran.push_back(Request.Id);
          Write("HTTP/1.1 " + Status + "\r\n" + signature(Request.Id) +
                "Content-Length: 4\r\n\r\nbusy");
        }) {}

  void answerWith(const std::string &Line) {
    std::lock_guard<std::mutex> Lock(Guard);
    Status = Line;
  }
  /// From now on requests are refused and not run.
  void refuse() {
    std::lock_guard<std::mutex> Lock(Guard);
    Refusing = true;
  }
  std::uint16_t port() const { return Server.port(); }
  std::size_t ranTimes(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(Guard);
    return static_cast<std::size_t>(std::count(Ran.begin(), Ran.end(), Id));
  }

private:
  std::mutex Guard;
  std::string Status;
  bool Refusing = false;
  std::vector<std::string> Ran;
  raw_server Server;
};

/// A fleet whose plain pool and engines are entries of one running server.
class running_fleet {
public:
  running_fleet() {
    REQUIRE(Fleet.waitReady());
    Fleet.on([this] {
      for (const char *Pool : {"plain", "engine"})
        for (const char *Number : {"-raw-1", "-raw-2"})
          Fleet.listAt(Pool, Pool + std::string(Number), Server.port());
      for (const char *Old : {"plain-0", "plain-1", "engine-0"})
        Fleet.Store->remove("servers", Old);
    });
    std::this_thread::sleep_for(milliseconds(1'500));
  }

  running_server Server;
  users_fleet Fleet{1};
};

} // namespace

TEST_CASE("a request that a server ran is not refused with that server's own "
          "503, 429 or 408") {
  running_fleet Running;
  int Number = 0;
  for (const std::string &Status : Statuses) {
    CAPTURE(Status);
    Running.Server.answerWith(Status);
    for (const std::string &Route :
         std::vector<std::string>{"once", "read", "note", "draft"}) {
      CAPTURE(Route);
      std::string Id = "p" + std::to_string(++Number);
      bool Streamed = Route == "note" || Route == "draft";
      http_reply Reply = exchange(Streamed ? Running.Fleet.stream(Route, Id)
                                           : Running.Fleet.call(Route, Id),
                                  Bound);
      REQUIRE(Running.Server.ranTimes(Id) > 0);
      CHECK(Reply.Status != 0);
      CHECK_FALSE(promisesNotRun(Reply.Status));
      // A status that is not the server's own must not bear its signature.
      CHECK(Reply.Head.find("X-Replica-Stamp") == std::string::npos);
    }
  }
}

TEST_CASE("a server's answer that it did not run what it ran and contradicts "
          "itself is no refusal") {
  using jasminecroft::standins::backend_act;
  backend_act Act = backend_act::Run;
  users_fleet Fleet(1, false, [&Act] { return Act; });
  REQUIRE(Fleet.waitReady());
  int Number = 0;
  for (backend_act Next : contradictingActs()) {
    CAPTURE(static_cast<int>(Next));
    Fleet.on([&] { Act = Next; });
    for (std::string Route : {"once", "note"}) {
      CAPTURE(Route);
      std::string Id = "c" + std::to_string(++Number);
      http_reply Reply = exchange(Route == "note" ? Fleet.stream(Route, Id)
                                                  : Fleet.call(Route, Id),
                                  Bound);
      // The stages of a stream may fail before it runs.
      CHECK(Fleet.ranTimes(Id) <= 1);
      if (Fleet.ranTimes(Id) > 0 || Route == "once")
        CHECK_FALSE(promisesNotRun(Reply.Status));
    }
  }
}

TEST_CASE("the log of a promise names each server that was called and what "
          "became of the call") {
  running_fleet Running;
  Running.Server.refuse();
  CHECK(exchange(Running.Fleet.call("once", "refused"), Bound).Status == 503);
  std::string Log;
  bool Logged = waitUntil([&] {
    Log = Running.Fleet.logOf(0);
    return Log.find("\"event\":215") != std::string::npos &&
           Log.find("\"event\":207") != std::string::npos;
  });
  CAPTURE(Log);
  REQUIRE(Logged);
  CHECK(Log.find("\"request\":\"refused\",\"outcome\":\"overloaded\"") !=
        std::string::npos);
  // What the caller got.
  CHECK(Log.find("\"outcome\":\"overloaded\",\"status\":\"503\"") !=
        std::string::npos);
  CHECK(Log.find("plain-raw-1=refused_503_named_new_stated") !=
        std::string::npos);
  CHECK(Log.find("plain-raw-2=refused_503_named_") != std::string::npos);
}
