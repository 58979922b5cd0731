// Settings, entries and processes of a fleet on the users' platform.
#include "jasminecroft/processes/users_fleet.h"

#include "jasminecroft/processes/local_fleet.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace jasminecroft::processes {

namespace json = boost::json;
using standins::users_backend;
using standins::users_backend_options;
using standins::users_store;

namespace {

constexpr const char *ConfigText = R"({"version":1,
 "routes":[
  {"name":"read","hostname":"localhost","path_prefix":"/read/",
   "type":"idempotent","timeout_ms":3000,"goal_ms":500,"priority":1,
   "service":"plain","attempts":2,"public":false},
  {"name":"once","hostname":"localhost","path_prefix":"/once/",
   "type":"non_idempotent","timeout_ms":3000,"goal_ms":500,"priority":1,
   "service":"plain","attempts":1,"public":false},
  {"name":"draft","hostname":"localhost","path_prefix":"/draft/",
   "type":"stream","timeout_ms":8000,"goal_ms":5000,"priority":0,
   "service":"engine","attempts":2,"public":false,"resumable":true,
   "stages":[{"service":"stage","after":[],"bytes":8000},
             {"service":"stage","after":[0],"bytes":6000}]},
  {"name":"note","hostname":"localhost","path_prefix":"/note/",
   "type":"stream","timeout_ms":8000,"goal_ms":5000,"priority":0,
   "service":"engine","attempts":1,"public":false,"resumable":false,
   "stages":[{"service":"stage","after":[],"bytes":8000},
             {"service":"stage","after":[0],"bytes":6000}]}],
 "services":[{"name":"plain","max_conns":48},
  {"name":"engine","max_conns":64,"engine":{"slots":64,"kv_cap_tokens":1000}},
  {"name":"stage","max_conns":64,"pieces":{"slots":1,"queue":2,"batch":8,
   "call_ms":20,"item_ms":1,"room_mb":1.0,"handle_s":4.0}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w1","api_keys":["key-1"]},
            {"name":"w2","api_keys":["key-2"]}]})";

std::atomic<int> Fleets = 0;

// Another build can be put to the same tests.
std::string daemonPath() {
  const char *Chosen = std::getenv("JASMINECROFT_DAEMON");
  return Chosen ? Chosen
                : JASMINECROFT_BINARY_DIR "/packages/entry/jasminecroftd";
}

std::string textOf(const std::string &File) {
  std::ifstream Text(File);
  return {std::istreambuf_iterator<char>(Text),
          std::istreambuf_iterator<char>()};
}

} // namespace

const char *usersConfig() { return ConfigText; }

users_fleet::users_fleet(std::size_t Hosts, bool Proxied, act_chooser Act,
                         std::size_t Zones)
    : Proxied(Proxied), Zones(Zones), Act(std::move(Act)) {
  Thread = std::thread([this] { Context.run(); });
  on([this, Hosts] {
    Store = std::make_unique<users_store>(Context, "127.0.0.1:0");
    Store->put("config", "main", json::parse(ConfigText));
    if (!this->Proxied)
      return;
    Proxies["store"] = std::make_unique<fault_proxy>(Context, Store->port());
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      Proxies[storeProxy(Host)] =
          std::make_unique<fault_proxy>(Context, Proxies["store"]->port());
  });
  for (const char *Id : {"plain-0", "plain-1"})
    add("plain", backendOptions(Id));
  add("engine", backendOptions("engine-0"));
  add("stage", backendOptions("stage-0"));
  Folder = std::filesystem::temp_directory_path() /
           ("jasminecroft-serving-" + std::to_string(::getpid()) + "-" +
            std::to_string(++Fleets));
  std::filesystem::create_directories(Folder);
  std::vector<std::uint16_t> Ports = freePorts(3 * Hosts);
  Processes.resize(Hosts);
  if (Proxied)
    on([&] {
      for (std::size_t Host = 0; Host < Hosts; ++Host)
        Proxies[peerProxy(Host)] =
            std::make_unique<fault_proxy>(Context, Ports[3 * Host + 2]);
    });
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    CallerPorts.push_back(Ports[3 * Host]);
    ReadyPorts.push_back(Ports[3 * Host + 1]);
    PeerPorts.push_back(Ports[3 * Host + 2]);
    writeSettings(Host, Ports[3 * Host + 2]);
    startHost(Host);
  }
}

users_fleet::~users_fleet() {
  Processes.clear();
  Guard.reset();
  Context.stop();
  Thread.join();
  // Handlers name the stand-ins without holding them: none may run any more.
  Proxies.clear();
  Backends.clear();
  Store.reset();
  std::filesystem::remove_all(Folder);
}

users_backend_options users_fleet::backendOptions(const std::string &Id) const {
  users_backend_options Options;
  Options.Id = Id;
  Options.Act = Act;
  return Options;
}

users_backend &users_fleet::add(const std::string &Pool,
                                users_backend_options Options) {
  users_backend *Added = nullptr;
  on([&] {
    std::string Id = Options.Id;
    Backends[Id] =
        std::make_unique<users_backend>(Context, "127.0.0.1:0", Options);
    Added = Backends[Id].get();
    if (Proxied)
      Proxies[Id] = std::make_unique<fault_proxy>(Context, Added->port());
    list(Pool, Id, "ready");
  });
  return *Added;
}

