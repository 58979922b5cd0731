// Reads and checks the settings file, and names the key of each error.
#include "jasminecroft/entry/settings.h"

#include <boost/json.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace jasminecroft {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxBalancerLagMs = 600'000;
constexpr std::int64_t MaxLogLinesPerSecond = 100'000;
constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxSeeds = 1'024;
constexpr std::string_view ExpectedName =
    "a text of 1 to 64 letters, digits, '-', '_' or '.'";
constexpr std::string_view ExpectedAddress = "an address such as "
                                             "\"127.0.0.1:8101\"";

std::size_t lineOf(std::string_view Text, std::size_t Offset) {
  std::size_t Line = 1;
  for (char Character : Text.substr(0, Offset))
    Line += Character == '\n' ? 1 : 0;
  return Line;
}

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.';
}

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes)
    return false;
  for (char Character : Text)
    if (!isNameCharacter(Character))
      return false;
  return true;
}

// Reads the members of one JSON object and remembers the first error.
class object_reader {
public:
  object_reader(const json::object &Object, std::string Path,
                std::optional<settings_error> &Error)
      : Object(Object), Path(std::move(Path)), Error(Error) {}

  void checkKeys(std::initializer_list<std::string_view> Known) {
    for (const json::key_value_pair &Member : Object) {
      std::string_view Key(Member.key().data(), Member.key().size());
      bool Found = false;
      for (std::string_view Name : Known)
        Found |= Name == Key;
      if (!Found)
        fail(settings_problem::UnknownKey, Key, "no such key");
    }
  }

  std::string text(std::string_view Key, std::string_view Expected) {
    const json::value *Value = find(Key, true);
    if (!Value)
      return {};
    if (!Value->is_string()) {
      fail(settings_problem::WrongType, Key, Expected);
      return {};
    }
    return std::string(Value->get_string().data(), Value->get_string().size());
  }

  std::string name(std::string_view Key) {
    std::string Text = text(Key, ExpectedName);
    if (!Error && !isName(Text))
      fail(settings_problem::InvalidValue, Key, ExpectedName);
    return Text;
  }

  endpoint address(std::string_view Key) {
    endpoint Address(text(Key, ExpectedAddress));
    if (!Error && !splitEndpoint(Address))
      fail(settings_problem::InvalidValue, Key, ExpectedAddress);
    return Address;
  }

  std::int64_t number(std::string_view Key, std::int64_t Default,
                      std::int64_t Maximum, std::string_view Expected) {
    const json::value *Value = find(Key, false);
    if (!Value)
      return Default;
    if (!Value->is_int64()) {
      fail(settings_problem::WrongType, Key, Expected);
      return Default;
    }
    std::int64_t Number = Value->get_int64();
    if (Number < 0 || Number > Maximum)
      fail(settings_problem::InvalidValue, Key, Expected);
    return Number;
  }

  const json::value *find(std::string_view Key, bool Required) {
    const json::value *Value =
        Object.if_contains(json::string_view(Key.data(), Key.size()));
    if (!Value && Required)
      fail(settings_problem::KeyMissing, Key, "this key is required");
    return Value;
  }

  void fail(settings_problem Problem, std::string_view Key,
            std::string_view Expected) {
    if (!Error)
      Error = settings_error{Problem, Path + std::string(Key), 0, Expected};
  }

private:
  const json::object &Object;
  std::string Path;
  std::optional<settings_error> &Error;
};

void readSeeds(object_reader &Reader, std::vector<peer_seed> &Seeds,
               std::optional<settings_error> &Error) {
  const json::value *List = Reader.find("seeds", false);
  if (!List)
    return;
  if (!List->is_array()) {
    Reader.fail(settings_problem::WrongType, "seeds", "a list of objects");
    return;
  }
  if (List->get_array().size() > MaxSeeds)
    Reader.fail(settings_problem::InvalidValue, "seeds", "at most 1024 seeds");
  std::size_t Index = 0;
  for (const json::value &Element : List->get_array()) {
    std::string Path = "seeds[" + std::to_string(Index++) + "]";
    if (!Element.is_object()) {
      Reader.fail(settings_problem::WrongType, Path, "an object");
      return;
    }
    object_reader Seed(Element.get_object(), Path + ".", Error);
    Seed.checkKeys({"host", "zone", "address"});
    Seeds.push_back({entry_host_id(Seed.name("host")),
                     zone_id(Seed.name("zone")), Seed.address("address")});
  }
}

