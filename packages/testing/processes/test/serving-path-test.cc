// The whole serving path with real entry hosts, against stand-ins of the
// users' store and backend servers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/json/parse.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>
#include <unistd.h>

using namespace jasminecroft::processes;
using namespace jasminecroft::standins;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds Bound{20};

} // namespace

TEST_CASE("plain requests reach a server with their workspace and once only") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  http_reply Read = exchange(Fleet.call("read", "r1"), Bound);
  CHECK(Read.Status == 200);
  CHECK(Read.Body.find("\"id\":\"r1\"") != std::string::npos);
  CHECK(Read.Head.find("X-Replica-Stamp: plain-") != std::string::npos);
  http_reply Once = exchange(Fleet.call("once", "o1", "key-2"), Bound);
  CHECK(Once.Status == 200);
  CHECK(Fleet.ranTimes("o1") == 1);
  Fleet.on([&Fleet] {
    std::set<std::string> Workspaces;
    bool Forbidden = false;
    for (const char *Id : {"plain-0", "plain-1"}) {
      Workspaces.insert(Fleet.Backends[Id]->workspaces().begin(),
                        Fleet.Backends[Id]->workspaces().end());
      Forbidden = Forbidden || Fleet.Backends[Id]->sawForbiddenHeader();
    }
    CHECK(Workspaces == std::set<std::string>{"w1", "w2"});
    CHECK_FALSE(Forbidden);
  });
  CHECK(exchange(Fleet.call("read", "x", "wrong"), Bound).Status == 401);
  CHECK(exchange(Fleet.call("nowhere", "x"), Bound).Status == 404);
  CHECK(Fleet.ranTimes("x") == 0);
}

TEST_CASE("a stream gets its staged inputs, whichever host owns the queue") {
  users_fleet Fleet(3);
  REQUIRE(Fleet.waitReady());
  for (std::size_t Host = 0; Host < 3; ++Host) {
    std::string Id = "s" + std::to_string(Host);
    http_reply Reply = exchange(Fleet.draft(Id, Host), Bound);
    CHECK(Reply.Status == 200);
    CHECK(Reply.Body.find("id: 3\n") != std::string::npos);
    std::string Inputs = "stage-0/" + Id;
    Inputs += ".1.0,stage-0/";
    Inputs += Id;
    Inputs += ".1.1";
    CHECK(Reply.Body.find(Inputs) != std::string::npos);
  }
  Fleet.on([&Fleet] { CHECK(Fleet.Backends["stage-0"]->made().size() == 9); });
}

TEST_CASE("hosts share calls for pieces") {
  users_fleet Fleet(3);
  REQUIRE(Fleet.waitReady());
  std::vector<std::thread> Callers;
  Callers.reserve(24);
  std::atomic<int> Good = 0;
  for (int I = 0; I < 24; ++I)
    Callers.emplace_back([&Fleet, &Good, I] {
      http_reply Reply = exchange(
          Fleet.draft("p" + std::to_string(I), static_cast<std::size_t>(I % 3)),
          Bound);
      Good += Reply.Status == 200 ? 1 : 0;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Good == 24);
  Fleet.on([&Fleet] {
    // 72 pieces; one call for each stage of each request would be 48 calls.
    CHECK(Fleet.Backends["stage-0"]->made().size() == 72);
    CHECK(Fleet.Backends["stage-0"]->pieceCalls() < 36);
  });
}

TEST_CASE("a cut stream is resumed at another server, without a hole") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  users_backend_options Cutting{"engine-1"};
  Cutting.CutAfter = 2;
  Fleet.add("engine", Cutting);
  // Until the request meets the server that cuts.
  bool Met = false;
  for (int I = 0; I < 40 && !Met; ++I) {
    std::string Id = "c" + std::to_string(I);
    http_reply Reply = exchange(Fleet.draft(Id), Bound);
    CHECK(Reply.Status == 200);
    std::size_t First = Reply.Body.find("id: 1\n");
    std::size_t Second = Reply.Body.find("id: 2\n");
    std::size_t Third = Reply.Body.find("id: 3\n");
    CHECK(First < Second);
    CHECK(Second < Third);
    CHECK(Reply.Body.find("id: 2\n", Second + 1) == std::string::npos);
    Met = Fleet.ranTimes(Id) == 2;
  }
  CHECK(Met);
}

