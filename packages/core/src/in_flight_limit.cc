// Limits of calls in progress at one backend server.
#include "jasminecroft/core/detail/in_flight_limit.h"

#include <cmath>

namespace jasminecroft::detail {

namespace {

/// Calls over the slots, so that a slot which becomes free is not idle until
/// the next call arrives.
constexpr double Overfill = 1.4;
/// The same where only this host's calls come on top of the reported ones.
constexpr double OverfillAlone = 1.0;
constexpr double ServerFill = 1.15;
constexpr double SlowFrom = 1.6;

class slots_limit final : public in_flight_limit {
public:
  bool hasRoom(const replica_record &Replica, const pool_replicas &,
               std::uint32_t) const override {
    return Replica.Own < Replica.View.Slots;
  }
};

class shared_limit final : public in_flight_limit {
public:
  bool hasRoom(const replica_record &Replica, const pool_replicas &Pool,
               std::uint32_t Hosts) const override {
    double Own = Replica.Own + 1;
    bool Choice = Pool.HomeHealthy > 0;
    if (Choice && Replica.Slowness >= SlowServerThreshold)
      return false;
    if (Choice && Replica.Slowness > SlowFrom && Replica.Own > 0)
      Own *= Replica.Slowness;
    if (!Pool.isHome(Replica))
      return spillsWithinLimit(Replica, Pool, Own);
    return withinShare(Replica, Pool, Own, Hosts) ||
           leavesRoomForOthers(Replica, Own, Hosts);
  }

private:
  static bool withinShare(const replica_record &Replica,
                          const pool_replicas &Pool, double Own,
                          std::uint32_t Hosts) {
    double OfServer =
        std::max(1.0, std::floor(ServerFill * Replica.View.Slots / Hosts +
                                 Replica.Rounding));
    double OfPool = std::ceil(Overfill * Pool.HomeShare);
    return Own <= OfServer && Pool.ownCallsIn(Replica.View.Zone) + 1 <= OfPool;
  }

  // Each of the other hosts may take a slot at the same moment.
  static bool leavesRoomForOthers(const replica_record &Replica, double Own,
                                  std::uint32_t Hosts) {
    if (Hosts > 1 && !Replica.reportUsable())
      return false;
    double Most = OverfillAlone * Replica.View.Slots;
    return Own <= Replica.View.Slots &&
           Own + Replica.Others + (Hosts - 1.0) <= Most;
  }

  static bool spillsWithinLimit(const replica_record &Replica,
                                const pool_replicas &Pool, double Own) {
    auto Limit = Pool.SpillLimits.find(Replica.View.Zone);
    if (Limit == Pool.SpillLimits.end() || Own > Replica.View.Slots)
      return false;
    double Most = std::max(Limit->second.Calls,
                           std::ceil(Overfill * Limit->second.Share));
    return Pool.ownCallsIn(Replica.View.Zone) + 1 <= Most;
  }
};

} // namespace

std::unique_ptr<in_flight_limit> makeSlotsLimit() {
  return std::make_unique<slots_limit>();
}

std::unique_ptr<in_flight_limit> makeSharedLimit() {
  return std::make_unique<shared_limit>();
}

} // namespace jasminecroft::detail
