#include "peridotshelf/discovery/evacuations.h"

#include <algorithm>

namespace peridotshelf::discovery {
namespace {

/// A peer's end of a hold counts only if it is later by more than a report may
/// be under way: else each report would extend the hold by its transit time,
/// and hundreds of entries would keep it up for each other.
constexpr Duration kMinExtension = std::chrono::milliseconds(500);
/// No hold lasts longer than this many hold times after the entry learned of
/// the epoch, whatever peers report.
constexpr int kMaxHoldTimes = 2;

}  // namespace

std::string_view ToString(EvacuationSource source) {
  switch (source) {
    case EvacuationSource::kStore:
      return "store";
    case EvacuationSource::kPeer:
      return "peer";
    case EvacuationSource::kRestored:
      return "restored";
  }
  return "unknown";
}

void Evacuations::Start(const FailureDomain& domain, EvacuationSource source,
                        TimePoint now, Changes& changes) {
  const auto [found, is_new] = m_evacuations.try_emplace(domain);
  found->second.held_until.reset();
  if (!is_new) return;
  found->second.known_since = now;
  changes.push_back({domain, true, source, Duration::zero(), *m_position});
}

void Evacuations::End(const FailureDomain& domain, EvacuationSource source,
                      TimePoint now, Changes& changes) {
  // An entry that has not known the evacuation must not hold it either.
  m_ended.insert(domain);
  const auto found = m_evacuations.find(domain);
  if (found == m_evacuations.end()) return;
  changes.push_back(
      {domain, false, source, now - found->second.known_since, *m_position});
  m_evacuations.erase(found);
}

bool Evacuations::Advance(const TopicPosition& position, TimePoint now) {
  const bool is_first = !m_position.has_value();
  const bool is_new_epoch = is_first || m_position->epoch != position.epoch;
  m_position = position;
  if (!is_new_epoch) return false;
  m_ended.clear();
  const bool is_restore_seen = m_restore && m_restore->epoch == position.epoch;
  m_epoch_seen_at = is_restore_seen ? m_restore->seen_at : now;
  return !is_first;
}

void Evacuations::SetRecorded(const TopicPosition& position,
                              const std::set<FailureDomain>& recorded,
                              EvacuationSource source, TimePoint now,
                              Changes& changes) {
  const bool is_restored = Advance(position, now);
  std::vector<FailureDomain> missing;
  for (auto& [domain, evacuation] : m_evacuations) {
    if (recorded.contains(domain)) continue;
    if (is_restored) {
      evacuation.held_until = std::max(evacuation.held_until.value_or(now),
                                       m_epoch_seen_at + m_hold_time);
    } else if (!evacuation.held_until) {
      missing.push_back(domain);
    }
  }
  for (const FailureDomain& domain : missing) {
    End(domain, source, now, changes);
  }
  for (const FailureDomain& domain : recorded) {
    Start(domain, is_restored ? EvacuationSource::kRestored : source, now,
          changes);
  }
}

Evacuations::Changes Evacuations::ApplyFullRead(
    const TopicPosition& position, std::span<const FailureDomain> domains,
    TimePoint now) {
  Changes changes;
  if (m_position && position.IsBehind(*m_position)) return changes;
  SetRecorded(position, {domains.begin(), domains.end()},
              EvacuationSource::kStore, now, changes);
  return changes;
}

Evacuations::Changes Evacuations::ApplyChanges(
    const TopicPosition& position, std::span<const EvacuationRecord> records,
    TimePoint now) {
  Changes changes;
  if (!m_position || position.epoch != m_position->epoch) return changes;
  const bool is_newer = m_position->IsBehind(position);
  if (is_newer) Advance(position, now);
  for (const EvacuationRecord& record : records) {
    const auto found = m_evacuations.find(record.domain);
    const bool is_held =
        found != m_evacuations.end() && found->second.held_until.has_value();
    // A peer whose report was adopted may not have known of the hold, so the
    // removal ends it even if the position is not newer.
    if (!is_newer && !(is_held && record.is_removed)) continue;
    if (record.is_removed) {
      End(record.domain, EvacuationSource::kStore, now, changes);
    } else {
      Start(record.domain, EvacuationSource::kStore, now, changes);
    }
  }
  return changes;
}

void Evacuations::NoteRestored(int64_t epoch, TimePoint now) {
  m_restore = {epoch, now};
}

void Evacuations::ExtendHold(const ReportedEvacuation& reported, TimePoint now,
                             Changes& changes) {
  if (m_ended.contains(reported.domain)) return;
  const TimePoint limit = m_epoch_seen_at + kMaxHoldTimes * m_hold_time;
  const TimePoint until = std::min(now + reported.hold_left, limit);
  const auto found = m_evacuations.find(reported.domain);
  if (found == m_evacuations.end()) {
    if (until <= now) return;
    Start(reported.domain, EvacuationSource::kPeer, now, changes);
    m_evacuations[reported.domain].held_until = until;
    return;
  }
  auto& held_until = found->second.held_until;
  if (held_until && until > *held_until + kMinExtension) held_until = until;
}

Evacuations::Changes Evacuations::ApplyReport(const EvacuationReport& report,
                                              TimePoint now) {
  Changes changes;
  if (m_position && report.position.IsBehind(*m_position)) return changes;
  if (!m_position || m_position->IsBehind(report.position)) {
    std::set<FailureDomain> recorded;
    for (const ReportedEvacuation& reported : report.evacuations) {
      if (reported.hold_left <= Duration::zero()) {
        recorded.insert(reported.domain);
      }
    }
    SetRecorded(report.position, recorded, EvacuationSource::kPeer, now,
                changes);
  }
  for (const ReportedEvacuation& reported : report.evacuations) {
    if (reported.hold_left > Duration::zero()) {
      ExtendHold(reported, now, changes);
    }
  }
  return changes;
}

Evacuations::Changes Evacuations::EndHolds(TimePoint now) {
  Changes changes;
  std::vector<FailureDomain> over;
  for (const auto& [domain, evacuation] : m_evacuations) {
    if (evacuation.held_until && now >= *evacuation.held_until) {
      over.push_back(domain);
    }
  }
  for (const FailureDomain& domain : over) {
    End(domain, EvacuationSource::kRestored, now, changes);
  }
  return changes;
}

std::optional<TimePoint> Evacuations::NextHoldEnd() const {
  std::optional<TimePoint> next;
  for (const auto& [domain, evacuation] : m_evacuations) {
    if (!evacuation.held_until) continue;
    next =
        std::min(next.value_or(*evacuation.held_until), *evacuation.held_until);
  }
  return next;
}

bool Evacuations::IsEvacuated(const FailureDomain& domain,
                              TimePoint now) const {
  const auto found = m_evacuations.find(domain);
  return found != m_evacuations.end() &&
         (!found->second.held_until || now < *found->second.held_until);
}

std::vector<FailureDomain> Evacuations::FindEvacuated(TimePoint now) const {
  std::vector<FailureDomain> domains;
  for (const auto& [domain, evacuation] : m_evacuations) {
    if (IsEvacuated(domain, now)) domains.push_back(domain);
  }
  return domains;
}

std::optional<EvacuationReport> Evacuations::MakeReport(TimePoint now) const {
  if (!m_position) return std::nullopt;
  EvacuationReport report;
  report.position = *m_position;
  for (const auto& [domain, evacuation] : m_evacuations) {
    if (!IsEvacuated(domain, now)) continue;
    report.evacuations.push_back({domain, evacuation.held_until
                                              ? *evacuation.held_until - now
                                              : Duration::zero()});
  }
  return report;
}

}  // namespace peridotshelf::discovery
