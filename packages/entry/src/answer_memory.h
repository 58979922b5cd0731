// Bounds the memory that answers take while they are read, over all calls of a
// client, or while callers have not read them: a server in trouble may send
// without end, and a caller may read nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jasminecroft::detail {

/// Who gives up first if all together hold too much.
enum class give_up_order {
  /// The holder with most.
  Largest,
  /// The holder that has held something for longest.
  Oldest,
};

/// Used from one thread.
class answer_memory {
public:
  class holder {
  public:
    virtual ~holder() = default;
    /// Called inside hold of this or another holder; releases what is held.
    virtual void giveUpAnswer() = 0;
  };

  explicit answer_memory(std::size_t Limit,
                         give_up_order Order = give_up_order::Largest)
      : Limit(Limit), Order(Order) {}

  /// Holder has Bytes now. If that is too much for all together, holders give
  /// up, one after the other.
  void hold(holder &Holder, std::size_t Bytes);
  void release(holder &Holder);
  std::size_t total() const { return Total; }

private:
  struct held_bytes {
    std::size_t Bytes = 0;
    /// Grows with each holder that begins to hold something.
    std::uint64_t Begun = 0;
  };
  using table = std::unordered_map<holder *, held_bytes>;

  table::iterator nextToGiveUp();

  std::size_t Limit;
  give_up_order Order;
  /// Sum of Held.
  std::size_t Total = 0;
  table Held;
  std::uint64_t LastBegun = 0;
};

} // namespace jasminecroft::detail
