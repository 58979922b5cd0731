// The event queue as a binary heap, and the seeded generator.
#include "jasminecroft/testing/virtual_time.h"

#include <algorithm>

namespace jasminecroft::testing {

void event_queue::at(core_time When, callback What) {
  Items.push_back({std::max(When, Now), ++Entered, std::move(What)});
  std::push_heap(Items.begin(), Items.end(), later());
}

void event_queue::runUntil(core_time End) {
  while (!Items.empty() && Items.front().When <= End) {
    std::pop_heap(Items.begin(), Items.end(), later());
    item Next = std::move(Items.back());
    Items.pop_back();
    Now = Next.When;
    ++Executed;
    Next.What();
  }
  Now = std::max(Now, End);
}

core_duration random_source::between(core_duration Low, core_duration High) {
  if (High <= Low)
    return Low;
  std::uint64_t Range = static_cast<std::uint64_t>((High - Low).count()) + 1;
  return Low + core_duration(static_cast<std::int64_t>(below(Range)));
}

} // namespace jasminecroft::testing
