// Counts what is held, and lets holders give up.
#include "answer_memory.h"

#include <algorithm>

namespace jasminecroft::detail {

void answer_memory::hold(holder &Holder, std::size_t Bytes) {
  held_bytes &Own = Held[&Holder];
  if (Own.Begun == 0)
    Own.Begun = ++LastBegun;
  Total = Total - Own.Bytes + Bytes;
  Own.Bytes = Bytes;
  while (Total > Limit && !Held.empty()) {
    holder *GivesUp = nextToGiveUp()->first;
    release(*GivesUp);
    GivesUp->giveUpAnswer();
  }
}

answer_memory::table::iterator answer_memory::nextToGiveUp() {
  return std::max_element(
      Held.begin(), Held.end(),
      [this](const table::value_type &A, const table::value_type &B) {
        return Order == give_up_order::Largest
                   ? A.second.Bytes < B.second.Bytes
                   : A.second.Begun > B.second.Begun;
      });
}

void answer_memory::release(holder &Holder) {
  auto Found = Held.find(&Holder);
  if (Found == Held.end())
    return;
  Total -= Found->second.Bytes;
  Held.erase(Found);
}

} // namespace jasminecroft::detail
