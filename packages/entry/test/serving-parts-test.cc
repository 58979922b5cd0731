// Settings and log lines of the serving path.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "../src/serving/line_log.h"
#include "jasminecroft/entry/serving_settings.h"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <regex>
#include <sstream>
#include <sys/sysinfo.h>

using namespace jasminecroft;

namespace {

constexpr std::string_view Whole = R"({
  // filled in by the platform
  "fleet": "jasminecroft", "host": "edge-1", "zone": "z", "region": "r",
  "callers": "10.1.0.41:8625", "readiness": "10.1.0.41:8621",
  "peers": "10.1.0.41:8628", "store": "10.200.1.7:8624",
  "seeds": ["10.2.0.25:8628"], "cpu_share": 0.25, "cores": 2,
  "memory_mb": 260,
  "retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10,
  "grace_s": 8, "added_later": {"x": 1}
})";

settings_error errorOf(const std::string &Text) {
  serving_settings_result Result = parseServingSettings(Text);
  REQUIRE(std::holds_alternative<settings_error>(Result));
  return std::get<settings_error>(Result);
}

std::string with(std::string_view From, std::string_view To) {
  std::string Text(Whole);
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

} // namespace

TEST_CASE("settings are read, and keys that a newer platform adds ignored") {
  serving_settings_result Result = parseServingSettings(Whole);
  REQUIRE(std::holds_alternative<serving_host_settings>(Result));
  const serving_host_settings &Settings =
      std::get<serving_host_settings>(Result);
  CHECK(Settings.Capacity == 500);
  CHECK(Settings.MemoryBytes == 260'000'000);
  CHECK(Settings.Retries.Slack == 52);
  CHECK(Settings.Grace == std::chrono::seconds(8));
  CHECK(Settings.Seeds.size() == 1);
}

TEST_CASE("settings that do not state the memory take it from the machine") {
  serving_settings_result Result =
      parseServingSettings(with("\"memory_mb\": 260,\n  ", ""));
  REQUIRE(std::holds_alternative<serving_host_settings>(Result));
  struct sysinfo Machine {};
  REQUIRE(sysinfo(&Machine) == 0);
  std::size_t Total = Machine.totalram * Machine.mem_unit;
  std::size_t Read = std::get<serving_host_settings>(Result).MemoryBytes;
  // The settings count in megabytes, with fractions.
  CHECK(Read + 1 >= Total);
  CHECK(Read <= Total + 1);
}

TEST_CASE("settings that were read again are taken over or named") {
  auto Read = [](const std::string &Text) {
    return std::get<serving_host_settings>(parseServingSettings(Text));
  };
  serving_host_settings Running = Read(std::string(Whole));
  settings_changes Changes =
      takeOver(Running, Read(with("\"grace_s\": 8", "\"grace_s\": 12")));
  CHECK(Changes.Applied == std::vector<std::string>{"grace_s"});
  CHECK(Changes.AtRestart.empty());
  CHECK(Running.Grace == std::chrono::seconds(12));
  Changes = takeOver(Running, Read(with("\"memory_mb\": 260",
                                        "\"memory_mb\": 100, \"x\": 1")));
  CHECK(Changes.Applied == std::vector<std::string>{"memory_mb", "grace_s"});
  CHECK(Running.MemoryBytes == 100'000'000);
  Changes = takeOver(Running, Read(with("10.1.0.41:8625", "10.1.0.42:8625")));
  CHECK(Changes.AtRestart == std::vector<std::string>{"callers"});
  Changes = takeOver(
      Running, Read(with("\"memory_mb\": 260", "\"emptied_zones\": true")));
  CHECK(std::count(Changes.AtRestart.begin(), Changes.AtRestart.end(),
                   "emptied_zones") == 1);
  CHECK(Running.Callers == endpoint("10.1.0.41:8625"));
}

TEST_CASE("each fault of the settings is named with its key") {
  CHECK(errorOf("{").Problem == settings_problem::Malformed);
  CHECK(errorOf("[]").Problem == settings_problem::Malformed);
  settings_error Missing = errorOf(with("\"store\"", "\"stor\""));
  CHECK(Missing.Problem == settings_problem::KeyMissing);
  CHECK(Missing.Key == "store");
  settings_error Address = errorOf(with("10.1.0.41:8625", "nowhere"));
  CHECK(Address.Problem == settings_problem::InvalidValue);
  CHECK(Address.Key == "callers");
  CHECK(errorOf(with("\"edge-1\"", "7")).Problem ==
        settings_problem::WrongType);
  CHECK(errorOf(with("\"grace_s\": 8", "\"grace_s\": -1")).Key == "grace_s");
  CHECK(
      errorOf(with("\"retry_slack\": 52", "\"retry_slack\": \"x\"")).Problem ==
      settings_problem::WrongType);
  CHECK(errorOf(with("[\"10.2.0.25:8628\"]", "[1]")).Key == "seeds");
}

