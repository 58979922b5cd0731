// One of three servers of a stage spoils two in a hundred of its answers: where
// the handle of a result is due, there is a line break behind the handle, or
// the text of another request. Counts requests that a model replica runs and
// that no client sent so.
#include "streams.h"

using namespace kit;

namespace {

constexpr int Clients = 12;
constexpr long RunMs = 45000;
/// Largest dose of `garble` in the site file: x 0.05; here x is 0.02.
constexpr int SpoilEvery = 50;
/// for_s of one entry; another one follows.
constexpr long GarbleMs = 5500;
constexpr long PauseMs = 500;

struct sent_request {
  std::string Model;
  std::string Tokens;
  std::string Prefix;
  std::string Body;
};

std::mutex Mutex;
std::map<std::string, sent_request> Sent;
std::atomic<int> Runs{0};
std::atomic<int> Foreign{0};
std::atomic<int> Changed{0};
std::atomic<int> Spoiled{0};
std::atomic<int> Whole{0};
std::atomic<bool> Stop{false};
std::atomic<bool> Trouble{false};

void judge(const std::string &Replica, const message &Request) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::string Id = Request.get("X-Request-Id");
  auto Found = Sent.find(Id);
  ++Runs;
  record::line("run   '%s' at %s: %s, model '%s', tokens '%s', %zu bytes of "
               "body, inputs '%s'",
               Id.c_str(), Replica.c_str(), Request.First.c_str(),
               Request.get("X-Model").c_str(),
               Request.get("X-Token-Count").c_str(), Request.Body.size(),
               Request.get("X-Inputs").c_str());
  if (Found == Sent.end()) {
    ++Foreign;
    record::line("BROKEN no client sent '%s'", Id.c_str());
    return;
  }
  const sent_request &Wanted = Found->second;
  if (Request.get("X-Model") != Wanted.Model ||
      Request.get("X-Token-Count") != Wanted.Tokens ||
      Request.get("X-Prefix-Hash") != Wanted.Prefix ||
      Request.Body != Wanted.Body) {
    ++Changed;
    record::line("BROKEN '%s' is not as its client sent it", Id.c_str());
  }
}

/// A model replica: a strict reader of HTTP/1.1. It runs what it is asked for,
/// with one event.
replica::handler modelHandler(const std::string &Id) {
  return [Id](connection &C, const message &Request) {
    std::size_t Version = Request.First.rfind(" HTTP/1.1");
    if (Version == std::string::npos || Request.target().empty() ||
        Request.target().front() != '/') {
      record::line("400 at %s for '%s'", Id.c_str(), Request.First.c_str());
      C.send(answer(400, "Connection: close\r\n", ""));
      return false;
    }
    if (Request.get("X-Inputs").empty())
      return C.send(answer(400,
                           "X-Not-Executed: 1\r\nX-Request-Id: " +
                               Request.get("X-Request-Id") + "\r\n",
                           ""));
    judge(Id, Request);
    sleepMs(20);
    std::string Event = "id: 1\ndata: x\n\n";
    return C.send(answer(200,
                         "Content-Type: text/event-stream\r\nX-Request-Id: " +
                             Request.get("X-Request-Id") +
                             "\r\nX-Replica-Stamp: " + Id + "." +
                             Request.get("X-Request-Id") + "\r\n",
                         Event));
  };
}

/// What stands for a handle in a spoiled answer, in the JSON of the answer.
std::string spoil(const std::string &Handle, int Number) {
  if (Number % 2 == 0)
    return Handle + "\\r\\n";
  return Handle +
         "\\r\\nContent-Length: 0\\r\\n\\r\\nPOST /ask/x "
         "HTTP/1.1\\r\\nHost: crew.example\\r\\nX-Request-Id: ghost-" +
         std::to_string(Number) +
         "\\r\\nX-Model: m\\r\\nX-Token-Count: 1,7\\r\\nX-Inputs: " + Handle;
}

replica::handler ledgerHandler(const std::string &Id, bool Spoils,
                               std::shared_ptr<std::string> Address) {
  auto Busy = std::make_shared<std::mutex>();
  auto Count = std::make_shared<int>(0);
  return [=](connection &C, const message &Request) {
    if (Request.target() == "/stage-free")
      return C.send(answer(200, "", ""));
    if (Request.target() == "/report")
      return C.send(answer(200, "Content-Type: application/json\r\n",
                           "{\"queued\":0,\"busy\":false,\"free_mb\":9.0}"));
    std::lock_guard<std::mutex> Lock(*Busy);
    sleepMs(40);
    json::value Body = json::parse(Request.Body);
    std::string Entries;
    int Number = ++*Count;
    unsigned Place = 0;
    bool Now = Spoils && Trouble && Number % SpoilEvery == 0;
    for (const json::value &Entry : Body.at("entries").as_array()) {
      char Name[32];
      std::snprintf(Name, sizeof Name, "%x%02x", 0x51ab00 + Number, ++Place);
      std::string Handle = *Address + "/" + Name;
      if (Now) {
        Handle = spoil(Handle, ++Spoiled);
        record::line("spoiled answer of %s for '%s': %s", Id.c_str(),
                     Entry.at("id").as_string().c_str(), Handle.c_str());
        Now = false;
      }
      Entries += (Entries.empty() ? "" : ",") + std::string("{\"handle\":\"") +
                 Handle + "\"}";
    }
    return C.send(answer(
        200, "Content-Type: application/json\r\nX-Replica-Load: 0,0,1\r\n",
        "{\"entries\":[" + Entries + "]}"));
  };
}

