// Stand-in of the platform's object API: versions, conditional updates,
// watches, call counts, and faults that can be set while it runs.
#pragma once

#include "jasminecroft/standins/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace jasminecroft::standins {

/// What the store does to calls; set by POST /test/steer.
struct store_faults {
  /// Answers 503; nothing takes effect.
  bool Refuse = false;
  /// Never answers; nothing takes effect.
  bool Hang = false;
  /// Share of writes, in permille, that take effect but are never answered.
  std::uint32_t LoseAnswersPermille = 0;
  std::chrono::milliseconds Delay{0};
};

/// Speaks the protocol of docs/PROTOCOLS.md; besides POST /test/steer and
/// GET /test/calls.
class object_store {
public:
  object_store(boost::asio::io_context &Io, std::string_view Address,
               std::uint64_t Seed);
  std::uint16_t port() const { return Server->port(); }

private:
  using exchange_ptr = std::shared_ptr<http_exchange>;
  struct stored {
    std::string Value;
    std::uint64_t Version = 0;
  };
  struct watcher {
    std::string Key;
    std::uint64_t After = 0;
    exchange_ptr Exchange;
    std::shared_ptr<boost::asio::steady_timer> Expiry;
  };

  void onRequest(const exchange_ptr &Exchange);
  void onSteer(const exchange_ptr &Exchange);
  void serve(const exchange_ptr &Exchange);
  void get(const exchange_ptr &Exchange, const std::string &Key);
  void watch(const exchange_ptr &Exchange, const std::string &Key,
             std::uint64_t After, std::chrono::milliseconds Wait);
  void put(const exchange_ptr &Exchange, const std::string &Key);
  void remove(const exchange_ptr &Exchange, const std::string &Key);
  void list(const exchange_ptr &Exchange, std::string_view Query);
  void written(const exchange_ptr &Exchange, const std::string &Key);
  void wakeWatchers(const std::string &Key);
  void answerFound(const exchange_ptr &Exchange, const stored &Object);

  boost::asio::io_context &Io;
  std::mt19937_64 Generator;
  std::map<std::string, stored> Objects;
  std::uint64_t LastVersion = 0;
  std::list<watcher> Watchers;
  store_faults Faults;
  /// Calls by method and first part of the key.
  std::map<std::string, std::uint64_t> Calls;
  std::unique_ptr<http_server> Server;
};

} // namespace jasminecroft::standins
