#include "peridotshelf/control/log_tracker.h"

#include <utility>

namespace peridotshelf::control {
namespace {

/// Maximum number of records kept while waiting for a snapshot. Older records
/// are dropped; recovery then needs a snapshot that covers them.
constexpr size_t kMaxUnappliedRecords = 20000;

}  // namespace

std::string_view ToString(Readiness readiness) {
  switch (readiness) {
    case Readiness::kReady:
      return "ready";
    case Readiness::kLogUnread:
      return "neither the log nor a peer has answered yet";
    case Readiness::kCatchingUp:
      return "the end of the log has not been reached yet";
    case Readiness::kHistoryLost:
      return "the first records of the log have expired and neither a snapshot "
             "nor a peer has provided their state";
    case Readiness::kNoConfiguration:
      return "no configuration has been published yet";
  }
  return "unknown";
}

Readiness LogTracker::readiness() const {
  if (!m_has_response) return Readiness::kLogUnread;
  if (!m_caught_up) {
    return m_needs_snapshot ? Readiness::kHistoryLost : Readiness::kCatchingUp;
  }
  if (!m_state.control.configuration) return Readiness::kNoConfiguration;
  return Readiness::kReady;
}

TrackerUpdate LogTracker::ApplyPage(int64_t requested_offset,
                                    const platform::LogPage& page) {
  TrackerUpdate update;
  m_has_response = true;
  m_first_offset = page.first_offset;
  // A peer's snapshot adopted during the read moved `m_next_offset` back, so
  // the page would leave a gap. The next read starts at the new offset.
  if (requested_offset > m_next_offset) return update;
  if (page.first_offset > m_next_offset)
    StartRecovery(page.first_offset, update);
  for (const platform::LogRecord& record : page.records) {
    if (record.offset >= m_next_offset) ProcessRecord(record, update);
  }
  if (!m_needs_snapshot && m_next_offset >= page.next_offset)
    m_caught_up = true;
  return update;
}

void LogTracker::StartRecovery(int64_t first_offset, TrackerUpdate& update) {
  update.found_gap = !m_needs_snapshot;
  m_needs_snapshot = true;
  m_unapplied.clear();
  m_next_offset = first_offset;
}

void LogTracker::ProcessRecord(const platform::LogRecord& record,
                               TrackerUpdate& update) {
  m_next_offset = record.offset + 1;
  if (m_needs_snapshot) {
    m_unapplied.push_back(record);
    if (m_unapplied.size() > kMaxUnappliedRecords) {
      m_unapplied.erase(m_unapplied.begin(),
                        m_unapplied.begin() + kMaxUnappliedRecords / 2);
    }
    return HandleSnapshot(record, update);
  }
  update.results.push_back(ApplyRecord(m_state, record));
  const RecordResult& result = update.results.back();
  if (result.header.kind == RecordKind::kSnapshot)
    HandleSnapshot(record, update);
}

void LogTracker::HandleSnapshot(const platform::LogRecord& record,
                                TrackerUpdate& update) {
  Result<LogState> snapshot = ReadSnapshotRecord(record);
  if (!snapshot) return;
  m_snapshot_offset = record.offset;
  if (!m_needs_snapshot) return;
  const bool covers_gap = snapshot->applied_offset + 1 >= m_unapplied[0].offset;
  if (covers_gap && !IsOlder(*snapshot))
    AdoptLogSnapshot(std::move(*snapshot), update);
}

void LogTracker::AdoptLogSnapshot(LogState state, TrackerUpdate& update) {
  m_state = std::move(state);
  m_needs_snapshot = false;
  update.adopted_snapshot = true;
  const std::vector<platform::LogRecord> unapplied = std::move(m_unapplied);
  m_unapplied.clear();
  for (const platform::LogRecord& record : unapplied) {
    if (record.offset <= m_state.applied_offset) continue;
    update.results.push_back(ApplyRecord(m_state, record));
  }
}

bool LogTracker::IsOlder(const LogState& state) const {
  return state.applied_offset < m_state.applied_offset ||
         state.control.version < m_state.control.version;
}

bool LogTracker::AdoptSnapshot(LogState state) {
  const bool is_newer = state.applied_offset > m_state.applied_offset;
  const bool is_first = !m_caught_up && state.control.configuration != nullptr;
  if (IsOlder(state) || (!is_newer && !is_first)) return false;
  m_has_response = true;
  m_caught_up = true;
  m_needs_snapshot = false;
  m_unapplied.clear();
  m_state = std::move(state);
  m_next_offset = m_state.applied_offset + 1;
  return true;
}

}  // namespace peridotshelf::control
