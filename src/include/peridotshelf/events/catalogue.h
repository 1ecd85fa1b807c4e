/// Numbered events that processes log. docs/events.md documents each.
#pragma once

#include <span>
#include <string_view>

namespace peridotshelf::events {

/// Severity of an event.
enum class Level { kDebug, kInfo, kWarning, kError };

/// Event numbers. A number is never reused for another event. Ranges:
/// 100 process, 200 entry, 300 side, 400 control, 500 hosts, 600 platform,
/// 700 backend servers, 800 connections between processes.
enum class EventId : int {
  kProcessStarted = 100,
  kProcessStopping = 101,
  kProcessStopped = 102,
  kSettingsInvalid = 103,
  kSettingsReloaded = 104,
  kEventsSuppressed = 105,
  kExceptionCaught = 106,
  kRequestAdmitted = 200,
  kRequestFinished = 201,
  kRequestRefused = 202,
  kAttemptFailed = 203,
  kChunkDropped = 204,
  kCallerRejected = 205,
  kRequestPlaced = 206,
  kRequestWaits = 207,
  kStreamPaused = 208,
  kQuarantineStarted = 209,
  kQuarantineEnded = 210,
  kHedgeSent = 211,
  kHedgeEnded = 212,
  kAnswerEndChecked = 213,
  kRetrySent = 214,
  kReservationGranted = 300,
  kReservationRefused = 301,
  kAttemptStarted = 302,
  kAttemptFinished = 303,
  kAttemptCancelled = 304,
  kChangeAccepted = 400,
  kChangeRejected = 401,
  kRecordSkipped = 402,
  kHistoryLost = 403,
  kSnapshotAdopted = 404,
  kSnapshotWritten = 405,
  kPeerStateAdopted = 406,
  kConfigurationAdopted = 407,
  kConfigurationRejected = 408,
  kHostListChanged = 500,
  kPlatformCallFailed = 600,
  kRegistryLost = 601,
  kRegistryBack = 602,
  kEngineRegistered = 603,
  kEngineLeaving = 604,
  kEngineGone = 605,
  kEngineEntryRejected = 606,
  kReadinessChanged = 607,
  kEngineKept = 608,
  kStoreRead = 609,
  kStoreRestored = 610,
  kEngineOutdated = 611,
  kEvacuationStarted = 612,
  kEvacuationEnded = 613,
  kBackendCallFailed = 700,
  kEngineLimitChanged = 701,
  kEngineLimitInvalid = 702,
  kEngineProbed = 703,
  kCrashCounted = 704,
  kEnginePaused = 705,
  kEnginePauseInvalid = 706,
  kEngineCold = 707,
  kPeerConnected = 800,
  kPeerLost = 801,
  kPeerFrameRejected = 802,
};

/// Number, name and severity of an event.
struct EventInfo {
  EventId id;
  std::string_view name;
  Level level;
};

/// Returns all events in ascending order of number.
std::span<const EventInfo> AllEvents();

/// Returns the name and severity of event `id`.
const EventInfo& FindEventInfo(EventId id);

}  // namespace peridotshelf::events
