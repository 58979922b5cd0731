// Messages whose end is uncertain because of their transfer coding, against
// real daemons: from callers, from probes of readiness and from servers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/raw_server.h"
#include "jasminecroft/processes/users_fleet.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft::processes;

namespace {

constexpr std::chrono::seconds Bound{10};
const std::string Check = "/v1/workspaces/w/pipelines/part-check";

/// Header lines after which the end of a body is uncertain, or its coding
/// unknown.
const std::vector<std::string> BadFraming = {
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: chunked;q=1\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n",
    "Content-Length: 3\r\nTransfer-Encoding: gzip\r\n",
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"};

/// All that comes back on one connection until it ends.
std::string answersTo(std::uint16_t Port, const std::string &Bytes) {
  http_connection Connection(Port);
  REQUIRE(Connection.connected());
  REQUIRE(Connection.send(Bytes));
  std::string Text;
  for (std::string More = Connection.receive(Bound); !More.empty();
       More = Connection.receive(Bound))
    Text += More;
  return Text;
}

std::size_t countAnswers(const std::string &Text) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find("HTTP/1.1 "); At != std::string::npos;
       At = Text.find("HTTP/1.1 ", At + 1))
    ++Count;
  return Count;
}

std::string usersHead(const std::string &Id, const std::string &Framing) {
  return "POST /once/x HTTP/1.1\r\nHost: localhost\r\nX-Request-Id: " + Id +
         "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n" +
         Framing + "\r\n";
}

/// Makes a server the only one of the plain pool.
void listOnly(users_fleet &Fleet, const raw_server &Server) {
  Fleet.on([&] {
    Fleet.listAt("plain", "raw", Server.port());
    Fleet.Store->remove("servers", "plain-0");
    Fleet.Store->remove("servers", "plain-1");
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
}

std::string chunkedWithTrailers(const std::string &Head,
                                const std::string &Trailers) {
  return Head + "2\r\n{}\r\n0\r\n" + Trailers + "\r\n";
}

} // namespace

// review/4: the body of such a request ran as a request of its own.
TEST_CASE("a request in the body of one with a bad transfer coding does not "
          "run") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  for (std::size_t I = 0; I < BadFraming.size(); ++I) {
    CAPTURE(BadFraming[I]);
    std::string Number = std::to_string(I);
    std::string Text =
        answersTo(Fleet.CallerPorts[0],
                  usersHead("outer-" + Number, BadFraming[I]) +
                      usersHead("inner-" + Number, "Content-Length: 0\r\n"));
    CHECK(Text.starts_with("HTTP/1.1 400 "));
    CHECK(countAnswers(Text) == 1);
    CHECK(Fleet.ranTimes("outer-" + Number) == 0);
    CHECK(Fleet.ranTimes("inner-" + Number) == 0);
  }
  std::string Chunked = usersHead("chunked", "Transfer-Encoding: Chunked\r\n"
                                             "Connection: close\r\n") +
                        "4\r\nbody\r\n0\r\n\r\n";
  CHECK(answersTo(Fleet.CallerPorts[0], Chunked).starts_with("HTTP/1.1 200 "));
  CHECK(Fleet.ranTimes("chunked") == 1);
}

TEST_CASE("a chunked request of HTTP/1.0 is refused") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  std::string Request = usersHead("old", "Transfer-Encoding: chunked\r\n") +
                        "4\r\nbody\r\n0\r\n\r\n";
  Request.replace(Request.find("HTTP/1.1"), 8, "HTTP/1.0");
  CHECK(answersTo(Fleet.CallerPorts[0], Request).starts_with("HTTP/1.1 400 "));
  CHECK(Fleet.ranTimes("old") == 0);
}

