// Exit codes of jasminecroftctl; docs/ERRORS.md lists them.
#pragma once

namespace jasminecroft::ctl {

enum class exit_code {
  Ok = 0,
  Usage = 2,
  SettingsMissing = 3,
  SettingsMalformed = 4,
  InvalidValue = 5,
  CannotBeReached = 7,
  UnknownKey = 8,
  WrongType = 9,
  OutcomeUnknown = 20,
  Conflict = 21,
  Refused = 22,
  CheckFailed = 23,
  NeverMatches = 24,
  Internal = 70,
};

} // namespace jasminecroft::ctl
