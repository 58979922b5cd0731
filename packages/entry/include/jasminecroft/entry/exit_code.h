// Exit codes of jasminecroftd; docs/ERRORS.md lists them.
#pragma once

namespace jasminecroft {

/// Numbers are stable and shared with jasminecroftctl where both have them.
enum class exit_code : int {
  Ok = 0,
  Usage = 2,
  SettingsMissing = 3,
  SettingsMalformed = 4,
  SettingsInvalidValue = 5,
  AddressInUse = 6,
  CannotBeReached = 7,
  SettingsUnknownKey = 8,
  SettingsWrongType = 9,
  SettingsKeyMissing = 10,
  Internal = 70,
};

} // namespace jasminecroft
