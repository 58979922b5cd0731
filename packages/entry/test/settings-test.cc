// Settings: what is read, and which error names which key and line.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jasminecroft/entry/settings.h"

#include <doctest/doctest.h>

using namespace jasminecroft;

namespace {

const std::string Valid = R"({
  // where this host is
  "fleet": "escaleras", "host": "e1", "zone": "z1", "region": "r1",
  "callers": "127.0.0.1:8101",
  "peers": "127.0.0.1:8201",
  "platform": "127.0.0.1:8001",
  "peer_tls": {"certificate_and_key": "e1.pem", "authority": "ca.pem"},
  "seeds": [
    {"host": "e2", "zone": "z1", "address": "127.0.0.1:8202"},
    {"host": "e3", "zone": "z2", "address": "127.0.0.1:8203"}
  ],
  "balancer_lag_ms": 300,
  "log": {"minimum_severity": "warning", "max_per_second": 7}
})";

std::string replaced(const std::string &Old, const std::string &New) {
  std::string Text = Valid;
  Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

settings_error errorOf(const std::string &Text) {
  settings_result Result = parseSettings(Text);
  REQUIRE(std::holds_alternative<settings_error>(Result));
  return std::get<settings_error>(Result);
}

void checkError(const std::string &Text, settings_problem Problem,
                const std::string &Key, std::size_t Line) {
  settings_error Error = errorOf(Text);
  CHECK(Error.Problem == Problem);
  CHECK(Error.Key == Key);
  CHECK(Error.Line == Line);
}

} // namespace

TEST_CASE("valid settings with comments are read whole") {
  settings_result Result = parseSettings(Valid);
  REQUIRE(std::holds_alternative<daemon_settings>(Result));
  const daemon_settings &Settings = std::get<daemon_settings>(Result);
  CHECK(Settings.Host.Value == "e1");
  CHECK(Settings.Callers.Value == "127.0.0.1:8101");
  CHECK(Settings.PeerTls->Authority == "ca.pem");
  REQUIRE(Settings.Seeds.size() == 2);
  CHECK(Settings.Seeds[1].Zone.Value == "z2");
  CHECK(Settings.BalancerLag == std::chrono::milliseconds(300));
  CHECK(Settings.Log.MinimumSeverity == event_severity::Warning);
  CHECK(Settings.Log.MaxPerSecond == 7);
}

TEST_CASE("printed settings are read as the same settings") {
  settings_result First = parseSettings(Valid);
  std::string Printed = printSettings(std::get<daemon_settings>(First));
  settings_result Second = parseSettings(Printed);
  REQUIRE(std::holds_alternative<daemon_settings>(Second));
  CHECK(printSettings(std::get<daemon_settings>(Second)) == Printed);
}

TEST_CASE("each error names its key and line") {
  checkError(replaced("\"host\": \"e1\"", "\"hots\": \"e1\""),
             settings_problem::UnknownKey, "hots", 3);
  checkError(replaced("\"host\": \"e1\", ", ""), settings_problem::KeyMissing,
             "host", 0);
  checkError(replaced("\"127.0.0.1:8201\"", "8201"),
             settings_problem::WrongType, "peers", 5);
  checkError(replaced("127.0.0.1:8001", "platform:8001"),
             settings_problem::InvalidValue, "platform", 6);
  checkError(replaced("127.0.0.1:8203", "127.0.0.1:0"),
             settings_problem::InvalidValue, "seeds[1].address", 10);
  checkError(replaced("300", "-1"), settings_problem::InvalidValue,
             "balancer_lag_ms", 12);
  checkError(replaced("\"warning\"", "\"loud\""),
             settings_problem::InvalidValue, "log.minimum_severity", 13);
  checkError(replaced("\"log\"", "log"), settings_problem::Malformed, "", 13);
}

TEST_CASE("a missing file is a typed error with its own exit code") {
  settings_result Result = readSettings("no-such-folder/settings.json");
  REQUIRE(std::holds_alternative<settings_error>(Result));
  settings_problem Problem = std::get<settings_error>(Result).Problem;
  CHECK(Problem == settings_problem::FileMissing);
  CHECK(exitCodeOf(Problem) == exit_code::SettingsMissing);
}
