// A second reader of HTTP/1.1 messages, written from RFC 9112 and nothing else,
// that says where a message ends.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jasminecroft::bytes {

struct read_message {
  std::size_t End = 0;
  std::string Body;
};

enum class message_kind { Request, Answer };

/// Absent if the message is not whole, or if its end is in doubt: a transfer
/// coding other than `chunked` alone, a length beside it, lengths that differ.
/// An answer without a length ends with the text.
std::optional<read_message> readMessage(std::string_view Text,
                                        message_kind Kind);

} // namespace jasminecroft::bytes
