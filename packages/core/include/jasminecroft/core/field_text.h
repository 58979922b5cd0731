// Texts from outside that are written into heads of messages: which of them can
// stand there without ending the head or changing what it says.
#pragma once

#include <cstddef>
#include <string_view>

namespace jasminecroft {

/// Longest name or result handle, in bytes, that is taken from others.
inline constexpr std::size_t MaxNameBytes = 256;

/// Whether a reader gets Text back unchanged as the value of a header: it is
/// not empty, has no control characters but tabs, no blank at either end, and
/// MaxNameBytes at most.
bool isFieldText(std::string_view Text);

/// Whether Text may stand in a header, in a list with commas and in a quoted
/// text: visible ASCII characters but commas, quotes and backslashes, at least
/// one and MaxNameBytes at most.
bool isPlainName(std::string_view Text);

/// Whether a header with this value is one line. Values that are passed on
/// unchanged may be longer than MaxNameBytes, or empty.
bool fitsInLine(std::string_view Value);

/// Whether Text is a method or the name of a header: a token of RFC 9110.
bool isToken(std::string_view Text);

/// Whether Text may stand between the blanks of a request line.
bool isRequestTarget(std::string_view Text);

} // namespace jasminecroft
