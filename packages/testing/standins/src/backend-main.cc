// Program: stand-ins of one or more backend servers in one process.
#include "jasminecroft/standins/backend_server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace options = boost::program_options;
using namespace jasminecroft::standins;

int main(int Count, char **Arguments) {
  std::vector<std::string> Addresses;
  std::uint64_t Run = 0;
  std::uint64_t BaseUs = 0;
  std::uint64_t UsPerKilobyte = 0;
  backend_behaviour Behaviour;
  options::options_description Known("stand-ins of backend servers");
  Known.add_options()("address", options::value(&Addresses)->required(),
                      "IP:port of a server; may be given several times")(
      "run", options::value(&Run)->default_value(1), "incarnation")(
      "slots", options::value(&Behaviour.Slots)->default_value(4),
      "calls at once")("base-us", options::value(&BaseUs)->default_value(2000),
                       "service time of an empty call")(
      "us-per-kb", options::value(&UsPerKilobyte)->default_value(1000),
      "service time of each kilobyte of input");
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(Count, Arguments, Known),
                   Values);
    options::notify(Values);
    Behaviour.BaseTime = std::chrono::microseconds(BaseUs);
    Behaviour.TimePerKilobyte = std::chrono::microseconds(UsPerKilobyte);
    boost::asio::io_context Io;
    std::vector<std::unique_ptr<backend_server>> Servers;
    Servers.reserve(Addresses.size());
    for (const std::string &Address : Addresses)
      Servers.push_back(
          std::make_unique<backend_server>(Io, Address, Run, Behaviour));
    boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([&Io](boost::system::error_code, int) { Io.stop(); });
    Io.run();
  } catch (const std::exception &Error) {
    std::cerr << "backend stand-in: " << Error.what() << '\n';
    return 1;
  }
  return 0;
}
