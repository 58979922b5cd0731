// The entry that fuzzers call.
#include "byte_target.h"

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace jasminecroft::bytes {

void violated(const char *What) {
  std::fprintf(stderr, "violated: %s\n", What);
  std::abort();
}

} // namespace jasminecroft::bytes

// libFuzzer calls this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  // Empty inputs come without an address.
  const char *Text = Size > 0 ? reinterpret_cast<const char *>(Data) : "";
  jasminecroft::bytes::readBytes({Text, Size});
  return 0;
}
