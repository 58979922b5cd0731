// Streams that break off after some events, and servers that answer the call
// which is to go on with them in other ways than with the next events.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <doctest/doctest.h>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft::processes;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds Bound{12};
const std::string LastChunk = "0\r\n\r\n";

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: token\n\n";
}

std::string reply(const std::string &Status, const std::string &Headers,
                  const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Begins each stream and breaks it off after two events; answers the second
/// call of the same request with what Next writes.
class breaking_server {
public:
  using next = std::function<std::string(const std::string &Id)>;

  breaking_server()
      : Server([this](const raw_request &Request, int,
                      const raw_server::writer &Write) {
          std::unique_lock<std::mutex> Lock(Guard);
          bool First = Seen.insert(Request.Id).second;
          std::string Text =
              First ? eventsHead(Request.Id) + chunkOf(event(1) + event(2))
                    : Next(Request.Id);
          Lock.unlock();
          Write(Text);
          Write("");
        }) {}

  void setNext(next Answer) {
    std::lock_guard<std::mutex> Lock(Guard);
    Next = std::move(Answer);
  }
  std::uint16_t port() const { return Server.port(); }

private:
  std::mutex Guard;
  std::set<std::string> Seen;
  next Next;
  raw_server Server;
};

/// A fleet whose engines are two entries of one breaking server.
class broken_streams {
public:
  broken_streams() {
    REQUIRE(Fleet.waitReady());
    Fleet.on([this] {
      Fleet.listAt("engine", "raw-1", Server.port());
      Fleet.listAt("engine", "raw-2", Server.port());
      Fleet.Store->remove("servers", "engine-0");
    });
    std::this_thread::sleep_for(milliseconds(1'500));
  }

  /// All that the caller of one stream gets until its connection ends or the
  /// stream is whole.
  std::string play(breaking_server::next Answer) {
    Server.setNext(std::move(Answer));
    http_connection Caller(Fleet.CallerPorts[0]);
    REQUIRE(Caller.send(
        requestText(Fleet.draft("stream-" + std::to_string(++Played)))));
    std::string Text;
    for (std::string More = Caller.receive(Bound); !More.empty();
         More = Caller.receive(Bound)) {
      Text += More;
      if (Text.ends_with(LastChunk))
        break;
    }
    return Text;
  }

private:
  breaking_server Server;
  users_fleet Fleet{1};
  int Played = 0;
};

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

/// The events that came before the break, once each, and nothing else.
void checkCut(const std::string &Text) {
  CHECK(Text.starts_with("HTTP/1.1 200 "));
  CHECK(countOf(Text, "HTTP/1.") == 1);
  CHECK(countOf(Text, "id: 1\n") == 1);
  CHECK(countOf(Text, "id: 2\n") == 1);
  CHECK(countOf(Text, "id: ") == 2);
  CHECK(Text.find("trouble") == std::string::npos);
  CHECK_FALSE(Text.ends_with(LastChunk));
}

} // namespace

TEST_CASE("a stream that broke off goes on with the next events") {
  broken_streams Streams;
  std::string Text = Streams.play([](const std::string &Id) {
    return eventsHead(Id) + chunkOf(event(3) + event(4)) + LastChunk;
  });
  CHECK(countOf(Text, "HTTP/1.") == 1);
  CHECK(countOf(Text, "id: ") == 4);
  CHECK(Text.find("id: 2\n") < Text.find("id: 3\n"));
  CHECK(Text.ends_with(LastChunk));
}

// All events had arrived; only the end was lost.
TEST_CASE("a stream is whole if the next server has no more events") {
  broken_streams Streams;
  std::string Text = Streams.play(
      [](const std::string &Id) { return eventsHead(Id) + LastChunk; });
  CHECK(countOf(Text, "id: ") == 2);
  CHECK(Text.ends_with(LastChunk));
}

TEST_CASE("an error of the next server does not get into a stream that has "
          "begun") {
  broken_streams Streams;
  const std::string Events = "Content-Type: text/event-stream\r\n";
  const std::vector<std::pair<std::string, breaking_server::next>> Answers = {
      {"failed",
       [](const std::string &Id) {
         return reply("500 Internal Server Error", signature(Id), "trouble");
       }},
      {"refused, named",
       [](const std::string &Id) {
         return reply("503 Service Unavailable",
                      "X-Not-Executed: 1\r\nX-Request-Id: " + Id + "\r\n",
                      "trouble");
       }},
      {"refused, not named",
       [](const std::string &) {
         return reply("503 Service Unavailable", "X-Not-Executed: 1\r\n",
                      "trouble");
       }},
      {"unsigned failure",
       [](const std::string &) {
         return reply("502 Bad Gateway", "", "trouble");
       }},
      {"not found",
       [](const std::string &Id) {
         return reply("404 Not Found", signature(Id), "trouble");
       }},
      {"a whole answer",
       [](const std::string &Id) {
         return reply("200 OK", signature(Id), "trouble");
       }},
      {"unsigned events",
       [Events](const std::string &) {
         return reply("200 OK", Events, event(3) + "data: trouble\n\n");
       }},
      {"a failure with events",
       [Events](const std::string &Id) {
         return reply("500 Internal Server Error", Events + signature(Id),
                      "id: 3\ndata: trouble\n\n");
       }},
      {"an event without id",
       [](const std::string &Id) {
         return eventsHead(Id) + chunkOf("event: error\ndata: trouble\n\n") +
                LastChunk;
       }},
      {"text instead of events",
       [](const std::string &Id) {
         return eventsHead(Id) + chunkOf("trouble") + LastChunk;
       }},
      {"the events from the start",
       [](const std::string &Id) {
         return eventsHead(Id) + chunkOf(event(1) + event(2)) + LastChunk;
       }},
      {"a later event",
       [](const std::string &Id) {
         return eventsHead(Id) + chunkOf(event(4)) + LastChunk;
       }},
      {"half an event",
       [](const std::string &Id) {
         return eventsHead(Id) + chunkOf("id: 3\ndata: trou");
       }},
      {"no HTTP", [](const std::string &) { return "trouble\r\n\r\n"; }},
      {"a head within a head",
       [](const std::string &Id) {
         return "HTTP/1.1 200 OK\r\n" +
                reply("500 Internal Server Error", signature(Id), "trouble");
       }},
      {"nothing", [](const std::string &) { return std::string(); }},
  };
  for (const std::pair<std::string, breaking_server::next> &Answer : Answers) {
    CAPTURE(Answer.first);
    checkCut(Streams.play(Answer.second));
  }
}

// A report of other operators: the stream ended as if it were complete.
TEST_CASE("a stream is not whole if the next server breaks off before its "
          "first event") {
  broken_streams Streams;
  checkCut(Streams.play([](const std::string &Id) {
    return "HTTP/1.1 200 OK\r\n" + signature(Id) +
           "Content-Type: text/event-stream\r\n\r\n";
  }));
  checkCut(Streams.play([](const std::string &Id) { return eventsHead(Id); }));
}
