// One reader of bytes from outside, as a fuzzer and a replay of kept inputs
// call it.
#pragma once

#include <string_view>

namespace jasminecroft::bytes {

/// Reads Bytes as a host would. A property that does not hold ends the process.
void readBytes(std::string_view Bytes);

/// Prints What and ends the process.
[[noreturn]] void violated(const char *What);

inline void require(bool Holds, const char *What) {
  if (!Holds)
    violated(What);
}

} // namespace jasminecroft::bytes
