// Formats events as JSON lines and writes them without blocking.
#include "line_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace jasminecroft::detail {

namespace {

/// Lines that wait for a slow reader of the log.
constexpr std::size_t MaxBufferBytes = 262'144;
/// Lines are collected this long, so that one write takes several.
constexpr std::chrono::milliseconds FlushInterval{100};
/// A buffer of this size is written at once.
constexpr std::size_t FlushBytes = 16'384;
constexpr std::chrono::seconds WindowLength{1};
/// Lines of promises to callers, as a multiple of those of other events.
constexpr std::uint32_t PromiseFactor = 10;

// Returns the length of the character of UTF-8 that Text begins with; 0 if it
// begins with none.
std::size_t characterLength(std::string_view Text) {
  auto Byte = [Text](std::size_t Index) {
    return Index < Text.size() ? static_cast<unsigned char>(Text[Index]) : 0u;
  };
  constexpr unsigned FirstTail = 0x80;
  constexpr unsigned LastTail = 0xbf;
  unsigned First = Byte(0);
  std::size_t Length = First < 0x80                    ? 1
                       : First >= 0xc2 && First < 0xe0 ? 2
                       : First >= 0xe0 && First < 0xf0 ? 3
                       : First >= 0xf0 && First < 0xf5 ? 4
                                                       : 0;
  // No longer form than needed, no surrogate, nothing above U+10FFFF.
  if ((First == 0xe0 && Byte(1) < 0xa0) || (First == 0xed && Byte(1) > 0x9f) ||
      (First == 0xf0 && Byte(1) < 0x90) || (First == 0xf4 && Byte(1) > 0x8f))
    return 0;
  for (std::size_t I = 1; I < Length; ++I)
    if (Byte(I) < FirstTail || Byte(I) > LastTail)
      return 0;
  return Length;
}

// Bytes that are no UTF-8 are written as the characters of their numbers.
void appendText(std::string &Line, std::string_view Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned char Delete = 0x7f;
  Line += '"';
  while (!Text.empty()) {
    unsigned char Code = static_cast<unsigned char>(Text.front());
    std::size_t Length = characterLength(Text);
    if (Code == '"' || Code == '\\') {
      Line += '\\';
      Line += Text.front();
    } else if (Code < 0x20 || Code == Delete || Length == 0) {
      Line += "\\u00";
      Line += Digits[Code / 16];
      Line += Digits[Code % 16];
    } else {
      Line += Text.substr(0, Length);
    }
    Text.remove_prefix(std::max<std::size_t>(Length, 1));
  }
  Line += '"';
}

std::string_view severityName(event_severity Severity) {
  switch (Severity) {
  case event_severity::Info:
    return "info";
  case event_severity::Warning:
    return "warning";
  case event_severity::Error:
    return "error";
  }
  return "info";
}

} // namespace

std::string formatLine(const event_record &Record, std::string_view Host,
                       std::chrono::system_clock::time_point Time) {
  std::int64_t Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Time.time_since_epoch())
                        .count();
  std::array<char, 64> Begin{};
  int Length = std::snprintf(
      Begin.data(), Begin.size(),
      "{\"time\":%lld.%03lld,\"host\":", static_cast<long long>(Ms / 1000),
      static_cast<long long>(Ms % 1000));
  std::string Line(Begin.data(), static_cast<std::size_t>(Length));
  appendText(Line, Host);
  Line += ",\"event\":" + std::to_string(static_cast<unsigned>(Record.Number));
  Line += ",\"severity\":";
  appendText(Line, severityName(Record.Severity));
  Line += ",\"message\":";
  appendText(Line, Record.Message);
  for (const event_field &Field : Record.Fields) {
    Line += ',';
    appendText(Line, Field.Name);
    Line += ':';
    appendText(Line, Field.Value);
  }
  Line += '}';
  return Line;
}

line_log::line_log(boost::asio::io_context &Context, std::string Host,
                   const log_settings &Settings)
    : Host(std::move(Host)), Settings(Settings), Timer(Context) {
  int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

// Each promise to a caller is logged even when a whole pool refuses work.
std::uint32_t line_log::maxPerSecond(event_number Number) const {
  return Number == event_number::PromisedNotRun
             ? Settings.MaxPerSecond * PromiseFactor
             : Settings.MaxPerSecond;
}

void line_log::write(const event_record &Record) {
  if (Record.Severity < Settings.MinimumSeverity)
    return;
  std::chrono::steady_clock::time_point Now = std::chrono::steady_clock::now();
  window &Window = Windows[Record.Number];
  if (Now - Window.Began >= WindowLength) {
    Window.Began = Now;
    Window.Lines = 0;
  }
  if (Window.Lines >= maxPerSecond(Record.Number)) {
    ++Window.LeftOut;
    return;
  }
  ++Window.Lines;
  event_record Written = Record;
  if (std::uint64_t LeftOut = std::exchange(Window.LeftOut, 0))
    Written.Fields.push_back({"left_out", std::to_string(LeftOut)});
  if (DroppedUnreported > 0)
    Written.Fields.push_back(
        {"dropped_before", std::to_string(DroppedUnreported)});
  std::string Line =
      formatLine(Written, Host, std::chrono::system_clock::now());
  if (Buffer.size() + Line.size() + 1 > MaxBufferBytes) {
    ++Dropped;
    ++DroppedUnreported;
    return;
  }
  DroppedUnreported = 0;
  Buffer += Line;
  Buffer += '\n';
  if (Buffer.size() >= FlushBytes)
    flush();
  armFlush();
}

void line_log::flush() {
  while (!Buffer.empty()) {
    ssize_t Written = ::write(STDOUT_FILENO, Buffer.data(), Buffer.size());
    if (Written <= 0)
      return;
    Buffer.erase(0, static_cast<std::size_t>(Written));
  }
}

void line_log::armFlush() {
  if (Armed || Buffer.empty())
    return;
  Armed = true;
  Timer.expires_after(FlushInterval);
  Timer.async_wait([this](const boost::system::error_code &Error) {
    Armed = false;
    if (Error)
      return;
    flush();
    armFlush();
  });
}

} // namespace jasminecroft::detail
