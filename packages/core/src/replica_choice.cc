// Choice of a backend server: round robin, and the better of random samples.
#include "jasminecroft/core/detail/replica_choice.h"

#include <algorithm>
#include <map>
#include <random>
#include <xxhash.h>

namespace jasminecroft::detail {

namespace {

constexpr std::size_t Samples = 3;
/// Servers looked at to find those with room.
constexpr std::size_t MostLookedAt = 64;
/// A server with the prefix is taken up to this load over the mean.
constexpr double PrefixLoadFactor = 1.25;
/// One call in so many ignores cached prefixes, so that a server which always
/// gets the same calls is compared with others.
constexpr std::uint64_t ExploreEach = 16;
constexpr double PrefixSlowest = 1.3;

bool allowed(const choice_request &Request, const replica_record &Replica) {
  return !Request.Item.Avoid.contains(Replica.View.Backend) &&
         Request.HasRoom(Replica);
}

class round_robin_choice final : public replica_choice {
public:
  replica_record *choose(const choice_request &Request) override {
    const std::vector<replica_record *> &All = Request.Replicas.All;
    std::size_t &Turn = Turns[Request.Item.Pool];
    for (std::size_t I = 0; I < All.size(); ++I) {
      replica_record *Replica = All[(Turn + I) % All.size()];
      if (!allowed(Request, *Replica))
        continue;
      Turn = (Turn + I + 1) % All.size();
      return Replica;
    }
    return nullptr;
  }

private:
  std::map<pool_id, std::size_t> Turns;
};

class sampled_choice final : public replica_choice {
public:
  explicit sampled_choice(std::uint64_t Seed) : Generator(Seed) {}

  replica_record *choose(const choice_request &Request) override {
    std::size_t Home = Request.Replicas.homeCount();
    replica_record *Best = sample(Request, 0, Home);
    if (Best && Request.PrefixCached && Generator() % ExploreEach != 0)
      if (replica_record *Cached = withPrefix(Request, Home, *Best))
        return Cached;
    if (!Request.MaySpill || (Best && homeSuffices(Request.Replicas, *Best)))
      return Best;
    replica_record *Away = sample(Request, Home, Request.Replicas.All.size());
    return Away ? Away : Best;
  }

private:
  // Whether the own zone serves the call as well as another would.
  static bool homeSuffices(const pool_replicas &Pool,
                           const replica_record &Replica) {
    return Pool.ownCallsIn(Replica.View.Zone) < Pool.HomeShare &&
           Replica.Slowness < SlowServerThreshold;
  }

  // The best of a few servers with room from [First, Last), looked for from a
  // random place on.
  replica_record *sample(const choice_request &Request, std::size_t First,
                         std::size_t Last) {
    if (First >= Last)
      return nullptr;
    std::size_t Count = Last - First;
    std::size_t Offset = Generator() % Count;
    replica_record *Best = nullptr;
    std::size_t Seen = 0;
    for (std::size_t I = 0; I < std::min(Count, MostLookedAt); ++I) {
      replica_record *Replica =
          Request.Replicas.All[First + (Offset + I) % Count];
      if (!allowed(Request, *Replica))
        continue;
      if (!Best || score(Request, *Replica) < score(Request, *Best))
        Best = Replica;
      if (++Seen == Samples)
        break;
    }
    return Best;
  }

  // Expected time until the answer, in estimates of the call.
  static double score(const choice_request &, const replica_record &Replica) {
    double Load = Replica.Own + Replica.Others;
    return Replica.Slowness * (1 + Load / Replica.View.Slots);
  }

  // The server that ranks first for the prefix, unless it is loaded above the
  // mean or slow; cache contents are a hint only.
  static replica_record *withPrefix(const choice_request &Request,
                                    std::size_t Home,
                                    const replica_record &Best) {
    double Load = 0;
    replica_record *First = nullptr;
    std::uint64_t Highest = 0;
    for (std::size_t I = 0; I < Home; ++I) {
      replica_record *Replica = Request.Replicas.All[I];
      Load += Replica->Own;
      const std::string &Name = Replica->View.Backend.Value;
      std::uint64_t Rank = XXH3_64bits_withSeed(Name.data(), Name.size(),
                                                Request.Item.PrefixHash);
      if (First && Rank <= Highest)
        continue;
      First = Replica;
      Highest = Rank;
    }
    double Slowest = PrefixSlowest * std::min(1.0, Best.Slowness);
    if (!First || First->Slowness > Slowest || !allowed(Request, *First))
      return nullptr;
    double Mean = (Load + 1) / static_cast<double>(Home);
    if (First->Own + 1 > std::max(2.0, PrefixLoadFactor * Mean))
      return nullptr;
    return First;
  }

  std::mt19937_64 Generator;
};

} // namespace

std::unique_ptr<replica_choice> makeRoundRobinChoice() {
  return std::make_unique<round_robin_choice>();
}

std::unique_ptr<replica_choice> makeSampledChoice(std::uint64_t Seed) {
  return std::make_unique<sampled_choice>(Seed);
}

} // namespace jasminecroft::detail
