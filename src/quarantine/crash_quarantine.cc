#include "peridotshelf/quarantine/crash_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotshelf::quarantine {
namespace {

/// Bounds the memory, whoever invents requests.
constexpr size_t kMaxRecords = 2048;
/// A record is forgotten this long after its last crash or quarantine.
constexpr Duration kRecordLifetime = std::chrono::minutes(10);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
/// Time for which an entry may send one request after a quarantine, before it
/// is the next entry's turn.
constexpr Duration kTurnLength = std::chrono::seconds(5);
/// A trial without an outcome is given up after this time.
constexpr Duration kMaxTrialLength = std::chrono::seconds(30);

TimePoint LastChange(const SuspectRecord& record) {
  TimePoint last = record.completed_at.value_or(TimePoint{});
  if (!record.sightings.empty()) {
    last = std::max(last, record.sightings.back().crashed_at);
  }
  if (record.quarantine) last = std::max(last, record.quarantine->until);
  return last;
}

}  // namespace

const SuspectRecord* CrashQuarantine::Find(SuspectId id) const {
  const auto found = m_records.find(id);
  return found == m_records.end() ? nullptr : &found->second;
}

size_t CrashQuarantine::CountCrashes(SuspectId id) const {
  const SuspectRecord* record = Find(id);
  return record == nullptr ? 0
                           : CountMoments(WithoutExplained(
                                 *record, {TimePoint::max(), FindCulprits()}));
}

SuspectRecord& CrashQuarantine::FindOrAdd(const Suspect& suspect,
                                          uint64_t service) {
  const auto found = m_records.find(suspect.id);
  if (found != m_records.end()) return found->second;
  if (m_records.size() >= kMaxRecords) MakeRoom();
  SuspectRecord& record = m_records[suspect.id];
  record.id = suspect.id;
  record.kind = suspect.kind;
  record.service = service;
  record.depth = suspect.depth;
  return record;
}

size_t CrashQuarantine::CrashesToQuarantine(SuspectKind kind) const {
  return kind == SuspectKind::kRequest ? m_options.crashes_of_request
                                       : m_options.crashes_of_prompt_part;
}

bool CrashQuarantine::IsNearQuarantine(
    std::span<const Suspect> suspects) const {
  return std::any_of(
      suspects.begin(), suspects.end(), [this](const Suspect& suspect) {
        if (suspect.kind != SuspectKind::kRequest) return false;
        const SuspectRecord* record = Find(suspect.id);
        return record != nullptr && record->sightings.size() + 1 >=
                                        CrashesToQuarantine(record->kind);
      });
}

void CrashQuarantine::MakeRoom() {
  const auto is_less = [](const auto& a, const auto& b) {
    const auto rank = [](const SuspectRecord& record) {
      return std::tuple(record.quarantine.has_value(), record.sightings.size(),
                        LastChange(record));
    };
    return rank(a.second) < rank(b.second);
  };
  const auto least =
      std::min_element(m_records.begin(), m_records.end(), is_less);
  m_quarantined.erase(least->first);
  m_changed.erase(least->first);
  m_to_review.erase(least->first);
  m_trials.erase(least->first);
  m_records.erase(least);
}

void CrashQuarantine::Expire(TimePoint now) {
  if (now - m_expired_at < kExpiryInterval) return;
  m_expired_at = now;
  std::erase_if(m_records, [this, now](const auto& item) {
    if (now - LastChange(item.second) < kRecordLifetime) return false;
    m_quarantined.erase(item.first);
    m_changed.erase(item.first);
    m_to_review.erase(item.first);
    m_trials.erase(item.first);
    return true;
  });
}

Duration CrashQuarantine::LengthOf(int32_t level) const {
  if (level == 0) return m_options.contested_quarantine;
  Duration length = m_options.first_quarantine;
  for (int32_t i = 1; i < level && length < m_options.longest_quarantine; ++i) {
    length *= 2;
  }
  return std::min(length, m_options.longest_quarantine);
}

void CrashQuarantine::Extend(SuspectRecord& record,
                             const CrashSighting& sighting) {
  // Requests that were sent before the quarantine are no trial of it.
  if (!record.quarantine || sighting.sent_at < record.quarantine->until) return;
  // If engines run nothing to its end, they have a problem of their own.
  const int32_t level =
      record.quarantine->level + (record.has_others_completed ? 1 : 0);
  record.quarantine = {level, sighting.crashed_at,
                       sighting.crashed_at + LengthOf(level)};
  m_trials.erase(record.id);
}

