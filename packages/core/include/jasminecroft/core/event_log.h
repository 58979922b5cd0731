// Numbered log events, listed in docs/EVENTS.md; CI checks that both agree.
#pragma once

#include "jasminecroft/core/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminecroft {

/// Numbers are stable: never reused, never renumbered. The hundreds digit
/// denotes the component: 1xx process, 2xx requests, 3xx claims,
/// 4xx configuration, 5xx membership, 6xx backend servers, 7xx platform,
/// 8xx peer transport.
enum class event_number : std::uint16_t {
  ProcessStarted = 101,
  ReadinessChanged = 102,
  ShutdownBegun = 103,
  ShutdownFinished = 104,
  ChildRestarted = 105,
  SettingsRefused = 106,
  SettingsReloaded = 107,
  RequestRejected = 201,
  RequestFailed = 202,
  LateAnswerDropped = 203,
  AttemptRetried = 204,
  AttemptHedged = 205,
  RequestServed = 206,
  RequestEnded = 207,
  RequestRefused = 208,
  CallRefused = 209,
  CallFailed = 210,
  StreamBroken = 211,
  BatchOverdue = 212,
  PiecesFailed = 213,
  BatchEnded = 214,
  PromisedNotRun = 215,
  SlowReaderEnded = 217,
  CallerConnectionCut = 218,
  StagesReset = 219,
  JobMoved = 220,
  CallNotWritable = 221,
  ClaimTaken = 301,
  ClaimDuplicate = 302,
  ClaimUndecided = 303,
  ClaimReleased = 304,
  ClaimOutcomeRecorded = 305,
  ConfigApplied = 401,
  ConfigStaleIgnored = 402,
  OperatorConfigApplied = 403,
  OperatorConfigUnreadable = 404,
  ConfigUnconfirmed = 405,
  WorkspaceNameUnusable = 406,
  MemberChanged = 501,
  MemberRefuted = 502,
  HostSuspected = 503,
  HostHeardAgain = 504,
  BackendLeaving = 601,
  BackendSlow = 602,
  BackendRecovered = 603,
  BackendListed = 604,
  BackendUnlisted = 605,
  BackendEntryUnreadable = 606,
  PartSuspected = 607,
  PartQuarantined = 608,
  PartTrial = 609,
  PartCleared = 610,
  ServerLimited = 611,
  ServerLimitEnded = 612,
  ServerPaused = 613,
  ServerPauseUnreadable = 614,
  ZoneEmptied = 615,
  ZoneTakenBack = 616,
  ZoneForgotten = 629,
  EngineSlow = 619,
  EngineUsual = 620,
  PromptHeld = 621,
  PromptRoomUnanswered = 622,
  ResultHandleUnusable = 623,
  ServerCold = 617,
  ServerWarm = 618,
  PlatformAway = 701,
  PlatformBack = 702,
  StoreCallBegun = 703,
  StoreCallFailed = 704,
  StoreViewBehind = 705,
  StoreSourceChanged = 706,
  StoreCameBack = 707,
  PeerMessageRefused = 801,
};

/// A named value of a log event.
struct event_field {
  std::string_view Name;
  std::string Value;
  bool operator==(const event_field &) const = default;
};

enum class event_severity { Info, Warning, Error };

struct event_record {
  event_number Number = event_number::ProcessStarted;
  event_severity Severity = event_severity::Info;
  /// Human-readable message without the fields.
  std::string_view Message;
  std::vector<event_field> Fields;
  bool operator==(const event_record &) const = default;
};

} // namespace jasminecroft
