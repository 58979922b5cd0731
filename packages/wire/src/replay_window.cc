// Sliding windows of sequence numbers, one per sender.
#include "jasminecroft/wire/replay_window.h"

namespace jasminecroft {

bool replay_window::accept(const host_run &Sender, std::uint64_t Sequence,
                           clock::time_point Now) {
  auto Found = Senders.find(Sender.Host);
  if (Found == Senders.end()) {
    if (Senders.size() >= MaxSenders)
      Senders.erase(Senders.begin());
    Senders.emplace(Sender.Host, entry{Sender.Run, Sequence, 1, Now});
    return true;
  }
  entry &Entry = Found->second;
  if (Sender.Run < Entry.Run && Now - Entry.HeardAt < SilentRunTime)
    return false;
  if (Sender.Run != Entry.Run) {
    Entry = entry{Sender.Run, Sequence, 1, Now};
    return true;
  }
  if (Sequence > Entry.Highest) {
    std::uint64_t Ahead = Sequence - Entry.Highest;
    Entry.Seen = Ahead < Width ? (Entry.Seen << Ahead) | 1 : 1;
    Entry.Highest = Sequence;
    Entry.HeardAt = Now;
    return true;
  }
  std::uint64_t Behind = Entry.Highest - Sequence;
  if (Behind >= Width)
    return false;
  std::uint64_t Bit = std::uint64_t{1} << Behind;
  bool IsNew = (Entry.Seen & Bit) == 0;
  Entry.Seen |= Bit;
  if (IsNew)
    Entry.HeardAt = Now;
  return IsNew;
}

} // namespace jasminecroft
