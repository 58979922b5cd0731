// Several stages need the results of one stage. The server that holds these
// results crashes, and the entry host that owns the queue of one of the later
// stages is killed. Every call for a piece of a later stage has to name all
// results that it needs.
#include "small_fleet.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <optional>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t FirstPieces = 2;
/// Stages that need the results of the first one.
constexpr int LaterStages = 2;
constexpr int FirstServers = 4;
constexpr int HostCount = 6;
constexpr int WarmUpRounds = 6;
constexpr int RoundsBefore = 8;
constexpr int RoundsAfter = 12;
/// Rounds after a kill until the process of the host starts again.
constexpr int RestartRound = 4;
constexpr int Troubles = 6;
constexpr int RequestsPerRound = 6;
/// In the round of the trouble, so that jobs wait.
constexpr int MostRequests = 16;
constexpr milliseconds Round{500};
/// The trouble comes when a server holds the results of so many requests whose
/// later stages have not begun.
constexpr std::size_t WaitingRequests = 3;
constexpr milliseconds LongestWait{3'000};
/// Three heartbeats of silence.
constexpr milliseconds EntryLifetime{3'600};

std::string stagePool(const std::string &Name, int Batch, int CallMs,
                      int PieceMs) {
  return R"({"name":")" + Name +
         R"(","max_conns":270,"pieces":{"slots":1,"queue":2,"batch":)" +
         std::to_string(Batch) + "," + R"("call_ms":)" +
         std::to_string(CallMs) + R"(,"item_ms":)" + std::to_string(PieceMs) +
         R"(,"room_mb":16,"handle_s":4,)" + R"("link_mbps":10000}})";
}

std::string config() {
  std::string Text = R"({"version":3,"routes":[{"name":"survey",
   "hostname":"localhost","path_prefix":"/survey/","type":"stream",
   "timeout_ms":12000,"goal_ms":6000,"gap_goal_ms":500,"priority":0,
   "service":"engine","attempts":1,"public":true,"sticky":true,
   "resumable":false,"stages":[{"service":"member","after":[],"bytes":800000})";
  for (int Next = 1; Next <= LaterStages; ++Next)
    Text += R"(,{"service":"later-)" + std::to_string(Next) +
            R"(","after":[0],"bytes":60000})";
  Text += R"(]}],"services":[{"name":"engine","max_conns":270,
    "engine":{"slots":64,"kv_cap_tokens":400000}},)" +
          stagePool("member", 8, 400, 26);
  for (int Next = 1; Next <= LaterStages; ++Next)
    Text += "," + stagePool("later-" + std::to_string(Next), 4, 240, 15);
  return Text + R"(],"limits":{"max_header_bytes":16384,
    "max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000}})";
}

class callers {
public:
  explicit callers(small_fleet &Fleet) : Fleet(Fleet) {}
  ~callers() {
    for (std::thread &Thread : Threads)
      Thread.join();
  }
  callers(const callers &) = delete;
  callers &operator=(const callers &) = delete;

  void send(const host &Host) {
    std::string Id = "r" + std::to_string(++Last);
    http_call Call{Host.Callers, "POST", "/survey/x",
                   "X-Request-Id: " + Id +
                       "\r\nX-Deadline-Ms: 12000\r\nX-Model: m\r\n"
                       "X-Token-Count: 300,20\r\nX-Prefix-Hash: " +
                       Id.substr(1) +
                       ":300\r\nX-Pieces: " + std::to_string(FirstPieces) +
                       ",1,1\r\nX-Piece-Key: k" + Id + "\r\n",
                   "body"};
    Fleet.Record.write("request " + Id + " sent to " + Host.Name);
    Threads.emplace_back([this, Id, Call] {
      http_reply Reply = jasminecroft::processes::exchange(Call, seconds(14));
      Fleet.Record.write("request " + Id + " is answered " +
                         (Reply.whole() ? std::to_string(Reply.Status)
                                        : std::string("nothing whole")));
      Served += Reply.Status == 200 ? 1 : 0;
    });
  }

  std::atomic<int> Served = 0;
  int sent() const { return Last; }

private:
  small_fleet &Fleet;
  int Last = 0;
  std::vector<std::thread> Threads;
};

// The pools whose queues a host owns, from its log of finished calls.
std::set<std::string> ownedBy(const small_fleet &Fleet, const host &Host) {
  std::set<std::string> Pools;
  std::string Log = Fleet.logOf(Host);
  for (int Next = 1; Next <= LaterStages; ++Next) {
    std::string Pool = "later-" + std::to_string(Next);
    if (Log.find("batch completed") != std::string::npos &&
        Log.find("\"pool\":\"" + Pool + "\"") != std::string::npos)
      Pools.insert(Pool);
  }
  return Pools;
}