TEST_CASE("a key that is taken away and a route that moves are in force") {
  users_fleet Fleet(2);
  REQUIRE(Fleet.waitReady());
  Fleet.add("other", {"other-0"});
  CHECK(exchange(Fleet.call("read", "k1", "key-2", 1), Bound).Status == 200);
  Fleet.on([&Fleet] {
    json::value Config = json::parse(usersConfig());
    Config.as_object()["version"] = 4;
    Config.at("tenants").as_array()[1].as_object()["api_keys"] = json::array{};
    Config.at("routes").as_array()[0].as_object()["service"] = "other";
    Config.at("services")
        .as_array()
        .push_back(json::object{{"name", "other"}, {"max_conns", 8}});
    Fleet.Store->put("config", "main", Config);
  });
  CHECK(waitUntil([&Fleet] {
    return exchange(Fleet.call("read", "k2", "key-2", 1), Bound).Status == 401;
  }));
  CHECK(waitUntil([&Fleet] {
    return exchange(Fleet.call("read", "k3", "key-1", 1), Bound)
               .Body.find("other-0") != std::string::npos;
  }));
}

TEST_CASE("a leaving server gets no new request, and its late entry none") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  Fleet.on([&Fleet] { Fleet.list("plain", "plain-0", "draining"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  Fleet.on([&Fleet] { Fleet.list("plain", "plain-0", "ready"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  for (int I = 0; I < 20; ++I) {
    std::string Id = "l" + std::to_string(I);
    CHECK(exchange(Fleet.call("read", Id), Bound).Body.find("plain-1") !=
          std::string::npos);
  }
  Fleet.on([&Fleet] {
    for (const std::string &Id : Fleet.Backends["plain-0"]->ran())
      CHECK_FALSE(Id.starts_with("l"));
  });
}

TEST_CASE(
    "a full pool is refused at once, as not run, with when to come back") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  Fleet.on([&Fleet] {
    Fleet.Store->remove("servers", "plain-0");
    Fleet.Store->remove("servers", "plain-1");
  });
  users_backend_options Full{"full-0"};
  Full.Full = true;
  Fleet.add("plain", Full);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'600));
  http_reply Reply = exchange(Fleet.call("once", "f1"), Bound);
  CHECK(Reply.Status == 503);
  CHECK(Reply.Head.find("Retry-After: ") != std::string::npos);
  CHECK(Fleet.ranTimes("f1") == 0);
}

TEST_CASE("bad requests are refused with a status and cost nobody else") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  auto Raw = [&Fleet](const std::string &Text) {
    http_connection Connection(Fleet.CallerPorts[0]);
    REQUIRE(Connection.send(Text));
    return Connection.readReply(Bound).Status;
  };
  const std::string Line = "POST /once/x HTTP/1.1\r\nHost: localhost\r\n";
  CHECK(Raw("nonsense\r\n\r\n") == 400);
  CHECK(Raw(Line + "X-Request-Id: b\r\nContent-Length: 5\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == 400);
  CHECK(Raw(Line + "X-Request-Id: b\r\nX-Request-Id: c\r\n"
                   "Content-Length: 0\r\n\r\n") == 400);
  CHECK(Raw(Line + "X-Request-Id: b\r\nContent-Length: 200000\r\n\r\n") == 413);
  CHECK(Raw(Line + "X-Big: " + std::string(20'000, 'x') + "\r\n\r\n") == 431);
  CHECK(exchange(Fleet.call("once", "ok"), Bound).Status == 200);
  CHECK(Fleet.ranTimes("b") == 0);
}

TEST_CASE("a host that stops finishes its requests and leaves the list") {
  users_fleet Fleet(2);
  REQUIRE(Fleet.waitReady());
  users_backend_options Slow{"slow-0"};
  Slow.Work = std::chrono::milliseconds(1'500);
  Fleet.on([&Fleet] {
    Fleet.Store->remove("servers", "plain-0");
    Fleet.Store->remove("servers", "plain-1");
  });
  Fleet.add("plain", Slow);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'600));
  http_connection Open(Fleet.CallerPorts[0]);
  REQUIRE(Open.send(requestText(Fleet.call("once", "t1"))));
  REQUIRE(waitUntil([&Fleet] { return Fleet.ranTimes("t1") == 1; }));
  Fleet.Processes[0]->signal(SIGTERM);
  REQUIRE(waitUntil([&Fleet] {
    return exchange({Fleet.ReadyPorts[0], "GET", "/readyz", "", ""}).Status ==
           503;
  }));
  // The balancer may still send requests; they are served, then closed.
  http_reply During = exchange(Fleet.call("once", "t2"), Bound);
  CHECK(During.Status == 200);
  CHECK(During.Head.find("Connection: close") != std::string::npos);
  CHECK(Open.readReply(Bound).Status == 200);
  CHECK(Fleet.Processes[0]->waitExit(std::chrono::seconds(9)) == 0);
  Fleet.on([&Fleet] {
    CHECK_FALSE(Fleet.Store->has("entry-hosts", "host-0"));
    CHECK(Fleet.Store->has("entry-hosts", "host-1"));
  });
  CHECK(Fleet.ranTimes("t1") == 1);
}

TEST_CASE("a request's body reaches its server unchanged") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  raw_server Server(
      [](const raw_request &Request, int, const raw_server::writer &Write) {
        Write(answer(signature(Request.Id), Request.Body));
      });
  Fleet.on([&] {
    Fleet.listAt("plain", "plain-raw", Server.port());
    for (const char *Old : {"plain-0", "plain-1"})
      Fleet.Store->remove("servers", Old);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  http_call Call = Fleet.call("once", "echoed");
  for (std::size_t I = 0; I < 90'000; ++I)
    Call.Body += static_cast<char>(I % 251);
  http_reply Reply = jasminecroft::processes::exchange(Call, Bound);
  CHECK(Reply.Status == 200);
  CHECK(Reply.Body == Call.Body);
}

TEST_CASE("settings that were read again hold without a restart") {
  std::atomic<std::size_t> Ran = 0;
  std::atomic<bool> Released = false;
  raw_server Server(
      [&](const raw_request &Request, int, const raw_server::writer &Write) {
        ++Ran;
        while (!Released)
          std::this_thread::sleep_for(std::chrono::milliseconds(20));
        Write(answer(signature(Request.Id), "done"));
      });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  Fleet.on([&] {
    Fleet.listAt("plain", "plain-raw", Server.port());
    for (const char *Old : {"plain-0", "plain-1"})
      Fleet.Store->remove("servers", Old);
  });
  // A quarter of the memory is for bodies: two of these and no third.
  Fleet.changeSettings(0, "\"grace_s\":8", "\"grace_s\":8,\"memory_mb\":1");
  Fleet.changeSettings(0, "\"region\":\"r\"", "\"region\":\"s\"");
  Fleet.Processes[0]->signal(SIGHUP);
  CHECK(waitUntil([&] {
    return Fleet.logOf(0).find("\"applied\":\"memory_mb\",\"at_restart\":"
                               "\"region\"") != std::string::npos;
  }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  auto Call = [&](const std::string &Id) {
    http_call Large = Fleet.call("once", Id);
    Large.Body.assign(90'000, 'x');
    return Large;
  };
  std::vector<std::unique_ptr<http_connection>> Held;
  for (const char *Id : {"held-1", "held-2"}) {
    Held.push_back(std::make_unique<http_connection>(Fleet.CallerPorts[0]));
    Held.back()->send(requestText(Call(Id)));
  }
  CHECK(waitUntil([&] { return Ran == 2; }));
  CHECK(exchange(Call("refused")).Status == 503);
  CHECK(Ran == 2);
  Released = true;
}
