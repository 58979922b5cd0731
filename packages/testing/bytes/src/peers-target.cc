// Messages between entry hosts.
#include "byte_target.h"

#include "jasminecroft/wire/peer_codec.h"

namespace jasminecroft::bytes {

namespace {

std::optional<peer_message> decoded(std::span<const std::uint8_t> Bytes) {
  codec_result<peer_message> Result = decodePeer(Bytes);
  if (peer_message *Message = std::get_if<peer_message>(&Result))
    return std::move(*Message);
  return std::nullopt;
}

} // namespace

void readBytes(std::string_view Bytes) {
  std::optional<peer_message> Read = decoded(
      {reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size()});
  if (!Read)
    return;
  std::vector<std::uint8_t> Written = encodePeer(*Read);
  std::optional<peer_message> Again = decoded(Written);
  require(Again.has_value(), "a message that was read can be read again");
  require(encodePeer(*Again) == Written,
          "a message is the same when it is written and read again");
}

} // namespace jasminecroft::bytes
