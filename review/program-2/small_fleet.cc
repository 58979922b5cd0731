// Processes, entries and stand-ins of the small deployment.
#include "small_fleet.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxWaitingCalls = 2;
constexpr milliseconds FirstEventTime{20};
constexpr milliseconds EventGap{20};

std::string textOf(const json::value &Value) {
  return {Value.as_string().data(), Value.as_string().size()};
}

piece_entry readEntry(const json::value &Value) {
  const json::object &Object = Value.as_object();
  piece_entry Entry;
  Entry.Request = textOf(Object.at("id"));
  Entry.Stage = Object.at("stage").to_number<std::int64_t>();
  Entry.Piece = Object.at("piece").to_number<std::int64_t>();
  if (const json::value *Key = Object.if_contains("key")) {
    Entry.HasKey = true;
    Entry.Key = textOf(*Key);
  }
  if (const json::value *Inputs = Object.if_contains("inputs"))
    for (const json::value &Input : Inputs->as_array())
      Entry.Inputs.push_back(textOf(Input));
  return Entry;
}

} // namespace

case_arguments readArguments(int Count, char **Words) {
  if (Count != 5) {
    std::fprintf(stderr, "usage: %s DAEMON FOLDER RECORD 0|1\n", Words[0]);
    std::exit(2);
  }
  return {Words[1], Words[2], Words[3], std::string(Words[4]) != "0"};
}

case_record::case_record(const std::string &File) : Stream(File) {}

double case_record::seconds() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

void case_record::write(const std::string &Line) {
  char Time[32];
  std::snprintf(Time, sizeof Time, "%8.3f s  ", seconds());
  std::lock_guard<std::mutex> Lock(Mutex);
  Stream << Time << Line << std::endl;
}

std::uint16_t freePort() {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof Address;
  std::uint16_t Port = 0;
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length) == 0 &&
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) ==
          0)
    Port = ntohs(Address.sin_port);
  ::close(Socket);
  return Port;
}

backend::backend(boost::asio::io_context &Context, server_options Options,
                 stage_results &Results, case_record &Record,
                 entry_handler OnEntry)
    : Context(Context), Options(std::move(Options)), Results(Results),
      Record(Record), OnEntry(std::move(OnEntry)),
      Server(jasminecroft::standins::serveHttp(
          Context, "127.0.0.1:0",
          [this](const exchange_ptr &Exchange) { onRequest(Exchange); })),
      Proxy(std::make_unique<fault_proxy>(Context, Server->port())) {}

void backend::crash() {
  Proxy.reset();
  Calls.clear();
  std::erase_if(Results, [this](const auto &Result) {
    return Result.second.Server == Options.Id;
  });
}

void backend::later(milliseconds Time, std::function<void()> Action) {
  std::shared_ptr<boost::asio::steady_timer> Timer =
      std::make_shared<boost::asio::steady_timer>(Context, Time);
  Timer->async_wait([this, Timer, Action = std::move(Action)](
                        boost::system::error_code Error) {
    if (!Error && !crashed())
      Action();
  });
}

void backend::onRequest(const exchange_ptr &Exchange) {
  if (crashed())
    return;
  std::string_view Expected = Exchange->header("X-Expect-Replica");
  std::string_view Target = Exchange->target();
  if (!Expected.empty() && Expected != Options.Id)
    Exchange->respond(
        421, "", "X-Not-Executed: 1\r\nX-Replica-Id: " + Options.Id + "\r\n");
  else if (Target == "/stage-run")
    onPieces(Exchange);
  else if (Target == "/stage-free")
    onFree(Exchange);
  else if (Target == "/report")
    onReport(Exchange);
  else if (Exchange->header("X-Model").empty())
    onPlain(Exchange);
  else
    onStream(Exchange);
}

void backend::onPlain(const exchange_ptr &Exchange) {
  std::string Id(Exchange->header("X-Request-Id"));
  later(Options.Work, [this, Exchange, Id] {
    Exchange->respond(200, "{}",
                      "X-Request-Id: " + Id +
                          "\r\nX-Replica-Stamp: " + Options.Id + "." + Id +
                          "\r\nX-Replica-Load: 1,0,6\r\n");
  });
}

