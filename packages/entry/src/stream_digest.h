// Running XXH3-64 digest of a stream's text.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace jasminecroft::detail {

class stream_digest {
public:
  stream_digest();
  ~stream_digest();
  stream_digest(const stream_digest &) = delete;
  stream_digest &operator=(const stream_digest &) = delete;

  void append(std::string_view Text);
  std::uint64_t value() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace jasminecroft::detail