void readPeerTls(object_reader &Reader, std::optional<peer_tls_files> &Tls,
                 std::optional<settings_error> &Error) {
  const json::value *Value = Reader.find("peer_tls", false);
  if (!Value)
    return;
  if (!Value->is_object()) {
    Reader.fail(settings_problem::WrongType, "peer_tls", "an object");
    return;
  }
  object_reader Part(Value->get_object(), "peer_tls.", Error);
  Part.checkKeys({"certificate_and_key", "authority"});
  Tls = peer_tls_files{Part.text("certificate_and_key", "a file name"),
                       Part.text("authority", "a file name")};
}

std::optional<event_severity> severityFromName(std::string_view Name) {
  if (Name == "info")
    return event_severity::Info;
  if (Name == "warning")
    return event_severity::Warning;
  if (Name == "error")
    return event_severity::Error;
  return std::nullopt;
}

std::string_view nameOf(event_severity Severity) {
  switch (Severity) {
  case event_severity::Info:
    return "info";
  case event_severity::Warning:
    return "warning";
  case event_severity::Error:
    return "error";
  }
  return "info";
}

void readLog(object_reader &Reader, log_settings &Log,
             std::optional<settings_error> &Error) {
  const json::value *Value = Reader.find("log", false);
  if (!Value)
    return;
  if (!Value->is_object()) {
    Reader.fail(settings_problem::WrongType, "log", "an object");
    return;
  }
  constexpr std::string_view Expected = "\"info\", \"warning\" or \"error\"";
  object_reader Part(Value->get_object(), "log.", Error);
  Part.checkKeys({"minimum_severity", "max_per_second"});
  if (Part.find("minimum_severity", false)) {
    std::optional<event_severity> Severity =
        severityFromName(Part.text("minimum_severity", Expected));
    if (Severity)
      Log.MinimumSeverity = *Severity;
    else
      Part.fail(settings_problem::InvalidValue, "minimum_severity", Expected);
  }
  Log.MaxPerSecond = static_cast<std::uint32_t>(
      Part.number("max_per_second", Log.MaxPerSecond, MaxLogLinesPerSecond,
                  "a whole number from 0 to 100000"));
}

daemon_settings readMembers(const json::object &Object,
                            std::optional<settings_error> &Error) {
  daemon_settings Settings;
  object_reader Reader(Object, "", Error);
  Reader.checkKeys({"fleet", "host", "zone", "region", "callers", "peers",
                    "platform", "peer_tls", "seeds", "balancer_lag_ms", "log"});
  Settings.Fleet = fleet_id(Reader.name("fleet"));
  Settings.Host = entry_host_id(Reader.name("host"));
  Settings.Zone = zone_id(Reader.name("zone"));
  Settings.Region = region_id(Reader.name("region"));
  Settings.Callers = Reader.address("callers");
  Settings.Peers = Reader.address("peers");
  Settings.Platform = Reader.address("platform");
  Settings.BalancerLag = std::chrono::milliseconds(Reader.number(
      "balancer_lag_ms", Settings.BalancerLag.count(), MaxBalancerLagMs,
      "a whole number of milliseconds from 0 to 600000"));
  readPeerTls(Reader, Settings.PeerTls, Error);
  readSeeds(Reader, Settings.Seeds, Error);
  readLog(Reader, Settings.Log, Error);
  return Settings;
}

// Line of the key whose path is Key: each part is looked for behind the one
// before it; the Nth element of a list lies behind N closing braces.
std::size_t lineOfKey(std::string_view Text, std::string_view Key) {
  std::size_t Offset = 0;
  while (!Key.empty()) {
    std::size_t End = std::min(Key.find_first_of(".["), Key.size());
    std::size_t Found =
        Text.find('"' + std::string(Key.substr(0, End)) + '"', Offset);
    if (Found == std::string_view::npos)
      return Offset == 0 ? 0 : lineOf(Text, Offset);
    Offset = Found + 1;
    Key.remove_prefix(End);
    if (Key.starts_with('[')) {
      std::size_t Index = 0;
      std::from_chars(Key.data() + 1, Key.data() + Key.size(), Index);
      for (; Index > 0; --Index)
        Offset = std::min(Text.find('}', Offset), Text.size() - 1) + 1;
      Key.remove_prefix(std::min(Key.find(']') + 1, Key.size()));
    }
    if (Key.starts_with('.'))
      Key.remove_prefix(1);
  }
  return lineOf(Text, Offset);
}

} // namespace