void CrashQuarantine::NoteCrash(const EngineCrash& crash, TimePoint now) {
  Expire(now);
  for (const CrashedRequest& request : crash.requests) {
    for (const Suspect& suspect : request.suspects) {
      SuspectRecord& record = FindOrAdd(suspect, crash.service);
      const CrashSighting sighting{crash.engine, request.request,
                                   request.sent_at, crash.crashed_at};
      if (!AddSighting(record, sighting)) continue;
      Extend(record, sighting);
      m_changed.insert(suspect.id);
      m_to_review.insert(suspect.id);
    }
  }
}

std::vector<SuspectId> CrashQuarantine::NoteCompleted(
    uint64_t service, std::span<const Suspect> suspects, TimePoint now) {
  std::vector<SuspectId> released;
  if (m_records.empty()) return released;
  for (const Suspect& suspect : suspects) {
    const auto found = m_records.find(suspect.id);
    if (found == m_records.end()) continue;
    if (ClearSuspect(found->second, now)) m_changed.insert(suspect.id);
    if (m_quarantined.erase(suspect.id) > 0) released.push_back(suspect.id);
    m_trials.erase(suspect.id);
  }
  for (auto& [id, record] : m_records) {
    if (record.service != service || record.has_others_completed ||
        record.sightings.empty()) {
      continue;
    }
    record.has_others_completed = true;
    m_changed.insert(id);
  }
  return released;
}

Admission CrashQuarantine::Admit(uint64_t request,
                                 std::span<const Suspect> suspects,
                                 const EntryTurn& turn, TimePoint now) {
  if (m_quarantined.empty()) return {};
  std::vector<SuspectId> on_trial;
  for (const Suspect& suspect : suspects) {
    if (!m_quarantined.contains(suspect.id)) continue;
    const SuspectRecord& record = m_records.at(suspect.id);
    const Duration past_end = now - record.quarantine->until;
    const auto trial = m_trials.find(suspect.id);
    const bool is_being_tried =
        trial != m_trials.end() &&
        now - trial->second.started_at < kMaxTrialLength;
    const bool is_its_turn = past_end >= Duration::zero() &&
                             static_cast<size_t>(past_end / kTurnLength) %
                                     std::max<size_t>(turn.entries, 1) ==
                                 turn.rank;
    if (!is_its_turn || is_being_tried) {
      return {false, std::max(-past_end, kTurnLength), suspect.id};
    }
    on_trial.push_back(suspect.id);
  }
  for (const SuspectId id : on_trial) m_trials[id] = {request, now};
  return {};
}

void CrashQuarantine::EndTrial(uint64_t request) {
  std::erase_if(m_trials, [request](const auto& item) {
    return item.second.request == request;
  });
}

std::vector<SuspectId> CrashQuarantine::Apply(
    std::span<const SuspectRecord> records, TimePoint now) {
  Expire(now);
  std::vector<SuspectId> quarantined;
  for (const SuspectRecord& other : records) {
    SuspectRecord& record =
        FindOrAdd({other.id, other.depth, other.kind}, other.service);
    if (MergeRecord(record, other)) m_to_review.insert(other.id);
    if (!record.quarantine) {
      m_quarantined.erase(other.id);
    } else if (m_quarantined.insert(other.id).second) {
      quarantined.push_back(other.id);
    }
  }
  return quarantined;
}

std::vector<SuspectRecord> CrashQuarantine::TakeChanged() {
  std::vector<SuspectRecord> records;
  records.reserve(m_changed.size());
  for (const SuspectId id : m_changed) records.push_back(m_records.at(id));
  m_changed.clear();
  return records;
}

std::vector<SuspectRecord> CrashQuarantine::NextToRepeat(size_t count,
                                                         TimePoint now) {
  Expire(now);
  std::vector<SuspectId> ids;
  ids.reserve(m_records.size());
  for (const auto& [id, record] : m_records) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  const auto next = std::upper_bound(ids.begin(), ids.end(), m_last_repeated);
  std::rotate(ids.begin(), next, ids.end());
  ids.resize(std::min(ids.size(), count));
  std::vector<SuspectRecord> records;
  records.reserve(ids.size());
  for (const SuspectId id : ids) records.push_back(m_records.at(id));
  if (!ids.empty()) m_last_repeated = ids.back();
  return records;
}

std::vector<SuspectRecord> CrashQuarantine::Quarantined(size_t count) const {
  std::vector<SuspectRecord> records;
  for (const SuspectId id : m_quarantined) {
    if (records.size() == count) break;
    records.push_back(m_records.at(id));
  }
  return records;
}

}  // namespace peridotshelf::quarantine
