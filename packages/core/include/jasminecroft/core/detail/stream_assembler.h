// Assembles a streamed answer from the pieces of one or more attempts, without
// gaps, duplicates or a mix of two different texts.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Makes XXH3_state_t a complete type.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace jasminecroft::detail {

/// Maximum number of pieces that an attempt may deliver ahead of a missing one.
inline constexpr std::size_t MaxReorderedPieces = 64;

/// Incremental XXH3-64 digest of text.
class text_digest {
public:
  text_digest() { XXH3_64bits_reset(&State); }
  void add(const std::string &Text) {
    XXH3_64bits_update(&State, Text.data(), Text.size());
  }
  std::uint64_t value() const { return XXH3_64bits_digest(&State); }

private:
  XXH3_state_t State;
};

/// Result of a piece, or of the end of an attempt, for the stream.
enum class stream_status {
  /// The piece or the end is valid.
  Ok,
  /// The piece was already received; it is dropped.
  Stale,
  /// Too many pieces arrived ahead of a missing one, or the end arrived before
  /// all pieces. The attempt is unusable; another one may continue the stream.
  Broken,
  /// The text of the attempt differs from the text already forwarded.
  Diverged,
};

/// Position of one attempt in the stream.
class stream_source {
public:
  std::uint64_t next() const { return Next; }

private:
  friend class stream_assembler;
  std::uint64_t Next = 0;
  /// Digest of the text of the stream before position Next.
  text_digest Digest;
  /// Pieces after position Next; at most MaxReorderedPieces.
  std::map<std::uint64_t, std::string> Reordered;
};

/// Stream of the last stage of one request.
class stream_assembler {
public:
  /// Returns a source that delivers the stream from its beginning.
  stream_source restart() const { return stream_source(); }
  /// Returns a source that continues after the last piece forwarded.
  stream_source resume() const;

  /// Processes a piece of Source. Appends the text to forward to the caller to
  /// NewPieces, in order.
  stream_status onPiece(stream_source &Source, std::uint64_t Sequence,
                        const std::string &Text,
                        std::vector<std::string> &NewPieces);
  /// Checks the end of Source, which reports Count pieces whose text has the
  /// digest Digest.
  stream_status onEnd(const stream_source &Source, std::uint64_t Count,
                      std::uint64_t Digest) const;

  /// Returns the number of pieces forwarded.
  std::uint64_t forwardedCount() const { return PrefixDigests.size(); }
  /// Returns the XXH3-64 digest of all text forwarded.
  std::uint64_t digest() const { return ForwardedDigest.value(); }

private:
  bool advance(stream_source &Source, const std::string &Text,
               std::vector<std::string> &NewPieces);

  /// Digest of the text up to and including each piece forwarded.
  std::vector<std::uint64_t> PrefixDigests;
  /// Digest of all text forwarded.
  text_digest ForwardedDigest;
};

} // namespace jasminecroft::detail