TEST_CASE("a call or page in the body of one with a bad transfer coding is "
          "not answered") {
  fleet_options Options;
  Options.EntryHosts = 1;
  Options.Backends = 1;
  local_fleet Fleet(Options);
  REQUIRE(Fleet.waitAllReady());
  std::string Inner = "POST " + Check +
                      " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                      "Content-Length: 2\r\n\r\n{}";
  for (const std::string &Framing : BadFraming)
    for (const std::string &Target : {Check, std::string("/readyz")}) {
      CAPTURE(Framing);
      CAPTURE(Target);
      std::string Outer = "POST " + Target + " HTTP/1.1\r\nHost: x\r\n";
      Outer += Framing;
      Outer += "\r\n";
      std::string Text = answersTo(Fleet.callerPort(0), Outer + Inner);
      CHECK(Text.starts_with("HTTP/1.1 400 "));
      CHECK(countAnswers(Text) == 1);
    }
}

TEST_CASE("a probe of readiness with a bad transfer coding gets no second "
          "answer") {
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  for (const std::string &Framing : BadFraming) {
    CAPTURE(Framing);
    std::string Text = answersTo(
        Fleet.ReadyPorts[0],
        "GET /readyz HTTP/1.1\r\nHost: x\r\n" + Framing +
            "\r\nGET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(countAnswers(Text) <= 1);
    CHECK(Text.find(" 200 ") == std::string::npos);
  }
}

TEST_CASE("an answer with an unknown transfer coding does not reach the "
          "caller") {
  std::string Framing;
  raw_server Server([&Framing](const raw_request &Request, int,
                               const raw_server::writer &Write) {
    Write("HTTP/1.1 200 OK\r\n" + signature(Request.Id) + Framing + "\r\n");
    Write("6\r\ncoded!\r\n0\r\n\r\n");
    Write("");
  });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  listOnly(Fleet, Server);
  int Number = 0;
  for (const std::string &Line : BadFraming) {
    CAPTURE(Line);
    Framing = Line;
    http_reply Reply = exchange(
        Fleet.call("once", "coded-" + std::to_string(++Number)), Bound);
    CHECK(Reply.Status == 502);
    CHECK(Reply.Body.find("coded") == std::string::npos);
  }
}

TEST_CASE("a trailer of a request counts as no header of it") {
  std::string Got;
  raw_server Server(
      [&Got](const raw_request &Request, int, const raw_server::writer &Write) {
        Got = Request.Head;
        Write(answer(signature(Request.Id), "done"));
      });
  users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  listOnly(Fleet, Server);
  const std::string Framing = "Transfer-Encoding: chunked\r\n"
                              "X-Model: m\r\nConnection: close\r\n";
  std::string Text = answersTo(
      Fleet.CallerPorts[0],
      chunkedWithTrailers(usersHead("trailed", Framing),
                          "X-Token-Count: 9,9\r\nConnection: X-Model\r\n"));
  CHECK(Text.starts_with("HTTP/1.1 200 "));
  CHECK(Got.find("X-Model: m\r\n") != std::string::npos);
  CHECK(Got.find("X-Token-Count") == std::string::npos);
  // A key in a trailer opens no route.
  std::string NoKey = usersHead("keyless", Framing);
  NoKey.erase(NoKey.find("Authorization"),
              NoKey.find("Transfer-Encoding") - NoKey.find("Authorization"));
  Got.clear();
  Text =
      answersTo(Fleet.CallerPorts[0],
                chunkedWithTrailers(NoKey, "Authorization: Bearer key-1\r\n"));
  CHECK(Text.starts_with("HTTP/1.1 401 "));
  CHECK(Got.empty());
}

TEST_CASE("a trailer of a call gives it no key") {
  fleet_options Options;
  Options.EntryHosts = 1;
  Options.Backends = 1;
  local_fleet Fleet(Options);
  REQUIRE(Fleet.waitAllReady());
  std::string Text =
      answersTo(Fleet.callerPort(0),
                chunkedWithTrailers(
                    "POST /v1/workspaces/w/pipelines/work-order HTTP/1.1\r\n"
                    "Host: x\r\nTransfer-Encoding: chunked\r\n"
                    "Connection: close\r\n\r\n",
                    "Idempotency-Key: late\r\n"));
  CHECK(Text.starts_with("HTTP/1.1 400 "));
  CHECK(Text.find("missing_idempotency_key") != std::string::npos);
}