void backend::onReport(const exchange_ptr &Exchange) {
  Exchange->respond(200, json::serialize(json::object{{"busy", Busy},
                                                      {"queued", Calls.size()},
                                                      {"free_mb", 16.0}}));
}

void backend::onFree(const exchange_ptr &Exchange) {
  const json::value Body = json::parse(Exchange->body());
  for (const json::value &Handle : Body.at("handles").as_array())
    Results.erase(textOf(Handle));
  Exchange->respond(200, "{}");
}

void backend::onPieces(const exchange_ptr &Exchange) {
  if (Busy && Calls.size() >= MaxWaitingCalls) {
    Exchange->respond(503, "", "X-Not-Executed: 1\r\n");
    return;
  }
  Calls.push_back(Exchange);
  if (!Busy)
    startCall();
}

// At its turn a call fetches the inputs of its entries; an entry whose inputs
// do not all exist is not made.
void backend::startCall() {
  if (Calls.empty())
    return;
  Busy = true;
  exchange_ptr Exchange = Calls.front();
  Calls.pop_front();
  json::array Answers;
  std::vector<std::pair<std::string, stage_result>> Made;
  milliseconds Time = Options.CallTime;
  const json::value Body = json::parse(Exchange->body());
  for (const json::value &Value : Body.at("entries").as_array()) {
    piece_entry Entry = readEntry(Value);
    bool Exist = true;
    for (const std::string &Input : Entry.Inputs)
      Exist = Exist && Results.contains(Input);
    Record.write(Options.Id + " (" + Options.Pool + ") is asked for request " +
                 Entry.Request + " stage " + std::to_string(Entry.Stage) +
                 " piece " + std::to_string(Entry.Piece) + ", inputs " +
                 std::to_string(Entry.Inputs.size()) +
                 (Entry.HasKey ? ", key \"" + Entry.Key + "\"" : "") +
                 (Exist ? ": runs it" : ": an input is gone"));
    if (OnEntry)
      OnEntry(*this, Entry);
    if (!Exist) {
      Answers.push_back(json::object{{"reason", "gone"}});
      continue;
    }
    Time += Options.PieceTime;
    std::string Handle = "127.0.0.1:" + std::to_string(Proxy->port()) + "/" +
                         std::to_string(++LastResult);
    Made.emplace_back(Handle,
                      stage_result{Options.Id, Entry.Request, Entry.Stage});
    Answers.push_back(json::object{{"handle", Handle}});
  }
  std::string Text =
      json::serialize(json::object{{"entries", std::move(Answers)}});
  later(Time, [this, Exchange, Text, Made] {
    Results.insert(Made.begin(), Made.end());
    Exchange->respond(200, Text, "X-Replica-Load: 0,0,1\r\n");
    Busy = false;
    startCall();
  });
}

void backend::onStream(const exchange_ptr &Exchange) {
  std::string Id(Exchange->header("X-Request-Id"));
  std::string Inputs(Exchange->header("X-Inputs"));
  bool Exist = !Inputs.empty();
  for (std::string Rest = Inputs; !Rest.empty();) {
    std::size_t Comma = Rest.find(',');
    Exist = Exist && Results.contains(Rest.substr(0, Comma));
    Rest = Comma == std::string::npos ? "" : Rest.substr(Comma + 1);
  }
  Record.write(Options.Id + " (" + Options.Pool + ") gets request " + Id +
               " with inputs " + Inputs + (Exist ? "" : ": one is gone"));
  if (!Exist) {
    Exchange->respond(Inputs.empty() ? 400 : 409, "",
                      "X-Not-Executed: 1\r\nX-Request-Id: " + Id + "\r\n");
    return;
  }
  std::string Headers = "X-Request-Id: " + Id +
                        "\r\nX-Replica-Stamp: " + Options.Id + "." + Id +
                        "\r\nX-Replica-Load: 1,0,64\r\n";
  later(FirstEventTime, [this, Exchange, Headers] {
    Exchange->beginEvents(Headers);
    for (unsigned Event = 1; Event <= Options.Events; ++Event)
      later(EventGap * Event, [this, Exchange, Event] {
        Exchange->sendText("id: " + std::to_string(Event) + "\ndata: x\n\n");
        if (Event == Options.Events)
          Exchange->endEvents();
      });
  });
}

