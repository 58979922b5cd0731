// Servers that answer an upload before they have read it and then end the
// connection: on each reader of answers, and through a real daemon. Uploads
// are larger than the buffers of both sides, so that writing fails.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "answer-readers.h"
#include "jasminecroft/platform/object_api.h"
#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/users_fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace jasminecroft;
using namespace jasminecroft::detail;
using processes::callTo;
using processes::counted_exchange;
using processes::counted_results;
using processes::permitFor;
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds Bound{10};
constexpr std::size_t UploadBytes = 9'000'000;
constexpr int ReceiveBytes = 16'384;
/// Time for the client to receive the answer before the connection ends.
constexpr milliseconds EndDelay{100};
const std::string Part = "a part of the body";
const std::string UnitId = "9c41d07be2a35f68";
/// Tries until a request goes to the resetting server among sound ones.
constexpr int MaxTries = 20;

enum class ended_by {
  Reset,
  /// The kernel resets the connection, since the upload is unread.
  Close,
};

std::string signedHead(const std::string &StatusLine, const std::string &Id,
                       const std::string &More = "") {
  return StatusLine + "\r\nX-Request-Id: " + Id + "\r\nX-Replica-Stamp: r." +
         Id + "\r\n" + More + "\r\n";
}

/// Answers a request when it has read its head, and then ends the connection.
class resetting_server {
public:
  using answer_text = std::function<std::string(const std::string &Id)>;

  explicit resetting_server(asio::io_context &Context) : Acceptor(Context) {
    tcp::endpoint Any(asio::ip::address_v4::loopback(), 0);
    Acceptor.open(Any.protocol());
    // Inherited by the connections that are accepted.
    Acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBytes));
    Acceptor.bind(Any);
    Acceptor.listen();
    accept();
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  endpoint address() const {
    return endpoint("127.0.0.1:" + std::to_string(port()));
  }
  int ended() const { return Ended; }

  /// To the first request of each connection, which has no body; may be empty.
  std::string Before;
  answer_text Answer;
  ended_by End = ended_by::Reset;

private:
  struct link : std::enable_shared_from_this<link> {
    link(resetting_server &Owner, tcp::socket Socket)
        : Owner(Owner), Socket(std::move(Socket)),
          Timer(this->Socket.get_executor()) {}

    void read() {
      asio::async_read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
                             [Self = shared_from_this()](
                                 boost::system::error_code Error, std::size_t) {
                               if (!Error)
                                 Self->answer();
                             });
    }

    void answer() {
      bool First = Served++ == 0 && !Owner.Before.empty();
      Text = First ? Owner.Before : Owner.Answer(id());
      Request.clear();
      asio::async_write(Socket, asio::buffer(Text),
                        [Self = shared_from_this(),
                         First](boost::system::error_code, std::size_t) {
                          if (First)
                            Self->read();
                          else
                            Self->endLater();
                        });
    }

    std::string id() const {
      const std::string Name = "X-Request-Id: ";
      std::size_t Begin = Request.find(Name);
      if (Begin == std::string::npos)
        return {};
      Begin += Name.size();
      return Request.substr(Begin, Request.find("\r\n", Begin) - Begin);
    }

    void endLater() {
      Timer.expires_after(EndDelay);
      Timer.async_wait([Self = shared_from_this()](boost::system::error_code) {
        if (Self->Owner.End == ended_by::Reset)
          Self->Socket.set_option(asio::socket_base::linger(true, 0));
        Self->Socket.close();
        ++Self->Owner.Ended;
      });
    }

    resetting_server &Owner;
    tcp::socket Socket;
    asio::steady_timer Timer;
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
  std::atomic<int> Ended = 0;
};

forward_call uploadTo(const resetting_server &Server, std::size_t Bytes,
                      bool Streamed = false) {
  forward_call Call = callTo(Server.address(), UnitId, Streamed);
  std::shared_ptr<caller_message> Message =
      std::make_shared<caller_message>(*Call.Message);
  Message->Body = std::string(Bytes, 'u');
  Call.Message = std::move(Message);
  return Call;
}

/// A server, and the readers of its answers that belong to backend servers.
struct backend_calls {
  void forward(const forward_call &Call) {
    Backends.forward(call_id(++LastCall),
                     permitFor(Server.address(), admission_purpose::Request),
                     Call);
  }
  /// Runs until as many calls as Count have ended.
  void await(int Count) {
    while (Results.Failed + Results.Whole < Count)
      Context.run_one();
  }

