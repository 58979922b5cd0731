// Callers, faults, and what the answers and the servers' records have to say.
#include "jasminecroft/processes/serving_soak.h"

#include "jasminecroft/processes/local_fleet.h"
#include "jasminecroft/processes/soak_acts.h"
#include "jasminecroft/processes/soak_caller.h"
#include "jasminecroft/processes/soak_changes.h"
#include "jasminecroft/processes/users_fleet.h"

#include <atomic>
#include <csignal>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <sstream>

namespace jasminecroft::processes {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds Bound{8};
constexpr milliseconds LongestPause{700};
constexpr milliseconds CallerPause{15};
/// A host that was told to stop ends by itself within its grace.
constexpr std::chrono::seconds StopBound{10};
constexpr std::size_t CalmRequests = 8;
/// The users' bound for requests that cross the close of their connection.
constexpr milliseconds CrossingTime{200};
/// What the requests of a users_fleet state.
constexpr milliseconds Deadline{3'000};
/// Bounds of the users' rules: when hosts count again after faults, and when a
/// configuration is in force.
constexpr milliseconds StableTime{3'000};
constexpr milliseconds ConfigTime{2'000};
/// One of so many requests only asks which configuration is in force.
constexpr std::size_t ProbeShare = 6;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
/// Statuses that promise that the request has not run and never will.
bool guaranteesNotRun(unsigned Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

/// Task: as Once, and may be sent to more than one server. Draft: a stream that
/// may be resumed; Note: one that may not.
enum class soak_kind { Read, Once, Task, Draft, Note };
constexpr std::size_t Kinds = 5;

bool isStream(soak_kind Kind) {
  return Kind == soak_kind::Draft || Kind == soak_kind::Note;
}

bool mayRepeat(soak_kind Kind) {
  return Kind == soak_kind::Read || Kind == soak_kind::Draft;
}

struct soak_answer {
  std::string Id;
  soak_kind Kind = soak_kind::Read;
  http_reply Reply;
  /// The host's process lived, and the connection ended without a whole answer
  /// later than a close that crosses the request.
  bool Cut = false;
  /// The caller had waited for as long as it said.
  bool DeadlineOver = false;
};

class soak {
public:
  explicit soak(const soak_options &Options)
      : Options(Options), Random(Options.Seed),
        Servers(Options.Seed, Options.Servers),
        Fleet(
            Options.Hosts, true, [this] { return Servers.choose(); },
            Options.Zones),
        Changes(Fleet, Options.Seed), Runs(Options.Hosts),
        Served(Options.Hosts) {}

  soak_report run() {
    if (!Fleet.waitReady()) {
      broken("hosts are not ready after their start" + logs());
      return std::move(Report);
    }
    std::vector<std::thread> Callers;
    for (std::size_t Caller = 0; Caller < Options.Callers; ++Caller)
      Callers.emplace_back([this, Caller] { callUntilStopped(Caller); });
    steady::time_point End = steady::now() + Options.FaultTime;
    std::thread Changing([this, End] { changeUntil(End); });
    while (steady::now() < End) {
      faultOne();
      std::this_thread::sleep_for(pause(LongestPause));
    }
    Changing.join();
    calm();
    Stopping = true;
    for (std::thread &Caller : Callers)
      Caller.join();
    checkCalm();
    judge();
    return std::move(Report);
  }

private:
  struct fault {
    const char *Name;
    std::function<void()> Act;
  };

  milliseconds pause(milliseconds Longest) {
    return milliseconds(Random() % static_cast<std::uint64_t>(Longest.count()));
  }

  void broken(std::string What) { Report.Broken.push_back(std::move(What)); }

  /// The last lines of each host's log.
  std::string logs() {
    constexpr std::size_t LogTail = 400;
    std::string Text;
    for (std::size_t Host = 0; Host < Options.Hosts; ++Host) {
      std::string Log = Fleet.logOf(Host);
      Text += "\n  host " + std::to_string(Host) + ": " +
              Log.substr(Log.size() > LogTail ? Log.size() - LogTail : 0) +
              Fleet.errorsOf(Host);
    }
    return Text;
  }

  /// The lines of all hosts that name a request.
  std::string linesAbout(const std::string &Id) {
    std::string Text;
    for (std::size_t Host = 0; Host < Options.Hosts; ++Host) {
      std::istringstream Log(Fleet.logOf(Host));
      for (std::string Line; std::getline(Log, Line);)
        if (Line.find("\"request\":\"" + Id + "\"") != std::string::npos)
          Text += "\n    " + Line;
    }
    return Text;
  }

  std::string anyProxy() {
    std::uint64_t Number = Random();
    std::string Name;
    Fleet.on([&] {
      auto Chosen = Fleet.Proxies.begin();
      std::advance(Chosen, Number % Fleet.Proxies.size());
      Name = Chosen->first;
    });
    return Name;
  }

  // A proxy whose server has left has another name.
  void onProxy(const std::string &Name,
               const std::function<void(fault_proxy &)> &Act) {
    Fleet.on([&] {
      auto Found = Fleet.Proxies.find(Name);
      if (Found != Fleet.Proxies.end())
        Act(*Found->second);
    });
  }

  void addFault(std::string What) {
    std::lock_guard<std::mutex> Lock(FaultsMutex);
    Report.Faults.push_back(std::move(What));
  }

  // Planned changes overlap with faults.
  void changeUntil(steady::time_point End) {
    std::mt19937_64 Own(Options.Seed + 1);
    while (steady::now() < End) {
      addFault(Changes.step());
      std::this_thread::sleep_for(milliseconds(
          Own() % static_cast<std::uint64_t>(LongestPause.count())));
    }
    Changes.finish();
  }

  void faultOne() {
    std::size_t Host = Random() % Options.Hosts;
    std::string Name = anyProxy();
    const std::vector<fault> Faults = {
        {"pause", [&] { pauseHost(Host); }},
        {"kill", [&] { restartHost(Host, SIGKILL); }},
        {"stop", [&] { restartHost(Host, SIGTERM); }},
        {"hang up", [&] { Fleet.Processes[Host]->signal(SIGHUP); }},
        {"release", [&] { releaseHosts(Host); }},
        {"reset",
         [&] { onProxy(Name, [](fault_proxy &Proxy) { Proxy.resetAll(); }); }},
        {"silence",
         [&] {
           onProxy(Name,
                   [](fault_proxy &Proxy) { Proxy.setLoss(proxy_loss::Both); });
         }},
        {"one way",
         [&] {
           onProxy(Name, [](fault_proxy &Proxy) {
             Proxy.setLoss(proxy_loss::FromServer);
           });
         }},
        {"delay",
         [&] {
           onProxy(Name, [](fault_proxy &Proxy) {
             Proxy.setDelay(milliseconds(60));
           });
         }},
        {"cut between hosts",
         [&] {
           onProxy(users_fleet::peerProxy(Host),
                   [](fault_proxy &Proxy) { Proxy.setLoss(proxy_loss::Both); });
         }},
        {"heal", [&] { healProxies(); }},
        {"heal", [&] { healProxies(); }}};
    const fault &Chosen = Faults[Random() % Faults.size()];
    addFault(std::string(Chosen.Name) + " (host " + std::to_string(Host) +
             ", proxy of " + Name + ")");
    Chosen.Act();
  }

  void pauseHost(std::size_t Host) {
    Fleet.Processes[Host]->signal(SIGSTOP);
    std::this_thread::sleep_for(pause(LongestPause) + milliseconds(200));
    Fleet.Processes[Host]->signal(SIGCONT);
  }

  void restartHost(std::size_t Host, int Signal) {
    ++Runs[Host];
    Fleet.Processes[Host]->signal(Signal);
    std::optional<int> Exit = Fleet.Processes[Host]->waitExit(StopBound);
    if (Signal == SIGTERM && Exit != 0)
      broken("host " + std::to_string(Host) +
             " did not end well after SIGTERM, but with " +
             (Exit ? std::to_string(*Exit) : "nothing"));
    ++Runs[Host];
    Fleet.startHost(Host);
  }

  // Two hosts, one after the other.
  void releaseHosts(std::size_t First) {
    restartHost(First, SIGTERM);
    restartHost((First + 1) % Options.Hosts, SIGTERM);
  }

  void healProxies() {
    Fleet.on([this] {
      for (const std::pair<const std::string, std::unique_ptr<fault_proxy>>
               &Proxy : Fleet.Proxies) {
        Proxy.second->setLoss(proxy_loss::None);
        Proxy.second->setDelay(milliseconds(0));
      }
    });
  }

  unsigned probe(const std::string &Id, std::uint64_t Number,
                 std::size_t Host) {
    return processes::exchange(
               Fleet.call(soak_changes::routeOf(Number), Id, "key-1", Host),
               Bound)
        .Status;
  }

  // A host that has served by a version never refuses by an older one, as long
  // as its process lives.
  void probeVersion(const std::string &Id, std::size_t Host,
                    std::mt19937_64 &Own) {
    std::uint64_t Newest = Changes.version();
    if (Newest < 2)
      return;
    std::uint64_t Number = 2 + Own() % (Newest - 1);
    std::uint64_t Run = Runs[Host];
    bool WasServed = false;
    {
      std::lock_guard<std::mutex> Lock(AnswersMutex);
      WasServed = Served[Host].Run == Run && Served[Host].Version >= Number;
    }
    unsigned Status = probe(Id, Number, Host);
    if (Runs[Host] != Run)
      return;
    std::lock_guard<std::mutex> Lock(AnswersMutex);
    if (Status == StatusNotFound && WasServed)
      broken(Id + ": host " + std::to_string(Host) + " refuses route " +
             soak_changes::routeOf(Number) + " by an older configuration");
    if (Status != StatusOk)
      return;
    if (Served[Host].Run != Run)
      Served[Host] = {Run, Number};
    Served[Host].Version = std::max(Served[Host].Version, Number);
  }

  void checkVersions(const char *When) {
    for (std::size_t Host = 0; Host < Options.Hosts; ++Host) {
      unsigned Status = probe(std::string(When) + std::to_string(Host),
                              Changes.version(), Host);
      if (Status == StatusNotFound)
        broken("host " + std::to_string(Host) + " is behind version " +
               std::to_string(Changes.version()) + " " + When + logs());
    }
  }

  void calm() {
    healProxies();
    Fleet.on([this] { Servers.calm(); });
    steady::time_point Healed = steady::now();
    Changes.changeConfig();
    std::this_thread::sleep_until(Healed + StableTime);
    checkVersions("after-faults-");
    // Connections that went silent are found out by now.
    std::this_thread::sleep_until(Healed + std::chrono::seconds(5));
    Changes.changeConfig();
    std::this_thread::sleep_for(ConfigTime);
    checkVersions("in-calm-");
    if (!Fleet.waitReady())
      broken("hosts are not ready after the faults ended" + logs());
  }

  http_call callOf(const std::string &Id, soak_kind Kind,
                   std::size_t Host) const {
    http_call Call;
    switch (Kind) {
    case soak_kind::Read:
      Call = Fleet.call("read", Id, "key-1", Host);
      break;
    case soak_kind::Once:
      Call = Fleet.call("once", Id, "key-1", Host);
      break;
    case soak_kind::Task:
      Call = Fleet.call("task", Id, "key-1", Host);
      break;
    case soak_kind::Draft:
      Call = Fleet.draft(Id, Host);
      break;
    case soak_kind::Note:
      Call = Fleet.stream("note", Id, Host);
      break;
    }
    return Call;
  }

  soak_answer ask(const std::string &Id, soak_kind Kind, std::size_t Host) {
    return {Id, Kind, processes::exchange(callOf(Id, Kind, Host), Bound),
            false};
  }

  void callUntilStopped(std::size_t Caller) {
    std::mt19937_64 Own(Options.Seed * 1'000 + Caller);
    soak_caller Sender(Bound);
    for (std::size_t Number = 0; !Stopping; ++Number) {
      std::string Id =
          "c" + std::to_string(Caller) + "-" + std::to_string(Number);
      if (Own() % ProbeShare == 0)
        probeVersion("p" + Id, Own() % Options.Hosts, Own);
      soak_kind Kind = static_cast<soak_kind>(Own() % Kinds);
      std::size_t Host = Own() % Options.Hosts;
      std::uint64_t Run = Runs[Host];
      steady::time_point Sent = steady::now();
      std::optional<http_reply> Reply =
          Sender.send(callOf(Id, Kind, Host), Own);
      steady::duration Took = steady::now() - Sent;
      soak_answer Answer{Id, Kind, Reply.value_or(http_reply())};
      Answer.Cut = Reply && !Reply->whole() && Took > CrossingTime &&
                   Took < Bound - std::chrono::seconds(1) && Runs[Host] == Run;
      Answer.DeadlineOver = Took >= Deadline;
      {
        std::lock_guard<std::mutex> Lock(AnswersMutex);
        Answers.push_back(std::move(Answer));
      }
      std::this_thread::sleep_for(CallerPause);
    }
  }

  void checkCalm() {
    for (std::size_t Host = 0; Host < Options.Hosts; ++Host)
      for (std::size_t I = 0; I < CalmRequests; ++I) {
        std::string Id =
            "calm-" + std::to_string(Host) + "-" + std::to_string(I);
        soak_answer Answer = ask(Id, static_cast<soak_kind>(I % Kinds), Host);
        if (Answer.Reply.Status != StatusOk)
          broken(Id + " gets " + std::to_string(Answer.Reply.Status) +
                 " after the faults ended");
        Answers.push_back(std::move(Answer));
      }
  }

  void judge() {
    std::map<std::string, std::size_t> Ran;
    Fleet.on([&] {
      for (const std::pair<const std::string,
                           std::unique_ptr<standins::users_backend>> &Backend :
           Fleet.Backends)
        for (const std::string &Id : Backend.second->ran())
          ++Ran[Id];
    });
    for (const soak_answer &Answer : Answers) {
      ++Report.Requests;
      std::size_t Times = Ran.contains(Answer.Id) ? Ran[Answer.Id] : 0;
      unsigned Status = Answer.Reply.Status;
      Report.Served += Status == StatusOk ? 1 : 0;
      Report.Refused += guaranteesNotRun(Status) ? 1 : 0;
      Report.Unanswered += Status == 0 ? 1 : 0;
      if (Answer.Cut)
        judgeCut(Answer, Times);
      if (!mayRepeat(Answer.Kind)) {
        ++Report.AtMostOnce;
        if (Times > 1) {
          ++Report.RanTwice;
          broken(Answer.Id + " ran " + std::to_string(Times) + " times" +
                 linesAbout(Answer.Id));
        }
      }
      if (Answer.Kind != soak_kind::Read && guaranteesNotRun(Status) &&
          Times > 0) {
        Report.RefusedAndRan += mayRepeat(Answer.Kind) ? 0 : 1;
        broken(Answer.Id + " got " + std::to_string(Status) + ", but ran" +
               linesAbout(Answer.Id));
      }
      if (Status == StatusOk)
        judgeServed(Answer, Times);
    }
  }

  // A stream whose server broke off, or is silent until the deadline, ends with
  // its connection.
  void judgeCut(const soak_answer &Answer, std::size_t Ran) {
    std::string Lines = linesAbout(Answer.Id);
    bool Ended =
        Answer.DeadlineOver || Lines.find("\"event\":211") != std::string::npos;
    bool ByServer = isStream(Answer.Kind) && Ended &&
                    Lines.find("answer_broken") != std::string::npos;
    if (!ByServer)
      broken(Answer.Id + " ran " + std::to_string(Ran) +
             " times and got no answer" + Lines);
  }

  void judgeServed(const soak_answer &Answer, std::size_t Ran) {
    if (Ran == 0)
      broken(Answer.Id + " was served, but ran nowhere");
    const std::string &Body = Answer.Reply.Body;
    if (!isStream(Answer.Kind)) {
      if (Body.find("\"id\":\"" + Answer.Id + "\"") == std::string::npos)
        broken(Answer.Id + " got another answer: " + Body);
      return;
    }
    std::size_t At = 0;
    for (const char *Event : {"id: 1\n", "id: 2\n", "id: 3\n"}) {
      At = Body.find(Event, At);
      if (At == std::string::npos) {
        broken(Answer.Id + " got a stream with a hole: " + Body);
        return;
      }
    }
    for (const char *Piece : {".1.0", ".1.1"})
      if (Body.find("/" + Answer.Id + Piece) == std::string::npos)
        broken(Answer.Id + " was run without its own inputs: " + Body);
  }

  soak_options Options;
  std::mt19937_64 Random;
  soak_acts Servers;
  users_fleet Fleet;
  soak_changes Changes;
  /// Changes at each end and each start of a host.
  std::vector<std::atomic<std::uint64_t>> Runs;
  struct served_version {
    std::uint64_t Run = 0;
    std::uint64_t Version = 0;
  };
  /// The newest version that each host has served by.
  std::vector<served_version> Served;
  std::atomic<bool> Stopping = false;
  std::mutex AnswersMutex;
  std::mutex FaultsMutex;
  std::vector<soak_answer> Answers;
  soak_report Report;
};

} // namespace

soak_report runSoak(const soak_options &Options) { return soak(Options).run(); }

} // namespace jasminecroft::processes