// Waits until a server of the first stage holds the results of a few requests
// whose later stages have not begun; returns that server.
std::string awaitWaiting(small_fleet &Fleet,
                         const std::set<std::string> &Begun) {
  std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + LongestWait;
  std::string Best = "member-0";
  std::size_t Most = 0;
  while (Most < WaitingRequests && std::chrono::steady_clock::now() < End) {
    std::this_thread::sleep_for(milliseconds(2));
    Fleet.on([&] {
      std::map<std::string, std::set<std::string>> Waiting;
      for (const auto &[Handle, Result] : Fleet.Results)
        if (Result.Stage == 0 && !Begun.contains(Result.Request))
          Waiting[Result.Server].insert(Result.Request);
      Most = 0;
      for (const auto &[Server, Requests] : Waiting)
        if (Requests.size() > Most) {
          Most = Requests.size();
          Best = Server;
        }
    });
  }
  Fleet.Record.write(Best + " holds results of " + std::to_string(Most) +
                     " requests whose later stages have not begun");
  return Best;
}

} // namespace

int main(int Count, char **Words) {
  case_arguments Arguments = readArguments(Count, Words);
  small_fleet Fleet(Arguments, config());
  std::atomic<int> WithoutInputs = 0;
  // Requests of which a server was asked for a piece of a later stage; used on
  // the stand-ins' thread.
  std::set<std::string> Begun;
  backend::entry_handler Check = [&](const backend &Server,
                                     const piece_entry &Entry) {
    if (Entry.Stage != 0)
      Begun.insert(Entry.Request);
    if (Entry.Stage == 0 || Entry.Inputs.size() == FirstPieces)
      return;
    ++WithoutInputs;
    Fleet.Record.write("BROKEN: " + Server.options().Id +
                       " is asked for a piece of stage " +
                       std::to_string(Entry.Stage) + " of " + Entry.Request +
                       " with " + std::to_string(Entry.Inputs.size()) +
                       " inputs instead of " + std::to_string(FirstPieces));
  };
  for (int Number = 0; Number < 2; ++Number)
    Fleet.addServer({"engine-" + std::to_string(Number), "engine", "z"}, Check);
  auto AddFirst = [&](int Number) {
    Fleet.addServer({"member-" + std::to_string(Number), "member", "z", 1,
                     milliseconds(400), milliseconds(26)},
                    Check);
  };
  for (int Number = 0; Number < FirstServers; ++Number)
    AddFirst(Number);
  for (int Next = 1; Next <= LaterStages; ++Next)
    Fleet.addServer({"later-" + std::to_string(Next) + "-0",
                     "later-" + std::to_string(Next), "z"},
                    Check);
  for (int Number = 1; Number <= HostCount; ++Number)
    Fleet.addHost("edge-" + std::to_string(Number), "z");
  if (!Fleet.waitReady(seconds(20))) {
    Fleet.Record.write("the hosts are not ready");
    return 2;
  }
  host *Owner = nullptr;
  {
    callers Callers(Fleet);
    for (int Number = 0; Number < WarmUpRounds; ++Number) {
      for (const std::unique_ptr<host> &Host : Fleet.Hosts)
        Callers.send(*Host);
      std::this_thread::sleep_for(Round);
    }
  }
  for (const std::unique_ptr<host> &Host : Fleet.Hosts) {
    std::set<std::string> Pools = ownedBy(Fleet, *Host);
    std::string Text;
    for (const std::string &Pool : Pools)
      Text += " " + Pool;
    Fleet.Record.write("queues of " + Host->Name + ":" + Text);
    if (!Owner && !Pools.empty() && Pools.size() < LaterStages)
      Owner = Host.get();
  }
  if (!Owner)
    return 2;
  {
    callers Callers(Fleet);
    std::size_t Next = 0;
    auto SendRound = [&](int Requests) {
      for (int Number = 0; Number < Requests; ++Number) {
        if (Fleet.Hosts[Next].get() == Owner)
          Next = (Next + 1) % Fleet.Hosts.size();
        Callers.send(*Fleet.Hosts[Next]);
        Next = (Next + 1) % Fleet.Hosts.size();
      }
    };
    // The same trouble a few times, with time to recover: the process of the
    // host starts again, and another server comes for the one that crashed.
    for (int Time = 0; Time < Troubles; ++Time) {
      for (int Number = 0; Number < RoundsBefore; ++Number) {
        SendRound(RequestsPerRound);
        std::this_thread::sleep_for(Round);
      }
      SendRound(MostRequests);
      std::string Holder = awaitWaiting(Fleet, Begun);
      if (Arguments.Trouble) {
        Fleet.crashServer(Holder);
        Owner->Process->signal(SIGKILL);
        Fleet.Record.write("host " + Owner->Name + " is killed");
      }
      std::chrono::steady_clock::time_point Removal =
          std::chrono::steady_clock::now() + EntryLifetime;
      for (int Number = 0; Number < RoundsAfter; ++Number) {
        SendRound(RequestsPerRound);
        std::this_thread::sleep_for(Round);
        if (!Arguments.Trouble)
          continue;
        if (Number == RestartRound)
          Fleet.startHost(*Owner);
        if (std::chrono::steady_clock::now() >= Removal) {
          Fleet.removeEntry(Holder);
          AddFirst(FirstServers + Time);
          Removal = std::chrono::steady_clock::time_point::max();
        }
      }
    }
    std::this_thread::sleep_for(seconds(6));
    Fleet.Record.write(std::to_string(Callers.Served) + " of " +
                       std::to_string(Callers.sent()) + " served so far");
  }
  Fleet.Record.write(std::to_string(WithoutInputs) +
                     " pieces were asked for without all results that they "
                     "need");
  return WithoutInputs > 0 ? 1 : 0;
}
