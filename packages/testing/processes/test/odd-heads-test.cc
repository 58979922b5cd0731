// Answers whose status or field names no server in order writes: on each reader
// of answers, and through a real daemon.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "../../../ctl/src/blocking_access.h"
#include "answer-readers.h"
#include "jasminecroft/platform/object_api.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft;
using namespace jasminecroft::detail;
using namespace jasminecroft::processes;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds Bound{10};
/// Of calls whose answer may never come.
constexpr std::chrono::milliseconds ShortTimeout{300};
const std::string Id = "9c41d07be2a35f68";
const std::string Ok = "HTTP/1.1 200 OK";
const std::string Part = "of the server";

const std::vector<std::string> OddStatusLines = {
    "HTTP/1.1 000 OK", "HTTP/1.1 000 ",   "HTTP/1.1 000",
    "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 199 OK"};

/// A line with each byte that no name may hold, before, in and after it.
std::vector<std::string> oddNames() {
  std::vector<std::string> Lines = {": value", "X-Odd", "Content-Length : 5",
                                    "Transfer-Encoding : chunked",
                                    "X-Request-Id : " + Id};
  for (char Byte : {' ', '\t', '\0', '\x01', '\x0b', '\x1b', '\x7f'}) {
    const std::string Odd(1, Byte);
    Lines.push_back("X" + Odd + "Odd: value");
    Lines.push_back("X-Odd" + Odd + ": value");
    // A line that begins with a blank continues the one before.
    if (Byte != ' ' && Byte != '\t')
      Lines.push_back(Odd + "X-Odd: value");
  }
  return Lines;
}

/// Lines that begin with a blank: fields, or more of the line before.
const std::vector<std::string> BlankFirst = {" X-Odd: value",
                                             "\tX-Odd: value",
                                             "  X-Odd: value",
                                             " X-Request-Id: other",
                                             " Content-Length: 3",
                                             " Transfer-Encoding: chunked",
                                             " value"};

