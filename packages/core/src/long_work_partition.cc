// Bounded share of slots for long work.
#include "jasminecroft/core/detail/long_work_partition.h"

#include <algorithm>
#include <cmath>

namespace jasminecroft::detail {

namespace {

/// Share of a server's slots that long work leaves free beyond its own share:
/// while there is short work, whose next call may come at any time, and else.
constexpr double ReservedShare = 0.6;
constexpr double ReservedShareAlone = 0.1;

class no_partition final : public long_work_partition {
public:
  bool isLong(core_duration, core_duration) const override { return false; }
  bool mayStart(const replica_record &, const long_work_view &) const override {
    return true;
  }
};

class bounded_partition final : public long_work_partition {
public:
  bool isLong(core_duration Estimate, core_duration From) const override {
    return Estimate >= From;
  }

  bool mayStart(const replica_record &Replica,
                const long_work_view &View) const override {
    return withinShare(Replica, View) ||
           (!View.ShortWaits && leavesFree(Replica, View));
  }

private:
  static bool withinShare(const replica_record &Replica,
                          const long_work_view &View) {
    double Hosts = View.Hosts;
    double OfReplica = std::ceil(View.Share * Replica.View.Slots / Hosts);
    double OfPool =
        std::max(1.0, std::floor(View.Share * View.Replicas.HomeSlots / Hosts));
    return Replica.OwnLong < OfReplica && View.OwnLong < OfPool;
  }

  static bool leavesFree(const replica_record &Replica,
                         const long_work_view &View) {
    if (View.Hosts > 1 && !Replica.reportUsable())
      return false;
    double Slots = Replica.View.Slots;
    double Reserved = View.ShortLately ? ReservedShare : ReservedShareAlone;
    double Held = Replica.Own + Replica.Others;
    return Held + 1 <= std::floor(Slots * (1 - Reserved));
  }
};

} // namespace

std::unique_ptr<long_work_partition> makeNoPartition() {
  return std::make_unique<no_partition>();
}

std::unique_ptr<long_work_partition> makeBoundedPartition() {
  return std::make_unique<bounded_partition>();
}

} // namespace jasminecroft::detail
