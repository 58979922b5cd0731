// Backend servers that answer twice or slowly on connections that are in use
// again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <atomic>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <thread>

using namespace jasminecroft::processes;
namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds CallBound{12};
/// Deadline of the callers of a users_fleet, and the time for the last word.
constexpr milliseconds Deadline{3'000};
constexpr milliseconds Slack{500};

/// Replaces the servers of a pool by one.
void replace(users_fleet &Fleet, const std::string &Pool,
             const std::vector<std::string> &Old, const raw_server &Server) {
  Fleet.on([&] {
    Fleet.listAt(Pool, "raw", Server.port());
    for (const std::string &Id : Old)
      Fleet.Store->remove("servers", Id);
  });
  std::this_thread::sleep_for(milliseconds(1'500));
}

/// Handles that name the request, stage and piece.
std::string piecesAnswer(const raw_request &Request) {
  json::array Entries;
  const json::value Wanted = json::parse(Request.Body);
  for (const json::value &Entry : Wanted.at("entries").as_array())
    Entries.push_back(json::object{
        {"handle", "raw/" + std::string(Entry.at("id").as_string().c_str()) +
                       "." + std::to_string(Entry.at("stage").as_int64()) +
                       "." + std::to_string(Entry.at("piece").as_int64())}});
  return answer("X-Replica-Load: 0,0,1\r\n",
                json::serialize(json::object{{"entries", Entries}}));
}

} // namespace

TEST_CASE("a second, late copy of an answer does not reach the next caller") {
  std::string Earlier;
  std::mutex Guard;
  raw_server Server([&](const raw_request &Request, int Number,
                        const raw_server::writer &Write) {
    std::string Own =
        answer(signature(Request.Id), "{\"id\":\"" + Request.Id + "\"}");
    std::lock_guard<std::mutex> Lock(Guard);
    if (Number > 0)
      Write(Earlier);
    std::this_thread::sleep_for(milliseconds(20));
    Write(Own);
    Earlier = Own;
  });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  replace(Fleet, "plain", {"plain-0", "plain-1"}, Server);
  for (int I = 0; I < 8; ++I) {
    std::string Id = "c" + std::to_string(I);
    http_reply Reply = exchange(Fleet.call("once", Id), CallBound);
    CHECK(Reply.Status == 200);
    CHECK(Reply.Body == "{\"id\":\"" + Id + "\"}");
  }
  CHECK(Server.reused() > 0);
}

TEST_CASE("a second, late copy of an answer for pieces gives no request the "
          "results of another") {
  // Of each connection, by the number of pieces: another number would be
  // noticed.
  std::map<std::pair<std::thread::id, std::size_t>, std::string> Earlier;
  std::mutex Guard;
  raw_server Server([&](const raw_request &Request, int Number,
                        const raw_server::writer &Write) {
    std::lock_guard<std::mutex> Lock(Guard);
    if (Request.Target != "/stage-run") {
      Write(answer("", R"({"busy":false,"queued":0,"free_mb":100})"));
      return;
    }
    std::string Own = piecesAnswer(Request);
    std::string &Copy = Earlier[{std::this_thread::get_id(), Own.size()}];
    if (Number > 0 && !Copy.empty())
      Write(Copy);
    std::this_thread::sleep_for(milliseconds(20));
    Write(Own);
    Copy = Own;
  });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  replace(Fleet, "stage", {"stage-0"}, Server);
  int Served = 0;
  for (int I = 0; I < 8; ++I) {
    std::string Id = "p" + std::to_string(I);
    http_reply Reply = exchange(Fleet.draft(Id), CallBound);
    Served += Reply.Status == 200 ? 1 : 0;
    for (int Other = 0; Other < 8; ++Other)
      if (Other != I)
        CHECK(Reply.Body.find("raw/p" + std::to_string(Other) + ".") ==
              std::string::npos);
  }
  CHECK(Served > 0);
}

TEST_CASE("a slow but sound stream is not cut") {
  constexpr int Events = 4;
  raw_server Server(
      [](const raw_request &Request, int, const raw_server::writer &Write) {
        Write(eventsHead(Request.Id));
        for (int Event = 1; Event <= Events; ++Event) {
          std::this_thread::sleep_for(milliseconds(600));
          Write(chunkOf("id: " + std::to_string(Event) + "\ndata: x\n\n"));
        }
        Write("0\r\n\r\n");
      });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  replace(Fleet, "engine", {"engine-0"}, Server);
  http_reply Reply = exchange(Fleet.draft("slow"), CallBound);
  CHECK(Reply.Status == 200);
  for (int Event = 1; Event <= Events; ++Event)
    CHECK(Reply.Body.find("id: " + std::to_string(Event) + "\n") !=
          std::string::npos);
}

TEST_CASE("a stalled stream that sends a byte now and then ends at its "
          "deadline") {
  std::atomic<int> Sending = 0;
  raw_server Server([&Sending](const raw_request &Request, int,
                               const raw_server::writer &Write) {
    ++Sending;
    Write(eventsHead(Request.Id));
    Write(chunkOf("id: 1\ndata: x\n\n"));
    while (Write(chunkOf(":")))
      std::this_thread::sleep_for(milliseconds(100));
    --Sending;
  });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  replace(Fleet, "engine", {"engine-0"}, Server);
  http_connection Caller(Fleet.CallerPorts[0]);
  steady::time_point Begin = steady::now();
  REQUIRE(Caller.send(requestText(Fleet.draft("stalled"))));
  while (!Caller.receive(CallBound).empty())
    continue;
  CHECK(steady::now() - Begin < Deadline + Slack);
  CHECK(waitUntil([&Sending] { return Sending == 0; }));
}

TEST_CASE("an answer without a length that ends with its connection is whole") {
  raw_server Server(
      [](const raw_request &Request, int, const raw_server::writer &Write) {
        Write("HTTP/1.1 200 OK\r\n" + signature(Request.Id) + "\r\n");
        std::this_thread::sleep_for(milliseconds(20));
        Write("{\"id\":\"" + Request.Id + "\"}");
        Write("");
      });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  replace(Fleet, "plain", {"plain-0", "plain-1"}, Server);
  http_reply Reply = exchange(Fleet.call("once", "unframed"), CallBound);
  CHECK(Reply.Status == 200);
  CHECK(Reply.Body == "{\"id\":\"unframed\"}");
}

TEST_CASE("a stream without chunks is whole if it ends after an event") {
  std::string Events;
  raw_server Server([&Events](const raw_request &Request, int,
                              const raw_server::writer &Write) {
    Write("HTTP/1.1 200 OK\r\n" + signature(Request.Id) +
          "Content-Type: text/event-stream\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(20));
    Write(Events);
    Write("");
  });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  replace(Fleet, "engine", {"engine-0"}, Server);
  Events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
  http_reply Whole = exchange(Fleet.draft("whole"), CallBound);
  CHECK(Whole.Status == 200);
  CHECK(Whole.Body.find("id: 2\n") != std::string::npos);
  for (const char *Cut : {"id: 1\ndata: x\n\nid: 2\ndata: y\n", "id: 1"}) {
    CAPTURE(std::string(Cut));
    Events = Cut;
    http_reply Reply = exchange(Fleet.draft("cut"), CallBound);
    CHECK(Reply.Status != 200);
  }
  // The server broke off before its first event.
  Events = "";
  CHECK(exchange(Fleet.draft("empty"), CallBound).Status != 200);
}
