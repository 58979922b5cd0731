// Servers that write a refusal once more where the answer to a later call on
// the same connection is due.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft::processes;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds CallBound{12};
constexpr int Calls = 24;
constexpr unsigned Promise = 503;

std::string refusal(const std::string &Id) {
  std::string Named = Id.empty() ? "" : "X-Request-Id: " + Id + "\r\n";
  return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
         "Keep-Alive: timeout=8\r\n" +
         Named + "Content-Length: 0\r\n\r\n";
}

/// Refuses every other request the first time it comes, and repeats its last
/// refusal before the next answer on the same connection.
class repeating_server {
public:
  explicit repeating_server(bool Named)
      : Server([this, Named](const raw_request &Request, int,
                             const raw_server::writer &Write) {
          std::lock_guard<std::mutex> Lock(Guard);
          std::string &Copy = Refusals[std::this_thread::get_id()];
          if (!Copy.empty())
            Write(Copy);
          bool First = Seen.insert(Request.Id).second;
          if (First && Seen.size() % 2 == 1) {
            Copy = refusal(Named ? Request.Id : "");
            Write(Copy);
            return;
          }
          Copy.clear();
          Ran.push_back(Request.Id);
          Write(answer(signature(Request.Id), Request.Id));
        }) {}

  std::uint16_t port() const { return Server.port(); }
  std::size_t ranTimes(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(Guard);
    return static_cast<std::size_t>(std::count(Ran.begin(), Ran.end(), Id));
  }

private:
  std::mutex Guard;
  std::map<std::thread::id, std::string> Refusals;
  std::set<std::string> Seen;
  std::vector<std::string> Ran;
  raw_server Server;
};

/// Runs each request, and writes a refusal that names none before the answer
/// to any but the first of a connection.
class foreign_refusals {
public:
  foreign_refusals()
      : Server([this](const raw_request &Request, int Number,
                      const raw_server::writer &Write) {
          if (Number > 0)
            Write(refusal(""));
          {
            std::lock_guard<std::mutex> Lock(Guard);
            Ran.push_back(Request.Id);
          }
          Write(answer(signature(Request.Id), Request.Id));
        }) {}

  std::uint16_t port() const { return Server.port(); }
  std::size_t ranTimes(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(Guard);
    return static_cast<std::size_t>(std::count(Ran.begin(), Ran.end(), Id));
  }

private:
  std::mutex Guard;
  std::vector<std::string> Ran;
  raw_server Server;
};

struct verdict {
  int Served = 0;
  /// Answered with a promise of "not run" though a server ran it.
  int RefusedAndRan = 0;
  int RanTwice = 0;
};

template <typename Server>
verdict callAll(users_fleet &Fleet, const std::vector<Server *> &Servers) {
  verdict Result;
  std::vector<http_reply> Replies;
  Replies.reserve(Calls);
  for (int I = 0; I < Calls; ++I)
    Replies.push_back(
        exchange(Fleet.call("once", "r" + std::to_string(I)), CallBound));
  for (int I = 0; I < Calls; ++I) {
    std::string Id = "r" + std::to_string(I);
    std::size_t Ran = 0;
    for (Server *One : Servers)
      Ran += One->ranTimes(Id);
    const http_reply &Reply = Replies[static_cast<std::size_t>(I)];
    Result.Served += Reply.Status == 200 ? 1 : 0;
    Result.RefusedAndRan += Reply.Status == Promise && Ran > 0 ? 1 : 0;
    Result.RanTwice += Ran > 1 ? 1 : 0;
    if (Reply.Status == 200)
      CHECK(Reply.Body == Id);
  }
  return Result;
}

/// Replaces the servers of the plain pool.
void listOnly(users_fleet &Fleet,
              const std::map<std::string, std::uint16_t> &Ports) {
  Fleet.on([&] {
    for (const std::pair<const std::string, std::uint16_t> &Port : Ports)
      Fleet.listAt("plain", Port.first, Port.second);
    Fleet.Store->remove("servers", "plain-0");
    Fleet.Store->remove("servers", "plain-1");
  });
  std::this_thread::sleep_for(milliseconds(1'500));
}

} // namespace

// review/3: the request went twice over one connection.
TEST_CASE("a copy of its own refusal does not answer a request that is sent "
          "again") {
  repeating_server Server(true);
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  // A server that cannot be reached keeps a second try open.
  listOnly(Fleet, {{"raw", Server.port()}, {"away", freePorts(1).front()}});
  verdict Result = callAll<repeating_server>(Fleet, {&Server});
  CHECK(Result.RefusedAndRan == 0);
  CHECK(Result.RanTwice == 0);
  CHECK(Result.Served > Calls / 2);
}

// review/2 and a report of other operators: the copy was taken for the answer
// to the next request.
TEST_CASE("a copy of a refusal that names no request answers no other one") {
  repeating_server One(false);
  repeating_server Other(false);
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  listOnly(Fleet, {{"raw-1", One.port()}, {"raw-2", Other.port()}});
  verdict Result = callAll<repeating_server>(Fleet, {&One, &Other});
  CHECK(Result.RefusedAndRan == 0);
  CHECK(Result.RanTwice == 0);
  CHECK(Result.Served > Calls / 2);
}

TEST_CASE("a copy of a refusal that names its request answers no other one") {
  repeating_server One(true);
  repeating_server Other(true);
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  listOnly(Fleet, {{"raw-1", One.port()}, {"raw-2", Other.port()}});
  verdict Result = callAll<repeating_server>(Fleet, {&One, &Other});
  CHECK(Result.RefusedAndRan == 0);
  CHECK(Result.RanTwice == 0);
  CHECK(Result.Served > Calls / 2);
}

TEST_CASE("a refusal that names no request proves nothing on a connection that "
          "has carried another one") {
  foreign_refusals One;
  foreign_refusals Other;
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  listOnly(Fleet, {{"raw-1", One.port()}, {"raw-2", Other.port()}});
  verdict Result = callAll<foreign_refusals>(Fleet, {&One, &Other});
  CHECK(Result.RefusedAndRan == 0);
  CHECK(Result.RanTwice == 0);
  // Such a server gets connections of their own from then on.
  CHECK(Result.Served >= Calls - 2);
}