void users_fleet::reuseAddress(const std::string &Left, const std::string &Pool,
                               users_backend_options Options) {
  on([&] {
    std::string Id = Options.Id;
    Backends[Id] = std::make_unique<users_backend>(Context, "127.0.0.1:0",
                                                   std::move(Options));
    Proxies[Id] = std::move(Proxies.at(Left));
    Proxies.erase(Left);
    Proxies[Id]->setTarget(Backends[Id]->port());
    Proxies[Id]->resetAll();
    list(Pool, Id, "ready");
  });
}

void users_fleet::list(const std::string &Pool, const std::string &Id,
                       const std::string &State) {
  listAt(Pool, Id, Proxied ? Proxies[Id]->port() : Backends[Id]->port(), State);
}

void users_fleet::listAt(const std::string &Pool, const std::string &Id,
                         std::uint16_t Port, const std::string &State) {
  listAt(Pool, Id, "127.0.0.1:" + std::to_string(Port), State);
}

void users_fleet::listAt(const std::string &Pool, const std::string &Id,
                         const std::string &Address, const std::string &State) {
  Store->put("servers", Id,
             json::object{{"service", Pool},
                          {"address", Address},
                          {"az", zoneOf(std::hash<std::string>()(Id))},
                          {"version", "v1"},
                          {"slots", 6},
                          {"state", State},
                          {"born", 1},
                          {"seq", 1}});
}

std::string users_fleet::storeProxy(std::size_t Host) {
  return "store-" + std::to_string(Host);
}

std::string users_fleet::peerProxy(std::size_t Host) {
  return "peers-" + std::to_string(Host);
}

std::string users_fleet::zoneOf(std::size_t Number) const {
  return Zones == 1 ? "z" : "z" + std::to_string(Number % Zones);
}

std::string users_fleet::file(std::size_t Host, const char *Ending) const {
  return (Folder / ("host-" + std::to_string(Host) + Ending)).string();
}

void users_fleet::writeSettings(std::size_t Host, std::uint16_t Peers) const {
  std::uint16_t StorePort =
      Proxied ? Proxies.at(storeProxy(Host))->port() : Store->port();
  std::ofstream(file(Host, ".json"))
      << "{\"fleet\":\"f\",\"host\":\"host-" << Host << "\",\"zone\":\""
      << zoneOf(Host) << "\",\"region\":\"r\","
      << "\"callers\":\"127.0.0.1:" << CallerPorts[Host]
      << "\",\"readiness\":\"127.0.0.1:" << ReadyPorts[Host]
      << "\",\"peers_listen\":\"127.0.0.1:" << Peers
      << "\",\"peers\":\"127.0.0.1:"
      << (Proxied ? Proxies.at(peerProxy(Host))->port() : Peers)
      << "\",\"store\":\"127.0.0.1:" << StorePort
      << "\",\"seeds\":[],\"retry_ratio\":0.2,"
      << "\"retry_slack\":50,\"memory_mb\":256,\"grace_s\":8}";
}

void users_fleet::changeSettings(std::size_t Host, const std::string &From,
                                 const std::string &To) const {
  std::string Text = textOf(file(Host, ".json"));
  Text.replace(Text.find(From), From.size(), To);
  std::ofstream(file(Host, ".json")) << Text;
}

void users_fleet::startHost(std::size_t Host) {
  // The process before has to be gone: its ports are used again.
  Processes[Host].reset();
  Processes[Host] = std::make_unique<child_process>(
      daemonPath(), std::vector<std::string>{"--serve", file(Host, ".json")},
      file(Host, ".err"), file(Host, ".log"));
}

std::string users_fleet::logOf(std::size_t Host) const {
  return textOf(file(Host, ".log"));
}

std::string users_fleet::errorsOf(std::size_t Host) const {
  return textOf(file(Host, ".err"));
}

bool users_fleet::waitReady() const {
  return waitUntil([this] {
    return std::all_of(
        ReadyPorts.begin(), ReadyPorts.end(), [](std::uint16_t Port) {
          return exchange({Port, "GET", "/readyz", "", ""}).Status == 200;
        });
  });
}

http_call users_fleet::call(const std::string &Path, const std::string &Id,
                            const std::string &Key, std::size_t Host) const {
  return {CallerPorts[Host], "POST", "/" + Path + "/x",
          "X-Request-Id: " + Id +
              "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer " + Key +
              "\r\nX-Hold: forged\r\n",
          "body"};
}

http_call users_fleet::draft(const std::string &Id, std::size_t Host) const {
  return stream("draft", Id, Host);
}

http_call users_fleet::stream(const std::string &Path, const std::string &Id,
                              std::size_t Host) const {
  http_call Call = call(Path, Id, "key-1", Host);
  // Each request is of a session of its own.
  std::string Session = std::to_string(std::hash<std::string>()(Id) % 9'973);
  Call.Headers +=
      "X-Model: m\r\nX-Token-Count: 10,5\r\nX-Prefix-Hash: " + Session +
      ":5,b2:5\r\nX-Pieces: 1,2\r\nX-Piece-Key: k\r\n";
  return Call;
}

std::size_t users_fleet::ranTimes(const std::string &Id) {
  std::size_t Count = 0;
  on([&] {
    for (const std::pair<const std::string, std::unique_ptr<users_backend>>
             &Backend : Backends)
      Count += static_cast<std::size_t>(std::count(
          Backend.second->ran().begin(), Backend.second->ran().end(), Id));
  });
  return Count;
}

} // namespace jasminecroft::processes
