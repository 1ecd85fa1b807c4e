/// Follows the log without doing any I/O: decides from where to read, folds
/// what comes, notices lost history and recovers by snapshots.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "peridotshelf/control/log_state.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::control {

/// Whether a process may serve by its control state.
enum class Readiness {
  kReady,
  kLogUnread,        ///< Neither the log nor a peer has answered yet.
  kCatchingUp,       ///< The log's end is not reached yet.
  kHistoryLost,      ///< The log is truncated, and no snapshot covers the rest.
  kNoConfiguration,  ///< No configuration was ever accepted.
};

/// The reason, for people, such as "the log's end is not reached yet".
std::string_view ToString(Readiness readiness);

/// What one page of the log led to.
struct TrackerUpdate {
  /// Records folded, in order.
  std::vector<RecordResult> results;
  /// A snapshot in the log, or a later first record, replaced lost history.
  bool adopted_snapshot = false;
  /// Records between the last folded one and the log's first are lost.
  bool found_gap = false;
};

/// The state of one follower of the log. Not thread-safe.
class LogTracker {
 public:
  /// Where to read from next.
  int64_t next_offset() const { return m_next_offset; }

  /// Takes the answer to a read from offset `requested`. Answers to reads that
  /// an adopted snapshot made pointless change nothing.
  TrackerUpdate ApplyPage(int64_t requested, const platform::LogPage& page);

  /// Takes a snapshot that a peer handed over; false if it is not newer than
  /// what is known here.
  bool AdoptSnapshot(LogState state);

  /// All that was folded, also when not ready.
  const LogState& state() const { return m_state; }
  Readiness readiness() const;
  /// Whether history is lost after the state, which may thus be outdated.
  bool has_gap() const { return m_searching && m_trusted; }
  /// The oldest offset that the log kept when it last answered.
  int64_t first_offset() const { return m_first_offset; }
  /// The offset of the newest valid snapshot seen on the log; 0 if none.
  int64_t snapshot_offset() const { return m_snapshot_offset; }

 private:
  void TakeRecord(const platform::LogRecord& record, TrackerUpdate& step);
  void StartSearch(int64_t first_offset, TrackerUpdate& step);
  void NoteSnapshot(const platform::LogRecord& record, TrackerUpdate& step);
  bool IsOlder(const LogState& state) const;
  void AdoptFromLog(LogState state, TrackerUpdate& step);

  LogState m_state;
  int64_t m_next_offset = 1;
  int64_t m_first_offset = 1;
  int64_t m_snapshot_offset = 0;
  /// The log or a peer has answered at least once.
  bool m_answered = false;
  /// The state was complete up to the log's end, or to a peer's, once.
  bool m_trusted = false;
  /// History is missing; records are kept until a snapshot tells their start.
  bool m_searching = false;
  std::vector<platform::LogRecord> m_unapplied;
};

}  // namespace peridotshelf::control