small_fleet::small_fleet(const case_arguments &Arguments,
                         const std::string &Config)
    : Record(Arguments.RecordFile), Arguments(Arguments) {
  Thread = std::thread([this] { Context.run(); });
  on([&] {
    Store = std::make_unique<users_store>(Context, "127.0.0.1:0");
    Store->put("config", "main", json::parse(Config));
  });
}

small_fleet::~small_fleet() {
  Hosts.clear();
  Guard.reset();
  Context.stop();
  Thread.join();
  Servers.clear();
  Store.reset();
}

backend &small_fleet::addServer(const server_options &Options,
                                backend::entry_handler OnEntry) {
  backend *Added = nullptr;
  on([&] {
    Servers[Options.Id] = std::make_unique<backend>(Context, Options, Results,
                                                    Record, std::move(OnEntry));
    Added = Servers[Options.Id].get();
    list(*Added, "ready");
  });
  return *Added;
}

void small_fleet::list(const backend &Server, const std::string &State) {
  const server_options &Options = Server.options();
  Store->put(
      "servers", Options.Id,
      json::object{{"service", Options.Pool},
                   {"address", "127.0.0.1:" + std::to_string(Server.port())},
                   {"az", Options.Zone},
                   {"version", "v1"},
                   {"slots", Options.Slots},
                   {"state", State},
                   {"born", Options.Born},
                   {"cold_left_ms", 0},
                   {"seq", 1}});
}

void small_fleet::crashServer(const std::string &Id) {
  on([&] { Servers.at(Id)->crash(); });
  Record.write("server " + Id + " crashes");
}

void small_fleet::removeEntry(const std::string &Id) {
  on([&] { Store->remove("servers", Id); });
  Record.write("the store removes the entry of " + Id);
}

std::string small_fleet::file(const host &Host,
                              const std::string &Ending) const {
  return Arguments.Folder + "/" + Host.Name + Ending;
}

void small_fleet::addHost(const std::string &Name, const std::string &Zone) {
  Hosts.push_back(std::make_unique<host>());
  host &Added = *Hosts.back();
  Added.Name = Name;
  Added.Zone = Zone;
  Added.Callers = freePort();
  Added.Ready = freePort();
  Added.Peers = freePort();
  startHost(Added);
}

void small_fleet::startHost(host &Host) {
  std::uint16_t StorePort = 0;
  on([&] { StorePort = Store->port(); });
  auto Local = [](std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  };
  std::ofstream(file(Host, ".json")) << json::serialize(
      json::object{{"fleet", "jasminecroft"},
                   {"host", Host.Name},
                   {"zone", Host.Zone},
                   {"region", "r"},
                   {"callers", Local(Host.Callers)},
                   {"readiness", Local(Host.Ready)},
                   {"peers", Local(Host.Peers)},
                   {"store", Local(StorePort)},
                   {"seeds", json::array{Local(Hosts.front()->Peers)}},
                   {"cpu_share", 0.25},
                   {"cores", 1},
                   {"retry_ratio", 0.2},
                   {"retry_slack", 52},
                   {"retry_window_s", 10},
                   {"grace_s", 8.0},
                   {"metrics_port", 0}});
  Host.Process.reset();
  Host.Process = std::make_unique<child_process>(
      Arguments.Daemon,
      std::vector<std::string>{"--serve", file(Host, ".json")},
      file(Host, ".err"), file(Host, ".log"));
}

bool small_fleet::waitReady(std::chrono::seconds Bound) {
  std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + Bound;
  for (const std::unique_ptr<host> &Host : Hosts)
    while (jasminecroft::processes::exchange(
               {Host->Ready, "GET", "/readyz", "", ""})
               .Status != 200) {
      if (std::chrono::steady_clock::now() > End)
        return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
  return true;
}

std::string small_fleet::logOf(const host &Host) const {
  std::ifstream Text(file(Host, ".log"));
  return {std::istreambuf_iterator<char>(Text),
          std::istreambuf_iterator<char>()};
}

} // namespace review
