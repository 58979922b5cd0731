// Checks CBOR bytes before the library parses them.
#pragma once

#include "jasminecroft/wire/codec_result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace jasminecroft::detail {

/// Deepest nesting of arrays; the library's parser recurses, so that deeper
/// input could exhaust the stack.
inline constexpr std::size_t MaxCborDepth = 12;

/// Accepts one item made of unsigned and negative integers, definite-length
/// text and arrays, booleans and null, and nothing after it. Absent if sound.
std::optional<codec_error> checkCbor(std::span<const std::uint8_t> Bytes);

} // namespace jasminecroft::detail
