// Starts the processes of a small fleet and writes its configuration.
#include "jasminecroft/processes/local_fleet.h"

#include "jasminecroft/wire/json_codec.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/file.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace jasminecroft::processes {

namespace {

constexpr std::chrono::seconds WaitBound{60};
constexpr std::chrono::milliseconds WaitInterval{20};
constexpr std::uint32_t SlotsPerBackend = 4;

std::string addressOf(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::string binary(const std::string &Path) {
  return std::string(JASMINECROFT_BINARY_DIR) + "/packages/" + Path;
}

pipeline_definition
pipeline(const std::string &Name,
         std::initializer_list<std::pair<const char *, bool>> Stages) {
  pipeline_definition Definition;
  Definition.Name = pipeline_id(Name);
  for (const std::pair<const char *, bool> &Stage : Stages)
    Definition.Stages.push_back(
        {stage_id(Stage.first), pool_id("services"), Stage.second});
  return Definition;
}

fleet_config makeConfig() {
  fleet_config Config;
  Config.Version = config_version(1);
  Config.Fleet = fleet_id("test");
  Config.Workspaces = {workspace_id("w")};
  Config.Pools[pool_id("services")] = {
      pool_id("services"), pool_kind::PlainService, SlotsPerBackend, false};
  for (const pipeline_definition &Definition :
       {pipeline("part-check", {{"check", true}}),
        pipeline("survey", {{"read", true}, {"rank", true}, {"write", true}}),
        pipeline("work-order", {{"check", true}, {"book", false}})})
    Config.Pipelines[Definition.Name] = Definition;
  return Config;
}

void putObject(std::uint16_t Port, const object_key &Key,
               const stored_object &Value) {
  http_call Call{Port, "PUT", "/v1/objects/" + Key.Value,
                 "If-None-Match: *\r\n", encodeStored(Value)};
  if (exchange(Call).Status != 200)
    throw std::runtime_error("the store refused " + Key.Value);
}

} // namespace

// Ports stay bound until all are chosen, so that none is chosen twice.
namespace {

/// Ports of test processes lie below the range from which the kernel gives
/// ports to outgoing connections, in blocks of which each process locks one:
/// a port that was found free must not be taken before its host listens.
constexpr std::uint16_t FirstPort = 12'000;
constexpr std::uint16_t PortsPerBlock = 96;
constexpr std::uint16_t PortBlocks = 200;

/// First port of this process's block, locked until the process ends.
std::uint16_t lockedBlock() {
  for (std::uint16_t Block = 0; Block < PortBlocks; ++Block) {
    std::filesystem::path File =
        std::filesystem::temp_directory_path() /
        ("jasminecroft-test-ports-" + std::to_string(Block));
    int Lock = open(File.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (Lock >= 0 && flock(Lock, LOCK_EX | LOCK_NB) == 0)
      return static_cast<std::uint16_t>(FirstPort + Block * PortsPerBlock);
    if (Lock >= 0)
      close(Lock);
  }
  throw std::runtime_error("every block of test ports is in use");
}

} // namespace

std::vector<std::uint16_t> freePorts(std::size_t Count) {
  static const std::uint16_t Block = lockedBlock();
  static std::uint16_t Next = 0;
  std::vector<std::uint16_t> Ports;
  for (std::uint16_t I = 0; I < PortsPerBlock && Ports.size() < Count; ++I) {
    std::uint16_t Port = static_cast<std::uint16_t>(Block + Next);
    Next = static_cast<std::uint16_t>((Next + 1) % PortsPerBlock);
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Port);
    if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
        0)
      Ports.push_back(Port);
    close(Socket);
  }
  if (Ports.size() < Count)
    throw std::runtime_error("no free port in this process's block");
  return Ports;
}

bool waitUntil(const std::function<bool()> &Condition) {
  std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + WaitBound;
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(WaitInterval);
  }
  return Condition();
}

local_fleet::local_fleet(const fleet_options &Options) : Options(Options) {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "jasminecroft-XXXXXX";
  if (!mkdtemp(Pattern.data()))
    throw std::runtime_error("no folder for the fleet's files");
  Folder = Pattern;
  std::vector<std::uint16_t> Ports =
      freePorts(1 + Options.Backends + 2 * Options.EntryHosts);
  StorePort = Ports.back();
  Ports.pop_back();
  Store = std::make_unique<child_process>(
      binary("testing/standins/object-store-standin"),
      std::vector<std::string>{"--address", addressOf(StorePort)},
      logFile("store"));
  std::vector<std::string> Arguments{"--slots", std::to_string(SlotsPerBackend),
                                     "--base-us",
                                     std::to_string(Options.BaseUs)};
  for (std::size_t I = 0; I < Options.Backends; ++I) {
    BackendPorts.push_back(Ports.back());
    Ports.pop_back();
    Arguments.push_back("--address");
    Arguments.push_back(addressOf(BackendPorts.back()));
  }
  Backends = std::make_unique<child_process>(
      binary("testing/standins/backend-standin"), Arguments,
      logFile("backends"));
  for (std::size_t I = 0; I < Options.EntryHosts; ++I)
    Hosts.push_back({Ports[2 * I], Ports[2 * I + 1], nullptr});
  putObjects();
  for (std::size_t I = 0; I < Options.EntryHosts; ++I)
    startEntryHost(I);
}

