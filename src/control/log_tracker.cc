#include "peridotshelf/control/log_tracker.h"

#include <utility>

namespace peridotshelf::control {
namespace {

/// Records kept while searching; older ones are given up, so that only a
/// snapshot that covers them helps.
constexpr size_t kMaxUnfolded = 20000;

}  // namespace

std::string_view ToString(Readiness readiness) {
  switch (readiness) {
    case Readiness::kReady:
      return "ready";
    case Readiness::kLogUnread:
      return "neither the log nor a peer has answered yet";
    case Readiness::kCatchingUp:
      return "the log's end is not reached yet";
    case Readiness::kHistoryLost:
      return "the log's first records have expired and neither a snapshot nor "
             "a peer replaces them";
    case Readiness::kNoConfiguration:
      return "no configuration was published yet";
  }
  return "unknown";
}

Readiness LogTracker::readiness() const {
  if (!m_answered) return Readiness::kLogUnread;
  if (!m_trusted) {
    return m_searching ? Readiness::kHistoryLost : Readiness::kCatchingUp;
  }
  if (!m_state.control.configuration) return Readiness::kNoConfiguration;
  return Readiness::kReady;
}

TrackerUpdate LogTracker::ApplyPage(int64_t requested,
                                    const platform::LogPage& page) {
  TrackerUpdate step;
  m_answered = true;
  m_first_offset = page.first_offset;
  // Between `next` and `requested` nothing was read; the next read is better.
  if (requested > m_next_offset) return step;
  if (page.first_offset > m_next_offset) StartSearch(page.first_offset, step);
  for (const platform::LogRecord& record : page.records) {
    if (record.offset >= m_next_offset) TakeRecord(record, step);
  }
  if (!m_searching && m_next_offset >= page.next_offset) m_trusted = true;
  return step;
}

void LogTracker::StartSearch(int64_t first_offset, TrackerUpdate& step) {
  step.found_gap = !m_searching;
  m_searching = true;
  m_unapplied.clear();
  m_next_offset = first_offset;
}

void LogTracker::TakeRecord(const platform::LogRecord& record,
                            TrackerUpdate& step) {
  m_next_offset = record.offset + 1;
  if (m_searching) {
    m_unapplied.push_back(record);
    if (m_unapplied.size() > kMaxUnfolded) {
      m_unapplied.erase(m_unapplied.begin(),
                        m_unapplied.begin() + kMaxUnfolded / 2);
    }
    return NoteSnapshot(record, step);
  }
  step.results.push_back(ApplyRecord(m_state, record));
  const RecordResult& result = step.results.back();
  if (result.header.kind == RecordKind::kSnapshot) NoteSnapshot(record, step);
}

void LogTracker::NoteSnapshot(const platform::LogRecord& record,
                              TrackerUpdate& step) {
  Result<LogState> snapshot = ReadSnapshotRecord(record);
  if (!snapshot) return;
  m_snapshot_offset = record.offset;
  if (!m_searching) return;
  const bool reaches = snapshot->applied_offset + 1 >= m_unapplied[0].offset;
  if (reaches && !IsOlder(*snapshot)) AdoptFromLog(std::move(*snapshot), step);
}

void LogTracker::AdoptFromLog(LogState state, TrackerUpdate& step) {
  m_state = std::move(state);
  m_searching = false;
  step.adopted_snapshot = true;
  const std::vector<platform::LogRecord> unfolded = std::move(m_unapplied);
  m_unapplied.clear();
  for (const platform::LogRecord& record : unfolded) {
    if (record.offset <= m_state.applied_offset) continue;
    step.results.push_back(ApplyRecord(m_state, record));
  }
}

bool LogTracker::IsOlder(const LogState& state) const {
  return state.applied_offset < m_state.applied_offset ||
         state.control.version < m_state.control.version;
}

bool LogTracker::AdoptSnapshot(LogState state) {
  const bool newer = state.applied_offset > m_state.applied_offset;
  const bool first = !m_trusted && state.control.configuration != nullptr;
  if (IsOlder(state) || (!newer && !first)) return false;
  m_answered = true;
  m_trusted = true;
  m_searching = false;
  m_unapplied.clear();
  m_state = std::move(state);
  m_next_offset = m_state.applied_offset + 1;
  return true;
}

}  // namespace peridotshelf::control