exit_code exitCodeOf(settings_problem Problem) {
  switch (Problem) {
  case settings_problem::FileMissing:
    return exit_code::SettingsMissing;
  case settings_problem::Malformed:
    return exit_code::SettingsMalformed;
  case settings_problem::UnknownKey:
    return exit_code::SettingsUnknownKey;
  case settings_problem::KeyMissing:
    return exit_code::SettingsKeyMissing;
  case settings_problem::WrongType:
    return exit_code::SettingsWrongType;
  case settings_problem::InvalidValue:
    return exit_code::SettingsInvalidValue;
  case settings_problem::AddressInUse:
    return exit_code::AddressInUse;
  }
  return exit_code::Internal;
}

std::string_view toText(settings_problem Problem) {
  switch (Problem) {
  case settings_problem::FileMissing:
    return "settings_missing";
  case settings_problem::Malformed:
    return "settings_malformed";
  case settings_problem::UnknownKey:
    return "unknown_key";
  case settings_problem::KeyMissing:
    return "key_missing";
  case settings_problem::WrongType:
    return "wrong_type";
  case settings_problem::InvalidValue:
    return "invalid_value";
  case settings_problem::AddressInUse:
    return "address_in_use";
  }
  return "settings_malformed";
}

std::string describe(const settings_error &Error, std::string_view File) {
  std::string Line(File);
  if (Error.Line != 0)
    Line += ":" + std::to_string(Error.Line);
  Line += ": ";
  Line += toText(Error.Problem);
  if (!Error.Key.empty())
    Line += ": key \"" + Error.Key + "\"";
  if (!Error.Expected.empty())
    Line += ": " + std::string(Error.Expected);
  return Line;
}

settings_result parseSettings(std::string_view Text) {
  json::parse_options Options;
  Options.allow_comments = true;
  json::stream_parser Parser({}, Options);
  json::error_code Failure;
  std::size_t Consumed = Parser.write_some(Text.data(), Text.size(), Failure);
  if (!Failure && Consumed == Text.size())
    Parser.finish(Failure);
  if (Failure || Consumed < Text.size())
    return settings_error{settings_problem::Malformed, "",
                          lineOf(Text, Consumed), "well-formed JSON"};
  json::value Root = Parser.release();
  if (!Root.is_object())
    return settings_error{settings_problem::WrongType, "", 1, "an object"};
  std::optional<settings_error> Error;
  daemon_settings Settings = readMembers(Root.get_object(), Error);
  if (!Error)
    return Settings;
  // A missing key is looked for in vain; its parent can be named.
  std::string_view Shown = Error->Key;
  if (Error->Problem == settings_problem::KeyMissing)
    Shown = Shown.substr(0, Shown.rfind('.') + 1);
  Error->Line = Shown.empty() ? 0 : lineOfKey(Text, Shown);
  return *Error;
}

settings_result readSettings(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  std::ostringstream Text;
  if (Stream)
    Text << Stream.rdbuf();
  if (!Stream)
    return settings_error{settings_problem::FileMissing, "", 0,
                          "a readable file"};
  return parseSettings(Text.str());
}

std::string printSettings(const daemon_settings &Settings) {
  json::array Seeds;
  for (const peer_seed &Seed : Settings.Seeds)
    Seeds.push_back(json::object{{"host", Seed.Host.Value},
                                 {"zone", Seed.Zone.Value},
                                 {"address", Seed.Address.Value}});
  json::object Log{{"minimum_severity", nameOf(Settings.Log.MinimumSeverity)},
                   {"max_per_second", Settings.Log.MaxPerSecond}};
  json::object Root{{"fleet", Settings.Fleet.Value},
                    {"host", Settings.Host.Value},
                    {"zone", Settings.Zone.Value},
                    {"region", Settings.Region.Value},
                    {"callers", Settings.Callers.Value},
                    {"peers", Settings.Peers.Value},
                    {"platform", Settings.Platform.Value},
                    {"seeds", std::move(Seeds)},
                    {"balancer_lag_ms", Settings.BalancerLag.count()},
                    {"log", std::move(Log)}};
  if (Settings.PeerTls)
    Root["peer_tls"] = json::object{
        {"certificate_and_key", Settings.PeerTls->CertificateAndKey},
        {"authority", Settings.PeerTls->Authority}};
  return json::serialize(Root);
}

} // namespace jasminecroft