void client(int Number, const std::string &Ip, int Port) {
  for (int Round = 0; !Stop; ++Round) {
    auto C = connection::to(Ip, Port);
    if (!C) {
      sleepMs(50);
      continue;
    }
    std::string Id = "c" + std::to_string(Number) + "-" + std::to_string(Round);
    sent_request Request{"m", "628,7",
                         "a1:119,b" + std::to_string(Number) + ":79",
                         "body of " + Id};
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Sent[Id] = Request;
    }
    C->send("POST /ask/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: " +
            Id + "\r\nX-Model: " + Request.Model + "\r\nX-Token-Count: " +
            Request.Tokens + "\r\nX-Prefix-Hash: " + Request.Prefix +
            "\r\nX-Pieces: 1\r\nX-Piece-Key: k" + Id +
            "\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer "
            "key-1\r\nContent-Length: " +
            std::to_string(Request.Body.size()) + "\r\n\r\n" + Request.Body);
    message Reply;
    bool Ended = C->read(Reply, clock::now() + milliseconds(7000));
    record::line("reply %s: status %d, %s", Id.c_str(), Reply.status(),
                 Ended ? "whole" : "cut");
    Whole += Ended && Reply.status() == 200 ? 1 : 0;
    sleepMs(20);
  }
}

} // namespace

int main(int, char **Arguments) {
  script Script(Arguments[1]);
  std::vector<std::string> Ips = {"127.32.1.1", "127.32.2.1", "127.32.3.1"};
  int Base = freePorts(Ips);
  store Store("127.32.9.1");
  Store.put(
      "config", "main",
      "{\"version\":7,\"routes\":[{\"name\":\"r-ask\",\"hostname\":"
      "\"crew.example\",\"path_prefix\":\"/ask/\",\"type\":\"stream\","
      "\"timeout_ms\":6000,\"goal_ms\":2700,\"priority\":1,\"service\":"
      "\"pool\",\"attempts\":1,\"stages\":[{\"service\":\"ledger\",\"after\":"
      "[],\"bytes\":8000}],\"public\":false,\"sticky\":true,\"resumable\":"
      "false,\"gap_goal_ms\":500}],\"services\":[" +
          serviceText("pool", true) +
          ",{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":"
          "270,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,"
          "\"queue\":2,\"batch\":8,\"call_ms\":40.0,\"item_ms\":2.0,\"room_"
          "mb\":"
          "9.6,\"handle_s\":4.0,\"link_mbps\":10000}}]," +
          limitsText() +
          ",\"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"key-1\"]}]}");
  std::vector<std::unique_ptr<replica>> Replicas;
  for (int I = 0; I < 3; ++I) {
    std::string Zone = "z" + std::to_string(I);
    std::string Last = std::to_string(I + 1);
    std::string Model = "i-pool-" + std::to_string(I);
    Replicas.push_back(std::make_unique<replica>(
        Store, "127.32.8." + Last, "pool", Model, Zone, modelHandler(Model)));
    std::string Ledger = "i-ledger-" + std::to_string(I);
    auto Address = std::make_shared<std::string>("127.32.7." + Last + ":80");
    Replicas.push_back(std::make_unique<replica>(
        Store, "127.32.7." + Last, "ledger", Ledger, Zone,
        ledgerHandler(Ledger, I == 0, Address)));
    *Address = Replicas.back()->address();
  }
  std::vector<std::string> Seeds;
  for (const std::string &Ip : Ips)
    Seeds.push_back(Ip + ":" + std::to_string(Base + 2));
  std::vector<std::unique_ptr<host>> Hosts;
  for (std::size_t I = 0; I < Ips.size(); ++I) {
    Hosts.push_back(std::make_unique<host>(
        "edge-" + std::to_string(I), Ips[I], "z" + std::to_string(I),
        Store.address(), Seeds, Script.Folder, Base));
    Hosts.back()->start();
  }
  for (auto &Host : Hosts)
    if (!Host->waitReady(10000))
      Script.end(2);
  std::vector<std::thread> Threads;
  for (int I = 0; I < Clients; ++I)
    Threads.emplace_back(client, I, Ips[I % Ips.size()], Base);
  long End = nowMs() + RunMs;
  while (nowMs() < End) {
    Trouble = Script.Trouble;
    sleepMs(GarbleMs);
    Trouble = false;
    sleepMs(PauseMs);
  }
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  sleepMs(300);
  record::line("whole %d, runs %d, spoiled answers %d; run and sent by no "
               "client %d, run and changed %d",
               Whole.load(), Runs.load(), Spoiled.load(), Foreign.load(),
               Changed.load());
  if (Whole < 200 || (Script.Trouble && Spoiled == 0))
    Script.end(2);
  Script.end(Foreign + Changed > 0 ? 1 : 0);
}
