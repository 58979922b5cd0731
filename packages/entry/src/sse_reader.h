// Cuts a server-sent event stream into events.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jasminecroft::detail {

struct sse_event {
  std::string Name;
  std::string Data;
};

/// Takes text in pieces of any size and gives whole events.
class sse_reader {
public:
  /// Largest event; a longer one is malformed.
  static constexpr std::size_t MaxEventBytes = 262'144;

  /// False if the stream cannot be read any further.
  bool append(std::string_view Text);
  std::optional<sse_event> next();

private:
  std::string Pending;
  /// Start of what has not been given out yet.
  std::size_t Begin = 0;
};

} // namespace jasminecroft::detail
