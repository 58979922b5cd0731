// XXH3-64 over pieces, as over the concatenated text.
#include "stream_digest.h"

#include <xxhash.h>

namespace jasminecroft::detail {

struct stream_digest::state {
  XXH3_state_t *Value = XXH3_createState();
  state() { XXH3_64bits_reset(Value); }
  ~state() { XXH3_freeState(Value); }
  state(const state &) = delete;
  state &operator=(const state &) = delete;
};

stream_digest::stream_digest() : State(std::make_unique<state>()) {}

stream_digest::~stream_digest() = default;

void stream_digest::append(std::string_view Text) {
  XXH3_64bits_update(State->Value, Text.data(), Text.size());
}

std::uint64_t stream_digest::value() const {
  return XXH3_64bits_digest(State->Value);
}

} // namespace jasminecroft::detail
