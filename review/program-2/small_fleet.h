// A small deployment on loopback for the cases of review 2: entry hosts as
// processes, the platform's store, and backend servers behind proxies that can
// end.
#pragma once

#include "jasminecroft/processes/child_process.h"
#include "jasminecroft/processes/fault_proxy.h"
#include "jasminecroft/processes/http_call.h"
#include "jasminecroft/standins/http_server.h"
#include "jasminecroft/standins/serving_platform.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using jasminecroft::processes::child_process;
using jasminecroft::processes::fault_proxy;
using jasminecroft::processes::http_call;
using jasminecroft::processes::http_reply;
using jasminecroft::standins::exchange_ptr;
using jasminecroft::standins::http_server;
using jasminecroft::standins::users_store;

/// What a case is started with: the daemon, a temporary folder, the record, and
/// whether the disruption happens.
struct case_arguments {
  std::string Daemon;
  std::string Folder;
  std::string RecordFile;
  bool Trouble = true;
};
/// Reads the command line; ends the process with 2 if it is not usable.
case_arguments readArguments(int Count, char **Words);

/// Lines with the time since the start, also written by several threads.
class case_record {
public:
  explicit case_record(const std::string &File);
  void write(const std::string &Line);
  double seconds() const;

private:
  std::mutex Mutex;
  std::ofstream Stream;
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
};

struct stage_result {
  /// The server that holds it.
  std::string Server;
  std::string Request;
  std::int64_t Stage = 0;
};
/// Results of stages by handle.
using stage_results = std::map<std::string, stage_result>;

/// What one backend server does; the members that its kind needs are set.
struct server_options {
  std::string Id;
  std::string Pool;
  std::string Zone;
  std::uint64_t Born = 1;
  /// Of a server of stages.
  std::chrono::milliseconds CallTime{240};
  std::chrono::milliseconds PieceTime{15};
  /// Of other servers: time of one request, requests at once and those that may
  /// wait.
  std::chrono::milliseconds Work{30};
  std::size_t Slots = 64;
  std::size_t Queue = 64;
  unsigned Events = 3;
};

struct piece_entry {
  std::string Request;
  std::int64_t Stage = 0;
  std::int64_t Piece = 0;
  std::string Key;
  bool HasKey = false;
  std::vector<std::string> Inputs;
};

/// A sound backend server: it serves stages and streams, one call for pieces at
/// a time, and knows which results exist.
class backend {
public:
  using entry_handler =
      std::function<void(const backend &, const piece_entry &)>;
  backend(boost::asio::io_context &Context, server_options Options,
          stage_results &Results, case_record &Record, entry_handler OnEntry);

  /// Of the proxy through which it is reached.
  std::uint16_t port() const { return Proxy->port(); }
  const server_options &options() const { return Options; }
  /// Ends as if killed: connections are reset and its results are lost.
  void crash();
  bool crashed() const { return !Proxy; }

private:
  void onRequest(const exchange_ptr &Exchange);
  void onPieces(const exchange_ptr &Exchange);
  void startCall();
  void onReport(const exchange_ptr &Exchange);
  void onFree(const exchange_ptr &Exchange);
  void onPlain(const exchange_ptr &Exchange);
  void onStream(const exchange_ptr &Exchange);
  void later(std::chrono::milliseconds Time, std::function<void()> Action);

  boost::asio::io_context &Context;
  server_options Options;
  stage_results &Results;
  case_record &Record;
  entry_handler OnEntry;
  bool Busy = false;
  std::deque<exchange_ptr> Calls;
  std::uint64_t LastResult = 0;
  std::unique_ptr<http_server> Server;
  std::unique_ptr<fault_proxy> Proxy;
};

struct host {
  std::string Name;
  std::string Zone;
  std::uint16_t Callers = 0;
  std::uint16_t Ready = 0;
  std::uint16_t Peers = 0;
  std::unique_ptr<child_process> Process;
};

class small_fleet {
public:
  small_fleet(const case_arguments &Arguments, const std::string &Config);
  ~small_fleet();
  small_fleet(const small_fleet &) = delete;
  small_fleet &operator=(const small_fleet &) = delete;

  /// Runs Action on the stand-ins' thread and waits for it.
  template <typename Action> void on(const Action &Run) {
    std::promise<void> Done;
    boost::asio::post(Context, [&] {
      Run();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  backend &addServer(const server_options &Options,
                     backend::entry_handler OnEntry = nullptr);
  /// Writes a server's entry; only on the stand-ins' thread.
  void list(const backend &Server, const std::string &State);
  void crashServer(const std::string &Id);
  void removeEntry(const std::string &Id);
  void addHost(const std::string &Name, const std::string &Zone);
  void startHost(host &Host);
  bool waitReady(std::chrono::seconds Bound);
  std::string logOf(const host &Host) const;

  boost::asio::io_context Context;
  case_record Record;
  std::unique_ptr<users_store> Store;
  stage_results Results;
  std::map<std::string, std::unique_ptr<backend>> Servers;
  std::vector<std::unique_ptr<host>> Hosts;

private:
  std::string file(const host &Host, const std::string &Ending) const;

  case_arguments Arguments;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard{Context.get_executor()};
  std::thread Thread;
};

/// A port of 127.0.0.1 that is free at the moment.
std::uint16_t freePort();

} // namespace review