std::string headWith(const std::string &StatusLine, const std::string &Headers,
                     const std::string &Line, const std::string &Body) {
  return StatusLine + "\r\n" + Headers + (Line.empty() ? "" : Line + "\r\n") +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Asks each reader of answers once for an answer with this status line and
/// this line in its head; what they took for an answer.
struct asked_readers {
  int Whole = 0;
  int Heads = 0;
  int Statements = 0;
};

asked_readers askAll(const std::string &StatusLine, const std::string &Line) {
  std::string Text;
  raw_server Server([&Text](const raw_request &, int,
                            const raw_server::writer &Write) { Write(Text); });
  const endpoint Address("127.0.0.1:" + std::to_string(Server.port()));
  asio::io_context Context;
  counted_results Results;
  serving_backends Backends(Context, Results);
  std::uint64_t Call = 0;
  auto Await = [&] {
    int Before = Results.Whole + Results.Failed;
    while (Results.Whole + Results.Failed == Before)
      Context.run_one();
  };
  for (bool Streamed : {false, true}) {
    Text = headWith(StatusLine,
                    signature(Id) +
                        (Streamed ? "Content-Type: text/event-stream\r\n" : ""),
                    Line, "id: 1\ndata: x\n\n");
    forward_call Forward = callTo(Address, Id, Streamed);
    Forward.TimeLeft = ShortTimeout;
    Backends.forward(call_id(++Call),
                     permitFor(Address, admission_purpose::Request), Forward);
    Await();
  }
  Text = headWith(StatusLine, "Server-Leaving: 1\r\n", Line,
                  R"({"entries":[{"handle":"h"}]})");
  batch_item Item;
  Item.Request = caller_request_id(Id);
  Item.Source = piece_key("k");
  Item.TimeLeft = ShortTimeout;
  Backends.runPieces(call_id(++Call),
                     permitFor(Address, admission_purpose::Pieces), {Item},
                     ShortTimeout);
  Await();
  Text = headWith(StatusLine, "Server-Leaving: 1\r\n", Line,
                  R"({"free_mb":9.0,"busy":false})");
  Backends.readServer(permitFor(Address, admission_purpose::LoadQuery));
  Await();
  Text = headWith(StatusLine, "Content-Type: application/json\r\n", Line,
                  R"({"entries":[],"has_more":false,"current_rev":1})");
  std::unique_ptr<http_client> Client = makeHttpClient(Context);
  std::shared_ptr<counted_exchange> Listener =
      std::make_shared<counted_exchange>();
  exchange_request Request;
  Request.Address = Address;
  Request.Target = "/objects/servers";
  Request.Timeout = ShortTimeout;
  Client->start(std::move(Request), Listener);
  while (Listener->Whole + Listener->Failed == 0)
    Context.run_one();
  Text = headWith(StatusLine, "X-Object-Version: 3\r\n", Line, "{}");
  std::unique_ptr<object_api> Api = makeHttpObjectApi(Context, Address);
  std::optional<platform_result> Result;
  Api->call(get_object{object_key("config")}, ShortTimeout,
            [&Result](platform_result R) { Result = std::move(R); });
  while (!Result)
    Context.run_one();
  int Objects = std::holds_alternative<platform_no_answer>(*Result) ? 0 : 1;
  std::unique_ptr<ctl::network_access> Ctl =
      ctl::makeNetworkAccess(ctl::ctl_settings());
  int Pages = Ctl->hosts().read(Address, "load") ? 1 : 0;
  return {Results.Whole + Listener->Whole + Objects + Pages, Results.Heads,
          Results.Statements};
}

void checkNoReader(const std::string &StatusLine, const std::string &Line) {
  asked_readers Asked = askAll(StatusLine, Line);
  CHECK(Asked.Whole == 0);
  CHECK(Asked.Heads == 0);
  CHECK(Asked.Statements == 0);
}

/// A daemon whose plain servers and engines are one server that answers each
/// first request of a connection soundly, if it is to, and all others with the
/// head that the test chose.
class odd_fleet {
public:
  odd_fleet() {
    REQUIRE(Fleet.waitReady());
    Fleet.on([this] {
      Fleet.listAt("plain", "raw-plain", Server.port());
      Fleet.listAt("engine", "raw-engine", Server.port());
      for (const char *Old : {"plain-0", "plain-1", "engine-0"})
        Fleet.Store->remove("servers", Old);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  }

  /// What a caller gets for a head with this status line and this line.
  http_reply play(const std::string &Path, const std::string &StatusLine,
                  const std::string &Line) {
    {
      std::lock_guard<std::mutex> Lock(Guard);
      Status = StatusLine;
      Odd = Line;
    }
    std::string Request = "odd-" + std::to_string(++Played);
    http_call Call = Path == "note" ? Fleet.stream(Path, Request)
                                    : Fleet.call(Path, Request);
    const std::string Deadline = "X-Deadline-Ms: ";
    Call.Headers.replace(Call.Headers.find(Deadline) + Deadline.size(),
                         std::string("3000").size(), "1000");
    return processes::exchange(Call, Bound);
  }

  /// Plays a head with this line on all kinds of routes, on a first and on a
  /// kept connection.
  void checkBroken(const std::string &Line);

  /// The body is in chunks, and nothing but the odd line says so.
  std::atomic<bool> CodedBody = false;

private:
  void serve(const raw_request &Request, int Number,
             const raw_server::writer &Write) {
    bool Streamed = Request.Head.find("X-Model") != std::string::npos;
    std::string Headers =
        "Keep-Alive: timeout=8\r\n" + signature(Request.Id) +
        (Streamed ? "Content-Type: text/event-stream\r\n" : "");
    std::lock_guard<std::mutex> Lock(Guard);
    if (SoundFirst && Number == 0)
      Write(headWith(Ok, Headers, "", "sound"));
    else if (CodedBody)
      Write(Status + "\r\n" + Headers + Odd + "\r\n\r\n" + chunkOf(Part) +
            "0\r\n\r\n");
    else
      Write(headWith(Status, Headers, Odd,
                     Streamed ? "id: 1\ndata: " + Part + "\n\n" : Part));
    if (CodedBody)
      Write("");
  }

  std::atomic<bool> SoundFirst = false;
  std::mutex Guard;
  std::string Status = Ok;
  std::string Odd;
  int Played = 0;
  raw_server Server{[this](const raw_request &Request, int Number,
                           const raw_server::writer &Write) {
    serve(Request, Number, Write);
  }};
  users_fleet Fleet{1};
};

/// A failure of the host's own, with nothing of the server's head or body.
void checkRefused(const http_reply &Reply) {
  CHECK(Reply.Head.find("Odd") == std::string::npos);
  CHECK(Reply.Head.find("X-Replica-Stamp") == std::string::npos);
  CHECK(Reply.Body.find(Part) == std::string::npos);
}

void odd_fleet::checkBroken(const std::string &Line) {
  SoundFirst = false;
  for (const char *Path : {"once", "read", "note"}) {
    http_reply Reply = play(Path, Ok, Line);
    CHECK(Reply.Status == 502);
    checkRefused(Reply);
  }
  SoundFirst = true;
  CHECK(play("once", Ok, Line).Body == "sound");
  int Reused = Server.reused();
  http_reply Reply = play("once", Ok, Line);
  CHECK(Reply.Status == 502);
  checkRefused(Reply);
  CHECK(Server.reused() == Reused + 1);
}

} // namespace

// Issue 57: an answer with status 000 reached the client.
TEST_CASE("no reader takes an answer with a status below 200 for one") {
  for (const std::string &StatusLine : OddStatusLines) {
    CAPTURE(StatusLine);
    checkNoReader(StatusLine, "");
  }
  asked_readers Sound = askAll(Ok, "X-Even: value");
  CHECK(Sound.Whole == 7);
}

TEST_CASE("an answer with a status below 200 does not reach the caller") {
  odd_fleet Odd;
  for (const char *Path : {"once", "read", "note"})
    for (const std::string &StatusLine : OddStatusLines) {
      CAPTURE(Path);
      CAPTURE(StatusLine);
      http_reply Reply = Odd.play(Path, StatusLine, "");
      CHECK((Reply.Status == 502 || Reply.Status == 504));
      checkRefused(Reply);
    }
}

// Issue 57: such an answer reached the client, with that line or another body.
TEST_CASE("no reader takes an answer for one if a field's name holds a blank "
          "or a control byte") {
  for (const std::string &Line : oddNames()) {
    CAPTURE(Line);
    checkNoReader(Ok, Line);
  }
}

TEST_CASE("an answer with a blank or a control byte in a field's name does not "
          "reach the caller, on a first and on a kept connection") {
  odd_fleet Odd;
  for (const std::string &Line : oddNames()) {
    CAPTURE(Line);
    Odd.checkBroken(Line);
  }
}

// Whether a blank belongs to a name or continues a value, nobody can tell.
TEST_CASE("no reader takes an answer for one if a line of its head begins with "
          "a blank") {
  for (const std::string &Line : BlankFirst) {
    CAPTURE(Line);
    checkNoReader(Ok, Line);
  }
}

TEST_CASE("an answer whose head has a line that begins with a blank does not "
          "reach the caller, on a first and on a kept connection") {
  odd_fleet Odd;
  for (const std::string &Line : BlankFirst) {
    CAPTURE(Line);
    Odd.checkBroken(Line);
  }
}

TEST_CASE("a body whose coding stands in a line that begins with a blank does "
          "not reach the caller") {
  odd_fleet Odd;
  Odd.CodedBody = true;
  http_reply Reply = Odd.play("once", Ok, " Transfer-Encoding: chunked");
  CHECK(Reply.Status == 502);
  checkRefused(Reply);
}
