// Finds the blank lines that end server-sent events, and reads their fields.
#include "sse_reader.h"

namespace jasminecroft::detail {

namespace {

std::string_view withoutReturn(std::string_view Line) {
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

std::string_view fieldValue(std::string_view Line, std::size_t NameSize) {
  Line.remove_prefix(NameSize + 1);
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  return Line;
}

void readLine(std::string_view Line, sse_event &Event) {
  if (Line.starts_with("event:"))
    Event.Name = fieldValue(Line, 5);
  if (!Line.starts_with("data:"))
    return;
  if (!Event.Data.empty())
    Event.Data += '\n';
  Event.Data += fieldValue(Line, 4);
}

} // namespace

bool sse_reader::append(std::string_view Text) {
  if (Begin != 0) {
    Pending.erase(0, Begin);
    Begin = 0;
  }
  Pending += Text;
  return Pending.size() <= MaxEventBytes;
}

std::optional<sse_event> sse_reader::next() {
  sse_event Event;
  std::size_t Position = Begin;
  while (true) {
    std::size_t End = Pending.find('\n', Position);
    if (End == std::string::npos)
      return std::nullopt;
    std::string_view Line = withoutReturn(
        std::string_view(Pending).substr(Position, End - Position));
    Position = End + 1;
    if (!Line.empty()) {
      readLine(Line, Event);
      continue;
    }
    Begin = Position;
    if (!Event.Name.empty() || !Event.Data.empty())
      return Event;
  }
}

} // namespace jasminecroft::detail
