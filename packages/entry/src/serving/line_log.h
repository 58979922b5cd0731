// Structured log lines on standard output, one JSON object each. Never blocks:
// what does not fit the buffer is dropped, counted and reported.
#pragma once

#include "../io_types.h"
#include "jasminecroft/core/event_log.h"
#include "jasminecroft/entry/settings.h"

#include <chrono>
#include <map>
#include <string>

namespace jasminecroft::detail {

/// One line without its end: time, host, number, message and fields.
std::string formatLine(const event_record &Record, std::string_view Host,
                       std::chrono::system_clock::time_point Time);

class line_log {
public:
  line_log(boost::asio::io_context &Context, std::string Host,
           const log_settings &Settings);

  void write(const event_record &Record);
  /// Writes what waits, as far as the descriptor takes it.
  void flush();
  std::uint64_t dropped() const { return Dropped; }

private:
  struct window {
    std::chrono::steady_clock::time_point Began;
    std::uint32_t Lines = 0;
    std::uint64_t LeftOut = 0;
  };

  void armFlush();
  std::uint32_t maxPerSecond(event_number Number) const;

  std::string Host;
  log_settings Settings;
  io_timer Timer;
  bool Armed = false;
  std::string Buffer;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedUnreported = 0;
  std::map<event_number, window> Windows;
};

} // namespace jasminecroft::detail
