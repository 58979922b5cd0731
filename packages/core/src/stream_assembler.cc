// Checks order, completeness and identity of streamed text.
#include "jasminecroft/core/detail/stream_assembler.h"

namespace jasminecroft::detail {

stream_source stream_assembler::resume() const {
  stream_source Source;
  Source.Next = forwardedCount();
  Source.Digest = ForwardedDigest;
  return Source;
}

// Processes the piece at the position of the source. Returns false if the piece
// differs from the one already forwarded at that position.
bool stream_assembler::advance(stream_source &Source, const std::string &Text,
                               std::vector<std::string> &NewPieces) {
  Source.Digest.add(Text);
  std::uint64_t Position = Source.Next++;
  if (Position < forwardedCount())
    return PrefixDigests[Position] == Source.Digest.value();
  ForwardedDigest.add(Text);
  PrefixDigests.push_back(ForwardedDigest.value());
  NewPieces.push_back(Text);
  return true;
}

stream_status stream_assembler::onPiece(stream_source &Source,
                                        std::uint64_t Sequence,
                                        const std::string &Text,
                                        std::vector<std::string> &NewPieces) {
  if (Sequence < Source.Next)
    return stream_status::Stale;
  if (Sequence > Source.Next) {
    if (Source.Reordered.size() >= MaxReorderedPieces)
      return stream_status::Broken;
    bool New = Source.Reordered.emplace(Sequence, Text).second;
    return New ? stream_status::Ok : stream_status::Stale;
  }
  if (!advance(Source, Text, NewPieces))
    return stream_status::Diverged;
  auto Waiting = Source.Reordered.find(Source.Next);
  while (Waiting != Source.Reordered.end()) {
    std::string Next = std::move(Waiting->second);
    Source.Reordered.erase(Waiting);
    if (!advance(Source, Next, NewPieces))
      return stream_status::Diverged;
    Waiting = Source.Reordered.find(Source.Next);
  }
  return stream_status::Ok;
}

stream_status stream_assembler::onEnd(const stream_source &Source,
                                      std::uint64_t Count,
                                      std::uint64_t Digest) const {
  if (Count > Source.Next)
    return stream_status::Broken;
  bool Complete = Count == Source.Next && Count == forwardedCount();
  if (!Complete || Digest != Source.Digest.value())
    return stream_status::Diverged;
  return stream_status::Ok;
}

} // namespace jasminecroft::detail
