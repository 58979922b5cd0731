// Backend servers that answer twice or slowly on connections that are in use
// again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

using namespace jasminecroft::processes;
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds CallBound{12};
/// Deadline of the callers of a users_fleet, and the time for the last word.
constexpr milliseconds Deadline{3'000};
constexpr milliseconds Slack{500};

struct raw_request {
  std::string Target;
  std::string Id;
  std::string Body;
};

std::string headerOf(const std::string &Head, const std::string &Name) {
  std::size_t Begin = Head.find(Name + ": ");
  if (Begin == std::string::npos)
    return {};
  Begin += Name.size() + 2;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

/// Serves each connection on a thread of its own with what Serve writes.
class raw_server {
public:
  /// Writes a text; an empty one ends the connection.
  using writer = std::function<bool(const std::string &)>;
  /// Called for each request; Number counts those of the connection from 0.
  using handler = std::function<void(const raw_request &Request, int Number,
                                     const writer &Write)>;

  explicit raw_server(handler Serve)
      : Serve(std::move(Serve)),
        Acceptor(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Accepting([this] { accept(); }) {}
  ~raw_server() {
    Stopped = true;
    // Wakes the thread that accepts.
    asio::io_context Own;
    tcp::socket Last(Own);
    boost::system::error_code Ignored;
    Last.connect(Acceptor.local_endpoint(), Ignored);
    Accepting.join();
    for (const std::shared_ptr<tcp::socket> &Socket : Sockets)
      Socket->shutdown(tcp::socket::shutdown_both, Ignored);
    for (std::thread &Thread : Threads)
      Thread.join();
  }
  raw_server(const raw_server &) = delete;
  raw_server &operator=(const raw_server &) = delete;

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// Requests that came on a connection that had served one before.
  int reused() const { return Reused; }

private:
  void accept() {
    while (!Stopped) {
      std::shared_ptr<tcp::socket> Socket =
          std::make_shared<tcp::socket>(Context);
      boost::system::error_code Error;
      Acceptor.accept(*Socket, Error);
      if (Error || Stopped)
        return;
      Sockets.push_back(Socket);
      Threads.emplace_back([this, Socket] { serve(*Socket); });
    }
  }

  void serve(tcp::socket &Socket) {
    std::string Bytes;
    for (int Number = 0;; ++Number) {
      std::size_t HeadEnd = 0;
      std::size_t Length = 0;
      for (;;) {
        HeadEnd = Bytes.find("\r\n\r\n");
        if (HeadEnd != std::string::npos) {
          std::string Text =
              headerOf(Bytes.substr(0, HeadEnd + 2), "Content-Length");
          Length = Text.empty() ? 0 : std::stoul(Text);
          if (Bytes.size() >= HeadEnd + 4 + Length)
            break;
        }
        std::array<char, 4'096> Part{};
        boost::system::error_code Error;
        std::size_t Read = Socket.read_some(asio::buffer(Part), Error);
        if (Error)
          return;
        Bytes.append(Part.data(), Read);
      }
      raw_request Request;
      std::string Head = Bytes.substr(0, HeadEnd + 2);
      std::size_t Target = Head.find(' ') + 1;
      Request.Target = Head.substr(Target, Head.find(' ', Target) - Target);
      Request.Id = headerOf(Head, "X-Request-Id");
      Request.Body = Bytes.substr(HeadEnd + 4, Length);
      Bytes.erase(0, HeadEnd + 4 + Length);
      Reused += Number > 0 ? 1 : 0;
      Serve(Request, Number, [&Socket](const std::string &Text) {
        boost::system::error_code Error;
        if (Text.empty()) {
          Socket.shutdown(tcp::socket::shutdown_both, Error);
          return false;
        }
        asio::write(Socket, asio::buffer(Text), Error);
        return !Error;
      });
    }
  }

  handler Serve;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::atomic<bool> Stopped = false;
  std::atomic<int> Reused = 0;
  std::vector<std::shared_ptr<tcp::socket>> Sockets;
  std::vector<std::thread> Threads;
  std::thread Accepting;
};

std::string answer(const std::string &Headers, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=8\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string signature(const std::string &Id) {
  return "X-Request-Id: " + Id + "\r\nX-Replica-Stamp: raw." + Id + "\r\n";
}

std::string eventsHead(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\n" + signature(Id) +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

std::string chunkOf(const std::string &Text) {
  std::ostringstream Chunk;
  Chunk << std::hex << Text.size() << "\r\n" << Text << "\r\n";
  return Chunk.str();
}

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
