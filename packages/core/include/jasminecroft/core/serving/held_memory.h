// One account of what an entry host holds for callers and backend servers, and
// the decision who gives up if that is too much: a server in trouble may send
// without end, and a caller may read nothing.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace jasminecroft {

enum class held_kind : std::uint8_t {
  /// Bodies of requests in progress, until their calls have ended.
  RequestBody,
  /// Answers of servers that are not whole yet.
  ArrivingAnswer,
  /// Answers that callers have not read yet.
  UnreadAnswer,
};
inline constexpr std::size_t HeldKinds = 3;

/// Bytes that may be held.
struct memory_shares {
  std::size_t RequestBodies = 0;
  std::size_t ArrivingAnswers = 0;
  std::size_t UnreadAnswers = 0;
  /// All kinds together; at least RequestBodies and ArrivingAnswers, so that
  /// only unread answers have to yield to other kinds.
  std::size_t Together = 0;
};

/// Shares on a machine with so much memory.
memory_shares sharesOf(std::size_t MemoryBytes);

/// Used from one thread.
class held_memory {
public:
  class holder {
  public:
    virtual ~holder() = default;
    /// Called inside a call of the account, when nothing is held any more.
    virtual void giveUpAnswer() = 0;
  };

  explicit held_memory(const memory_shares &Shares) : Shares(Shares) {}

  /// Applies to what is held from now on.
  void setShares(const memory_shares &New) { Shares = New; }

  /// Holder has Bytes of an answer now. If its kind is beyond its share,
  /// holders of that kind give up: of unread answers the one that has been
  /// unread for longest, of arriving ones the largest. If all together are too
  /// much, unread answers give up in the same order.
  void hold(held_kind Kind, holder &Holder, std::size_t Bytes);
  void release(holder &Holder);

  /// Counts Bytes instead of Before for a request's body; false if there is no
  /// room for it. Unread answers give up for it first.
  bool reserveBody(std::size_t Before, std::size_t Bytes);
  void releaseBody(std::size_t Bytes) {
    sumOf(held_kind::RequestBody) -= Bytes;
  }

  std::size_t held(held_kind Kind) const {
    return Sums[static_cast<std::size_t>(Kind)];
  }
  std::size_t total() const;

private:
  struct held_bytes {
    held_kind Kind = held_kind::UnreadAnswer;
    std::size_t Bytes = 0;
    /// Grows with each holder that begins to hold something.
    std::uint64_t Begun = 0;
  };
  using table = std::unordered_map<holder *, held_bytes>;

  std::size_t &sumOf(held_kind Kind) {
    return Sums[static_cast<std::size_t>(Kind)];
  }
  /// Kind of the holder that has to give up next, if any.
  std::optional<held_kind> overfull() const;
  holder *nextToGiveUp(held_kind Kind) const;
  void relieve();

  memory_shares Shares;
  /// By kind. RequestBody: as reserved; the others: sums of Held.
  std::array<std::size_t, HeldKinds> Sums{};
  table Held;
  std::uint64_t LastBegun = 0;
};

} // namespace jasminecroft
