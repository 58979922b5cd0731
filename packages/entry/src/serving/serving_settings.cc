// Reads and checks the settings of the serving path; unknown keys are ignored,
// because a newer platform may add some.
#include "jasminecroft/entry/serving_settings.h"

#include <boost/json/parse.hpp>

#include <cmath>
#include <fstream>
#include <sstream>
#include <sys/sysinfo.h>

namespace jasminecroft {

namespace json = boost::json;

namespace {

/// Assumed if the system does not tell the machine's memory.
constexpr double FallbackMemoryMb = 256;
constexpr double MaxMemoryMb = 1e7;
constexpr double BytesPerMegabyte = 1e6;

constexpr double MaxCapacity = 1'000'000;
constexpr std::string_view ExpectedAddress = "an address such as "
                                             "\"10.1.0.41:8625\"";

/// Reads members of one object and remembers the first error.
class member_reader {
public:
  explicit member_reader(const json::object &Object) : Object(Object) {}

  std::string text(std::string_view Key, bool Required = true) {
    const json::value *Value = find(Key, Required);
    if (!Value)
      return {};
    if (!Value->is_string() || (Required && Value->get_string().empty())) {
      note(settings_problem::WrongType, Key, "a text that is not empty");
      return {};
    }
    return std::string(Value->get_string().data(), Value->get_string().size());
  }

  endpoint address(std::string_view Key, bool Required = true) {
    endpoint Address(text(Key, Required));
    bool Given = Required || !Address.empty();
    if (!Error && Given && !splitEndpoint(Address))
      note(settings_problem::InvalidValue, Key, ExpectedAddress);
    return Address;
  }

  double real(std::string_view Key, double Otherwise, double Minimum,
              double Maximum) {
    const json::value *Value = find(Key, false);
    if (!Value)
      return Otherwise;
    if (!Value->is_number()) {
      note(settings_problem::WrongType, Key, "a number");
      return Otherwise;
    }
    double Number = Value->to_number<double>();
    if (Number >= Minimum && Number <= Maximum)
      return Number;
    note(settings_problem::InvalidValue, Key, "a number in its range");
    return Otherwise;
  }

  bool flag(std::string_view Key) {
    const json::value *Value = find(Key, false);
    if (Value && !Value->is_bool())
      note(settings_problem::WrongType, Key, "true or false");
    return Value && Value->is_bool() && Value->get_bool();
  }

  std::vector<endpoint> addresses(std::string_view Key) {
    std::vector<endpoint> Result;
    const json::value *Value = find(Key, false);
    if (!Value)
      return Result;
    if (!Value->is_array()) {
      note(settings_problem::WrongType, Key, "a list of addresses");
      return Result;
    }
    for (const json::value &Element : Value->get_array()) {
      const json::string *Text = Element.if_string();
      endpoint Address(Text ? std::string(Text->data(), Text->size()) : "");
      if (splitEndpoint(Address))
        Result.push_back(Address);
      else
        note(settings_problem::InvalidValue, Key, ExpectedAddress);
    }
    return Result;
  }

  std::optional<settings_error> Error;

private:
  const json::value *find(std::string_view Key, bool Required) {
    const json::value *Value =
        Object.if_contains(json::string_view(Key.data(), Key.size()));
    if (Value && Value->is_null())
      Value = nullptr;
    if (!Value && Required)
      note(settings_problem::KeyMissing, Key, "a value");
    return Value;
  }

  void note(settings_problem Problem, std::string_view Key,
            std::string_view Expected) {
    if (!Error)
      Error = settings_error{Problem, std::string(Key), 0, Expected};
  }

