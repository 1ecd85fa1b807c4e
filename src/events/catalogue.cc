#include "peridotshelf/events/catalogue.h"

#include <algorithm>
#include <array>

namespace peridotshelf::events {
namespace {

constexpr std::array kCatalogue = {
    EventInfo{EventId::kProcessStarted, "process_started", Level::kInfo},
    EventInfo{EventId::kProcessStopping, "process_stopping", Level::kInfo},
    EventInfo{EventId::kProcessStopped, "process_stopped", Level::kInfo},
    EventInfo{EventId::kSettingsInvalid, "settings_invalid", Level::kError},
    EventInfo{EventId::kSettingsReloaded, "settings_reloaded", Level::kInfo},
    EventInfo{EventId::kEventsSuppressed, "events_suppressed", Level::kWarning},
    EventInfo{EventId::kExceptionCaught, "exception_caught", Level::kError},
    EventInfo{EventId::kRequestAdmitted, "request_admitted", Level::kDebug},
    EventInfo{EventId::kRequestFinished, "request_finished", Level::kInfo},
    EventInfo{EventId::kRequestRefused, "request_refused", Level::kInfo},
    EventInfo{EventId::kAttemptFailed, "attempt_failed", Level::kWarning},
    EventInfo{EventId::kChunkDropped, "chunk_dropped", Level::kWarning},
    EventInfo{EventId::kCallerRejected, "caller_rejected", Level::kWarning},
    EventInfo{EventId::kRequestPlaced, "request_placed", Level::kInfo},
    EventInfo{EventId::kRequestWaits, "request_waits", Level::kInfo},
    EventInfo{EventId::kStreamPaused, "stream_paused", Level::kInfo},
    EventInfo{EventId::kQuarantineStarted, "quarantine_started",
              Level::kWarning},
    EventInfo{EventId::kQuarantineEnded, "quarantine_ended", Level::kInfo},
    EventInfo{EventId::kHedgeSent, "hedge_sent", Level::kInfo},
    EventInfo{EventId::kHedgeEnded, "hedge_ended", Level::kInfo},
    EventInfo{EventId::kAnswerEndChecked, "answer_end_checked", Level::kInfo},
    EventInfo{EventId::kRetrySent, "retry_sent", Level::kInfo},
    EventInfo{EventId::kReservationGranted, "reservation_granted",
              Level::kDebug},
    EventInfo{EventId::kReservationRefused, "reservation_refused",
              Level::kInfo},
    EventInfo{EventId::kAttemptStarted, "attempt_started", Level::kDebug},
    EventInfo{EventId::kAttemptFinished, "attempt_finished", Level::kDebug},
    EventInfo{EventId::kAttemptCancelled, "attempt_cancelled", Level::kInfo},
    EventInfo{EventId::kChangeAccepted, "change_accepted", Level::kInfo},
    EventInfo{EventId::kChangeRejected, "change_rejected", Level::kWarning},
    EventInfo{EventId::kRecordSkipped, "record_skipped", Level::kWarning},
    EventInfo{EventId::kHistoryLost, "history_lost", Level::kWarning},
    EventInfo{EventId::kSnapshotAdopted, "snapshot_adopted", Level::kInfo},
    EventInfo{EventId::kSnapshotWritten, "snapshot_written", Level::kInfo},
    EventInfo{EventId::kPeerStateAdopted, "peer_state_adopted", Level::kInfo},
    EventInfo{EventId::kConfigurationAdopted, "configuration_adopted",
              Level::kInfo},
    EventInfo{EventId::kConfigurationRejected, "configuration_rejected",
              Level::kError},
    EventInfo{EventId::kHostListChanged, "host_list_changed", Level::kInfo},
    EventInfo{EventId::kPlatformCallFailed, "platform_call_failed",
              Level::kWarning},
    EventInfo{EventId::kRegistryLost, "registry_lost", Level::kWarning},
    EventInfo{EventId::kRegistryBack, "registry_back", Level::kInfo},
    EventInfo{EventId::kEngineRegistered, "engine_registered", Level::kInfo},
    EventInfo{EventId::kEngineLeaving, "engine_leaving", Level::kInfo},
    EventInfo{EventId::kEngineGone, "engine_gone", Level::kInfo},
    EventInfo{EventId::kEngineEntryRejected, "engine_entry_rejected",
              Level::kWarning},
    EventInfo{EventId::kReadinessChanged, "readiness_changed", Level::kInfo},
    EventInfo{EventId::kEngineKept, "engine_kept", Level::kInfo},
    EventInfo{EventId::kStoreRead, "store_read", Level::kInfo},
    EventInfo{EventId::kStoreRestored, "store_restored", Level::kWarning},
    EventInfo{EventId::kEngineOutdated, "engine_outdated", Level::kInfo},
    EventInfo{EventId::kEvacuationStarted, "evacuation_started",
              Level::kWarning},
    EventInfo{EventId::kEvacuationEnded, "evacuation_ended", Level::kInfo},
    EventInfo{EventId::kBackendCallFailed, "backend_call_failed",
              Level::kWarning},
    EventInfo{EventId::kEngineLimitChanged, "engine_limit_changed",
              Level::kInfo},
    EventInfo{EventId::kEngineLimitInvalid, "engine_limit_invalid",
              Level::kWarning},
    EventInfo{EventId::kEngineProbed, "engine_probed", Level::kInfo},
    EventInfo{EventId::kCrashCounted, "crash_counted", Level::kWarning},
    EventInfo{EventId::kEnginePaused, "engine_paused", Level::kInfo},
    EventInfo{EventId::kEnginePauseInvalid, "engine_pause_invalid",
              Level::kWarning},
    EventInfo{EventId::kEngineCold, "engine_cold", Level::kInfo},
    EventInfo{EventId::kPeerConnected, "peer_connected", Level::kInfo},
    EventInfo{EventId::kPeerLost, "peer_lost", Level::kWarning},
    EventInfo{EventId::kPeerFrameRejected, "peer_frame_rejected",
              Level::kWarning},
};

}  // namespace

std::span<const EventInfo> AllEvents() { return kCatalogue; }

const EventInfo& FindEventInfo(EventId id) {
  const auto* it = std::lower_bound(
      kCatalogue.begin(), kCatalogue.end(), id,
      [](const EventInfo& info, EventId wanted) { return info.id < wanted; });
  return *it;
}

}  // namespace peridotshelf::events
