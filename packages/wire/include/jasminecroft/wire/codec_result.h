// Typed result of decoding.
#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace jasminecroft {

enum class codec_problem {
  /// Not well-formed JSON or CBOR.
  Malformed,
  /// A required member is missing.
  Missing,
  /// A member has another type than it should.
  WrongType,
  /// A value is outside its range, or a list is longer than its bound.
  OutOfRange,
  /// A member that this version does not know, where none may be.
  UnknownMember,
  /// Written by a version of the format that this one does not read.
  UnknownVersion,
  TooLarge,
};

/// Name of a problem in plain words, such as "is missing".
std::string_view toText(codec_problem Problem);

/// What is wrong and where, as a path such as "pools.encoder.slots".
struct codec_error {
  codec_problem Problem = codec_problem::Malformed;
  std::string Where;

  bool operator==(const codec_error &) const = default;
};

template <typename Value> using codec_result = std::variant<Value, codec_error>;

} // namespace jasminecroft