  asio::io_context Context;
  resetting_server Server{Context};
  counted_results Results;
  serving_backends Backends{Context, Results};
  std::uint64_t LastCall = 0;
};

/// Answers that only the end of their connection delimits.
std::vector<std::string> unframedAnswers() {
  const std::string Ok = "HTTP/1.1 200 OK";
  return {signedHead(Ok, UnitId) + Part, signedHead(Ok, UnitId),
          signedHead(Ok, UnitId, "Connection: close\r\n") + Part,
          signedHead("HTTP/1.1 201 Created", UnitId) + Part,
          signedHead("HTTP/1.0 200 OK", UnitId) + Part};
}

/// One daemon whose callers may upload, and a resetting server for its pools.
class upload_fleet {
public:
  explicit upload_fleet(resetting_server::answer_text Answer) {
    Server.Answer = std::move(Answer);
    Serving = std::thread([this] { Context.run(); });
    REQUIRE(Fleet.waitReady());
    Fleet.on([this] {
      json::value Config = json::parse(processes::usersConfig());
      Config.as_object()["version"] = 2;
      Config.at("limits").as_object()["max_body_bytes"] = 2 * UploadBytes;
      Fleet.Store->put("config", "main", Config);
    });
    REQUIRE(processes::waitUntil([this] {
      return exchange(upload(Fleet.call("read", "probe")), Bound).Status == 200;
    }));
  }
  ~upload_fleet() {
    Context.stop();
    Serving.join();
  }
  upload_fleet(const upload_fleet &) = delete;
  upload_fleet &operator=(const upload_fleet &) = delete;

