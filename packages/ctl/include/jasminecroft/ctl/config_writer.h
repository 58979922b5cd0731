// Changes the configuration on the platform: checked before it is written,
// conditional on the version read, and never guessed after a lost answer.
#pragma once

#include "jasminecroft/core/config_edit.h"
#include "jasminecroft/core/stored_objects.h"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace jasminecroft::ctl {

/// Blocking access to the object API.
class object_access {
public:
  virtual ~object_access() = default;
  virtual platform_result call(const platform_operation &Operation) = 0;
  /// Waits before the next try; false once the time for all tries has gone.
  virtual bool waitForNextTry() = 0;
};

/// A configuration as read, with the platform's version of it.
struct read_config {
  fleet_config Config;
  object_version Version;
};
/// The platform holds no configuration.
struct no_config {};
/// The configuration cannot be read by this version of the program.
struct unreadable_config {};
/// The platform gave no answer within the time for all tries.
struct platform_unreachable {};

using read_result = std::variant<read_config, no_config, unreadable_config,
                                 platform_unreachable>;

/// The change is in the configuration.
struct change_accepted {
  change_record Record;
};
/// Another change came first; the configuration stands as they made it.
struct change_conflict {
  config_version Base;
  /// Changes since Base, oldest first.
  std::vector<change_record> Others;
};
/// The change would make an unsound configuration; nothing was written.
struct change_refused {
  edit_error Error;
};
/// Whether the change took effect, or still will, cannot be told now. Look it
/// up by its id later.
struct change_unknown {
  change_id Id;
};

using write_result = std::variant<change_accepted, change_conflict,
                                  change_refused, change_unknown, no_config,
                                  unreadable_config, platform_unreachable>;

/// The changes after Base that the configuration still lists, oldest first.
std::vector<change_record> changesSince(const fleet_config &Config,
                                        config_version Base);

class config_writer {
public:
  explicit config_writer(object_access &Access) : Access(Access) {}

  read_result read();
  /// Writes the first configuration; it becomes version 1.
  write_result create(fleet_config Config, const change_request &Change);
  /// Applies Change to the configuration as read in Base.
  write_result write(const read_config &Base, const change_request &Change);
  /// Finds a change by its id in the configuration or among the archived ones
  /// down to version Oldest; absent if it is in neither.
  std::optional<change_record> find(const fleet_config &Config,
                                    const change_id &Id, config_version Oldest);
  /// The newest Count changes, newest first.
  std::vector<change_record> history(const fleet_config &Config,
                                     std::size_t Count);

private:
  write_result settle(const edited_config &Edited, const change_record &Record,
                      const std::optional<object_version> &Expected);
  std::optional<write_result> readBack(const change_record &Record);
  void archive(const std::vector<change_record> &Changes);
  std::optional<change_record> archived(config_version Version);

  object_access &Access;
};

} // namespace jasminecroft::ctl
