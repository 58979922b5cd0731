// Program: the stand-in of the platform's object API.
#include "jasminecroft/standins/object_store.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace options = boost::program_options;

int main(int Count, char **Arguments) {
  std::string Address;
  std::uint64_t Seed = 0;
  options::options_description Known("stand-in of the object API");
  Known.add_options()("address", options::value(&Address)->required(),
                      "IP:port to listen at")(
      "seed", options::value(&Seed)->default_value(1), "seed of faults");
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(Count, Arguments, Known),
                   Values);
    options::notify(Values);
    boost::asio::io_context Io;
    jasminecroft::standins::object_store Store(Io, Address, Seed);
    boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([&Io](boost::system::error_code, int) { Io.stop(); });
    Io.run();
  } catch (const std::exception &Error) {
    std::cerr << "object store stand-in: " << Error.what() << '\n';
    return 1;
  }
  return 0;
}
