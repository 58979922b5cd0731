// Walks over CBOR bytes without recursion.
#include "cbor_check.h"

#include <array>

namespace jasminecroft::detail {

namespace {

enum class major_type : std::uint8_t {
  Unsigned = 0,
  Negative = 1,
  Text = 3,
  Array = 4,
  Simple = 7,
};

constexpr std::uint8_t FirstFollowedByBytes = 24;
constexpr std::uint8_t LastFollowedByBytes = 27;
constexpr std::uint8_t SimpleFalse = 20;
constexpr std::uint8_t SimpleNull = 22;

class cbor_walker {
public:
  explicit cbor_walker(std::span<const std::uint8_t> Bytes) : Bytes(Bytes) {}

  std::optional<codec_error> walk() {
    Open[0] = 1;
    Depth = 1;
    while (Depth > 0) {
      if (Open[Depth - 1] == 0) {
        --Depth;
        continue;
      }
      --Open[Depth - 1];
      if (!takeItem())
        return codec_error{Problem, "byte " + std::to_string(Position)};
    }
    if (Position != Bytes.size())
      return codec_error{codec_problem::Malformed, "bytes after the message"};
    return std::nullopt;
  }

private:
  bool takeItem() {
    if (Position >= Bytes.size())
      return false;
    std::uint8_t Head = Bytes[Position++];
    major_type Type = static_cast<major_type>(Head >> 5);
    std::uint8_t Info = Head & 31;
    if (Type == major_type::Simple)
      return Info >= SimpleFalse && Info <= SimpleNull;
    std::uint64_t Argument = 0;
    if (!takeArgument(Info, Argument))
      return false;
    switch (Type) {
    case major_type::Unsigned:
    case major_type::Negative:
      return true;
    case major_type::Text:
      if (Argument > Bytes.size() - Position)
        return false;
      Position += Argument;
      return true;
    case major_type::Array:
      return openArray(Argument);
    default:
      return false;
    }
  }

  bool takeArgument(std::uint8_t Info, std::uint64_t &Argument) {
    if (Info < FirstFollowedByBytes) {
      Argument = Info;
      return true;
    }
    if (Info > LastFollowedByBytes)
      return false;
    std::size_t Count = std::size_t{1} << (Info - FirstFollowedByBytes);
    if (Count > Bytes.size() - Position)
      return false;
    for (std::size_t I = 0; I < Count; ++I)
      Argument = Argument << 8 | Bytes[Position++];
    return true;
  }

  // Every element takes a byte at least, so a count beyond the bytes left is
  // refused before anything is set aside for it.
  bool openArray(std::uint64_t Count) {
    if (Count > Bytes.size() - Position)
      return false;
    if (Depth >= MaxCborDepth) {
      Problem = codec_problem::TooLarge;
      return false;
    }
    Open[Depth++] = Count;
    return true;
  }

  std::span<const std::uint8_t> Bytes;
  std::size_t Position = 0;
  std::size_t Depth = 0;
  /// Items still to come in each open array.
  std::array<std::uint64_t, MaxCborDepth> Open{};
  codec_problem Problem = codec_problem::Malformed;
};

} // namespace

std::optional<codec_error> checkCbor(std::span<const std::uint8_t> Bytes) {
  return cbor_walker(Bytes).walk();
}

} // namespace jasminecroft::detail
