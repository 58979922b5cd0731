// Formats numbered events and hands them to glog.
#include "jasminecroft/entry/event_logger.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jasminecroft {

namespace {

constexpr std::chrono::seconds WindowLength{1};

bool isControl(char Character) {
  unsigned char Code = static_cast<unsigned char>(Character);
  constexpr unsigned char Delete = 0x7f;
  return Code < 0x20 || Code == Delete;
}

bool needsQuotes(const std::string &Value) {
  return Value.empty() || Value.find_first_of(" \"=") != std::string::npos ||
         std::any_of(Value.begin(), Value.end(), isControl);
}

void appendValue(std::string &Line, const std::string &Value) {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Line += '\\';
    Line += isControl(Character) ? ' ' : Character;
  }
  Line += '"';
}

} // namespace

std::string formatEvent(const event_record &Record) {
  std::string Line =
      "[E" + std::to_string(static_cast<unsigned>(Record.Number)) + "] ";
  Line += Record.Message;
  for (const event_field &Field : Record.Fields) {
    Line += ' ';
    Line += Field.Name;
    Line += '=';
    appendValue(Line, Field.Value);
  }
  return Line;
}

void event_logger::write(const event_record &Record) {
  if (Record.Severity < Settings.MinimumSeverity)
    return;
  std::chrono::steady_clock::time_point Now = std::chrono::steady_clock::now();
  window &Window = Windows[Record.Number];
  if (Now - Window.Began >= WindowLength) {
    Window.Began = Now;
    Window.Lines = 0;
  }
  if (Window.Lines >= Settings.MaxPerSecond) {
    ++Window.LeftOut;
    return;
  }
  ++Window.Lines;
  std::string Line = formatEvent(Record);
  if (std::uint64_t LeftOut = std::exchange(Window.LeftOut, 0))
    Line += " left_out=" + std::to_string(LeftOut);
  switch (Record.Severity) {
  case event_severity::Info:
    LOG(INFO) << Line;
    return;
  case event_severity::Warning:
    LOG(WARNING) << Line;
    return;
  case event_severity::Error:
    LOG(ERROR) << Line;
    return;
  }
}

} // namespace jasminecroft
