// Writes numbered events to the log, bounded in rate.
#pragma once

#include "jasminecroft/core/event_log.h"
#include "jasminecroft/entry/settings.h"

#include <chrono>
#include <map>
#include <string>

namespace jasminecroft {

/// "[E401] configuration applied version=3".
std::string formatEvent(const event_record &Record);

/// Logs through glog. Lines of one number beyond the bound of a second are
/// left out and counted in the next line of that number.
class event_logger {
public:
  explicit event_logger(const log_settings &Settings) : Settings(Settings) {}
  void write(const event_record &Record);

private:
  struct window {
    std::chrono::steady_clock::time_point Began;
    std::uint32_t Lines = 0;
    std::uint64_t LeftOut = 0;
  };
  log_settings Settings;
  std::map<event_number, window> Windows;
};

} // namespace jasminecroft
