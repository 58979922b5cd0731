// Settings of the core, descriptors, addresses and the run's number.
#include "host_environment.h"

#include "jasminecroft/core/endpoint.h"

#include <chrono>
#include <sys/resource.h>
#include <utility>

namespace jasminecroft::detail {

namespace asio = boost::asio;
using error = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t FallbackDescriptors = 1'024;
/// Share of the descriptors that callers may hold.
constexpr std::size_t CallersDescriptorDivisor = 2;

} // namespace

serving_settings coreSettings(const serving_host_settings &Settings,
                              const host_run &Self) {
  serving_settings Result;
  Result.Self = Self;
  Result.Zone = Settings.Zone;
  Result.PeerAddress = Settings.Peers;
  Result.Capacity = Settings.Capacity;
  Result.Retries = Settings.Retries;
  Result.Seeds = Settings.Seeds;
  Result.BatchAlone = Settings.BatchAlone;
  Result.EmptiedZones = Settings.EmptiedZones;
  return Result;
}

std::size_t maxCallers() {
  rlimit Descriptors{};
  std::size_t Limit = FallbackDescriptors;
  if (getrlimit(RLIMIT_NOFILE, &Descriptors) == 0)
    Limit = Descriptors.rlim_cur;
  return Limit / CallersDescriptorDivisor;
}

std::optional<asio::ip::tcp::endpoint> toSocket(const endpoint &Address) {
  std::optional<ip_port> Parts = splitEndpoint(Address);
  if (!Parts)
    return std::nullopt;
  error Error;
  asio::ip::address Ip = asio::ip::make_address(Parts->Address, Error);
  if (Error)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, Parts->Port);
}

settings_error cannotListen(std::string Key) {
  return {settings_problem::AddressInUse, std::move(Key), 0,
          "an address of this host that is free"};
}

incarnation thisRun() {
  return incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count()));
}

} // namespace jasminecroft::detail