  const json::object &Object;
};

double machineMemoryMb() {
  struct sysinfo Machine {};
  if (sysinfo(&Machine) != 0 || Machine.totalram == 0)
    return FallbackMemoryMb;
  return static_cast<double>(Machine.totalram) * Machine.mem_unit /
         BytesPerMegabyte;
}

core_duration fromSeconds(double Seconds) {
  return core_duration(static_cast<std::int64_t>(Seconds * 1e6));
}

} // namespace

serving_settings_result parseServingSettings(std::string_view Text) {
  json::parse_options Options;
  Options.allow_comments = true;
  Options.allow_trailing_commas = true;
  boost::system::error_code ParseError;
  json::value Parsed =
      json::parse({Text.data(), Text.size()}, ParseError, {}, Options);
  if (ParseError || !Parsed.is_object())
    return settings_error{settings_problem::Malformed, "", 0,
                          "one JSON object, comments allowed"};
  member_reader Reader(Parsed.get_object());
  serving_host_settings Settings;
  Settings.Fleet = fleet_id(Reader.text("fleet"));
  Settings.Host = entry_host_id(Reader.text("host"));
  Settings.Zone = zone_id(Reader.text("zone"));
  Settings.Region = region_id(Reader.text("region", false));
  Settings.Callers = Reader.address("callers");
  Settings.Readiness = Reader.address("readiness");
  Settings.Peers = Reader.address("peers");
  Settings.PeersListen = Reader.address("peers_listen", false);
  if (Settings.PeersListen.empty())
    Settings.PeersListen = Settings.Peers;
  Settings.Store = Reader.address("store");
  Settings.Seeds = Reader.addresses("seeds");
  double Share = Reader.real("cpu_share", 1, 0, MaxCapacity);
  double Cores = Reader.real("cores", 1, 0, MaxCapacity);
  Settings.Capacity =
      static_cast<std::uint32_t>(std::lround(Share * Cores * 1000));
  Settings.MemoryBytes = static_cast<std::size_t>(
      Reader.real("memory_mb", machineMemoryMb(), 1, MaxMemoryMb) *
      BytesPerMegabyte);
  Settings.Retries.Ratio = Reader.real("retry_ratio", 0, 0, 1);
  Settings.Retries.Slack =
      static_cast<std::uint32_t>(Reader.real("retry_slack", 0, 0, 1e6));
  Settings.Retries.Window =
      fromSeconds(Reader.real("retry_window_s", 10, 1, 3600));
  Settings.Grace = std::chrono::duration_cast<std::chrono::milliseconds>(
      fromSeconds(Reader.real("grace_s", 8, 0, 3600)));
  Settings.MetricsPort =
      static_cast<std::uint16_t>(Reader.real("metrics_port", 0, 0, 65535));
  Settings.BatchAlone = Reader.flag("batch_alone");
  Settings.EmptiedZones = Reader.flag("emptied_zones");
  if (Reader.Error)
    return *Reader.Error;
  return Settings;
}

settings_changes takeOver(serving_host_settings &Running,
                          const serving_host_settings &Read) {
  settings_changes Changes;
  auto Apply = [&Changes](const char *Key, auto &Value, const auto &Wanted) {
    if (Value == Wanted)
      return;
    Value = Wanted;
    Changes.Applied.emplace_back(Key);
  };
  auto Keep = [&Changes](const char *Key, const auto &Value,
                         const auto &Wanted) {
    if (Value != Wanted)
      Changes.AtRestart.emplace_back(Key);
  };
  Apply("memory_mb", Running.MemoryBytes, Read.MemoryBytes);
  Apply("retry_ratio", Running.Retries.Ratio, Read.Retries.Ratio);
  Apply("retry_slack", Running.Retries.Slack, Read.Retries.Slack);
  Apply("grace_s", Running.Grace, Read.Grace);
  Keep("fleet", Running.Fleet, Read.Fleet);
  Keep("host", Running.Host, Read.Host);
  Keep("zone", Running.Zone, Read.Zone);
  Keep("region", Running.Region, Read.Region);
  Keep("callers", Running.Callers, Read.Callers);
  Keep("readiness", Running.Readiness, Read.Readiness);
  Keep("peers", Running.Peers, Read.Peers);
  Keep("peers_listen", Running.PeersListen, Read.PeersListen);
  Keep("store", Running.Store, Read.Store);
  Keep("seeds", Running.Seeds, Read.Seeds);
  Keep("cpu_share", Running.Capacity, Read.Capacity);
  Keep("retry_window_s", Running.Retries.Window, Read.Retries.Window);
  Keep("metrics_port", Running.MetricsPort, Read.MetricsPort);
  Keep("batch_alone", Running.BatchAlone, Read.BatchAlone);
  Keep("emptied_zones", Running.EmptiedZones, Read.EmptiedZones);
  return Changes;
}

std::string listKeys(const std::vector<std::string> &Keys) {
  std::string Text;
  for (const std::string &Key : Keys)
    Text += (Text.empty() ? "" : ",") + Key;
  return Text.empty() ? "none" : Text;
}

serving_settings_result readServingSettings(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return settings_error{settings_problem::FileMissing, "", 0,
                          "a file that can be read"};
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return parseServingSettings(Text.str());
}

} // namespace jasminecroft
