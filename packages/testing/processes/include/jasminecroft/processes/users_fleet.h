// Entry hosts as processes on the users' platform: its store and backend
// servers are stand-ins on one thread of the test.
#pragma once

#include "jasminecroft/processes/child_process.h"
#include "jasminecroft/processes/fault_proxy.h"
#include "jasminecroft/processes/http_call.h"
#include "jasminecroft/standins/serving_platform.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jasminecroft::processes {

/// The operator's configuration: routes "read", "once", "draft" (a stream that
/// may be resumed) and "note" (one that may not), two workspaces with one key
/// each.
const char *usersConfig();

class users_fleet {
public:
  using act_chooser = std::function<standins::backend_act()>;

  /// Proxied: hosts reach the store and the backend servers through proxies.
  /// Act: what the first backend servers do with each request. Hosts and
  /// servers are spread over the zones.
  explicit users_fleet(std::size_t Hosts, bool Proxied = false,
                       act_chooser Act = nullptr, std::size_t Zones = 1);
  ~users_fleet();
  users_fleet(const users_fleet &) = delete;
  users_fleet &operator=(const users_fleet &) = delete;

  /// Runs Action on the stand-ins' thread and waits for it.
  template <typename Action> void on(const Action &Run) {
    std::promise<void> Done;
    boost::asio::post(Context, [&] {
      Run();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  standins::users_backend &add(const std::string &Pool,
                               standins::users_backend_options Options);
  /// Writes a server's entry; only on the stand-ins' thread.
  void list(const std::string &Pool, const std::string &Id,
            const std::string &State);
  /// The same for a server at a port.
  void listAt(const std::string &Pool, const std::string &Id,
              std::uint16_t Port, const std::string &State = "ready");
  void listAt(const std::string &Pool, const std::string &Id,
              const std::string &Address, const std::string &State = "ready");
  /// A server that has left ends, and a new one of Pool takes its address; its
  /// entry is still to be removed. Only for proxied fleets.
  void reuseAddress(const std::string &Left, const std::string &Pool,
                    standins::users_backend_options Options);
  /// Replaces one text of a host's settings file.
  void changeSettings(std::size_t Host, const std::string &From,
                      const std::string &To) const;
  /// Starts the process of a host that does not run.
  void startHost(std::size_t Host);

  bool waitReady() const;
  http_call call(const std::string &Path, const std::string &Id,
                 const std::string &Key = "key-1", std::size_t Host = 0) const;
  /// Streams with three pieces in two stages.
  http_call draft(const std::string &Id, std::size_t Host = 0) const;
  http_call stream(const std::string &Path, const std::string &Id,
                   std::size_t Host = 0) const;
  /// Options of a backend server that does as the first ones.
  standins::users_backend_options backendOptions(const std::string &Id) const;
  /// Name of the proxy between a host and the store.
  static std::string storeProxy(std::size_t Host);
  /// Name of the proxy through which other hosts reach a host.
  static std::string peerProxy(std::size_t Host);
  std::size_t ranTimes(const std::string &Id);
  std::string logOf(std::size_t Host) const;
  /// What the host wrote on standard error.
  std::string errorsOf(std::size_t Host) const;

  boost::asio::io_context Context;
  std::unique_ptr<standins::users_store> Store;
  std::map<std::string, std::unique_ptr<standins::users_backend>> Backends;
  /// By backend server; "store" for the store's, which each host reaches
  /// through one of its own.
  std::map<std::string, std::unique_ptr<fault_proxy>> Proxies;
  std::vector<std::unique_ptr<child_process>> Processes;
  std::vector<std::uint16_t> CallerPorts;
  std::vector<std::uint16_t> ReadyPorts;
  /// Where hosts listen for each other.
  std::vector<std::uint16_t> PeerPorts;

private:
  std::string file(std::size_t Host, const char *Ending) const;
  void writeSettings(std::size_t Host, std::uint16_t Peers) const;
  std::string zoneOf(std::size_t Number) const;

  bool Proxied;
  std::size_t Zones;
  act_chooser Act;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard{Context.get_executor()};
  std::thread Thread;
  std::filesystem::path Folder;
};

} // namespace jasminecroft::processes
