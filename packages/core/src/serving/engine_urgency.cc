// Which pools are ranked, and the aging of classes that get nothing.
#include "jasminecroft/core/serving/engine_urgency.h"

#include <algorithm>
#include <set>

namespace jasminecroft {

namespace {

// Returns the priorities of the requests that a route admits.
std::set<std::uint32_t> prioritiesOf(const serving_route &Route,
                                     const route_config &Config) {
  if (Route.Public || !Config.KeysRequired)
    return {Route.Priority};
  std::set<std::uint32_t> Result;
  for (const std::pair<const workspace_key, key_owner> &Key : Config.Keys)
    Result.insert(Key.second.Priority.value_or(Route.Priority));
  return Result;
}

} // namespace

ranked_pools findRankedPools(const route_config &Config) {
  std::map<pool_id, std::set<std::uint32_t>> Priorities;
  for (const serving_route &Route : Config.Routes)
    for (const pool_share &Share : Route.Pools) {
      auto Pool = Config.Pools.find(Share.Pool);
      if (Pool != Config.Pools.end() && Pool->second.Engine)
        Priorities[Share.Pool].merge(prioritiesOf(Route, Config));
    }
  ranked_pools Result;
  for (const std::pair<const pool_id, std::set<std::uint32_t>> &Pool :
       Priorities)
    if (Pool.second.size() > 1)
      Result.emplace(Pool.first, *Pool.second.begin());
  return Result;
}

void urgency_aging::onSent(const pool_id &Pool, std::uint32_t Priority,
                           core_time Now) {
  waiting_class &Class =
      Waiting.try_emplace({Pool, Priority}, waiting_class{0, Now})
          .first->second;
  ++Class.Calls;
}

void urgency_aging::onBegun(const pool_id &Pool, std::uint32_t Priority,
                            core_time Now) {
  auto Class = Waiting.find({Pool, Priority});
  if (Class != Waiting.end())
    Class->second.Since = Now;
  onGivenUp(Pool, Priority);
}

void urgency_aging::onGivenUp(const pool_id &Pool, std::uint32_t Priority) {
  auto Class = Waiting.find({Pool, Priority});
  if (Class != Waiting.end() && --Class->second.Calls == 0)
    Waiting.erase(Class);
}

std::optional<std::uint32_t>
urgency_aging::urgencyOf(const ranked_pools &Ranked, const pool_id &Pool,
                         std::uint32_t Priority, core_duration Goal,
                         core_time Now) const {
  auto MostUrgent = Ranked.find(Pool);
  if (MostUrgent == Ranked.end())
    return std::nullopt;
  std::uint32_t Urgency = std::min(Priority, MaxUrgency);
  auto Class = Waiting.find({Pool, Priority});
  if (Class == Waiting.end() || Goal <= core_duration{0} ||
      Urgency <= MostUrgent->second)
    return Urgency;
  std::int64_t Steps = (Now - Class->second.Since) / Goal;
  std::int64_t Most = Urgency - MostUrgent->second;
  return Urgency - static_cast<std::uint32_t>(std::min(Steps, Most));
}

} // namespace jasminecroft