  /// Adds the resetting server to a pool, and takes some servers off the list.
  void listIn(const std::string &Pool,
              const std::vector<std::string> &Removed) {
    Fleet.on([&] {
      Fleet.listAt(Pool, "resetting", Server.port());
      for (const std::string &Id : Removed)
        Fleet.Store->remove("servers", Id);
    });
    std::this_thread::sleep_for(milliseconds(1'500));
  }

  static processes::http_call upload(processes::http_call Call) {
    Call.Body = std::string(UploadBytes, 'u');
    return Call;
  }

  /// Uploads by several callers at once, so that all servers get some, until
  /// the resetting server had one.
  void uploadAtOnce(
      const std::string &Path,
      const std::function<void(const std::string &Id,
                               const processes::http_reply &Reply)> &Check) {
    constexpr std::size_t Callers = 4;
    for (int Try = 0; Try < MaxTries && Server.ended() == 0; ++Try) {
      std::vector<processes::http_reply> Replies(Callers);
      std::vector<std::thread> Threads;
      auto IdOf = [Try](std::size_t Caller) {
        return "upload-" + std::to_string(Try) + "-" + std::to_string(Caller);
      };
      for (std::size_t I = 0; I < Callers; ++I)
        Threads.emplace_back([&, I] {
          Replies[I] = exchange(upload(Fleet.call(Path, IdOf(I))), Bound);
        });
      for (std::thread &Thread : Threads)
        Thread.join();
      for (std::size_t I = 0; I < Callers; ++I)
        Check(IdOf(I), Replies[I]);
    }
    CHECK(Server.ended() > 0);
  }

  asio::io_context Context;
  resetting_server Server{Context};
  processes::users_fleet Fleet{1};

private:
  std::thread Serving;
};

} // namespace

// Issue 57: a part of an answer reached the client as a complete answer.
TEST_CASE("an answer without a length whose connection breaks while the "
          "request is being written is broken") {
  for (bool Streamed : {false, true})
    for (bool Kept : {false, true})
      for (ended_by End : {ended_by::Reset, ended_by::Close})
        for (const std::string &Answer : unframedAnswers()) {
          CAPTURE(Streamed);
          CAPTURE(Kept);
          CAPTURE(static_cast<int>(End));
          CAPTURE(Answer);
          backend_calls Calls;
          Calls.Server.End = End;
          Calls.Server.Answer = [&Answer](const std::string &) {
            return Answer;
          };
          if (Kept) {
            Calls.Server.Before =
                signedHead("HTTP/1.1 200 OK", UnitId,
                           "Keep-Alive: timeout=8\r\nContent-Length: 0\r\n");
            Calls.forward(uploadTo(Calls.Server, 0));
            Calls.await(1);
            CHECK(Calls.Results.Whole == 1);
          }
          int Before = Calls.Results.Whole;
          Calls.forward(uploadTo(Calls.Server, UploadBytes, Streamed));
          Calls.await(Before + 1);
          CHECK(Calls.Results.Whole == Before);
          CHECK(Calls.Results.Broken == 1);
        }
}

TEST_CASE("a stream without a length whose connection breaks while the request "
          "is being written has its events and no end") {
  for (ended_by End : {ended_by::Reset, ended_by::Close}) {
    backend_calls Calls;
    Calls.Server.End = End;
    Calls.Server.Answer = [](const std::string &Id) {
      return signedHead("HTTP/1.1 200 OK", Id,
                        "Content-Type: text/event-stream\r\n") +
             "id: 1\ndata: x\n\n";
    };
    Calls.forward(uploadTo(Calls.Server, UploadBytes, true));
    Calls.await(1);
    CHECK(Calls.Results.Events == 1);
    CHECK(Calls.Results.Whole == 0);
    CHECK(Calls.Results.Broken == 1);
  }
}

TEST_CASE("pieces and freed results learn nothing of an answer without a "
          "length whose connection breaks while the call is being written") {
  const std::string Pieces = R"({"entries":[{"handle":"h"}]})";
  for (ended_by End : {ended_by::Reset, ended_by::Close}) {
    backend_calls Calls;
    Calls.Server.End = End;
    Calls.Server.Answer = [&Pieces](const std::string &) {
      return "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n\r\n" + Pieces;
    };
    batch_item Item;
    Item.Request = caller_request_id(UnitId);
    Item.Source = piece_key(std::string(UploadBytes, 'k'));
    Item.TimeLeft = Bound;
    Calls.Backends.runPieces(
        call_id(++Calls.LastCall),
        permitFor(Calls.Server.address(), admission_purpose::Pieces), {Item},
        Bound);
    Calls.await(1);
    CHECK(Calls.Results.Whole == 0);
    CHECK(Calls.Results.Broken == 1);
    Calls.Backends.freeResults(
        permitFor(Calls.Server.address(), admission_purpose::FreeResults),
        {result_handle(std::string(UploadBytes, 'h'))});
    while (Calls.Server.ended() < 2)
      Calls.Context.run_one();
    Calls.Context.run_for(EndDelay);
    CHECK(Calls.Results.Statements == 0);
  }
}

TEST_CASE("an answer that is whole by its length counts though its connection "
          "breaks while the request is being written") {
  backend_calls Calls;
  Calls.Server.Answer = [](const std::string &Id) {
    return signedHead("HTTP/1.1 413 Too Large", Id,
                      "Content-Length: " + std::to_string(Part.size()) +
                          "\r\n") +
           Part;
  };
  Calls.forward(uploadTo(Calls.Server, UploadBytes));
  Calls.await(1);
  CHECK(Calls.Results.Whole == 1);
  CHECK(Calls.Results.LastStatus == 413);
}

// The store's and the product's own calls share this reader.
TEST_CASE("an exchange whose connection breaks while its request is being "
          "written is broken") {
  for (ended_by End : {ended_by::Reset, ended_by::Close})
    for (const std::string &Answer : unframedAnswers()) {
      asio::io_context Context;
      resetting_server Server(Context);
      Server.End = End;
      Server.Answer = [&Answer](const std::string &) { return Answer; };
      std::unique_ptr<http_client> Client = makeHttpClient(Context);
      std::shared_ptr<counted_exchange> Listener =
          std::make_shared<counted_exchange>();
      exchange_request Request;
      Request.Address = Server.address();
      Request.Method = exchange_method::Put;
      Request.Target = "/objects/hosts/h";
      Request.Body = std::string(UploadBytes, 'u');
      Request.Timeout = Bound;
      Client->start(std::move(Request), Listener);
      while (Listener->Failed + Listener->Whole == 0)
        Context.run_one();
      CHECK(Listener->Whole == 0);
      CHECK(Listener->Broken == 1);
    }
}

// jasminecroftctl and the product's own path write to the platform by it.
TEST_CASE("a write to the object API whose connection breaks meanwhile has no "
          "answer") {
  for (ended_by End : {ended_by::Reset, ended_by::Close})
    for (const std::string &Answer : unframedAnswers()) {
      asio::io_context Context;
      resetting_server Server(Context);
      Server.End = End;
      Server.Answer = [&Answer](const std::string &) { return Answer; };
      std::unique_ptr<object_api> Api =
          makeHttpObjectApi(Context, Server.address());
      claim_record Claim;
      Claim.Output = std::string(UploadBytes, 'u');
      std::optional<platform_result> Result;
      Api->call(create_object{object_key("claim"), Claim}, Bound,
                [&Result](platform_result R) { Result = std::move(R); });
      while (!Result)
        Context.run_one();
      CHECK(std::holds_alternative<platform_no_answer>(*Result));
    }
}

TEST_CASE("a caller gets 502 and no part of an answer that broke off during "
          "its upload") {
  std::string Line;
  std::string More;
  upload_fleet Uploads(
      [&](const std::string &Id) { return signedHead(Line, Id, More) + Part; });
  Uploads.listIn("plain", {"plain-0", "plain-1"});
  int Number = 0;
  for (const char *Path : {"once", "read"})
    for (const char *Status : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK"})
      for (const char *Close : {"", "Connection: close\r\n"}) {
        Line = Status;
        More = Close;
        std::string Id = "cut-" + std::to_string(++Number);
        processes::http_reply Reply =
            exchange(upload_fleet::upload(Uploads.Fleet.call(Path, Id)), Bound);
        CHECK(Reply.Status == 502);
        CHECK(Reply.Body.find(Part) == std::string::npos);
      }
  CHECK(Uploads.Server.ended() >= Number);
}

TEST_CASE("a request that may repeat is answered by another server after one "
          "that broke off during its upload") {
  upload_fleet Uploads([](const std::string &Id) {
    return signedHead("HTTP/1.1 200 OK", Id) + Part;
  });
  Uploads.listIn("plain", {"plain-1"});
  Uploads.uploadAtOnce(
      "read", [](const std::string &, const processes::http_reply &Reply) {
        CHECK(Reply.Status == 200);
        CHECK(Reply.Body.find("plain-0") != std::string::npos);
      });
}

// The statement that nothing ran is in the head, which came whole.
TEST_CASE("a request that a server turned away during its upload runs on "
          "another one") {
  upload_fleet Uploads([](const std::string &Id) {
    return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
           "X-Request-Id: " +
           Id + "\r\n\r\n" + Part;
  });
  Uploads.listIn("plain", {"plain-1"});
  Uploads.uploadAtOnce(
      "once", [&](const std::string &Id, const processes::http_reply &Reply) {
        CHECK(Reply.Status == 200);
        CHECK(Uploads.Fleet.ranTimes(Id) == 1);
      });
}

TEST_CASE("a stream that breaks off during its upload goes on with another "
          "server, or has no end") {
  const std::string LastChunk = "0\r\n\r\n";
  upload_fleet Uploads([](const std::string &Id) {
    return signedHead("HTTP/1.1 200 OK", Id,
                      "Content-Type: text/event-stream\r\n") +
           "id: 1\ndata: x\n\n";
  });
  auto Play = [&](const std::string &Path, const std::string &Id) {
    processes::http_call Call =
        upload_fleet::upload(Uploads.Fleet.stream(Path, Id));
    processes::http_connection Caller(Call.Port);
    REQUIRE(Caller.send(processes::requestText(Call)));
    std::string Text;
    for (std::string More = Caller.receive(Bound); !More.empty();
         More = Caller.receive(Bound)) {
      Text += More;
      if (Text.ends_with(LastChunk))
        break;
    }
    return Text;
  };
  Uploads.listIn("engine", {});
  for (int I = 0; I < MaxTries && Uploads.Server.ended() == 0; ++I) {
    std::string Text = Play("draft", "resumed-" + std::to_string(I));
    CHECK(Text.ends_with(LastChunk));
    for (const char *Event : {"id: 1\n", "id: 2\n", "id: 3\n"})
      CHECK(Text.find(Event) != std::string::npos);
  }
  CHECK(Uploads.Server.ended() > 0);
  Uploads.listIn("engine", {"engine-0"});
  for (const char *Path : {"draft", "note"}) {
    std::string Text = Play(Path, std::string("alone-") + Path);
    CHECK(Text.starts_with("HTTP/1.1 200 "));
    CHECK_FALSE(Text.ends_with(LastChunk));
  }
}
