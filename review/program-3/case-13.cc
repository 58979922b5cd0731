// Another writer puts one entry beside those of the replicas: a copy of one of
// them, under its id with a line break behind it. Counts bookings that a
// replica runs with another body or tenant than their clients sent.
#include "streams.h"

using namespace kit;

namespace {

constexpr int Clients = 24;
constexpr long CalmMs = 3000;
constexpr long RunMs = 15000;

std::mutex Mutex;
std::map<std::string, std::string> Sent;
std::atomic<int> Runs{0};
std::atomic<int> Changed{0};
std::atomic<int> Whole{0};
std::atomic<int> Other{0};
std::atomic<bool> Stop{false};

/// A sound server: strict in what it takes for a request, and it runs what it
/// is asked for.
replica::handler deskHandler(const std::string &Id) {
  return [Id](connection &C, const message &Request) {
    std::size_t Version = Request.First.rfind(" HTTP/1.1");
    if (Version == std::string::npos || Request.target().empty() ||
        Request.target().front() != '/') {
      record::line("400 at %s for '%s'", Id.c_str(), Request.First.c_str());
      C.send(answer(400, "Connection: close\r\n", ""));
      return false;
    }
    std::string Name = Request.get("X-Request-Id");
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      auto Found = Sent.find(Name);
      ++Runs;
      bool Same = Found != Sent.end() && Request.Body == Found->second &&
                  Request.get("X-Tenant") == "w1" &&
                  Request.First == "POST /order/x HTTP/1.1";
      Changed += Same ? 0 : 1;
      record::line("%s '%s' at %s: %s, tenant '%s', body '%s'",
                   Same ? "run  " : "BROKEN", Name.c_str(), Id.c_str(),
                   Request.First.c_str(), Request.get("X-Tenant").c_str(),
                   Request.Body.c_str());
    }
    sleepMs(20);
    return C.send(answer(200,
                         "X-Request-Id: " + Name + "\r\nX-Replica-Stamp: " +
                             Id + "." + Name + "\r\nX-Replica-Load: 1,0,6\r\n",
                         "booked"));
  };
}

void client(int Number, const std::string &Ip, int Port) {
  std::unique_ptr<connection> C;
  for (int Round = 0; !Stop; ++Round) {
    if (!C)
      C = connection::to(Ip, Port);
    if (!C) {
      sleepMs(50);
      continue;
    }
    std::string Id = "c" + std::to_string(Number) + "-" + std::to_string(Round);
    std::string Body = "booking " + Id;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Sent[Id] = Body;
    }
    C->send(
        "POST /order/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + Id +
        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer "
        "key-1\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body);
    message Reply;
    bool Ended = C->read(Reply, clock::now() + milliseconds(2000));
    record::line("reply %s: status %d, %s", Id.c_str(), Reply.status(),
                 Ended ? "whole" : "cut");
    ++(Ended && Reply.status() == 200 ? Whole : Other);
    if (!Ended || sameName(Reply.get("Connection"), "close"))
      C.reset();
    sleepMs(30);
  }
}

} // namespace

int main(int, char **Arguments) {
  script Script(Arguments[1]);
  std::vector<std::string> Ips = {"127.39.1.1", "127.39.2.1", "127.39.3.1"};
  int Base = freePorts(Ips);
  store Store("127.39.9.1");
  Store.put("config", "main",
            "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"hostname\":"
            "\"desk.example\",\"path_prefix\":\"/order/\",\"type\":"
            "\"non_idempotent\",\"timeout_ms\":800,\"goal_ms\":150,"
            "\"priority\":2,\"service\":\"desk\",\"attempts\":1,\"public\":"
            "false,\"sticky\":false,\"resumable\":false}],\"services\":[" +
                serviceText("desk", false) + "]," + limitsText() +
                ",\"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"key-1\"]}]}");
  std::vector<std::unique_ptr<replica>> Desk;
  for (int I = 0; I < 3; ++I) {
    std::string Id = "i-desk-" + std::to_string(I);
    Desk.push_back(std::make_unique<replica>(
        Store, "127.39.8." + std::to_string(I + 1), "desk", Id,
        "z" + std::to_string(I), deskHandler(Id)));
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
  sleepMs(CalmMs);
  if (Script.Trouble) {
    Store.put("servers", "i-desk-0\r\n", Desk[0]->spec("ready"));
    record::line("another writer's entry: 'i-desk-0\\r\\n'");
  }
  sleepMs(RunMs);
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  record::line("whole %d, other answers %d, runs %d, changed %d", Whole.load(),
               Other.load(), Runs.load(), Changed.load());
  if (Whole < 200)
    Script.end(2);
  Script.end(Changed > 0 ? 1 : 0);
}
