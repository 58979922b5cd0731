// Reproduces a use of freed memory in batch_owner::queueFree(); not a case, as
// callers and servers see nothing of it. Twelve requests of twelve pieces wait
// for a model replica that pauses; then the results of all are freed at once.
// With a daemon under the address sanitizer (DAEMON=PATH) the process ends; in
// the build of the deploy file, frees are dropped if the id of the stage's
// server is longer than 15 characters.
// Build: g++ -std=c++20 -O1 -pthread freed-id.cc -o freed-id -lboost_json
// Run in the root of the repository: freed-id FOLDER
#include "streams.h"

using namespace kit;

namespace {

constexpr int Rounds = 3;
constexpr int RequestsPerRound = 12;
constexpr int Pieces = 12;

std::atomic<bool> Paused{false};
std::atomic<long> Made{0};
std::atomic<long> Freed{0};

replica::handler ledgerHandler(std::shared_ptr<std::string> Address) {
  auto Busy = std::make_shared<std::mutex>();
  return [=](connection &C, const message &Request) {
    if (Request.target() == "/stage-free") {
      Freed += static_cast<long>(
          json::parse(Request.Body).at("handles").as_array().size());
      return C.send(answer(200, "", ""));
    }
    if (Request.target() != "/stage-run")
      return C.send(
          answer(200, "", "{\"queued\":0,\"busy\":false,\"free_mb\":0.22}"));
    std::lock_guard<std::mutex> Lock(*Busy);
    json::value Body = json::parse(Request.Body);
    const json::array &Wanted = Body.at("entries").as_array();
    sleepMs(60 + 2 * static_cast<long>(Wanted.size()));
    std::string Entries;
    for (std::size_t I = 0; I < Wanted.size(); ++I)
      Entries += (Entries.empty() ? "" : ",") + std::string("{\"handle\":\"") +
                 *Address + "/" + std::to_string(900000 + ++Made) + "\"}";
    return C.send(answer(200, "X-Replica-Load: 0,0,1\r\n",
                         "{\"entries\":[" + Entries + "]}"));
  };
}

void call(int Number, const host &Host) {
  auto C = connection::to(Host.Ip, Host.Front);
  message Reply;
  bool Whole =
      C &&
      C->send("POST /ask/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: c" +
              std::to_string(Number) +
              "\r\nX-Model: m\r\nX-Token-Count: 100,35\r\nX-Prefix-Hash: "
              "a1:50,b1:50\r\nX-Pieces: " +
              std::to_string(Pieces) +
              "\r\nX-Piece-Key: k\r\nX-Deadline-Ms: 12000\r\nAuthorization: "
              "Bearer key-1\r\nContent-Length: 4\r\n\r\nbody") &&
      C->read(Reply, clock::now() + milliseconds(13000));
  record::line("reply c%d: status %d, %s", Number, Reply.status(),
               Whole ? "whole" : "cut");
}

} // namespace

int main(int, char **Arguments) {
  script Script(Arguments[1]);
  const std::string Ip = "127.36.1.1";
  int Base = freePorts({Ip});
  store Store("127.36.9.1");
  Store.put(
      "config", "main",
      "{\"version\":7,\"routes\":[{\"name\":\"r-ask\",\"hostname\":"
      "\"crew.example\",\"path_prefix\":\"/ask/\",\"type\":\"stream\","
      "\"timeout_ms\":12000,\"goal_ms\":2700,\"priority\":1,\"service\":"
      "\"pool\",\"attempts\":1,\"stages\":[{\"service\":\"ledger\",\"after\":"
      "[],\"bytes\":1000}],\"public\":false,\"sticky\":true,\"resumable\":"
      "false,\"gap_goal_ms\":500}],\"services\":[" +
          serviceText("pool", true) +
          ",{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":"
          "270,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,"
          "\"queue\":2,\"batch\":20,\"call_ms\":240.0,\"item_ms\":10.0,"
          "\"room_mb\":0.22,\"handle_s\":4.0,\"link_mbps\":10000}}]," +
          limitsText() +
          ",\"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"key-1\"]}]}");
  replica::handler Engine = engineHandler("i-pool-0", 5, 5);
  replica Pool(Store, "127.36.8.1", "pool", "i-pool-0", "z0",
               [Engine](connection &C, const message &Request) {
                 while (Paused)
                   sleepMs(5);
                 return Engine(C, Request);
               });
  auto Address = std::make_shared<std::string>();
  replica Ledger(Store, "127.36.7.1", "ledger", "i-ledger-antioquia-a-000001",
                 "z0", ledgerHandler(Address));
  *Address = Ledger.address();
  host Host("edge-0", Ip, "z0", Store.address(),
            {Ip + ":" + std::to_string(Base + 2)}, Script.Folder, Base);
  Host.start();
  if (!Host.waitReady(20000))
    Script.end(2);
  int Number = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    Paused = true;
    std::vector<std::thread> Threads;
    for (int I = 0; I < RequestsPerRound; ++I)
      Threads.emplace_back(call, ++Number, std::cref(Host));
    sleepMs(2500);
    Paused = false;
    for (std::thread &Thread : Threads)
      Thread.join();
    if (Host.ended(400)) {
      record::line("the entry host ended by itself");
      Script.end(1);
    }
    record::line("results made %ld, freed %ld", Made.load(), Freed.load());
  }
  Script.end(0);
}