local_fleet::~local_fleet() {
  Hosts.clear();
  Backends.reset();
  Store.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

void local_fleet::putObjects() const {
  bool Up = waitUntil([this] {
    return exchange({StorePort, "GET", "/v1/objects/hosts", "", ""}).whole();
  });
  if (!Up)
    throw std::runtime_error("the store's stand-in does not answer");
  putObject(StorePort, configKey(), makeConfig());
  host_list List;
  for (std::size_t I = 0; I < BackendPorts.size(); ++I) {
    listed_host Host;
    Host.Kind = host_kind::BackendServer;
    Host.Name = "b" + std::to_string(I + 1);
    Host.Zone = zone_id("z1");
    Host.Region = region_id("r1");
    Host.Address = endpoint(addressOf(BackendPorts[I]));
    Host.Pool = pool_id("services");
    Host.Run = incarnation(1);
    List.Hosts.push_back(Host);
  }
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    listed_host Host;
    Host.Kind = host_kind::EntryHost;
    Host.Name = "e" + std::to_string(I + 1);
    Host.Zone = zone_id("z1");
    Host.Region = region_id("r1");
    Host.Address = endpoint(addressOf(Hosts[I].Peers));
    List.Hosts.push_back(Host);
  }
  putObject(StorePort, hostListKey(), List);
}

std::string local_fleet::logFile(const std::string &Name) const {
  return Folder + "/" + Name + ".log";
}

std::string local_fleet::settingsText(std::size_t Index) const {
  std::string Seeds;
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    if (I == Index)
      continue;
    Seeds += Seeds.empty() ? "" : ",";
    Seeds += R"({"host":"e)" + std::to_string(I + 1) +
             R"(","zone":"z1","address":")" + addressOf(Hosts[I].Peers) + "\"}";
  }
  const entry_host &Host = Hosts[Index];
  return R"({"fleet":"test","zone":"z1","region":"r1","host":"e)" +
         std::to_string(Index + 1) + R"(","callers":")" +
         addressOf(Host.Callers) + R"(","peers":")" + addressOf(Host.Peers) +
         R"(","platform":")" + addressOf(StorePort) +
         R"(","balancer_lag_ms":)" + std::to_string(Options.BalancerLagMs) +
         R"(,"seeds":[)" + Seeds + "]}";
}

void local_fleet::startEntryHost(std::size_t Index) {
  std::string Name = "e" + std::to_string(Index + 1);
  std::string SettingsFile = Folder + "/" + Name + ".json";
  std::ofstream(SettingsFile) << settingsText(Index);
  Hosts[Index].Process = std::make_unique<child_process>(
      binary("entry/jasminecroftd"),
      std::vector<std::string>{"--settings", SettingsFile}, logFile(Name));
}

std::uint16_t local_fleet::callerPort(std::size_t Index) const {
  return Hosts[Index].Callers;
}

bool local_fleet::ready(std::size_t Index) const {
  return exchange({callerPort(Index), "GET", "/readyz", "", ""},
                  std::chrono::seconds(2))
             .Status == 200;
}

bool local_fleet::waitAllReady() const {
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    if (!waitUntil([this, I] { return ready(I); }))
      return false;
  return true;
}

http_reply local_fleet::call(std::size_t Index, const std::string &Pipeline,
                             const std::string &Body,
                             const std::string &Headers) const {
  return exchange({callerPort(Index), "POST",
                   "/v1/workspaces/w/pipelines/" + Pipeline, Headers, Body});
}

std::string local_fleet::page(std::size_t Index,
                              const std::string &Target) const {
  return exchange({callerPort(Index), "GET", Target, "", ""}).Body;
}

void local_fleet::steerStore(const std::string &Body) const {
  exchange({StorePort, "POST", "/test/steer", "", Body});
}

void local_fleet::steerBackends(const std::string &Body) const {
  for (std::uint16_t Port : BackendPorts)
    exchange({Port, "POST", "/test/steer", "", Body});
}

std::vector<std::string> local_fleet::runRecords() const {
  std::vector<std::string> Records;
  for (std::uint16_t Port : BackendPorts)
    Records.push_back(exchange({Port, "GET", "/test/runs", "", ""}).Body);
  return Records;
}

std::string local_fleet::logOf(std::size_t Index) const {
  std::ifstream File(logFile("e" + std::to_string(Index + 1)));
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace jasminecroft::processes
