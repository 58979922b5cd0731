// Binary form of messages between entry hosts: versioned CBOR.
#pragma once

#include "jasminecroft/core/peer_messages.h"
#include "jasminecroft/wire/codec_result.h"

#include <cstdint>
#include <span>
#include <vector>

namespace jasminecroft {

inline constexpr std::uint8_t PeerFormatVersion = 1;
/// Largest message; a configuration push is the only one that comes near.
inline constexpr std::size_t MaxPeerMessageBytes = 2'097'152;

/// Largest message that carries no configuration, host list or output.
inline constexpr std::size_t MaxSmallPeerMessageBytes = 32'768;

/// One message as an array: format version, fleet, sender, its run, number of
/// the body, body. Lists longer than their bounds are the caller's fault and
/// are refused by the receiver.
std::vector<std::uint8_t> encodePeer(const peer_message &Message);
/// Refuses whatever is malformed, too large or out of range, without setting
/// memory aside for what the bytes only promise.
codec_result<peer_message> decodePeer(std::span<const std::uint8_t> Bytes);

} // namespace jasminecroft
