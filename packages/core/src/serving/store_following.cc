// Choice of the watcher to follow, polls, and the way back to own watches.
#include "jasminecroft/core/serving/store_following.h"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

namespace jasminecroft {

namespace {

constexpr std::string_view WatchersKey = "zone-store-watchers";

} // namespace

const std::vector<batching_host> &store_following::watchers() const {
  if (WatchersOf != Hosts.generation()) {
    WatchersOf = Hosts.generation();
    Watchers =
        Hosts.rankedInZone(WatchersKey, Hosts.self().Zone, WatchersPerZone);
  }
  return Watchers;
}

bool store_following::isWatcher() const {
  const std::vector<batching_host> &All = watchers();
  return std::any_of(All.begin(), All.end(), [this](const batching_host &Host) {
    return Host.Host == Hosts.self().Host;
  });
}

bool store_following::isFirstWatcher() const {
  const std::vector<batching_host> &All = watchers();
  return !All.empty() && All.front().Host == Hosts.self().Host;
}

void store_following::setSource(core_time Now) {
  bool Told = CurrentAt && Now - *CurrentAt <= MaxAge;
  bool Follows = Told && !isWatcher() && !watchers().empty();
  Source = Follows ? store_source::Watcher : store_source::Watch;
}

void store_following::onNews(const entry_host_id &From, bool Current,
                             core_time Now) {
  bool Answered = AnswerDueAt && From == Polled;
  if (Answered)
    AnswerDueAt.reset();
  if (Current) {
    CurrentAt = Now;
  } else if (Answered) {
    ++Skipped;
    CurrentAt.reset();
  }
  setSource(Now);
}

void store_following::pollNow(core_time Now) {
  if (!AnswerDueAt)
    NextPollAt = std::min(NextPollAt, Now);
}

store_following::due_actions store_following::takeDueActions(core_time Now) {
  due_actions Due;
  if (AnswerDueAt && *AnswerDueAt <= Now) {
    AnswerDueAt.reset();
    ++Skipped;
    NextPollAt = Now;
    Due.ReadStore = Source == store_source::Watcher;
  }
  if (NextPollAt <= Now) {
    NextPollAt = Now + PollInterval;
    const std::vector<batching_host> &All = watchers();
    if (!All.empty() && !isWatcher()) {
      const entry_host_id &Self = Hosts.self().Host;
      std::size_t First = XXH3_64bits(Self.Value.data(), Self.Value.size());
      Due.Poll = All[(First + Skipped) % All.size()];
      Polled = Due.Poll->Host;
      AnswerDueAt = Now + AnswerTime;
    }
  }
  setSource(Now);
  return Due;
}

std::optional<core_time> store_following::nextWakeup() const {
  core_time Next = NextPollAt;
  if (AnswerDueAt)
    Next = std::min(Next, *AnswerDueAt);
  if (Source == store_source::Watcher)
    Next = std::min(Next, *CurrentAt + MaxAge + std::chrono::milliseconds(1));
  return Next;
}

} // namespace jasminecroft
