// Long prompts at model engines, so that they do not hold up short ones: the
// bound, the book that one host keeps for the engines of a pool in a zone, and
// what a host knows of the reading of prompts from its own streams.
#pragma once

#include "jasminecroft/core/serving/placement.h"
#include "jasminecroft/core/serving/route_config.h"
#include "jasminecroft/core/stored_objects.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace jasminecroft {

/// Bound of an engine pool that requests of several priorities reach.
struct prompt_bound {
  /// Reading time of the long prompts that an engine reads at a time.
  core_duration Reading{0};
  /// Routes with different objectives reach the pool.
  bool GoalsDiffer = false;

  /// Returns whether a prompt that takes this time to read is long.
  bool isLong(core_duration Time) const;
};

using prompt_bounds = std::map<pool_id, prompt_bound>;
prompt_bounds findPromptBounds(const route_config &Config);

/// One sending of a request of one run of a host.
struct prompt_key {
  host_run Host;
  request_id Request;
  std::uint32_t Attempt = 0;

  std::strong_ordering operator<=>(const prompt_key &) const = default;
};

/// An engine at which a prompt may be read, and the time that this takes.
struct prompt_offer {
  backend_id Server;
  core_duration Reading{0};
};

struct prompt_grant {
  backend_id Server;
  /// Time until it may be sent.
  core_duration In{0};
};

/// Long prompts that engines read, and those that are to be sent to them.
class prompt_room {
public:
  /// Books a prompt at the engine that has room soonest; not at the first only
  /// if that spares half of the prompt's reading time. It begins at once if it
  /// would be held for longer than HoldAtMost. A prompt that has an engine to
  /// itself has room, however long it is. Offers is not empty.
  prompt_grant book(const prompt_key &Key,
                    const std::vector<prompt_offer> &Offers,
                    core_duration Bound, core_duration HoldAtMost,
                    core_time Now);
  /// Books a prompt that is being sent.
  void add(const prompt_key &Key, const prompt_offer &Offer, core_time Now);
  /// The prompt has been read, or its call has ended.
  void end(const prompt_key &Key);
  /// Returns the reading time of what is booked at each engine.
  std::map<backend_id, core_duration> readings(core_time Now);
  std::size_t count() const { return Bookings.size(); }

private:
  struct booking {
    backend_id Server;
    core_duration Reading{0};
    core_time Begin;
  };
  static core_time expiry(const booking &Booking);
  static core_time expectedEnd(const booking &Booking, core_time Now);
  core_duration roomIn(const prompt_offer &Offer, core_duration Bound,
                       core_time Now) const;
  void expire(core_time Now);

  /// Bounded; what is not booked does not count.
  std::map<prompt_key, booking> Bookings;
};

/// Speed at which the engines of a pool read prompts, from the times between
/// sending and the first event. These include waiting, so that a low one of
/// the last ones counts.
class reading_speed {
public:
  void observe(const pool_id &Pool, std::uint64_t Tokens, core_duration Time,
               core_time Now);
  /// Returns the time that an engine takes to read the tokens.
  core_duration timeFor(const pool_id &Pool, std::uint64_t Tokens,
                        core_time Now) const;

private:
  struct sample {
    double TokenMicros = 0;
    core_time At;
  };
  /// The latest last.
  std::map<pool_id, std::deque<sample>> Samples;
};

/// Parts of prompts that this host's own requests had served at a run of an
/// engine lately: taken as cached there.
class read_parts {
public:
  void onRead(const backend_entry &Server,
              const std::vector<prompt_block> &Prompt, core_time Now);
  /// Returns the tokens of the prompt that the engine has to read.
  std::uint64_t uncached(const backend_entry &Server,
                         const std::vector<prompt_block> &Prompt,
                         std::uint64_t Tokens, core_time Now) const;

private:
  struct engine {
    incarnation Run;
    core_time At;
    std::map<std::uint64_t, core_time> Parts;
  };
  std::map<backend_id, engine> Engines;
};

} // namespace jasminecroft
