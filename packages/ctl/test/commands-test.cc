// Commands as operators type them, over a store in memory.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fake_access.h"
#include "jasminecroft/ctl/commands.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace jasminecroft;
using namespace jasminecroft::ctl;

namespace {

const std::string Example =
    std::string(JASMINECROFT_SOURCE_DIR) + "/examples/fleet.json";
const wall_time Now{std::chrono::milliseconds(1'796'000'000'000)};

class fake_status final : public status_access {
public:
  std::optional<std::string> read(const endpoint &Host,
                                  const std::string &Topic) override {
    if (Host == endpoint("127.0.0.1:1"))
      return std::nullopt;
    if (Topic == "summary")
      return R"({"host":"e2","zone":"z1","config_version":1,)"
             R"("platform_away":true,"in_flight":3})";
    return R"({"decisions":[{"age_ms":5,"event":701,)"
           R"("message":"platform does not answer","fields":{"calls":"3"}}]})";
  }
};

struct result {
  int Code = 0;
  std::string Out;
  std::string Errors;
};

class terminal {
public:
  result run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.end(), {"--platform", "127.0.0.1:9"});
    result Result;
    std::variant<invocation, usage_error> Parsed =
        parseCommandLine(Arguments, Now);
    if (const usage_error *Error = std::get_if<usage_error>(&Parsed)) {
      Result.Code = static_cast<int>(Error->Code);
      Result.Errors = Error->Where + ": " + Error->Message;
      return Result;
    }
    std::ostringstream Out;
    std::ostringstream Errors;
    change_id Id("change-" + std::to_string(++Changes));
    command_environment Environment{Access, Status, Out, Errors, Now, Id};
    Result.Code =
        static_cast<int>(runCommand(std::get<invocation>(Parsed), Environment));
    Result.Out = Out.str();
    Result.Errors = Errors.str();
    return Result;
  }

  result change(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.end(), {"--author", "ana", "--reason", "why"});
    return run(std::move(Arguments));
  }

  fake_access Access;

private:
  fake_status Status;
  int Changes = 0;
};

class scratch_file {
public:
  explicit scratch_file(const std::string &Text) {
    int File = mkstemp(Path.data());
    REQUIRE(File >= 0);
    close(File);
    std::ofstream(Path) << Text;
  }
  ~scratch_file() { std::remove(Path.c_str()); }
  scratch_file(const scratch_file &) = delete;
  scratch_file &operator=(const scratch_file &) = delete;

  std::string Path = "/tmp/jasminecroft-XXXXXX";
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// The operator's configuration of the examples.
std::string operatorConfig() {
  std::ifstream File(std::string(JASMINECROFT_SOURCE_DIR) +
                     "/examples/operator-config.json");
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  std::size_t Place = Text.find(Old);
  REQUIRE(Place != std::string::npos);
  return Text.replace(Place, Old.size(), New);
}

} // namespace

TEST_CASE("the example becomes version 1, once") {
  terminal Terminal;
  CHECK(Terminal.run({"config", "get"}).Code == 22);
  CHECK(Terminal.change({"config", "init", Example}).Code == 0);
  result Again = Terminal.change({"config", "init", Example});
  CHECK(Again.Code == 21);
  CHECK(contains(Terminal.run({"config", "get"}).Out, "\"version\": 1"));
}

TEST_CASE("what config get prints can be edited and put in force") {
  terminal Terminal;
  Terminal.change({"config", "init", Example});
  std::string Text = Terminal.run({"config", "get"}).Out;
  scratch_file Same(Text);
  CHECK(Terminal.run({"config", "diff", Same.Path}).Out == "no differences\n");
  scratch_file Edited(
      replaced(Text, "\"deadline_ms\": 5000", "\"deadline_ms\": 4000"));
  CHECK(contains(Terminal.run({"config", "diff", Edited.Path}).Out,
                 "deadline_ms: 5000 -> 4000"));
  CHECK(Terminal.change({"config", "edit", Edited.Path}).Code == 0);
  result Stale = Terminal.change({"config", "edit", Edited.Path});
  CHECK(Stale.Code == 21);
  CHECK(contains(Stale.Errors, "change-5"));
}

TEST_CASE("effective names the exception and its reason") {
  terminal Terminal;
  Terminal.change({"config", "init", Example});
  result Added = Terminal.change(
      {"exception", "add", "--id", "silos", "--setting", "workspace_weight",
       "--value", "200", "--workspace", "silos", "--review-by", "2027-04-01"});
  CHECK(Added.Code == 0);
  std::string Text = Terminal.run({"effective", "--workspace", "silos"}).Out;
  CHECK(contains(Text, "exception silos: why"));
  CHECK(contains(Terminal.run({"exception", "list"}).Out, "by ana"));
  CHECK(Terminal.change({"exception", "remove", "silos"}).Code == 0);
  CHECK_FALSE(contains(Terminal.run({"effective", "--workspace", "silos"}).Out,
                       "exception silos"));
  std::string History = Terminal.run({"config", "history"}).Out;
  CHECK(contains(History, "exception silos removed"));
  CHECK(contains(History, "exception silos added"));
}

