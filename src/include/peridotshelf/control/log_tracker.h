/// Tracks the log position and state without I/O: chooses the next read offset,
/// applies records, detects lost history and recovers from snapshots.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "peridotshelf/control/log_state.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::control {

/// Whether a process can serve with its control state.
enum class Readiness {
  kReady,
  kLogUnread,        ///< Neither the log nor a peer has answered yet.
  kCatchingUp,       ///< The end of the log has not been reached yet.
  kHistoryLost,      ///< The log is truncated and no snapshot covers the gap.
  kNoConfiguration,  ///< No configuration has been accepted yet.
};

/// Returns a human-readable reason, such as "the end of the log has not been
/// reached yet".
std::string_view ToString(Readiness readiness);

/// The effects of one page of the log.
struct TrackerUpdate {
  /// Results of the applied records, in log order.
  std::vector<RecordResult> results;
  /// A snapshot in the log replaced the lost history.
  bool adopted_snapshot = false;
  /// Records between the last applied record and the first one in the log have
  /// expired.
  bool found_gap = false;
};

/// The log position and state of one process. Not thread-safe.
class LogTracker {
 public:
  /// The offset to read from next.
  int64_t next_offset() const { return m_next_offset; }

  /// Applies the page that a read from `requested_offset` returned. Ignores
  /// records that an adopted snapshot already covers.
  TrackerUpdate ApplyPage(int64_t requested_offset,
                          const platform::LogPage& page);

  /// Adopts a snapshot received from a peer. Returns false if it is not newer
  /// than the local state.
  bool AdoptSnapshot(LogState state);

  /// The state after all applied records, also when not ready.
  const LogState& state() const { return m_state; }
  Readiness readiness() const;
  /// Whether records after the state have expired unread, so that the state may
  /// be outdated.
  bool has_gap() const { return m_needs_snapshot && m_caught_up; }
  /// The oldest available offset according to the last page.
  int64_t first_offset() const { return m_first_offset; }
  /// The offset of the newest valid snapshot in the log; 0 if none was
  /// seen.
  int64_t snapshot_offset() const { return m_snapshot_offset; }

 private:
  void ProcessRecord(const platform::LogRecord& record, TrackerUpdate& update);
  void StartRecovery(int64_t first_offset, TrackerUpdate& update);
  void HandleSnapshot(const platform::LogRecord& record, TrackerUpdate& update);
  bool IsOlder(const LogState& state) const;
  void AdoptLogSnapshot(LogState state, TrackerUpdate& update);

  LogState m_state;
  int64_t m_next_offset = 1;
  int64_t m_first_offset = 1;
  int64_t m_snapshot_offset = 0;
  /// The log or a peer has answered at least once.
  bool m_has_response = false;
  /// The state has been complete up to the end of the log, or up to a peer's
  /// state, at least once.
  bool m_caught_up = false;
  /// History is missing; records stay in `m_unapplied` until a snapshot covers
  /// the gap before them.
  bool m_needs_snapshot = false;
  std::vector<platform::LogRecord> m_unapplied;
};

}  // namespace peridotshelf::control