TEST_CASE("the template names every key that the settings need") {
  std::ifstream File(std::string(JASMINECROFT_SOURCE_DIR) +
                     "/platform/settings/entry-host.json");
  std::ostringstream Text;
  Text << File.rdbuf();
  for (const char *Key :
       {"fleet", "host", "zone", "callers", "readiness", "peers", "store",
        "seeds", "cpu_share", "cores", "retry_ratio", "retry_slack",
        "retry_window_s", "grace_s"})
    CHECK(Text.str().find("\"" + std::string(Key) + "\":") !=
          std::string::npos);
}

TEST_CASE("only a deployment that empties zones gets the setting for it") {
  std::ifstream File(std::string(JASMINECROFT_SOURCE_DIR) +
                     "/platform/settings/entry-host.json");
  std::ostringstream Read;
  Read << File.rdbuf();
  std::string Text = std::regex_replace(
      Read.str(), std::regex("\\{\\{(seeds)\\|json\\}\\}"), "[]");
  Text = std::regex_replace(
      Text, std::regex("\\{\\{(limits|bounds)[a-z_.]+\\|json\\}\\}"), "1");
  Text = std::regex_replace(Text, std::regex("\\{\\{[a-z_.]+\\|json\\}\\}"),
                            "\"10.0.0.1:80\"");
  std::regex Section(
      "\\{\\{#bounds.evac_ms\\}\\}([^]*)\\{\\{/bounds.evac_ms\\}\\}");
  auto Filled = [&Text, &Section](const char *With) {
    serving_settings_result Result =
        parseServingSettings(std::regex_replace(Text, Section, With));
    REQUIRE(std::holds_alternative<serving_host_settings>(Result));
    return std::get<serving_host_settings>(Result);
  };
  CHECK(Filled("$1").EmptiedZones);
  CHECK_FALSE(Filled("").EmptiedZones);
}

// Ids of callers may hold any bytes from 0x80 on.
TEST_CASE("a log line is UTF-8 whatever its values hold") {
  const std::vector<std::pair<std::string, std::string>> Values = {
      {"\xc3\xa3 \xe2\x82\xac \xf0\x9f\x8c\xbc", ""},
      {"\xff", "\\u00ff"},
      {"a\xc3", "a\\u00c3"},
      {"\xc0\xaf", "\\u00c0\\u00af"},
      {"\xed\xa0\x80", "\\u00ed\\u00a0\\u0080"},
      {"\xe0\x80\x80", "\\u00e0\\u0080\\u0080"},
      {"\xf4\x90\x80\x80", "\\u00f4\\u0090\\u0080\\u0080"},
      {"\x1b[2J\x7f", "\\u001b[2J\\u007f"}};
  for (const std::pair<std::string, std::string> &Value : Values) {
    event_record Record{event_number::RequestEnded,
                        event_severity::Info,
                        "request ended",
                        {{"request", Value.first}}};
    std::string Line = detail::formatLine(Record, "edge-1", {});
    const std::string &Written =
        Value.second.empty() ? Value.first : Value.second;
    CHECK(Line.find("\"request\":\"" + Written + "\"") != std::string::npos);
  }
}

TEST_CASE("a log line is one JSON object whatever its values hold") {
  event_record Record{event_number::RequestEnded,
                      event_severity::Warning,
                      "request ended",
                      {{"request", "a\"b\\c\n\x01"}, {"outcome", ""}}};
  std::string Line = detail::formatLine(
      Record, "edge \"1\"",
      std::chrono::system_clock::time_point(std::chrono::milliseconds(1'500)));
  CHECK(Line.find('\n') == std::string::npos);
  boost::system::error_code Error;
  boost::json::value Parsed = boost::json::parse(Line, Error);
  REQUIRE_FALSE(Error.failed());
  const boost::json::object &Object = Parsed.as_object();
  CHECK(Object.at("time").as_double() == doctest::Approx(1.5));
  CHECK(Object.at("event").as_int64() == 207);
  CHECK(Object.at("request").as_string() == "a\"b\\c\n\x01");
  CHECK(Object.at("host").as_string() == "edge \"1\"");
}