TEST_CASE("an unknown outcome names a change id that can be looked up") {
  terminal Terminal;
  Terminal.change({"config", "init", Example});
  Terminal.Access.WriteFaults = {call_fault::LostAfter};
  Terminal.Access.TriesLeft = 0;
  result Unknown = Terminal.change({"config", "set", "max_attempts", "2"});
  CHECK(Unknown.Code == 20);
  CHECK(contains(Unknown.Errors, "config find change-2"));
  result Found = Terminal.run({"config", "find", "change-2"});
  CHECK(Found.Code == 0);
  CHECK(contains(Found.Out, "max_attempts: 3 -> 2"));
  CHECK(Terminal.run({"config", "find", "change-77"}).Code == 22);
}

TEST_CASE("status shows who lags and who was not reached") {
  terminal Terminal;
  result Status = Terminal.run(
      {"status", "--host", "127.0.0.1:2", "--host", "127.0.0.1:1"});
  CHECK(Status.Code == 7);
  CHECK(contains(Status.Out, "not reached"));
  CHECK(contains(Status.Out, "away"));
  result Explain = Terminal.run({"explain", "--host", "127.0.0.1:2"});
  CHECK(Explain.Code == 0);
  CHECK(contains(Explain.Out, "E701 platform does not answer calls=3"));
}

TEST_CASE("wrong command lines name what is wrong") {
  terminal Terminal;
  CHECK(Terminal.run({"config", "set", "max_attempts", "2"}).Errors ==
        "--author: is missing");
  CHECK(Terminal.run({"bake"}).Code == 2);
  CHECK(Terminal.change({"config", "set", "colour", "2"}).Errors ==
        "colour: is not a setting");
  CHECK(Terminal.change({"config", "set", "max_attempts", "two"}).Code == 2);
  CHECK(Terminal.run({"status"}).Errors == "--host: is missing");
  CHECK(Terminal.run({"config", "get", "--settings", "/nowhere"}).Code == 3);
  scratch_file Wrong(R"({"platfrom": "x"})");
  CHECK(Terminal.run({"config", "get", "--settings", Wrong.Path}).Code == 8);
  CHECK(Terminal.change({"config", "init", Wrong.Path}).Code == 8);
  CHECK(Terminal.change({"config", "set", "max_attempts", "99"}).Code == 22);
}

TEST_CASE("an operator's configuration is checked without a platform") {
  terminal Terminal;
  scratch_file Sound(operatorConfig());
  result Result = Terminal.run({"config", "check", Sound.Path});
  CHECK(Result.Code == 0);
  CHECK(Result.Out == "no findings\n");
  std::variant<invocation, usage_error> Parsed =
      parseCommandLine({"config", "check", Sound.Path}, Now);
  CHECK(std::holds_alternative<invocation>(Parsed));
  CHECK(Terminal.run({"config", "check"}).Code == 2);
  CHECK(Terminal.run({"config", "check", "/nowhere"}).Code == 3);
  scratch_file Text("{");
  CHECK(Terminal.run({"config", "check", Text.Path}).Code == 4);
  scratch_file Type(replaced(operatorConfig(), "\"read\"", "7"));
  CHECK(Terminal.run({"config", "check", Type.Path}).Code == 9);
}

TEST_CASE("the exit code of a check tells faults from entries that never "
          "match") {
  terminal Terminal;
  scratch_file Unused(replaced(operatorConfig(), "\"services\": [",
                               "\"services\": [{\"name\":\"spare\"},"));
  result Result = Terminal.run({"config", "check", Unused.Path});
  CHECK(Result.Code == 24);
  CHECK(Result.Out == "never_matches: pool spare: unused_pool\n");
  scratch_file Goal(
      replaced(operatorConfig(), "\"goal_ms\": 500", "\"goal_ms\": 5000"));
  Result = Terminal.run({"config", "check", Goal.Path, "--json"});
  CHECK(Result.Code == 23);
  CHECK(Result.Out ==
        "{\"version\":3,\"findings\":[{\"class\":\"contradiction\","
        "\"kind\":\"goal_above_timeout\",\"where\":\"route read\","
        "\"detail\":\"goal 5000 ms, timeout 3000 ms\"}]}\n");
}

TEST_CASE("a check tells what differs from another version and no key") {
  terminal Terminal;
  scratch_file Old(operatorConfig());
  scratch_file New(replaced(
      replaced(replaced(operatorConfig(), "\"version\": 3", "\"version\": 4"),
               "a-very-secret-key", "another-secret-key"),
      ": 48", ": 64"));
  result Result =
      Terminal.run({"config", "check", New.Path, "--against", Old.Path});
  CHECK(Result.Code == 0);
  CHECK(Result.Out == "no findings\n"
                      "difference: pool plain, connections: 48 -> 64\n"
                      "difference: key a-ve... of workspace w1: present -> "
                      "absent\n"
                      "difference: key anot... of workspace w1: absent -> "
                      "present\n");
  Result = Terminal.run(
      {"config", "check", New.Path, "--against", Old.Path, "--json"});
  CHECK(contains(Result.Out, "\"against\":3"));
  CHECK(contains(Result.Out, "{\"where\":\"pool plain, connections\","
                             "\"before\":\"48\",\"after\":\"64\"}"));
  CHECK_FALSE(contains(Result.Out, "secret"));
}
