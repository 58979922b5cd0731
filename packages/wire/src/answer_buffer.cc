// Reads the lines of a head as they are consumed.
#include "jasminecroft/wire/answer_buffer.h"

#include <algorithm>
#include <string_view>

namespace jasminecroft {

void answer_buffer::expectHead() {
  InHead = true;
  LineIsEmpty = true;
  FoldedLine = false;
}

void answer_buffer::consume(std::size_t Count) {
  std::string_view Bytes(static_cast<const char *>(data().data()),
                         std::min(Count, size()));
  for (std::size_t I = 0; InHead && I < Bytes.size(); ++I) {
    if (Bytes[I] == '\n') {
      InHead = !LineIsEmpty;
      LineIsEmpty = true;
    } else if (Bytes[I] != '\r') {
      FoldedLine |= LineIsEmpty && (Bytes[I] == ' ' || Bytes[I] == '\t');
      LineIsEmpty = false;
    }
  }
  basic_flat_buffer::consume(Count);
}

} // namespace jasminecroft
