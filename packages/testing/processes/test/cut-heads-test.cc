// Heads that end at any byte, with an end or a reset of the connection, on each
// reader of answers and on that of requests.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "answer-readers.h"
#include "jasminecroft/platform/object_api.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <vector>

using namespace jasminecroft;
using namespace jasminecroft::detail;
using processes::callTo;
using processes::counted_exchange;
using processes::counted_results;
using processes::permitFor;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::seconds Timeout{5};
const std::string Id = "9c41d07be2a35f68";
const std::string Signed =
    "X-Request-Id: " + Id + "\r\nX-Replica-Stamp: s.1\r\n";

enum class cut_by { End, Reset };

/// Answers the first request of a connection with Before, if there is any, and
/// the next with the first bytes of Answer; then ends the connection.
class cutting_server {
public:
  explicit cutting_server(asio::io_context &Context)
      : Acceptor(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
  }

  endpoint address() const {
    return endpoint("127.0.0.1:" +
                    std::to_string(Acceptor.local_endpoint().port()));
  }

  std::string Before;
  std::string Answer;
  std::size_t Bytes = 0;
  cut_by Cut = cut_by::End;

private:
  struct link : std::enable_shared_from_this<link> {
    link(cutting_server &Owner, tcp::socket Socket)
        : Owner(Owner), Socket(std::move(Socket)) {}

    void read() {
      asio::async_read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
                             [Self = shared_from_this()](
                                 boost::system::error_code Error, std::size_t) {
                               if (!Error)
                                 Self->answer();
                             });
    }

    void answer() {
      Request.clear();
      bool First = Served++ == 0 && !Owner.Before.empty();
      Text = First ? Owner.Before : Owner.Answer.substr(0, Owner.Bytes);
      asio::async_write(Socket, asio::buffer(Text),
                        [Self = shared_from_this(),
                         First](boost::system::error_code, std::size_t) {
                          if (First)
                            Self->read();
                          else
                            Self->end();
                        });
    }

    void end() {
      if (Owner.Cut == cut_by::Reset)
        Socket.set_option(asio::socket_base::linger(true, 0));
      Socket.close();
    }

    cutting_server &Owner;
    tcp::socket Socket;
    std::string Request;
    std::string Text;
    int Served = 0;
  };

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          std::make_shared<link>(*this, std::move(Socket))->read();
          accept();
        });
  }

  tcp::acceptor Acceptor;
};

/// An answer, and how many of its bytes are its head.
struct answer_text {
  std::string Text;
  std::size_t Head = 0;
};

answer_text joined(const std::string &Head, const std::string &Body) {
  return {Head + "\r\n" + Body, Head.size() + 2};
}

/// The ways to frame a body, with the length first and last.
std::vector<answer_text> framings(const std::string &Headers,
                                  const std::string &Body) {
  const std::string Status = "HTTP/1.1 200 OK\r\n";
  const std::string Length =
      "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return {joined(Status + Length + Headers, Body),
          joined(Status + Headers + Length, Body),
          joined(Status + Headers + "Transfer-Encoding: chunked\r\n",
                 "1\r\n" + Body.substr(0, 1) + "\r\n0\r\n\r\n"),
          joined(Status + Headers, Body)};
}

/// Plays each cut of each answer: Ask starts a call, Done tells its end.
void playCuts(asio::io_context &Context, cutting_server &Server,
              const std::vector<answer_text> &Answers,
              const std::function<void()> &Ask,
              const std::function<bool()> &Done) {
  for (const answer_text &Answer : Answers)
    for (cut_by Cut : {cut_by::End, cut_by::Reset})
      for (std::size_t Bytes = 0; Bytes < Answer.Head; ++Bytes) {
        Server.Answer = Answer.Text;
        Server.Bytes = Bytes;
        Server.Cut = Cut;
        Ask();
        while (!Done())
          Context.run_one();
      }
}

} // namespace

TEST_CASE("a forwarded call whose answer's head is cut at any byte is broken, "
          "on a first and on a kept connection") {
  for (bool Streamed : {false, true})
    for (bool Kept : {false, true}) {
      asio::io_context Context;
      cutting_server Server(Context);
      counted_results Results;
      serving_backends Backends(Context, Results);
      std::uint64_t Call = 0;
      int Asked = 0;
      const std::string Type =
          Streamed ? "Content-Type: text/event-stream\r\n" : "";
      const std::string Body = Streamed ? "id: 1\ndata: x\n\n" : "body";
      if (Kept)
        Server.Before = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=8\r\n" +
                        Signed + "Content-Length: 0\r\n\r\n";
      auto Ask = [&] {
        if (Kept) {
          int Before = Results.Whole;
          Backends.forward(
              call_id(++Call),
              permitFor(Server.address(), admission_purpose::Request),
              callTo(Server.address(), Id, false));
          while (Results.Whole == Before)
            Context.run_one();
        }
        ++Asked;
        Backends.forward(
            call_id(++Call),
            permitFor(Server.address(), admission_purpose::Request),
            callTo(Server.address(), Id, Streamed));
      };
      playCuts(Context, Server, framings(Signed + Type, Body), Ask, [&] {
        return Results.Failed == Asked || Results.Whole > Asked;
      });
      CHECK(Results.Broken == Asked);
      CHECK(Results.Whole == (Kept ? Asked : 0));
      CHECK(Results.Heads == 0);
    }
}

