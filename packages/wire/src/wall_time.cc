// Text of wall times: RFC 3339 in UTC with milliseconds.
#include "jasminecroft/wire/json_codec.h"

#include <cstdio>

namespace jasminecroft {

namespace {

struct time_parts {
  int Year = 0;
  unsigned Month = 0;
  unsigned Day = 0;
  int Hour = 0;
  int Minute = 0;
  int Second = 0;
  int Millisecond = 0;
};

/// Fits one of the accepted forms completely, or fails.
bool scan(const std::string &Text, time_parts &Parts) {
  int Used = 0;
  int Size = static_cast<int>(Text.size());
  int Read = std::sscanf(Text.c_str(), "%4d-%2u-%2u%n", &Parts.Year,
                         &Parts.Month, &Parts.Day, &Used);
  if (Read != 3)
    return false;
  if (Used == Size)
    return true;
  int Rest = 0;
  Read = std::sscanf(Text.c_str() + Used, "T%2d:%2d:%2d%n", &Parts.Hour,
                     &Parts.Minute, &Parts.Second, &Rest);
  if (Read != 3)
    return false;
  Used += Rest;
  if (Text[static_cast<std::size_t>(Used)] == '.') {
    Read =
        std::sscanf(Text.c_str() + Used, ".%3d%n", &Parts.Millisecond, &Rest);
    if (Read != 1)
      return false;
    Used += Rest;
  }
  return Text.substr(static_cast<std::size_t>(Used)) == "Z";
}

} // namespace

std::optional<wall_time> parseWallTime(std::string_view Text) {
  time_parts Parts;
  if (!scan(std::string(Text), Parts))
    return std::nullopt;
  std::chrono::year_month_day Date{std::chrono::year(Parts.Year),
                                   std::chrono::month(Parts.Month),
                                   std::chrono::day(Parts.Day)};
  bool ClockOk = Parts.Hour >= 0 && Parts.Hour < 24 && Parts.Minute >= 0 &&
                 Parts.Minute < 60 && Parts.Second >= 0 && Parts.Second <= 60;
  if (!Date.ok() || !ClockOk)
    return std::nullopt;
  return wall_time(std::chrono::sys_days(Date).time_since_epoch() +
                   std::chrono::hours(Parts.Hour) +
                   std::chrono::minutes(Parts.Minute) +
                   std::chrono::seconds(Parts.Second) +
                   std::chrono::milliseconds(Parts.Millisecond));
}

std::string toText(wall_time Time) {
  std::chrono::sys_days Day = std::chrono::floor<std::chrono::days>(Time);
  std::chrono::year_month_day Date(Day);
  std::chrono::hh_mm_ss<std::chrono::milliseconds> Clock(Time - Day);
  char Text[40];
  std::snprintf(Text, sizeof Text, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                static_cast<int>(Date.year()),
                static_cast<unsigned>(Date.month()),
                static_cast<unsigned>(Date.day()),
                static_cast<int>(Clock.hours().count()),
                static_cast<int>(Clock.minutes().count()),
                static_cast<int>(Clock.seconds().count()),
                static_cast<int>(Clock.subseconds().count()));
  return Text;
}

} // namespace jasminecroft
