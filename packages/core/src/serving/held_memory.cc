// Shares by kind, and the order in which holders give up.
#include "jasminecroft/core/serving/held_memory.h"

#include <algorithm>

namespace jasminecroft {

namespace {

/// Of the machine's memory, one part in so many is the share of a kind.
constexpr std::size_t KindDivisor = 4;
/// The same for answers that arrive: with all bodies they leave room to answers
/// that callers have just been sent.
constexpr std::size_t ArrivingDivisor = 8;
/// The same for all kinds together; the rest is for the process itself.
constexpr std::size_t TogetherDivisor = 2;
/// More answers at one time are of no use on larger machines.
constexpr std::size_t MaxAnswersBytes = 33'554'432;
constexpr std::size_t SmallBodyBytes = 65'536;

} // namespace

memory_shares sharesOf(std::size_t MemoryBytes) {
  memory_shares Shares;
  Shares.RequestBodies = MemoryBytes / KindDivisor;
  Shares.ArrivingAnswers =
      std::min(MaxAnswersBytes, MemoryBytes / ArrivingDivisor);
  Shares.UnreadAnswers = std::min(MaxAnswersBytes, MemoryBytes / KindDivisor);
  Shares.Together = MemoryBytes / TogetherDivisor;
  return Shares;
}

std::size_t held_memory::total() const {
  std::size_t Total = 0;
  for (std::size_t Sum : Sums)
    Total += Sum;
  return Total;
}

void held_memory::hold(held_kind Kind, holder &Holder, std::size_t Bytes) {
  held_bytes &Own = Held[&Holder];
  if (Own.Begun == 0)
    Own.Begun = ++LastBegun;
  else
    sumOf(Own.Kind) -= Own.Bytes;
  Own.Kind = Kind;
  Own.Bytes = Bytes;
  sumOf(Kind) += Bytes;
  relieve();
}

void held_memory::release(holder &Holder) {
  auto Found = Held.find(&Holder);
  if (Found == Held.end())
    return;
  sumOf(Found->second.Kind) -= Found->second.Bytes;
  Held.erase(Found);
}

bool held_memory::reserveBody(std::size_t Before, std::size_t Bytes) {
  // Large bodies leave a quarter of the room to small ones.
  std::size_t Room = Bytes > SmallBodyBytes ? Shares.RequestBodies / 4 * 3
                                            : Shares.RequestBodies;
  std::size_t &Bodies = sumOf(held_kind::RequestBody);
  if (Bodies - Before + Bytes > Room)
    return false;
  Bodies += Bytes - Before;
  relieve();
  return true;
}

std::optional<held_kind> held_memory::overfull() const {
  if (held(held_kind::ArrivingAnswer) > Shares.ArrivingAnswers)
    return held_kind::ArrivingAnswer;
  if (held(held_kind::UnreadAnswer) > Shares.UnreadAnswers ||
      total() > Shares.Together)
    return held_kind::UnreadAnswer;
  return std::nullopt;
}

held_memory::holder *held_memory::nextToGiveUp(held_kind Kind) const {
  const table::value_type *Next = nullptr;
  for (const table::value_type &Entry : Held) {
    if (Entry.second.Kind != Kind)
      continue;
    bool Before = Next && (Kind == held_kind::UnreadAnswer
                               ? Entry.second.Begun < Next->second.Begun
                               : Entry.second.Bytes > Next->second.Bytes);
    if (!Next || Before)
      Next = &Entry;
  }
  return Next ? Next->first : nullptr;
}

void held_memory::relieve() {
  while (std::optional<held_kind> Kind = overfull()) {
    holder *GivesUp = nextToGiveUp(*Kind);
    if (!GivesUp)
      return;
    release(*GivesUp);
    GivesUp->giveUpAnswer();
  }
}

} // namespace jasminecroft