TEST_CASE("calls for pieces and for a load whose answer's head is cut at any "
          "byte give no result") {
  asio::io_context Context;
  cutting_server Server(Context);
  counted_results Results;
  serving_backends Backends(Context, Results);
  int Asked = 0;
  std::function<bool()> Done = [&] {
    return Results.Failed + Results.Whole == Asked;
  };
  batch_item Item;
  Item.Request = caller_request_id(Id);
  Item.Source = piece_key("k");
  Item.TimeLeft = Timeout;
  playCuts(
      Context, Server,
      framings("X-Replica-Load: 1,0,1\r\n", R"({"entries":[{"handle":"h"}]})"),
      [&] {
        Backends.runPieces(
            call_id(static_cast<std::uint64_t>(++Asked)),
            permitFor(Server.address(), admission_purpose::Pieces), {Item},
            Timeout);
      },
      Done);
  playCuts(
      Context, Server,
      framings("Content-Type: application/json\r\n",
               R"({"free_mb":9.0,"busy":false})"),
      [&] {
        ++Asked;
        Backends.readServer(
            permitFor(Server.address(), admission_purpose::LoadQuery));
      },
      Done);
  CHECK(Results.Whole == 0);
  CHECK(Results.Broken == Asked);
  CHECK(Results.Statements == 0);
}

// The store's and the product's own calls share this reader.
TEST_CASE("an exchange whose answer's head is cut at any byte is broken") {
  asio::io_context Context;
  cutting_server Server(Context);
  std::unique_ptr<http_client> Client = makeHttpClient(Context);
  std::shared_ptr<counted_exchange> Listener =
      std::make_shared<counted_exchange>();
  int Asked = 0;
  playCuts(
      Context, Server,
      framings("Content-Type: application/json\r\n",
               R"({"entries":[],"has_more":false,"current_rev":1})"),
      [&] {
        ++Asked;
        exchange_request Request;
        Request.Address = Server.address();
        Request.Target = "/objects/servers";
        Request.Timeout = Timeout;
        Client->start(std::move(Request), Listener);
      },
      [&] { return Listener->Failed + Listener->Whole == Asked; });
  CHECK(Listener->Whole == 0);
  CHECK(Listener->Broken == Asked);
}

// jasminecroftctl and the product's own path read the platform by it.
TEST_CASE("a call to the object API whose answer's head is cut at any byte has "
          "no answer") {
  asio::io_context Context;
  cutting_server Server(Context);
  std::unique_ptr<object_api> Api =
      makeHttpObjectApi(Context, Server.address());
  int Asked = 0;
  int Unanswered = 0;
  int Answered = 0;
  playCuts(
      Context, Server,
      framings("Content-Type: application/json\r\n", R"({"objects":[]})"),
      [&] {
        ++Asked;
        Api->call(get_object{object_key("config")}, Timeout,
                  [&](const platform_result &Result) {
                    bool None =
                        std::holds_alternative<platform_no_answer>(Result);
                    Unanswered += None ? 1 : 0;
                    Answered += None ? 0 : 1;
                  });
      },
      [&] { return Unanswered + Answered == Asked; });
  CHECK(Answered == 0);
  CHECK(Unanswered == Asked);
}

TEST_CASE("a caller's request that is cut at any byte runs nowhere") {
  processes::users_fleet Fleet(1);
  REQUIRE(Fleet.waitReady());
  std::string Text = processes::requestText(Fleet.call("once", "cut-caller"));
  for (cut_by Cut : {cut_by::End, cut_by::Reset})
    for (std::size_t Bytes = 0; Bytes < Text.size(); ++Bytes) {
      processes::http_connection Caller(Fleet.CallerPorts[0]);
      REQUIRE(Caller.send(Text.substr(0, Bytes)));
      if (Cut == cut_by::Reset) {
        Caller.reset();
        continue;
      }
      Caller.closeSending();
      CHECK(Caller.readReply(Timeout).Status != 200);
    }
  // Whatever the host has read by then, it has handled.
  CHECK(exchange(Fleet.call("once", "whole")).Status == 200);
  CHECK(Fleet.ranTimes("cut-caller") == 0);
}
