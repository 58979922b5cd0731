// The network between availability zones: delay, loss, duplicates, disorder
// and cuts between zones.
#pragma once

#include "jasminecroft/testing/virtual_time.h"

#include <map>
#include <utility>

namespace jasminecroft::testing {

/// What the network does to single messages between entry hosts.
struct network_quality {
  std::uint32_t DropPermille = 0;
  std::uint32_t DuplicatePermille = 0;
  std::uint32_t DelayPermille = 0;
  /// Longest extra delay of a delayed message; it overtakes no other's order.
  core_duration LongestDelay{0};

  bool perfect() const {
    return DropPermille == 0 && DuplicatePermille == 0 && DelayPermille == 0;
  }
};

struct network_counts {
  std::uint64_t Sent = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t Duplicated = 0;
  std::uint64_t Delayed = 0;
};

class fake_network {
public:
  fake_network(event_queue &Queue, random_source &Random)
      : Queue(Queue), Random(Random) {}

  void setLatency(core_duration InZone, core_duration BetweenZones);
  void setQuality(const network_quality &NewQuality);
  void cut(const zone_id &A, const zone_id &B);
  void heal(const zone_id &A, const zone_id &B);
  void healAll();
  bool linked(const zone_id &A, const zone_id &B) const;
  /// Since when the zones are linked; meaningful only while they are.
  core_time linkedSince(const zone_id &A, const zone_id &B) const;
  /// Since when no single messages are lost.
  core_time perfectSince() const { return PerfectSince; }
  bool perfect() const { return Quality.perfect(); }

  /// One way, with a little jitter.
  core_duration latency(const zone_id &A, const zone_id &B);
  /// Carries a datagram; Deliver runs never, once or twice. False if the
  /// zones are cut off from each other, which the sender may be told.
  bool send(const zone_id &From, const zone_id &To,
            const event_queue::callback &Deliver);
  const network_counts &counts() const { return Counts; }

private:
  using zone_pair = std::pair<zone_id, zone_id>;
  struct link_state {
    bool Cut = false;
    core_time Since{};
  };

  static zone_pair pairOf(const zone_id &A, const zone_id &B);
  void sendOnce(const zone_id &From, const zone_id &To,
                const event_queue::callback &Deliver);

  event_queue &Queue;
  random_source &Random;
  network_quality Quality;
  core_time PerfectSince{};
  core_duration InZone{200};
  core_duration BetweenZones{1'000};
  /// Only links that were cut at some time.
  std::map<zone_pair, link_state> Links;
  network_counts Counts;
};

} // namespace jasminecroft::testing
