// Rolling restart of three entry hosts while clients stream, each one request
// after the other on its open connection. Counts streams that a stopping host
// took more than three seconds after its SIGTERM, passed on, and cut.
#include "streams.h"

using namespace kit;

namespace {

constexpr int ClientsPerHost = 16;
constexpr long FirstMs = 80;
constexpr long GapMs = 45;
constexpr long DeadlineMs = 15000;
constexpr long GraceMs = 8000;
/// Sizes of the streams of a kind of request of the sheets, in events.
constexpr double MeanEvents = 41.6;
constexpr double SpreadEvents = 1.2;
constexpr int MaxEvents = 136;

struct machine {
  std::unique_ptr<host> Host;
  std::atomic<long> StoppedAt{-1};
};

std::vector<std::unique_ptr<machine>> Machines;
std::atomic<bool> Stop{false};
std::atomic<int> Whole{0};
std::atomic<int> Refused{0};
std::atomic<int> Cut{0};
std::atomic<int> CutEarly{0};
std::atomic<int> Other{0};

struct client {
  int Number;
  std::size_t At; // the machine
};

/// Sends one request on an open connection; false if that has ended.
bool call(client &Client, connection &C, int Round, std::mt19937 &Random) {
  double Sigma = std::sqrt(std::log(1 + SpreadEvents * SpreadEvents));
  std::lognormal_distribution<double> Size(
      std::log(MeanEvents) - Sigma * Sigma / 2, Sigma);
  int Events = std::clamp(static_cast<int>(Size(Random)), 1, MaxEvents);
  std::string Id =
      "c" + std::to_string(Client.Number) + "-" + std::to_string(Round);
  machine &Machine = *Machines[Client.At];
  long Sent = nowMs();
  if (!C.send("POST /ask/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: " +
              Id + "\r\nX-Model: m\r\nX-Token-Count: 628," +
              std::to_string(Events * TokensPerEvent) +
              "\r\nX-Prefix-Hash: a1:119,b" + std::to_string(Client.Number) +
              ":79,c" + std::to_string(Round) +
              ":430\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs) +
              "\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\n"
              "body"))
    return false;
  message Reply;
  clock::time_point Until = clock::now() + milliseconds(DeadlineMs);
  bool HeadRead = C.head(Reply, Until);
  bool Complete = HeadRead && C.body(Reply, Until);
  long StoppedAt = Machine.StoppedAt;
  bool Ran = !runs::of(Id).empty();
  record::line("reply %s from %s sent %ld: status %d, %s%s", Id.c_str(),
               Machine.Host->Name.c_str(), Sent, HeadRead ? Reply.status() : 0,
               Complete ? "whole" : "cut", Ran ? ", ran" : "");
  if (Complete) {
    ++(Reply.status() == 200 ? Whole : Refused);
  } else if (Ran && StoppedAt >= 0) {
    bool Late = Sent > StoppedAt + 3000 && Sent <= StoppedAt + GraceMs + 1000;
    ++(Late ? Cut : CutEarly);
    if (Late)
      record::line("BROKEN %s: sent %ld ms after the SIGTERM of %s, passed on, "
                   "%zu bytes of its answer, no end after %ld ms",
                   Id.c_str(), Sent - StoppedAt, Machine.Host->Name.c_str(),
                   Reply.Body.size(), nowMs() - Sent);
  } else if (Ran) {
    ++Other;
  }
  return Complete && !sameName(Reply.get("Connection"), "close");
}

void run(client Client) {
  std::mt19937 Random(static_cast<unsigned>(Client.Number));
  int Round = 0;
  while (!Stop) {
    auto C = connection::to(Machines[Client.At]->Host->Ip,
                            Machines[Client.At]->Host->Front);
    while (C && !Stop && call(Client, *C, ++Round, Random)) {
    }
    // The balancer sends new connections to a machine that is ready.
    for (std::size_t Try = 0; Try < Machines.size() && !Stop; ++Try) {
      Client.At = (Client.At + (Try > 0 ? 1 : 0)) % Machines.size();
      if (Machines[Client.At]->StoppedAt < 0)
        break;
    }
    sleepMs(20);
  }
}

} // namespace

int main(int, char **Arguments) {
  script Script(Arguments[1]);
  std::vector<std::string> Ips = {"127.30.1.1", "127.30.2.1", "127.30.3.1"};
  int Base = freePorts(Ips);
  store Store("127.30.9.1");
  Store.put("config", "main",
            "{\"version\":7,\"routes\":[{\"name\":\"r-ask\",\"hostname\":"
            "\"crew.example\",\"path_prefix\":\"/ask/\",\"type\":\"stream\","
            "\"timeout_ms\":15000,\"goal_ms\":2700,\"priority\":1,\"service\":"
            "\"pool\",\"attempts\":1,\"public\":false,\"sticky\":true,"
            "\"resumable\":false,\"gap_goal_ms\":500}],\"services\":[" +
                serviceText("pool", true) + "]," + limitsText() +
                ",\"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"key-1\"]}]}");
  std::vector<std::unique_ptr<replica>> Pool;
  for (int I = 0; I < 6; ++I) {
    std::string Id = "i-pool-" + std::to_string(I);
    Pool.push_back(std::make_unique<replica>(
        Store, "127.30.8." + std::to_string(I + 1), "pool", Id,
        "z" + std::to_string(I % 3), engineHandler(Id, FirstMs, GapMs)));
  }
  std::vector<std::string> Seeds;
  for (const std::string &Ip : Ips)
    Seeds.push_back(Ip + ":" + std::to_string(Base + 2));
  for (std::size_t I = 0; I < Ips.size(); ++I) {
    Machines.push_back(std::make_unique<machine>());
    Machines.back()->Host = std::make_unique<host>(
        "edge-" + std::to_string(I), Ips[I], "z" + std::to_string(I),
        Store.address(), Seeds, Script.Folder, Base);
    Machines.back()->Host->start();
  }
  for (auto &Machine : Machines)
    if (!Machine->Host->waitReady(10000)) {
      record::line("%s does not get ready", Machine->Host->Name.c_str());
      Script.end(2);
    }
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Ips.size() * ClientsPerHost; ++I)
    Threads.emplace_back(run, client{static_cast<int>(I), I % Ips.size()});
  sleepMs(8000);
  bool Odd = false;
  for (auto &Machine : Machines) {
    if (!Script.Trouble) {
      sleepMs(12000);
      continue;
    }
    Machine->StoppedAt = nowMs();
    Machine->Host->signal(SIGTERM);
    Odd = !Machine->Host->ended(GraceMs) || Odd;
    sleepMs(500);
    // Clients still write down what this process did with their requests.
    sleepMs(500);
    Machine->StoppedAt = -1;
    Machine->Host->start();
    Odd = !Machine->Host->waitReady(5000) || Odd;
    sleepMs(3500);
  }
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  record::line("whole %d, refused %d, cut by a stopping host: %d sent later "
               "than 3 s after its SIGTERM, %d sent before (not counted); cut "
               "otherwise %d",
               Whole.load(), Refused.load(), Cut.load(), CutEarly.load(),
               Other.load());
  if (Odd || Whole < 200)
    Script.end(2);
  Script.end(Cut > 0 ? 1 : 0);
}
