// Versions of a large configuration come in quick succession; each adds a
// route. From config_ms after a version was acknowledged, every entry host has
// to know its route.
#include "small_fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <atomic>

using namespace review;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr int HostCount = 8;
/// Ten times the routes by which a configuration grows at once.
constexpr int ManyRoutes = 3'500;
/// Largest value that the store takes.
constexpr std::size_t ValueBytes = 1'048'576;
constexpr int StormVersions = 25;
constexpr milliseconds StormGap{80};
constexpr int CalmVersions = 6;
constexpr milliseconds CalmGap{2'500};
constexpr milliseconds ConfigTime{2'000};
/// A request is sent that much later than its bound at the earliest.
constexpr milliseconds Margin{10};
/// Hosts count when they have been calm for this time.
constexpr seconds StableTime{3};
constexpr unsigned NotFound = 404;

json::object route(const std::string &Name) {
  return {{"name", Name},
          {"hostname", "localhost"},
          {"path_prefix", "/" + Name + "/"},
          {"type", "idempotent"},
          {"timeout_ms", 1'200},
          {"goal_ms", 150},
          {"priority", 2},
          {"service", "registro-actas"},
          {"attempts", 2},
          {"public", true},
          {"sticky", false},
          {"resumable", false}};
}

json::object firstConfig() {
  json::array Routes;
  for (int Number = 0; Number < ManyRoutes; ++Number)
    Routes.push_back(
        route("consulta-archivo-adicional-" + std::to_string(Number)));
  return {{"version", 1},
          {"routes", std::move(Routes)},
          {"services", json::array{json::object{{"name", "registro-actas"},
                                                {"max_conns", 110}}}},
          {"limits", json::object{{"max_header_bytes", 16'384},
                                  {"max_body_bytes", 4'194'304},
                                  {"header_timeout_ms", 3'000},
                                  {"idle_timeout_ms", 15'000}}}};
}

std::string added(int Version) { return "added-" + std::to_string(Version); }

} // namespace

int main(int Count, char **Words) {
  case_arguments Arguments = readArguments(Count, Words);
  json::object Config = firstConfig();
  small_fleet Fleet(Arguments, json::serialize(Config));
  for (int Number = 0; Number < 3; ++Number)
    Fleet.addServer(
        {"registro-" + std::to_string(Number), "registro-actas", "z"});
  for (int Number = 1; Number <= HostCount; ++Number)
    Fleet.addHost("edge-" + std::to_string(Number), "z");
  if (!Fleet.waitReady(seconds(30)))
    return 2;
  std::this_thread::sleep_for(StableTime + seconds(2));
  int Versions = Arguments.Trouble ? StormVersions : CalmVersions;
  milliseconds Gap = Arguments.Trouble ? StormGap : CalmGap;
  std::atomic<int> Late = 0;
  std::atomic<int> Asked = 0;
  std::vector<std::thread> Probes;
  for (int Version = 2; Version < 2 + Versions; ++Version) {
    Config["version"] = Version;
    Config["routes"].as_array().push_back(route(added(Version)));
    json::value Written = Config;
    if (json::serialize(Written).size() > ValueBytes)
      return 2;
    Fleet.on([&] { Fleet.Store->put("config", "main", Written); });
    steady::time_point Acknowledged = steady::now();
    Fleet.Record.write("version " + std::to_string(Version) +
                       " is acknowledged");
    for (const std::unique_ptr<host> &Host : Fleet.Hosts)
      Probes.emplace_back([&, Version, Acknowledged, Name = Host->Name,
                           Port = Host->Callers] {
        std::this_thread::sleep_until(Acknowledged + ConfigTime + Margin);
        milliseconds After = std::chrono::duration_cast<milliseconds>(
            steady::now() - Acknowledged);
        http_reply Reply = jasminecroft::processes::exchange(
            {Port, "GET", "/" + added(Version) + "/2f",
             "X-Request-Id: p" + std::to_string(Version) + Name +
                 "\r\nX-Deadline-Ms: 1000\r\n",
             ""},
            seconds(3));
        ++Asked;
        bool Broken = Reply.Status == NotFound;
        Late += Broken ? 1 : 0;
        Fleet.Record.write(
            std::string(Broken ? "BROKEN: " : "") +
            "request for the route of version " + std::to_string(Version) +
            " to " + Name + ", sent " + std::to_string(After.count()) +
            " ms after the acknowledgement: " + std::to_string(Reply.Status));
      });
    std::this_thread::sleep_for(Gap);
  }
  for (std::thread &Probe : Probes)
    Probe.join();
  Fleet.Record.write(
      std::to_string(json::serialize(json::value(Config)).size()) +
      " bytes of configuration; " + std::to_string(Late) + " of " +
      std::to_string(Asked) + " requests were refused with 404");
  return Late > 0 ? 1 : 0;
}
