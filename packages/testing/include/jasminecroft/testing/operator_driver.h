// Operators who change the configuration as their command line would: read,
// change, conditional update, and reading back after a lost answer.
#pragma once

#include "jasminecroft/testing/fake_platform.h"

#include <functional>

namespace jasminecroft::testing {

struct operator_tally {
  std::uint64_t Tried = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t AnswersLost = 0;
  std::uint64_t GivenUp = 0;
};

class operator_driver {
public:
  using offer_listener = std::function<void(const change_id &)>;

  operator_driver(event_queue &Queue, fake_platform &Platform)
      : Queue(Queue), Platform(Platform) {}

  /// Called before each configuration is offered to the platform.
  void onOffer(offer_listener Listener) { Offering = std::move(Listener); }
  /// Begins a change from a zone; Choice selects what is changed.
  void change(const zone_id &From, std::uint64_t Choice);
  const operator_tally &tally() const { return Tally; }

private:
  struct pending_change {
    change_id Id;
    zone_id From;
    std::uint64_t Choice = 0;
    std::uint32_t Tries = 0;
  };

  void read(const pending_change &Change);
  void onRead(pending_change Change, const platform_result &Result);
  void onUpdated(const pending_change &Change, const platform_result &Result);
  void again(const pending_change &Change);
  void call(const zone_id &From, const platform_operation &Operation,
            const fake_platform::reply_function &Reply);

  event_queue &Queue;
  fake_platform &Platform;
  offer_listener Offering;
  std::uint64_t LastChange = 0;
  operator_tally Tally;
};

/// The configuration that follows Base by one change.
fleet_config changedConfig(const fleet_config &Base, const change_id &Id,
                           std::uint64_t Choice);

} // namespace jasminecroft::testing
