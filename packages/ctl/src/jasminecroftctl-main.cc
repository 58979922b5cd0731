// Program: the operators' command line.
#include "blocking_access.h"
#include "jasminecroft/ctl/commands.h"

#include <cstdio>
#include <iostream>
#include <random>

using namespace jasminecroft;
using namespace jasminecroft::ctl;

namespace {

change_id newChangeId() {
  std::random_device Device;
  char Text[40];
  std::snprintf(Text, sizeof Text, "%08x%08x", Device(), Device());
  return change_id(Text);
}

int run(const std::vector<std::string> &Arguments) {
  wall_time Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::variant<invocation, usage_error> Parsed =
      parseCommandLine(Arguments, Now);
  if (const usage_error *Error = std::get_if<usage_error>(&Parsed)) {
    std::cerr << "jasminecroftctl: " << Error->Where << ": " << Error->Message
              << '\n';
    return static_cast<int>(Error->Code);
  }
  const invocation &Call = std::get<invocation>(Parsed);
  std::unique_ptr<network_access> Network = makeNetworkAccess(Call.Settings);
  command_environment Environment{
      Network->platform(), Network->hosts(), std::cout, std::cerr, Now,
      newChangeId()};
  return static_cast<int>(runCommand(Call, Environment));
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(std::vector<std::string>(Arguments + 1, Arguments + Count));
  } catch (const std::exception &Error) {
    std::cerr << "jasminecroftctl: internal: " << Error.what() << '\n';
    return static_cast<int>(exit_code::Internal);
  }
}
