// Room for the bytes of answers, which sees their heads as they were written.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace jasminecroft {

/// Beast joins a line of a head that begins with a blank or tab (an obsolete
/// fold) to the value before it, and its parser does not tell. The line may
/// have been meant as a field, which can say where the body ends. Readers take
/// this type itself: consume hides that of flat_buffer.
class answer_buffer : public boost::beast::flat_buffer {
public:
  using basic_flat_buffer::basic_flat_buffer;

  /// The next byte that is consumed begins a head.
  void expectHead();
  void consume(std::size_t Count);
  /// Whether a line of the head that was consumed last continues the one
  /// before.
  bool hasFoldedLine() const { return FoldedLine; }

private:
  bool InHead = false;
  /// The line that is being consumed has no byte yet.
  bool LineIsEmpty = true;
  bool FoldedLine = false;
};

} // namespace jasminecroft
