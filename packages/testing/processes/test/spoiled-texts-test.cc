// Texts of servers, entries and configurations that would end the head of a
// request or add to it: servers run what callers sent, and nothing else.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace jasminecroft::processes;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds Bound{10};
/// Until hosts have read an entry or a configuration.
constexpr milliseconds ReadTime{1'600};

const std::string Smuggled =
    "\r\n\r\nPOST /draft/y HTTP/1.1\r\nX-Request-Id: smuggled\r\n"
    "Content-Length: 0\r\n\r\n";

/// Handles as a server in trouble may spoil them.
std::vector<std::string> spoiledHandles() {
  const std::string Sound = "10.0.0.9:80/x";
  return {Sound + "\r\n",
          Sound + Smuggled,
          Sound + "\n",
          Sound + "\r",
          Sound + std::string("\0y", 2),
          Sound + "," + Sound,
          Sound + " y",
          Sound + "\xc3\xa9",
          "",
          std::string(200'000, 'x')};
}

/// A stage's server whose next handle can be spoiled, and a model replica that
/// records what it gets.
class spoiled_stage {
public:
  explicit spoiled_stage(users_fleet &Fleet)
      : Stage([this](const raw_request &Request, int,
                     const raw_server::writer &Write) {
          Write(answer("X-Replica-Load: 0,0,1\r\n", stageAnswer(Request)));
        }),
        Engine([this](const raw_request &Request, int,
                      const raw_server::writer &Write) {
          {
            std::lock_guard<std::mutex> Lock(Guard);
            Requests.push_back(Request);
          }
          Write(eventsHead(Request.Id) + chunkOf("id: 1\ndata: x\n\n") +
                "0\r\n\r\n");
        }) {
    Fleet.on([&Fleet, this] {
      // A piece that failed at one is made at the other.
      Fleet.listAt("stage", "stage-a", Stage.port());
      Fleet.listAt("stage", "stage-b", Stage.port());
      Fleet.listAt("engine", "engine-raw", Engine.port());
      Fleet.Store->remove("servers", "stage-0");
      Fleet.Store->remove("servers", "engine-0");
    });
    std::this_thread::sleep_for(ReadTime);
  }

  void spoil(const std::string &Handle) {
    std::lock_guard<std::mutex> Lock(Guard);
    Next = Handle;
  }
  std::vector<raw_request> requests() {
    std::lock_guard<std::mutex> Lock(Guard);
    return Requests;
  }

private:
  std::string stageAnswer(const raw_request &Request) {
    if (Request.Target != "/stage-run")
      return R"({"busy":false,"queued":0,"free_mb":100})";
    std::lock_guard<std::mutex> Lock(Guard);
    json::array Entries;
    const json::value Body = json::parse(Request.Body);
    for (const json::value &Entry : Body.at("entries").as_array()) {
      std::string Handle = "10.0.0.9:80/" + std::to_string(++Made);
      // Handles of the last stage reach the model replica.
      if (Entry.at("stage").as_int64() == 1)
        Handle = std::exchange(Next, std::nullopt).value_or(Handle);
      Entries.push_back(json::object{{"handle", Handle}});
    }
    return json::serialize(json::object{{"entries", std::move(Entries)}});
  }

  std::mutex Guard;
  std::optional<std::string> Next;
  int Made = 0;
  std::vector<raw_request> Requests;
  raw_server Stage;
  raw_server Engine;
};

std::string headerOf(const raw_request &Request, const std::string &Name) {
  std::size_t Begin = Request.Head.find("\r\n" + Name + ": ");
  if (Begin == std::string::npos)
    return {};
  Begin += Name.size() + 4;
  return Request.Head.substr(Begin, Request.Head.find("\r\n", Begin) - Begin);
}

} // namespace

// review/12: the model replica ran a changed request, or one that no client
// sent.
TEST_CASE("a handle that would end a head does not reach the model replica") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  spoiled_stage Servers(Fleet);
  std::vector<std::string> Handles = spoiledHandles();
  for (std::size_t I = 0; I < Handles.size(); ++I) {
    Servers.spoil(Handles[I]);
    std::string Id = "s" + std::to_string(I);
    CAPTURE(I);
    CHECK(exchange(Fleet.draft(Id), Bound).Status == 200);
    std::vector<raw_request> Seen = Servers.requests();
    REQUIRE(Seen.size() == I + 1);
    CHECK(Seen[I].Id == Id);
    CHECK(Seen[I].Body == "body");
    CHECK(headerOf(Seen[I], "X-Model") == "m");
    std::string Inputs = headerOf(Seen[I], "X-Inputs");
    CHECK(std::count(Inputs.begin(), Inputs.end(), ',') == 1);
    CHECK(Inputs.size() < 100);
  }
  CHECK(waitUntil([&Fleet] {
    return Fleet.logOf(0).find("\"event\":623") != std::string::npos;
  }));
}

// Servers got the name as it is, and ran bookings without their body.
TEST_CASE("a workspace whose name would end a head costs no other workspace "
          "its requests") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  Fleet.on([&Fleet] {
    json::value Config = json::parse(usersConfig());
    Config.as_object()["version"] = 4;
    json::array &Workspaces = Config.at("tenants").as_array();
    Workspaces.push_back(
        json::object{{"name", "w3\r\n"}, {"api_keys", json::array{"key-3"}}});
    Workspaces.push_back(json::object{{"name", "w1" + Smuggled},
                                      {"api_keys", json::array{"key-4"}}});
    Fleet.Store->put("config", "main", Config);
  });
  REQUIRE(waitUntil([&Fleet] {
    return Fleet.logOf(0).find("\"version\":\"4\"") != std::string::npos;
  }));
  for (const char *Key : {"key-3", "key-4"}) {
    CHECK(exchange(Fleet.call("once", Key, Key), Bound).Status == 503);
    CHECK(Fleet.ranTimes(Key) == 0);
  }
  CHECK(exchange(Fleet.call("once", "sound"), Bound).Status == 200);
  CHECK(exchange(Fleet.call("once", "other", "key-2"), Bound).Status == 200);
  Fleet.on([&Fleet] {
    for (const char *Id : {"plain-0", "plain-1"})
      for (const std::string &Name : Fleet.Backends[Id]->workspaces())
        CHECK((Name == "w1" || Name == "w2"));
  });
  CHECK(waitUntil([&Fleet] {
    return Fleet.logOf(0).find("\"event\":406") != std::string::npos;
  }));
}
