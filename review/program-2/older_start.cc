// A server crashes and starts again under its id while the clock of its machine
// jumps back, so that it states an earlier start than before. Later it drains
// as planned: no request may reach it from drain_ms after the store has
// accepted its report.
#include "small_fleet.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <sstream>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds WorkTime{30};
constexpr std::size_t AnswerBytes = 800;
/// The largest step of a clock in the site file.
constexpr milliseconds ClockStep{2'400};
constexpr milliseconds RunsBeforeCrash{1'000};
constexpr milliseconds Down{600};
constexpr milliseconds DrainTime{2'000};
constexpr seconds ServesOn{6};
constexpr milliseconds RequestGap{40};
constexpr const char *Restarted = "orders-0";

constexpr const char *Config = R"({"version":3,"routes":[{"name":"work-order",
  "hostname":"localhost","path_prefix":"/work-order/",
  "type":"non_idempotent","timeout_ms":800,"goal_ms":150,"priority":2,
  "service":"orders-desk","attempts":1,"public":true}],
  "services":[{"name":"orders-desk","max_conns":48}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::int64_t steadyMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A process of its own: a sound server that notes in a file what reaches it.
int runServer(const std::string &Id, const std::string &Port,
              const std::string &File) {
  boost::asio::io_context Context;
  std::ofstream Arrivals(File, std::ios::app);
  std::unique_ptr<http_server> Server = jasminecroft::standins::serveHttp(
      Context, "127.0.0.1:" + Port, [&](const exchange_ptr &Exchange) {
        std::string_view Expected = Exchange->header("X-Expect-Replica");
        if (!Expected.empty() && Expected != Id) {
          Exchange->respond(
              421, "", "X-Not-Executed: 1\r\nX-Replica-Id: " + Id + "\r\n");
          return;
        }
        std::string Request(Exchange->header("X-Request-Id"));
        Arrivals << steadyMs() << ' ' << Request << std::endl;
        std::shared_ptr<boost::asio::steady_timer> Timer =
            std::make_shared<boost::asio::steady_timer>(Context, WorkTime);
        Timer->async_wait(
            [Timer, Exchange, Id, Request](boost::system::error_code) {
              Exchange->respond(200, std::string(AnswerBytes, 'x'),
                                "X-Request-Id: " + Request +
                                    "\r\nX-Replica-Stamp: " + Id + "." +
                                    Request + "\r\nX-Replica-Load: 1,0,6\r\n");
            });
      });
  Context.run();
  return 0;
}

struct server_process {
  std::string Id;
  std::uint16_t Port = 0;
  std::unique_ptr<child_process> Process;
};

class deployment {
public:
  deployment(const case_arguments &Arguments, const std::string &Self)
      : Fleet(Arguments, Config), Folder(Arguments.Folder), Self(Self) {}

  void start(server_process &Server) {
    Server.Process = std::make_unique<child_process>(
        Self,
        std::vector<std::string>{"--server", Server.Id,
                                 std::to_string(Server.Port), file(Server.Id)},
        Folder + "/" + Server.Id + ".err");
  }

  void list(const server_process &Server, const std::string &State,
            std::int64_t Born) {
    Fleet.on([&] {
      Fleet.Store->put(
          "servers", Server.Id,
          boost::json::object{
              {"service", "orders-desk"},
              {"address", "127.0.0.1:" + std::to_string(Server.Port)},
              {"az", "z"},
              {"version", "v1"},
              {"slots", 6},
              {"state", State},
              {"born", Born},
              {"cold_left_ms", 0},
              {"seq", 1}});
    });
    Fleet.Record.write("entry of " + Server.Id + ": " + State + ", born " +
                       std::to_string(Born));
  }

  std::string file(const std::string &Id) const {
    return Folder + "/" + Id + ".arrivals";
  }

  // Requests to the hosts in turn for a time.
  void callFor(milliseconds Time) {
    std::vector<std::thread> Threads;
    std::chrono::steady_clock::time_point End =
        std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      std::string Id = "w" + std::to_string(++Sent);
      const host &Host = *Fleet.Hosts[Sent % Fleet.Hosts.size()];
      http_call Call{Host.Callers, "POST", "/work-order/x",
                     "X-Request-Id: " + Id + "\r\nX-Deadline-Ms: 1500\r\n",
                     "order"};
      Threads.emplace_back([this, Id, Call, Name = Host.Name] {
        http_reply Reply = jasminecroft::processes::exchange(Call, seconds(3));
        Fleet.Record.write("request " + Id + " through " + Name + ": " +
                           (Reply.whole() ? std::to_string(Reply.Status)
                                          : std::string("nothing whole")));
        Lost += Reply.Status == 502 || Reply.Status == 504 || !Reply.whole();
      });
      std::this_thread::sleep_for(RequestGap);
    }
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  small_fleet Fleet;
  std::atomic<int> Lost = 0;

private:
  std::string Folder;
  std::string Self;
  int Sent = 0;
};

} // namespace

int main(int Count, char **Words) {
  if (Count == 5 && std::string(Words[1]) == "--server")
    return runServer(Words[2], Words[3], Words[4]);
  case_arguments Arguments = readArguments(Count, Words);
  deployment Users(Arguments, Words[0]);
  std::vector<server_process> Servers(4);
  for (std::size_t Number = 0; Number < Servers.size(); ++Number) {
    Servers[Number].Id = "orders-" + std::to_string(Number);
    Servers[Number].Port = freePort();
  }
  for (const char *Name : {"edge-1", "edge-2"})
    Users.Fleet.addHost(Name, "z");
  for (std::size_t Number = 1; Number < Servers.size(); ++Number) {
    Users.start(Servers[Number]);
    Users.list(Servers[Number], "ready", unixMs());
  }
  if (!Users.Fleet.waitReady(seconds(20)))
    return 2;
  server_process &Server = Servers.front();
  Users.start(Server);
  std::this_thread::sleep_for(milliseconds(200));
  std::int64_t Born = unixMs() + (Arguments.Trouble ? ClockStep.count() : 0);
  Users.list(Server, "ready", Born);
  Users.callFor(RunsBeforeCrash);
  if (Arguments.Trouble) {
    Server.Process.reset();
    Users.Fleet.Record.write(Server.Id + " crashes");
    Users.callFor(Down);
    Users.start(Server);
    std::this_thread::sleep_for(milliseconds(200));
    Users.Fleet.Record.write(Server.Id +
                             " starts again; the clock of its machine is back");
    Born = unixMs();
    Users.list(Server, "ready", Born);
  }
  Users.callFor(seconds(5));
  Users.list(Server, "draining", Born);
  std::int64_t Accepted = steadyMs();
  Users.callFor(ServesOn);
  Server.Process.reset();
  Users.Fleet.Record.write(Server.Id + " exits");
  Users.Fleet.removeEntry(Server.Id);
  Users.callFor(seconds(2));
  int Late = 0;
  int Before = 0;
  std::ifstream Arrivals(Users.file(Restarted));
  std::int64_t At = 0;
  std::string Request;
  while (Arrivals >> At >> Request) {
    if (At <= Accepted + DrainTime.count()) {
      ++Before;
      continue;
    }
    ++Late;
    Users.Fleet.Record.write("BROKEN: request " + Request + " reached " +
                             Server.Id + " " + std::to_string(At - Accepted) +
                             " ms after the store accepted that it drains");
  }
  Users.Fleet.Record.write(
      std::to_string(Before) + " requests reached " + Server.Id +
      " until drain_ms, " + std::to_string(Late) + " later; " +
      std::to_string(Users.Lost) + " requests got 502, 504 or nothing");
  return Late > 0 ? 1 : 0;
}
